"""
Example configuration: a consortium of booking agencies that share a fleet.

Print it with ``python examples/consortium.py``, review the text, and submit it
with ``tanagerkeel config submit FILE``.
"""

from tanagerkeel.configuration import (
    BackendServer,
    ClientAccount,
    Configuration,
    FailureDomain,
    LengthClassPolicy,
    Market,
    Model,
    Operation,
    Service,
    engine_pool,
    hash_key,
    render,
    service_pool,
)

MARKET = Market("oath-ceremonies", "central-philippines")
DOMAINS = tuple(FailureDomain(f"cebu-{n}", MARKET.region) for n in (1, 2, 3))
SUMMARIES = Model("petition-summary", version="2026-11", max_prompt_tokens=1_000_000)
BOOKING = Service(
    "booking",
    (
        Operation("reserve-seat", timeout_s=8.0),
        Operation("confirmation-slip", idempotent=True, timeout_s=5.0),
    ),
)
ENGINE_HOSTS = (range(1, 8), range(8, 15), range(15, 21))
BOOKING_HOSTS = (201, 202, 203)
AGENCIES = range(1, 11)
LARGE_AGENCIES = range(1, 4)
LARGE_WEIGHT = 4.0


def client_account(number: int) -> ClientAccount:
    """Return an agency's client account; large agencies get a greater share."""
    return ClientAccount(
        name=f"agency-{number}",
        market=MARKET.name,
        key_digests=(hash_key(f"key-of-agency-{number}"),),
        weight=LARGE_WEIGHT if number in LARGE_AGENCIES else 1.0,
        models=(SUMMARIES.name,),
        services=(BOOKING.name,),
    )


def backend_servers(index: int, domain: FailureDomain) -> tuple[BackendServer, ...]:
    """
    Return the engines and the booking server of a failure domain.

    :param index: index of the failure domain in the tables of hosts.
    :param domain: the failure domain.
    """
    addresses = [f"10.20.0.{host}:8000" for host in ENGINE_HOSTS[index]]
    booking = [f"10.20.0.{BOOKING_HOSTS[index]}:8000"]
    return (
        *engine_pool(f"engine-{domain.name}", domain, addresses, SUMMARIES, 400_000),
        *service_pool(f"booking-{domain.name}", domain, booking, BOOKING),
    )


CONFIGURATION = Configuration(
    markets=(MARKET,),
    client_accounts=tuple(map(client_account, AGENCIES)),
    models=(SUMMARIES,),
    services=(BOOKING,),
    failure_domains=DOMAINS,
    backend_servers=tuple(
        server for i, d in enumerate(DOMAINS) for server in backend_servers(i, d)
    ),
    length_classes=LengthClassPolicy(long_deadline_s=600.0),
)

if __name__ == "__main__":
    print(render(CONFIGURATION), end="")

"""
Example configuration: caricature studios that share an assistant and bookings.

Print it with ``python examples/pailles.py``, review the text, and submit it with
``tanagerkeel config submit FILE``.
"""

from tanagerkeel.configuration import (
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

# Weights of the large studios' shares of capacity; the others have weight 1.
STUDIO_WEIGHTS = {"curepipe": 3.0, "grand-baie": 3.0}
STUDIO_NAMES = (
    "albion",
    "beau-bassin",
    "curepipe",
    "flic-en-flac",
    "grand-baie",
    "mahebourg",
    "moka",
    "pailles",
    "quatre-bornes",
    "tamarin",
)


def hosts(network: str, count: int) -> list[str]:
    """
    Return the addresses of ``count`` backend servers in a /24 network.

    :param network: the first three numbers of their addresses.
    :param count: number of backend servers.
    """
    return [f"{network}.{number}:8000" for number in range(1, count + 1)]


weddings = Market("weddings-and-galas", "mauritius")
north, centre, south = domains = tuple(
    FailureDomain(f"mauritius-{place}", weddings.region)
    for place in ("north", "centre", "south")
)
assistant = Model("studio-assistant", max_prompt_tokens=1_000_000)
booking_service = Service(
    "studio-booking",
    (Operation("confirm-booking"), Operation("take-deposit", timeout_s=12.0)),
)
studios = tuple(
    ClientAccount(
        name=name,
        market=weddings.name,
        key_digests=(hash_key(f"key-of-{name}"),),
        weight=STUDIO_WEIGHTS.get(name, 1.0),
        models=(assistant.name,),
        services=(booking_service.name,),
    )
    for name in STUDIO_NAMES
)
engines = (
    *engine_pool("north", north, hosts("10.30.1", 7), assistant, 300_000),
    *engine_pool("centre", centre, hosts("10.30.2", 7), assistant, 300_000),
    *engine_pool("south", south, hosts("10.30.3", 6), assistant, 300_000),
)
bookings = tuple(
    server
    for place, domain in enumerate(domains, 1)
    for server in service_pool(
        f"booking-{domain.name}", domain, [f"10.30.{place}.200:8000"], booking_service
    )
)

if __name__ == "__main__":
    configuration = Configuration(
        markets=(weddings,),
        client_accounts=studios,
        models=(assistant,),
        services=(booking_service,),
        failure_domains=domains,
        backend_servers=engines + bookings,
        length_classes=LengthClassPolicy(short_deadline_s=15.0),
    )
    print(render(configuration), end="")

"""A small configuration for the demo and for tests."""

from tanagerkeel.configuration import (
    BackendKind,
    BackendServer,
    ClientAccount,
    Configuration,
    FailureDomain,
    Market,
    Model,
    Operation,
    Service,
    hash_key,
)

__all__ = ["EXAMPLE_DOMAIN", "EXAMPLE_KEY", "EXAMPLE_MODEL", "example_configuration"]

EXAMPLE_KEY = "example-key"
EXAMPLE_DOMAIN = "cebu-1"
EXAMPLE_MODEL = "petition-summary"


def example_configuration(
    engine_addresses: list[str],
    service_addresses: tuple[str, ...] = (),
    memory_tokens: int = 400_000,
) -> Configuration:
    """
    Return a configuration with one market, failure domain and client account.

    :param engine_addresses: ``IP:PORT`` of each engine.
    :param service_addresses: ``IP:PORT`` of each instance of the booking service.
    :param memory_tokens: KV cache memory of each engine, in tokens.
    """
    engines = tuple(
        BackendServer(
            name=f"engine-{index}",
            kind=BackendKind.ENGINE,
            address=address,
            failure_domain=EXAMPLE_DOMAIN,
            models=(EXAMPLE_MODEL,),
            memory_tokens=memory_tokens,
        )
        for index, address in enumerate(engine_addresses)
    )
    services = tuple(
        BackendServer(
            name=f"booking-{index}",
            kind=BackendKind.SERVICE,
            address=address,
            failure_domain=EXAMPLE_DOMAIN,
            services=("booking",),
        )
        for index, address in enumerate(service_addresses)
    )
    account = ClientAccount(
        name="agency-1",
        market="oath-ceremonies",
        key_digests=(hash_key(EXAMPLE_KEY),),
        models=(EXAMPLE_MODEL,),
        services=("booking",),
    )
    return Configuration(
        markets=(Market("oath-ceremonies", "central-philippines"),),
        client_accounts=(account,),
        models=(Model(EXAMPLE_MODEL),),
        services=(Service("booking", (Operation("reserve"),)),),
        failure_domains=(FailureDomain(EXAMPLE_DOMAIN, "central-philippines"),),
        backend_servers=engines + services,
    )

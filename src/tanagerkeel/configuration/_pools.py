"""Functions that build the backend servers of a pool."""

from collections.abc import Iterable

from tanagerkeel.configuration._document import (
    BackendKind,
    BackendServer,
    FailureDomain,
    Model,
    Service,
)

__all__ = ["engine_pool", "service_pool"]


def engine_pool(
    prefix: str,
    domain: FailureDomain,
    addresses: Iterable[str],
    model: Model,
    memory_tokens: int,
) -> tuple[BackendServer, ...]:
    """
    Return the engines of a model in one failure domain.

    :param prefix: start of each name; ``-1``, ``-2`` and so on follow.
    :param domain: their failure domain.
    :param addresses: ``IP:PORT`` of each engine.
    :param model: model that all of them serve.
    :param memory_tokens: KV cache memory of each, in tokens.
    """
    return tuple(
        BackendServer(
            name=f"{prefix}-{number}",
            kind=BackendKind.ENGINE,
            address=address,
            failure_domain=domain.name,
            models=(model.name,),
            memory_tokens=memory_tokens,
        )
        for number, address in enumerate(addresses, 1)
    )


def service_pool(
    prefix: str, domain: FailureDomain, addresses: Iterable[str], service: Service
) -> tuple[BackendServer, ...]:
    """
    Return the instances of a plain service in one failure domain.

    :param prefix: start of each name; ``-1``, ``-2`` and so on follow.
    :param domain: their failure domain.
    :param addresses: ``IP:PORT`` of each instance.
    :param service: plain service that all of them run.
    """
    return tuple(
        BackendServer(
            name=f"{prefix}-{number}",
            kind=BackendKind.SERVICE,
            address=address,
            failure_domain=domain.name,
            services=(service.name,),
        )
        for number, address in enumerate(addresses, 1)
    )

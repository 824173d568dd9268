"""Findings on services and the profiles of their engines."""

import math
from collections.abc import Iterator

from tanagerkeel.relay import ColdStartLimiter, RelayConfiguration, ServiceSpec
from tanagerkeel.relay_check._findings import Collection, Finding, Place, Problem
from tanagerkeel.relay_check._names import as_text, duplicate_names

__all__ = ["service_findings"]

NODE = "node"


def service_findings(configuration: RelayConfiguration) -> Iterator[Finding]:
    """Yield the findings on all services of a configuration."""
    services = configuration.services
    yield from duplicate_names(Collection.SERVICES, (s.name for s in services))
    used = {share.name for route in configuration.routes for share in route.services}
    for index, service in enumerate(services):
        if service.name not in used:
            yield Finding(
                Problem.UNUSED_SERVICE,
                Place(Collection.SERVICES, index),
                f"no route names the service {service.name!r}",
            )
        if service.cold_per_s and not _can_share(service.cold_per_s):
            yield Finding(
                Problem.COLD_LIMIT_TOO_LOW,
                Place(Collection.SERVICES, index, "cold_per_s"),
                f"{as_text(service.cold_per_s)} requests a second leave no node a "
                "whole one: a cold backend server gets none",
            )
        yield from _engine_findings(index, service)


def _can_share(per_s: float) -> bool:
    """Return whether one node alone may use a cold backend server."""
    if not math.isfinite(per_s):
        return per_s > 0
    # With more nodes, the only one that may send is never allowed more than here.
    return ColdStartLimiter(NODE).allowance("", per_s, (NODE,)) >= 1


def _engine_findings(index: int, service: ServiceSpec) -> Iterator[Finding]:
    engine = service.engine
    if engine is not None and engine.memory_tokens < engine.mean_prompt_tokens:
        yield Finding(
            Problem.MEMORY_BELOW_PROMPT,
            Place(Collection.SERVICES, index, "engine.memory_tokens"),
            f"memory for {as_text(engine.memory_tokens)} tokens holds less than a "
            f"mean prompt of {as_text(engine.mean_prompt_tokens)}",
        )

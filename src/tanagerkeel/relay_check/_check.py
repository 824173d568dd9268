"""
All findings on a configuration.

Load pattern: none, because operators run it before the configuration is in force. What
it reports would otherwise show under load, as requests that no route takes, that are
counted late, or that are never sent again.
"""

from collections.abc import Iterator

from tanagerkeel.relay import RelayConfiguration
from tanagerkeel.relay_check._accounts import account_findings
from tanagerkeel.relay_check._findings import Collection, Finding, Place, Problem
from tanagerkeel.relay_check._names import as_text
from tanagerkeel.relay_check._routes import route_findings
from tanagerkeel.relay_check._services import service_findings

__all__ = ["find_problems"]


def find_problems(
    configuration: RelayConfiguration, in_force: RelayConfiguration | None = None
) -> tuple[Finding, ...]:
    """
    Return everything that is wrong or contradictory, in a fixed order.

    :param configuration: the configuration to check.
    :param in_force: the configuration that it is to replace; None if unknown.
    """
    return tuple(_findings(configuration, in_force))


def _findings(
    configuration: RelayConfiguration, in_force: RelayConfiguration | None
) -> Iterator[Finding]:
    if in_force is not None and configuration.version <= in_force.version:
        yield Finding(
            Problem.VERSION_NOT_ABOVE,
            Place(Collection.WHOLE, field="version"),
            f"{configuration.version} is not above {in_force.version}, the version in "
            "force",
        )
    yield from route_findings(configuration)
    yield from service_findings(configuration)
    yield from account_findings(configuration.accounts or ())
    limits = configuration.limits
    if limits.header_timeout_ms > limits.idle_timeout_ms:
        yield Finding(
            Problem.HEADER_ABOVE_IDLE_TIMEOUT,
            Place(Collection.LIMITS, field="header_timeout_ms"),
            f"{as_text(limits.header_timeout_ms)} ms for headers is above the idle "
            f"time-out of {as_text(limits.idle_timeout_ms)} ms",
        )

"""Findings on routes, and on the services that they name."""

import math
from collections.abc import Iterator

from tanagerkeel.relay import RelayConfiguration, Route
from tanagerkeel.relay_check._findings import Collection, Finding, Place, Problem
from tanagerkeel.relay_check._names import as_text, duplicate_names, rank_findings

__all__ = ["route_findings"]


def route_findings(configuration: RelayConfiguration) -> Iterator[Finding]:
    """Yield the findings on all routes of a configuration."""
    routes = configuration.routes
    yield from duplicate_names(Collection.ROUTES, (route.name for route in routes))
    yield from _duplicate_prefixes(routes)
    for index, route in enumerate(routes):
        place = Place(Collection.ROUTES, index)
        yield from _path_findings(index, route)
        for position, service in enumerate(route.services):
            if configuration.service(service.name) is None:
                yield Finding(
                    Problem.UNKNOWN_SERVICE,
                    Place(place.collection, index, "service", position),
                    f"no service has the name {service.name!r}",
                )
        yield from _weight_findings(index, route)
        yield from _time_findings(index, route)
        yield from _attempt_findings(index, route)
        rank_place = Place(place.collection, index, "priority")
        yield from rank_findings(rank_place, route.priority)


def _duplicate_prefixes(routes: tuple[Route, ...]) -> Iterator[Finding]:
    # Hosts are compared without regard to case, prefixes with it. Of equal ones, nodes
    # use the first. A longer prefix takes only its own part of a shorter one's paths.
    first: dict[tuple[str, str], Route] = {}
    for index, route in enumerate(routes):
        earlier = first.setdefault((route.host.lower(), route.prefix), route)
        if earlier is not route:
            yield Finding(
                Problem.DUPLICATE_PREFIX,
                Place(Collection.ROUTES, index, "prefix"),
                f"never matches: the earlier route {earlier.name!r} has the same host "
                "and prefix",
            )


def _path_findings(index: int, route: Route) -> Iterator[Finding]:
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield Finding(
            Problem.PREFIX_WITHOUT_SLASH,
            Place(Collection.ROUTES, index, "prefix"),
            f"{route.prefix!r} must begin and end with a slash",
        )
    if ":" in route.host:
        yield Finding(
            Problem.HOST_WITH_PORT,
            Place(Collection.ROUTES, index, "host"),
            "never matches: hosts are compared without their port",
        )


def _weight_findings(index: int, route: Route) -> Iterator[Finding]:
    has_positive = any(service.weight > 0 for service in route.services)
    if not has_positive:
        yield Finding(
            Problem.NO_POSITIVE_WEIGHT,
            Place(Collection.ROUTES, index, "services"),
            "no service has a positive weight",
        )
    for position, service in enumerate(route.services):
        place = Place(Collection.ROUTES, index, "weight", position)
        if not math.isfinite(service.weight) or service.weight < 0:
            yield Finding(
                Problem.INVALID_WEIGHT,
                place,
                f"a weight must be a finite number of at least 0, got {service.weight}",
            )
        elif service.weight == 0 and has_positive:
            yield Finding(
                Problem.ZERO_WEIGHT,
                place,
                f"service {service.name!r} gets no requests of this route",
            )


def _time_findings(index: int, route: Route) -> Iterator[Finding]:
    if route.objective_ms > route.timeout_ms:
        yield Finding(
            Problem.OBJECTIVE_ABOVE_TIMEOUT,
            Place(Collection.ROUTES, index, "objective_ms"),
            f"the objective of {as_text(route.objective_ms)} ms is above the "
            f"time-out of {as_text(route.timeout_ms)} ms",
        )
    if route.gap_objective_ms > route.timeout_ms:
        yield Finding(
            Problem.PAUSE_ABOVE_TIMEOUT,
            Place(Collection.ROUTES, index, "gap_objective_ms"),
            f"the objective of {as_text(route.gap_objective_ms)} ms for pauses is "
            f"above the time-out of {as_text(route.timeout_ms)} ms",
        )


def _attempt_findings(index: int, route: Route) -> Iterator[Finding]:
    if route.max_attempts > 1 and not route.repeatable:
        yield Finding(
            Problem.ATTEMPTS_NOT_REPEATABLE,
            Place(Collection.ROUTES, index, "max_attempts"),
            f"of {route.max_attempts} attempts, all after the first are used only "
            "where the request is known not to have run",
        )

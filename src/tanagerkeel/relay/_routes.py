"""Routes, and the client accounts whose requests they take."""

import enum

import attrs
import xxhash

__all__ = ["CallerAccount", "Route", "RouteKind", "WeightedService"]


class RouteKind(enum.StrEnum):
    """
    Whether a route's requests may be sent again after they may have run.

    ``SAFE`` requests may, ``UNSAFE`` ones may not. The answer of a ``STREAM`` is a
    stream of events, which may be continued if the route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@attrs.frozen
class WeightedService:
    """
    A service that takes a share of a route's requests.

    :param name: name of the service.
    :param weight: its share relative to the weights of the route's other services.
    """

    name: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """
    How requests with one host and path prefix are routed.

    :param name: unique name.
    :param host: host name that callers send.
    :param prefix: beginning of the path, with a slash at both ends.
    :param kind: whether its requests may be sent again.
    :param services: the services among which the requests are split.
    :param timeout_ms: longest time to the end of the answer, in milliseconds.
    :param objective_ms: latency objective for the answer, or for the first event of a
        stream, in milliseconds.
    :param gap_objective_ms: objective for the longest pause between events, in
        milliseconds; 0 for no objective.
    :param priority: rank; 0 is the highest.
    :param max_attempts: maximum number of backend servers that one request may be sent
        to.
    :param public: whether its requests need no key.
    :param resumable: whether a stream may be continued by another backend server.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_ms: int
    objective_ms: int
    gap_objective_ms: int = 0
    priority: int = 0
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may be sent again although it may have run."""
        match self.kind:
            case RouteKind.SAFE:
                return True
            case RouteKind.STREAM:
                return self.resumable
            case RouteKind.UNSAFE:
                return False

    def service_for(self, key: str) -> str:
        """
        Return the name of the service that gets the request with id ``key``.

        The same key always gets the same service while the weights are unchanged.
        """
        total = sum(service.weight for service in self.services)
        position = xxhash.xxh32_intdigest(key.encode()) / 2**32 * total
        for service in self.services:
            position -= service.weight
            if position < 0:
                return service.name
        return self.services[-1].name


@attrs.frozen
class CallerAccount:
    """
    A client account and its keys.

    :param name: unique name, which is passed on to backend servers.
    :param keys: its valid keys.
    :param priority: rank that overrides the route's; None for the route's.
    """

    name: str
    keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None

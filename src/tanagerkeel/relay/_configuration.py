"""Configuration of a node that relays opaque requests: routes, services, accounts."""

import enum

import attrs
import xxhash

__all__ = [
    "CallerLimits",
    "CallerAccount",
    "EngineProfile",
    "RelayConfiguration",
    "Route",
    "RouteKind",
    "ServiceSpec",
    "WeightedService",
]


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
class EngineProfile:
    """
    Speed and capacity of a model engine; times are in milliseconds.

    See :mod:`tanagerkeel.relay._pass_model` for how they make up the time of a request.

    :param slots: how many requests it runs at once.
    :param memory_tokens: how many tokens of prompts and answers its memory holds.
    :param steps_per_pass: steps in a pass while any request is decoded; otherwise a
        pass is one step.
    :param step_ms: base time of a step.
    :param step_ms_per_sequence: added to a step for each request that is decoded.
    :param step_ms_per_k_context: added to a step for each 1,000 tokens of the prompts
        and answers of the requests that are decoded.
    :param prefill_tokens_per_ms: prompt tokens that are prefilled in a millisecond, not
        counting the time for pairs.
    :param ms_per_million_pairs: added to a prefill for each million pairs of a prompt
        token and an earlier one.
    :param chunk_tokens: maximum number of prompt tokens that are prefilled in a step.
    :param hop_ms: added to each step of decoding when the prompt lies on several
        engines.
    :param mean_prompt_tokens: mean length of a prompt.
    :param mean_answer_tokens: mean length of an answer.
    """

    slots: int
    memory_tokens: int
    steps_per_pass: int = 1
    step_ms: float = 1.0
    step_ms_per_sequence: float = 0.0
    step_ms_per_k_context: float = 0.0
    prefill_tokens_per_ms: float = 100.0
    ms_per_million_pairs: float = 0.0
    chunk_tokens: int = 2_048
    hop_ms: float = 0.0
    mean_prompt_tokens: int = 0
    mean_answer_tokens: int = 0


@attrs.frozen
class ServiceSpec:
    """
    A service that backend servers run.

    :param name: unique name.
    :param health_path: path of the health check.
    :param max_connections: maximum number of connections to one backend server, from
        all nodes together.
    :param cold_s: duration of a backend server's cold start, in seconds.
    :param cold_per_s: requests per second that a cold one can take, from all nodes
        together; 0 for no limit.
    :param engine: profile of its engines; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    cold_s: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineProfile | None = None


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


@attrs.frozen
class CallerLimits:
    """
    Limits on what callers may send.

    :param max_header_bytes: largest header block, in bytes.
    :param max_body_bytes: largest body, in bytes.
    :param header_timeout_ms: longest time until a request's headers are complete, in
        milliseconds.
    :param idle_timeout_ms: how long an idle connection stays open, in milliseconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 20_000
    idle_timeout_ms: int = 30_000


@attrs.frozen
class RelayConfiguration:
    """
    One version of the operators' configuration, indexed for lookups.

    :param version: grows with each version, but not always by one.
    :param routes: all routes.
    :param services: all services.
    :param accounts: client accounts; None when no request needs a key.
    :param limits: limits on what callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    accounts: tuple[CallerAccount, ...] | None = None
    limits: CallerLimits = CallerLimits()
    _by_host: dict[str, tuple[Route, ...]] = attrs.field(init=False, repr=False)
    _by_name: dict[str, ServiceSpec] = attrs.field(init=False, repr=False)
    _by_key: dict[str, CallerAccount] = attrs.field(init=False, repr=False)

    @_by_host.default
    def _index_hosts(self) -> dict[str, tuple[Route, ...]]:
        by_host: dict[str, list[Route]] = {}
        longest_first = sorted(self.routes, key=lambda r: len(r.prefix), reverse=True)
        for route in longest_first:
            by_host.setdefault(route.host.lower(), []).append(route)
        return {host: tuple(routes) for host, routes in by_host.items()}

    @_by_name.default
    def _index_services(self) -> dict[str, ServiceSpec]:
        return {service.name: service for service in self.services}

    @_by_key.default
    def _index_keys(self) -> dict[str, CallerAccount]:
        accounts = self.accounts or ()
        return {key: account for account in accounts for key in account.keys}

    def route_for(self, host: str, path: str) -> Route | None:
        """
        Return the route of ``host`` with the longest matching prefix of ``path``.

        :param host: the host that the caller sent, with or without a port.
        :param path: the path as the caller sent it.
        """
        name = host.partition(":")[0].lower()
        candidates = self._by_host.get(name, ())
        return next((r for r in candidates if path.startswith(r.prefix)), None)

    def account_for(self, key: str) -> CallerAccount | None:
        """Return the client account of ``key``; None for an unknown key."""
        return self._by_key.get(key)

    def service(self, name: str) -> ServiceSpec | None:
        """Return the service of this name; None for an unknown one."""
        return self._by_name.get(name)

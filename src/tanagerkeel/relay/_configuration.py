"""Configuration of a node that relays opaque requests: routes, services, accounts."""

import attrs

from tanagerkeel.relay._ranks import Rank, RankTable
from tanagerkeel.relay._routes import CallerAccount, Route

__all__ = ["CallerLimits", "EngineProfile", "RelayConfiguration", "ServiceSpec"]


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
    _ranks: RankTable = attrs.field(init=False, repr=False)

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

    @_ranks.default
    def _collect_ranks(self) -> RankTable:
        # Calls of plain services are all short, so that ranks change little.
        engines = (service.name for service in self.services if service.engine)
        return RankTable.build(self.routes, self.accounts or (), engines)

    def rank_of(
        self, service: str, route: Route, account: CallerAccount | None
    ) -> Rank | None:
        """
        Return the rank of a request; None where its service has one rank only.

        :param service: name of its service.
        :param route: its route.
        :param account: its client account; None when no key is needed.
        """
        return self._ranks.rank(service, route, account)

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

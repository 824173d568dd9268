"""Choose a backend server for each call of a plain service."""

import collections
import contextlib
from collections.abc import Collection, Iterator

import attrs

from tanagerkeel.configuration import BackendKind, BackendServer, Catalog
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.rendezvous import rendezvous

__all__ = ["ServicePool", "ServiceRetryBudget"]

# A backend server that failed is avoided for this time.
AVOID_S = 5.0
RANDOM_CHOICES = 2
# Retries per first attempt.
RETRY_RATIO = 0.1
# Maximum unused retries that are saved; a node also starts with this many.
MAX_SAVED_RETRIES = 10.0


@attrs.define
class ServiceRetryBudget:
    """
    Limits the retries of service calls to a fraction of the first attempts.

    Unused retries are saved up to a limit, as in a token bucket.
    """

    _remaining_retries: float = MAX_SAVED_RETRIES

    def record_first_attempt(self) -> None:
        """Record a call's first attempt."""
        self._remaining_retries = min(
            MAX_SAVED_RETRIES, self._remaining_retries + RETRY_RATIO
        )

    def try_acquire(self) -> bool:
        """Spend one retry if the budget allows it; return whether it may be made."""
        if self._remaining_retries < 1.0:
            return False
        self._remaining_retries -= 1.0
        return True


@attrs.define
class ServicePool:
    """
    Chooses backend servers of plain services.

    Counts only this node's calls and failures.

    :param context: the node's configuration, clock and random numbers.
    """

    _context: NodeContext
    _in_flight: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _avoided_until_s: dict[str, float] = attrs.field(factory=dict)

    def choose(self, service: str, tried: Collection[str] = ()) -> BackendServer | None:
        """
        Return the one of two random backend servers with fewer calls in flight.

        Returns None when there is no backend server.

        :param service: name of the service.
        :param tried: names of backend servers to leave out.
        """
        untried = [s for s in self._eligible(service) if s.name not in tried]
        now = self._context.clock.monotonic()
        reachable = [
            s for s in untried if self._avoided_until_s.get(s.name, 0.0) <= now
        ]
        # If all failed recently, one of them is used anyway.
        candidates = reachable or untried
        if not candidates:
            return None
        sampled = self._context.random.sample(
            candidates, min(RANDOM_CHOICES, len(candidates))
        )
        return min(sampled, key=lambda s: self._in_flight[s.name])

    def choose_deduplicating(self, service: str, key: str) -> BackendServer | None:
        """
        Return the backend server that may run a call without a claim, or None.

        There is one only if every backend server of the service, in all failure
        domains, deduplicates calls by key: an earlier attempt of the call may have
        run on any of them.

        :param service: name of the service.
        :param key: key of the call's claim; a repeat goes to the same backend
            server.
        """
        all_servers = [
            s
            for s in self._context.configuration.current.configuration.backend_servers
            if s.kind is BackendKind.SERVICE and service in s.services
        ]
        if not all(server.deduplicates for server in all_servers):
            return None
        eligible = {s.name: s for s in self._eligible(service)}
        return next((eligible[name] for name in rendezvous(key, tuple(eligible))), None)

    def avoid(self, server: BackendServer) -> None:
        """Avoid a backend server that failed, for ``AVOID_S``."""
        now = self._context.clock.monotonic()
        still_avoided = {n: at for n, at in self._avoided_until_s.items() if at > now}
        self._avoided_until_s = still_avoided | {server.name: now + AVOID_S}

    @contextlib.contextmanager
    def count_in_flight(self, server: BackendServer) -> Iterator[None]:
        """Count a call as in flight on a backend server while the context is open."""
        self._in_flight[server.name] += 1
        try:
            yield
        finally:
            self._in_flight[server.name] -= 1
            if not self._in_flight[server.name]:
                del self._in_flight[server.name]

    def _eligible(self, service: str) -> list[BackendServer]:
        """Return the servers in this failure domain, or all if it has none."""
        catalog = self._context.configuration.current
        eligible = [s for s in _available_servers(catalog) if service in s.services]
        domain = self._context.settings.failure_domain
        own = [s for s in eligible if s.failure_domain == domain]
        return own or eligible


def _available_servers(catalog: Catalog) -> Iterator[BackendServer]:
    """Yield servers of plain services that aren't leaving or in a domain taken out."""
    for server in catalog.configuration.backend_servers:
        domain = catalog.domains.get(server.failure_domain)
        out = domain is not None and domain.out
        if server.kind is BackendKind.SERVICE and not (server.leaving or out):
            yield server

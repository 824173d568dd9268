"""Which backend server of a plain service takes a call."""

import collections
import contextlib
from collections.abc import Collection, Iterator

import attrs

from tanagerkeel.configuration import BackendKind, BackendServer, Catalog
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.rendezvous import rendezvous

__all__ = ["ServicePool", "ServiceRetryBudget"]

AVOID_S = 5.0
CHOICES = 2
RETRY_SHARE = 0.1
RETRY_FLOOR = 10.0


@attrs.define
class ServiceRetryBudget:
    """Bounds retries of service calls to a share of first attempts, with a floor."""

    _left: float = RETRY_FLOOR

    def record_first_attempt(self) -> None:
        """Take in a call's first attempt."""
        self._left = min(RETRY_FLOOR, self._left + RETRY_SHARE)

    def take(self) -> bool:
        """Return whether one more retry may be made, and count it."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


@attrs.define
class ServicePool:
    """
    The backend servers of plain services as this node finds them.

    :param context: the node's state.
    """

    _context: NodeContext
    _in_flight: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _avoided_until_s: dict[str, float] = attrs.field(factory=dict)

    def choose(self, service: str, tried: Collection[str] = ()) -> BackendServer | None:
        """
        Return the less busy of two random backend servers, or None.

        :param service: name of the service.
        :param tried: names of backend servers that are passed over.
        """
        servers = [s for s in self._able(service) if s.name not in tried]
        now = self._context.clock.monotonic()
        reachable = [
            s for s in servers if self._avoided_until_s.get(s.name, 0.0) <= now
        ]
        # Better one that failed a moment ago than none.
        pool = reachable or servers
        if not pool:
            return None
        chosen = self._context.random.sample(pool, min(CHOICES, len(pool)))
        return min(chosen, key=lambda s: self._in_flight[s.name])

    def deduplicating(self, service: str, key: str) -> BackendServer | None:
        """
        Return the backend server that may run a call without a claim, or None.

        There is one only when each backend server of the service, also in other
        failure domains, carries out a key once itself: an earlier try of the call
        may have run on any of them.

        :param service: name of the service.
        :param key: identity of the call; a repeat goes to the same one.
        """
        every = [
            s
            for s in self._context.configuration.current.configuration.backend_servers
            if s.kind is BackendKind.SERVICE and service in s.services
        ]
        if not all(server.deduplicates for server in every):
            return None
        able = {s.name: s for s in self._able(service)}
        return next((able[name] for name in rendezvous(key, tuple(able))), None)

    def avoid(self, server: BackendServer) -> None:
        """Take in that a backend server couldn't be reached."""
        now = self._context.clock.monotonic()
        kept = {n: at for n, at in self._avoided_until_s.items() if at > now}
        self._avoided_until_s = kept | {server.name: now + AVOID_S}

    @contextlib.contextmanager
    def using(self, server: BackendServer) -> Iterator[None]:
        """Count a call that is in flight."""
        self._in_flight[server.name] += 1
        try:
            yield
        finally:
            self._in_flight[server.name] -= 1
            if not self._in_flight[server.name]:
                del self._in_flight[server.name]

    def _able(self, service: str) -> list[BackendServer]:
        catalog = self._context.configuration.current
        able = [s for s in _in_service(catalog) if service in s.services]
        domain = self._context.settings.failure_domain
        own = [s for s in able if s.failure_domain == domain]
        return own or able


def _in_service(catalog: Catalog) -> Iterator[BackendServer]:
    for server in catalog.configuration.backend_servers:
        domain = catalog.domains.get(server.failure_domain)
        out = domain is not None and domain.out
        if server.kind is BackendKind.SERVICE and not (server.leaving or out):
            yield server

"""Probes failure domains and services that may be unreachable from this node."""

import asyncio
import random
from collections.abc import Callable, Iterable

import attrs

from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.exchange import ConnectError, ConnectionPool
from tanagerkeel.relay import BackendServer, SendFailure
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["ReachabilityTask"]

# Interval of probes, in seconds; nothing else reports the end of a network partition.
PROBE_INTERVAL_S = 0.4
# Backend servers that are probed at a time: several, as one of them may have died.
MAX_PROBED = 3


@attrs.define
class ReachabilityTask:
    """
    Probes failure domains and services by connecting to their backend servers.

    :param state: the node's state.
    :param pool: connections to backend servers.
    :param random: chooses the backend servers to probe.
    :param on_change: called when a service can or can't be reached any more.
    """

    _state: RelayState
    _pool: ConnectionPool
    _random: random.Random
    _on_change: Callable[[], None]
    _unreachable_services: set[str] = attrs.field(factory=set)

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await self._state.wait_for_suspected_domain(PROBE_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Probe once each failure domain and service that may be unreachable."""
        now = self._state.clock.monotonic()
        for domain in self._state.suspected_domains:
            # Those whose last failure is the oldest give the most new information.
            servers = sorted(
                self._state.backends.ready_in_domain(domain, now),
                key=lambda b: b.last_unreachable_s,
            )
            await self._probe([b.server for b in servers[:MAX_PROBED]])
        services = {b.server.service for b in self._state.backends}
        for service in services | self._unreachable_services:
            now = self._state.clock.monotonic()
            unreachable = self._state.out_of_reach(service, now)
            if unreachable:
                usable = [b.server for b in self._state.backends.usable(service, now)]
                unreachable = not await self._probe(self._sample(usable))
            self._record_reachability(service, unreachable, now)

    def _sample(self, servers: list[BackendServer]) -> list[BackendServer]:
        """Choose some backend servers, of different failure domains if possible."""
        shuffled = self._random.sample(servers, len(servers))
        first_of_domain = {s.failure_domain: s for s in reversed(shuffled)}.values()
        others = [s for s in shuffled if s not in first_of_domain]
        spread = self._random.sample(list(first_of_domain), len(first_of_domain))
        return [*spread, *others][:MAX_PROBED]

    async def _probe(self, servers: Iterable[BackendServer]) -> bool:
        """Connect to the backend servers; return whether any connection came up."""
        return any(await asyncio.gather(*map(self._connect, servers)))

    async def _connect(self, server: BackendServer) -> bool:
        try:
            connection = await self._pool.acquire(server.address, 0.0)
        except ConnectError:
            self._state.record_failure(server, SendFailure.UNREACHABLE, "")
            return False
        self._pool.release(connection)
        self._state.record_connection(server)
        return True

    def _record_reachability(self, service: str, unreachable: bool, now: float) -> None:
        if unreachable and service not in self._unreachable_services:
            self._unreachable_services.add(service)
            log(LogEvent.SERVICE_OUT_OF_REACH, service=service)
            self._on_change()
        elif not unreachable and service in self._unreachable_services:
            self._unreachable_services.discard(service)
            self._state.backends.forget_unreachable(service, now)
            log(LogEvent.SERVICE_REACHED, service=service)
            self._on_change()

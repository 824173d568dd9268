"""Looks whether failure domains and services that were lost can be reached again."""

import asyncio
import random
from collections.abc import Iterable

import attrs

from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.exchange import ConnectionPool, NoConnection
from tanagerkeel.relay import BackendServer, Mishap
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["ReachTask"]

# A cut ends without a word: it is looked for so often, in seconds.
LOOK_S = 0.4
# Backend servers that are tried at a time: one of them may have died.
TRIED = 3


@attrs.define
class ReachTask:
    """
    Connects to backend servers while their failure domain or service may be lost.

    :param state: the node's beliefs.
    :param pool: connections to backend servers.
    :param random: source of randomness.
    """

    _state: RelayState
    _pool: ConnectionPool
    _random: random.Random
    _lost: set[str] = attrs.field(factory=set)

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            await self._state.wait_lost(LOOK_S)
            await self.step()

    async def step(self) -> None:
        """Look once at every failure domain and service that may be lost."""
        for domain in self._state.domains_lost:
            # Those that were lost longest ago tell most.
            servers = sorted(
                self._state.backends.in_domain(domain), key=lambda b: b.lost_s
            )
            await self._reach([b.server for b in servers[:TRIED]])
        services = {b.server.service for b in self._state.backends}
        for service in services | self._lost:
            now = self._state.clock.monotonic()
            lost = self._state.backends.out_of_reach(service, now)
            if lost:
                usable = [b.server for b in self._state.backends.usable(service, now)]
                lost = not await self._reach(
                    self._random.sample(usable, min(TRIED, len(usable)))
                )
            self._tell(service, lost)

    async def _reach(self, servers: Iterable[BackendServer]) -> bool:
        """Connect to some backend servers; return whether any could be reached."""
        return any(await asyncio.gather(*map(self._connect, servers)))

    async def _connect(self, server: BackendServer) -> bool:
        try:
            connection = await self._pool.take(server.address, 0.0)
        except NoConnection:
            self._state.failed(server, Mishap.UNREACHABLE, "")
            return False
        self._pool.give_back(connection)
        self._state.reached(server)
        return True

    def _tell(self, service: str, lost: bool) -> None:
        if lost and service not in self._lost:
            self._lost.add(service)
            log(LogEvent.SERVICE_OUT_OF_REACH, service=service)
        elif not lost and service in self._lost:
            self._lost.discard(service)
            log(LogEvent.SERVICE_REACHED, service=service)

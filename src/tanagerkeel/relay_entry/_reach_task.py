"""Looks whether backend servers can be reached again after all of them were lost."""

import random

import attrs

from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.exchange import ConnectionPool, NoConnection
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["ReachTask"]

# A cut ends without a word: it is looked for so often, in seconds.
LOOK_S = 0.4
# Backend servers of each service that are tried at a time: one of them may have died.
TRIED = 3


@attrs.define
class ReachTask:
    """
    Connects to backend servers while none of their service can be reached.

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
            await self._state.clock.sleep(LOOK_S)
            await self.step()

    async def step(self) -> None:
        """Look once at every service that is out of reach."""
        services = {b.server.service for b in self._state.backends}
        for service in services | self._lost:
            now = self._state.clock.monotonic()
            lost = self._state.backends.out_of_reach(service, now)
            if lost:
                lost = not await self._reach(service)
            self._tell(service, lost)

    async def _reach(self, service: str) -> bool:
        now = self._state.clock.monotonic()
        usable = [b.server for b in self._state.backends.usable(service, now)]
        for server in self._random.sample(usable, min(TRIED, len(usable))):
            try:
                connection = await self._pool.take(server.address, 0.0)
            except NoConnection:
                continue
            self._pool.give_back(connection)
            self._state.backends.reached(server, self._state.clock.monotonic())
            self._state.changed()
            return True
        return False

    def _tell(self, service: str, lost: bool) -> None:
        if lost and service not in self._lost:
            self._lost.add(service)
            log(LogEvent.SERVICE_OUT_OF_REACH, service=service)
        elif not lost and service in self._lost:
            self._lost.discard(service)
            log(LogEvent.SERVICE_REACHED, service=service)

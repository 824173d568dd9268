"""
Restarts in the soak test: while the store returns from copies, and while a request
that crashes engines comes again at any node.

Nodes are stopped, killed, or replaced by others with other names and addresses. Nothing
else disturbs the nodes than the restarts, the returns and the crashes.
"""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable

import attrs

from tests.platform.soak_sections import SectionChecker

__all__ = ["POISON", "PoisonChecker", "Restarts"]

# Body of the request that crashes each engine that runs it.
POISON = b"poison"
# Users' bound: after the request has crashed this many engines, few more get it.
LATE_CRASHES = 3
# Time between two of the caller's requests, in seconds.
POISON_INTERVAL_S = 0.5
# After this time all nodes know of the first crashes, in seconds, also if datagrams are
# lost.
KNOWN_S = 6.0
# Latest start of a restart after a drill of the store has begun, in seconds: while it
# is away, or up to a second after the operator has written again.
RESTART_AFTER_S = (1.0, 4.5)
# Pause between two drills, in seconds; the next one may come before the operator has
# written again.
DRILL_PAUSES_S = (0.0, 0.5, 3.0)
# Pauses between two restarts while the request comes again, in seconds.
RESTART_PAUSES_S = (0.0, 0.5, 2.0, 3.5)


@attrs.define
class PoisonChecker:
    """
    Checks the arrivals of the request that crashes engines.

    Besides the users' bound, it may reach no engine after the first restart, which
    begins when all nodes have been told: a node that knows is always left.

    :param crashes_s: monotonic time of each crash, in seconds.
    """

    crashes_s: list[float] = attrs.field(factory=list)
    _bound: SectionChecker = attrs.field(
        factory=lambda: SectionChecker(late_crashes=LATE_CRASHES)
    )
    _restarted_s: float = float("inf")

    def record_crash(self) -> None:
        self.crashes_s.append(time.monotonic())
        self._bound.record_crash()

    def record_first_restart(self) -> None:
        self._restarted_s = time.monotonic()

    def record_disruption(self, node: str) -> None:
        self._bound.record_disruption(node)

    def record_arrival(self, node: str) -> bool:
        """Count a request from a node; return whether a bound is exceeded."""
        late = self._bound.record_arrival(node)
        return late or time.monotonic() > self._restarted_s


@attrs.define
class Restarts:
    """
    Restarts nodes in series that overlap with each other and with other faults.

    :param rng: source of the random choices.
    :param restart: restarts a node, given by its index, with a signal.
    :param replace: replaces a node, given by its index, by another one.
    :param node_count: the number of nodes.
    :param restarted: how many restarts have ended.
    """

    rng: random.Random
    restart: Callable[[int, int], Awaitable[None]]
    replace: Callable[[int], Awaitable[None]]
    node_count: int
    restarted: int = 0
    # One restart of a node at a time.
    _locks: dict[int, asyncio.Lock] = attrs.field(factory=dict)

    async def restart_one(self, after_s: float) -> None:
        """Restart one node in one of the ways, after a time in seconds."""
        await asyncio.sleep(after_s)
        number = self.rng.randrange(self.node_count)
        async with self._locks.setdefault(number, asyncio.Lock()):
            match self.rng.choice(("stop", "kill", "replace")):
                case "stop":
                    await self.restart(number, signal.SIGTERM)
                case "kill":
                    await self.restart(number, signal.SIGKILL)
                case "replace":
                    await self.replace(number)
        self.restarted += 1

    async def run_drills(
        self, end_s: float, drill: Callable[[], Awaitable[None]]
    ) -> None:
        """
        Restart nodes in drills of the store until a monotonic time, in seconds.

        :param drill: takes the store away, and brings an older copy back.
        """
        while time.monotonic() < end_s:
            series = [
                self.restart_one(
                    self.rng.uniform(0.0, self.rng.choice(RESTART_AFTER_S))
                )
                for _ in range(self.rng.randint(1, self.node_count))
            ]
            await asyncio.gather(drill(), *series)
            await asyncio.sleep(self.rng.choice(DRILL_PAUSES_S))

    async def run_series(self, end_s: float) -> None:
        """
        Restart nodes one after the other until a monotonic time, in seconds.

        Two restarts don't overlap: a node that knows of the crashes has to be left.
        """
        while time.monotonic() < end_s:
            await self.restart_one(self.rng.choice(RESTART_PAUSES_S))

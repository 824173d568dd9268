"""Time as decisions see it, so that tests can pass their own."""

import asyncio
import time
from typing import Protocol

import attrs

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """A source of time; every duration is in seconds."""

    def monotonic(self) -> float:
        """Return seconds that never go back; only differences mean anything."""

    def wall(self) -> float:
        """Return seconds since the epoch; it may step in both directions."""

    def boottime(self) -> float:
        """Return seconds that never go back and count time spent suspended."""

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""


@attrs.frozen
class SystemClock:
    """The machine's clock."""

    def monotonic(self) -> float:
        """Return the machine's monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def boottime(self) -> float:
        """Return the machine's time since its start, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""
        await asyncio.sleep(seconds)


@attrs.define
class ManualClock:
    """A clock that stands still until it is advanced."""

    _monotonic_s: float = 1_000.0
    _wall_s: float = 1_800_000_000.0
    _suspended_s: float = 0.0
    _sleepers: list[tuple[float, asyncio.Event]] = attrs.field(factory=list)

    def monotonic(self) -> float:
        """Return the set monotonic time in seconds."""
        return self._monotonic_s

    def wall(self) -> float:
        """Return the set wall-clock time in seconds."""
        return self._wall_s

    def boottime(self) -> float:
        """Return the set monotonic time plus all time spent suspended."""
        return self._monotonic_s + self._suspended_s

    async def sleep(self, seconds: float) -> None:
        """Wait until the clock was advanced by ``seconds``."""
        event = asyncio.Event()
        self._sleepers.append((self._monotonic_s + seconds, event))
        await event.wait()

    def advance(self, seconds: float) -> None:
        """Move both times on by ``seconds`` and wake who slept that long."""
        self._monotonic_s += seconds
        self._wall_s += seconds
        due = [s for s in self._sleepers if s[0] <= self._monotonic_s]
        self._sleepers = [s for s in self._sleepers if s[0] > self._monotonic_s]
        for _, event in due:
            event.set()

    def suspend(self, seconds: float) -> None:
        """Let time pass that only the boot-time and wall clocks count."""
        self._suspended_s += seconds
        self._wall_s += seconds

    def step_wall(self, seconds: float) -> None:
        """Step the wall clock alone, as an operator or a time service would."""
        self._wall_s += seconds

"""Clocks: an interface, the system clock, and a clock that tests set by hand."""

import asyncio
import time
from typing import Protocol

import attrs

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """A source of time; all values are in seconds."""

    def monotonic(self) -> float:
        """Return a time that never goes back; only differences are meaningful."""

    def wall(self) -> float:
        """Return seconds since the epoch; this time may step forward or back."""

    def boottime(self) -> float:
        """Return a time that never goes back and includes time spent suspended."""

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""


@attrs.frozen
class SystemClock:
    """The clock of the operating system."""

    def monotonic(self) -> float:
        """Return the system's monotonic time."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def boottime(self) -> float:
        """Return the time since the system's start, suspended time included."""
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
        """Return the monotonic time that was set."""
        return self._monotonic_s

    def wall(self) -> float:
        """Return the wall-clock time that was set."""
        return self._wall_s

    def boottime(self) -> float:
        """Return the monotonic time plus all time spent suspended."""
        return self._monotonic_s + self._suspended_s

    async def sleep(self, seconds: float) -> None:
        """Wait until the clock has been advanced by ``seconds``."""
        event = asyncio.Event()
        self._sleepers.append((self._monotonic_s + seconds, event))
        await event.wait()

    def advance(self, seconds: float) -> None:
        """Advance all clocks by ``seconds`` and wake the sleepers that are due."""
        self._monotonic_s += seconds
        self._wall_s += seconds
        due = [s for s in self._sleepers if s[0] <= self._monotonic_s]
        self._sleepers = [s for s in self._sleepers if s[0] > self._monotonic_s]
        for _, event in due:
            event.set()

    def suspend(self, seconds: float) -> None:
        """Advance only the boot-time and wall clocks, as a suspended system does."""
        self._suspended_s += seconds
        self._wall_s += seconds

    def step_wall(self, seconds: float) -> None:
        """Step only the wall clock, as an operator or a time service would."""
        self._wall_s += seconds

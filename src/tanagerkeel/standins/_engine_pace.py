"""Timing of prefill and decoding in a stand-in engine."""

import asyncio
import heapq
import itertools
from collections.abc import Awaitable, Callable, Iterator

import attrs

from tanagerkeel.clock import Clock

__all__ = ["Pacer", "PrefillQueue"]

PREFILL_STEP_TOKENS = 2_048
# The event loop can't time shorter sleeps exactly; they are added to the next wait.
MIN_SLEEP_S = 0.001
# A delay beyond this, such as a pause of the engine, isn't caught up on.
MAX_CATCH_UP_S = 0.05


@attrs.define
class Pacer:
    """
    Schedules waits one after another, so that their total is exact.

    A wait that ends late shortens the next one. Short waits are joined into one sleep.

    :param clock: source of time.
    """

    _clock: Clock
    _due_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._due_s = self._clock.monotonic()

    async def wait(self, seconds: float) -> None:
        """Wait until ``seconds`` after the time at which the last wait was due."""
        now = self._clock.monotonic()
        self._due_s = max(self._due_s, now - MAX_CATCH_UP_S) + seconds
        left_s = self._due_s - now
        if left_s > MIN_SLEEP_S:
            await self._clock.sleep(left_s)
        else:
            await asyncio.sleep(0)


@attrs.define(order=False)
class _PrefillJob:
    priority: int
    number: int
    tokens: int
    done: asyncio.Event = attrs.field(factory=asyncio.Event)
    cancelled: bool = False

    def __lt__(self, other: "_PrefillJob") -> bool:
        return (self.priority, self.number) < (other.priority, other.number)


@attrs.define
class PrefillQueue:
    """
    Prefills prompts in steps, each for one job.

    The job with the lowest priority number goes first; among equals, the oldest.

    :param clock: source of time.
    :param rate: returns the current prefill rate, in tokens a second.
    :param wait_while_paused: waits while the engine is paused.
    """

    _clock: Clock
    _rate: Callable[[], float]
    _wait_while_paused: Callable[[], Awaitable[None]]
    _jobs: list[_PrefillJob] = attrs.field(factory=list)
    _job_numbers: Iterator[int] = attrs.field(factory=itertools.count)
    _worker: asyncio.Task | None = None

    @property
    def waiting_tokens(self) -> int:
        """Tokens that wait for prefill."""
        return sum(job.tokens for job in self._jobs if not job.cancelled)

    async def run(self, tokens: int, priority: int) -> None:
        """Wait until this many tokens are prefilled; cancelling drops the rest."""
        if tokens <= 0:
            return
        job = _PrefillJob(priority, next(self._job_numbers), tokens)
        heapq.heappush(self._jobs, job)
        if self._worker is None:
            self._worker = asyncio.create_task(self._work())
        try:
            await job.done.wait()
        finally:
            job.cancelled = True

    def clear(self) -> None:
        """Drop every job, as a crash does; all waiting calls of :meth:`run` return."""
        if self._worker is not None:
            self._worker.cancel()
        self._worker = None
        for job in self._jobs:
            job.done.set()
        self._jobs.clear()

    async def _work(self) -> None:
        pacer = Pacer(self._clock)
        while self._jobs:
            job = self._jobs[0]
            if job.cancelled or job.tokens <= 0:
                job.done.set()
                # This job may no longer be first: a more urgent one may have arrived.
                self._jobs.remove(job)
                heapq.heapify(self._jobs)
                continue
            step = min(job.tokens, PREFILL_STEP_TOKENS)
            await self._wait_while_paused()
            await pacer.wait(step / self._rate())
            job.tokens -= step
        self._worker = None

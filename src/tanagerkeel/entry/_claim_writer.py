"""Gather a shard's records and write each batch as one segment."""

import asyncio

import attrs

from tanagerkeel.claims import (
    CallDone,
    CallNotRun,
    CallOutcomes,
    CallOutcomeUnknown,
    Claim,
    ClaimPolicy,
    ClaimResult,
    ClaimStatus,
)
from tanagerkeel.clock import Clock
from tanagerkeel.entry._claim_log import ClaimLog
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.platform import PlatformGateway, PlatformUnavailable

__all__ = ["ClaimWriter", "PlatformState"]

MAX_WAITING = 4_000
MAX_READ_AGE_S = 1.0
RETRY_S = 0.2
PROBE_S = 1.0
NO_OUTCOMES = CallOutcomes()


@attrs.define(eq=False)
class _Pending:
    future: asyncio.Future
    deadline_s: float
    claim: Claim | None = None
    outcomes: CallOutcomes = NO_OUTCOMES
    written: bool = False

    def answer(self, result: ClaimResult | None) -> None:
        if not self.future.done():
            self.future.set_result(result)


@attrs.define
class PlatformState:
    """
    Whether the platform answers this node's writers.

    :param failing_since_s: monotonic time of the first failure; None when it does.
    """

    failing_since_s: float | None = None

    def is_down(self, now: float, record_timeout_s: float) -> bool:
        """Return whether it has failed for ``record_timeout_s``."""
        since_s = self.failing_since_s
        return since_s is not None and now - since_s >= record_timeout_s


@attrs.define
class ClaimWriter:
    """
    The one writer of a shard on this node.

    :param platform: the platform's service.
    :param shard: number of the shard.
    :param policy: bounds of the log.
    :param clock: source of time.
    :param state: shared by the writers of a node.
    """

    _platform: PlatformGateway
    _shard: int
    _policy: ClaimPolicy
    _clock: Clock
    _state: PlatformState
    _log: ClaimLog = attrs.field(init=False)
    _queue: "asyncio.Queue[_Pending]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_WAITING), init=False
    )
    _used_s: float = attrs.field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self._log = self._new_log()

    async def claim(self, claim: Claim) -> ClaimResult:
        """Record a claim and return what the log says to it."""
        if self._is_down():
            return ClaimResult(ClaimStatus.UNAVAILABLE)
        result = await self._submit(claim=claim)
        return result or ClaimResult(ClaimStatus.UNAVAILABLE)

    async def record_outcomes(self, outcomes: CallOutcomes) -> bool:
        """Record how claims ended; return whether that is known to be recorded."""
        if self._is_down():
            return False
        return await self._submit(outcomes=outcomes) is not None

    async def run(self) -> None:
        """Write batch after batch until cancelled."""
        while True:
            batch = [await self._queue.get()]
            await self._clock.sleep(self._policy.batch_interval_s)
            while len(batch) < self._policy.max_batch_size and not self._queue.empty():
                batch.append(self._queue.get_nowait())
            await self._commit(batch)
            self._used_s = self._clock.monotonic()

    async def probe(self) -> None:
        """Read the log while it can't be written, until it can."""
        while True:
            await self._clock.sleep(PROBE_S)
            if self._state.failing_since_s is not None and self._queue.empty():
                await self._try_read()

    def forget_if_idle(self, idle_s: float) -> None:
        """Free the table's memory when nothing was written for ``idle_s``."""
        idle = self._clock.monotonic() - self._used_s >= idle_s
        if idle and self._log.is_loaded and self._queue.empty():
            self._log = self._new_log()

    def _new_log(self) -> ClaimLog:
        return ClaimLog(self._platform, self._shard, self._policy, self._clock)

    def _is_down(self) -> bool:
        return self._state.is_down(
            self._clock.monotonic(), self._policy.record_timeout_s
        )

    async def _submit(
        self, claim: Claim | None = None, outcomes: CallOutcomes = NO_OUTCOMES
    ) -> ClaimResult | None:
        future = asyncio.get_running_loop().create_future()
        deadline_s = self._clock.monotonic() + self._policy.record_timeout_s
        try:
            self._queue.put_nowait(_Pending(future, deadline_s, claim, outcomes))
        except asyncio.QueueFull:
            return None
        return await future

    async def _commit(self, batch: list[_Pending]) -> None:
        try:
            while batch:
                batch = await self._step(batch)
        finally:
            for pending in batch:
                pending.answer(_given_up(pending))

    async def _step(self, batch: list[_Pending]) -> list[_Pending]:
        try:
            await self._log.refresh(self._max_read_age_s(batch))
            batch = self._settle(batch)
            if batch:
                await self._append(batch)
            self._state.failing_since_s = None
        except PlatformUnavailable as error:
            self._note_failure(error)
            await self._clock.sleep(RETRY_S)
            return self._without_late(batch)
        return self._settle(batch)

    def _max_read_age_s(self, batch: list[_Pending]) -> float:
        # After a failure a read tells first whether a write makes sense.
        if self._state.failing_since_s is not None:
            return 0.0
        # An outcome stays as it is; anything else may have ended elsewhere.
        now = self._clock.monotonic()
        claims = (p.claim for p in batch if p.claim is not None)
        results = (self._log.table.evaluate(claim, now) for claim in claims)
        lasting = (None, ClaimStatus.DONE, ClaimStatus.GRANTED)
        passing = any(v is not None and v.status not in lasting for v in results)
        return 0.0 if passing else MAX_READ_AGE_S

    async def _append(self, batch: list[_Pending]) -> None:
        outcomes = _merged([pending.outcomes for pending in batch])
        claims = tuple(p.claim for p in batch if p.claim is not None)
        for pending in batch:
            pending.written = True
        if await self._log.append(outcomes, claims):
            for pending in batch:
                if pending.claim is None:
                    pending.answer(ClaimResult(ClaimStatus.GRANTED))

    def _settle(self, batch: list[_Pending]) -> list[_Pending]:
        now = self._clock.monotonic()
        for pending in batch:
            if pending.claim is not None and not pending.future.done():
                result = self._log.table.evaluate(pending.claim, now)
                if result is not None:
                    pending.answer(result)
        return [pending for pending in batch if not pending.future.done()]

    def _without_late(self, batch: list[_Pending]) -> list[_Pending]:
        now = self._clock.monotonic()
        for pending in batch:
            if pending.deadline_s <= now:
                pending.answer(_given_up(pending))
        return [pending for pending in batch if not pending.future.done()]

    async def _try_read(self) -> None:
        try:
            await self._log.refresh(0.0)
        except PlatformUnavailable:
            return
        self._state.failing_since_s = None

    def _note_failure(self, error: PlatformUnavailable) -> None:
        if self._state.failing_since_s is None:
            self._state.failing_since_s = self._clock.monotonic()
            log(
                LogEvent.CLAIMS_UNAVAILABLE,
                shard=self._shard,
                error=error.reason,
            )


def _given_up(pending: _Pending) -> ClaimResult | None:
    if pending.claim is None:
        return None
    return ClaimResult(
        ClaimStatus.IN_DOUBT if pending.written else ClaimStatus.UNAVAILABLE
    )


def _merged(groups: list[CallOutcomes]) -> CallOutcomes:
    done: list[CallDone] = []
    unknown: list[CallOutcomeUnknown] = []
    not_run: list[CallNotRun] = []
    for group in groups:
        done.extend(group.done)
        unknown.extend(group.unknown)
        not_run.extend(group.not_run)
    return CallOutcomes(tuple(done), tuple(unknown), tuple(not_run))

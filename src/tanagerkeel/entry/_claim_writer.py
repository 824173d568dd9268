"""Collect a shard's records and write each batch as one segment."""

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

__all__ = ["ClaimWriter", "PlatformHealth"]

MAX_QUEUED_RECORDS = 4_000
# The log is read before a write unless the last read is more recent than this.
MAX_READ_AGE_S = 1.0
RETRY_DELAY_S = 0.2
PROBE_INTERVAL_S = 1.0
NO_OUTCOMES = CallOutcomes()


@attrs.define(eq=False)
class _PendingRecord:
    future: asyncio.Future
    deadline_s: float
    claim: Claim | None = None
    outcomes: CallOutcomes = NO_OUTCOMES
    may_be_written: bool = False

    def resolve(self, result: ClaimResult | None) -> None:
        if not self.future.done():
            self.future.set_result(result)


@attrs.define
class PlatformHealth:
    """
    Whether the platform's store works for this node's writers.

    :param failing_since_s: monotonic time of the first failure since the last
        success, in seconds; None when the last access succeeded.
    """

    failing_since_s: float | None = None

    def is_down(self, now: float, record_timeout_s: float) -> bool:
        """
        Return whether the platform has been failing for ``record_timeout_s``.

        :param now: monotonic time, in seconds.
        """
        since_s = self.failing_since_s
        return since_s is not None and now - since_s >= record_timeout_s


@attrs.define
class ClaimWriter:
    """
    Writes one shard's log; a node has one writer for each shard.

    :param platform: the store that holds the log.
    :param shard: number of the shard, part of the log's keys.
    :param policy: limits and times of the log.
    :param clock: its monotonic time dates records and failures.
    :param health: shared by the writers of a node.
    """

    _platform: PlatformGateway
    _shard: int
    _policy: ClaimPolicy
    _clock: Clock
    _health: PlatformHealth
    _log: ClaimLog = attrs.field(init=False)
    _queue: "asyncio.Queue[_PendingRecord]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_RECORDS), init=False
    )
    _last_write_s: float = attrs.field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self._log = self._new_log()

    async def claim(self, claim: Claim) -> ClaimResult:
        """Record a claim and return how it was decided."""
        if self._is_down():
            return ClaimResult(ClaimStatus.UNAVAILABLE)
        result = await self._submit(claim=claim)
        return result or ClaimResult(ClaimStatus.UNAVAILABLE)

    async def record_outcomes(self, outcomes: CallOutcomes) -> bool:
        """Record outcomes; return whether they are known to be recorded."""
        if self._is_down():
            return False
        return await self._submit(outcomes=outcomes) is not None

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            batch = [await self._queue.get()]
            await self._clock.sleep(self._policy.batch_interval_s)
            while len(batch) < self._policy.max_batch_size and not self._queue.empty():
                batch.append(self._queue.get_nowait())
            await self._commit(batch)
            self._last_write_s = self._clock.monotonic()

    async def probe(self) -> None:
        """
        Read the log at intervals while the platform fails.

        While it counts as down, no records are submitted, so nothing else would
        notice that it works again. Runs until cancelled.
        """
        while True:
            await self._clock.sleep(PROBE_INTERVAL_S)
            if self._health.failing_since_s is not None and self._queue.empty():
                await self._probe_once()

    def unload_if_idle(self, idle_s: float) -> None:
        """Free the table's memory if no batch was written for ``idle_s``."""
        idle = self._clock.monotonic() - self._last_write_s >= idle_s
        if idle and self._log.is_loaded and self._queue.empty():
            self._log = self._new_log()

    def _new_log(self) -> ClaimLog:
        return ClaimLog(self._platform, self._shard, self._policy, self._clock)

    def _is_down(self) -> bool:
        return self._health.is_down(
            self._clock.monotonic(), self._policy.record_timeout_s
        )

    async def _submit(
        self, claim: Claim | None = None, outcomes: CallOutcomes = NO_OUTCOMES
    ) -> ClaimResult | None:
        future = asyncio.get_running_loop().create_future()
        deadline_s = self._clock.monotonic() + self._policy.record_timeout_s
        try:
            self._queue.put_nowait(_PendingRecord(future, deadline_s, claim, outcomes))
        except asyncio.QueueFull:
            return None
        return await future

    async def _commit(self, batch: list[_PendingRecord]) -> None:
        try:
            while batch:
                batch = await self._try_commit(batch)
        finally:
            for pending in batch:
                pending.resolve(_undecided_result(pending))

    async def _try_commit(self, batch: list[_PendingRecord]) -> list[_PendingRecord]:
        try:
            await self._log.refresh(self._max_read_age_s(batch))
            batch = self._resolve_decided(batch)
            if batch:
                await self._append(batch)
            self._health.failing_since_s = None
        except PlatformUnavailable as error:
            self._record_failure(error)
            await self._clock.sleep(RETRY_DELAY_S)
            return self._resolve_expired(batch)
        return self._resolve_decided(batch)

    def _max_read_age_s(self, batch: list[_PendingRecord]) -> float:
        # After a failure, a read finds out whether the platform works again.
        if self._health.failing_since_s is not None:
            return 0.0
        # DONE and GRANTED don't change. Any other status may be outdated, as another
        # node may have recorded the outcome of the earlier claim.
        now = self._clock.monotonic()
        claims = (p.claim for p in batch if p.claim is not None)
        results = (self._log.table.evaluate(claim, now) for claim in claims)
        final_statuses = (None, ClaimStatus.DONE, ClaimStatus.GRANTED)
        may_change = any(
            r is not None and r.status not in final_statuses for r in results
        )
        return 0.0 if may_change else MAX_READ_AGE_S

    async def _append(self, batch: list[_PendingRecord]) -> None:
        outcomes = _merge([pending.outcomes for pending in batch])
        claims = tuple(p.claim for p in batch if p.claim is not None)
        for pending in batch:
            pending.may_be_written = True
        if await self._log.append(outcomes, claims):
            for pending in batch:
                if pending.claim is None:
                    pending.resolve(ClaimResult(ClaimStatus.GRANTED))

    def _resolve_decided(self, batch: list[_PendingRecord]) -> list[_PendingRecord]:
        now = self._clock.monotonic()
        for pending in batch:
            if pending.claim is not None and not pending.future.done():
                result = self._log.table.evaluate(pending.claim, now)
                if result is not None:
                    pending.resolve(result)
        return [pending for pending in batch if not pending.future.done()]

    def _resolve_expired(self, batch: list[_PendingRecord]) -> list[_PendingRecord]:
        now = self._clock.monotonic()
        for pending in batch:
            if pending.deadline_s <= now:
                pending.resolve(_undecided_result(pending))
        return [pending for pending in batch if not pending.future.done()]

    async def _probe_once(self) -> None:
        try:
            await self._log.refresh(0.0)
        except PlatformUnavailable:
            return
        self._health.failing_since_s = None

    def _record_failure(self, error: PlatformUnavailable) -> None:
        if self._health.failing_since_s is None:
            self._health.failing_since_s = self._clock.monotonic()
            log(
                LogEvent.CLAIMS_UNAVAILABLE,
                shard=self._shard,
                error=error.reason,
            )


def _undecided_result(pending: _PendingRecord) -> ClaimResult | None:
    if pending.claim is None:
        return None
    return ClaimResult(
        ClaimStatus.IN_DOUBT if pending.may_be_written else ClaimStatus.UNAVAILABLE
    )


def _merge(groups: list[CallOutcomes]) -> CallOutcomes:
    done: list[CallDone] = []
    unknown: list[CallOutcomeUnknown] = []
    not_run: list[CallNotRun] = []
    for group in groups:
        done.extend(group.done)
        unknown.extend(group.unknown)
        not_run.extend(group.not_run)
    return CallOutcomes(tuple(done), tuple(unknown), tuple(not_run))

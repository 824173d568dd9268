"""The claims of one shard, built from the records of its log."""

import enum
from collections.abc import Iterator

import attrs

from tanagerkeel.claims._records import (
    CallDone,
    CallNotRun,
    CallOutcomeUnknown,
    Claim,
    Segment,
    SnapshotEntry,
    SnapshotPart,
)

__all__ = ["ClaimResult", "ClaimStatus", "ClaimTable"]


class ClaimStatus(enum.StrEnum):
    """
    How a claim was decided.

    ``GRANTED``: the caller may run the call.
    ``IN_PROGRESS``: another claim of the key is open and within its time limit.
    ``UNKNOWN``: the call may have run.
    ``DONE``: the call ran and was answered.
    ``REUSED``: the key was used with another body before.
    ``UNAVAILABLE``: the claim could not be recorded and has no effect.
    ``IN_DOUBT``: whether the claim was recorded is unknown.
    """

    GRANTED = "granted"
    IN_PROGRESS = "in progress"
    UNKNOWN = "unknown"
    DONE = "done"
    REUSED = "reused"
    UNAVAILABLE = "unavailable"
    IN_DOUBT = "in doubt"


@attrs.frozen
class ClaimResult:
    """
    The decision on a claim.

    :param status: how the claim was decided.
    :param done: the recorded outcome, when the call is done.
    :param remaining_s: time until the limit of a call in progress, in seconds.
    """

    status: ClaimStatus
    done: CallDone | None = None
    remaining_s: float = 0.0


@attrs.define
class _Entry:
    claim: Claim
    first_seen_s: float
    done: CallDone | None = None
    unknown: bool = False


@attrs.define
class ClaimTable:
    """
    The claims of one shard; times are this node's monotonic time, in seconds.

    A claim's age counts only the time in which nodes held the claim in a table, so
    it is underestimated rather than overestimated. No wall clock is used.

    :param window_s: how long the outcome of a call is kept, in seconds.
    :param max_open_claims: maximum number of open claims; further ones are refused.
    """

    _window_s: float
    _max_open_claims: int
    _entries: dict[str, _Entry] = attrs.field(factory=dict)
    # Ids of voided claims, each with the time at which this node learned of it.
    _voided_at_s: dict[str, float] = attrs.field(factory=dict)
    _open_claims: int = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def open_count(self) -> int:
        """The number of claims that are not done, those of unknown outcome included."""
        return self._open_claims

    def evaluate(self, claim: Claim, now: float) -> ClaimResult | None:
        """Return the decision on a claim, or None when it has yet to be recorded."""
        entry = self._entries.get(claim.key)
        if entry is None:
            is_refused = (
                self._open_claims >= self._max_open_claims
                or claim.claim_id in self._voided_at_s
            )
            return ClaimResult(ClaimStatus.UNAVAILABLE) if is_refused else None
        if entry.claim.body_digest != claim.body_digest:
            return ClaimResult(ClaimStatus.REUSED)
        if entry.done is not None:
            return ClaimResult(ClaimStatus.DONE, entry.done)
        if entry.claim.claim_id == claim.claim_id and not entry.unknown:
            return ClaimResult(ClaimStatus.GRANTED)
        remaining_s = entry.claim.timeout_s - (now - entry.first_seen_s)
        if entry.unknown or remaining_s <= 0:
            return ClaimResult(ClaimStatus.UNKNOWN)
        return ClaimResult(ClaimStatus.IN_PROGRESS, remaining_s=remaining_s)

    def apply(self, segment: Segment, now: float) -> None:
        """Apply the next segment of the log."""
        for done in segment.outcomes.done:
            self._record_done(done)
        for unknown in segment.outcomes.unknown:
            self._record_unknown(unknown)
        for not_run in segment.outcomes.not_run:
            self._record_not_run(not_run, now)
        for claim in segment.claims:
            self._record_claim(claim, now)

    def restore(self, part: SnapshotPart, now: float) -> None:
        """Add the claims of one part of a snapshot."""
        for saved in part.entries:
            entry = _Entry(saved.claim, now - saved.age_s, saved.done, saved.unknown)
            self._open_claims += saved.done is None
            self._entries[saved.claim.key] = entry
        self._voided_at_s |= dict.fromkeys(part.voided_claim_ids, now)

    def expire(self, now: float) -> None:
        """
        Drop outcomes that are older than the window.

        A claim without an outcome is kept whatever its age: its owner may be
        paused, and may send the call when it resumes.
        """
        limit_s = now - self._window_s
        expired = [
            key
            for key, entry in self._entries.items()
            if entry.done is not None and entry.first_seen_s < limit_s
        ]
        for key in expired:
            del self._entries[key]
        self._voided_at_s = {
            i: at for i, at in self._voided_at_s.items() if at >= limit_s
        }

    def snapshot(self, now: float, max_part_entries: int) -> Iterator[SnapshotPart]:
        """
        Yield the parts of a snapshot.

        :param max_part_entries: maximum number of claims in a part.
        """
        self.expire(now)
        entries = [
            SnapshotEntry(e.claim, now - e.first_seen_s, e.done, e.unknown)
            for e in self._entries.values()
        ]
        voided_claim_ids = tuple(self._voided_at_s)
        for start in range(0, max(1, len(entries)), max_part_entries):
            yield SnapshotPart(
                tuple(entries[start : start + max_part_entries]), voided_claim_ids
            )
            voided_claim_ids = ()

    def entries_missing_in(self, other: "ClaimTable") -> Iterator[SnapshotEntry]:
        """Yield the claims that ``other`` lacks, and those done only in this table."""
        for key, entry in self._entries.items():
            found = other._entries.get(key)
            is_missing = found is None or (
                found.done is None and entry.done is not None
            )
            if is_missing:
                yield SnapshotEntry(entry.claim, 0.0, entry.done, entry.unknown)

    def _record_claim(self, claim: Claim, now: float) -> None:
        if claim.key in self._entries or claim.claim_id in self._voided_at_s:
            return
        self._entries[claim.key] = _Entry(claim, now)
        self._open_claims += 1

    def _unfinished_entry(
        self, record: CallDone | CallOutcomeUnknown | CallNotRun
    ) -> _Entry | None:
        entry = self._entries.get(record.key)
        if entry is None or entry.claim.claim_id != record.claim_id:
            return None
        return entry if entry.done is None else None

    def _record_done(self, done: CallDone) -> None:
        entry = self._unfinished_entry(done)
        if entry is not None:
            entry.done = done
            self._open_claims -= 1

    def _record_unknown(self, unknown: CallOutcomeUnknown) -> None:
        entry = self._unfinished_entry(unknown)
        if entry is not None:
            entry.unknown = True

    def _record_not_run(self, not_run: CallNotRun, now: float) -> None:
        # A slower writer may append the claim to the log after this record.
        self._voided_at_s[not_run.claim_id] = now
        entry = self._unfinished_entry(not_run)
        if entry is not None and not entry.unknown:
            del self._entries[not_run.key]
            self._open_claims -= 1

"""The claim log of one shard in the platform's key-value store."""

import attrs

from tanagerkeel import codec
from tanagerkeel.claims import (
    CallOutcomes,
    CallOutcomeUnknown,
    Claim,
    ClaimPolicy,
    ClaimTable,
    Segment,
    SnapshotEntry,
    SnapshotManifest,
    SnapshotPart,
    new_id,
)
from tanagerkeel.clock import Clock
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.platform import (
    ABSENT,
    CompareFailed,
    PlatformGateway,
    PlatformUnavailable,
    StoreEntry,
)

__all__ = ["ClaimLog"]

# The log may change while it is read; it is read at most this many times.
MAX_LOAD_ATTEMPTS = 4


@attrs.frozen
class _StoredSegment:
    segment: Segment
    revision: int


@attrs.define
class ClaimLog:
    """
    Reads and extends one shard's log.

    The log is a ring buffer of keys. Segment ``n`` replaces segment ``n - slots``
    by compare-and-swap on the revision that was read. A writer that was paused
    therefore can't overwrite a slot that was reused, and no key has to be deleted.

    :param platform: the store that holds the log.
    :param shard: number of the shard, part of the log's keys.
    :param policy: limits of the log.
    :param clock: its monotonic time dates what was read.
    """

    _platform: PlatformGateway
    _shard: int
    _policy: ClaimPolicy
    _clock: Clock
    _table: ClaimTable = attrs.field(init=False)
    _next_segment: int = attrs.field(default=0, init=False)
    _revisions: dict[int, int] = attrs.field(factory=dict, init=False)
    _manifest: SnapshotManifest = attrs.field(default=SnapshotManifest(), init=False)
    _manifest_revision: int = attrs.field(default=ABSENT, init=False)
    # A later write with a lower revision shows that the platform was restored.
    _highest_revision: int = attrs.field(default=ABSENT, init=False)
    _loaded: bool = attrs.field(default=False, init=False)
    _last_read_s: float = attrs.field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self._table = self._new_table()

    @property
    def table(self) -> ClaimTable:
        """The claims in the part of the log that was read."""
        return self._table

    @property
    def is_loaded(self) -> bool:
        """Whether the table holds what was read from the log."""
        return self._loaded

    async def refresh(self, max_age_s: float) -> None:
        """
        Read what other nodes wrote.

        :param max_age_s: skip this if the last read is more recent, in seconds.
        :raises PlatformUnavailable: when the log can't be read.
        """
        now = self._clock.monotonic()
        if not self._loaded:
            await self._load()
        elif now - self._last_read_s >= max_age_s:
            while await self._read_next():
                pass
            self._last_read_s = now

    async def append(self, outcomes: CallOutcomes, claims: tuple[Claim, ...]) -> bool:
        """
        Try to write the next segment; apply the segment that is stored there.

        :returns: whether it was written; False when another writer was first.
        :raises PlatformUnavailable: when that is unknown; the records may be
            appended again, as a repeated record has no effect.
        """
        await self._compact_if_needed()
        number = self._next_segment
        segment = Segment(number, new_id(), outcomes, claims)
        expected = self._revisions.get(self._slot_index(number), ABSENT)
        try:
            revision = await self._platform.put(
                self._segment_key(number), codec.pack_compact(segment), expected
            )
        except CompareFailed:
            if not await self._read_next():
                await self._recover_from_rollback()
            return False
        self._apply(segment, revision)
        self._last_read_s = self._clock.monotonic()
        if revision < self._highest_revision:
            await self._recover_from_rollback()
        self._highest_revision = max(self._highest_revision, revision)
        return True

    async def compact(self) -> None:
        """
        Write a snapshot, so that the slots of older segments can be reused.

        :raises PlatformUnavailable: when it can't be written.
        """
        now = self._clock.monotonic()
        snapshot_id = new_id()
        parts = list(self._table.snapshot(now, self._policy.max_part_entries))
        manifest = SnapshotManifest(self._next_segment - 1, snapshot_id, len(parts))
        for index, part in enumerate(parts):
            await self._platform.put(
                self._part_key(snapshot_id, index), codec.pack_compact(part), ABSENT
            )
        old = self._manifest
        try:
            self._manifest_revision = await self._platform.put(
                self._manifest_key,
                codec.pack_compact(manifest),
                self._manifest_revision,
            )
        except CompareFailed:
            await self._delete_parts(manifest)
            self._loaded = False
            await self._load()
            return
        self._manifest = manifest
        log(
            LogEvent.CLAIMS_COMPACTED,
            shard=self._shard,
            claims=len(self._table),
            parts=len(parts),
        )
        await self._delete_parts(old)

    @property
    def _manifest_key(self) -> str:
        return f"claims/{self._shard}/base"

    def _slot_index(self, number: int) -> int:
        return number % self._policy.slots

    def _segment_key(self, number: int) -> str:
        return f"claims/{self._shard}/log/{self._slot_index(number)}"

    def _part_key(self, snapshot_id: str, index: int) -> str:
        return f"claims/{self._shard}/snapshot/{snapshot_id}/{index}"

    def _new_table(self) -> ClaimTable:
        return ClaimTable(self._policy.window_s, self._policy.max_open_claims)

    async def _compact_if_needed(self) -> None:
        """Compact when the segments after the snapshot fill half of the slots."""
        if self._next_segment - self._manifest.last_segment > self._policy.slots // 2:
            await self.compact()

    async def _delete_parts(self, manifest: SnapshotManifest) -> None:
        for index in range(manifest.part_count):
            try:
                await self._platform.delete(self._part_key(manifest.snapshot_id, index))
            except PlatformUnavailable:
                # The parts stay in the store; no manifest refers to them.
                return

    async def _load(self) -> None:
        now = self._clock.monotonic()
        for _ in range(MAX_LOAD_ATTEMPTS):
            stored_segments = await self._load_once(now)
            # A segment beyond a gap means that others wrote while this node read.
            if stored_segments is not None and not self._segments_beyond_gap(
                stored_segments
            ):
                break
        else:
            if stored_segments is None:
                raise PlatformUnavailable("the snapshot of the claims is incomplete")
            # The gap is still there: its segments are lost, as the platform was
            # restored to an older state.
            await self._rewrite_beyond_gap(stored_segments)
        self._loaded = True
        self._last_read_s = now

    async def _load_once(self, now: float) -> dict[int, _StoredSegment] | None:
        """
        Read the snapshot and the segments that follow it without a gap.

        :returns: all stored segments by slot; None when a part of the snapshot is
            missing, as happens when another node replaces it meanwhile.
        """
        entry = await self._platform.get(self._manifest_key)
        self._manifest = (
            codec.unpack_compact(entry.value, SnapshotManifest)
            if entry
            else SnapshotManifest()
        )
        self._manifest_revision = entry.revision if entry else ABSENT
        table = self._new_table()
        for index in range(self._manifest.part_count):
            part = await self._platform.get(
                self._part_key(self._manifest.snapshot_id, index)
            )
            if part is None:
                return None
            table.restore(codec.unpack_compact(part.value, SnapshotPart), now)
        entries = await self._platform.list(f"claims/{self._shard}/log/")
        stored_segments = {
            self._slot_index(s.segment.number): s for s in map(_decode_segment, entries)
        }
        self._revisions = {
            slot: found.revision for slot, found in stored_segments.items()
        }
        self._table = table
        self._next_segment = self._manifest.last_segment + 1
        while (
            found := stored_segments.get(self._slot_index(self._next_segment))
        ) is not None:
            if found.segment.number != self._next_segment:
                break
            self._apply(found.segment, found.revision)
        self._highest_revision = max(
            (self._highest_revision, self._manifest_revision, *self._revisions.values())
        )
        return stored_segments

    def _segments_beyond_gap(
        self, stored_segments: dict[int, _StoredSegment]
    ) -> list[_StoredSegment]:
        found = [
            s
            for s in stored_segments.values()
            if s.segment.number >= self._next_segment
        ]
        return sorted(found, key=lambda s: s.segment.number)

    async def _read_next(self) -> bool:
        """Return whether there was a next segment; it is applied."""
        entry = await self._platform.get(self._segment_key(self._next_segment))
        if entry is None:
            return False
        stored = _decode_segment(entry)
        if stored.segment.number > self._next_segment:
            self._loaded = False
            await self._load()
            return True
        if stored.segment.number < self._next_segment:
            return False
        self._apply(stored.segment, stored.revision)
        self._highest_revision = max(self._highest_revision, stored.revision)
        return True

    def _apply(self, segment: Segment, revision: int) -> None:
        self._table.apply(segment, self._clock.monotonic())
        self._revisions[self._slot_index(segment.number)] = revision
        self._next_segment = segment.number + 1

    async def _recover_from_rollback(self) -> None:
        """Reload, and write again what was lost when the platform was restored."""
        known_table = self._table
        log(LogEvent.CLAIMS_WENT_BACK, shard=self._shard, known=len(known_table))
        self._loaded = False
        self._highest_revision = ABSENT
        await self._load()
        await self._rewrite_missing(known_table)

    async def _rewrite_beyond_gap(
        self, stored_segments: dict[int, _StoredSegment]
    ) -> None:
        log(LogEvent.CLAIMS_WENT_BACK, shard=self._shard, known=len(stored_segments))
        lost_table = self._new_table()
        for stored in self._segments_beyond_gap(stored_segments):
            lost_table.apply(stored.segment, self._clock.monotonic())
        await self._rewrite_missing(lost_table)

    async def _rewrite_missing(self, known_table: ClaimTable) -> None:
        """Append the known claims and outcomes that the loaded log lacks."""
        missing = list(known_table.entries_missing_in(self._table))
        for start in range(0, len(missing), self._policy.max_batch_size):
            batch = missing[start : start + self._policy.max_batch_size]
            batch_claims = tuple(entry.claim for entry in batch)
            # A segment's outcomes are applied before its claims, so the outcomes of
            # these claims go into the segment that follows.
            for outcomes, claims in (
                (CallOutcomes(), batch_claims),
                (_outcomes_of(batch), ()),
            ):
                while not await self.append(outcomes, claims):
                    pass


def _decode_segment(entry: StoreEntry) -> _StoredSegment:
    return _StoredSegment(codec.unpack_compact(entry.value, Segment), entry.revision)


def _outcomes_of(entries: list[SnapshotEntry]) -> CallOutcomes:
    done = tuple(entry.done for entry in entries if entry.done is not None)
    unknown = tuple(
        CallOutcomeUnknown(entry.claim.key, entry.claim.claim_id)
        for entry in entries
        if entry.unknown
    )
    return CallOutcomes(done, unknown)

"""The claim log of one shard in the platform's key-value service."""

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
    Entry,
    PlatformGateway,
    PlatformUnavailable,
)

__all__ = ["ClaimLog"]

LOAD_TRIES = 4


@attrs.frozen
class _Slot:
    segment: Segment
    revision: int


@attrs.define
class ClaimLog:
    """
    Reads and extends one shard's log.

    The log is a ring of keys. Segment ``n`` replaces segment ``n - slots`` by
    compare-and-swap on the revision that was read, so a writer that was paused
    can't write into a place that was used again, and no key has to be deleted.

    :param platform: the platform's service.
    :param shard: number of the shard.
    :param policy: bounds of the log.
    :param clock: source of time.
    """

    _platform: PlatformGateway
    _shard: int
    _policy: ClaimPolicy
    _clock: Clock
    _table: ClaimTable = attrs.field(init=False)
    _next: int = attrs.field(default=0, init=False)
    _revisions: dict[int, int] = attrs.field(factory=dict, init=False)
    _manifest: SnapshotManifest = attrs.field(default=SnapshotManifest(), init=False)
    _manifest_revision: int = attrs.field(default=ABSENT, init=False)
    _highest_revision: int = attrs.field(default=ABSENT, init=False)
    _loaded: bool = attrs.field(default=False, init=False)
    _read_s: float = attrs.field(default=0.0, init=False)

    def __attrs_post_init__(self) -> None:
        self._table = self._new_table()

    @property
    def table(self) -> ClaimTable:
        """The claims as far as the log was read."""
        return self._table

    @property
    def is_loaded(self) -> bool:
        """Whether the log was read."""
        return self._loaded

    async def refresh(self, max_age_s: float) -> None:
        """
        Read what others wrote, unless this was done within ``max_age_s``.

        :raises PlatformUnavailable: when the log can't be read.
        """
        now = self._clock.monotonic()
        if not self._loaded:
            await self._load()
        elif now - self._read_s >= max_age_s:
            while await self._read_next():
                pass
            self._read_s = now

    async def append(self, outcomes: CallOutcomes, claims: tuple[Claim, ...]) -> bool:
        """
        Try to write the next segment, and take in whatever stands there.

        :returns: whether it was written; False when another writer was first.
        :raises PlatformUnavailable: when that is unknown; the records may be
            appended again, as each counts once.
        """
        await self._make_room()
        number = self._next
        segment = Segment(number, new_id(), outcomes, claims)
        expected = self._revisions.get(self._slot(number), ABSENT)
        try:
            revision = await self._platform.put(
                self._key(number), codec.pack_compact(segment), expected
            )
        except CompareFailed:
            if not await self._read_next():
                await self._went_back()
            return False
        self._take(segment, revision)
        self._read_s = self._clock.monotonic()
        if revision < self._highest_revision:
            await self._went_back()
        self._highest_revision = max(self._highest_revision, revision)
        return True

    async def compact(self) -> None:
        """
        Write a snapshot, so that the places of older segments can be used again.

        :raises PlatformUnavailable: when it can't be written.
        """
        now = self._clock.monotonic()
        snapshot_id = new_id()
        parts = list(self._table.snapshot(now, self._policy.max_part_entries))
        manifest = SnapshotManifest(self._next - 1, snapshot_id, len(parts))
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

    def _slot(self, number: int) -> int:
        return number % self._policy.slots

    def _key(self, number: int) -> str:
        return f"claims/{self._shard}/log/{self._slot(number)}"

    def _part_key(self, snapshot_id: str, index: int) -> str:
        return f"claims/{self._shard}/snapshot/{snapshot_id}/{index}"

    def _new_table(self) -> ClaimTable:
        return ClaimTable(self._policy.window_s, self._policy.max_open_claims)

    async def _make_room(self) -> None:
        if self._next - self._manifest.last_segment > self._policy.slots // 2:
            await self.compact()

    async def _delete_parts(self, manifest: SnapshotManifest) -> None:
        for index in range(manifest.part_count):
            try:
                await self._platform.delete(self._part_key(manifest.snapshot_id, index))
            except PlatformUnavailable:
                # Left over; nothing refers to it.
                return

    async def _load(self) -> None:
        now = self._clock.monotonic()
        for _ in range(LOAD_TRIES):
            slots = await self._load_once(now)
            # A segment beyond a gap means that the log moved while it was read.
            if slots is not None and not self._beyond(slots):
                break
        else:
            if slots is None:
                raise PlatformUnavailable("the snapshot of the claims is incomplete")
            # The segments before these are lost: the platform went back.
            await self._restate_beyond(slots)
        self._loaded = True
        self._read_s = now

    async def _load_once(self, now: float) -> dict[int, _Slot] | None:
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
        slots = {self._slot(s.segment.number): s for s in map(_slot_of, entries)}
        self._revisions = {slot: found.revision for slot, found in slots.items()}
        self._table = table
        self._next = self._manifest.last_segment + 1
        while (found := slots.get(self._slot(self._next))) is not None:
            if found.segment.number != self._next:
                break
            self._take(found.segment, found.revision)
        self._highest_revision = max(
            (self._highest_revision, self._manifest_revision, *self._revisions.values())
        )
        return slots

    def _beyond(self, slots: dict[int, _Slot]) -> list[_Slot]:
        found = [s for s in slots.values() if s.segment.number >= self._next]
        return sorted(found, key=lambda s: s.segment.number)

    async def _read_next(self) -> bool:
        entry = await self._platform.get(self._key(self._next))
        if entry is None:
            return False
        slot = _slot_of(entry)
        if slot.segment.number > self._next:
            self._loaded = False
            await self._load()
            return True
        if slot.segment.number < self._next:
            return False
        self._take(slot.segment, slot.revision)
        self._highest_revision = max(self._highest_revision, slot.revision)
        return True

    def _take(self, segment: Segment, revision: int) -> None:
        self._table.apply(segment, self._clock.monotonic())
        self._revisions[self._slot(segment.number)] = revision
        self._next = segment.number + 1

    async def _went_back(self) -> None:
        known = self._table
        log(LogEvent.CLAIMS_WENT_BACK, shard=self._shard, known=len(known))
        self._loaded = False
        self._highest_revision = ABSENT
        await self._load()
        await self._restate(known)

    async def _restate_beyond(self, slots: dict[int, _Slot]) -> None:
        log(LogEvent.CLAIMS_WENT_BACK, shard=self._shard, known=len(slots))
        lost = self._new_table()
        for slot in self._beyond(slots):
            lost.apply(slot.segment, self._clock.monotonic())
        await self._restate(lost)

    async def _restate(self, known: ClaimTable) -> None:
        """Write again what the platform has forgotten."""
        missing = list(known.entries_missing_in(self._table))
        for start in range(0, len(missing), self._policy.max_batch_size):
            batch = missing[start : start + self._policy.max_batch_size]
            claimed = tuple(entry.claim for entry in batch)
            # Outcomes come first in a segment, so theirs is the next one.
            for outcomes, claims in (
                (CallOutcomes(), claimed),
                (_outcomes_of(batch), ()),
            ):
                while not await self.append(outcomes, claims):
                    pass


def _slot_of(entry: Entry) -> _Slot:
    return _Slot(codec.unpack_compact(entry.value, Segment), entry.revision)


def _outcomes_of(entries: list[SnapshotEntry]) -> CallOutcomes:
    done = tuple(entry.done for entry in entries if entry.done is not None)
    unknown = tuple(
        CallOutcomeUnknown(entry.claim.key, entry.claim.claim_id)
        for entry in entries
        if entry.unknown
    )
    return CallOutcomes(done, unknown)

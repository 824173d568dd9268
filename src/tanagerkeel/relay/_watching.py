"""
Which nodes watch the platform's store, and what they can tell the others.

Load pattern: the platform counts each call, a waiting watch as one, and its rates grow
more slowly than the fleet. In a small fleet every node watches. In a larger one two
nodes of each failure domain do, and the others ask them for what has changed.
"""

import collections
import zlib

import attrs

from tanagerkeel.relay._delta import apply_delta, make_delta
from tanagerkeel.rendezvous import rendezvous

__all__ = [
    "SMALL_FLEET",
    "Batch",
    "ChangeLog",
    "StoreEvent",
    "ToldEvent",
    "ValueBook",
    "watchers",
]

# Up to so many nodes all of them watch: the calls are few, and nothing stands between
# a node and the store.
SMALL_FLEET = 16
# Two, so that the loss of one is nobody's loss.
WATCHERS = 2
# Batches that a watcher remembers; a node that is further behind asks the store.
MAX_BATCHES = 64
# Events in one datagram, in bytes once packed: a few dozen entries of backend servers,
# or the changes of several configurations. More is read from the store.
MAX_TOLD_BYTES = 8_000
# What a told value may become when it is unpacked, in bytes: the store's own bound.
MAX_VALUE_BYTES = 1_048_576
# Values from this size on are told as what is new in them, in bytes.
LARGE_BYTES = 2_000

# Key, value (None when it is deleted) and revision of a change.
StoreEvent = tuple[str, bytes | None, int]
# The same as it is told: the value packed, and the revision of the value that it is
# made from; 0 when it is whole.
ToldEvent = tuple[str, bytes | None, int, int]


def watchers(nodes: dict[str, str], domain: str) -> tuple[str, ...]:
    """
    Return the nodes that watch the store for a failure domain.

    :param nodes: failure domain of each node that is alive, by the node's id.
    :param domain: the failure domain.
    """
    if len(nodes) <= SMALL_FLEET:
        return tuple(nodes)
    own = tuple(name for name, its in nodes.items() if its == domain)
    return rendezvous(f"watch {domain}", own)[:WATCHERS]


@attrs.frozen
class Batch:
    """
    Changes that arrived together, as they are told.

    :param after: the revision that was seen before them.
    :param revision: the revision that they lead to.
    :param events: the changes, in order.
    """

    after: int
    revision: int
    events: tuple[ToldEvent, ...] = attrs.field(repr=False)

    @property
    def size(self) -> int:
        """Bytes that it takes to tell it."""
        return sum(len(key) + len(told or b"") + 16 for key, told, _, _ in self.events)


@attrs.define
class ValueBook:
    """The newest large values that a node has seen, with their revisions."""

    _values: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)

    def see(self, event: StoreEvent) -> None:
        """Take in a change that was read from the store."""
        key, value, revision = event
        if value is None or len(value) < LARGE_BYTES:
            self._values.pop(key, None)
        else:
            self._values[key] = (revision, value)

    def pack(self, event: StoreEvent) -> ToldEvent:
        """Return a change as it is told, and take it in."""
        key, value, revision = event
        base, old = self._values.get(key, (0, b""))
        self.see(event)
        if value is None:
            return (key, None, revision, 0)
        if not base or len(value) < LARGE_BYTES:
            return (key, zlib.compress(value), revision, 0)
        return (key, zlib.compress(make_delta(old, value)), revision, base)

    def unpack(self, told: ToldEvent) -> StoreEvent:
        """
        Return a change that was told, and take it in.

        :raises ValueError: when it is damaged, too large, or made from another value.
        """
        key, packed, revision, base = told
        known, old = self._values.get(key, (0, b""))
        if base and known >= revision:
            # It was told, or read from the store, before.
            return (key, old, known)
        value = None if packed is None else _inflate(packed)
        if value is not None and base:
            if known != base:
                raise ValueError(f"{key} is made from revision {base}, not {known}")
            value = apply_delta(old, value, MAX_VALUE_BYTES)
        event = (key, value, revision)
        self.see(event)
        return event


def _inflate(data: bytes) -> bytes:
    unpacking = zlib.decompressobj()
    try:
        value = unpacking.decompress(data, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise ValueError(f"a told value is damaged: {error}") from error
    if not unpacking.eof:
        raise ValueError(f"a told value is over {MAX_VALUE_BYTES} bytes, or cut off")
    return value


@attrs.define
class ChangeLog:
    """The latest changes that a watcher has seen."""

    _batches: "collections.deque[Batch]" = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_BATCHES)
    )

    def add(self, batch: Batch) -> None:
        """Remember a batch; one that doesn't follow the last begins anew."""
        if self._batches and self._batches[-1].revision != batch.after:
            self._batches.clear()
        self._batches.append(batch)

    def forget(self) -> None:
        """Forget all batches, after a listing."""
        self._batches.clear()

    def since(self, revision: int) -> tuple[ToldEvent, ...] | None:
        """
        Return the changes after a revision; None when they can't be told here.

        Changes before the revision may come once more: what they lead to is the same.
        """
        due = [b for b in self._batches if b.revision > revision]
        if not due or due[0].after > revision:
            return None
        if sum(batch.size for batch in due) > MAX_TOLD_BYTES:
            return None
        return tuple(event for batch in due for event in batch.events)

"""
Which nodes watch the platform's store, and what they can tell the others.

Load pattern: the platform counts each call, a waiting watch as one, and its rates grow
more slowly than the fleet. In a small fleet every node watches. In a larger one two
nodes of each failure domain do, and the others ask them for what has changed.
"""

import collections
import zlib

import attrs

from tanagerkeel.rendezvous import rendezvous

__all__ = [
    "SMALL_FLEET",
    "Batch",
    "ChangeLog",
    "StoreEvent",
    "unpack_value",
    "watchers",
]

# Up to so many nodes all of them watch: the calls are few, and nothing stands between
# a node and the store.
SMALL_FLEET = 16
# Two, so that the loss of one is nobody's loss.
WATCHERS = 2
# Batches that a watcher remembers; a node that is further behind asks the store.
MAX_BATCHES = 64
# Events in one datagram, in bytes once compressed: a configuration of some hundred
# routes, or a few dozen entries of backend servers. More is read from the store.
MAX_TOLD_BYTES = 12_000
# What a told value may become when it is unpacked, in bytes: the store's own bound.
MAX_VALUE_BYTES = 1_048_576

# Key, value (None when it is deleted) and revision of a change.
StoreEvent = tuple[str, bytes | None, int]


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
    Changes that arrived together.

    :param after: the revision that was seen before them.
    :param revision: the revision that they lead to.
    :param events: the changes, in order.
    :param packed: the same with their values compressed, as they are told.
    """

    after: int
    revision: int
    events: tuple[StoreEvent, ...] = attrs.field(repr=False)
    packed: tuple[StoreEvent, ...] = attrs.field(init=False, repr=False)

    @packed.default
    def _pack(self) -> tuple[StoreEvent, ...]:
        return tuple(
            (key, None if value is None else zlib.compress(value), revision)
            for key, value, revision in self.events
        )

    @property
    def size(self) -> int:
        """Bytes that it takes to tell it."""
        return sum(len(key) + len(value or b"") + 16 for key, value, _ in self.packed)


def unpack_value(data: bytes) -> bytes:
    """
    Return the value that was told.

    :raises ValueError: when it can't be unpacked, or would be too large.
    """
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

    def since(self, revision: int) -> tuple[StoreEvent, ...] | None:
        """
        Return the changes after a revision; None when they can't be told here.

        Their values are compressed. Changes before the revision may come once more:
        what they lead to is the same.
        """
        due = [b for b in self._batches if b.revision > revision]
        if not due or due[0].after > revision:
            return None
        if sum(batch.size for batch in due) > MAX_TOLD_BYTES:
            return None
        return tuple(event for batch in due for event in batch.packed)

"""
Which nodes watch the platform's store, and what they can tell the others.

Load pattern: the platform counts each call, a waiting watch as one, and its rates grow
more slowly than the fleet. In a small fleet every node watches. In a larger one two
nodes of each failure domain do, and the others ask them for what has changed.
"""

import collections

import attrs

from tanagerkeel.rendezvous import rendezvous

__all__ = ["Batch", "ChangeLog", "StoreEvent", "watchers"]

# Up to so many nodes all of them watch: the calls are few, and nothing stands between
# a node and the store.
SMALL_FLEET = 16
# Two, so that the loss of one is nobody's loss.
WATCHERS = 2
# Batches that a watcher remembers; a node that is further behind asks the store.
MAX_BATCHES = 64
# Events in one datagram, in bytes: a few entries of backend servers. A configuration
# is larger, and is read from the store.
MAX_TOLD_BYTES = 4_000

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
    """

    after: int
    revision: int
    events: tuple[StoreEvent, ...] = attrs.field(repr=False)

    @property
    def size(self) -> int:
        """Bytes that it takes to tell it."""
        return sum(len(key) + len(value or b"") + 16 for key, value, _ in self.events)


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

        Changes before it may come once more: what they lead to is the same.
        """
        due = [b for b in self._batches if b.revision > revision]
        if not due or due[0].after > revision:
            return None
        if sum(batch.size for batch in due) > MAX_TOLD_BYTES:
            return None
        return tuple(event for batch in due for event in batch.events)

"""
Which nodes watch the platform's store, and which changes they send to the others.

It is decided from the nodes that are alive and their failure domains, and from the
changes that a watching node has seen.

Load pattern: the platform limits the rate of calls, each watch counts as a call, and
the limits grow more slowly than the fleet. In a small fleet every node watches the
store. In a larger one, two nodes of each failure domain do, and the others poll them
for changes.
"""

import collections
import itertools
import zlib

import attrs

from tanagerkeel.relay._delta import apply_delta, make_delta
from tanagerkeel.relay._fleet_size import SMALL_FLEET_NODES
from tanagerkeel.rendezvous import rendezvous

__all__ = [
    "ChangeBatch",
    "ChangeLog",
    "StoreChange",
    "EncodedChange",
    "LargeValueCache",
    "watchers",
]

# Two, so that the other nodes can still poll one when the other fails.
WATCHERS_PER_DOMAIN = 2
# Batches that a watcher keeps; a node that is further behind calls the store.
MAX_BATCHES = 64
# Largest total of the encoded changes in one answer, which is one datagram, in bytes: a
# few dozen entries of backend servers, or the changes of several configurations. A node
# that needs more gets several answers; a single batch over this limit is not sent.
MAX_ANSWER_BYTES = 8_000
# Largest value that is accepted when decoded, in bytes: the store's own limit.
MAX_VALUE_BYTES = 1_048_576
# Values from this size on are sent as a delta, in bytes.
LARGE_VALUE_BYTES = 2_000

# A change in the store: key, value (None when it is deleted) and revision.
StoreChange = tuple[str, bytes | None, int]
# A change as it is sent to other nodes: key, value, revision and base. The value is
# compressed; base is the revision of the value to which it is a delta, or 0 if it is
# complete.
EncodedChange = tuple[str, bytes | None, int, int]


def watchers(nodes: dict[str, str], domain: str) -> tuple[str, ...]:
    """
    Return the nodes that watch the store for a failure domain.

    :param nodes: failure domain of each node that is alive, by the node's id.
    :param domain: the failure domain.
    """
    if len(nodes) <= SMALL_FLEET_NODES:
        return tuple(nodes)
    in_domain = tuple(
        name for name, node_domain in nodes.items() if node_domain == domain
    )
    return rendezvous(f"watch {domain}", in_domain)[:WATCHERS_PER_DOMAIN]


@attrs.frozen
class ChangeBatch:
    """
    Changes that arrived together from the store, encoded for other nodes.

    :param after: revision of the store before them.
    :param revision: revision of the store after them.
    :param changes: the changes, in order.
    """

    after: int
    revision: int
    changes: tuple[EncodedChange, ...] = attrs.field(repr=False)

    @property
    def size(self) -> int:
        """Approximate size of its changes when they are sent, in bytes."""
        return sum(
            len(key) + len(value or b"") + 16 for key, value, _, _ in self.changes
        )


@attrs.define
class LargeValueCache:
    """The newest large values that a node has seen, as bases of deltas."""

    _values: dict[str, tuple[int, bytes]] = attrs.field(factory=dict)

    def clear(self) -> None:
        """Drop all values, as when their revisions have lost their meaning."""
        self._values.clear()

    def store(self, change: StoreChange) -> None:
        """Store the value of a change, if it is large."""
        key, value, revision = change
        if value is None or len(value) < LARGE_VALUE_BYTES:
            self._values.pop(key, None)
        else:
            self._values[key] = (revision, value)

    def encode(self, change: StoreChange) -> EncodedChange:
        """Return a change as it is sent to other nodes, and store its value."""
        key, value, revision = change
        base, old = self._values.get(key, (0, b""))
        if base >= revision:
            # A peer has sent a newer value meanwhile.
            return (key, None if value is None else zlib.compress(value), revision, 0)
        self.store(change)
        if value is None:
            return (key, None, revision, 0)
        if not base or len(value) < LARGE_VALUE_BYTES:
            return (key, zlib.compress(value), revision, 0)
        return (key, zlib.compress(make_delta(old, value)), revision, base)

    def decode(self, encoded: EncodedChange) -> StoreChange:
        """
        Return the change that a watcher sent, and store its value.

        :param encoded: what :meth:`encode` returned.
        :raises ValueError: when it is damaged or too large, or when it is a delta to a
            value that this node doesn't have.
        """
        key, data, revision, base = encoded
        known, old = self._values.get(key, (0, b""))
        if base and known >= revision:
            # The change was received, or read from the store, before.
            return (key, old, known)
        value = None if data is None else _decompress(data)
        if value is not None and base:
            if known != base:
                raise ValueError(f"{key} is a delta to revision {base}, not to {known}")
            value = apply_delta(old, value, MAX_VALUE_BYTES)
        change = (key, value, revision)
        self.store(change)
        return change


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise ValueError(f"received value is damaged: {error}") from error
    if not decompressor.eof:
        raise ValueError(
            f"received value is over {MAX_VALUE_BYTES} bytes, or truncated"
        )
    return value


@attrs.define
class ChangeLog:
    """The latest changes that a watcher has seen, without gaps."""

    _batches: "collections.deque[ChangeBatch]" = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_BATCHES)
    )

    def add(self, batch: ChangeBatch) -> None:
        """Append a batch; one that doesn't follow the last one replaces all others."""
        if self._batches and self._batches[-1].revision != batch.after:
            self._batches.clear()
        self._batches.append(batch)

    def clear(self) -> None:
        """Drop all batches, as after a new listing of the store."""
        self._batches.clear()

    def since(self, revision: int) -> tuple[EncodedChange, ...] | None:
        """
        Return the changes after a revision; None if some are missing or all too large.

        Earlier changes of the same batch may be among them; applying a change again has
        no effect.
        """
        part = self.first_since(revision)
        if part is None or part.revision < self._batches[-1].revision:
            return None
        return part.changes

    def first_since(self, revision: int) -> ChangeBatch | None:
        """
        Return as many of the changes after a revision as one answer may hold.

        :returns: them as one batch; None if the first are missing or too large.
        """
        newer = [b for b in self._batches if b.revision > revision]
        sizes = itertools.accumulate(batch.size for batch in newer)
        fitting = [
            batch
            for batch, size in zip(newer, sizes, strict=True)
            if size <= MAX_ANSWER_BYTES
        ]
        if not fitting or newer[0].after > revision:
            return None
        changes = tuple(change for batch in fitting for change in batch.changes)
        return ChangeBatch(revision, fitting[-1].revision, changes)

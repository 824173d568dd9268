"""Which prompt prefixes a backend server probably has in its KV cache."""

import collections

import attrs

from tanagerkeel.gateways.engines import CacheEventBatch, CacheEventKind

__all__ = ["PrefixIndex"]

# Size of a prefix-cache block.
BLOCK_TOKENS = 256
MAX_BLOCKS = 512


@attrs.define
class PrefixIndex:
    """
    The cached prefix blocks of one backend server, at most ``MAX_BLOCKS``.

    Blocks are identified by chained hashes and kept in order of their last use.
    """

    _incarnation: str = ""
    _sequence: int = 0
    _blocks: collections.OrderedDict[int, None] = attrs.field(
        factory=collections.OrderedDict
    )

    @property
    def sequence(self) -> int:
        """Sequence number of the last recorded cache event; 0 before the first."""
        return self._sequence

    def set_incarnation(self, incarnation: str) -> None:
        """Drop all blocks if the backend server has a new incarnation."""
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._sequence = 0
            self._blocks.clear()

    def record_events(self, batch: CacheEventBatch) -> bool:
        """
        Record cache events; events that were recorded before change nothing.

        A gap in the sequence numbers drops all blocks recorded before it, since one
        of the lost events may have evicted any of them.

        :returns: whether there was a gap.
        """
        self.set_incarnation(batch.incarnation)
        gap = False
        for event in batch.events:
            if event.sequence <= self._sequence:
                continue
            if event.sequence > self._sequence + 1 and self._sequence:
                self._blocks.clear()
                gap = True
            self._sequence = event.sequence
            if event.kind is CacheEventKind.STORED:
                self.add((event.block,))
            else:
                self._blocks.pop(event.block, None)
        return gap

    def add(self, blocks: tuple[int, ...]) -> None:
        """Record that blocks were used; evicts the least recently used ones."""
        # The first blocks become the most recent: without them no prefix matches.
        for block in reversed(blocks[:MAX_BLOCKS]):
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_BLOCKS:
            self._blocks.popitem(last=False)

    def cached_tokens(self, blocks: tuple[int, ...]) -> int:
        """Return the length of the longest cached prefix of the blocks, in tokens."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count * BLOCK_TOKENS

"""The prefix cache of a stand-in engine and the events it publishes."""

import collections
import itertools
from collections.abc import Sequence

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.gateways.engines import CacheEvent, CacheEventKind
from tanagerkeel.requests import BLOCK_CHARACTERS, CHARACTERS_PER_TOKEN, block_hashes

__all__ = ["PrefixCache"]

BLOCK_TOKENS = BLOCK_CHARACTERS // CHARACTERS_PER_TOKEN
MAX_EVENTS = 20_000


@attrs.frozen
class _PublishedEvent:
    visible_s: float
    event: CacheEvent


@attrs.define
class PrefixCache:
    """
    A least-recently-used cache of prompt prefixes, in blocks.

    :param clock: source of time.
    :param lag_s: how late an event becomes visible, in seconds.
    :param loss_interval: every event whose sequence is a multiple of this number is
        lost; 0 for none.
    :param hit_tokens: tokens that :meth:`match` has found so far.
    """

    _clock: Clock
    _blocks: collections.OrderedDict[int, None] = attrs.field(
        factory=collections.OrderedDict
    )
    _events: collections.deque[_PublishedEvent] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_EVENTS)
    )
    _sequence: int = 0
    lag_s: float = 0.0
    loss_interval: int = 0
    hit_tokens: int = 0

    def match(self, account: str, text: str) -> int:
        """Return how many tokens at the start of a text are cached, and count them."""
        blocks = block_hashes(account, text)
        hits = list(itertools.takewhile(self._blocks.__contains__, blocks))
        self._mark_used(hits)
        tokens = len(hits) * BLOCK_TOKENS
        self.hit_tokens += tokens
        return tokens

    def store(self, account: str, text: str, limit_tokens: int) -> None:
        """Store the blocks of a text, then evict down to ``limit_tokens``."""
        blocks = block_hashes(account, text)
        for block in blocks:
            if block not in self._blocks:
                self._blocks[block] = None
                self._publish(CacheEventKind.STORED, block)
        self._mark_used(blocks)
        self.trim(limit_tokens)

    def trim(self, limit_tokens: int) -> None:
        """Evict the least recently used blocks until the cache fits the limit."""
        while len(self._blocks) * BLOCK_TOKENS > max(0, limit_tokens):
            block, _ = self._blocks.popitem(last=False)
            self._publish(CacheEventKind.EVICTED, block)

    def events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the visible events with a sequence above ``after``."""
        now = self._clock.monotonic()
        return tuple(
            published.event
            for published in self._events
            if published.visible_s <= now and published.event.sequence > after
        )

    def _mark_used(self, blocks: Sequence[int]) -> None:
        # The last block is marked first, so the end of a prefix is evicted before
        # its beginning.
        for block in reversed(blocks):
            self._blocks.move_to_end(block)

    def _publish(self, kind: CacheEventKind, block: int) -> None:
        self._sequence += 1
        if self.loss_interval and self._sequence % self.loss_interval == 0:
            return
        event = CacheEvent(self._sequence, kind, block)
        self._events.append(
            _PublishedEvent(self._clock.monotonic() + self.lag_s, event)
        )

"""Questions between nodes about what has changed in the platform's store."""

import asyncio
import itertools
from collections.abc import Iterator

import attrs

from tanagerkeel import codec
from tanagerkeel.events import LogEvent, log
from tanagerkeel.relay import ChangeLog, ToldEvent, ValueBook
from tanagerkeel.relay_entry._news_task import NewsTask
from tanagerkeel.relay_entry._peers import Peer
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["Follow", "StoreAnswer"]

QUERY_KIND = 2
ANSWER_KIND = 3
HINT_KIND = 4
# Nodes are some milliseconds apart; a datagram that is lost is asked again.
ANSWER_TIMEOUT_S = 0.15


@attrs.frozen
class _Query:
    number: int
    revision: int


@attrs.frozen
class StoreAnswer:
    """
    What a watcher knows of the store.

    :param number: number of the question that it answers.
    :param revision: the revision that the watcher has seen.
    :param age_ms: how long ago the store confirmed that, in milliseconds; -1 when it
        never did.
    :param told: whether ``events`` are all changes since the asker's revision.
    :param events: the changes.
    """

    number: int
    revision: int
    age_ms: int
    told: bool
    events: tuple[ToldEvent, ...] = ()


@attrs.frozen
class _Hint:
    revision: int


@attrs.define
class Follow:
    """
    Asks watchers, and answers when this node is one.

    :param state: the node's beliefs.
    :param news: carries the datagrams.
    """

    _state: RelayState
    _news: NewsTask
    log: ChangeLog = attrs.field(factory=ChangeLog)
    values: ValueBook = attrs.field(factory=ValueBook)
    revision: int | None = None
    _numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    _asked: dict[int, asyncio.Future] = attrs.field(factory=dict)
    _hinted: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self._news.handle(QUERY_KIND, self._on_query)
        self._news.handle(ANSWER_KIND, self._on_answer)
        self._news.handle(HINT_KIND, self._on_hint)

    async def ask(self, watcher: Peer, revision: int) -> StoreAnswer | None:
        """Return a watcher's answer; None when none came in time."""
        number = next(self._numbers)
        answered = asyncio.get_running_loop().create_future()
        self._asked[number] = answered
        try:
            if not self._news.send_to(watcher, QUERY_KIND, _Query(number, revision)):
                return None
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await answered
        except TimeoutError:
            return None
        finally:
            del self._asked[number]

    def tell_changed(self, revision: int) -> None:
        """Tell the other nodes of this failure domain that there is something new."""
        home = self._state.settings.failure_domain
        for peer in self._state.peers.others:
            if peer.failure_domain == home:
                self._news.send_to(peer, HINT_KIND, _Hint(revision))

    async def wait_hint(self, longest_s: float) -> None:
        """Wait until a watcher has something new, at most so many seconds."""
        try:
            async with asyncio.timeout(longest_s):
                await self._hinted.wait()
        except TimeoutError:
            # It is time to ask anyway.
            return
        finally:
            self._hinted.clear()

    def _on_query(self, sender: str, payload: bytes) -> None:
        peer = self._state.peers.get(sender)
        if peer is None or self.revision is None:
            return
        query = codec.unpack_compact(payload, _Query)
        events: tuple[ToldEvent, ...] | None = ()
        if query.revision < self.revision:
            events = self.log.since(query.revision)
        age_s = self._state.confirmed_age_s
        answer = StoreAnswer(
            number=query.number,
            revision=self.revision,
            age_ms=int(1_000 * age_s) + 1 if age_s < float("inf") else -1,
            told=events is not None,
            events=events or (),
        )
        self._news.send_to(peer, ANSWER_KIND, answer)

    def _on_answer(self, sender: str, payload: bytes) -> None:
        answer = codec.unpack_compact(payload, StoreAnswer)
        answered = self._asked.get(answer.number)
        if answered is None or answered.done():
            log(
                LogEvent.PEER_MESSAGE_DROPPED,
                sender=sender,
                reason="it answers no open question",
            )
            return
        answered.set_result(answer)

    def _on_hint(self, sender: str, payload: bytes) -> None:
        hint = codec.unpack_compact(payload, _Hint)
        if self.revision is not None and hint.revision > self.revision:
            self._hinted.set()

"""
Exchange of store changes between nodes, as datagrams.

Some nodes, the watchers, call the platform's store; the others poll the watchers.
"""

import asyncio
import itertools
from collections.abc import Iterator

import attrs

from tanagerkeel import codec
from tanagerkeel.events import LogEvent, log
from tanagerkeel.relay import (
    SMALL_FLEET_NODES,
    ContactReport,
    EncodedChange,
    StorePosition,
)
from tanagerkeel.relay_entry._peer_update_task import PeerUpdateTask
from tanagerkeel.relay_entry._peers import Peer
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["WatcherExchange", "StoreAnswer"]

# Numbers of the kinds of datagrams.
QUERY_KIND = 2
ANSWER_KIND = 3
HINT_KIND = 4
# Round trips between nodes take some milliseconds; the next poll makes up for a lost
# datagram.
ANSWER_TIMEOUT_S = 0.15


@attrs.frozen
class _Query:
    number: int
    revision: int
    era: int = 0
    # Builds up to commit c37996a ignore this field and don't send it.
    takes_parts: bool = False


@attrs.frozen
class StoreAnswer:
    """
    A watcher's answer to a query: its revision of the store and the changes up to it.

    :param number: number of the query that it answers.
    :param revision: the revision that the watcher has seen.
    :param age_ms: time since the store last confirmed the watcher's state, in
        milliseconds; -1 if it never did.
    :param complete: whether ``changes`` holds all changes since the query's revision.
    :param changes: the changes.
    :param era: the era of the store to which the revision belongs.
    :param unbroken_ms: for how long the store has not been away, as the watcher knows,
        in milliseconds; -1 if it doesn't know.
    :param contact_age_ms: time since the store last answered the watcher, in
        milliseconds. Builds up to commit 168f730 ignore this field and the one before,
        and don't send them.
    :param is_part: whether the changes end at a revision below the watcher's own, as
        more don't fit; it then confirms nothing. Only nodes whose query says that they
        take parts get it, which builds up to commit c37996a don't say.
    """

    number: int
    revision: int
    age_ms: int
    complete: bool
    changes: tuple[EncodedChange, ...] = ()
    era: int = 0
    unbroken_ms: int = -1
    contact_age_ms: int = -1
    is_part: bool = False

    @property
    def contact(self) -> ContactReport | None:
        """What the watcher knows of the store's presence; None if nothing."""
        if self.unbroken_ms < 0 or self.contact_age_ms < 0:
            return None
        return ContactReport(self.unbroken_ms / 1_000, self.contact_age_ms / 1_000)


@attrs.frozen
class _Hint:
    revision: int
    era: int = 0


@attrs.define
class WatcherExchange:
    """
    Queries watchers, and answers queries once this node has a revision of the store.

    :param state: the node's state.
    :param peer_updates: sends and receives the datagrams.
    :param position: what this node has applied of the store.
    """

    _state: RelayState
    _peer_updates: PeerUpdateTask
    position: StorePosition = attrs.field(factory=StorePosition)
    _numbers: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    _pending: dict[int, asyncio.Future] = attrs.field(factory=dict)
    _hint_received: asyncio.Event = attrs.field(factory=asyncio.Event)
    # Era and revision of the newest change that a peer has sent a hint of.
    _hinted: tuple[int, int] = (-1, -1)

    @property
    def is_behind(self) -> bool:
        """Whether a peer has sent a hint of a change that this node doesn't have."""
        position = self.position
        return position.revision is not None and self.precedes_hint(
            position.era, position.revision
        )

    def __attrs_post_init__(self) -> None:
        self._peer_updates.register_handler(QUERY_KIND, self._on_query)
        self._peer_updates.register_handler(ANSWER_KIND, self._on_answer)
        self._peer_updates.register_handler(HINT_KIND, self._on_hint)

    async def query(self, watcher: Peer, revision: int) -> StoreAnswer | None:
        """
        Return a watcher's answer; None if none came in time.

        :param revision: the revision that this node has; the answer holds the changes
            after it.
        """
        number = next(self._numbers)
        reply = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        try:
            query = _Query(number, revision, self.position.era or 0, takes_parts=True)
            if not self._peer_updates.send_to(watcher, QUERY_KIND, query):
                return None
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._pending[number]

    def send_hints(self, revision: int) -> None:
        """
        Notify other nodes that the store has changed.

        These are all nodes of a small fleet, in which each one watches the store, and
        those of this failure domain in a larger one.

        :param revision: the revision that this node has applied.
        """
        own_domain = self._state.settings.failure_domain
        others = self._state.peers.others
        to_all = len(others) < SMALL_FLEET_NODES
        for peer in others:
            if to_all or peer.failure_domain == own_domain:
                hint = _Hint(revision, self.position.era or 0)
                self._peer_updates.send_to(peer, HINT_KIND, hint)

    def precedes_hint(self, era: int, revision: int) -> bool:
        """Return whether a peer has sent a hint of a newer revision than this one."""
        return (era, revision) < self._hinted

    def forget_hints(self) -> None:
        """Forget the hints so far, as after a listing or a call because of them."""
        self._hinted = (-1, -1)

    async def wait_until_behind(self, patience_s: float) -> None:
        """
        Wait until this node still lacks a change some time after a hint of it.

        :param patience_s: the time, in seconds.
        """
        while True:
            if self.is_behind:
                await asyncio.sleep(patience_s)
                if self.is_behind:
                    return
            await self._hint_received.wait()
            self._hint_received.clear()

    def end_wait(self) -> None:
        """End the wait for a hint, as the store has to be called at once."""
        self._hint_received.set()

    async def wait_for_hint(self, max_wait_s: float) -> None:
        """Wait for a hint of a newer revision, at most ``max_wait_s`` seconds."""
        try:
            async with asyncio.timeout(max_wait_s):
                await self._hint_received.wait()
        except TimeoutError:
            # Without a hint, the caller polls after this time anyway.
            return
        finally:
            self._hint_received.clear()

    def _on_query(self, sender: str, payload: bytes) -> None:
        peer = self._state.peers.get(sender)
        if peer is None or self.position.revision is None:
            return
        query = codec.unpack_compact(payload, _Query)
        changes = self.position.changes_since(query.revision, query.era)
        age_s = self._state.confirmed_age_s
        now = self._state.clock.monotonic()
        contact = self._state.backends.contact_report(now)
        answer = StoreAnswer(
            number=query.number,
            revision=self.position.revision,
            age_ms=int(1_000 * age_s) + 1 if age_s < float("inf") else -1,
            complete=changes is not None,
            changes=changes or (),
            era=self.position.era,
            # Both are rounded so that the report claims less.
            unbroken_ms=int(1_000 * contact.unbroken_s) if contact else -1,
            contact_age_ms=int(1_000 * contact.age_s) + 1 if contact else -1,
        )
        part = self.position.first_changes_since(query.revision, query.era)
        if changes is None and part is not None and query.takes_parts:
            answer = attrs.evolve(
                answer,
                revision=part.revision,
                age_ms=-1,
                complete=True,
                changes=part.changes,
                is_part=True,
            )
        self._peer_updates.send_to(peer, ANSWER_KIND, answer)

    def _on_answer(self, sender: str, payload: bytes) -> None:
        answer = codec.unpack_compact(payload, StoreAnswer)
        reply = self._pending.get(answer.number)
        if reply is None or reply.done():
            log(
                LogEvent.PEER_MESSAGE_DROPPED,
                sender=sender,
                reason="no pending query has its number",
            )
            return
        reply.set_result(answer)

    def _on_hint(self, sender: str, payload: bytes) -> None:
        hint = codec.unpack_compact(payload, _Hint)
        position = self.position
        if position.revision is None:
            return
        if (hint.era, hint.revision) > (position.era, position.revision):
            self._hinted = max(self._hinted, (hint.era, hint.revision))
            self._hint_received.set()

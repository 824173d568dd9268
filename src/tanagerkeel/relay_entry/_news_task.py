"""
News of running work between nodes, as signed datagrams.

Each message holds all that its sender runs, so that a lost one is made good by the
next, and a peer that is frozen or cut off holds nobody up.
"""

import asyncio
import random
from collections.abc import Callable, Sequence

import attrs

from tanagerkeel import codec
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.frames import (
    Frame,
    FrameRejected,
    KeyRing,
    open_frame,
    seal_frame,
)
from tanagerkeel.quarantine import QuarantineEntry
from tanagerkeel.relay import LONG_TOKENS, SMALL_FLEET, Work
from tanagerkeel.relay_entry._peers import Peer
from tanagerkeel.relay_entry._presence_task import PresenceTask
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["NewsTask"]

NEWS_KIND = 1
# The same datagram goes to all peers; its sequence number tells a replay.
EVERY_PEER = "*"
# Work that begins is told after this time, in seconds; what begins within it travels
# in the same message.
BEGUN_S = 0.002
# Work that goes on or ends as expected is told later, in seconds: peers have the
# estimate, and a busy node's next message takes it along.
SETTLED_S = 0.5
# A node tells its state to all so often while it runs anything, in seconds; peers
# take it for silent after more than twice that time.
REPEAT_S = 2.0
# The same for a node that runs nothing.
IDLE_REPEAT_S = 4.0
# A datagram with more would not fit into a usual network's packets.
MAX_WORKS = 64
MAX_SUSPECTS = 8
MAX_GONE = 32
# A long prompt that was sent longer ago, in milliseconds, was told before.
LONG_NEWS_MS = 50
# What is due later is told as due then, in seconds; no objective is longer.
LONGEST_DUE_S = 3_600.0

# Backend server, prompt, answer, gap objective, times from now to the send, the
# first event and the end, all in milliseconds, whether it has started, the whole
# prompt, and the time from now to when the first event is due.
PackedWork = tuple[str, int, int, int, int, int, int, bool, int, int]


@attrs.frozen
class _News:
    works: tuple[PackedWork, ...]
    suspects: tuple[QuarantineEntry, ...] = ()
    # Retries beyond the sender's own part, by service.
    retries: dict[str, int] = attrs.field(factory=dict)
    # Backend servers at whose address the sender found nothing, or another one.
    gone: tuple[str, ...] = ()


def _pack(work: Work, now: float) -> PackedWork:
    return (
        work.backend_id,
        work.prompt_tokens,
        work.answer_tokens,
        int(work.gap_objective_ms),
        int(1_000 * (work.sent_s - now)),
        int(1_000 * (work.first_s - now)),
        int(1_000 * (work.end_s - now)),
        work.started,
        work.whole_tokens,
        int(1_000 * min(work.due_s - now, LONGEST_DUE_S)),
    )


def _begins_long(packed: PackedWork) -> bool:
    """Return whether a long prompt has just been sent to its engine."""
    _, _, _, _, sent_ms, _, _, started, whole, _ = packed
    return not started and whole >= LONG_TOKENS and sent_ms > -LONG_NEWS_MS


def _unpack(packed: PackedWork, now: float) -> Work:
    backend_id, prompt, answer, gap, sent, first, end, started, whole, due = packed
    return Work(
        backend_id,
        prompt,
        answer,
        gap,
        now + sent / 1_000,
        now + first / 1_000,
        now + end / 1_000,
        started,
        whole,
        now + due / 1_000,
    )


@attrs.define(eq=False)
class NewsTask(asyncio.DatagramProtocol):
    """
    Sends this node's work to its peers and takes in theirs.

    :param state: the node's beliefs.
    :param presence: holds the key that signs.
    :param random: source of randomness.
    """

    _state: RelayState
    _presence: PresenceTask
    _random: random.Random
    _transport: asyncio.DatagramTransport | None = None
    _session: int = 0
    _sequence: int = 0
    _near_due: asyncio.TimerHandle | None = None
    _all_due: asyncio.TimerHandle | None = None
    # Takes in messages of other kinds: sender and payload.
    _handlers: dict[int, Callable[[str, bytes], None]] = attrs.field(factory=dict)

    def handle(self, kind: int, handler: Callable[[str, bytes], None]) -> None:
        """
        Hand messages of a kind to another task.

        :param kind: number of the message's class.
        :param handler: gets the sender's id and the payload; may raise InvalidValue.
        """
        self._handlers[kind] = handler

    def send_to(self, peer: Peer, kind: int, message: object) -> bool:
        """
        Send a message to one peer; return whether it could be sent at all.

        :param peer: who gets it.
        :param kind: number of the message's class.
        :param message: an attrs value.
        """
        keys = self._presence.keys
        if keys is None or self._transport is None:
            return False
        self._put(self._seal(kind, codec.pack_compact(message), keys), peer)
        return True

    async def start(self) -> None:
        """Bind the node's address and begin to tell its state."""
        host, _, port = self._state.settings.news_listen.rpartition(":")
        # A later start has a higher number, also when the wall clock is a bit off.
        self._session = int(self._state.clock.wall() * 1_000)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (host, int(port)))
        self._all_due = loop.call_later(
            REPEAT_S * self._random.random(), self._tell_all
        )
        self._state.quarantine.notify(self.urgent)

    def stop(self) -> None:
        """Tell that nothing runs any more, and close."""
        self._cancel()
        if self._transport is not None:
            self._send(self._state.peers.others)
            self._transport.close()
            self._transport = None

    def begun(self, wide: bool) -> None:
        """
        Tell soon that work began.

        :param wide: whether it concerns the nodes of other failure domains.
        """
        self._soon(BEGUN_S, wide)

    def settled(self, wide: bool) -> None:
        """Tell that work goes on or has ended; soon if it is ``wide``."""
        self._soon(BEGUN_S if wide else SETTLED_S, wide)

    def urgent(self) -> None:
        """Tell all peers soon of a retry, a suspect or a backend server gone."""
        self._soon(BEGUN_S, True)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Take in that the address is bound."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Take in a peer's state."""
        keys = self._presence.keys
        if keys is None:
            return
        try:
            frame = open_frame(data, EVERY_PEER, keys)
            if frame.kind in self._handlers:
                self._handlers[frame.kind](frame.sender, frame.payload)
                return
            news = codec.unpack_compact(frame.payload, _News)
        except (FrameRejected, codec.InvalidValue) as error:
            log(
                LogEvent.PEER_MESSAGE_DROPPED,
                sender=f"{address[0]}:{address[1]}",
                reason=str(error),
            )
            return
        now = self._state.clock.monotonic()
        self._state.ledger.learn(
            frame.sender,
            (frame.session, frame.sequence),
            (_unpack(work, now) for work in news.works),
            now,
        )
        begun = {work[0] for work in news.works if _begins_long(work)}
        if begun and self._state.on_long_work is not None:
            self._state.on_long_work(begun)
        self._state.heard_retries(frame.sender, news.retries)
        for entry in news.suspects:
            self._state.quarantine.learn(entry, now)
        for backend_id in news.gone:
            self._state.told_gone(frame.sender, backend_id)
        self._state.changed()

    def error_received(self, error: OSError) -> None:
        """Take in that a peer's port is closed: its key in the store decides."""

    def _soon(self, delay_s: float, wide: bool) -> None:
        loop = asyncio.get_running_loop()
        due_s = loop.time() + delay_s
        # In a small fleet all are told of everything at once. In a larger one, short
        # work on engines of the node's own failure domain is told there first.
        if wide or len(self._state.peers.others) < SMALL_FLEET:
            if self._all_due is None or self._all_due.when() > due_s:
                self._cancel()
                self._all_due = loop.call_later(delay_s, self._tell_all)
            return
        if self._near_due is None or self._near_due.when() > due_s:
            if self._near_due is not None:
                self._near_due.cancel()
            self._near_due = loop.call_later(delay_s, self._tell_near)

    def _cancel(self) -> None:
        for due in (self._near_due, self._all_due):
            if due is not None:
                due.cancel()
        self._near_due = self._all_due = None

    def _tell_near(self) -> None:
        self._near_due = None
        home = self._state.settings.failure_domain
        others = self._state.peers.others
        self._send([p for p in others if p.failure_domain == home])

    def _tell_all(self) -> None:
        self._cancel()
        self._send(self._state.peers.others)
        pause_s = REPEAT_S if self._state.ledger.own else IDLE_REPEAT_S
        loop = asyncio.get_running_loop()
        self._all_due = loop.call_later(pause_s, self._tell_all)

    def _send(self, peers: Sequence[Peer]) -> None:
        keys = self._presence.keys
        if keys is None or not peers or self._transport is None:
            return
        now = self._state.clock.monotonic()
        works = tuple(_pack(w, now) for w in self._state.ledger.own[:MAX_WORKS])
        suspects = self._state.quarantine.take_news(now)[:MAX_SUSPECTS]
        news = _News(
            works,
            suspects,
            self._state.used_retries(),
            self._state.backends.refusing(now)[:MAX_GONE],
        )
        data = self._seal(NEWS_KIND, codec.pack_compact(news), keys)
        for peer in peers:
            self._put(data, peer)

    def _seal(self, kind: int, payload: bytes, keys: KeyRing) -> bytes:
        self._sequence += 1
        frame = Frame(
            sender=self._state.settings.node_id,
            session=self._session,
            to_session=0,
            sequence=self._sequence,
            kind=kind,
            payload=payload,
        )
        return seal_frame(frame, EVERY_PEER, keys)

    def _put(self, data: bytes, peer: Peer) -> None:
        host, _, port = peer.news_address.rpartition(":")
        self._transport.sendto(data, (host, int(port)))

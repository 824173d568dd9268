"""
News of running work between nodes, as signed datagrams.

Each message holds all that its sender runs, so that a lost one is made good by the
next, and a peer that is frozen or cut off holds nobody up.
"""

import asyncio
import random

import attrs

from tanagerkeel import codec
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.peers import Frame, FrameRejected, open_frame, seal_frame
from tanagerkeel.relay import Work
from tanagerkeel.relay_entry._presence_task import PresenceTask
from tanagerkeel.relay_entry._state import RelayState
from tanagerkeel.requests import QuarantineEntry

__all__ = ["NewsTask"]

NEWS_KIND = 1
# The same datagram goes to all peers; its sequence number tells a replay.
EVERY_PEER = "*"
# Changes within this time travel together, in seconds.
COALESCE_S = 0.01
# A node tells its state so often also when nothing changed, in seconds: several
# times before peers take it for silent.
REPEAT_S = 0.5
# A datagram with more would not fit into a usual network's packets.
MAX_WORKS = 64
MAX_SUSPECTS = 8

# Backend server, prompt, answer, gap objective, times from now to the send, the
# first event and the end, all in milliseconds, whether it has started, and the whole
# prompt.
PackedWork = tuple[str, int, int, int, int, int, int, bool, int]


@attrs.frozen
class _News:
    works: tuple[PackedWork, ...]
    suspects: tuple[QuarantineEntry, ...] = ()


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
    )


def _unpack(packed: PackedWork, now: float) -> Work:
    backend_id, prompt, answer, gap, sent, first, end, started, whole = packed
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
    _due: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Bind the node's address and begin to tell its state."""
        host, _, port = self._state.settings.news_listen.rpartition(":")
        # A later start has a higher number, also when the wall clock is a bit off.
        self._session = int(self._state.clock.wall() * 1_000)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (host, int(port)))
        self._arm(REPEAT_S * self._random.random())
        self._state.quarantine.notify(self.changed)

    def stop(self) -> None:
        """Tell that nothing runs any more, and close."""
        if self._due is not None:
            self._due.cancel()
        if self._transport is not None:
            self._send()
            self._transport.close()
            self._transport = None

    def changed(self) -> None:
        """Tell the peers soon."""
        loop = asyncio.get_running_loop()
        if self._due is None or self._due.when() > loop.time() + COALESCE_S:
            self._arm(COALESCE_S)

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
        for entry in news.suspects:
            self._state.quarantine.learn(entry, now)
        self._state.changed()

    def error_received(self, error: OSError) -> None:
        """Take in that a peer's port is closed: its key in the store decides."""

    def _arm(self, delay_s: float) -> None:
        if self._due is not None:
            self._due.cancel()
        self._due = asyncio.get_running_loop().call_later(delay_s, self._tick)

    def _tick(self) -> None:
        self._due = None
        self._send()
        self._arm(REPEAT_S)

    def _send(self) -> None:
        keys = self._presence.keys
        peers = self._state.peers.others
        if keys is None or not peers or self._transport is None:
            return
        now = self._state.clock.monotonic()
        works = tuple(_pack(w, now) for w in self._state.ledger.own[:MAX_WORKS])
        suspects = self._state.quarantine.take_news(now)[:MAX_SUSPECTS]
        self._sequence += 1
        frame = Frame(
            sender=self._state.settings.node_id,
            session=self._session,
            to_session=0,
            sequence=self._sequence,
            kind=NEWS_KIND,
            payload=codec.pack_compact(_News(works, suspects)),
        )
        data = seal_frame(frame, EVERY_PEER, keys)
        for peer in peers:
            host, _, port = peer.news_address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

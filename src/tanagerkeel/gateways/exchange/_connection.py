"""One HTTP/1.1 connection to a backend server."""

import asyncio
import collections
import enum
import socket

import attrs
import httptools

__all__ = ["BackendConnection", "Broken", "Piece", "RawHead", "ReplyEnd"]

# Bytes of an answer that wait for a slow caller before reading pauses.
HIGH_WATER_BYTES = 262_144
LOW_WATER_BYTES = 65_536
# Unacknowledged bytes for so long end a connection: the other side has fallen silent.
USER_TIMEOUT_MS = 3_000
# The same where nothing is under way: a machine without power sends no reset. It is
# asked after so many seconds without a byte, and again after so many, so often. Found
# within 3 s, which leaves time to give reserved memory back within 4 s; two probes, as
# links lose single packets.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
NO_BODY_STATUSES = (204, 304)
FIRST_FINAL_STATUS = 200


class Broken(enum.Enum):
    """Why an answer ended early."""

    RESET = "the connection broke"
    ENDED = "the connection ended before the answer did"
    MALFORMED = "the bytes are no answer"
    GIVEN_UP = "this node gave it up"


@attrs.frozen
class RawHead:
    """Status and headers of an answer, as they arrived."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class Piece:
    """A piece of an answer's body."""

    data: bytes


@attrs.frozen
class ReplyEnd:
    """The end of a complete answer."""


Event = RawHead | Piece | ReplyEnd | Broken


@attrs.define(eq=False)
class BackendConnection(asyncio.Protocol):
    """
    A connection that carries one request at a time.

    It can be used again only if the answer was complete, had a length of its own,
    left nothing over, and the whole request had been written by then.

    :param address: ``IP:PORT`` of the other side.
    """

    address: str
    _transport: asyncio.Transport | None = None
    _parser: httptools.HttpResponseParser | None = None
    _events: "collections.deque[Event]" = attrs.field(factory=collections.deque)
    _waiter: asyncio.Future | None = None
    _headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    _status: int = 0
    _framed: bool = False
    _open: bool = False
    _got_head: bool = False
    _spoilt: bool = False
    _lost: bool = False
    _queued_bytes: int = 0
    _paused: bool = False
    _no_body: bool = False
    idle_since_s: float = 0.0
    keep_alive_s: float | None = None

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on it."""
        return not (self._spoilt or self._lost or self._open)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take in that the connection is up."""
        self._transport = transport
        endpoint = transport.get_extra_info("socket")
        if endpoint is not None:
            endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            for option, value in (
                (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
                (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
                (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
                (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            ):
                endpoint.setsockopt(socket.IPPROTO_TCP, option, value)

    def connection_lost(self, error: Exception | None) -> None:
        """Take in that the connection has ended."""
        self._lost = True
        if self._open:
            self._end(Broken.RESET if error else Broken.ENDED)

    def eof_received(self) -> bool:
        """Take in that the other side writes nothing more."""
        if self._open and self._got_head and not self._framed:
            # Without a length the answer ends with its connection.
            self._end(ReplyEnd())
        self._spoilt = True
        return False

    def data_received(self, data: bytes) -> None:
        """Take in bytes."""
        if not self._open:
            # They belong to no request.
            self._spoil()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if self._open:
                self._end(Broken.MALFORMED)
            self._spoil()

    def send(self, data: bytes, no_body: bool = False) -> None:
        """
        Send a whole request.

        :param data: its head and body.
        :param no_body: whether answers to it have no body, as to HEAD.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._events.clear()
        self._headers = []
        self._queued_bytes = 0
        self._open = True
        self._got_head = False
        self._framed = False
        self._no_body = no_body
        self._transport.write(data)

    async def next_event(self) -> Event:
        """Return the next event of the answer, once it is there."""
        while not self._events:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        event = self._events.popleft()
        if isinstance(event, Piece):
            self._queued_bytes -= len(event.data)
            if self._paused and self._queued_bytes < LOW_WATER_BYTES:
                self._paused = False
                if not self._lost:
                    self._transport.resume_reading()
        return event

    def give_up(self) -> None:
        """End the answer for who waits for it, and the connection with it."""
        if self._open:
            self._end(Broken.GIVEN_UP)
            self._transport.abort()

    def abort(self) -> None:
        """End the connection at once; the other side stops its work."""
        self._spoilt = True
        self._open = False
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection once all is written."""
        self._spoilt = True
        if self._transport is not None:
            self._transport.close()

    def on_message_begin(self) -> None:
        """Take in that an answer begins."""
        if not self._open:
            self._spoil()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Take in the end of the headers."""
        if not self._open:
            return
        status = self._parser.get_status_code()
        if status < FIRST_FINAL_STATUS:
            return
        names = {name.lower() for name, _ in self._headers}
        empty = self._no_body or status in NO_BODY_STATUSES
        self._framed = bool(empty or names & {b"content-length", b"transfer-encoding"})
        if not self._framed or not self._parser.should_keep_alive():
            self._spoilt = True
        self._got_head = True
        self._put(RawHead(status, tuple(self._headers)))
        if self._no_body:
            self._end(ReplyEnd())

    def on_body(self, data: bytes) -> None:
        """Take in a piece of the body."""
        if not self._open:
            return
        self._queued_bytes += len(data)
        if self._queued_bytes > HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._put(Piece(data))

    def on_message_complete(self) -> None:
        """Take in the end of an answer."""
        if not self._open:
            return
        if not self._got_head:
            # An interim answer; the final one follows.
            self._headers = []
            return
        if self._transport.get_write_buffer_size() > 0:
            # Answered before it has read the body: the rest would be taken for the
            # next request.
            self._spoilt = True
        self._end(ReplyEnd())

    def _put(self, event: Event) -> None:
        self._events.append(event)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _end(self, event: Event) -> None:
        self._open = False
        if isinstance(event, Broken):
            self._spoilt = True
        self._put(event)

    def _spoil(self) -> None:
        self._spoilt = True
        if self._transport is not None:
            self._transport.close()

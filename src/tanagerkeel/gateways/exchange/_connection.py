"""One HTTP/1.1 connection to a backend server."""

import asyncio
import collections
import enum
import socket

import attrs
import httptools

from tanagerkeel.gateways.http_status import is_final, is_interim
from tanagerkeel.gateways.tcp_state import pending_error, unacknowledged_bytes

__all__ = [
    "BackendConnection",
    "BodyDelimiter",
    "BodyPart",
    "RawHead",
    "ReplyEnd",
    "ReplyFailure",
]

# Reading pauses when more body bytes than the high-water mark wait for a slow
# caller, and resumes below the low-water mark.
HIGH_WATER_BYTES = 262_144
LOW_WATER_BYTES = 65_536
# TCP_USER_TIMEOUT: a connection ends when sent bytes stay unacknowledged for this time.
USER_TIMEOUT_MS = 3_000
# TCP keep-alive, for connections on which nothing is being sent: a host without
# power sends no reset. The first probe follows after the idle time, the next one after
# the interval. The failure is found within 3 s, which leaves time to free reserved
# memory within 4 s. Two probes, as links lose single packets.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
BODILESS_STATUSES = (204, 304)
# Limit of the bytes of a head, of trailers, and of everything else between two parts of
# a body. Without it, a server that sends such bytes without end would fill the memory.
MAX_FRAMING_BYTES = 65_536
# Intervals at which the close of a connection is checked, in seconds: the first
# one, and the longest, up to which they are doubled.
CLOSE_CHECK_S = 0.001
MAX_CLOSE_CHECK_S = 0.02


class ReplyFailure(enum.Enum):
    """Why a response ended early; the values are log texts."""

    RESET = "connection reset"
    ENDED = "connection closed before the end of the response"
    MALFORMED = "response is not valid HTTP"
    OVERLONG = "head or framing of the response exceeds the size limit"
    CANCELLED = "cancelled by this node"


@attrs.frozen
class RawHead:
    """Status and headers of a response, not decoded."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


@attrs.frozen
class BodyPart:
    """A part of a response's body."""

    data: bytes


class BodyDelimiter(enum.Enum):
    """What marks the end of a response's body; the values are log texts."""

    LENGTH = "content length"
    CHUNKS = "last chunk"
    CONNECTION_CLOSE = "connection close"
    NO_BODY = "no body"


@attrs.frozen
class ReplyEnd:
    """
    The end of a response as HTTP delimits it.

    :param delimiter: what marked the end. A connection also closes when the backend
        server fails, so ``CONNECTION_CLOSE`` does not prove that the body is whole.
    """

    delimiter: BodyDelimiter


Event = RawHead | BodyPart | ReplyEnd | ReplyFailure


@attrs.define(eq=False)
class BackendConnection(asyncio.Protocol):
    """
    A connection that carries one request at a time.

    It can be reused only if the response was complete and delimited by a length or by
    chunked encoding, if no bytes followed it, and if the whole request had been written
    before it ended.

    :param address: ``IP:PORT`` of the backend server.
    :param idle_since_s: monotonic time since which the connection has been idle, in
        seconds.
    :param keep_alive_s: how long the backend server keeps an idle connection open, in
        seconds; None if it announced none.
    """

    address: str
    _transport: asyncio.Transport | None = None
    _parser: httptools.HttpResponseParser | None = None
    _events: "collections.deque[Event]" = attrs.field(factory=collections.deque)
    _waiter: asyncio.Future | None = None
    _headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    _status: int = 0
    _delimiter: BodyDelimiter = BodyDelimiter.CONNECTION_CLOSE
    _awaiting_response: bool = False
    _head_received: bool = False
    _not_reusable: bool = False
    _lost: bool = False
    _header_bytes: int = 0
    _bytes_since_event: int = 0
    # Whether the read that is being parsed has brought an event.
    _emitted: bool = False
    _queued_bytes: int = 0
    _paused: bool = False
    _no_body: bool = False
    idle_since_s: float = 0.0
    keep_alive_s: float | None = None

    @property
    def unused(self) -> bool:
        """Whether no request has been sent on the connection yet."""
        return self._parser is None

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return not (self._not_reusable or self._lost or self._awaiting_response)

    @property
    def _overlong(self) -> bool:
        return max(self._header_bytes, self._bytes_since_event) > MAX_FRAMING_BYTES

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the TCP timeouts."""
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
        """Fail the response that is awaited, if any."""
        self._lost = True
        if self._awaiting_response:
            self._end(ReplyFailure.RESET if error else ReplyFailure.ENDED)

    def eof_received(self) -> bool:
        """
        End a response that has no length once the connection has closed in order.

        :returns: whether the connection stays open for what is still to be written.
        """
        self._not_reusable = True
        if (
            self._awaiting_response
            and self._head_received
            and self._delimiter is BodyDelimiter.CONNECTION_CLOSE
        ):
            self._close_in_order()
            return True
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if not self._awaiting_response:
            # Unsolicited bytes: no request awaits a response.
            self._close_unusable()
            return
        self._emitted = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self._awaiting_response:
                self._end(ReplyFailure.MALFORMED)
            self._close_unusable()
        if not self._emitted:
            # One read may bring a whole head with much of its body.
            self._bytes_since_event += len(data)
        if self._awaiting_response and self._overlong:
            self._end(ReplyFailure.OVERLONG)
            self.abort()

    def send(self, data: bytes, no_body: bool = False) -> None:
        """
        Send a whole request and start to parse the response.

        :param data: head and body of the request.
        :param no_body: whether the response has no body, as for HEAD.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._events.clear()
        self._headers = []
        self._header_bytes = self._bytes_since_event = 0
        self._queued_bytes = 0
        self._awaiting_response = True
        self._head_received = False
        self._delimiter = BodyDelimiter.CONNECTION_CLOSE
        self._no_body = no_body
        self._transport.write(data)

    async def next_event(self) -> Event:
        """Wait for the next event of the response and return it."""
        while not self._events:
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        event = self._events.popleft()
        if isinstance(event, BodyPart):
            self._queued_bytes -= len(event.data)
            if self._paused and self._queued_bytes < LOW_WATER_BYTES:
                self._paused = False
                if not self._lost:
                    self._transport.resume_reading()
        return event

    def cancel(self) -> None:
        """End the response as cancelled and abort the connection."""
        if self._awaiting_response:
            self._end(ReplyFailure.CANCELLED)
            self._transport.abort()

    def abort(self) -> None:
        """Abort the connection; the backend server then stops its work."""
        self._not_reusable = True
        self._awaiting_response = False
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close the connection once all buffered data is written."""
        self._not_reusable = True
        if self._transport is not None:
            self._transport.close()

    def on_message_begin(self) -> None:
        """Close the connection if no request awaits a response."""
        if not self._awaiting_response:
            self._close_unusable()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are skipped."""
        self._header_bytes += len(name) + len(value)
        if not self._head_received and not self._overlong:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Emit the head of a final response; interim ones are skipped."""
        if not self._awaiting_response:
            return
        status = self._parser.get_status_code()
        if is_interim(status) or self._overlong:
            return
        if not is_final(status):
            self._end(ReplyFailure.MALFORMED)
            self._close_unusable()
            return
        self._delimiter = self._body_delimiter(status)
        if (
            self._delimiter is BodyDelimiter.CONNECTION_CLOSE
            or not self._parser.should_keep_alive()
        ):
            self._not_reusable = True
        self._head_received = True
        self._emit(RawHead(status, tuple(self._headers)))
        if self._no_body:
            self._end(ReplyEnd(self._delimiter))

    def on_body(self, data: bytes) -> None:
        """Emit a part of the body; pause reading if too much is queued."""
        if not self._awaiting_response:
            return
        self._queued_bytes += len(data)
        if self._queued_bytes > HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()
        self._emit(BodyPart(data))

    def on_message_complete(self) -> None:
        """Emit the end of a final response."""
        if not self._awaiting_response:
            return
        if not self._head_received:
            # An interim response (1xx); the final one follows.
            self._headers = []
            return
        if self._transport.get_write_buffer_size() > 0:
            # The server responded before it had read the whole request. It would parse
            # the rest as the next request.
            self._not_reusable = True
        self._end(ReplyEnd(self._delimiter))

    def _body_delimiter(self, status: int) -> BodyDelimiter:
        names = {name.lower() for name, _ in self._headers}
        if self._no_body or status in BODILESS_STATUSES:
            return BodyDelimiter.NO_BODY
        if b"transfer-encoding" in names:
            # Another coding ends with the connection, which then counts as broken: the
            # body could not be decoded in any case.
            return BodyDelimiter.CHUNKS
        if b"content-length" in names:
            return BodyDelimiter.LENGTH
        return BodyDelimiter.CONNECTION_CLOSE

    def _close_in_order(self) -> None:
        """End the sending side, too, and the response once that is acknowledged."""
        try:
            self._transport.write_eof()
        except OSError:
            self._end(ReplyFailure.RESET)
            self.abort()
            return
        self._check_close(CLOSE_CHECK_S)

    def _check_close(self, interval_s: float) -> None:
        """
        End the response if both sides have closed the connection.

        A server may end a response before it has received the request, and reset the
        connection afterwards: the response is whole only if no reset comes until the
        server's system has acknowledged the request and its end.
        """
        if not self._awaiting_response:
            return
        endpoint = self._transport.get_extra_info("socket")
        if pending_error(endpoint):
            self._end(ReplyFailure.RESET)
            self.abort()
        elif self._transport.get_write_buffer_size() or unacknowledged_bytes(endpoint):
            asyncio.get_running_loop().call_later(
                interval_s, self._check_close, min(2 * interval_s, MAX_CLOSE_CHECK_S)
            )
        else:
            self._end(ReplyEnd(self._delimiter))

    def _emit(self, event: Event) -> None:
        self._bytes_since_event = 0
        self._emitted = True
        self._events.append(event)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _end(self, event: Event) -> None:
        self._awaiting_response = False
        if isinstance(event, ReplyFailure):
            self._not_reusable = True
        self._emit(event)

    def _close_unusable(self) -> None:
        self._not_reusable = True
        if self._transport is not None:
            self._transport.close()

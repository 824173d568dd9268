"""The server's HTTP/1.1 protocol, with limits on what a client may send."""

import asyncio
import http
from collections.abc import Callable, Sequence
from typing import Any

import attrs
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from tanagerkeel.gateways.request_parser import RequestParser, restart_after_offer

__all__ = [
    "ABORT_EXTENSION",
    "BoundedProtocol",
    "HeaderPolicy",
    "Headers",
    "MakeResponse",
]

# Key in an ASGI scope's extensions of the function that aborts the connection.
ABORT_EXTENSION = "tanagerkeel.abort"
# How much, and for how long, the rest of a request is read and discarded after an early
# response. If the connection were closed at once, the client would see a connection
# error and might never receive the response.
MAX_DISCARDED_BYTES = 32_000_000
DISCARD_TIMEOUT_S = 10.0
# From connecting, or from the first byte of a further request, to the end of headers.
HEADER_TIMEOUT_S = 20.0
# How long a stopping server waits for the request of a connection that was just
# accepted, in seconds. Clients send it within a round trip and may be a few processes
# away on a busy machine; longer waits would delay the stop.
FIRST_REQUEST_TIMEOUT_S = 0.5
DEFAULT_MAX_HEADER_BYTES = 65_536
# Separator and line end of each header line.
HEADER_OVERHEAD_BYTES = len(": \r\n")

Headers = Sequence[tuple[bytes, bytes]]
# Makes a whole response, with status line and headers, from the headers of a request.
MakeResponse = Callable[[Headers], bytes]


def _plain(status: int) -> MakeResponse:
    line = f"HTTP/1.1 {status} {http.HTTPStatus(status).phrase}"
    response = f"{line}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode()
    return lambda _: response


@attrs.frozen
class HeaderPolicy:
    """
    Limits on requests, and the responses to requests that exceed them.

    The application doesn't get these requests, or sees their client disconnect. The
    functions get the headers received up to then.

    :param max_bytes: largest header block that is accepted, in bytes.
    :param too_large: makes the response to a larger header block.
    :param malformed: makes the response to bytes that aren't HTTP.
    :param timeout_s: from connecting, or from the first byte of a further request, to
        the end of headers, in seconds; then the connection is closed.
    :param max_body_bytes: longest body that may be announced, in bytes; None for any.
    :param body_too_large: makes the response to the announcement of a longer one.
    :param body_too_slow: makes the response to a body that doesn't arrive in time.
    :param too_much: makes the response to a client that holds too much.
    """

    max_bytes: int = DEFAULT_MAX_HEADER_BYTES
    too_large: MakeResponse = _plain(431)
    malformed: MakeResponse = _plain(400)
    timeout_s: float = HEADER_TIMEOUT_S
    max_body_bytes: int | None = None
    body_too_large: MakeResponse = _plain(413)
    body_too_slow: MakeResponse = _plain(408)
    too_much: MakeResponse = _plain(503)


class BoundedProtocol(HttpToolsProtocol):
    """
    uvicorn's protocol with limits on headers.

    Offers of another protocol are declined. When a request is answered before its body
    has arrived, the rest of the body is read and discarded, so that the client receives
    the response.

    :param policy: limits on headers.
    :param options: passed on to uvicorn's protocol.
    """

    def __init__(self, policy: HeaderPolicy, **options: Any) -> None:
        super().__init__(**options)
        self.parser = RequestParser(self, self._decline_offer)
        self._policy = policy
        # In force from the next request on.
        self._next_policy = policy
        self._reading_headers = False
        self._raw_header_bytes = 0
        self._header_bytes = 0
        self._rejected = False
        self._discarded_bytes = 0
        self._discard_timer: asyncio.TimerHandle | None = None
        self._header_timer: asyncio.TimerHandle | None = None
        self._stopping = False
        self._stop_timer: asyncio.TimerHandle | None = None
        # Whether a request has begun and not ended, and how many have begun in the data
        # that is being parsed.
        self._in_message = False
        self._messages_begun = 0

    def set_limits(self, policy: HeaderPolicy, keep_alive_s: float) -> None:
        """
        Set the limits from the next request on.

        A request whose headers are arriving keeps its limits. The time that has passed
        since the last request, or since connecting, counts.

        :param policy: limits on headers.
        :param keep_alive_s: longest time between two requests, in seconds.
        """
        old_timeout_s = self._policy.timeout_s
        self._next_policy = policy
        if not self._reading_headers:
            self._policy = policy
            self._header_timer = self._move_timer(
                self._header_timer,
                policy.timeout_s - old_timeout_s,
                self.transport.close,
            )
        self.timeout_keep_alive_task = self._move_timer(
            self.timeout_keep_alive_task,
            keep_alive_s - self.timeout_keep_alive,
            self.timeout_keep_alive_handler,
        )
        self.timeout_keep_alive = keep_alive_s

    def _move_timer(
        self,
        timer: asyncio.TimerHandle | None,
        by_s: float,
        callback: Callable[[], object],
    ) -> asyncio.TimerHandle | None:
        if timer is None or by_s == 0:
            return timer
        timer.cancel()
        return self.loop.call_at(timer.when() + by_s, callback)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the timeout of the first request's headers."""
        super().connection_made(transport)
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timers."""
        self._cancel_discard_timer()
        self._cancel_header_timer()
        self._cancel_stop_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what the client sent, or discard it after a rejected request."""
        if self._rejected:
            self._discard(len(data))
            return
        # With pipelining, data in which headers begin may hold the request before, too.
        open_before = int(self._in_message)
        self._messages_begun = 0
        super().data_received(data)
        if self._reading_headers and not self._rejected:
            # The parser reports a header only when it is complete, so one that never
            # ends is noticed only here.
            if self._messages_begun + open_before <= 1:
                self._raw_header_bytes += len(data)
            if self._raw_header_bytes > self._policy.max_bytes:
                self._reject(self._policy.too_large)

    def send_400_response(self, msg: str) -> None:
        """Reject bytes that aren't HTTP; uvicorn calls this when parsing fails."""
        self._reject(self._policy.malformed)

    def on_message_begin(self) -> None:
        """Reset the counters and start the header timeout."""
        super().on_message_begin()
        self._policy = self._next_policy
        self._in_message = True
        self._messages_begun += 1
        self.scope["extensions"] = {ABORT_EXTENSION: self.transport.abort}
        self._reading_headers = True
        self._start_header_timer()
        self._raw_header_bytes = 0
        self._header_bytes = 0
        self._discarded_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Count a part of the request's target towards the header limit."""
        self._header_bytes += len(url)
        if self._header_bytes <= self._policy.max_bytes:
            super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count one header towards the header limit; trailers are dropped."""
        if not self._reading_headers:
            return
        self._header_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._header_bytes <= self._policy.max_bytes:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the request, unless it offers another protocol; that comes later."""
        if not self.parser.should_upgrade():
            self._start_request()

    def _decline_offer(self, rest: bytes) -> None:
        """Start a request that has offered another protocol, and go on behind it."""
        self.parser, head = restart_after_offer(
            self.parser, self.headers, self, self._decline_offer
        )
        self.parser.feed_data(head)
        if self._rejected:
            self._discard(len(rest))
        else:
            self.parser.feed_data(rest)

    def _start_request(self) -> None:
        """Start the request, or reject it if its headers are too large."""
        self._end_headers()
        if self._rejected:
            return
        if self._header_bytes > self._policy.max_bytes:
            self._reject(self._policy.too_large)
            return
        super().on_headers_complete()
        if self._stopping and self.cycle is not None:
            self._cancel_stop_timer()
            self.cycle.keep_alive = False

    def shutdown(self) -> None:
        """
        Close the connection after its request, or at once if none is expected.

        uvicorn calls this once when the server stops. A connection without any request
        so far was just accepted, and its request is on the way.
        """
        serving = self.cycle is not None and not self.cycle.response_complete
        expects_request = self.cycle is None or self._reading_headers
        if serving or self._rejected or not expects_request:
            super().shutdown()
            return
        self._stopping = True
        self._stop_timer = self.loop.call_later(
            FIRST_REQUEST_TIMEOUT_S, self.transport.close
        )

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body, or discard it once the response is complete."""
        if self._rejected or self.cycle.response_complete:
            self._discard(len(body))
            return
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End the request; after an early response, start the keep-alive timeout."""
        if self.parser.should_upgrade():
            return
        self._in_message = False
        if self._rejected:
            return
        super().on_message_complete()
        self._cancel_discard_timer()
        if self.cycle.response_complete and not self.transport.is_closing():
            self._unset_keepalive_if_required()
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def on_response_complete(self) -> None:
        """Keep reading for a limited time if the body has not ended yet."""
        super().on_response_complete()
        if self.cycle.more_body and not self.transport.is_closing():
            self._start_discard_timer()

    def _end_headers(self) -> None:
        self._reading_headers = False
        self._cancel_header_timer()

    def _reject(self, make_response: MakeResponse) -> None:
        self._rejected = True
        if self.cycle is not None and not self.cycle.response_complete:
            # The response to an earlier request on this connection isn't complete.
            self.transport.abort()
            return
        self._write_rejection(make_response)

    def _write_rejection(self, make_response: MakeResponse) -> None:
        self._rejected = True
        self.transport.write(make_response(self.headers or ()))
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._start_discard_timer()

    def _discard(self, count: int) -> None:
        self._discarded_bytes += count
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.transport.close()

    def _start_discard_timer(self) -> None:
        self._cancel_discard_timer()
        self._discard_timer = self.loop.call_later(
            DISCARD_TIMEOUT_S, self.transport.close
        )

    def _cancel_discard_timer(self) -> None:
        if self._discard_timer is not None:
            self._discard_timer.cancel()
            self._discard_timer = None

    def _cancel_stop_timer(self) -> None:
        if self._stop_timer is not None:
            self._stop_timer.cancel()
            self._stop_timer = None

    def _start_header_timer(self) -> None:
        self._cancel_header_timer()
        self._header_timer = self.loop.call_later(
            self._policy.timeout_s, self.transport.close
        )

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

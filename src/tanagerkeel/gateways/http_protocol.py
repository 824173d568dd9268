"""The server's HTTP/1.1 protocol, with bounds on what a client may send."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import attrs
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

__all__ = ["ABORT_EXTENSION", "BoundedProtocol", "HeaderPolicy", "Headers"]

# Name of the function in an ASGI scope's extensions that breaks its connection.
ABORT_EXTENSION = "tanagerkeel.abort"
# What is still read of a request that was refused while it arrived: a closed
# connection would look like a failure and could swallow the refusal.
MAX_DISCARDED_BYTES = 32_000_000
DISCARD_TIMEOUT_S = 10.0
# From a connection, or the first byte of a further request, to the end of headers.
HEADER_TIMEOUT_S = 20.0
DEFAULT_HEADER_BYTES = 65_536
HEADER_OVERHEAD_BYTES = len(": \r\n")

Headers = Sequence[tuple[bytes, bytes]]


def _plain_too_large(_: Headers) -> bytes:
    return (
        b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
        b"Content-Length: 0\r\nConnection: close\r\n\r\n"
    )


def _plain_malformed(_: Headers) -> bytes:
    return b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


@attrs.frozen
class HeaderPolicy:
    """
    Bounds on headers and the answers to requests that no application sees.

    :param max_bytes: largest header block, in bytes.
    :param too_large: returns the whole answer to a larger one.
    :param malformed: returns the whole answer to what isn't HTTP.
    :param timeout_s: from a connection, or the first byte of a further request, to
        the end of headers, in seconds.
    """

    max_bytes: int = DEFAULT_HEADER_BYTES
    too_large: Callable[[Headers], bytes] = _plain_too_large
    malformed: Callable[[Headers], bytes] = _plain_malformed
    timeout_s: float = HEADER_TIMEOUT_S


class BoundedProtocol(HttpToolsProtocol):
    """
    uvicorn's protocol with bounded headers and refusals that arrive.

    :param policy: bounds on headers.
    """

    def __init__(self, policy: HeaderPolicy, **options: Any) -> None:
        super().__init__(**options)
        self._policy = policy
        self._reading_headers = False
        self._raw_header_bytes = 0
        self._header_bytes = 0
        self._refused = False
        self._discarded_bytes = 0
        self._discard_timer: asyncio.TimerHandle | None = None
        self._header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take in that a client has connected."""
        super().connection_made(transport)
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Take in that the connection has ended."""
        self._cancel_discard_timer()
        self._cancel_header_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take in what the client sent."""
        if self._refused:
            self._discard(len(data))
            return
        super().data_received(data)
        if self._reading_headers and not self._refused:
            # A single header that doesn't end is seen only here.
            self._raw_header_bytes += len(data)
            if self._raw_header_bytes > self._policy.max_bytes:
                self._refuse(self._policy.too_large)

    def send_400_response(self, msg: str) -> None:
        """Answer what isn't HTTP."""
        self._refuse(self._policy.malformed)

    def on_message_begin(self) -> None:
        """Take in that a request begins."""
        super().on_message_begin()
        self.scope["extensions"] = {ABORT_EXTENSION: self.transport.abort}
        self._reading_headers = True
        self._start_header_timer()
        self._raw_header_bytes = 0
        self._header_bytes = 0
        self._discarded_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Take in a part of the request's target."""
        self._header_bytes += len(url)
        if self._header_bytes <= self._policy.max_bytes:
            super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in one header."""
        self._header_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if self._header_bytes <= self._policy.max_bytes:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Start the request, unless its headers are too large."""
        self._reading_headers = False
        self._cancel_header_timer()
        if self._refused:
            return
        if self._header_bytes > self._policy.max_bytes:
            self._refuse(self._policy.too_large)
            return
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Take in a part of the body."""
        if self._refused or self.cycle.response_complete:
            self._discard(len(body))
            return
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Take in that the request has arrived whole."""
        if self._refused:
            return
        super().on_message_complete()
        self._cancel_discard_timer()
        if self.cycle.response_complete and not self.transport.is_closing():
            self._unset_keepalive_if_required()
            self.timeout_keep_alive_task = self.loop.call_later(
                self.timeout_keep_alive, self.timeout_keep_alive_handler
            )

    def on_response_complete(self) -> None:
        """Read on for a while when the answer came before the end of the body."""
        super().on_response_complete()
        if self.cycle.more_body and not self.transport.is_closing():
            self._start_discard_timer()

    def _refuse(self, answer: Callable[[Headers], bytes]) -> None:
        self._refused = True
        if self.cycle is not None and not self.cycle.response_complete:
            # An earlier answer on this connection is on its way.
            self.transport.abort()
            return
        self.transport.write(answer(self.headers or ()))
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

    def _start_header_timer(self) -> None:
        self._cancel_header_timer()
        self._header_timer = self.loop.call_later(
            self._policy.timeout_s, self.transport.close
        )

    def _cancel_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

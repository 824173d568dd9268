"""The parser of requests, which declines offers to go on with another protocol."""

from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

import httptools

__all__ = ["ParserEvents", "RequestParser", "restart_after_offer"]

CONNECT = b"CONNECT"
# Headers by which a request and its connection end.
FRAMING_HEADERS = (b"content-length", b"transfer-encoding", b"connection")


class ParserEvents(Protocol):
    """Gets the events of a parser."""

    def on_message_begin(self) -> None:
        """A request begins."""

    def on_url(self, url: bytes) -> None:
        """A part of the target has arrived."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header has arrived."""

    def on_headers_complete(self) -> None:
        """The headers are complete."""

    def on_body(self, body: bytes) -> None:
        """A part of the body has arrived."""

    def on_message_complete(self) -> None:
        """The request is complete."""


class RequestParser(httptools.HttpRequestParser):
    """
    A parser of requests on one connection.

    llhttp ends a request that offers an upgrade with its headers, and takes no further
    request. Where the offer is declined, the body is that of the request (RFC 9110,
    section 7.8).

    :param events: gets the events.
    :param on_offer: called after such a request, with what follows its headers.
    """

    def __init__(self, events: ParserEvents, on_offer: Callable[[bytes], None]) -> None:
        super().__init__(events)
        self._on_offer = on_offer
        # Several requests may come in one read.
        self.set_dangerous_leniencies(lenient_data_after_close=True)

    def feed_data(self, data: bytes) -> None:
        """
        Parse bytes.

        :raises httptools.HttpParserError: if they aren't HTTP, or ask for a tunnel.
        """
        try:
            super().feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            if self.get_method() == CONNECT:
                raise httptools.HttpParserError("no tunnels") from offer
            self._on_offer(data[offer.args[0] :])


class _EventsAfterHead:
    """
    Passes events on, except for those of a head that were passed on before.

    :param events: gets the events.
    """

    def __init__(self, events: ParserEvents) -> None:
        self._events = events
        self._in_known_head = True
        self.on_body = events.on_body
        self.on_message_complete = events.on_message_complete

    def on_message_begin(self) -> None:
        if not self._in_known_head:
            self._events.on_message_begin()

    def on_url(self, url: bytes) -> None:
        if not self._in_known_head:
            self._events.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._in_known_head:
            self._events.on_header(name, value)

    def on_headers_complete(self) -> None:
        self._in_known_head = False
        self._events.on_headers_complete()


def restart_after_offer(
    parser: RequestParser,
    headers: Iterable[tuple[bytes, bytes]],
    events: ParserEvents,
    on_offer: Callable[[bytes], None],
) -> tuple[RequestParser, bytes]:
    """
    Return a parser that goes on behind the headers of a request with an offer.

    :param parser: the parser that has ended the request with its headers.
    :param headers: these headers, with names in lower case.
    :param events: gets the events, from the end of these headers on.
    :param on_offer: as in :class:`RequestParser`.
    :returns: the parser, and the bytes to feed to it before those that follow.
    """
    version = parser.get_http_version().encode()
    lines = [
        parser.get_method() + b" / HTTP/" + version,
        *(name + b": " + value for name, value in _framing(headers)),
    ]
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return RequestParser(_EventsAfterHead(events), on_offer), head


def _framing(headers: Iterable[tuple[bytes, bytes]]) -> Iterator[tuple[bytes, bytes]]:
    """Yield the headers that tell where the request ends, without the offer."""
    for name, value in headers:
        if name == b"connection":
            options = (option.strip() for option in value.split(b","))
            value = b", ".join(o for o in options if o.lower() != b"upgrade")
        if name in FRAMING_HEADERS:
            yield name, value

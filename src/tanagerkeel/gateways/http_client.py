"""HTTP client helpers that tell whether a request was sent and its response whole."""

import asyncio

import aiohttp
import attrs
from aiohttp import ClientHandlerType

from tanagerkeel.gateways.http_status import is_final
from tanagerkeel.gateways.tcp_state import pending_error, unacknowledged_bytes

__all__ = [
    "BodyTooLong",
    "InvalidStatus",
    "NOT_SENT_ERRORS",
    "SendOnce",
    "WholeResponse",
    "client_timeout",
    "failure_reason",
]

CONNECT_TIMEOUT_S = 1.0
# Share of a short total timeout that connecting may take. The rest makes sure that the
# connect timeout comes first, so that the request is known not to have been sent.
CONNECT_SHARE = 0.8

# Limit of a response's body. The store's listings, the largest ones, are paged at about
# 1 MB, but one set of changes can hold several of them.
MAX_BODY_BYTES = 33_554_432

# Response headers that mark the end of the body without the end of the connection.
DELIMITING_HEADERS = ("Content-Length", "Transfer-Encoding")
# No connection was made, so the request was not sent. After any other failure it may
# have been sent, even on a pooled connection that the server had closed.
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


def client_timeout(total_s: float | None) -> aiohttp.ClientTimeout:
    """
    Return timeouts in which the connect timeout is shorter than the total timeout.

    A call that times out while it connects is then known not to have been sent.

    :param total_s: timeout of the whole call, in seconds; None for no timeout.
    """
    connect_s = CONNECT_TIMEOUT_S
    if total_s is not None:
        connect_s = min(connect_s, total_s * CONNECT_SHARE)
    return aiohttp.ClientTimeout(total=total_s, connect=connect_s)


def failure_reason(error: Exception) -> str:
    """Return a short description of why a call failed."""
    name = type(error).__name__
    match error:
        case aiohttp.ClientConnectorError() | aiohttp.ConnectionTimeoutError():
            return f"no connection came up ({name})"
        case TimeoutError():
            return "no answer in time"
        case aiohttp.ClientConnectionError() | aiohttp.ClientPayloadError() | OSError():
            return f"the connection broke ({name})"
        case _:
            return f"the answer is not valid: {error}"


class BodyTooLong(aiohttp.ClientPayloadError):
    """The body of a response exceeds ``MAX_BODY_BYTES``."""


class InvalidStatus(aiohttp.ClientPayloadError):
    """The status of a response is none that HTTP defines for a final one."""


class WholeResponse(aiohttp.ClientResponse):
    """
    A response whose :meth:`read` fails if its connection broke before the end.

    A body with neither a length nor chunks ends with its connection. aiohttp takes a
    reset for such an end, too. Pass the class to a session as ``response_class``.
    """

    _connection_closed: asyncio.Future | None = None
    _ended_early: bool = False

    async def start(self, connection: aiohttp.connector.Connection) -> "WholeResponse":
        """
        Begin to receive the response, and watch for the end of its connection.

        :raises InvalidStatus: if the status isn't one of a final response.
        """
        # Must be asked for before the connection ends; afterwards it is None.
        closed = connection.protocol.closed
        if closed is not None:
            # Once only, as a connection may carry many responses.
            closed.remove_done_callback(_retrieve_exception)
            closed.add_done_callback(_retrieve_exception)
        self._connection_closed = closed
        transport = connection.transport
        await super().start(connection)
        if not is_final(self.status):
            raise InvalidStatus(f"status {self.status:03}")
        if not self._delimited:
            self.content.on_eof(lambda: self._check_end(transport))
        return self

    def _check_end(self, transport: asyncio.Transport | None) -> None:
        """
        Check that the server's system had received the request when the body ended.

        Called while the connection is being closed, as its errors are lost afterwards.
        """
        endpoint = transport and transport.get_extra_info("socket")
        if endpoint is not None and endpoint.fileno() >= 0:
            reset = pending_error(endpoint) != 0
            self._ended_early = reset or unacknowledged_bytes(endpoint) > 0

    async def read(self) -> bytes:
        """
        Return the whole body.

        :raises aiohttp.ClientConnectionError: if the connection broke before the end.
        :raises BodyTooLong: if the body exceeds ``MAX_BODY_BYTES``; the connection is
            then closed.
        """
        if self._body is None:
            # The methods of the base class take the body from there.
            self._body = await self._read_bounded()
        closed = self._connection_closed
        if closed is not None and closed.done() and not self._delimited:
            # Raises the error that ended the connection, if any.
            closed.result()
        if self._ended_early:
            raise aiohttp.ClientConnectionError("reset, or ended before the request")
        return self._body

    async def _read_bounded(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        async for part in self.content.iter_any():
            parts.append(part)
            size += len(part)
            if size > MAX_BODY_BYTES:
                self.close()
                raise BodyTooLong(f"body exceeds {MAX_BODY_BYTES} bytes")
        return b"".join(parts)

    @property
    def _delimited(self) -> bool:
        return any(name in self.headers for name in DELIMITING_HEADERS)


def _retrieve_exception(closed: asyncio.Future) -> None:
    """Keep asyncio from logging the exception of a future that is never awaited."""
    if not closed.cancelled():
        closed.exception()


@attrs.define
class SendOnce:
    """
    A client middleware that prevents the client from retrying a request.

    aiohttp retries a PUT by itself when a pooled connection breaks; a compare-and-swap
    that had taken effect would then look like a conflict.
    """

    _sent: bool = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Pass the request on the first time; fail on a retry."""
        if self._sent:
            raise aiohttp.ClientConnectionError("the connection broke")
        self._sent = True
        return await handler(request)

"""The response to one request, sent through ASGI."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import attrs

from tanagerkeel.gateways.http_server import ABORT_EXTENSION
from tanagerkeel.relay import BackendServer, Headers

__all__ = ["AsgiReply", "Event", "Receive", "Send"]

Event = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Event]]
Send = Callable[[Event], Awaitable[None]]
CLOSE_HEADER = (b"connection", b"close")


@attrs.define
class AsgiReply:
    """
    Sends one response through ASGI; implements :class:`CallerReply`.

    :param closing: returns whether the connection closes after this response.
    """

    _scope: Event
    _send: Send
    _closing: Callable[[], bool]
    _started: bool = False

    @property
    def started(self) -> bool:
        return self._started

    def name_backend(self, server: BackendServer) -> None:
        """Ignore the backend server: its headers tell the caller what it needs."""

    async def send_own(self, status: int, headers: Headers, body: bytes) -> None:
        await self._send_head(status, headers)
        await self.write(body)
        await self.finish()

    async def start(self, status: int, headers: Headers) -> None:
        await self._send_head(status, headers)

    async def _send_head(self, status: int, headers: Headers) -> None:
        self._started = True
        sent_headers = [*headers, CLOSE_HEADER] if self._closing() else list(headers)
        await self._send(
            {"type": "http.response.start", "status": status, "headers": sent_headers}
        )

    async def write(self, data: bytes) -> None:
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        await self._send({"type": "http.response.body", "body": b""})

    def abort(self) -> None:
        self._scope["extensions"][ABORT_EXTENSION]()

"""What a gateway must offer so that callers and backend servers can be spoken to."""

from collections.abc import MutableMapping
from typing import Any, Protocol

import attrs

from tanagerkeel.gateways.exchange import RawHead
from tanagerkeel.relay import BackendServer, CallerRequest, Headers, ReplyHead

__all__ = [
    "BackendCodec",
    "CallerCodec",
    "CallerReply",
    "Helper",
    "ReleaseMemory",
    "ReserveMemory",
    "SendOptions",
]


@attrs.frozen
class ReserveMemory:
    """
    An order to set memory aside, or to keep it.

    :param reservation: unique id; the same id once more renews it.
    :param tokens: how much.
    :param hold_ms: for how long from its arrival, in milliseconds.
    """

    reservation: str
    tokens: int
    hold_ms: int


@attrs.frozen
class ReleaseMemory:
    """An order to give memory back."""

    reservation: str


@attrs.frozen
class Helper:
    """
    A backend server that reads a part of a prompt.

    :param address: its ``IP:PORT``.
    :param reservation: id of the memory that is set aside there; None for none.
    """

    address: str
    reservation: str | None = None


@attrs.frozen
class SendOptions:
    """
    What the relay adds to a request that it sends.

    :param server: the backend server that alone may run it.
    :param account: name of the caller's client account; None for a public route.
    :param deadline_ms: what is left of its time, in milliseconds.
    :param resume_after: id of the last event that the caller has; None at the start.
    :param priority: rank at the engine, 0 to 9; None for the usual one.
    :param helpers: backend servers that read parts of the prompt.
    """

    server: BackendServer
    account: str | None
    deadline_ms: int
    resume_after: str | None = None
    priority: int | None = None
    helpers: tuple[Helper, ...] = ()


class CallerCodec(Protocol):
    """Reads callers' requests."""

    def decode(
        self, scope: MutableMapping[str, Any], arrived_s: float
    ) -> CallerRequest:
        """
        Return the request of an ASGI scope.

        :raises TanagerkeelError: MALFORMED_REQUEST.
        """


class BackendCodec(Protocol):
    """Writes requests for backend servers and reads their answers."""

    def encode(
        self, request: CallerRequest, body: bytes, options: SendOptions
    ) -> bytes:
        """Return the bytes of a whole request."""

    def decode(self, raw: RawHead) -> ReplyHead:
        """Return status and headers of an answer."""

    def encode_order(
        self, server: BackendServer, order: ReserveMemory | ReleaseMemory
    ) -> bytes:
        """Return the bytes of an order; a status of 200 says that it is done."""


class CallerReply(Protocol):
    """The answer to one caller."""

    @property
    def started(self) -> bool:
        """Whether status and headers have been sent."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers."""

    async def write(self, data: bytes) -> None:
        """Send a piece of the body."""

    async def finish(self) -> None:
        """End the answer as complete."""

    def break_off(self) -> None:
        """End the connection so that the answer can't look complete."""

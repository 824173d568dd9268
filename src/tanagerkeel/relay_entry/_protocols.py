"""Interfaces to the wire protocols of callers and backend servers."""

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
    An order to an engine to reserve memory, or to renew a reservation.

    :param reservation_id: unique id; an order with the id of a reservation renews it.
    :param tokens: amount of memory, in tokens.
    :param hold_ms: how long it holds from the order's arrival, in milliseconds.
    """

    reservation_id: str
    tokens: int
    hold_ms: int


@attrs.frozen
class ReleaseMemory:
    """
    An order to an engine to release reserved memory.

    :param reservation_id: id of the reservation.
    """

    reservation_id: str


@attrs.frozen
class Helper:
    """
    An engine that prefills a part of a prompt for another engine.

    :param address: its ``IP:PORT``.
    :param reservation_id: id of the memory reserved there; None when none is needed.
    """

    address: str
    reservation_id: str | None = None


@attrs.frozen
class SendOptions:
    """
    What the relay adds to a request that it sends.

    :param server: the only backend server that may run it.
    :param account: name of the caller's client account; None when no key is needed.
    :param deadline_ms: time left until the deadline, in milliseconds.
    :param resume_after: id of the last event that the caller has, after which a stream
        continues; None for the full stream.
    :param priority: priority at the engine, 0 to 9; None for the engine's default.
    :param helpers: engines that prefill parts of the prompt.
    """

    server: BackendServer
    account: str | None
    deadline_ms: int
    resume_after: str | None = None
    priority: int | None = None
    helpers: tuple[Helper, ...] = ()


class CallerCodec(Protocol):
    """Decodes callers' requests."""

    def decode(
        self, scope: MutableMapping[str, Any], arrived_s: float
    ) -> CallerRequest:
        """
        Return the request of an ASGI scope.

        :param scope: the ASGI scope.
        :param arrived_s: monotonic time at which the headers arrived, in seconds.
        :raises TanagerkeelError: MALFORMED_REQUEST.
        """


class BackendCodec(Protocol):
    """Encodes requests to backend servers and decodes their responses."""

    def encode(
        self, request: CallerRequest, body: bytes, options: SendOptions
    ) -> bytes:
        """Return the bytes of a request, head and body."""

    def decode(self, raw: RawHead) -> ReplyHead:
        """Return the status and headers of a response."""

    def encode_order(
        self, server: BackendServer, order: ReserveMemory | ReleaseMemory
    ) -> bytes:
        """Return the bytes of an order; status 200 of the response confirms it."""


class CallerReply(Protocol):
    """The response to one caller."""

    @property
    def started(self) -> bool:
        """Whether status and headers have been sent."""

    def name_backend(self, server: BackendServer) -> None:
        """Record which backend server responds, before :meth:`start`."""

    async def send_own(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole response of this node itself, not of a backend server."""

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers of a backend server's response."""

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the response as complete."""

    def abort(self) -> None:
        """Abort the connection, so that the response can't appear complete."""

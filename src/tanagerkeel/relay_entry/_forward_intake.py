"""ASGI application that serves requests which peers forward to this node."""

from collections.abc import Callable
from typing import Protocol

import attrs

from tanagerkeel import codec
from tanagerkeel.errors import ResultCode
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.frames import FrameRejected
from tanagerkeel.gateways.request_signature import (
    SIGNATURE_HEADER,
    ForwardVerifier,
    SessionMismatch,
)
from tanagerkeel.relay import BackendServer, CallerLimits, Headers
from tanagerkeel.relay_entry._admit import OTHER_NODE_RETRY_S, Refusal
from tanagerkeel.relay_entry._asgi_reply import AsgiReply, Event, Receive, Send
from tanagerkeel.relay_entry._forward_messages import (
    BACKEND_HEADER,
    FORWARD_PATH,
    LENGTH_HEADER,
    OWN_RESPONSE_HEADER,
    ForwardedRequest,
    encode_backend,
)
from tanagerkeel.relay_entry._protocols import CallerReply
from tanagerkeel.relay_entry._refusals import send_refusal
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["ForwardIntake"]

# Limit of forwarded requests that run at the same time.
MAX_OPEN = 256
# What a forwarded request may add to the body of the caller's: its headers and fields.
MAX_ENVELOPE_BYTES = 65_536
STATUS_CONFLICT = 409
STATUS_FORBIDDEN = 403
FORWARD_HEADERS = frozenset((BACKEND_HEADER, LENGTH_HEADER, OWN_RESPONSE_HEADER))


class ForwardHandler(Protocol):
    """Serves forwarded requests."""

    async def serve_forwarded(
        self, forwarded: ForwardedRequest, sender: str, reply: CallerReply
    ) -> None:
        """Serve a request that the node ``sender`` has forwarded."""


@attrs.define
class _ForwardReply(AsgiReply):
    """
    Adds what the node that forwarded the request has to know.

    A response of the node itself is signed, and that of a backend server has the
    server's name: their statuses, types and bodies may be the same.

    :param verifier: signs the responses of the node itself.
    :param signature: the signature of the request.
    :param bodiless: whether the response has no body, as one to HEAD.
    """

    _verifier: ForwardVerifier = attrs.field(kw_only=True)
    _signature: str = attrs.field(kw_only=True)
    bodiless: bool = False
    _backend: BackendServer | None = None

    def name_backend(self, server: BackendServer) -> None:
        self._backend = server

    async def send_own(self, status: int, headers: Headers, body: bytes) -> None:
        tag = self._verifier.sign_response(self._signature, status, body)
        headers = (*headers, (OWN_RESPONSE_HEADER, tag.encode()))
        await super().send_own(status, headers, body)

    async def start(self, status: int, headers: Headers) -> None:
        # A backend server's own headers of these names would pass for this node's.
        headers = tuple(h for h in headers if h[0] not in FORWARD_HEADERS)
        if self._backend is not None:
            headers = (*headers, (BACKEND_HEADER, encode_backend(self._backend)))
        if self.bodiless:
            headers = tuple(
                (LENGTH_HEADER if name == b"content-length" else name, value)
                for name, value in headers
            )
        await super().start(status, headers)


@attrs.define
class ForwardIntake:
    """
    Verifies forwarded requests and has them served as this node's own.

    :param state: gives the limits on callers, and whether the node is stopping.
    :param handler: serves the requests.
    :param verifier: verifies that a peer has signed a request, and for this node.
    :param address: returns the address that signatures cover.
    :param received: how many requests were accepted from peers.
    """

    _state: RelayState
    _handler: ForwardHandler
    _verifier: ForwardVerifier
    _address: Callable[[], str]
    received: int = 0
    _open: int = 0

    async def __call__(self, scope: Event, receive: Receive, send: Send) -> None:
        """Serve one ASGI request; scopes other than HTTP are ignored."""
        if scope["type"] != "http":
            return
        headers = dict(scope["headers"])
        signature = headers.get(SIGNATURE_HEADER.lower().encode(), b"").decode("latin1")
        reply = _ForwardReply(
            scope,
            send,
            lambda: self._state.stopping,
            verifier=self._verifier,
            signature=signature,
        )
        refusal = self._refusal(scope["path"])
        if refusal is not None:
            await send_refusal(reply, refusal, "")
            return
        self._open += 1
        try:
            await self._serve(scope, receive, reply, signature)
        finally:
            self._open -= 1

    def _refusal(self, path: str) -> Refusal | None:
        if path != FORWARD_PATH:
            return Refusal(ResultCode.NOT_FOUND, f"no path {path}")
        if self._state.stopping:
            return Refusal(ResultCode.STOPPING, "stopping", OTHER_NODE_RETRY_S)
        if self._open >= MAX_OPEN:
            reason = f"{MAX_OPEN} forwarded requests are open"
            return Refusal(ResultCode.FORWARD_REFUSED, reason, OTHER_NODE_RETRY_S)
        return None

    async def _serve(
        self, scope: Event, receive: Receive, reply: _ForwardReply, signature: str
    ) -> None:
        body = await self._read(receive)
        if body is None:
            # The peer disconnected, or sent more than it may.
            reply.abort()
            return
        try:
            sender = self._verifier.verify(
                signature, self._address(), FORWARD_PATH, body
            )
            forwarded = codec.unpack_compact(body, ForwardedRequest)
        except SessionMismatch as error:
            await self._respond(reply, STATUS_CONFLICT, str(error.session).encode())
            return
        except (FrameRejected, codec.InvalidValue) as error:
            log(
                LogEvent.PEER_MESSAGE_DROPPED,
                sender=str(scope.get("client")),
                reason=str(error),
                forward=True,
            )
            await self._respond(reply, STATUS_FORBIDDEN, str(error).encode())
            return
        self.received += 1
        reply.bodiless = forwarded.request.method == "HEAD"
        await self._handler.serve_forwarded(forwarded, sender, reply)

    async def _read(self, receive: Receive) -> bytes | None:
        configuration = self._state.configuration
        limits = configuration.limits if configuration else CallerLimits()
        max_bytes = limits.max_body_bytes + MAX_ENVELOPE_BYTES
        body = bytearray()
        while True:
            event = await receive()
            if event["type"] == "http.disconnect":
                return None
            body += event.get("body", b"")
            if len(body) > max_bytes:
                log(
                    LogEvent.PEER_MESSAGE_DROPPED,
                    reason=f"over {max_bytes} bytes",
                    forward=True,
                )
                return None
            if not event.get("more_body"):
                return bytes(body)

    async def _respond(self, reply: CallerReply, status: int, body: bytes) -> None:
        headers = ((b"content-length", str(len(body)).encode()),)
        await reply.send_own(status, headers, body)

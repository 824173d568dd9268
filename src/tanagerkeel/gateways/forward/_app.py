"""ASGI application that receives requests forwarded by other nodes."""

import contextlib
import traceback
from collections.abc import AsyncIterator, Callable
from typing import Protocol

import attrs
import falcon
import falcon.asgi

from tanagerkeel import codec
from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.callers import CancelOnDisconnect
from tanagerkeel.gateways.forward._client import CALL_PATH, MODEL_PATH, SESSION_PATH
from tanagerkeel.gateways.forward._messages import (
    ForwardedCall,
    ForwardedModelRequest,
    ForwardLine,
    ForwardReply,
    to_forward_error,
)
from tanagerkeel.gateways.peers import FrameRejected
from tanagerkeel.gateways.request_signature import (
    SIGNATURE_HEADER,
    ForwardVerifier,
    SessionMismatch,
)
from tanagerkeel.requests import AnswerChunk, AnswerEnd

__all__ = ["ForwardHandler", "make_forward_app"]

# JSON escapes a character with up to six bytes (``\u0000``).
MAX_BYTES_PER_CHARACTER = 6
LINES_MEDIA_TYPE = "application/x-ndjson"


class ForwardHandler(Protocol):
    """A node that runs forwarded requests; methods raise ``TanagerkeelError``."""

    def answer_forwarded_model(
        self, forwarded: ForwardedModelRequest
    ) -> AsyncIterator[AnswerChunk]:
        """Yield the chunks of the answer; the last one is an ``AnswerEnd``."""

    async def answer_forwarded_call(self, forwarded: ForwardedCall) -> ForwardReply:
        """Call a plain service and return its reply."""


@attrs.frozen
class _Authenticator:
    verifier: ForwardVerifier
    address: Callable[[], str]
    max_body_bytes: int

    async def read(self, request: falcon.asgi.Request) -> tuple[str, bytes]:
        """Read and verify a request; return the forwarding node's id and the body."""
        body = bytearray()
        async for chunk in request.stream:
            body += chunk
            if len(body) > self.max_body_bytes:
                raise falcon.HTTPContentTooLarge
        header = request.get_header(SIGNATURE_HEADER) or ""
        data = bytes(body)
        try:
            sender = self.verifier.verify(header, self.address(), request.path, data)
        except FrameRejected as error:
            log(LogEvent.PEER_MESSAGE_DROPPED, reason=error.reason, forward=True)
            raise falcon.HTTPForbidden(title=error.reason) from error
        return sender, data


@attrs.frozen
class _ModelResource:
    _handler: ForwardHandler
    _authenticator: _Authenticator

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        sender, body = await self._authenticator.read(request)
        forwarded = _decode_message(body, ForwardedModelRequest, sender)
        chunks = self._handler.answer_forwarded_model(forwarded)
        response.content_type = LINES_MEDIA_TYPE
        response.stream = _response_lines(forwarded.forward_id, chunks)


@attrs.frozen
class _CallResource:
    _handler: ForwardHandler
    _authenticator: _Authenticator

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        sender, body = await self._authenticator.read(request)
        forwarded = _decode_message(body, ForwardedCall, sender)
        response.content_type = LINES_MEDIA_TYPE
        try:
            reply = await self._handler.answer_forwarded_call(forwarded)
        except TanagerkeelError as error:
            response.data = codec.encode(ForwardLine(error=to_forward_error(error)))
        except Exception as error:  # the call may have run
            response.data = codec.encode(_internal_error_line(error))
        else:
            response.data = codec.encode(ForwardLine(reply=reply))


@attrs.frozen
class _SessionResource:
    _verifier: ForwardVerifier

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        response.text = str(self._verifier.session)


def _decode_message(body: bytes, cls: type, sender: str) -> object:
    try:
        message = codec.decode(body, cls, lenient=True)
    except codec.InvalidValue as error:
        raise falcon.HTTPBadRequest(title=str(error)) from error
    # The sender is taken from the signature, not from the body.
    return attrs.evolve(message, forwarded_by=sender)


async def _response_lines(
    forward_id: str, chunks: AsyncIterator[AnswerChunk]
) -> AsyncIterator[bytes]:
    try:
        async with contextlib.aclosing(chunks):
            async for chunk in chunks:
                relabelled = attrs.evolve(chunk, attempt_id=forward_id)
                yield _encode_line(_chunk_line(relabelled))
    except TanagerkeelError as error:
        yield _encode_line(ForwardLine(error=to_forward_error(error)))
    except Exception as error:  # the forwarding node needs an end of the stream
        yield _encode_line(_internal_error_line(error))


def _internal_error_line(error: Exception) -> ForwardLine:
    """Log an unexpected exception; return what the forwarding node is told of it."""
    log(LogEvent.INTERNAL_ERROR, error=repr(error), traceback=traceback.format_exc())
    internal = TanagerkeelError(ResultCode.INTERNAL, "", Ran.UNKNOWN)
    return ForwardLine(error=to_forward_error(internal))


def _chunk_line(chunk: AnswerChunk) -> ForwardLine:
    match chunk:
        case AnswerEnd():
            return ForwardLine(end=chunk)
        case _:
            return ForwardLine(token=chunk)


def _encode_line(line: ForwardLine) -> bytes:
    return codec.encode(line) + b"\n"


async def _on_session_mismatch(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: SessionMismatch,
    params: dict[str, str],
) -> None:
    response.status = falcon.HTTP_CONFLICT
    response.text = str(error.session)


def make_forward_app(
    handler: ForwardHandler,
    verifier: ForwardVerifier,
    address: Callable[[], str],
    max_body_bytes: int,
) -> CancelOnDisconnect:
    """
    Return the ASGI application that other nodes forward requests to.

    :param handler: runs the forwarded requests.
    :param verifier: checks the signatures of requests.
    :param address: returns this node's ``IP:PORT`` for forwarded requests, which
        signatures cover.
    :param max_body_bytes: largest body that callers may send, in bytes; a forwarded
        body may be up to ``MAX_BYTES_PER_CHARACTER`` times as large.
    """
    authenticator = _Authenticator(
        verifier, address, max_body_bytes * MAX_BYTES_PER_CHARACTER
    )
    app = falcon.asgi.App()
    app.add_route(MODEL_PATH, _ModelResource(handler, authenticator))
    app.add_route(CALL_PATH, _CallResource(handler, authenticator))
    app.add_route(SESSION_PATH, _SessionResource(verifier))
    app.add_error_handler(SessionMismatch, _on_session_mismatch)
    return CancelOnDisconnect(app)

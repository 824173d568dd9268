"""The callers' interface: chat completions, models, and plain services."""

import asyncio
from collections.abc import AsyncIterator

import attrs
import falcon
import falcon.asgi

from tanagerkeel import codec
from tanagerkeel.clock import Clock
from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.gateways.callers._chat import (
    ChatAnswer,
    ChatCompletion,
    ChunkWriter,
    parse_long_chat,
    usage_of,
)
from tanagerkeel.gateways.callers._errors import internal_error, make_problem_app
from tanagerkeel.gateways.callers._parsing import (
    account_of,
    deadline_ms_of,
    model_request,
    read_body,
    request_id_of,
)
from tanagerkeel.gateways.callers._protocol import RequestHandler
from tanagerkeel.gateways.disconnect import CancelOnDisconnect, exit_stack_of
from tanagerkeel.gateways.http_protocol import ABORT_EXTENSION
from tanagerkeel.gateways.problems import problem_of
from tanagerkeel.requests import (
    AnswerChunk,
    AnswerEnd,
    ModelRequest,
    ServiceRequest,
    TokenChunk,
)

__all__ = ["make_callers_app"]

EVENT_STREAM = "text/event-stream"
DONE_EVENT = b"data: [DONE]\n\n"
# An answer that ends at its deadline has this time to reach a reader that reads.
WRITE_GRACE_S = 1.0


@attrs.frozen
class _ChatCompletions:
    _handler: RequestHandler
    _clock: Clock
    _max_body_bytes: int

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        now = self._clock.monotonic()
        catalog = self._handler.catalog()
        account = account_of(request, catalog)
        chat = await parse_long_chat(await read_body(request, self._max_body_bytes))
        typed = await model_request(request, chat, account, catalog, now)
        chunks = self._handler.answer(typed)
        # However the request ends, the engine's stream ends with it.
        exit_stack_of(request.scope).push_async_callback(chunks.aclose)
        self._abort_late(request, typed)
        if not chat.stream:
            response.content_type = falcon.MEDIA_JSON
            response.data = await _whole_answer(typed, chunks)
            return
        # The first chunk decides between a problem document and a stream.
        first = await anext(chunks, None)
        if first is None:
            raise _broken_off()
        response.content_type = EVENT_STREAM
        response.set_header("Cache-Control", "no-cache")
        response.stream = _events(typed, chat, first, chunks)

    def _abort_late(self, request: falcon.asgi.Request, typed: ModelRequest) -> None:
        """Break the connection of a reader too slow to be told of the deadline."""
        abort = request.scope["extensions"][ABORT_EXTENSION]

        async def watch() -> None:
            left_s = typed.deadline_s - self._clock.monotonic()
            await self._clock.sleep(max(0.0, left_s) + WRITE_GRACE_S)
            abort()

        watching = asyncio.create_task(watch())
        exit_stack_of(request.scope).callback(watching.cancel)


@attrs.frozen
class _ModelRow:
    id: str
    object: str = "model"


@attrs.frozen
class _ModelList:
    data: tuple[_ModelRow, ...]
    object: str = "list"


@attrs.frozen
class _Models:
    _handler: RequestHandler

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        account = account_of(request, self._handler.catalog())
        rows = tuple(map(_ModelRow, account.models))
        response.content_type = falcon.MEDIA_JSON
        response.data = codec.encode_flat(_ModelList(rows))


@attrs.frozen
class _ServiceOperations:
    _handler: RequestHandler
    _clock: Clock
    _max_body_bytes: int

    async def on_post(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        service: str,
        operation: str,
    ) -> None:
        now = self._clock.monotonic()
        catalog = self._handler.catalog()
        account = account_of(request, catalog)
        found = catalog.operation(service, operation)
        if found is None or service not in account.services:
            raise TanagerkeelError(ResultCode.SERVICE_NOT_FOUND)
        asked_ms = deadline_ms_of(request)
        request_id = request_id_of(request)
        body = await read_body(request, self._max_body_bytes)
        timeout_s = found.timeout_s
        if asked_ms is not None:
            timeout_s = min(timeout_s, asked_ms / 1_000)
        call = ServiceRequest(
            request_id=request_id,
            account=account.name,
            service=service,
            operation=operation,
            body=bytes(body),
            content_type=request.content_type or "application/octet-stream",
            idempotency_key=request.get_header("Idempotency-Key") or "",
            deadline_s=now + timeout_s,
            received_s=now,
            traceparent=request.get_header("traceparent") or "",
        )
        reply = await self._handler.call(call)
        response.status = reply.status
        response.content_type = reply.content_type
        response.data = reply.body


async def _whole_answer(
    request: ModelRequest, chunks: AsyncIterator[AnswerChunk]
) -> bytes:
    texts = []
    end = None
    async for chunk in chunks:
        match chunk:
            case TokenChunk(text=text):
                texts.append(text)
            case AnswerEnd():
                end = chunk
    if end is None:
        raise _broken_off()
    return codec.encode_flat(ChatAnswer.of(request, "".join(texts), end))


async def _events(
    request: ModelRequest,
    chat: ChatCompletion,
    first: AnswerChunk,
    rest: AsyncIterator[AnswerChunk],
) -> AsyncIterator[bytes]:
    writer = ChunkWriter(request)
    chunk = first
    try:
        while isinstance(chunk, TokenChunk):
            yield writer.text(chunk.text)
            chunk = await anext(rest, None)
        if chunk is None:
            raise _broken_off()
        usage = writer.usage(usage_of(request, chunk)) if chat.include_usage else b""
        yield writer.end(chunk) + usage + DONE_EVENT
    except TanagerkeelError as error:
        yield _error_event(error, request.request_id)
    except Exception as error:  # the caller is told, whatever it is
        yield _error_event(internal_error(error), request.request_id)


def _error_event(error: TanagerkeelError, request_id: str) -> bytes:
    problem = codec.encode(problem_of(error, request_id))
    return b"event: error\ndata: " + problem + b"\n\n"


def _broken_off() -> TanagerkeelError:
    return TanagerkeelError(
        ResultCode.INTERNAL, "the answer has no end", ran=Ran.UNKNOWN
    )


def make_callers_app(
    handler: RequestHandler, clock: Clock, max_body_bytes: int
) -> CancelOnDisconnect:
    """
    Return the ASGI application for callers.

    :param handler: the node behind it.
    :param clock: source of time.
    :param max_body_bytes: largest body, in bytes.
    """
    app = make_problem_app()
    app.add_route(
        "/v1/chat/completions", _ChatCompletions(handler, clock, max_body_bytes)
    )
    app.add_route("/v1/models", _Models(handler))
    app.add_route(
        "/v1/services/{service}/{operation}",
        _ServiceOperations(handler, clock, max_body_bytes),
    )
    return CancelOnDisconnect(app)

"""The HTTP interface of callers: chat completions, models, and plain services."""

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
    authenticate,
    deadline_ms_of,
    parse_model_request,
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
# From the deadline until the connection is aborted: a caller that still reads has this
# time to receive the end of the response.
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
        account = authenticate(request, catalog)
        chat = await parse_long_chat(await read_body(request, self._max_body_bytes))
        model_request = await parse_model_request(request, chat, account, catalog, now)
        chunks = self._handler.answer(model_request)
        # Closes the engine's stream whichever way the request ends.
        exit_stack_of(request.scope).push_async_callback(chunks.aclose)
        self._abort_after_deadline(request, model_request)
        if not chat.stream:
            response.content_type = falcon.MEDIA_JSON
            response.data = await _complete_answer(model_request, chunks)
            return
        # An error before the first chunk still becomes a problem document; after it,
        # the status has been sent.
        first = await anext(chunks, None)
        if first is None:
            raise _incomplete_answer()
        response.content_type = EVENT_STREAM
        response.set_header("Cache-Control", "no-cache")
        response.stream = _events(model_request, chat, first, chunks)

    def _abort_after_deadline(
        self, request: falcon.asgi.Request, model_request: ModelRequest
    ) -> None:
        """Abort the connection of a caller too slow to receive the deadline error."""
        abort = request.scope["extensions"][ABORT_EXTENSION]

        async def abort_after_grace() -> None:
            remaining_s = model_request.deadline_s - self._clock.monotonic()
            await self._clock.sleep(max(0.0, remaining_s) + WRITE_GRACE_S)
            abort()

        timer = asyncio.create_task(abort_after_grace())
        exit_stack_of(request.scope).callback(timer.cancel)


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
        account = authenticate(request, self._handler.catalog())
        rows = tuple(map(_ModelRow, account.models))
        response.content_type = falcon.MEDIA_JSON
        response.data = codec.encode_native(_ModelList(rows))


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
        account = authenticate(request, catalog)
        found_operation = catalog.operation(service, operation)
        if found_operation is None or service not in account.services:
            raise TanagerkeelError(ResultCode.SERVICE_NOT_FOUND)
        requested_ms = deadline_ms_of(request)
        request_id = request_id_of(request)
        body = await read_body(request, self._max_body_bytes)
        timeout_s = found_operation.timeout_s
        if requested_ms is not None:
            timeout_s = min(timeout_s, requested_ms / 1_000)
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


async def _complete_answer(
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
        raise _incomplete_answer()
    return codec.encode_native(ChatAnswer.of(request, "".join(texts), end))


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
            raise _incomplete_answer()
        usage = writer.usage(usage_of(request, chunk)) if chat.include_usage else b""
        yield writer.end(chunk) + usage + DONE_EVENT
    except TanagerkeelError as error:
        yield _error_event(error, request.request_id)
    except Exception as error:  # every failure is reported to the caller
        yield _error_event(internal_error(error), request.request_id)


def _error_event(error: TanagerkeelError, request_id: str) -> bytes:
    problem = codec.encode(problem_of(error, request_id))
    return b"event: error\ndata: " + problem + b"\n\n"


def _incomplete_answer() -> TanagerkeelError:
    return TanagerkeelError(
        ResultCode.INTERNAL, "the answer has no end", ran=Ran.UNKNOWN
    )


def make_callers_app(
    handler: RequestHandler, clock: Clock, max_body_bytes: int
) -> CancelOnDisconnect:
    """
    Return the ASGI application for callers.

    :param handler: carries out the requests.
    :param clock: measures deadlines.
    :param max_body_bytes: largest request body that is accepted, in bytes.
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

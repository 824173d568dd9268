"""The HTTP protocol of the stand-in engine."""

import asyncio
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, Any

import attrs
import falcon
import falcon.asgi

from tanagerkeel import codec
from tanagerkeel.gateways.callers import exit_stack_of
from tanagerkeel.gateways.engines import EngineOrder, GenerateCall, Reservation
from tanagerkeel.gateways.http_server import ABORT_EXTENSION
from tanagerkeel.requests import AnswerChunk, AnswerEnd
from tanagerkeel.standins._engine_stream import (
    EngineDown,
    EngineRefusal,
    EngineStream,
)
from tanagerkeel.standins._engine_transfer import (
    CachedText,
    export_stream,
    import_export,
    prefill_reservation,
    reserve,
)
from tanagerkeel.standins._faults import EngineFaults
from tanagerkeel.standins._server import FaultsResource, abort_connection, send_json

if TYPE_CHECKING:
    from tanagerkeel.standins._engine import EngineStandIn

__all__ = ["EngineCounters", "make_engine_app"]

NDJSON = "application/x-ndjson"


@attrs.frozen
class EngineCounters:
    """
    Counters of an engine since it was created; a restart does not reset them.

    :param crashes: number of crashes.
    :param prefilled_tokens: tokens that it prefilled.
    :param cached_tokens: tokens that it found in its prefix cache instead.
    """

    crashes: int
    prefilled_tokens: int
    cached_tokens: int


@attrs.frozen
class _Generate:
    _engine: "EngineStandIn"

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        call = codec.decode(await request.stream.read(), GenerateCall, lenient=True)
        abort = request.scope["extensions"][ABORT_EXTENSION]
        stream = await self._engine.start_stream(call, abort)
        exit_stack_of(request.scope).callback(stream.close)
        response.content_type = NDJSON
        response.stream = _stream_lines(stream)


@attrs.frozen
class _Load:
    _engine: "EngineStandIn"

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        send_json(response, self._engine.load_report())


@attrs.frozen
class _CacheEvents:
    _engine: "EngineStandIn"

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        after = request.get_param_as_int("after", default=0)
        send_json(response, self._engine.cache_events(after))


@attrs.frozen
class _Reservations:
    _engine: "EngineStandIn"

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        body = await request.stream.read()
        reserve(self._engine, codec.decode(body, Reservation, lenient=True))


@attrs.frozen
class _ReservationPrefill:
    _engine: "EngineStandIn"

    async def on_post(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        reservation_id: str,
    ) -> None:
        account = request.get_param("account", default="")
        text = (await request.stream.read()).decode()
        cached = CachedText(account, text)
        await prefill_reservation(self._engine, reservation_id, cached)


@attrs.frozen
class _Allocations:
    _engine: "EngineStandIn"

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        send_json(response, self._engine.memory.list_allocations())


@attrs.frozen
class _Allocation:
    _engine: "EngineStandIn"

    async def on_get(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        allocation_id: str,
    ) -> None:
        allocation = self._engine.memory.find(allocation_id)
        if allocation is None:
            raise falcon.HTTPNotFound()
        send_json(response, CachedText(allocation.account, allocation.text))

    async def on_delete(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        allocation_id: str,
    ) -> None:
        self._engine.memory.free(allocation_id)


@attrs.frozen
class _Exports:
    _engine: "EngineStandIn"

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        response.text = export_stream(
            self._engine,
            request.get_param("attempt", required=True),
            request.get_param("owner", default=""),
            request.get_param_as_int("ttl_ms", required=True),
        )


@attrs.frozen
class _Imports:
    _engine: "EngineStandIn"

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        source = request.get_param("source", required=True)
        export_id = request.get_param("export", required=True)
        await import_export(self._engine, source, export_id)


@attrs.frozen
class _Orders:
    _engine: "EngineStandIn"

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        order = codec.decode(await request.stream.read(), EngineOrder, lenient=True)
        send_json(response, self._engine.handle_order(order))


@attrs.frozen
class _Counters:
    _engine: "EngineStandIn"

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        engine = self._engine
        counters = EngineCounters(
            engine.crashes, engine.prefilled_tokens, engine.cache.hit_tokens
        )
        send_json(response, counters)


@attrs.frozen
class _Crash:
    _engine: "EngineStandIn"

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        self._engine.crash()
        raise EngineDown


@attrs.frozen
class _Cold:
    _engine: "EngineStandIn"

    async def on_post(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        self._engine.become_cold()


@attrs.frozen
class _AbortWhileDown:
    _engine: "EngineStandIn"

    async def process_resource(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        resource: object,
        params: dict[str, str],
    ) -> None:
        if self._engine.down:
            await abort_connection(request)


async def _stream_lines(stream: EngineStream) -> AsyncIterator[bytes]:
    try:
        async for chunk in stream.chunks():
            yield encode_line(chunk)
    except EngineDown:
        # The crash aborts this connection, on which the server cancels this task.
        await asyncio.Event().wait()


def encode_line(chunk: AnswerChunk) -> bytes:
    """Return a chunk as one line: ``T`` or ``E`` (the end), then its JSON."""
    kind = b"E" if isinstance(chunk, AnswerEnd) else b"T"
    return kind + codec.encode_native(chunk) + b"\n"


async def _on_refusal(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: EngineRefusal,
    params: dict[str, str],
) -> None:
    response.status = error.status
    response.text = error.reason


async def _on_invalid(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: Exception,
    params: dict[str, str],
) -> None:
    response.status = falcon.HTTP_BAD_REQUEST
    response.text = str(error)


async def _on_down(
    request: falcon.asgi.Request,
    response: falcon.asgi.Response,
    error: EngineDown,
    params: dict[str, str],
) -> None:
    await abort_connection(request)


def _routes(engine: "EngineStandIn") -> dict[str, Any]:
    return {
        "/v1/generate": _Generate(engine),
        "/v1/load": _Load(engine),
        "/v1/cache-events": _CacheEvents(engine),
        "/v1/reservations": _Reservations(engine),
        "/v1/reservations/{reservation_id}/prefill": _ReservationPrefill(engine),
        "/v1/allocations": _Allocations(engine),
        "/v1/allocations/{allocation_id}": _Allocation(engine),
        "/v1/exports": _Exports(engine),
        "/v1/imports": _Imports(engine),
        "/v1/orders": _Orders(engine),
        "/faults": FaultsResource(engine, EngineFaults),
        "/counters": _Counters(engine),
        "/crash": _Crash(engine),
        "/cold": _Cold(engine),
    }


def make_engine_app(engine: "EngineStandIn") -> falcon.asgi.App:
    """Return the ASGI application that serves the engine's protocol."""
    app = falcon.asgi.App(middleware=[_AbortWhileDown(engine)])
    for path, resource in _routes(engine).items():
        app.add_route(path, resource)
    app.add_error_handler(EngineRefusal, _on_refusal)
    app.add_error_handler(EngineDown, _on_down)
    app.add_error_handler(codec.InvalidValue, _on_invalid)
    app.add_error_handler(UnicodeDecodeError, _on_invalid)
    return app

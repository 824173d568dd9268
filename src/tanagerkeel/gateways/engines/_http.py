"""Gateway to engines over HTTP, with JSON bodies and answers as a stream of lines."""

import io
import urllib.parse
from collections.abc import AsyncIterator
from typing import TypeVar

import aiohttp
import attrs
import yarl
from aiohttp.http_exceptions import HttpProcessingError

from tanagerkeel import codec
from tanagerkeel.gateways.cooperative import run_cooperatively
from tanagerkeel.gateways.engines._messages import (
    Allocation,
    CacheEventBatch,
    EngineOrder,
    GenerateCall,
    LoadReport,
    OrderResult,
    Reservation,
)
from tanagerkeel.gateways.engines._protocol import BackendFailed, BackendRefused
from tanagerkeel.gateways.http_client import (
    NOT_SENT_ERRORS,
    client_timeout,
    failure_reason,
)
from tanagerkeel.requests import AnswerChunk, AnswerEnd, TokenChunk

__all__ = ["HttpEngineGateway"]

# For all calls but those that generate or prefill.
CONTROL_TIMEOUT_S = 2.0
# Larger bodies are written in parts, so that one write doesn't block the event loop.
MAX_SINGLE_WRITE_BYTES = 262_144
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
# The HTTP client raises a ValueError or HttpProcessingError for too long a line.
RESPONSE_ERRORS = (
    OSError,
    ValueError,
    aiohttp.ClientError,
    HttpProcessingError,
    codec.InvalidValue,
)
T = TypeVar("T")


@attrs.define
class HttpEngineGateway:
    """
    Calls engines by the protocol of ``docs/stand-ins.md``.

    :param session: the HTTP client; the gateway doesn't close it.
    """

    _session: aiohttp.ClientSession

    async def generate(
        self, address: str, call: GenerateCall
    ) -> AsyncIterator[AnswerChunk]:
        """Yield the chunks of an answer as they arrive, not verified."""
        if call.remaining_ms <= 0:
            raise BackendFailed("the deadline passed", sent=False)
        headers = {"traceparent": call.traceparent} if call.traceparent else {}
        try:
            async with self._session.post(
                f"http://{address}/v1/generate",
                data=_upload(
                    await run_cooperatively(len(call.prompt), codec.encode_native, call)
                ),
                headers=headers,
                timeout=client_timeout(call.remaining_ms / 1_000),
                allow_redirects=False,
            ) as response:
                await _check_status(response)
                async for line in response.content:
                    yield _decode_chunk(line)
        except NOT_SENT_ERRORS as error:
            raise BackendFailed(
                failure_reason(error), False, _connection_refused(error)
            ) from error
        except RESPONSE_ERRORS as error:
            raise BackendFailed(failure_reason(error)) from error

    async def cancel(self, address: str, attempt_id: str) -> None:
        """Stop an attempt's stream and free its memory."""
        await self.free(address, attempt_id)

    async def load_report(self, address: str) -> LoadReport:
        """Return the engine's latest load report."""
        return _decode_body(await self._call("GET", address, "load"), LoadReport)

    async def cache_events(self, address: str, after: int) -> CacheEventBatch:
        """Return the cache events whose sequence number is above ``after``."""
        path = f"cache-events?{_query(after=after)}"
        body = await self._call("GET", address, path)
        return _decode_body(body, CacheEventBatch)

    async def reserve(self, address: str, reservation: Reservation) -> None:
        """Reserve memory for a gang segment."""
        await self._call("POST", address, "reservations", codec.encode(reservation))

    async def prefill(
        self, address: str, reservation_id: str, account: str, prompt: str
    ) -> None:
        """Prefill a gang segment into the memory of its reservation."""
        path = (
            f"reservations/{_quote(reservation_id)}/prefill?{_query(account=account)}"
        )
        # A long prefill may take until the caller's deadline; the control timeout
        # would end it too early.
        await self._call("POST", address, path, prompt.encode(), timeout_s=None)

    async def free(self, address: str, allocation_id: str) -> None:
        """Free an allocation of any kind."""
        await self._call("DELETE", address, f"allocations/{_quote(allocation_id)}")

    async def allocations(self, address: str) -> tuple[Allocation, ...]:
        """Return all allocations of memory that the engine holds."""
        body = await self._call("GET", address, "allocations")
        return _decode_body(body, tuple[Allocation, ...])

    async def export_cache(
        self, address: str, attempt_id: str, owner: str, ttl_ms: int
    ) -> str:
        """Export a stream's KV cache and return the id of the export."""
        query = _query(attempt=attempt_id, owner=owner, ttl_ms=ttl_ms)
        path = f"exports?{query}"
        return (await self._call("POST", address, path)).decode()

    async def import_cache(self, address: str, source: str, export_id: str) -> None:
        """Import an export of the engine at ``source``."""
        path = f"imports?{_query(source=source, export=export_id)}"
        await self._call("POST", address, path)

    async def send_order(self, address: str, order: EngineOrder) -> OrderResult:
        """Order an engine to load a version or adapters, or to change its role."""
        body = await self._call("POST", address, "orders", codec.encode(order))
        return _decode_body(body, OrderResult)

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        body: bytes | None = None,
        timeout_s: float | None = CONTROL_TIMEOUT_S,
    ) -> bytes:
        url = yarl.URL(f"http://{address}/v1/{path}", encoded=True)
        try:
            async with self._session.request(
                method,
                url,
                data=_upload(body) if body is not None else None,
                timeout=client_timeout(timeout_s),
                allow_redirects=False,
            ) as response:
                await _check_status(response)
                return await response.read()
        except NOT_SENT_ERRORS as error:
            raise BackendFailed(
                failure_reason(error), False, _connection_refused(error)
            ) from error
        except RESPONSE_ERRORS as error:
            raise BackendFailed(failure_reason(error)) from error


def _connection_refused(error: Exception) -> bool:
    cause = getattr(error, "os_error", None)
    return isinstance(cause, ConnectionRefusedError)


async def _check_status(response: aiohttp.ClientResponse) -> None:
    if response.status in (HTTP_CONFLICT, HTTP_UNAVAILABLE):
        raise BackendRefused(await response.text())
    if response.status != HTTP_OK:
        raise BackendFailed(f"status {response.status}")


def _upload(data: bytes) -> bytes | io.BytesIO:
    return io.BytesIO(data) if len(data) > MAX_SINGLE_WRITE_BYTES else data


def _decode_chunk(line: bytes) -> AnswerChunk:
    if not line.endswith(b"\n"):
        raise codec.InvalidValue(("the line is cut off @ $",))
    # The first byte gives the line's kind, so text can't be mistaken for the end.
    match line[:1]:
        case b"T":
            return codec.decode_native(memoryview(line)[1:], TokenChunk)
        case b"E":
            return codec.decode_native(memoryview(line)[1:], AnswerEnd)
        case _:
            raise codec.InvalidValue(("the line is of no known kind @ $",))


def _decode_body(body: bytes, cls: type[T]) -> T:
    try:
        return codec.decode(body, cls, lenient=True)
    except codec.InvalidValue as error:
        raise BackendFailed(str(error)) from error


def _quote(value: str) -> str:
    return urllib.parse.quote(value, safe="")


def _query(**values: object) -> str:
    return urllib.parse.urlencode(values)

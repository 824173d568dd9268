"""Memory reservations for gang segments, and transfer of KV cache between engines."""

import uuid
from typing import TYPE_CHECKING

import aiohttp
import attrs

from tanagerkeel import codec
from tanagerkeel.gateways.engines import GangSegment, Reservation
from tanagerkeel.gateways.http_client import WholeResponse
from tanagerkeel.requests import estimate_tokens
from tanagerkeel.standins._engine_memory import MemoryAllocation
from tanagerkeel.standins._engine_stream import EngineRefusal

if TYPE_CHECKING:
    from tanagerkeel.standins._engine import EngineStandIn

__all__ = [
    "CachedText",
    "export_stream",
    "fetch_earlier_text",
    "import_export",
    "prefill_reservation",
    "reserve",
]

FETCH_TIMEOUT = aiohttp.ClientTimeout(total=5)
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
# Prefill priority of gang segments; lower runs first.
SEGMENT_PRIORITY = 10


@attrs.frozen
class CachedText:
    """
    A text whose KV cache an engine holds; the stand-ins send it in place of the cache.

    :param account: client account that the text belongs to.
    :param text: prompt, with the answer so far for an export.
    """

    account: str
    text: str = attrs.field(repr=False)


def reserve(engine: "EngineStandIn", reservation: Reservation) -> None:
    """
    Reserve memory for a gang segment; the same id again renews the reservation.

    :raises EngineRefusal: when there isn't enough memory.
    """
    deadline_s = engine.clock.monotonic() + reservation.ttl_ms / 1_000
    existing = engine.memory.find(reservation.reservation_id)
    if existing is not None:
        existing.deadline_s = deadline_s
        return
    allocation = MemoryAllocation(
        allocation_id=reservation.reservation_id,
        kind="reservation",
        owner=reservation.owner,
        request_id=reservation.request_id,
        tokens=reservation.tokens,
        deadline_s=deadline_s,
    )
    if not engine.allocate(allocation):
        raise EngineRefusal("memory", HTTP_CONFLICT)


async def prefill_reservation(
    engine: "EngineStandIn", reservation_id: str, cached: CachedText
) -> None:
    """
    Prefill a gang segment into its reservation.

    :raises EngineRefusal: when the reservation is gone or too small.
    :raises EngineDown: when the engine crashes.
    """
    reserved = _find_allocation(engine, reservation_id, "reservation")
    tokens = estimate_tokens(cached.text)
    if tokens > reserved.tokens:
        raise EngineRefusal("memory", HTTP_CONFLICT)
    with engine.running_segment():
        await engine.prefill(tokens, SEGMENT_PRIORITY)
    engine.crash_if_poisoned(cached.text)
    # The reservation may have expired in the meantime.
    reserved = _find_allocation(engine, reservation_id, "reservation")
    reserved.account = cached.account
    reserved.text = cached.text


def export_stream(
    engine: "EngineStandIn", attempt_id: str, owner: str, ttl_ms: int
) -> str:
    """
    Export a stream's KV cache for another engine and return the id of the export.

    :param ttl_ms: the export expires after this time, in milliseconds.
    :raises EngineRefusal: when the stream is gone, belongs to a gang, or memory is
        short.
    """
    stream = engine.find_stream(attempt_id)
    if stream is None or stream.is_gang:
        raise EngineRefusal("stream", HTTP_CONFLICT)
    allocation = MemoryAllocation(
        allocation_id=uuid.uuid4().hex,
        kind="export",
        owner=owner,
        request_id=stream.request_id,
        tokens=estimate_tokens(stream.text),
        deadline_s=engine.clock.monotonic() + ttl_ms / 1_000,
        account=stream.account,
        text=stream.text,
    )
    if not engine.allocate(allocation):
        raise EngineRefusal("memory", HTTP_CONFLICT)
    return allocation.allocation_id


async def import_export(engine: "EngineStandIn", source: str, export_id: str) -> None:
    """
    Fetch another engine's export and store it in the prefix cache.

    :param source: ``IP:PORT`` of the other engine.
    :raises EngineRefusal: when the export can't be fetched.
    """
    cached = await _fetch(source, export_id)
    engine.store(cached.account, cached.text)


async def fetch_earlier_text(gang: tuple[GangSegment, ...]) -> str:
    """
    Fetch the text of the earlier segments of a gang from their engines, in order.

    :raises EngineRefusal: when a segment is gone or was not prefilled.
    """
    texts = [(await _fetch(s.address, s.reservation_id)).text for s in gang]
    if not all(texts):
        raise EngineRefusal("segment", HTTP_UNAVAILABLE)
    return "".join(texts)


async def _fetch(address: str, allocation_id: str) -> CachedText:
    url = f"http://{address}/v1/allocations/{allocation_id}"
    try:
        async with (
            aiohttp.ClientSession(
                timeout=FETCH_TIMEOUT, response_class=WholeResponse
            ) as session,
            session.get(url) as response,
        ):
            body = await response.read()
    except (OSError, aiohttp.ClientError) as error:
        raise EngineRefusal("segment", HTTP_UNAVAILABLE) from error
    if response.status != HTTP_OK:
        raise EngineRefusal("segment", HTTP_UNAVAILABLE)
    return codec.decode_native(body, CachedText)


def _find_allocation(
    engine: "EngineStandIn", allocation_id: str, kind: str
) -> MemoryAllocation:
    allocation = engine.memory.find(allocation_id)
    if allocation is None or allocation.kind != kind:
        raise EngineRefusal(kind, HTTP_CONFLICT)
    return allocation

"""Reservations of gang segments, and KV cache that engines hand to each other."""

import uuid
from typing import TYPE_CHECKING

import aiohttp
import attrs

from tanagerkeel import codec
from tanagerkeel.gateways.engines import GangSegment, Reservation
from tanagerkeel.requests import estimate_tokens
from tanagerkeel.standins._engine_memory import Holding
from tanagerkeel.standins._engine_stream import EngineRefusal

if TYPE_CHECKING:
    from tanagerkeel.standins._engine import EngineStandIn

__all__ = [
    "CachedText",
    "export_stream",
    "fetch_segments",
    "import_export",
    "prefill_reservation",
    "reserve",
]

FETCH_TIMEOUT = aiohttp.ClientTimeout(total=5)
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
SEGMENT_PRIORITY = 10


@attrs.frozen
class CachedText:
    """
    A text whose KV cache an engine holds.

    :param account: client account.
    :param text: the text.
    """

    account: str
    text: str = attrs.field(repr=False)


def reserve(engine: "EngineStandIn", reservation: Reservation) -> None:
    """
    Hold memory for a gang segment; the same id again renews it.

    :raises EngineRefusal: when there isn't enough memory.
    """
    deadline_s = engine.clock.monotonic() + reservation.ttl_ms / 1_000
    held = engine.memory.find(reservation.reservation_id)
    if held is not None:
        held.deadline_s = deadline_s
        return
    holding = Holding(
        allocation_id=reservation.reservation_id,
        kind="reservation",
        owner=reservation.owner,
        request_id=reservation.request_id,
        tokens=reservation.tokens,
        deadline_s=deadline_s,
    )
    if not engine.hold(holding):
        raise EngineRefusal("memory", HTTP_CONFLICT)


async def prefill_reservation(
    engine: "EngineStandIn", reservation_id: str, cached: CachedText
) -> None:
    """
    Prefill a gang segment into its reservation.

    :raises EngineRefusal: when it is gone or too small.
    """
    held = _find(engine, reservation_id, "reservation")
    tokens = estimate_tokens(cached.text)
    if tokens > held.tokens:
        raise EngineRefusal("memory", HTTP_CONFLICT)
    with engine.segment():
        await engine.prefill(tokens, SEGMENT_PRIORITY)
    engine.crash_if_poisoned(cached.text)
    # It may have lapsed meanwhile.
    held = _find(engine, reservation_id, "reservation")
    held.account = cached.account
    held.text = cached.text


def export_stream(
    engine: "EngineStandIn", attempt_id: str, owner: str, ttl_ms: int
) -> str:
    """
    Hold a stream's KV cache for another engine and return the export's id.

    :raises EngineRefusal: when the stream is gone or memory is short.
    """
    stream = engine.stream(attempt_id)
    if stream is None or stream.is_gang:
        raise EngineRefusal("stream", HTTP_CONFLICT)
    holding = Holding(
        allocation_id=uuid.uuid4().hex,
        kind="export",
        owner=owner,
        request_id=stream.request_id,
        tokens=estimate_tokens(stream.text),
        deadline_s=engine.clock.monotonic() + ttl_ms / 1_000,
        account=stream.account,
        text=stream.text,
    )
    if not engine.hold(holding):
        raise EngineRefusal("memory", HTTP_CONFLICT)
    return holding.allocation_id


async def import_export(engine: "EngineStandIn", source: str, export_id: str) -> None:
    """
    Take another engine's export into the prefix cache.

    :raises EngineRefusal: when the export can't be had.
    """
    cached = await _fetch(source, export_id)
    engine.store(cached.account, cached.text)


async def fetch_segments(gang: tuple[GangSegment, ...]) -> str:
    """
    Return the text of the earlier segments of a gang, in order.

    :raises EngineRefusal: when one is gone.
    """
    texts = [(await _fetch(s.address, s.reservation_id)).text for s in gang]
    if not all(texts):
        raise EngineRefusal("segment", HTTP_UNAVAILABLE)
    return "".join(texts)


async def _fetch(address: str, allocation_id: str) -> CachedText:
    url = f"http://{address}/v1/allocations/{allocation_id}"
    try:
        async with (
            aiohttp.ClientSession(timeout=FETCH_TIMEOUT) as session,
            session.get(url) as response,
        ):
            body = await response.read()
    except (OSError, aiohttp.ClientError) as error:
        raise EngineRefusal("segment", HTTP_UNAVAILABLE) from error
    if response.status != HTTP_OK:
        raise EngineRefusal("segment", HTTP_UNAVAILABLE)
    return codec.decode_flat(body, CachedText)


def _find(engine: "EngineStandIn", allocation_id: str, kind: str) -> Holding:
    held = engine.memory.find(allocation_id)
    if held is None or held.kind != kind:
        raise EngineRefusal(kind, HTTP_CONFLICT)
    return held

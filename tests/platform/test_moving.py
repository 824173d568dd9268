"""Streams are migrated from engines that are about to prefill a very long prompt."""

import asyncio

from tanagerkeel.relay import Assignment
from tests.platform.fixtures import (
    CHUNKED_HEADERS,
    Engine,
    ReceivedRequest,
    chunk,
    event,
    response_head,
    running_relay,
)
from tests.support import collect

CHAT = ("Tanagerkeel-Model: m", "Tanagerkeel-Token-Count: 1000,430")
EVENTS = 30
VERY_LONG_PROMPT_TOKENS = 600_000


async def write_events(
    engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Write a stream of events, after the last one that the request names."""
    first = int(request.headers.get("last-event-id", 0)) + 1
    writer.write(response_head(request, extra=CHUNKED_HEADERS))
    for number in range(first, EVENTS + 1):
        if writer.is_closing():
            return
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(0.01)
    writer.write(b"0\r\n\r\n")


def _report_very_long_prompt(relay, backend_id):
    """Deliver a peer's report that part of a very long prompt goes to an engine."""
    state = relay.node.state
    now = state.clock.monotonic()
    part = Assignment(
        backend_id,
        VERY_LONG_PROMPT_TOKENS // 10,
        0,
        0.0,
        now,
        now + 2.8,
        now + 2.8,
        full_prompt_tokens=VERY_LONG_PROMPT_TOKENS,
    )
    state.assignments.update_peer("node-2", (1, 1), [part], now)
    state.on_long_prefill({backend_id})


async def _engine_that_streams(relay):
    """Return the engine that got the request, some events later."""
    await relay.until(lambda: any(engine.received for engine in relay.engines))
    await asyncio.sleep(0.05)
    return next(engine for engine in relay.engines if engine.received)


async def test_a_stream_leaves_an_engine_where_a_giant_prompt_begins():
    async with running_relay(write_events, write_events, service="models") as relay:
        call = asyncio.create_task(relay.call("/chat/x", headers=CHAT))
        left = await _engine_that_streams(relay)
        _report_very_long_prompt(relay, left.engine_id)
        reply = await call
        assert reply.complete
        assert reply.body == b"".join(event(n) for n in range(1, EVENTS + 1))
        other = next(engine for engine in relay.engines if engine is not left)
        assert len(other.received) == 1
        assert int(other.received[0].headers["last-event-id"]) > 1
        # A migration doesn't count as a failure of the engine.
        assert relay.node.state.backends.get(left.engine_id).failures == 0


async def test_a_stream_stays_when_there_is_no_other_engine():
    async with running_relay(write_events, service="models") as relay:
        call = asyncio.create_task(relay.call("/chat/x", headers=CHAT))
        only = await _engine_that_streams(relay)
        _report_very_long_prompt(relay, only.engine_id)
        assert (await call).complete
        assert len(only.received) == 1


async def test_a_report_of_a_short_prompt_migrates_no_stream():
    async with running_relay(write_events, write_events, service="models") as relay:
        call = asyncio.create_task(relay.call("/chat/x", headers=CHAT))
        engine = await _engine_that_streams(relay)
        state = relay.node.state
        now = state.clock.monotonic()
        short = Assignment(
            engine.engine_id, 5_000, 430, 250.0, now, now + 0.1, now + 1.0
        )
        state.assignments.update_peer("node-2", (1, 1), [short], now)
        state.on_long_prefill({engine.engine_id})
        assert (await call).complete
        assert relay.received_count() == 1


def load_tests(loader, tests, pattern):
    return collect(globals())

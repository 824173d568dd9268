"""Slow streams that make progress go on; stalled ones end, whatever bytes they send."""

import asyncio
import itertools

from tests.platform.fixtures import (
    CHUNKED_HEADERS,
    Engine,
    ReceivedRequest,
    Script,
    chunk,
    configuration,
    event,
    response_head,
    route,
    running_relay,
    stream_script,
)
from tests.support import collect

CHAT = ("Tanagerkeel-Model: m", "Tanagerkeel-Token-Count: 1000,430")
STREAM_CALL = {"method": "POST", "body": b"p", "headers": CHAT, "deadline_ms": 8_000}
# A route whose callers wait 2 s for the next event, so that an engine that sends none
# for 1.4 s is replaced.
PATIENT_CHAT = configuration(
    routes=[route("chat", "stream", "models", targetGapMs=250, timeoutMs=8_000)]
)
EVENTS = b"".join(map(event, range(1, 6)))


COMMENT = b": wait\n\n"


def _trickling_after(events: int, piece: bytes) -> Script:
    """Return a script that sends a piece again and again after some events, once."""
    trickled = []

    async def script(engine: Engine, request: ReceivedRequest, writer) -> None:
        if trickled:
            await stream_script(5)(engine, request, writer)
            return
        trickled.append(request)
        writer.write(response_head(request, extra=CHUNKED_HEADERS))
        for number in range(1, events + 1):
            writer.write(chunk(event(number)))
        for _ in range(60):
            writer.write(chunk(piece))
            await writer.drain()
            await asyncio.sleep(0.1)

    return script


async def test_a_stream_that_sends_a_byte_now_and_then_never_ends():
    # The single byte begins a comment that never ends.
    for events, piece in itertools.product((0, 2), (b":", COMMENT)):
        script = _trickling_after(events, piece)
        async with running_relay(
            script, script, service="models", document=PATIENT_CHAT
        ) as relay:
            async with asyncio.timeout(3.0):
                reply = await relay.call("/chat/x", **STREAM_CALL)
            assert (reply.status, reply.complete) == (200, True)
            assert reply.body.replace(COMMENT, b"") == EVENTS
            assert relay.received_count() == 2


async def test_a_slow_stream_that_makes_progress_is_cut():
    async def slow(engine: Engine, request: ReceivedRequest, writer) -> None:
        writer.write(response_head(request, extra=CHUNKED_HEADERS))
        for number in range(1, 5):
            # Each event takes 0.9 s, in two halves.
            for half in (event(number)[:9], event(number)[9:]):
                await asyncio.sleep(0.45)
                writer.write(chunk(half))
                await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async with running_relay(
        slow, slow, service="models", document=PATIENT_CHAT
    ) as relay:
        reply = await relay.call("/chat/x", **STREAM_CALL)
        events = b"".join(map(event, range(1, 5)))
        assert (reply.status, reply.body, reply.complete) == (200, events, True)
        assert relay.received_count() == 1


async def test_work_on_an_engine_whose_entry_vanishes_is_given_up_or_run_again():
    async def slow(engine: Engine, request: ReceivedRequest, writer) -> None:
        writer.write(response_head(request, extra=CHUNKED_HEADERS))
        for number in range(1, 6):
            await asyncio.sleep(0.2)
            writer.write(chunk(event(number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async with running_relay(
        slow, slow, service="models", document=PATIENT_CHAT
    ) as relay:
        calling = asyncio.create_task(relay.call("/chat/x", **STREAM_CALL))
        await relay.until(lambda: relay.received_count() == 1)
        # The store drops the entries of engines that report late.
        for engine in relay.engines:
            relay.store.delete(f"servers/{engine.engine_id}")
        reply = await calling
        assert (reply.status, reply.body, reply.complete) == (200, EVENTS, True)
        assert relay.received_count() == 1


def load_tests(loader, tests, pattern):
    return collect(globals())

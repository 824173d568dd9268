"""Answers leave engines of a running node where a very long prompt begins."""

import asyncio

from tanagerkeel.relay import Work
from tests.platform.fixtures import (
    CHUNKED,
    Engine,
    Seen,
    chunk,
    event,
    head_of,
    relaying,
)
from tests.support import collect

CHAT = ("Tanagerkeel-Model: m", "Tanagerkeel-Token-Count: 1000,430")
EVENTS = 30
GIANT_TOKENS = 600_000


async def writing(engine: Engine, seen: Seen, writer: asyncio.StreamWriter) -> None:
    first = int(seen.headers.get("last-event-id", 0)) + 1
    writer.write(head_of(seen, extra=CHUNKED))
    for number in range(first, EVENTS + 1):
        if writer.is_closing():
            return
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(0.01)
    writer.write(b"0\r\n\r\n")


def _tell_of_a_giant(relay, backend_id):
    """Bring a peer's word that a part of a giant prompt goes to an engine."""
    state = relay.node.state
    now = state.clock.monotonic()
    part = Work(
        backend_id,
        GIANT_TOKENS // 10,
        0,
        0.0,
        now,
        now + 2.8,
        now + 2.8,
        whole_tokens=GIANT_TOKENS,
    )
    state.ledger.learn("node-2", (1, 1), [part], now)
    state.on_long_work({backend_id})


async def _running(relay):
    await relay.until(lambda: any(engine.seen for engine in relay.engines))
    await asyncio.sleep(0.05)
    return next(engine for engine in relay.engines if engine.seen)


async def test_a_stream_leaves_an_engine_where_a_giant_prompt_begins():
    async with relaying(writing, writing, service="models") as relay:
        call = asyncio.create_task(relay.call("/chat/x", headers=CHAT))
        left = await _running(relay)
        _tell_of_a_giant(relay, left.engine_id)
        reply = await call
        assert reply.complete
        assert reply.body == b"".join(event(n) for n in range(1, EVENTS + 1))
        other = next(engine for engine in relay.engines if engine is not left)
        assert len(other.seen) == 1
        assert int(other.seen[0].headers["last-event-id"]) > 1
        # Nothing is wrong with the engine that was left.
        assert relay.node.state.backends.get(left.engine_id).failures == 0


async def test_a_stream_stays_where_no_other_engine_is():
    async with relaying(writing, service="models") as relay:
        call = asyncio.create_task(relay.call("/chat/x", headers=CHAT))
        only = await _running(relay)
        _tell_of_a_giant(relay, only.engine_id)
        assert (await call).complete
        assert len(only.seen) == 1


async def test_word_of_short_work_moves_nothing():
    async with relaying(writing, writing, service="models") as relay:
        call = asyncio.create_task(relay.call("/chat/x", headers=CHAT))
        engine = await _running(relay)
        state = relay.node.state
        now = state.clock.monotonic()
        short = Work(engine.engine_id, 5_000, 430, 250.0, now, now + 0.1, now + 1.0)
        state.ledger.learn("node-2", (1, 1), [short], now)
        state.on_long_work({engine.engine_id})
        assert (await call).complete
        assert relay.sends() == 1


def load_tests(loader, tests, pattern):
    return collect(globals())

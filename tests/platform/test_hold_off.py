"""
Engines that reject a request with a Retry-After get nothing from the node for so long.

Covers the rule BUDGET for hold-offs: retries and orders to reserve memory included, and
no burst when a hold-off ends.
"""

import asyncio
import math
import time

from tests.platform.fixtures import (
    LONG_CALL,
    LONG_PROMPTS,
    Engine,
    ReceivedRequest,
    respond_with_id,
    running_relay,
    shed_request,
    stream_script,
    write_response,
)
from tests.support import collect

HOLD_OFF_S = 0.6


async def reject_while_asked(
    engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Reject requests while the engine has a Retry-After to send."""
    if engine.retry_after is not None:
        await shed_request(engine, request, writer)
    else:
        await respond_with_id(engine, request, writer)


async def fail_after_running(
    engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await write_response(writer, request, 503, b"failed while it ran")


async def lookup(relay, number: int, **options):
    return await relay.call("/lookup/x", request_id=f"r{number}", **options)


def record_of(relay, backend_id: str = "i-0"):
    return relay.node.state.backends.get(backend_id)


async def hold_off(relay, engine: Engine) -> None:
    """Send requests until one reaches the engine, which asks for a hold-off."""
    for number in range(40):
        if engine.received:
            return
        await lookup(relay, 1_000 + number)
    raise AssertionError("the engine gets no request")


async def test_an_engine_that_asked_for_it_gets_nothing_until_the_time_is_over():
    for script in (reject_while_asked, fail_after_running):
        async with running_relay(script, respond_with_id) as relay:
            engine = relay.engines[0]
            engine.retry_after = str(HOLD_OFF_S)
            await hold_off(relay, engine)
            ended_s = time.monotonic() + HOLD_OFF_S - 0.1
            number = 0
            while time.monotonic() < ended_s:
                number += 1
                assert (await lookup(relay, number)).body == b"i-1"
                await asyncio.sleep(0.02)
            assert len(engine.received) == 1, script.__name__
            # It is no failure of the engine.
            assert record_of(relay).failures == 0
            assert record_of(relay).smoothed_failure_rate == 0.0


async def test_a_request_waits_for_the_only_engine_if_its_deadline_allows():
    async with running_relay(reject_while_asked) as relay:
        engine = relay.engines[0]
        engine.retry_after = str(HOLD_OFF_S)
        running = asyncio.create_task(lookup(relay, 1))
        await relay.until(lambda: bool(engine.received))
        engine.retry_after = None
        reply = await running
        assert (reply.status, reply.body) == (200, b"i-0")
        assert len(engine.received) == 2


async def test_a_request_that_can_not_wait_is_refused_at_once_with_the_time_left():
    async with running_relay(reject_while_asked) as relay:
        engine = relay.engines[0]
        engine.retry_after = "30"
        await hold_off(relay, engine)
        started_s = time.monotonic()
        reply = await lookup(relay, 1)
        assert time.monotonic() - started_s < 0.3
        assert reply.status == 503
        assert 28 < float(reply.headers["retry-after"]) <= 30
        assert len(engine.received) == 1


async def test_requests_that_waited_return_one_by_one():
    async with running_relay(reject_while_asked) as relay:
        engine = relay.engines[0]
        engine.retry_after = str(HOLD_OFF_S)
        await hold_off(relay, engine)
        engine.retry_after = None
        waiting = [asyncio.create_task(lookup(relay, n)) for n in range(12)]
        await relay.until(lambda: len(engine.received) > 1)
        await asyncio.sleep(0.25)
        # At most one every 0.1 s after the first one.
        assert len(engine.received) - 1 <= 4
        replies = await asyncio.gather(*waiting)
        assert [reply.status for reply in replies] == [200] * 12


async def test_a_held_off_engine_gets_no_order():
    async with running_relay(
        *[stream_script(3)] * 5, service="models", document=LONG_PROMPTS
    ) as relay:
        engine = relay.engines[0]
        engine.order_status = 503
        engine.retry_after = "20"
        for number in range(3):
            reply = await relay.call("/chat/x", request_id=f"r{number}", **LONG_CALL)
            assert reply.complete
        reserved = [o for o in engine.orders if o["operation"] == "reserve"]
        assert len(reserved) <= 1
        assert len(engine.orders) + len(engine.received) <= 3


async def test_a_helper_that_is_blamed_counts_as_failed_not_as_held_off():
    async def blame_a_helper(
        engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        entry = request.headers["tanagerkeel-helpers"].split(",")[0]
        blamed = f"At-Server: {entry.partition('/')[0]}"
        extra = ("Tanagerkeel-Not-Executed: 1", blamed)
        await write_response(writer, request, 503, b"helper", None, None, extra)

    async with running_relay(
        *[blame_a_helper] * 5, service="models", document=LONG_PROMPTS
    ) as relay:
        for engine in relay.engines:
            engine.retry_after = "20"
        await relay.call("/chat/x", **LONG_CALL)
        failures = [record.failures for record in relay.node.state.backends]
        assert sum(failures) == relay.received_count() > 0


async def test_unreadable_and_zero_values_hold_nothing_off():
    for value in ("soon", "-1", "0", ""):
        async with running_relay(reject_while_asked) as relay:
            engine = relay.engines[0]
            engine.retry_after = value
            await hold_off(relay, engine)
            engine.retry_after = None
            assert (await lookup(relay, 1)).status == 200, value


async def test_a_very_long_time_is_cut_to_the_setting():
    async with running_relay(reject_while_asked) as relay:
        engine = relay.engines[0]
        engine.retry_after = "9" * 30
        await hold_off(relay, engine)
        backends = relay.node.state.backends
        now = relay.node.state.clock.monotonic()
        left_s = backends.next_send_s(record_of(relay).server, now) - now
        assert 58 < left_s <= relay.node.state.settings.bounds.longest_hold_off_s


async def test_a_new_incarnation_is_not_held_off():
    async with running_relay(reject_while_asked) as relay:
        engine = relay.engines[0]
        engine.retry_after = "30"
        await hold_off(relay, engine)
        engine.retry_after = None
        born = math.ceil(1_000 * time.time())
        relay.store.write("servers/i-0", engine.store_entry("booking", born=born))
        await relay.until(lambda: record_of(relay).server.started_ms == born)
        assert (await lookup(relay, 1)).status == 200


async def test_a_restart_that_is_learnt_late_does_not_end_the_hold_off():
    async with running_relay(reject_while_asked, respond_with_id) as relay:
        engine = relay.engines[0]
        engine.retry_after = "30"
        await hold_off(relay, engine)
        # The engine had started again, with the same id, before it answered.
        born = int(1_000 * (time.time() - 5))
        relay.store.write("servers/i-0", engine.store_entry("booking", born=born))
        await relay.until(lambda: record_of(relay).server.started_ms == born)
        replies = await asyncio.gather(*(lookup(relay, n) for n in range(20)))
        assert {reply.body for reply in replies} == {b"i-1"}
        assert len(engine.received) == 1


def load_tests(loader, tests, pattern):
    return collect(globals())

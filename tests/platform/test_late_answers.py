"""Late second copies of responses on connections that are in use again."""

import time

from panunumpa import PlatformBackendCodec
from tanagerkeel.gateways.exchange._pool import MAX_IDLE
from tanagerkeel.relay_entry._reservations import Reservation, Reservations
from tests.platform.fixtures import (
    LONG_CALL,
    SEAL,
    Engine,
    ReceivedRequest,
    configuration,
    event,
    respond_with_id,
    response_head,
    route,
    running_relay,
    stream_script,
    write_response,
)
from tests.support import collect

CHAT = ("Tanagerkeel-Model: m", "Tanagerkeel-Token-Count: 1000,430")
STREAM_CALL = {"method": "POST", "body": b"p", "headers": CHAT, "deadline_ms": 8_000}
# A prompt for which memory is reserved, refused soon where there is none.
LONG_PROMPTS = configuration(
    routes=[
        route(
            "chat",
            "stream",
            "models",
            timeoutMs=15_000,
            targetLatencyMs=1_500,
            targetGapMs=1_000,
        )
    ]
)


async def test_a_late_second_answer_to_an_order_reaches_the_next_caller():
    async with running_relay(
        *[stream_script(2)] * 4, service="models", document=LONG_PROMPTS
    ) as relay:
        for engine in relay.engines:
            engine.order_status = 409
        assert (await relay.call("/chat/x", **LONG_CALL)).status == 503
        # Only engines with a connection that has carried an order are left.
        without_order = [e for e in relay.engines if not e.orders]
        for engine in without_order:
            relay.store.delete(f"servers/{engine.engine_id}")
        left = len(relay.engines) - len(without_order)
        await relay.until(lambda: len(relay.node.state.backends) == left)
        for engine in relay.engines:
            engine.repeats_order_answers = True
        for number in range(8):
            short = {**STREAM_CALL, "request_id": f"s{number}"}
            reply = await relay.call("/chat/x", **short)
            assert (reply.status, reply.body) == (200, event(1) + event(2))


async def test_a_late_answer_to_a_request_counts_as_a_reservation():
    async def repeating(engine: Engine, request: ReceivedRequest, writer) -> None:
        await stream_script(2)(engine, request, writer)
        engine.late_answers[writer] = response_head(
            request, extra=("Content-Length: 0",)
        )

    async with running_relay(
        repeating, service="models", document=LONG_PROMPTS
    ) as relay:
        await relay.call("/chat/x", **STREAM_CALL)
        relay.engines[0].order_status = 409
        node = relay.node
        reservations = Reservations(
            node._pool,
            PlatformBackendCodec(),
            lambda *_: False,
            lambda *_: True,
            time.monotonic,
        )
        server = next(iter(node.state.backends)).server
        refused = Reservation(server, "part-1", 1_000)
        assert await reservations.reserve_all([refused], "r1") == refused
        await reservations.drain()


async def test_an_answer_without_an_id_on_a_reused_connection_reaches_the_next_caller():
    async def late_and_unnamed(
        engine: Engine, request: ReceivedRequest, writer
    ) -> None:
        if len(engine.received) == 1:
            await write_response(writer, request, body=b"first")
            return
        late = f"HTTP/1.1 200 OK\r\nTanagerkeel-Response-Seal: {SEAL}\r\n"
        writer.write(f"{late}Content-Length: 5\r\n\r\nfirst".encode())
        await write_response(writer, request, body=b"second")

    async with running_relay(late_and_unnamed) as relay:
        assert (await relay.call("/lookup/x", request_id="r1")).body == b"first"
        reply = await relay.call("/lookup/x", request_id="r2")
        assert reply.body != b"first"


async def test_requests_that_run_once_leave_idle_connections_without_end():
    async with running_relay(respond_with_id) as relay:
        for number in range(MAX_IDLE + 4):
            options = {"method": "POST", "body": b"seat", "request_id": f"r{number}"}
            assert (await relay.call("/reserve/x", **options)).status == 200
        pool = relay.node._pool
        opened = pool.opened
        assert sum(map(len, pool._idle.values())) == MAX_IDLE
        # A repeatable request uses one of them.
        assert (await relay.call("/lookup/x", request_id="l1")).status == 200
        assert pool.opened == opened


def load_tests(loader, tests, pattern):
    return collect(globals())

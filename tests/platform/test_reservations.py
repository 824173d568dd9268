"""
Memory reservations for prompts that exceed the memory of one engine.

Covers the rules that the platform calls LEAK, STUCK and LIMIT, as far as they concern
reservations: each reservation fits into its engine, is renewed while its request runs,
and is released when the request ends, whatever the outcome.
"""

import asyncio
import socket

from tests.platform.fixtures import (
    CHUNKED_HEADERS,
    HOST,
    KEY,
    Engine,
    ReceivedRequest,
    chunk,
    event,
    reset_connection,
    response_head,
    running_relay,
    shed_request,
    stream_script,
)
from tests.support import collect

# Needs the memory of three engines with 232,000 tokens each.
HUGE = ("Tanagerkeel-Model: m", "Tanagerkeel-Token-Count: 500000,430")
# Memory that no request uses counts as leaked after this time, in seconds; the value is
# one of the users' requirements.
LEAK_S = 4.0
# A release that isn't answered within this time, in seconds, is sent once more.
RELEASE_S = 0.5
# The deadline leaves time for the whole response.
OPTIONS = {"method": "POST", "body": b"p", "headers": HUGE, "deadline_ms": 15_000}


def _document(objective_ms=6_000):
    from tests.platform.fixtures import configuration, route

    long = route(
        "chat",
        "stream",
        "models",
        targetGapMs=1_000,
        timeoutMs=15_000,
        targetLatencyMs=objective_ms,
    )
    return configuration(routes=[long])


def _held(relay):
    """Return the ids of reservations that were made and not released."""
    held = set()
    for engine in relay.engines:
        for order in engine.orders:
            if order["operation"] == "reserve" and engine.order_status == 200:
                held.add(order["id"])
            elif order["operation"] == "release":
                held.discard(order["id"])
    return held


async def _all_released(relay):
    await relay.until(lambda: not _held(relay))


async def test_parts_are_reserved_before_the_request_and_named_in_it():
    async with running_relay(
        *[stream_script(3)] * 4, service="models", document=_document()
    ) as relay:
        reply = await relay.call("/chat/x", **OPTIONS)
        assert reply.status == 200 and reply.complete
        (request,) = [s for engine in relay.engines for s in engine.received]
        helpers = request.headers["tanagerkeel-helpers"].split(",")
        reserved = {
            f"{engine.address}/{order['id']}"
            for engine in relay.engines
            for order in engine.orders
            if order["operation"] == "reserve"
        }
        assert set(helpers) == reserved and len(helpers) >= 2
        tokens = {o["tokens"] for e in relay.engines for o in e.orders if "tokens" in o}
        assert all(t <= 232_000 for t in tokens)
        await _all_released(relay)


async def test_memory_is_given_back_on_every_way_out():
    async def breaking(engine: Engine, request: ReceivedRequest, writer) -> None:
        writer.write(response_head(request, extra=CHUNKED_HEADERS) + chunk(event(1)))
        await writer.drain()
        reset_connection(writer)

    async def refusing(engine: Engine, request: ReceivedRequest, writer) -> None:
        await shed_request(engine, request, writer)

    for script in (stream_script(2), breaking, refusing):
        async with running_relay(
            *[script] * 4, service="models", document=_document()
        ) as relay:
            await relay.call("/chat/x", **OPTIONS)
            assert any(engine.orders for engine in relay.engines)
            await _all_released(relay)
            assert relay.node.state.assignments.own == ()


async def test_memory_is_released_when_the_caller_disconnects():
    async def silent(engine: Engine, request: ReceivedRequest, writer) -> None:
        await asyncio.sleep(3)

    async with running_relay(
        *[silent] * 4, service="models", document=_document()
    ) as relay:
        host, _, port = relay.node.callers_address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        lines = (
            "POST /chat/x HTTP/1.1",
            f"Host: {HOST}",
            "Content-Length: 0",
            "Tanagerkeel-Attempt-Id: l1",
            f"Authorization: Token {KEY}",
            *HUGE,
        )
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        await relay.until(lambda: relay.received_count() == 1)
        assert _held(relay)
        writer.close()
        await _all_released(relay)


async def test_one_refused_reservation_releases_the_others():
    async with running_relay(
        *[stream_script(2)] * 4, service="models", document=_document(1_500)
    ) as relay:
        for engine in relay.engines[:2]:
            engine.order_status = 409
        reply = await relay.call("/chat/x", **OPTIONS)
        assert reply.status == 503
        assert relay.received_count() == 0
        await _all_released(relay)


async def test_reservations_are_renewed_while_the_request_runs_and_not_after():
    async def slow(engine: Engine, request: ReceivedRequest, writer) -> None:
        await asyncio.sleep(2.3)
        await stream_script(2)(engine, request, writer)

    async with running_relay(
        *[slow] * 4, service="models", document=_document()
    ) as relay:
        assert (await relay.call("/chat/x", **OPTIONS)).status == 200
        await _all_released(relay)
        orders = [o for e in relay.engines for o in e.orders]
        first = next(o["id"] for o in orders if o["operation"] == "reserve")
        renewals = [o for o in orders if o.get("id") == first and "tokens" in o]
        assert len(renewals) >= 3
        # Short enough that the memory of a crashed node is soon free again.
        assert {o["holdMs"] for o in renewals} == {3_000}
        count = len(orders)
        await asyncio.sleep(1.2)
        assert len([o for e in relay.engines for o in e.orders]) == count


async def test_keepalive_detects_a_dead_engine_before_memory_counts_as_leaked():
    # An engine that loses power closes no connection: without keep-alive probes the
    # memory on its helpers was renewed for seven seconds of silence.
    async with running_relay(stream_script(3), service="models") as relay:
        pool = relay.node._pool
        connection = await pool.acquire(relay.engines[0].address, 0.0)
        endpoint = connection._transport.get_extra_info("socket")

        def tcp_option(name):
            return endpoint.getsockopt(socket.IPPROTO_TCP, name)

        assert endpoint.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        detected_s = tcp_option(socket.TCP_KEEPIDLE) + tcp_option(
            socket.TCP_KEEPCNT
        ) * tcp_option(socket.TCP_KEEPINTVL)
        # A release and its retry still come before unused memory counts as leaked.
        assert detected_s + RELEASE_S < LEAK_S
        # A single lost packet must not count as a crash.
        assert tcp_option(socket.TCP_KEEPCNT) >= 2
        pool.release(connection)


def load_tests(loader, tests, pattern):
    return collect(globals())

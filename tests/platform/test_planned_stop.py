"""Planned stops under load: what was accepted is answered."""

import asyncio

from tanagerkeel.relay_entry import RelayBounds
from tests.platform.fixtures import (
    HOST,
    KEY,
    configuration,
    read_response,
    respond_with_id,
    route,
    running_relay,
    shed_request,
)
from tests.support import collect


async def _until_not_listening(relay):
    """Wait until a stopping node takes no new connections."""
    await relay.until(lambda: relay.node.state.stopping)
    while True:
        try:
            _, writer = await _connect(relay)
        except ConnectionError:
            return
        writer.close()
        await asyncio.sleep(0.01)


async def _connect(relay):
    host, _, port = relay.node.callers_address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def _lookup(request_id: str) -> bytes:
    return (
        f"GET /lookup/x HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Tanagerkeel-Attempt-Id: {request_id}\r\n"
        f"Authorization: Token {KEY}\r\n\r\n"
    ).encode()


async def test_a_planned_stop_cuts_connections_that_were_just_accepted():
    async with running_relay(respond_with_id) as relay:
        connections = [await _connect(relay) for _ in range(4)]
        stopping = asyncio.create_task(relay.stop())
        await _until_not_listening(relay)
        for number, (_, writer) in enumerate(connections):
            writer.write(_lookup(f"r{number}"))
        for reader, _ in connections:
            reply = await read_response(reader)
            assert (reply.status, reply.body) == (200, b"i-0")
            assert reply.headers["connection"] == "close"
        await stopping


async def test_a_planned_stop_cuts_requests_that_are_being_received():
    async with running_relay(respond_with_id) as relay:
        reader, writer = await _connect(relay)
        request = _lookup("r1")
        writer.write(request[:40])
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(relay.stop())
        await _until_not_listening(relay)
        writer.write(request[40:])
        reply = await read_response(reader)
        assert (reply.status, reply.body) == (200, b"i-0")
        await stopping


async def test_a_planned_stop_cuts_an_answer_when_another_request_is_arriving():
    async def slow(engine, request, writer) -> None:
        await asyncio.sleep(1.0)
        await respond_with_id(engine, request, writer)

    async with running_relay(slow) as relay:
        reader, writer = await _connect(relay)
        writer.write(_lookup("r1") + _lookup("r2")[:30])
        await relay.until(lambda: relay.received_count() == 1)
        await relay.stop()
        reply = await read_response(reader)
        assert (reply.status, reply.body) == (200, b"i-0")
        assert relay.received_count() == 1


async def test_a_planned_stop_cuts_requests_that_wait_for_a_backend_server():
    # The engine asks to be sent nothing for longer than the node may take to stop.
    document = configuration(routes=[route("lookup", "safe", "booking")])
    document["routes"][0].update(timeoutMs=9_000, targetLatencyMs=9_000)
    async with running_relay(
        shed_request, document=document, bounds=RelayBounds(grace_s=2.0)
    ) as relay:
        relay.engines[0].retry_after = "4"
        reader, writer = await _connect(relay)
        writer.write(_lookup("r1"))
        await relay.until(lambda: relay.received_count() == 1)
        await asyncio.sleep(0.05)
        await relay.stop()
        reply = await read_response(reader)
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert relay.received_count() == 1


def load_tests(loader, tests, pattern):
    return collect(globals())

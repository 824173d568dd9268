"""
Routing, keys, changes of the store, draining engines, lost callers and retries.

Covers the rules that the platform calls CONFIG, ROUTE, DENIED, DRAIN, EVAC, GONE, LOST
and BUDGET. Each test runs a node with scripted engines and an in-memory store.
"""

import asyncio

from tanagerkeel.relay_entry import RelayBounds
from tests.platform.fixtures import (
    CHUNKED_HEADERS,
    HOST,
    KEY,
    Engine,
    ReceivedRequest,
    chunk,
    configuration,
    event,
    read_response,
    respond_with_id,
    response_head,
    route,
    running_relay,
    shed_request,
    write_response,
)
from tests.support import collect

CHAT = ("Tanagerkeel-Model: m", "Tanagerkeel-Token-Count: 1000,430")
SHORT_BOUNDS = RelayBounds(revoke_ms=1_500, grace_s=3.0)


async def silent(
    engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(3)


async def slow(
    engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    await asyncio.sleep(0.3)
    await write_response(writer, request, body=b"slow")


async def endless(
    engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    writer.write(response_head(request, extra=CHUNKED_HEADERS))
    for number in range(1, 1_000):
        writer.write(chunk(event(number)))
        await writer.drain()
        await asyncio.sleep(0.02)


async def test_unknown_routes_and_unknown_keys_get_different_statuses():
    async with running_relay(respond_with_id) as relay:
        assert (await relay.call("/nowhere/x")).status == 404
        assert (await relay.call("/lookup/x", key="unknown")).status == 401
        assert (await relay.call("/lookup/x", key=None)).status == 401
        assert relay.received_count() == 0


async def test_the_longest_prefix_wins_and_public_routes_need_no_key():
    routes = [
        route("lookup", "safe", "nobody"),
        route("deep", "safe", "booking", prefix="/lookup/deep/", public=True),
    ]
    async with running_relay(
        respond_with_id, document=configuration(routes=routes)
    ) as relay:
        assert (await relay.call("/lookup/deep/x", key=None)).status == 200
        assert (await relay.call("/lookup/x")).status == 503


async def test_a_new_version_is_in_force_at_once_and_an_older_one_never():
    async with running_relay(respond_with_id) as relay:
        relay.store.write("op/config", configuration(7, routes=[]))
        await relay.until(lambda: relay.node.state.configuration.version == 7)
        assert (await relay.call("/lookup/x")).status == 404
        relay.store.write("op/config", configuration(5))
        relay.store.write("servers/i-9", b"later")
        await relay.until(lambda: "watched" in relay.store.calls[-3:])
        await asyncio.sleep(0.05)
        assert relay.node.state.configuration.version == 7
        assert (await relay.call("/lookup/x")).status == 404


async def test_a_node_lists_the_store_again_after_its_history_was_dropped():
    async with running_relay(respond_with_id) as relay:
        relay.store.history_lost = True
        relay.store.write("op/config", configuration(9))
        await relay.until(lambda: relay.node.state.configuration.version == 9)


async def test_invalid_store_entries_are_ignored():
    async with running_relay(respond_with_id) as relay:
        for n, value in enumerate(
            (b"\xff\xfe", b"[]", b"{}", {"service": 3}, {"service": "booking"})
        ):
            relay.store.write(f"servers/bad-{n}", value)
        bad = relay.engines[0].store_entry("booking", state="paused")
        relay.store.write("servers/bad-state", bad)
        wrong = relay.engines[0].store_entry("booking", address="nowhere")
        relay.store.write("servers/bad-address", wrong)
        relay.store.write("op/config", b"{not json")
        relay.store.write("op/evacuate/zone-z", {})
        await relay.until(lambda: "zone-z" in relay.node.state.backends.domains_out)
        assert len(relay.node.state.backends) == 1
        assert (await relay.call("/lookup/x")).status == 200


async def test_a_request_at_a_node_that_has_just_started_waits_for_the_first_version():
    # Guards against a failure after a loss of power: callers' last retries reached
    # nodes that listened but had no configuration for some milliseconds more.
    async with running_relay(respond_with_id, configured=False) as relay:
        # The write of the node's own key was a change, so the next call is delayed.
        await asyncio.sleep(1.0)
        early = asyncio.create_task(relay.call("/lookup/x"))
        await asyncio.sleep(0.05)
        relay.store.write("op/config", configuration())
        assert (await early).status == 200
    async with running_relay(respond_with_id, configured=False) as relay:
        assert await relay.readiness_status() == 503
        loop = asyncio.get_running_loop()
        started = loop.time()
        assert (await relay.call("/lookup/x")).status == 503
        assert loop.time() - started < 1.0


async def test_a_revoked_key_is_refused():
    async with running_relay(respond_with_id) as relay:
        accounts = [{"name": "acme", "apiKeys": ["another"], "priority": 1}]
        relay.store.write("op/config", configuration(3, tenants=accounts))
        await relay.until(lambda: relay.node.state.configuration.version == 3)
        assert (await relay.call("/lookup/x")).status == 401


async def test_a_node_that_is_cut_off_refuses_keys_before_the_bound():
    async with running_relay(respond_with_id, bounds=SHORT_BOUNDS) as relay:
        relay.store.down = True
        await asyncio.sleep(0.2)
        assert (await relay.call("/lookup/x")).status == 200
        await relay.until(lambda: not relay.node.state.confirmed)
        assert relay.node.state.confirmed_age_s < SHORT_BOUNDS.revoke_ms / 1_000
        reply = await relay.call("/lookup/x", request_id="r2")
        assert reply.status == 503 and "retry-after" in reply.headers
        assert await relay.readiness_status() == 503
        relay.store.down = False
        await relay.until(lambda: relay.node.state.confirmed)
        assert (await relay.call("/lookup/x", request_id="r3")).status == 200


async def test_an_engine_that_leaves_gets_nothing_more():
    async with running_relay(respond_with_id, respond_with_id) as relay:
        leaving = relay.engines[0].store_entry("booking", state="draining")
        relay.store.write("servers/i-0", leaving)
        await relay.until(
            lambda: len(list(relay.node.state.backends.usable("booking", 0.0))) == 1
        )
        for n in range(5):
            assert (await relay.call("/lookup/x", request_id=f"r{n}")).body == b"i-1"
        relay.store.delete("servers/i-0")
        await relay.until(lambda: len(relay.node.state.backends) == 1)


async def test_a_domain_that_is_taken_out_gets_nothing_until_it_is_back():
    async with running_relay(respond_with_id, respond_with_id) as relay:
        moved = relay.engines[1].store_entry("booking", zone="zone-b")
        relay.store.write("servers/i-1", moved)
        relay.store.write("op/evacuate/zone-a", {})
        await relay.until(lambda: relay.node.state.backends.domains_out)
        for n in range(5):
            assert (await relay.call("/lookup/x", request_id=f"r{n}")).body == b"i-1"
        relay.store.delete("op/evacuate/zone-a")
        await relay.until(lambda: not relay.node.state.backends.domains_out)


async def test_an_address_that_another_engine_took_over_is_left_alone():
    async def misdirected(
        engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        extra = ("Tanagerkeel-Instance-Id: i-other",)
        await write_response(writer, request, 421, b"", None, None, extra)

    async with running_relay(misdirected, respond_with_id) as relay:
        for n in range(6):
            reply = await relay.call("/lookup/x", request_id=f"r{n}")
            assert reply.body == b"i-1"
        assert len(relay.engines[0].received) <= 1


async def test_a_caller_that_leaves_ends_the_engines_work():
    async with running_relay(endless, service="models") as relay:
        host, _, port = relay.node.callers_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 0\r\n"
            f"Tanagerkeel-Attempt-Id: g1\r\nAuthorization: Token {KEY}\r\n"
            "Tanagerkeel-Token-Count: 1000,430\r\n\r\n".encode()
        )
        await reader.readuntil(b"data: piece 2")
        writer.close()
        async with asyncio.timeout(0.5):
            await relay.until(lambda: relay.engines[0].closed_connections == 1)
        assert relay.node.state.assignments.own == ()


async def test_a_route_without_an_answer_ends_at_its_timeout():
    routes = [route("lookup", "safe", "booking", timeoutMs=300, maxAttempts=1)]
    async with running_relay(silent, document=configuration(routes=routes)) as relay:
        loop = asyncio.get_running_loop()
        started = loop.time()
        reply = await relay.call("/lookup/x")
        assert reply.status == 504
        assert 0.28 <= loop.time() - started < 0.8


async def test_a_request_to_a_silent_engine_is_retried_in_time_on_another():
    async with running_relay(silent, respond_with_id) as relay:
        for n in range(4):
            reply = await relay.call("/lookup/x", request_id=f"r{n}")
            assert (reply.status, reply.body) == (200, b"i-1")


async def test_a_node_without_a_reachable_engine_refuses_and_is_not_ready():
    async with running_relay(respond_with_id, respond_with_id) as relay:
        for engine in relay.engines:
            await engine.stop()
        assert (await relay.call("/lookup/x")).status == 503
        assert await relay.readiness_status() == 503
        reply = await relay.call("/lookup/x", request_id="r2")
        assert reply.status == 503 and float(reply.headers["retry-after"]) < 0.2
        host, _, port = relay.node.state.backends.get("i-0").server.address.rpartition(
            ":"
        )
        restarted = await asyncio.start_server(
            lambda r, w: None, host, int(port), reuse_port=True
        )
        async with restarted:
            await relay.until(lambda: relay.node.state.ready)


async def test_a_request_that_found_dead_engines_is_not_quarantined():
    async with running_relay(
        respond_with_id, respond_with_id, respond_with_id, respond_with_id
    ) as relay:
        for engine in relay.engines[:3]:
            await engine.stop()
        for n in range(8):
            reply = await relay.call("/lookup/x", request_id=f"r{n}")
            assert reply.status == 200


async def test_no_request_goes_to_more_engines_than_its_route_allows():
    async with running_relay(
        shed_request, shed_request, shed_request, shed_request
    ) as relay:
        reply = await relay.call("/lookup/x")
        assert reply.status == 503
        assert relay.received_count() == 2


async def test_retries_stay_within_this_nodes_share():
    bounds = RelayBounds(retry_ratio=0.2, retry_extra=10.0, grace_s=3.0)
    async with running_relay(
        shed_request, shed_request, shed_request, bounds=bounds
    ) as relay:
        for n in range(60):
            await relay.call("/lookup/x", request_id=f"r{n}")
        assert relay.received_count() - 60 <= 0.2 * 60 + 10


async def test_a_stop_finishes_what_was_read_and_says_not_ready_at_once():
    async with running_relay(slow) as relay:
        open_call = asyncio.create_task(relay.call("/lookup/x"))
        await relay.until(lambda: relay.received_count() == 1)
        stopping = asyncio.create_task(relay.stop())
        await relay.until(lambda: relay.node.state.stopping)
        assert not relay.node.state.ready
        reply = await open_call
        assert (reply.status, reply.body) == (200, b"slow")
        assert reply.headers["connection"] == "close"
        await stopping
        assert "remove" in relay.store.calls
        assert "tanagerkeel/nodes/node-1" not in relay.store.keys()


async def test_a_stopping_node_answers_a_request_already_sent_to_it():
    async with running_relay(respond_with_id) as relay:
        host, _, port = relay.node.callers_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        relay.node.state.stopping = True
        for n in range(2):
            writer.write(
                f"GET /lookup/x HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Tanagerkeel-Attempt-Id: s{n}\r\n"
                f"Authorization: Token {KEY}\r\n\r\n".encode()
            )
            reply = await read_response(reader)
            if n == 0:
                assert reply.status == 200
                assert reply.headers["connection"] == "close"


async def test_oversized_bodies_oversized_headers_and_bad_deadlines_are_refused():
    async with running_relay(respond_with_id) as relay:
        reply = await relay.call("/reserve/x", method="POST", body=b"b" * 70_000)
        assert reply.status == 413
        reply = await relay.call("/lookup/x", headers=(f"X-Long: {'y' * 20_000}",))
        assert reply.status == 431
        reply = await relay.call(
            "/lookup/x",
            deadline_ms=None,
            headers=("Tanagerkeel-Deadline-Remaining: soon",),
        )
        assert reply.status == 400


async def test_limits_change_up_and_down_on_a_connection_that_is_open():
    async with running_relay(respond_with_id) as relay:
        host, _, port = relay.node.callers_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        number = 0

        async def status(header_bytes: int, body_bytes: int) -> int:
            nonlocal number
            number += 1
            writer.write(
                b"POST /lookup/x HTTP/1.1\r\nHost: service.example\r\n"
                + f"Tanagerkeel-Attempt-Id: r{number}\r\n".encode()
                + f"Authorization: Token {KEY}\r\n".encode()
                + b"X-Pad: "
                + b"x" * header_bytes
                + b"\r\nContent-Length: %d\r\n\r\n" % body_bytes
                + b"b" * body_bytes
            )
            return (await read_response(reader)).status

        for version, headers, bodies in ((3, 8_192, 9_000), (4, 32_768, 90_000)):
            limits = configuration()["limits"]
            limits |= {"maxHeaderBytes": headers, "maxBodyBytes": bodies}
            relay.store.write("op/config", configuration(version, limits=limits))
            await relay.until(
                lambda v=version: relay.node.state.configuration.version == v
            )
            assert await status(headers - 1_000, bodies) == 200
        limits |= {"maxBodyBytes": 10_000}
        relay.store.write("op/config", configuration(5, limits=limits))
        await relay.until(lambda: relay.node.state.configuration.version == 5)
        assert await status(10, 10_001) == 413
        writer.close()


async def test_a_request_that_brings_down_engines_is_held_back():
    async def dying(
        engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.target.endswith("poison"):
            await engine.stop()
            raise ConnectionResetError
        await write_response(writer, request)

    async with running_relay(dying, dying, dying, dying) as relay:
        first = await relay.call("/lookup/poison")
        assert first.status == 502
        assert relay.received_count() == 2
        await asyncio.sleep(0.1)
        second = await relay.call("/lookup/poison", request_id="r2")
        assert second.status == 503
        assert relay.received_count() == 2
        assert (await relay.call("/lookup/good", request_id="r3")).status == 200


def load_tests(loader, tests, pattern):
    return collect(globals())

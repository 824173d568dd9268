"""Placements of long prompts, which are announced to peers before they are sent."""

import asyncio
import contextlib
import itertools
import unittest.mock

import attrs

from tanagerkeel.relay import (
    BackendServer,
    Candidate,
    Demand,
    ServerState,
    choose_placement,
)
from tanagerkeel.relay_entry._placer import RelayPlacer
from tanagerkeel.relay_entry._settings import PlacementSettings
from tests.platform.fixtures import (
    HOST,
    KEY,
    configuration,
    route,
    running_relay,
    stream_script,
)
from tests.support import collect
from tests.test_pass_model import PROFILE

LONG_PROMPT_TOKENS = 100_000
HEADERS = ("Tanagerkeel-Model: m", f"Tanagerkeel-Token-Count: {LONG_PROMPT_TOKENS},400")
OPTIONS = {"method": "POST", "body": b"p", "headers": HEADERS, "deadline_ms": 8_000}
# Long enough for the test to act before the check, in seconds.
LONG_SETTLE_S = 1.5
# Peers know that work ended after this time, in seconds; twice the delay of an update.
PEER_KNOWS_S = 1.0
DOCUMENT = configuration(
    routes=[
        route(
            "chat",
            "stream",
            "models",
            targetGapMs=600,
            timeoutMs=8_000,
            targetLatencyMs=2_000,
        )
    ]
)


@contextlib.asynccontextmanager
async def _announcing_relay(engines, node_count=2, settle_s=0.04):
    with unittest.mock.patch("tanagerkeel.relay_entry._sender.SETTLE_S", settle_s):
        async with running_relay(
            *[stream_script(3)] * engines,
            service="models",
            document=DOCUMENT,
            node_count=node_count,
        ) as relay:
            for node in relay.nodes:
                node.state.settings = attrs.evolve(
                    node.state.settings, placement=PlacementSettings(1)
                )
            yield relay


def _choices(engines):
    """Yield ids of requests with their first and second choice of idle engines."""
    demand = Demand(LONG_PROMPT_TOKENS, 400, 2_000.0, 600.0, many_senders=True)
    candidates = [
        Candidate(BackendServer(f"i-{n}", 1, "models", "", "zone-a", 8), PROFILE)
        for n in range(engines)
    ]
    for number in itertools.count():
        request_id = f"r{number}"
        first = choose_placement(candidates, demand, 0.0, request_id).candidate
        others = [c for c in candidates if c is not first]
        second = choose_placement(others, demand, 0.0, request_id).candidate
        yield request_id, first.server.backend_id, second.server.backend_id


def _ids_of_equal_first_choice(engines):
    """Return the ids of two requests with one first choice and two second ones."""
    (one, first, second), *rest = itertools.islice(_choices(engines), 200)
    other = next(r for r, f, s in rest if f == first and s != second)
    return one, other


async def _call_at_both_nodes(relay, ids):
    replies = await asyncio.gather(
        *(
            relay.call("/chat/x", node=node, request_id=request_id, **OPTIONS)
            for node, request_id in enumerate(ids)
        )
    )
    assert [(r.status, r.complete) for r in replies] == [(200, True)] * 2
    return [len(engine.received) for engine in relay.engines]


async def _begin_call(relay, node=0, request_id="r1"):
    """Send a long prompt's request, and return its connection once it is announced."""
    host, _, port = relay.nodes[node].callers_address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = (
        "POST /chat/x HTTP/1.1",
        f"Host: {HOST}",
        "Content-Length: 1",
        f"Tanagerkeel-Attempt-Id: {request_id}",
        f"Authorization: Token {KEY}",
        "Tanagerkeel-Deadline-Remaining: 8000",
        *HEADERS,
    )
    writer.write(("\r\n".join(lines) + "\r\n\r\np").encode())
    state = relay.nodes[node].state
    await relay.until(lambda: state.assignments.own != ())
    assert relay.received_count() == 0
    return reader, writer


def _known_at_peer(relay):
    state = relay.nodes[1].state
    return state.assignments.by_backend(state.clock.monotonic())


async def test_two_long_prompts_at_one_moment_take_different_engines():
    # Long prompts choose between the last half of the engines.
    ids = _ids_of_equal_first_choice(8)
    async with _announcing_relay(8) as relay:
        assert max(await _call_at_both_nodes(relay, ids)) == 1
        assert all(node.state.assignments.own == () for node in relay.nodes)
    # Without the check, both are sent to their first choice.
    with unittest.mock.patch.object(RelayPlacer, "settles", return_value=False):
        async with _announcing_relay(8) as relay:
            assert max(await _call_at_both_nodes(relay, ids)) == 2


async def _drain(relay, engine):
    """Let an engine's entry say that it leaves, and wait until the node knows."""
    entry = engine.store_entry("models", state="draining", sequence=2)
    relay.store.write(f"servers/{engine.engine_id}", entry)
    backends = relay.node.state.backends
    await relay.until(
        lambda: backends.get(engine.engine_id).server.state is ServerState.DRAINING
    )
    # It is known before the check.
    assert relay.node.state.assignments.own and not relay.received_count()


async def test_an_engine_that_leaves_before_the_check_gets_no_request():
    async with _announcing_relay(2, settle_s=LONG_SETTLE_S) as relay:
        reader, writer = await _begin_call(relay)
        (announced,) = relay.node.state.assignments.own
        leaving = next(e for e in relay.engines if e.engine_id == announced.backend_id)
        await _drain(relay, leaving)
        assert b" 200 " in await asyncio.wait_for(reader.readline(), 3.0)
        assert leaving.received == []
        await relay.until(lambda: relay.node.state.assignments.own == ())
        writer.close()


async def test_without_an_engine_at_the_check_the_request_is_refused():
    async with _announcing_relay(1, settle_s=LONG_SETTLE_S) as relay:
        reader, writer = await _begin_call(relay)
        (engine,) = relay.engines
        await _drain(relay, engine)
        assert b" 503 " in await asyncio.wait_for(reader.readline(), 3.0)
        assert engine.received == []
        assert relay.node.state.assignments.own == ()
        writer.close()


async def test_a_caller_that_leaves_before_the_check_leaves_nothing_behind():
    async with _announcing_relay(2, settle_s=LONG_SETTLE_S) as relay:
        _, writer = await _begin_call(relay)
        await relay.until(lambda: _known_at_peer(relay) != {})
        writer.transport.abort()
        await relay.until(lambda: relay.node.state.assignments.own == ())
        async with asyncio.timeout(PEER_KNOWS_S):
            await relay.until(lambda: _known_at_peer(relay) == {})
        assert relay.received_count() == 0


async def test_an_announcement_reaches_peers_before_the_send():
    async with _announcing_relay(2, settle_s=LONG_SETTLE_S) as relay:
        reader, writer = await _begin_call(relay)
        await relay.until(lambda: _known_at_peer(relay) != {})
        assert relay.received_count() == 0
        assert b" 200 " in await asyncio.wait_for(reader.readline(), 3.0)
        assert relay.received_count() == 1
        await relay.until(lambda: relay.node.state.assignments.own == ())
        writer.close()


async def test_a_node_without_peers_sends_long_prompts_at_once():
    # A long time, as the test would fail by its time-out.
    async with _announcing_relay(1, node_count=1, settle_s=60.0) as relay:
        reply = await relay.call("/chat/x", **OPTIONS)
        assert (reply.status, reply.complete) == (200, True)


async def test_short_prompts_are_sent_at_once():
    headers = ("Tanagerkeel-Model: m", "Tanagerkeel-Token-Count: 5000,400")
    async with _announcing_relay(1, settle_s=60.0) as relay:
        reply = await relay.call("/chat/x", **(OPTIONS | {"headers": headers}))
        assert (reply.status, reply.complete) == (200, True)


async def test_nothing_is_announced_where_the_settings_do_not_ask_for_it():
    async with _announcing_relay(1, settle_s=60.0) as relay:
        for node in relay.nodes:
            node.state.settings = attrs.evolve(
                node.state.settings, placement=PlacementSettings()
            )
        reply = await relay.call("/chat/x", **OPTIONS)
        assert (reply.status, reply.complete) == (200, True)


def load_tests(loader, tests, pattern):
    return collect(globals())

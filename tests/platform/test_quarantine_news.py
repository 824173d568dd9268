"""
Which nodes know that a request crashes engines, by the ways in which they get to know.

Covers the rule BUDGET: a request that has crashed two engines reaches no further one,
also by way of nodes that start, or that have missed a datagram.
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator

from tanagerkeel.relay_entry import RelayBounds, RelayNode
from tanagerkeel.relay_entry._peer_update_task import (
    _PeerUpdate,
    _QuarantineUpdate,
)
from tests.platform.fixtures import (
    Engine,
    ReceivedRequest,
    Relay,
    make_node,
    respond_with_id,
    running_relay,
)
from tests.platform.test_store_eras import hear_each_other
from tests.support import collect

POISON = b"poison"
# Longest time until a lost datagram is made up for, in seconds: an idle node's next
# update, and the next comparison.
REPAIR_S = 4.0 + 1.5
# Longest time in which a node that starts asks, in seconds.
LEARNING_S = 0.3


async def crash_on_poison(
    engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Crash on the request that crashes engines, and respond to all others."""
    if request.body == POISON:
        engine.crash()
    else:
        await respond_with_id(engine, request, writer)


@contextlib.asynccontextmanager
async def started_node(relay: Relay, name: str = "late") -> AsyncIterator[RelayNode]:
    """Start one more node, and yield once it is ready."""
    node = make_node(
        relay.store, name, RelayBounds(grace_s=1.0), lambda settings: settings
    )
    await node.start()
    try:
        await relay.until(lambda: node.state.ready)
        yield node
    finally:
        await node.stop()


def kill_engine(node: RelayNode, backend: str, *fingerprints: str) -> None:
    """Let a node record that an engine has ended while it ran requests."""
    quarantine = node.state.quarantine
    for fingerprint in fingerprints:
        quarantine.record_start(backend, f"{backend} {fingerprint}", fingerprint, "1")
    quarantine.record_death(backend, now_s(node), "1")
    for fingerprint in fingerprints:
        quarantine.record_end(backend, f"{backend} {fingerprint}")


def quarantine_at(node: RelayNode, *fingerprints: str) -> None:
    """Let a node see two engines end, so that it quarantines requests."""
    for fingerprint in fingerprints:
        kill_engine(node, f"a-{fingerprint}", fingerprint)
        kill_engine(node, f"b-{fingerprint}", fingerprint)


def now_s(node: RelayNode) -> float:
    return node.state.clock.monotonic()


def knows(node: RelayNode, fingerprint: str) -> bool:
    return node.state.quarantine.remaining_s(fingerprint, now_s(node)) > 0


@contextlib.contextmanager
def datagrams_lost(node: RelayNode):
    """Let a node receive no datagrams."""
    datagrams = node._peer_updates._datagrams
    received = datagrams._on_datagram
    datagrams._on_datagram = lambda data, address: None
    try:
        yield
    finally:
        datagrams._on_datagram = received


async def send_poison(node: RelayNode, relay: Relay, request_id: str) -> int:
    index = relay.nodes.index(node)
    reply = await relay.call(
        "/lookup/x", node=index, method="POST", body=POISON, request_id=request_id
    )
    return reply.status


def arrivals(relay: Relay) -> int:
    return sum(r.body == POISON for engine in relay.engines for r in engine.received)


async def test_a_node_that_starts_does_not_send_a_request_that_crashed_engines():
    # Review case 11: nodes that are restarted were never told.
    scripts = [crash_on_poison] * 6
    async with running_relay(*scripts, node_count=2) as relay:
        await hear_each_other(relay)
        async with asyncio.timeout(10.0):
            while not knows_poison(relay.nodes[0]):
                await send_poison(relay.nodes[0], relay, f"p{time.monotonic()}")
                await asyncio.sleep(0.1)
        known = arrivals(relay)
        for number in range(3):
            async with started_node(relay, f"late{number}") as node:
                relay.nodes.append(node)
                assert await send_poison(node, relay, f"again{number}") == 503
        assert arrivals(relay) == known


def knows_poison(node: RelayNode) -> bool:
    return bool(node.state.quarantine.digest(now_s(node)))


async def test_a_node_that_starts_knows_the_first_death():
    async with running_relay(respond_with_id, node_count=2) as relay:
        await hear_each_other(relay)
        kill_engine(relay.nodes[1], "e1", "f")
        async with started_node(relay) as node:
            assert node.state.quarantine.suspected("f")
            kill_engine(node, "e2", "f")
            assert knows(node, "f")


async def test_what_a_node_was_told_it_tells_a_node_that_starts():
    async with running_relay(respond_with_id, node_count=2) as relay:
        await hear_each_other(relay)
        quarantine_at(relay.nodes[1], "f")
        await relay.until(lambda: knows(relay.nodes[0], "f"))
        await relay.nodes.pop().stop()
        await relay.until(lambda: not relay.node.state.peers.others)
        async with started_node(relay) as node:
            assert knows(node, "f")


async def test_a_lost_datagram_is_made_up_for():
    # The fourth repetition of a record would come after all have been sent.
    async with running_relay(respond_with_id, node_count=3) as relay:
        await hear_each_other(relay)
        with datagrams_lost(relay.node):
            quarantine_at(relay.nodes[1], "f")
            reports = relay.nodes[1]._peer_updates._quarantine_reports
            async with asyncio.timeout(15.0):
                while reports._sends_left or not knows(relay.nodes[2], "f"):
                    await asyncio.sleep(0.05)
        assert not knows(relay.node, "f")
        async with asyncio.timeout(REPAIR_S):
            while not knows(relay.node, "f"):
                await asyncio.sleep(0.01)


async def test_all_requests_of_many_deaths_are_told():
    # One update holds eight; the others were dropped.
    async with running_relay(respond_with_id, node_count=2) as relay:
        await hear_each_other(relay)
        fingerprints = [f"f{n}" for n in range(40)]
        quarantine_at(relay.nodes[1], *fingerprints)
        async with asyncio.timeout(1.0):
            while not all(knows(relay.node, f) for f in fingerprints):
                await asyncio.sleep(0.01)


async def test_a_large_quarantine_is_told_to_a_node_that_starts():
    async with running_relay(respond_with_id) as relay:
        quarantine_at(relay.node, *(f"f{n}" for n in range(300)))
        async with started_node(relay) as node:
            assert all(knows(node, f"f{n}") for n in range(300))


async def test_a_suspicion_of_what_a_peer_holds_in_quarantine_is_contradicted():
    async with running_relay(respond_with_id, node_count=2) as relay:
        await hear_each_other(relay)
        with datagrams_lost(relay.node):
            quarantine_at(relay.nodes[1], "f")
            await asyncio.sleep(0.1)
        kill_engine(relay.node, "e9", "f")
        async with asyncio.timeout(0.5):
            while not knows(relay.node, "f"):
                await asyncio.sleep(0.005)


async def test_a_node_that_starts_does_not_wait_long_for_silent_peers():
    # As beside nodes of an older build, which don't answer.
    async with running_relay(respond_with_id, node_count=2) as relay:
        await hear_each_other(relay)
        with contextlib.ExitStack() as stack:
            for node in relay.nodes:
                stack.enter_context(datagrams_lost(node))
            began_s = time.monotonic()
            async with started_node(relay):
                assert time.monotonic() - began_s < LEARNING_S + 0.5


async def test_a_node_that_starts_asks_again_after_a_lost_datagram():
    async with running_relay(respond_with_id) as relay:
        quarantine_at(relay.node, "f")
        datagrams = relay.node._peer_updates._datagrams
        received, arrived = datagrams._on_datagram, []

        def lose_first_three(data: bytes, address: tuple[str, int]) -> None:
            if len(arrived) >= 3:
                received(data, address)
            arrived.append(data)

        datagrams._on_datagram = lose_first_three
        async with started_node(relay) as node:
            assert knows(node, "f")


async def test_a_node_refuses_callers_until_its_peers_have_told():
    async with running_relay(respond_with_id, node_count=2) as relay:
        await hear_each_other(relay)
        relay.node.state.informed = False
        reply = await relay.call("/lookup/x")
        assert reply.status == 503 and float(reply.headers["retry-after"]) <= 0.2
        assert await relay.readiness_status() == 503
        assert not relay.received_count()


async def test_a_request_that_completes_is_cleared_at_all_nodes():
    # A popular request was quarantined where its completion elsewhere wasn't known.
    async with running_relay(respond_with_id, node_count=3) as relay:
        await hear_each_other(relay)
        first, second, third = relay.nodes
        kill_engine(first, "e1", "popular")
        await relay.until(lambda: second.state.quarantine.suspected("popular"))
        first.state.quarantine.clear_suspect("popular")
        await relay.until(
            lambda: (
                not any(
                    node.state.quarantine.suspected("popular") for node in relay.nodes
                )
            )
        )
        kill_engine(second, "e2", "popular")
        await asyncio.sleep(0.2)
        assert not any(knows(node, "popular") for node in relay.nodes)
        kill_engine(third, "e3", "popular")
        await relay.until(lambda: all(knows(node, "popular") for node in relay.nodes))


async def test_calm_updates_have_the_bytes_of_older_builds():
    async with running_relay(respond_with_id, node_count=2) as relay:
        await hear_each_other(relay)
        task = relay.node._peer_updates
        assert type(task._make_update()) is _PeerUpdate
        quarantine_at(relay.node, "f")
        updates = [task._make_update() for _ in range(5)]
        assert all(type(update) is _QuarantineUpdate for update in updates)
        assert [len(u.quarantine_records) for u in updates] == [1, 1, 1, 0, 0]
        # Builds without the records read these.
        assert [len(u.suspects) for u in updates] == [1, 1, 1, 0, 0]
        assert len({u.quarantine_digest for u in updates} - {0}) == 1


async def test_nodes_that_agree_ask_nothing():
    async with running_relay(respond_with_id, node_count=3) as relay:
        await hear_each_other(relay)
        quarantine_at(relay.nodes[1], "f", "g")
        await relay.until(lambda: all(knows(n, "g") for n in relay.nodes))
        asked = []
        for node in relay.nodes:
            handlers = node._peer_updates._handlers
            answer = handlers[6]
            handlers[6] = lambda s, p, answer=answer: (asked.append(s), answer(s, p))
        await asyncio.sleep(6.0)
        assert not asked


def load_tests(loader, tests, pattern):
    return collect(globals())

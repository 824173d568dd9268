"""
How soon all nodes know that an engine leaves, by the ways in which they get to know.

Covers the rule DRAIN in simulated fleets: each node runs its own task that mirrors the
store; datagrams and the store's answers take a millisecond.
"""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable

import attrs

from panunumpa import PlatformStoreDecoder
from tanagerkeel import codec
from tanagerkeel.clock import SystemClock
from tanagerkeel.relay import watchers
from tanagerkeel.relay_entry import RelayBounds, RelaySettings
from tanagerkeel.relay_entry._peers import Peer
from tanagerkeel.relay_entry._state import RelayState
from tanagerkeel.relay_entry._store_task import StoreTask
from tanagerkeel.relay_entry._watcher_exchange import WatcherExchange
from tests.platform.fixtures import ANY_PORT, MemoryStore, configuration
from tests.platform.test_removed_entries import (
    DRAIN_BOUND_S,
    NodeCalls,
    had_contact_since_all_began,
)
from tests.support import collect

# When a machine counts as in touch again after a disruption, in seconds, in fleets that
# are so large that nodes poll watchers.
STABLE_LARGE_S = 4.0
# The same in fleets that are smaller.
STABLE_S = 3.0
# From connections that fall silent to the change, in seconds, and the longest time
# since the watches on them began.
CHANGE_AFTER_SILENCE_S = 0.7
WATCH_AGE_S = 0.1
# Share of the nodes whose open calls to the store get no answer.
UNANSWERED_SHARE = 0.7
# Users' bound on the adoption of a version, in seconds.
CONFIG_BOUND_S = 2.0
# A bound on configurations that no node keeps unless it is asked to, in milliseconds.
SOON_MS = 300
# Waits of this length and more are those of a watch after a time without changes.
FULL_WAIT_MS = 2_000
DELAY_S = 0.001
# Time in which nodes have read a change, in seconds.
PREPARED_S = 0.05
# Two of these fleets are so large that nodes poll watchers.
SIZES = (6, 20, 65)
DOMAINS = ("zone-a", "zone-b", "zone-c", "zone-d")
ENTRY = {
    "service": "models",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "slots": 8,
    "state": "ready",
    "born": 5,
}


@attrs.define
class Datagrams:
    """The datagrams of one node, delivered to the handlers of the others."""

    name: str
    network: dict[str, "Datagrams"]
    handlers: dict[int, Callable[[str, bytes], None]] = attrs.field(factory=dict)

    def register_handler(
        self, kind: int, handler: Callable[[str, bytes], None]
    ) -> None:
        self.handlers[kind] = handler

    def send_to(self, peer: Peer, kind: int, message: object) -> bool:
        handler = self.network[peer.node_id].handlers[kind]
        payload = codec.pack_compact(message)
        asyncio.get_running_loop().call_later(DELAY_S, handler, self.name, payload)
        return True


@attrs.define
class Node:
    """One simulated node."""

    state: RelayState
    calls: NodeCalls
    task: StoreTask


@attrs.define
class Fleet:
    """Simulated nodes with their store."""

    store: MemoryStore
    nodes: dict[str, Node]
    network: dict[str, Datagrams]
    running: dict[str, list[asyncio.Task]] = attrs.field(factory=dict)

    def start(self, name: str) -> None:
        """Start the tasks of a node."""
        task = self.nodes[name].task
        bodies = (task.run, task.ask_in_gaps)
        self.running[name] = [asyncio.create_task(body()) for body in bodies]

    def restart(self, name: str) -> None:
        """Replace a node by a process that knows nothing."""
        for task in self.running[name]:
            task.cancel()
        domain = self.nodes[name].state.settings.failure_domain
        self.nodes[name] = _make_node(name, domain, self.store, self.network)
        self.start(name)

    def watching(self, domain: str) -> list[Node]:
        """Return the nodes that watch the store for a failure domain."""
        domains = next(iter(self.nodes.values())).state.peers.domains
        return [self.nodes[name] for name in watchers(domains, domain)]

    async def tell(self, drains: bool) -> float:
        """Let the engine leave; return how long it takes until all nodes know."""
        if drains:
            self.store.write("servers/i-0", {**ENTRY, "state": "draining"})
        else:
            self.store.delete("servers/i-0")
        told_s = time.monotonic()
        async with asyncio.timeout(10.0):
            while any(map(_uses_engine, self.nodes.values())):
                await asyncio.sleep(0.005)
        return time.monotonic() - told_s


def _uses_engine(node: Node) -> bool:
    return any(node.state.backends.usable("models", time.monotonic()))


def _make_node(name: str, domain: str, store: MemoryStore, network: dict) -> Node:
    settings = RelaySettings(name, domain, *[ANY_PORT] * 6, bounds=RelayBounds())
    state = RelayState(settings, SystemClock())
    network[name] = Datagrams(name, network)
    exchange = WatcherExchange(state, network[name])
    calls = NodeCalls(store)
    rng = random.Random(name)
    task = StoreTask(calls, PlatformStoreDecoder(), state, rng, exchange)
    return Node(state, calls, task)


@contextlib.asynccontextmanager
async def running_fleet(size: int) -> AsyncIterator[Fleet]:
    """Run nodes, and yield once each has had contact since all others began to."""
    store = MemoryStore()
    store.write("servers/i-0", ENTRY)
    network: dict[str, Datagrams] = {}
    domains = {f"n{n}": DOMAINS[n % len(DOMAINS)] for n in range(size)}
    for name, domain in domains.items():
        peer = Peer(name, domain, ANY_PORT, 1)
        store.write(f"tanagerkeel/nodes/{name}", codec.encode(peer))
    nodes = {
        name: _make_node(name, domain, store, network)
        for name, domain in domains.items()
    }
    fleet = Fleet(store, nodes, network)
    for name in nodes:
        fleet.start(name)
    try:
        tables = [node.state.backends for node in nodes.values()]
        async with asyncio.timeout(10.0):
            while not had_contact_since_all_began(tables):
                await asyncio.sleep(0.05)
        yield fleet
    finally:
        running = [task for tasks in fleet.running.values() for task in tasks]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


async def slowest_by_case(
    sizes: tuple[int, ...], prepare: Callable[[Fleet], None]
) -> dict[tuple[int, bool], float]:
    """
    Return how long it takes until all nodes know, by size and whether it drains.

    :param prepare: called shortly before the engine leaves.
    """

    async def play(size: int, drains: bool) -> float:
        async with running_fleet(size) as fleet:
            prepare(fleet)
            await asyncio.sleep(PREPARED_S)
            return await fleet.tell(drains)

    cases = [(size, drains) for size in sizes for drains in (True, False)]
    times_s = await asyncio.gather(*(play(*case) for case in cases))
    return dict(zip(cases, times_s, strict=True))


async def test_all_nodes_know_in_time_while_all_calls_succeed():
    def change(fleet: Fleet) -> None:
        # Watches pause after a change.
        fleet.store.write("op/other", {})

    times_s = await slowest_by_case(SIZES, change)
    assert max(times_s.values()) < DRAIN_BOUND_S, times_s


async def test_all_nodes_know_in_time_while_a_watch_is_silent():
    def silence(fleet: Fleet) -> None:
        fleet.watching("zone-a")[0].calls.silent = True

    times_s = await slowest_by_case(SIZES, silence)
    assert max(times_s.values()) < DRAIN_BOUND_S, times_s


async def test_all_nodes_know_in_time_while_the_store_turns_a_watching_node_away():
    def turn_away(fleet: Fleet) -> None:
        fleet.watching("zone-a")[0].calls.turn_away()

    times_s = await slowest_by_case(SIZES, turn_away)
    assert max(times_s.values()) < DRAIN_BOUND_S, times_s


async def test_nodes_know_before_they_are_in_touch_while_a_domains_watches_are_silent():
    def silence_domain(fleet: Fleet) -> None:
        for node in fleet.watching("zone-a"):
            node.calls.silent = True

    times_s = await slowest_by_case((65,), silence_domain)
    assert max(times_s.values()) < STABLE_LARGE_S, times_s


async def silence_all_connections(fleet: Fleet) -> None:
    """Silence the nodes' open connections to the store when all watches are new."""
    calls = [node.calls for node in fleet.nodes.values()]
    async with asyncio.timeout(10.0):
        while not all(map(_has_just_begun_a_full_watch, calls)):
            await asyncio.sleep(0.005)
    for each in calls:
        each.silence_connections()


def _has_just_begun_a_full_watch(calls: NodeCalls) -> bool:
    age_s = time.monotonic() - calls.watch_began_s
    return age_s < WATCH_AGE_S and calls.watch_wait_ms >= FULL_WAIT_MS


async def test_nodes_adopt_versions_before_they_are_in_touch_after_all_fall_silent():
    # Nodes answered 404 and 401 as an older version says.
    async with running_fleet(6) as fleet:
        await silence_all_connections(fleet)
        silent_s = time.monotonic()
        await asyncio.sleep(CHANGE_AFTER_SILENCE_S)
        fleet.store.write("op/config", configuration())
        async with asyncio.timeout(10.0):
            while not all(node.state.configuration for node in fleet.nodes.values()):
                await asyncio.sleep(0.005)
        adopted_s = time.monotonic() - silent_s
        assert adopted_s < STABLE_S, adopted_s


async def test_nodes_know_who_left_before_they_are_in_touch_after_all_fall_silent():
    # The silence counted as an outage of the store, after which entries are kept.
    async with running_fleet(6) as fleet:
        await silence_all_connections(fleet)
        silent_s = time.monotonic()
        await asyncio.sleep(CHANGE_AFTER_SILENCE_S)
        await fleet.tell(drains=False)
        known_s = time.monotonic() - silent_s
        assert known_s < STABLE_S, known_s


async def test_changes_are_late_after_the_store_leaves_open_calls_unanswered():
    # The open calls of 7 in 10 nodes get no answer; the changes come 4.5 and 5 s later.
    for size in (6, 20):
        async with running_fleet(size) as fleet:
            nodes = list(fleet.nodes.values())
            for node in nodes[: round(UNANSWERED_SHARE * size)]:
                node.calls.silence_connections()
            await asyncio.sleep(4.5)
            fleet.store.write("op/config", configuration())
            changed_s = time.monotonic()
            await asyncio.sleep(0.5)
            leaving = asyncio.create_task(fleet.tell(drains=True))
            async with asyncio.timeout(10.0):
                while not all(node.state.configuration for node in nodes):
                    await asyncio.sleep(0.005)
            adopted_s = time.monotonic() - changed_s
            assert adopted_s < CONFIG_BOUND_S, (size, adopted_s)
            known_s = await leaving
            assert known_s < DRAIN_BOUND_S, (size, known_s)


async def test_a_confirmation_is_had_on_request_by_watching_and_polling_nodes():
    for size in (6, 65):
        async with running_fleet(size) as fleet:
            watching = set(map(id, fleet.watching("zone-a")))
            nodes = list(fleet.nodes.values())
            chosen = [nodes[0], *(n for n in nodes if id(n) not in watching)]
            for node in chosen[:3]:
                bounds = RelayBounds(config_ms=SOON_MS)
                node.state.settings = attrs.evolve(node.state.settings, bounds=bounds)
                async with asyncio.timeout(10.0):
                    while node.state.current:
                        await asyncio.sleep(0.005)
                    await node.state.request_confirmation(5.0)
                    assert node.state.current


async def test_no_node_drops_entries_that_lapse_while_the_store_is_away_for_all():
    for size in (6, 65):
        async with running_fleet(size) as fleet:
            fleet.store.down = True
            await asyncio.sleep(3.0)
            fleet.store.delete("servers/i-0")
            fleet.store.down = False
            returned_s = time.monotonic()
            while time.monotonic() < returned_s + 1.5:
                used = sum(map(_uses_engine, fleet.nodes.values()))
                assert used == size, (size, used, time.monotonic() - returned_s)
                await asyncio.sleep(0.02)


def load_tests(loader, tests, pattern):
    return collect(globals())

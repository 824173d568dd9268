"""
Engines whose entries say that they leave, seen by a node whose own calls fail.

Covers the rule DRAIN for the store's acceptance: later than ``drain_ms`` after the
store has accepted ``draining``, or the end of an entry, no node that can reach the
store or a peer sends the engine a request. The time of arrival at the engine counts.
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Sequence

import attrs

from tanagerkeel.gateways.platform import Changes, PlatformUnavailable
from tanagerkeel.relay import BackendTable
from tanagerkeel.relay._store_contact import MAX_PEER_AGE_S
from tests.platform.fixtures import (
    LONG_CALL,
    LONG_PROMPTS,
    Engine,
    MemoryStore,
    ReceivedRequest,
    Relay,
    configuration,
    respond_with_id,
    running_relay,
    stream_script,
)
from tests.platform.test_forwarding_to_peers import hear_peers
from tests.support import collect

# Latest arrival at an engine after the store has accepted that it leaves, in seconds:
# the default of ``RelayBounds.drain_ms``.
DRAIN_BOUND_S = 2.0
# How long a call without a response lasts beyond its own wait, in seconds.
CALL_TIMEOUT_S = 1.5


@attrs.define
class NodeCalls:
    """
    The calls of one node to a store that others share.

    :param store: the store.
    :param silent: whether the watch that ends next gets no response.
    :param watch_began_s: monotonic time at which the latest watch began, in seconds.
    :param watch_wait_ms: how long it may wait, in milliseconds.
    """

    store: MemoryStore
    silent: bool = False
    watch_began_s: float = 0.0
    watch_wait_ms: int = 0
    _turned_away: asyncio.Event = attrs.field(factory=asyncio.Event)
    # Set once the connections that are open now have fallen silent.
    _connections_silent: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __getattr__(self, name: str):
        return getattr(self.store, name)

    def turn_away(self) -> None:
        """Let the node's calls fail, also those that are open."""
        self._turned_away.set()

    def accept(self) -> None:
        """Let the node's calls succeed again."""
        self._turned_away.clear()

    def silence_connections(self) -> None:
        """Let the calls that are open get no response, while new ones do."""
        self._connections_silent.set()
        self._connections_silent = asyncio.Event()

    async def list_all(self, prefix: str):
        self._check()
        return await self.store.list_all(prefix)

    async def changes(self, prefix: str, after: int, wait_ms: int):
        self._check()
        began_s = time.monotonic()
        if wait_ms:
            self.watch_began_s, self.watch_wait_ms = began_s, wait_ms
        call = asyncio.ensure_future(self._changes(prefix, after, wait_ms))
        silence = asyncio.ensure_future(self._connections_silent.wait())
        try:
            await asyncio.wait((call, silence), return_when="FIRST_COMPLETED")
            if call.done():
                return call.result()
            until_s = began_s + wait_ms / 1_000 + CALL_TIMEOUT_S
            await asyncio.sleep(until_s - time.monotonic())
            raise PlatformUnavailable("no response in time")
        finally:
            call.cancel()
            silence.cancel()

    async def _changes(self, prefix: str, after: int, wait_ms: int):
        watch = asyncio.ensure_future(self.store.changes(prefix, after, wait_ms))
        turned_away = asyncio.ensure_future(self._turned_away.wait())
        try:
            await asyncio.wait((watch, turned_away), return_when="FIRST_COMPLETED")
            self._check()
            changes = watch.result()
        finally:
            watch.cancel()
            turned_away.cancel()
        if self.silent:
            self.silent = False
            await asyncio.sleep(wait_ms / 1_000 + CALL_TIMEOUT_S)
            raise PlatformUnavailable("no response in time")
        return changes

    def _check(self) -> None:
        if self._turned_away.is_set():
            raise PlatformUnavailable("status 429")


@attrs.define
class Arrivals:
    """
    When requests reached engines, by the engine's id; monotonic, in seconds.

    :param times_s: the times.
    """

    times_s: dict[str, list[float]] = attrs.field(factory=dict)

    async def respond(
        self, engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to a request as an engine, and record its arrival."""
        self.times_s.setdefault(engine.engine_id, []).append(time.monotonic())
        await respond_with_id(engine, request, writer)

    def latest_after(self, engine_id: str, since_s: float) -> float:
        """Return how long after a moment the last request reached an engine."""
        return max(self.times_s.get(engine_id, [since_s])) - since_s


@contextlib.asynccontextmanager
async def relay_with_calls(
    node_count: int = 2,
) -> AsyncIterator[tuple[Relay, NodeCalls, Arrivals]]:
    """Run nodes with two engines; yield also the calls of the first node."""
    arrivals = Arrivals()
    calls: list[NodeCalls] = []

    def connect(store: MemoryStore) -> NodeCalls:
        calls.append(NodeCalls(store))
        return calls[-1]

    async with running_relay(
        arrivals.respond, arrivals.respond, node_count=node_count, connect=connect
    ) as relay:
        if node_count > 1:
            await hear_peers(relay)
        relay.store.write("op/other", {})
        tables = [node.state.backends for node in relay.nodes]
        await relay.until(lambda: had_contact_since_all_began(tables))
        yield relay, calls[0], arrivals


def had_contact_since_all_began(tables: Sequence[BackendTable]) -> bool:
    """
    Return whether each node has had contact with the store since all others began to.

    Before that, a node has no peer that can tell it of its own last gap.
    """
    now = time.monotonic()
    reports = list(filter(None, (table.contact_report(now) for table in tables)))
    if len(reports) < len(tables):
        return False
    # Answers give times in milliseconds.
    return max(r.age_s for r in reports) + 0.01 < min(r.unbroken_s for r in reports)


async def send_for(relay: Relay, seconds: float) -> list[int]:
    """Send requests to the first node for a time; return the statuses."""
    end_s = time.monotonic() + seconds
    statuses = []
    while time.monotonic() < end_s:
        name = f"r{time.monotonic_ns()}"
        statuses.append((await relay.call("/lookup/x", request_id=name)).status)
        await asyncio.sleep(0.02)
    return statuses


async def fail_in_series(calls: NodeCalls, seconds: float) -> None:
    """Let the calls of a node fail for moments that are 1.5 s apart."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        calls.turn_away()
        await asyncio.sleep(0.15)
        calls.accept()
        await asyncio.sleep(1.5)


async def test_failed_calls_of_one_node_do_not_keep_a_removed_engine_in_use():
    # A node took its own failed calls for an outage of the store, in which entries
    # lapse, and used an engine for as long as such calls came.
    async with relay_with_calls() as (relay, calls, arrivals):
        calls.turn_away()
        table = relay.node.state.backends
        await relay.until(lambda: table.store_unreachable)
        removed_s = time.monotonic()
        relay.store.delete("servers/i-0")
        failing = asyncio.create_task(fail_in_series(calls, 3.5))
        statuses = await send_for(relay, 4.5)
        await failing
        assert set(statuses) == {200}
        latest_s = arrivals.latest_after("i-0", removed_s)
        assert latest_s < DRAIN_BOUND_S, latest_s


async def test_a_node_that_the_store_turns_away_learns_of_leaving_from_a_peer():
    for state in ("draining", None):
        async with relay_with_calls() as (relay, calls, arrivals):
            calls.turn_away()
            engine = relay.engines[0]
            told_s = time.monotonic()
            if state is None:
                relay.store.delete("servers/i-0")
            else:
                entry = engine.store_entry("booking", state=state)
                relay.store.write("servers/i-0", entry)
            statuses = await send_for(relay, 3.5)
            assert set(statuses) == {200}
            latest_s = arrivals.latest_after("i-0", told_s)
            assert latest_s < DRAIN_BOUND_S, (state, latest_s)


async def test_a_node_that_the_store_turns_away_learns_of_versions_and_domains():
    async with relay_with_calls() as (relay, calls, _):
        calls.turn_away()
        accounts = [{"name": "acme", "apiKeys": ["another key"], "priority": 1}]
        relay.store.write("op/config", configuration(9, tenants=accounts))
        relay.store.write("op/evacuate/zone-a", {})
        state = relay.node.state
        await relay.until(lambda: state.configuration.version == 9)
        await relay.until(lambda: state.backends.domains_out == {"zone-a"})
        assert (await relay.call("/lookup/x")).status == 401


async def test_a_silent_watch_does_not_keep_a_leaving_engine_in_use():
    # The node noticed after 3.7 s, and then used an engine without an entry for two
    # more seconds.
    for state in ("draining", None):
        async with relay_with_calls() as (relay, calls, arrivals):
            calls.silent = True
            engine = relay.engines[0]
            told_s = time.monotonic()
            if state is None:
                relay.store.delete("servers/i-0")
            else:
                entry = engine.store_entry("booking", state=state)
                relay.store.write("servers/i-0", entry)
            await send_for(relay, 6.5)
            latest_s = arrivals.latest_after("i-0", told_s)
            assert latest_s < DRAIN_BOUND_S, (state, latest_s)


async def cut_in_series(relay: Relay, count: int) -> None:
    """Cut the watches of all nodes while all wait, 1.5 s apart."""
    for _ in range(count):
        await relay.until(lambda: relay.store.waiting == len(relay.nodes))
        relay.store.cut_watches()
        await asyncio.sleep(1.5)


async def test_cut_watches_do_not_keep_a_removed_engine_in_use_for_three_seconds():
    # Review case 4: each cut began the time anew in which a missing entry may return.
    async with relay_with_calls() as (relay, _, arrivals):
        cutting = asyncio.create_task(cut_in_series(relay, 3))
        await relay.until(
            lambda: any(n.state.backends.store_unreachable for n in relay.nodes)
        )
        await asyncio.sleep(0.3)
        removed_s = time.monotonic()
        relay.store.delete("servers/i-0")
        statuses = await send_for(relay, 4.0)
        await cutting
        assert set(statuses) == {200}
        latest_s = arrivals.latest_after("i-0", removed_s)
        assert latest_s < DRAIN_BOUND_S, latest_s


async def test_no_watch_waits_so_long_after_a_change_that_its_cut_is_an_outage():
    # A watch that was cut late kept an engine in use whose entry was then removed.
    waits: list[tuple[float, int]] = []

    @attrs.define
    class RecordedStore(MemoryStore):
        async def changes(self, prefix: str, after: int, wait_ms: int) -> Changes:
            waits.append((time.monotonic(), wait_ms))
            return await super().changes(prefix, after, wait_ms)

    async with running_relay(respond_with_id, store=RecordedStore()) as relay:
        await asyncio.sleep(1.0)
        changed_s = time.monotonic()
        relay.store.write("op/other", {})
        await relay.until(lambda: waits[-1][0] > changed_s)
        began_s, wait_ms = waits[-1]
        assert began_s - changed_s + wait_ms / 1_000 < MAX_PEER_AGE_S, waits


async def test_engines_whose_entries_lapsed_while_the_store_was_away_stay_in_use():
    async with relay_with_calls() as (relay, _, _):
        relay.store.down = True
        tables = [node.state.backends for node in relay.nodes]
        await relay.until(lambda: all(t.store_unreachable for t in tables))
        for engine in relay.engines:
            relay.store.delete(f"servers/{engine.engine_id}")
        assert set(await send_for(relay, 1.0)) == {200}
        relay.store.down = False
        # Engines register again about two seconds after the store's return.
        assert set(await send_for(relay, 1.8)) == {200}
        for engine in relay.engines:
            entry = engine.store_entry("booking")
            relay.store.write(f"servers/{engine.engine_id}", entry)
        assert set(await send_for(relay, 1.0)) == {200}


async def test_an_engine_that_drains_during_a_reservation_gets_no_request():
    # Reservations and connections come between the choice and the bytes.
    async with running_relay(
        *[stream_script(3)] * 5, service="models", document=LONG_PROMPTS
    ) as relay:
        for engine in relay.engines:
            # Shorter than the time-out of an order; two of them outlast the news.
            engine.order_delay_s = 0.45
        running = asyncio.create_task(relay.call("/chat/x", **LONG_CALL))
        await relay.until(lambda: any(engine.orders for engine in relay.engines))
        draining = [engine for engine in relay.engines if not engine.orders]
        for engine in draining:
            entry = engine.store_entry("models", state="draining")
            relay.store.write(f"servers/{engine.engine_id}", entry)
        table = relay.node.state.backends
        await relay.until(lambda: sum(1 for _ in table.usable("models", 0.0)) == 1)
        assert relay.received_count() == 0
        ordered = {engine.engine_id: list(engine.orders) for engine in draining}
        await running
        for engine in draining:
            assert not engine.received, engine.engine_id
            later = engine.orders[len(ordered[engine.engine_id]) :]
            assert all(order["operation"] == "release" for order in later), later


def load_tests(loader, tests, pattern):
    return collect(globals())

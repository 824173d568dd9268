"""
No node that has a revision of the store lacks a change up to it.

Simulated fleets: each node runs the product's own task that mirrors the store; their
calls, polls and questions to peers come in any order.
"""

import asyncio
import json
import random
import unittest.mock

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from panunumpa import PlatformStoreDecoder
from tanagerkeel import codec
from tanagerkeel.clock import ManualClock
from tanagerkeel.gateways.platform import (
    Changes,
    HistoryLost,
    Listing,
    PlatformUnavailable,
    StoreEntry,
)
from tanagerkeel.relay import LargeValueCache, StorePosition, _watching, watchers
from tanagerkeel.relay_entry import RelayBounds, RelaySettings
from tanagerkeel.relay_entry._peers import NODE_KEY_PREFIX, Peer
from tanagerkeel.relay_entry._state import RelayState
from tanagerkeel.relay_entry._store_task import StoreTask
from tanagerkeel.relay_entry._watcher_exchange import WatcherExchange
from tests.support import collect

ADDRESS = "127.0.0.1:1"
DOMAINS = ("zone-a", "zone-b", "zone-c")
# Up to 16 nodes all watch the store; from 17 on most of them poll watchers.
SIZES = (3, 2, 17, 40)
ENGINES = ("i-0", "i-1", "i-2")
KEYS = ("op/config", *(f"servers/{name}" for name in ENGINES), "other")
# Pads the configuration to a size that is sent as a delta.
PADDING = "x" * 3_000
# Longest time of a simulated call; it only ends when something is wrong.
STEP_TIMEOUT_S = 5.0
# Nodes that steps are about, as an index of the three watchers and two that poll.
INDEXES = st.integers(0, 4)
SPREAD_STEPS = 150


@attrs.define
class _Store:
    """A store that compacts its history and returns from older copies."""

    era: int = 1
    revision: int = 10
    items: dict[str, StoreEntry] = attrs.field(factory=dict)
    history: list[tuple[int, StoreEntry | str]] = attrs.field(factory=list)
    # What the store held, by era and revision.
    views: dict[tuple[int, int], dict[str, bytes]] = attrs.field(factory=dict)
    turned_away: set[str] = attrs.field(factory=set)
    copy: tuple | None = None

    def __attrs_post_init__(self) -> None:
        self._keep_view()

    def write(self, key: str, number: int) -> None:
        self.put(key, _value(key, number))

    def put(self, key: str, value: bytes) -> None:
        self.revision += 1
        self.items[key] = StoreEntry(key, value, self.revision)
        self.history.append((self.revision, self.items[key]))
        self._keep_view()

    def delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append((self.revision, key))
            self._keep_view()

    def _keep_view(self) -> None:
        view = {key: entry.value for key, entry in self.items.items()}
        self.views[self.era, self.revision] = view

    def keep_copy(self) -> None:
        self.copy = (self.revision, dict(self.items), list(self.history))

    def restore(self) -> None:
        self.era += 1
        self.revision, items, history = self.copy
        self.items, self.history = dict(items), list(history)
        self._keep_view()

    def changes_after(self, after: int) -> Changes:
        oldest = self.history[0][0] if self.history else self.revision + 1
        if after > self.revision or after + 1 < oldest:
            raise HistoryLost
        events = tuple(e for revision, e in self.history if revision > after)
        return Changes(events, self.revision, self.era)


def _value(key: str, number: int) -> bytes:
    if key == "op/config":
        fields = {"version": number, "routes": [], "services": [], "pad": PADDING}
    else:
        fields = {
            "service": "models",
            "address": "10.0.0.1:80",
            "zone": "zone-a",
            "slots": number,
            "state": "ready",
            "born": 5,
        }
    return json.dumps(fields).encode()


@attrs.define
class _Calls:
    """The calls of one node; the answer to a watch may be held back."""

    name: str
    store: _Store
    held: asyncio.Event | None = None

    @property
    def era(self) -> int:
        return self.store.era

    @property
    def watch_arriving(self) -> bool:
        return False

    def add_era_listener(self, on_new_era) -> None:
        pass

    def _check(self) -> None:
        if self.name in self.store.turned_away:
            raise PlatformUnavailable("status 503")

    async def list_all(self, prefix: str) -> Listing:
        self._check()
        entries = tuple(self.store.items.values())
        return Listing(entries, self.store.revision, self.store.era)

    async def changes(self, prefix: str, after: int, wait_ms: int) -> Changes:
        self._check()
        changes = self.store.changes_after(after)
        if self.held is not None:
            await self.held.wait()
        return changes


@attrs.define
class _Datagrams:
    """The datagrams of one node, which arrive at once or are lost."""

    name: str
    network: dict[str, "_Datagrams"]
    lost: bool = False
    handlers: dict = attrs.field(factory=dict)

    def register_handler(self, kind, handler) -> None:
        self.handlers[kind] = handler

    def send_to(self, peer: Peer, kind: int, message: object) -> bool:
        if self.lost or self.network[peer.node_id].lost:
            return False
        handler = self.network[peer.node_id].handlers[kind]
        handler(self.name, codec.pack_compact(message))
        return True


@attrs.define
class _Node:
    state: RelayState
    calls: _Calls
    exchange: WatcherExchange
    task: StoreTask

    @property
    def view(self) -> dict:
        """What the node believes to be in the store."""
        configuration = self.state.configuration
        version = configuration.version if configuration else None
        slots = {
            record.server.backend_id: record.server.slots
            for record in self.state.backends
            if record.missing_since_s is None
        }
        return {"version": version, **slots}


def _view_of(items: dict[str, bytes], version: int | None) -> dict:
    """Return the view of a node that has read these items."""
    found = {"version": version}
    for key, value in items.items():
        fields = json.loads(value)
        if key == "op/config":
            found["version"] = fields["version"]
        elif key.startswith("servers/"):
            found[key.removeprefix("servers/")] = fields["slots"]
    return found


class _Fleet:
    def __init__(self, size: int) -> None:
        self.clock = ManualClock()
        self.store = _Store()
        self.network: dict[str, _Datagrams] = {}
        self.domains = {f"n{n}": DOMAINS[n % 3] for n in range(size)}
        for name in self.domains:
            self.store.put(NODE_KEY_PREFIX + name, codec.encode(self.peer(name)))
        self.nodes = {name: self._make(name) for name in self.domains}

    def peer(self, name: str) -> Peer:
        return Peer(name, self.domains[name], ADDRESS, 1)

    def _make(self, name: str) -> _Node:
        node_settings = RelaySettings(
            name, self.domains[name], *[ADDRESS] * 6, bounds=RelayBounds()
        )
        state = RelayState(node_settings, self.clock)
        for peer in map(self.peer, self.domains):
            state.peers.put(peer)
        self.network[name] = _Datagrams(name, self.network)
        exchange = WatcherExchange(state, self.network[name])
        calls = _Calls(name, self.store)
        task = StoreTask(
            calls, PlatformStoreDecoder(), state, random.Random(name), exchange
        )
        return _Node(state, calls, exchange, task)

    def restart(self, name: str) -> None:
        self.nodes[name] = self._make(name)

    def check(self) -> None:
        for name, node in self.nodes.items():
            position = node.exchange.position
            if position.revision is None or position.era != self.store.era:
                continue
            items = self.store.views[position.era, position.revision]
            version = node.view["version"] if "op/config" not in items else None
            assert node.view == _view_of(items, version), (name, position.revision)


def _run(step) -> None:
    async def bounded() -> None:
        async with asyncio.timeout(STEP_TIMEOUT_S):
            await step

    asyncio.run(bounded())


class Positions(RuleBasedStateMachine):
    """Nodes that follow the store by calls, polls and questions in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.number = 0

    @initialize(size=st.sampled_from(SIZES))
    def begin(self, size) -> None:
        self.fleet = _Fleet(size)
        self.store = self.fleet.store
        for key in KEYS:
            self.write(key)
        for index in range(size):
            self.call(index)

    def node(self, index: int) -> _Node:
        """Return one of three watchers, or of two nodes that poll if there are any."""
        domains = self.fleet.domains
        watching = [n for domain in DOMAINS for n in watchers(domains, domain)]
        polling = sorted(set(domains) - set(watching))
        names = (*watching[:3], *polling[:2])
        return self.fleet.nodes[names[index % len(names)]]

    @rule(key=st.sampled_from(KEYS))
    def write(self, key) -> None:
        self.number += 1
        self.store.write(key, self.number)

    @rule(key=st.sampled_from(KEYS))
    def delete(self, key) -> None:
        self.store.delete(key)

    @rule(index=INDEXES)
    def call(self, index) -> None:
        _run(self.called(self.node(index)))

    @rule(seed=st.integers(0, 1_000_000))
    def spread(self, seed) -> None:
        """Let changes reach nodes by calls of their own and by peers."""
        # Drawn here, as hypothesis prefers equal draws, with which hardly any step
        # does something.
        rng = random.Random(seed)
        self.store.turned_away = set()
        for datagrams in self.fleet.network.values():
            datagrams.lost = False

        async def steps() -> None:
            for index in range(5):
                await self.called(self.node(index))
            for _ in range(SPREAD_STEPS):
                node, other = map(self.node, rng.sample(range(5), 2))
                match rng.choice(("write", "call", "ask")):
                    case "write":
                        self.write(rng.choice(KEYS))
                    case "call":
                        await self.called(node)
                    case "ask":
                        await self.asked(node, other)
                self.fleet.check()

        _run(steps())

    async def called(self, node: _Node) -> None:
        try:
            await node.task.call_store(0)
        except PlatformUnavailable as error:
            node.task._record_failure(error)

    async def asked(self, node: _Node, other: _Node) -> None:
        """Let a node ask one other."""
        peer = self.fleet.peer(other.calls.name)
        with unittest.mock.patch.object(
            StoreTask, "_peers_to_ask", lambda _: iter((peer,))
        ):
            await node.task._ask_peers()

    @rule(index=INDEXES)
    def ask(self, index) -> None:
        _run(self.node(index).task._ask_peers())

    @rule(index=INDEXES)
    def poll(self, index) -> None:
        node = self.node(index)
        if not node.task._polls_watchers:
            return

        async def step() -> None:
            node.exchange.end_wait()
            try:
                await node.task.poll_watchers()
            except PlatformUnavailable as error:
                node.task._record_failure(error)

        _run(step())

    @rule(index=INDEXES, key=st.sampled_from(KEYS))
    def ask_while_a_watch_is_answered(self, index, key) -> None:
        # What a peer sends arrives between the store's answer and its use.
        node = self.node(index)
        if node.task._lists_next:
            return

        async def step() -> None:
            node.calls.held = asyncio.Event()
            calling = asyncio.ensure_future(node.task.call_store(0))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.write(key)
            others = [n for n in self.fleet.nodes.values() if n is not node]
            for other in others[:2]:
                if other.calls.name not in self.store.turned_away:
                    await other.task.call_store(0)
            await node.task._ask_peers()
            node.calls.held.set()
            node.calls.held = None
            try:
                await calling
            except PlatformUnavailable as error:
                node.task._record_failure(error)

        _run(step())

    @rule(
        index=INDEXES,
        what=st.sampled_from(
            ("turn away", "turn all away", "serve all", "compact", "restart", "cut")
        ),
    )
    def disturb(self, index, what) -> None:
        name = self.node(index).calls.name
        match what:
            case "turn away":
                self.store.turned_away ^= {name}
            case "turn all away":
                self.store.turned_away |= set(self.fleet.nodes)
            case "serve all":
                self.store.turned_away.clear()
            case "compact":
                del self.store.history[:-2]
            case "restart":
                self.fleet.restart(name)
            case "cut":
                datagrams = self.fleet.network[name]
                datagrams.lost = not datagrams.lost

    @rule(back=st.booleans())
    def copy(self, back) -> None:
        """Keep a copy of the store, or let it return from the copy."""
        if not back:
            self.store.keep_copy()
        elif self.store.copy is not None:
            self.store.restore()

    @rule(passed_s=st.sampled_from((0.1, 1.0, 6.0)))
    def advance(self, passed_s) -> None:
        self.fleet.clock.advance(passed_s)

    @invariant()
    def no_change_is_missing(self) -> None:
        if hasattr(self, "fleet"):
            self.fleet.check()


def test_no_node_with_a_revision_lacks_a_change_up_to_it():
    case = Positions.TestCase
    case.settings = settings(
        derandomize=True, deadline=None, max_examples=40, stateful_step_count=15
    )
    case().runTest()


def test_no_node_lacks_a_change_that_it_could_have_had_from_several():
    for size in (3, 17):
        for seed in range(10):
            positions = Positions()
            positions.begin(size)
            positions.spread(seed)


def test_no_node_lacks_a_change_that_came_in_parts():
    parts = []
    first_changes_since = StorePosition.first_changes_since

    def record_part(position, revision, era):
        part = first_changes_since(position, revision, era)
        parts.append(part is not None and part.revision < position.revision)
        return part

    with (
        unittest.mock.patch.object(_watching, "MAX_ANSWER_BYTES", 400),
        unittest.mock.patch.object(StorePosition, "first_changes_since", record_part),
    ):
        for size in (3, 17):
            for seed in range(20, 30):
                positions = Positions()
                positions.begin(size)
                positions.spread(seed)
    assert any(parts)


async def test_a_version_that_a_node_has_from_a_peer_is_lost_on_no_other_node():
    # Review case 2: the next node took over the revision without the versions up to it.
    fleet = _Fleet(3)
    fleet.store.write("op/config", 1)
    first, second, third = fleet.nodes.values()
    for node in (first, second, third):
        await node.task.call_store(0)
    fleet.store.write("op/config", 2)
    for node in (first, second):
        # Their logs hold this change.
        await node.task.call_store(0)
    fleet.store.write("op/config", 3)
    await first.task.call_store(0)
    for sender, receiver in ((first, second), (second, third)):
        for node in fleet.nodes.values():
            node_datagrams = fleet.network[node.calls.name]
            node_datagrams.lost = node not in (sender, receiver)
        receiver.task._record_failure(PlatformUnavailable("status 503"))
        await receiver.task._ask_peers()
    assert second.view["version"] == 3
    fleet.check()
    assert third.view["version"] == 3


def test_a_node_that_keeps_no_changes_passes_on_none_from_before():
    # It was a watcher, polled others, and answered by its log from before that.
    position = StorePosition()
    position.begin(10, 1)
    position.advance(12, (("op/config", b"v", 12, 0),))
    position.advance(14, None)
    assert position.changes_since(11, 1) is None
    position.advance(15, (("op/config", b"v", 15, 0),))
    assert position.changes_since(11, 1) is None
    assert len(position.changes_since(14, 1)) == 1


def test_a_position_never_goes_back():
    position = StorePosition()
    position.begin(10, 1)
    position.advance(12, ())
    for revision in (9, 11):
        try:
            position.advance(revision, ())
        except ValueError:
            continue
        raise AssertionError(f"went back to {revision}")


def test_a_change_below_the_known_value_is_encoded_whole():
    cache = LargeValueCache()
    newer, older = (_value("op/config", n) for n in (3, 2))
    cache.store(("op/config", newer, 12))
    encoded = cache.encode(("op/config", older, 11))
    assert encoded[3] == 0
    assert LargeValueCache().decode(encoded) == ("op/config", older, 11)
    # Its newest value stays the base of what follows.
    assert cache.encode(("op/config", older, 13))[3] == 12


def load_tests(loader, tests, pattern):
    return collect(globals())

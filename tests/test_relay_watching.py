"""Polling of the store's watchers: who watches, what is passed on, what is refused."""

import asyncio
import contextlib
import json
import random
import unittest.mock
import zlib

import attrs
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel import codec
from tanagerkeel.clock import ManualClock
from tanagerkeel.gateways.platform import (
    Changes,
    Listing,
    PlatformUnavailable,
    StoreEntry,
)
from tanagerkeel.relay import (
    BackendServer,
    ChangeBatch,
    ChangeLog,
    LargeValueCache,
    watchers,
)
from tanagerkeel.relay._delta import apply_delta, make_delta
from tanagerkeel.relay_entry import BackendRemoval, RelayBounds, RelaySettings
from tanagerkeel.relay_entry._peers import Peer
from tanagerkeel.relay_entry._state import RelayState
from tanagerkeel.relay_entry._store_task import HINT_PATIENCE_S, StoreTask
from tanagerkeel.relay_entry._watcher_exchange import (
    ANSWER_KIND,
    HINT_KIND,
    StoreAnswer,
    WatcherExchange,
    _Hint,
    _Query,
)
from tests.support import collect

NODES = {f"n{n}": f"zone-{n % 3}" for n in range(30)}


def test_all_nodes_of_a_small_fleet_watch_and_two_per_domain_of_a_large_one():
    small_fleet = {f"n{n}": "zone-0" for n in range(16)}
    assert set(watchers(small_fleet, "zone-0")) == set(small_fleet)
    for domain in ("zone-0", "zone-1", "zone-2"):
        chosen = watchers(NODES, domain)
        assert len(chosen) == 2
        assert {NODES[name] for name in chosen} == {domain}


def test_only_a_watcher_that_left_is_replaced():
    first, second = watchers(NODES, "zone-1")
    remaining = {name: domain for name, domain in NODES.items() if name != first}
    assert watchers(remaining, "zone-1")[0] == second


def _change(key, revision, size=10):
    return (key, b"v" * size, revision, 0)


def test_changes_are_returned_since_any_retained_revision():
    log = ChangeLog()
    log.add(ChangeBatch(10, 12, (_change("a", 11), _change("b", 12))))
    log.add(ChangeBatch(12, 15, (("a", None, 15, 0),)))
    assert [c[0] for c in log.since(10)] == ["a", "b", "a"]
    assert [c[0] for c in log.since(12)] == ["a"]
    # A revision in the middle of a batch: the whole batch is returned again.
    assert [c[0] for c in log.since(11)] == ["a", "b", "a"]
    assert log.since(9) is None
    assert log.since(15) is None


def test_nothing_is_returned_over_a_gap_or_beyond_the_size_limit():
    log = ChangeLog()
    log.add(ChangeBatch(10, 12, (_change("a", 11),)))
    log.add(ChangeBatch(20, 21, (_change("b", 21),)))
    assert log.since(12) is None
    assert [c[0] for c in log.since(20)] == ["b"]
    log.add(ChangeBatch(21, 22, (_change("op", 22, 50_000),)))
    assert log.since(21) is None


def _routes(count, seed=5):
    rng = random.Random(seed)
    return [
        {
            "name": f"r-{rng.randrange(16**7):07x}",
            "host": f"{rng.randrange(16**5):05x}.example",
            "prefix": f"/{rng.randrange(16**6):06x}/",
            "kind": "stream",
            "timeout": 10_000,
            "objective": 300,
            "service": "models",
        }
        for _ in range(count)
    ]


def _document(version, routes):
    return json.dumps(
        {"version": version, "routes": routes}, separators=(",", ":")
    ).encode()


def test_versions_of_a_large_configuration_are_sent_as_small_deltas():
    # Load pattern: configurations of about 270 routes each, in quick succession.
    routes = _routes(270)
    watcher, follower = LargeValueCache(), LargeValueCache()
    first = ("op", _document(2, routes), 2)
    watcher.store(first)
    follower.store(first)
    for revision in range(3, 20):
        routes[revision * 3]["timeout"] += 1
        routes.append(_routes(1, revision)[0])
        if revision % 4 == 0:
            del routes[revision]
        plain = ("op", _document(revision, routes), revision)
        change = watcher.encode(plain)
        assert len(change[1]) < 600
        assert follower.decode(change) == plain
        # A repeated change has no effect.
        assert follower.decode(change) == plain


def test_a_damaged_value_or_a_delta_of_another_base_is_rejected():
    watcher, follower = LargeValueCache(), LargeValueCache()
    watcher.store(("op", _document(2, _routes(50)), 2))
    change = watcher.encode(("op", _document(3, _routes(51)), 3))
    key, packed, revision, base = change
    wrong = (
        change,  # a delta of a value that this node doesn't have
        (key, packed[:-5], revision, 0),
        (key, b"", revision, 0),
        (key, packed[:9] + b"\xff" + packed[10:], revision, 0),
        (key, zlib.compress(b"0" * 2_000_000), revision, 0),
    )
    for damaged in wrong:
        try:
            follower.decode(damaged)
        except ValueError:
            continue
        raise AssertionError(f"{damaged!r:.60} was accepted")
    assert base == 2


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.sampled_from("abcd")), st.lists(st.sampled_from("abcde")))
def test_a_delta_turns_any_value_into_any_other(old, new):
    before, after = ("},{".join(pieces).encode() for pieces in (old, new))
    assert apply_delta(before, make_delta(before, after), 1_000) == after


@attrs.define
class _FakeDatagrams:
    """Delivers datagrams to the handlers of another node, or drops them."""

    handlers: dict = attrs.field(factory=dict)
    sent: list = attrs.field(factory=list)
    remote: "_FakeDatagrams | None" = None
    name: str = ""
    # Receivers by the peer's id, for more than two nodes.
    remotes: "dict[str, _FakeDatagrams]" = attrs.field(factory=dict)

    def register_handler(self, kind, handler):
        self.handlers[kind] = handler

    def send_to(self, peer, kind, message):
        self.sent.append((kind, message))
        remote = self.remotes.get(peer.node_id, self.remote)
        if remote is not None:
            payload = codec.pack_compact(message)
            asyncio.get_running_loop().call_soon(
                remote.handlers[kind], self.name, payload
            )
        return True


def _node(name, clock):
    settings = RelaySettings(name, "zone-a", *["127.0.0.1:0"] * 6, bounds=RelayBounds())
    state = RelayState(settings, clock)
    datagrams = _FakeDatagrams(name=name)
    return state, datagrams, WatcherExchange(state, datagrams)


def _pair():
    clock = ManualClock()
    poller, watcher = _node("n1", clock), _node("n2", clock)
    poller[1].remote, watcher[1].remote = watcher[1], poller[1]
    for state, other in ((poller[0], "n2"), (watcher[0], "n1")):
        state.peers.put(Peer(other, "zone-a", "127.0.0.1:1", 1))
    return clock, poller, watcher


async def test_an_answer_tells_what_changed_and_how_old_the_word_is():
    clock, (_, _, poller), (state, _, watcher) = _pair()
    peer = Peer("n2", "zone-a", "127.0.0.1:1", 1)
    poller.position.begin(10, 0)
    watcher.position.begin(10, 0)
    watcher.position.advance(12, (_change("servers/i", 12),))
    state.confirmed_s = clock.boottime()
    # The age includes time for which the watcher's process was suspended.
    clock.suspend(1.2)
    answer = await poller.query(peer, 10)
    assert answer.complete and [c[0] for c in answer.changes] == ["servers/i"]
    assert 1_200 <= answer.age_ms <= 1_210
    answer = await poller.query(peer, 12)
    assert answer.complete and answer.changes == ()
    answer = await poller.query(peer, 3)
    assert not answer.complete


@attrs.define
class _ListedStore:
    """A store with one listing, which it counts, and without changes."""

    listing: Listing
    listings: int = 0
    watches: int = 0

    @property
    def era(self):
        return self.listing.era

    def add_era_listener(self, on_new_era):
        pass

    async def list_all(self, prefix):
        self.listings += 1
        return self.listing

    async def changes(self, prefix, after, wait_ms):
        self.watches += 1
        raise PlatformUnavailable("status 503")


def _polling_task(clock_and_pair, listing):
    """Return the task of a node that polls one watcher, and its store."""
    _, (state, _, poller), (watcher_state, _, watcher) = clock_and_pair
    for n in range(3, 30):
        state.peers.put(Peer(f"n{n}", "zone-b", "127.0.0.1:1", 1))
    watcher_state.confirmed_s = state.confirmed_s = state.clock.boottime()
    store = _ListedStore(listing)
    return StoreTask(store, None, state, random.Random(1), poller), store


async def test_a_poll_finds_the_new_era_of_its_watcher():
    # Guards against comparing revisions of two eras: the watcher's is lower.
    pair = _pair()
    _, (_, _, poller), (_, _, watcher) = pair
    task, store = _polling_task(pair, Listing((), 15, 2))
    poller.position.begin(20, 1)
    watcher.position.begin(15, 2)
    await task.poll_watchers()
    assert store.listings == 1
    assert (poller.position.revision, poller.position.era) == (15, 2)


async def test_an_answer_of_a_watcher_in_an_older_era_is_not_used():
    pair = _pair()
    _, (_, _, poller), (_, _, watcher) = pair
    task, store = _polling_task(pair, Listing((), 16, 2))
    poller.position.begin(15, 2)
    watcher.position.begin(15, 1)
    watcher.position.advance(20, (_change("servers/i", 20),))
    pair[0].advance(1.0)
    with contextlib.suppress(PlatformUnavailable):
        await task.poll_watchers()
    # No watcher has a usable answer, so that the node calls the store itself.
    assert store.watches == 1
    assert (poller.position.revision, poller.position.era) == (15, 2)
    assert task._state.confirmed_age_s >= 1.0


async def test_a_value_of_an_earlier_era_is_not_taken_for_a_newer_one():
    # Guards against an older configuration in force: its key isn't in the listing of
    # the new era, and a change with a lower revision brings it back as a delta.
    pair = _pair()
    _, (_, _, poller), (_, _, watcher) = pair
    task, _ = _polling_task(pair, Listing((), 15, 2))
    poller.position.begin(20, 1)
    poller.position.large_values.store(("op", _document(2, _routes(50)), 20))
    watcher.position.begin(15, 2)
    await task.poll_watchers()
    values = LargeValueCache()
    values.store(("op", _document(3, _routes(50)), 16))
    change = values.encode(("op", _document(4, _routes(51)), 17))
    try:
        decoded = poller.position.large_values.decode(change)
    except ValueError:
        # The base is missing, so that the node calls the store.
        return
    raise AssertionError(f"{decoded!r:.80} was taken")


async def test_a_hint_of_a_new_era_wakes_a_node_with_a_higher_revision():
    _, (_, _, poller), (_, _, watcher) = _pair()
    poller.position.begin(20, 1)
    watcher.position.begin(15, 2)
    watcher.send_hints(15)
    started = asyncio.get_running_loop().time()
    await poller.wait_for_hint(1.0)
    assert asyncio.get_running_loop().time() - started < 0.5


async def test_an_answer_without_a_pending_query_is_dropped():
    _, (_, datagrams, poller), _ = _pair()
    forged = codec.pack_compact(StoreAnswer(99, 50, 0, True))
    datagrams.handlers[ANSWER_KIND]("n2", forged)
    datagrams.remote = None
    assert await poller.query(Peer("n2", "zone-a", "127.0.0.1:1", 1), 1) is None
    # A late answer to the query that timed out must not raise.
    datagrams.handlers[ANSWER_KIND](
        "n2", codec.pack_compact(StoreAnswer(1, 50, 0, True))
    )


async def test_a_hint_wakes_only_a_node_with_an_older_revision():
    _, (_, _, poller), (_, _, watcher) = _pair()
    poller.position.begin(12, 0)
    watcher.position.begin(12, 0)
    loop = asyncio.get_running_loop()
    watcher.send_hints(12)
    started = loop.time()
    await poller.wait_for_hint(0.05)
    assert loop.time() - started >= 0.04
    watcher.send_hints(13)
    started = loop.time()
    await poller.wait_for_hint(1.0)
    assert loop.time() - started < 0.5
    assert HINT_KIND in watcher._peer_updates.handlers


@attrs.define
class _Store:
    """A store that fails every call and counts the calls."""

    calls: int = 0
    era: int = 0

    def add_era_listener(self, on_new_era):
        pass

    async def changes(self, prefix, after, wait_ms):
        self.calls += 1
        raise PlatformUnavailable("status 503")


@attrs.define
class _SlowStore(_Store):
    """A store whose watch ends when its answer, which has begun, has arrived."""

    watch_arriving: bool = True
    revision: int = 30

    async def changes(self, prefix, after, wait_ms):
        self.calls += 1
        await asyncio.sleep(3 * HINT_PATIENCE_S)
        return Changes((StoreEntry("a", b"{}", 30),), self.revision, 0)


async def test_a_hint_does_not_end_a_watch_whose_answer_is_arriving():
    # A large configuration was read again and again, and never to its end.
    _, (state, _, poller), _ = _pair()
    store = _SlowStore()
    decoder = unittest.mock.Mock(decode_written=lambda key, value: None)
    task = StoreTask(store, decoder, state, random.Random(1), poller)
    poller.position.begin(20, 0)
    poller._on_hint("n2", codec.pack_compact(_Hint(30, 0)))
    await task.call_store(1_000)
    assert (store.calls, poller.position.revision) == (1, 30)


async def test_a_node_far_behind_gets_all_changes_from_its_watcher_in_parts():
    # It called the store instead, which sends every version of the configuration whole.
    pair = _pair()
    _, (state, _, poller), (watcher_state, _, watcher) = pair
    task, store = _polling_task(pair, Listing((), 20, 0))
    task._decoder = unittest.mock.Mock(decode_written=lambda key, value: None)
    poller.position.begin(20, 0)
    watcher.position.begin(20, 0)
    for revision in range(21, 61):
        value = zlib.compress(random.Random(revision).randbytes(900))
        watcher.position.advance(revision, (("servers/i", value, revision, 0),))
    assert watcher.position.changes_since(20, 0) is None
    await task.poll_watchers()
    assert (poller.position.revision, store.watches) == (60, 0)
    assert state.confirmed_s >= watcher_state.confirmed_s


async def test_a_part_confirms_nothing_and_builds_that_take_none_get_none():
    _, _, (watcher_state, _, watcher) = _pair()
    watcher_state.confirmed_s = watcher_state.clock.boottime()
    watcher.position.begin(20, 0)
    for revision in range(21, 41):
        change = ("servers/i", random.Random(revision).randbytes(900), revision, 0)
        watcher.position.advance(revision, (change,))
    sent = watcher._peer_updates.sent
    for takes_parts in (False, True):
        query = _Query(1, 20, 0, takes_parts)
        watcher._on_query("n1", codec.pack_compact(query))
    (_, old), (_, new) = sent
    assert not old.complete and not old.is_part and old.changes == ()
    assert new.complete and new.is_part and new.age_ms == -1
    assert 20 < new.revision < 40 and len(new.changes) == new.revision - 20


def test_builds_that_know_no_parts_read_queries_and_answers_and_are_read():
    old_query = attrs.make_class(
        "OldQuery",
        {
            "number": attrs.field(type=int),
            "revision": attrs.field(type=int),
            "era": attrs.field(type=int, default=0),
        },
    )
    old_fields = {
        f.name: attrs.field(type=f.type, default=f.default)
        for f in attrs.fields(StoreAnswer)
        if f.name != "is_part"
    }
    old_answer = attrs.make_class("OldAnswer", old_fields)
    sent = codec.pack_compact(_Query(1, 20, 3, takes_parts=True))
    assert codec.unpack_compact(sent, old_query) == old_query(1, 20, 3)
    sent = codec.pack_compact(old_query(1, 20, 3))
    assert codec.unpack_compact(sent, _Query) == _Query(1, 20, 3)
    values = (1, 20, 5, True, (("a", None, 19, 0),), 3, 7, 8)
    sent = codec.pack_compact(StoreAnswer(*values))
    assert codec.unpack_compact(sent, old_answer) == old_answer(*values)
    sent = codec.pack_compact(old_answer(*values))
    assert codec.unpack_compact(sent, StoreAnswer) == StoreAnswer(*values)


async def test_polling_nodes_rarely_call_the_store_in_an_outage():
    # Guards against a retry storm: the platform prices calls to a store that is down
    # like any others, and each of many nodes would make several a second.
    clock, (state, _, poller), (watcher_state, _, watcher) = _pair()
    for n in range(3, 30):
        state.peers.put(Peer(f"n{n}", "zone-b", "127.0.0.1:1", 1))
    state.peers.put(Peer("n1", "zone-a", "127.0.0.1:1", 1))
    state.peers.put(Peer("n0", "zone-a", "127.0.0.1:1", 1))
    poller.position.begin(12, 0)
    watcher.position.begin(12, 0)
    watcher_state.confirmed_s = clock.boottime() - 10.0
    store = _Store()
    task = StoreTask(store, None, state, random.Random(1), poller)
    failures = 0
    for _ in range(20):
        # A hint ends the pause between two polls.
        poller._hint_received.set()
        try:
            await task.poll_watchers()
        except PlatformUnavailable:
            failures += 1
        clock.advance(0.5)
    # At most one call each 2.5 s, over ten seconds.
    assert failures == store.calls <= 5
    watcher_state.confirmed_s = clock.boottime() - 0.5
    poller._hint_received.set()
    await task.poll_watchers()
    assert abs(state.confirmed_age_s - 0.5) < 0.01


class _IgnoringDecoder:
    """Decodes no entry, as for keys that nodes don't use."""

    def decode_written(self, key, value):
        return None


async def test_an_answer_older_than_a_hint_is_not_taken_for_current():
    # A watcher whose own watch is silent answers for up to 2.5 s as if nothing had
    # changed, while the other watcher has sent a hint of the change.
    clock = ManualClock()
    domains = {"n1": "zone-a", "n2": "zone-a", "n3": "zone-a"}
    domains |= {f"n{n}": "zone-b" for n in range(4, 30)}
    first, second = watchers(domains, "zone-a")
    (own,) = {"n1", "n2", "n3"} - {first, second}
    nodes = {name: _node(name, clock) for name in (own, first, second)}
    for state, datagrams, exchange in nodes.values():
        for peer, domain in domains.items():
            state.peers.put(Peer(peer, domain, "127.0.0.1:1", 1))
        state.confirmed_s = clock.boottime()
        exchange.position.begin(12, 0)
        datagrams.remotes = {other: nodes[other][1] for other in nodes}
    change = ("other", zlib.compress(b"v"), 13, 0)
    nodes[second][2].position.advance(13, (change,))
    state, _, poller = nodes[own]
    nodes[second][2].send_hints(13)
    await asyncio.sleep(0)
    task = StoreTask(_Store(), _IgnoringDecoder(), state, random.Random(1), poller)
    polling = asyncio.create_task(task.poll_watchers())
    await asyncio.sleep(0.05)
    polling.cancel()
    assert poller.position.revision == 13


class _RemovingDecoder(_IgnoringDecoder):
    """Decodes the deletion of any key as that of a backend server's entry."""

    def decode_deleted(self, key):
        return BackendRemoval(key)


async def test_a_node_whose_calls_fail_reads_answers_of_builds_of_both_kinds():
    # Builds up to commit 168f730 don't say for how long they had contact.
    for contact, dropped in ((), False), ((9_000, 500), True):
        clock, (state, _, poller), _ = _pair()
        clock.advance(100.0)
        server = BackendServer("i-0", 1, "models", "a:1", "zone-a", 8)
        state.backends.put(server, 12, clock.monotonic())
        state.backends.mark_store_reachable(clock.monotonic())
        clock.advance(1.0)
        poller.position.begin(12, 0)
        task = StoreTask(_Store(), _RemovingDecoder(), state, random.Random(1), poller)
        task._record_failure(PlatformUnavailable("status 429"))
        fields = (1, 13, 500, True, (("i-0", None, 13, 0),), 0, *contact)
        answer = codec.unpack_compact(msgspec.msgpack.encode(fields), StoreAnswer)
        with unittest.mock.patch.object(
            WatcherExchange, "query", unittest.mock.AsyncMock(return_value=answer)
        ):
            await task._ask_peers()
        assert poller.position.revision == 13
        assert abs(state.confirmed_age_s - 0.5) < 0.01
        assert (state.backends.get("i-0") is None) == dropped
        usable = state.backends.usable("models", clock.monotonic())
        assert bool(list(usable)) != dropped


def load_tests(loader, tests, pattern):
    return collect(globals())

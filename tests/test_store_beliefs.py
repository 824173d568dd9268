"""What nodes believe of backend servers when the store returns from older copies."""

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from tanagerkeel.relay import BackendServer, BackendTable, ServerState
from tests.support import collect

ENGINES = ("e0", "e1", "e2")
NODE_COUNT = 3
# Copies of the store are at most this old, in seconds.
MAX_COPY_AGE_S = 10.0
# The platform removes entries of silent servers within this time, in seconds.
SILENCE_S = 4.0
# Time in which every node has the true view again, in seconds.
SETTLED_S = 10.0


def server(name, born, state=ServerState.READY, cold_ms=0):
    address = f"10.0.0.{born % 250}:80"
    return BackendServer(name, born, "models", address, "zone-a", 8, state, cold_ms)


def table_of(*entries):
    table = BackendTable()
    for revision, entry in entries:
        table.put(entry, revision, 0.0)
    return table


def usable(table, now):
    return {r.server.incarnation for r in table.usable("models", now)}


DRAINING = server("e0", 5, ServerState.DRAINING)
READY = server("e0", 5)


def test_an_entry_below_the_known_revision_counts_in_a_new_era():
    table = table_of((100, READY))
    table.begin_store_era(1.0)
    assert table.put(DRAINING, 97, 1.0)
    assert not usable(table, 1.0)


def test_a_draining_server_stays_so_when_a_copy_says_ready():
    for revision in (50, 100):
        table = table_of((100, DRAINING))
        table.begin_store_era(1.0)
        table.put(READY, revision, 1.0)
        assert not usable(table, 60.0)
        # Its owner's next write counts, whatever it says.
        table.put(READY, revision + 1, 2.0)
        assert usable(table, 2.0)


def test_a_server_that_drained_and_is_gone_does_not_return_from_a_copy():
    table = table_of((100, DRAINING))
    assert table.remove("e0", 1.0)
    table.begin_store_era(5.0)
    table.put(READY, 50, 5.0)
    assert not usable(table, 60.0)


def test_a_server_that_is_gone_returns_only_if_its_entry_stays():
    table = table_of((100, READY))
    assert table.remove("e0", 1.0)
    table.begin_store_era(5.0)
    table.put(READY, 50, 5.0)
    assert not usable(table, 10.9)
    assert usable(table, 11.1)


def test_a_copy_does_not_bring_back_an_earlier_incarnation():
    table = table_of((100, server("e0", 9)))
    table.begin_store_era(5.0)
    assert not table.put(READY, 50, 5.0)
    assert usable(table, 6.9) == {("e0", 9)}
    # The known incarnation didn't write its entry again, so it is gone.
    assert table.expire(7.1) == ("e0",)


def test_an_unchanged_entry_in_a_copy_does_not_begin_another_cold_start():
    cold = server("e0", 5, cold_ms=3_000)
    table = table_of((100, cold))
    table.begin_store_era(20.0)
    table.put(cold, 100, 20.0)
    assert not table.get("e0").is_cold(20.0)
    table.put(cold, 101, 20.0)
    assert table.get("e0").is_cold(20.0)


def test_a_missing_entry_is_used_for_two_seconds_after_a_new_era():
    table = table_of((100, READY))
    table.begin_store_era(5.0)
    assert table.keep_only((), 5.0) == ()
    assert usable(table, 6.9) and not usable(table, 7.0)


@attrs.define
class _Store:
    """A store whose revisions are given out again after it returns from a copy."""

    era: int = 1
    revision: int = 0
    items: dict = attrs.field(factory=dict)
    history: list = attrs.field(factory=list)

    def write(self, entry):
        self.revision += 1
        self.items[entry.backend_id] = (self.revision, entry)
        self.history.append((self.revision, entry.backend_id, entry))

    def delete(self, name):
        if self.items.pop(name, None) is not None:
            self.revision += 1
            self.history.append((self.revision, name, None))

    def copy(self):
        return attrs.evolve(self, items=dict(self.items), history=list(self.history))


@attrs.define
class _Node:
    """A node's table, and what it has learnt of each incarnation from its owner."""

    table: BackendTable = attrs.field(factory=BackendTable)
    era: int = 0
    revision: int = 0
    ended: set = attrs.field(factory=set)
    newest_born: dict = attrs.field(factory=dict)


class StoreEras(RuleBasedStateMachine):
    """Engines, a store that returns from copies, and nodes that read it late."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.born = 0
        self.store = _Store()
        self.copies = []
        self.nodes = [_Node() for _ in range(NODE_COUNT)]
        # Current entry of each engine that runs; None for one that has ended.
        self.engines = dict.fromkeys(ENGINES)
        self.returned_s = float("-inf")

    @rule(name=st.sampled_from(ENGINES), cold_ms=st.sampled_from([0, 3_000]))
    def start(self, name, cold_ms):
        self._copy()
        self.born += 1
        self.engines[name] = server(name, self.born, cold_ms=cold_ms)
        self.store.write(self.engines[name])

    @rule(name=st.sampled_from(ENGINES))
    def drain(self, name):
        if self.engines[name] is not None:
            self._copy()
            entry = attrs.evolve(self.engines[name], state=ServerState.DRAINING)
            self.engines[name] = entry
            self.store.write(entry)

    @rule(name=st.sampled_from(ENGINES))
    def leave(self, name):
        if self.engines[name] is not None:
            self._copy()
            self.engines[name] = None
            self.store.delete(name)

    def _copy(self):
        self.copies.append((self.now, self.store.copy()))

    @precondition(lambda self: self.copies)
    @rule(data=st.data())
    def restore(self, data):
        fresh = [c for c in self.copies if self.now - c[0] <= MAX_COPY_AGE_S]
        if not fresh:
            return
        era = self.store.era + 1
        chosen = data.draw(st.sampled_from(fresh))
        self.store = attrs.evolve(chosen[1].copy(), era=era)
        # What was copied after it is lost, too.
        self.copies = self.copies[: self.copies.index(chosen) + 1]
        self.returned_s = self.now

    @rule(name=st.sampled_from(ENGINES))
    def write_again(self, name):
        if self.engines[name] is not None:
            self.store.write(self.engines[name])

    @rule(index=st.integers(0, NODE_COUNT - 1))
    def read(self, index):
        self._read(self.nodes[index])

    @rule(by_s=st.sampled_from([0.1, 1.0, 3.0, 20.0]))
    def advance(self, by_s):
        # Within two seconds of its return, the owners have written again.
        if self.now - self.returned_s < 2.0 <= self.now + by_s - self.returned_s:
            self._settle()
        self.now += by_s
        if self.now - self.returned_s >= SILENCE_S:
            self._remove_silent()

    def _settle(self):
        for entry in filter(None, self.engines.values()):
            if self.store.items.get(entry.backend_id, (0, None))[1] != entry:
                self.store.write(entry)

    def _remove_silent(self):
        for name in ENGINES:
            if self.engines[name] is None:
                self.store.delete(name)

    def _read(self, node):
        store = self.store
        if node.era != store.era:
            if node.era:
                node.table.begin_store_era(self.now)
            for revision, entry in store.items.values():
                self._apply(node, entry.backend_id, entry, revision)
            node.table.keep_only(tuple(store.items), self.now)
        else:
            for revision, name, entry in store.history:
                if revision > node.revision:
                    self._apply(node, name, entry, revision)
        node.era, node.revision = store.era, store.revision
        node.table.expire(self.now)

    def _apply(self, node, name, entry, revision):
        if entry is None:
            record = node.table.get(name)
            if node.table.remove(name, self.now):
                node.ended.add(record.server.incarnation)
            return
        node.table.put(entry, revision, self.now)
        if entry.state is ServerState.DRAINING:
            node.ended.add(entry.incarnation)

    @invariant()
    def no_node_uses_what_it_has_learnt_to_drain_or_be_gone(self):
        for node in self.nodes:
            assert not usable(node.table, self.now) & node.ended

    @invariant()
    def no_node_returns_to_an_earlier_incarnation(self):
        for node in self.nodes:
            for record in node.table:
                name, born = record.server.incarnation
                assert born >= node.newest_born.get(name, 0)
                node.newest_born[name] = born

    def teardown(self):
        self._settle()
        self.now += SILENCE_S
        self._remove_silent()
        for _ in range(2):
            for node in self.nodes:
                self._read(node)
            self.now += SETTLED_S
        ready = {
            entry.incarnation
            for entry in self.engines.values()
            if entry is not None and entry.state is ServerState.READY
        }
        for node in self.nodes:
            assert usable(node.table, self.now) == ready


StoreEras.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=300, stateful_step_count=40
)


def test_any_order_of_eras_writes_and_late_reads_keeps_the_rules():
    case = StoreEras.TestCase("runTest")
    case.runTest()


def load_tests(loader, tests, pattern):
    return collect(globals())

"""
The table of backend servers against a model, in random orders of what may happen.

The model holds one sentence of the rule: an incarnation that announced that it leaves
is never usable again, and no other incarnation is affected.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tanagerkeel.relay import BackendServer, BackendTable, ServerState
from tests.support import collect

SERVICE = "models"
ADDRESSES = ("10.0.0.1:80", "10.0.0.2:80")
ids = st.sampled_from(("i-0", "i-1", "i-2"))
starts = st.integers(1, 3)


class LeavingMachine(RuleBasedStateMachine):
    """Entries come, change and vanish; the store fails; servers announce leaving."""

    def __init__(self):
        super().__init__()
        self.table = BackendTable()
        self.now = 0.0
        self.revision = 0
        self.announced = set()
        self.known = {}

    @rule(backend_id=ids, started_ms=starts, address=st.sampled_from(ADDRESSES))
    def write_entry(self, backend_id, started_ms, address):
        self.revision += 1
        server = BackendServer(backend_id, started_ms, SERVICE, address, "zone-a", 8)
        self.table.put(server, self.revision, self.now)
        self.known[backend_id] = server

    @rule(backend_id=ids)
    def delete_entry(self, backend_id):
        self.table.remove(backend_id, self.now)

    @rule(backend_id=ids)
    def announce(self, backend_id):
        record = self.table.get(backend_id)
        if record is None:
            return
        server = record.server
        new = self.table.record_leaving(server.incarnation)
        assert new == ((backend_id, server.started_ms) not in self.announced)
        self.announced.add((backend_id, server.started_ms))

    @rule(reachable=st.booleans())
    def change_store(self, reachable):
        if reachable:
            self.table.mark_store_reachable(self.now)
        else:
            self.table.mark_store_unreachable(self.now)

    @rule(backend_ids=st.sets(ids))
    def list_store(self, backend_ids):
        self.table.keep_only(backend_ids, self.now)

    @rule(seconds=st.floats(0.0, 5.0))
    def pass_time(self, seconds):
        self.now += seconds
        self.table.expire(self.now)

    @invariant()
    def no_leaving_incarnation_is_usable(self):
        for record in self.table.usable(SERVICE, self.now):
            server = record.server
            assert (server.backend_id, server.started_ms) not in self.announced

    @invariant()
    def other_incarnations_with_an_entry_are_usable(self):
        usable = {r.server.backend_id for r in self.table.usable(SERVICE, self.now)}
        for record in self.table:
            server = record.server
            if (
                record.missing_since_s is None
                and server.state is ServerState.READY
                and (server.backend_id, server.started_ms) not in self.announced
            ):
                assert server.backend_id in usable


def test_leaving_servers_are_never_usable_again():
    LeavingMachine.TestCase.settings = settings(
        max_examples=200, derandomize=True, deadline=None, database=None
    )
    LeavingMachine.TestCase("runTest").debug()


def test_the_memory_of_leaving_servers_is_bounded():
    table = BackendTable()
    for number in range(5_000):
        server = BackendServer(f"i-{number}", 1, SERVICE, ADDRESSES[0], "zone-a", 8)
        assert table.record_leaving(server.incarnation)
    assert not table.is_leaving(BackendServer("i-0", 1, SERVICE, "a:1", "zone-a", 8))
    assert table.is_leaving(BackendServer("i-4999", 1, SERVICE, "a:1", "zone-a", 8))


def load_tests(loader, tests, pattern):
    return collect(globals())

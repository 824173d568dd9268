"""Each engine is polled by one node, and all nodes get its load in time."""

import contextlib
import types
from random import Random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel import codec
from tanagerkeel.clock import ManualClock
from tanagerkeel.configuration import (
    BackendKind,
    BackendServer,
    Configuration,
    ConfigurationHolder,
)
from tanagerkeel.entry._observations import ByteBudget, ObservationTask
from tanagerkeel.fleet import LoadUpdateReader, LoadUpdateWriter, backend_number
from tanagerkeel.gateways.engines import BackendFailed, CacheEventBatch, LoadReport
from tanagerkeel.gateways.platform import VirtualMachine
from tanagerkeel.membership import MembershipHolder, NodeInfo, View
from tests.fixtures_peers import Network, running_tasks
from tests.support import collect

# Time within which all nodes must know that an engine is leaving, gone or back.
UPDATE_LIMIT_S = 3.0


@attrs.define
class FakeEngines:
    """Fake engines: load reports by address, and the addresses that were polled."""

    reports: dict = attrs.field(factory=dict)
    polls: list = attrs.field(factory=list)

    async def load_report(self, address):
        self.polls.append(address)
        report = self.reports[address]
        if report is None:
            raise BackendFailed("refused", sent=False)
        return report

    async def cache_events(self, address, after):
        return CacheEventBatch("i")


@attrs.define
class FleetRecorder:
    """Records the calls of a fleet table, keeping the last report of each backend."""

    last: dict = attrs.field(factory=dict)
    gone: set = attrs.field(factory=set)

    def configure(self, catalog):
        pass

    def record_report(self, backend, report, now):
        self.last[backend] = report

    def record_unreachable(self, backend, now):
        self.last[backend] = None

    def mark_leaving(self, backend):
        self.gone.add(backend)

    def last_cache_sequence(self, backend):
        return 0

    def record_cache_events(self, backend, batch, now):
        pass


@attrs.define
class Domain:
    """Observation tasks of one failure domain on an in-memory network."""

    network: Network
    engines: FakeEngines
    vms: list = attrs.field(factory=list)
    contexts: list = attrs.field(factory=list)
    tasks: list = attrs.field(factory=list)

    def build(self, nodes, engines):
        servers = tuple(_server(i) for i in range(engines))
        for server in servers:
            self.engines.reports[server.address] = LoadReport("i", prefill_rate=1_000.0)
        infos = tuple(_info(i) for i in range(nodes))
        for own in infos:
            configuration = ConfigurationHolder()
            configuration.adopt(1, Configuration(backend_servers=servers))
            context = types.SimpleNamespace(
                settings=types.SimpleNamespace(failure_domain="cebu-1"),
                clock=self.network.clock,
                configuration=configuration,
                members=MembershipHolder(own, View(infos)),
                bus=self.network.create_bus(own.peers_address),
                engines=self.engines,
                fleet=FleetRecorder(),
                platform=types.SimpleNamespace(list_vms=self.list_vms),
            )
            self.contexts.append(context)
            self.tasks.append(ObservationTask(context))

    async def list_vms(self):
        return tuple(self.vms)

    def all_know(self, name, expected):
        return all(expected(c.fleet.last.get(name)) for c in self.contexts)


def _server(index):
    address = f"10.1.0.{index}:80"
    return BackendServer(f"engine-{index}", BackendKind.ENGINE, address, "cebu-1")


def _info(index):
    address = f"10.0.0.{index}:1"
    return NodeInfo(f"node-{index}", "cebu-1", address, address)


@contextlib.asynccontextmanager
async def _domain(nodes=5, engines=8):
    domain = Domain(Network(clock=ManualClock()), FakeEngines())
    domain.build(nodes, engines)
    async with running_tasks(t.run() for t in domain.tasks):
        await domain.network.pass_time(5.0)
        yield domain


async def test_each_engine_is_polled_by_one_node_and_known_to_all():
    async with _domain() as domain:
        domain.engines.polls.clear()
        await domain.network.pass_time(4.0)
        counts = {a: domain.engines.polls.count(a) for a in domain.engines.reports}
        assert set(counts.values()) == {2}
        for index in range(8):
            assert domain.all_know(f"engine-{index}", lambda r: r.incarnation == "i")


async def test_leaving_by_the_engines_own_word_is_known_in_time():
    async with _domain() as domain:
        address = _server(3).address
        report = attrs.evolve(domain.engines.reports[address], leaving=True)
        domain.engines.reports[address] = report
        await domain.network.pass_time(UPDATE_LIMIT_S)
        assert domain.all_know("engine-3", lambda r: r.leaving)


async def test_leaving_by_the_vm_list_is_known_to_all():
    async with _domain() as domain:
        domain.vms.append(VirtualMachine("10.1.0.2", "cebu-1", True, "backend"))
        await domain.network.pass_time(16.0)
        assert all(c.fleet.gone == {"engine-2"} for c in domain.contexts)


async def test_word_of_leaving_does_not_outlive_the_vm():
    async with _domain() as domain:
        domain.vms.append(VirtualMachine("10.1.0.2", "cebu-1", True, "backend"))
        await domain.network.pass_time(16.0)
        # The VM is gone, and another VM has its name.
        domain.vms.clear()
        for context in domain.contexts:
            context.fleet.gone.clear()
        await domain.network.pass_time(32.0)
        assert not any(c.fleet.gone for c in domain.contexts)


async def test_crash_and_restart_are_known_in_time():
    async with _domain() as domain:
        address = _server(1).address
        report = domain.engines.reports[address]
        domain.engines.reports[address] = None
        await domain.network.pass_time(UPDATE_LIMIT_S)
        assert domain.all_know("engine-1", lambda r: r is None)
        domain.engines.reports[address] = attrs.evolve(report, incarnation="j")
        await domain.network.pass_time(UPDATE_LIMIT_S)
        assert domain.all_know("engine-1", lambda r: r and r.incarnation == "j")


async def test_other_nodes_poll_the_engines_of_a_dead_node():
    async with _domain() as domain:
        dead = domain.contexts[0].members.own
        for context in domain.contexts[1:]:
            nodes = tuple(n for n in context.members.view.nodes if n != dead)
            context.members.view = View(nodes)
        domain.contexts[0].members.view = View((dead,))
        for address, report in domain.engines.reports.items():
            domain.engines.reports[address] = attrs.evolve(report, incarnation="new")
        domain.network.partition([dead.peers_address], domain.network.buses)
        await domain.network.pass_time(UPDATE_LIMIT_S)
        for context in domain.contexts[1:]:
            seen = {r.incarnation for r in context.fleet.last.values()}
            assert seen == {"new"}


async def test_new_node_gets_a_full_update_at_once():
    async with _domain() as domain:
        newcomer = domain.contexts[4]
        newcomer.fleet.last.clear()
        everybody = newcomer.members.view
        for context in domain.contexts[:4]:
            context.members.view = View(everybody.nodes[:4])
        await domain.network.pass_time(1.0)
        for context in domain.contexts[:4]:
            context.members.view = everybody
        await domain.network.pass_time(1.0)
        assert len(newcomer.fleet.last) == 8


async def test_lost_metadata_is_requested():
    async with _domain() as domain:
        domain.network.loss = 0.5
        for address, report in domain.engines.reports.items():
            domain.engines.reports[address] = attrs.evolve(report, version="2")
        await domain.network.pass_time(10.0)
        domain.network.loss = 0.0
        await domain.network.pass_time(25.0)
        for index in range(8):
            assert domain.all_know(f"engine-{index}", lambda r: r.version == "2")


async def test_updates_stay_within_the_byte_budget_when_all_loads_change():
    async with _domain(nodes=6, engines=24) as domain:
        random = Random(4)
        domain.network.sent.clear()
        for _ in range(60):
            for address, report in domain.engines.reports.items():
                waiting = random.randrange(1_000_000)
                changed = attrs.evolve(report, waiting_tokens=waiting)
                domain.engines.reports[address] = changed
            await domain.network.pass_time(1.0)
        sent = sum(75 + size for _, _, _, size in domain.network.sent)
        assert sent / 60 / 6 <= 450
        known = domain.contexts[0].fleet.last["engine-5"].waiting_tokens
        assert known > 0


def test_byte_budget_allows_its_average_rate():
    budget = ByteBudget(100.0, 500.0)
    sent = 0
    for turn in range(10_000):
        if budget.may_send(turn * 0.1):
            budget.spend(37)
            sent += 37
    assert abs(sent - 100_000) < 600


_reports = st.builds(
    LoadReport,
    st.sampled_from(["i", "j"]),
    warm_level=st.sampled_from([0.0, 0.5, 1.0]),
    running=st.integers(0, 9),
    waiting_tokens=st.integers(0, 9).map(lambda n: n * 64_000),
    leaving=st.booleans(),
    version=st.sampled_from(["1", "2"]),
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(st.tuples(_reports, st.booleans()), min_size=1, max_size=12))
def test_reader_converges_to_the_last_report_despite_lost_updates(steps):
    writer, reader = LoadUpdateWriter(), LoadUpdateReader()
    number = backend_number("engine-1")
    received = None
    for now, (report, lost) in enumerate([*steps, (steps[-1][0], False)]):
        writer.record_report(number, report)
        messages = [writer.take_immediate(now * 20.0), writer.take_changed(now * 20.0)]
        for update in messages:
            if update is None or lost:
                continue
            reports, query = reader.read("a", update)
            if query is not None:
                reports, query = reader.read("a", writer.answer(query))
                assert query is None
            received = reports[-1].report if reports else received
    assert received == steps[-1][0]


def test_metrics_of_an_engine_are_compact():
    writer = LoadUpdateWriter()
    busy = LoadReport("i", 900, 1.0, 40, 300_000, 380_000, 400_000, 9_000.0, 30.0)
    for index in range(40):
        writer.record_report(backend_number(f"engine-{index}"), busy)
    writer.take_immediate(0.0)
    update = writer.take_changed(20.0)
    assert len(codec.pack_compact(update)) / 40 <= 24


def load_tests(loader, tests, pattern):
    return collect(globals())

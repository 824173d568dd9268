"""Engine orders and freeing of memory: leases, fencing, pauses and rate limits."""

import asyncio

import attrs

from tanagerkeel.clock import ManualClock
from tanagerkeel.configuration import ConfigurationHolder, EngineOrderSpec
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._domain_lease import DomainLease
from tanagerkeel.entry._orders_task import OrdersTask
from tanagerkeel.entry._reaper_task import ReaperTask
from tanagerkeel.gateways.engines import BackendFailed, EngineOrder
from tanagerkeel.gateways.platform import PlatformUnavailable
from tanagerkeel.membership import MembershipHolder, NodeInfo, View
from tanagerkeel.orders import OrderPolicy
from tanagerkeel.standins import EngineFaults, EngineStandIn, PlatformStandIn
from tanagerkeel.standins._engine_memory import MemoryAllocation
from tanagerkeel.standins._example import example_configuration
from tests.fixtures import entry_settings
from tests.fixtures_platform import MemoryPlatform
from tests.support import collect

POLICY = OrderPolicy()


@attrs.define
class Engines:
    """An ``EngineGateway`` to stand-ins in the same process."""

    standins: dict
    lose_replies: int = 0

    async def load_report(self, address):
        return self.standins[address].load_report()

    async def send_order(self, address, order):
        result = self.standins[address].handle_order(order)
        if self.lose_replies:
            self.lose_replies -= 1
            raise BackendFailed("the reply to the order was lost")
        return result

    async def allocations(self, address):
        return self.standins[address].memory.list_allocations()

    async def free(self, address, allocation_id):
        self.standins[address].memory.free(allocation_id)


@attrs.define
class Node:
    """The tasks of one node that give orders and free memory."""

    lease: DomainLease
    orders: OrdersTask
    reaper: ReaperTask
    platform: MemoryPlatform

    async def turn(self):
        """Run the lease and orders tasks once; return the term, if there is one."""
        try:
            await self.lease.run_once()
        except PlatformUnavailable:
            pass
        term = self.lease.term
        if term is not None:
            await self.orders.run_once(term)
        return term


@attrs.define
class Domain:
    """Nodes and engines of one failure domain, with a clock set by hand."""

    clock: ManualClock
    store: PlatformStandIn
    configuration: ConfigurationHolder
    engines: Engines
    nodes: list
    revision: int = 1

    async def pass_time(self, seconds, nodes=None, step_s=1.0):
        """Advance the clock in steps, and run ``nodes`` (all when None) in each."""
        for _ in range(int(seconds / step_s)):
            self.clock.advance(step_s)
            await asyncio.sleep(0)
            for node in self.nodes if nodes is None else nodes:
                await node.turn()

    def set_desired_version(self, version, **fields):
        document = self.configuration.current.configuration
        servers = tuple(
            attrs.evolve(s, order=EngineOrderSpec(version), **fields)
            for s in document.backend_servers
        )
        self.revision += 1
        document = attrs.evolve(document, backend_servers=servers)
        self.configuration.adopt(self.revision, document)

    @property
    def versions(self):
        return {e.orders.loaded.version for e in self.engines.standins.values()}

    @property
    def engine(self):
        return next(iter(self.engines.standins.values()))

    def holder(self):
        """Return the node that holds the lease; fails if several do."""
        held = [n for n in self.nodes if n.lease.term is not None]
        assert len(held) <= 1
        return held[0] if held else None


def make_domain(engines=1, nodes=2, **faults):
    clock = ManualClock()
    store = PlatformStandIn(clock)
    addresses = [f"127.0.0.1:{n + 1}" for n in range(engines)]
    standins = {
        a: EngineStandIn(clock=clock, faults=EngineFaults(**faults)) for a in addresses
    }
    configuration = ConfigurationHolder()
    configuration.adopt(1, example_configuration(addresses))
    gateway = Engines(standins)
    infos = tuple(
        NodeInfo(f"n{i}", "cebu-1", f"127.0.0.1:{i + 1}", "") for i in range(nodes)
    )
    domain_nodes = []
    for info in infos:
        members = MembershipHolder(info, View(infos))
        platform = MemoryPlatform(store, clock)
        unused = {f.name: None for f in attrs.fields(NodeContext) if f.init}
        used = dict(
            settings=entry_settings("127.0.0.1:1", info.node_id),
            clock=clock,
            engines=gateway,
            configuration=configuration,
            members=members,
            platform=platform,
        )
        context = NodeContext(**(unused | used))
        lease = DomainLease(platform, members, clock, POLICY)
        orders, reaper = OrdersTask(context, lease), ReaperTask(context, lease)
        domain_nodes.append(Node(lease, orders, reaper, platform))
    return Domain(clock, store, configuration, gateway, domain_nodes)


async def test_one_node_brings_the_engines_to_their_desired_state():
    domain = make_domain(engines=3, nodes=3)
    await domain.pass_time(5)
    assert domain.holder() is not None
    assert not domain.engine.orders.accepted
    domain.set_desired_version("2")
    await domain.pass_time(240)
    assert domain.versions == {"2"}
    counts = [len(e.orders.accepted) for e in domain.engines.standins.values()]
    assert counts == [1, 1, 1]


async def test_paused_holder_orders_nothing_after_its_lease():
    domain = make_domain()
    await domain.pass_time(5)
    old = domain.holder()
    others = [n for n in domain.nodes if n is not old]
    old_term = old.lease.term
    # The old holder is paused: time passes, but its tasks don't run.
    await domain.pass_time(POLICY.lease_ttl_s + 10, others)
    new = others[0].lease.term
    assert new is not None and new.fencing > old_term.fencing
    domain.set_desired_version("2")
    await domain.pass_time(90, others)
    await old.orders.run_once(old_term)
    assert old.lease.term is None
    # The engine refuses even an order that was already on its way.
    assert not domain.engine.handle_order(EngineOrder(old_term.fencing, "1")).accepted
    await domain.pass_time(90)
    assert domain.versions == {"2"}
    assert {o.fencing for o in domain.engine.orders.accepted} == {new.fencing}


async def test_engine_that_ignores_fencing_is_ordered_after_a_wait_and_corrected():
    domain = make_domain(ignores_fencing=True)
    domain.set_desired_version("1", checks_fencing=False)
    await domain.pass_time(5)
    old = domain.holder()
    others = [n for n in domain.nodes if n is not old]
    domain.set_desired_version("2", checks_fencing=False)
    late_order = EngineOrder(old.lease.term.fencing, "stale")
    elected_at_s = None
    while not domain.engine.orders.accepted:
        await domain.pass_time(1, others)
        if elected_at_s is None and others[0].lease.term is not None:
            elected_at_s = domain.clock.monotonic()
    assert domain.clock.monotonic() - elected_at_s >= POLICY.max_order_s - 1
    # An order of the old holder that arrives after ``max_order_s`` is corrected.
    domain.engine.handle_order(late_order)
    await domain.pass_time(240, others)
    assert domain.versions == {"2"}


async def test_holder_without_the_platform_stops_before_its_lease_expires():
    domain = make_domain()
    await domain.pass_time(5)
    old = domain.holder()
    old.platform.down = True
    stopped_at_s = expired_at_s = None
    for _ in range(60):
        await domain.pass_time(0.5, [old], step_s=0.5)
        now = domain.clock.monotonic()
        if stopped_at_s is None and old.lease.term is None:
            stopped_at_s = now
        if expired_at_s is None and domain.store.get("orders/cebu-1") is None:
            expired_at_s = now
    assert stopped_at_s + 4.0 < expired_at_s
    others = [n for n in domain.nodes if n is not old]
    await domain.pass_time(2, others)
    assert others[0].lease.term is not None


async def test_two_candidates_at_once_with_lost_replies_leave_one_holder():
    domain = make_domain(nodes=2)
    for node in domain.nodes:
        node.platform.lose_replies = 1
    await asyncio.gather(*(node.turn() for node in domain.nodes))
    # Asserts that at most one node holds the lease.
    domain.holder()
    await domain.pass_time(40)
    assert domain.holder() is not None


async def test_restored_platform_ends_the_term_and_fencing_still_grows():
    domain = make_domain(nodes=1)
    backup = domain.store.snapshot()
    for number in range(20):
        await domain.store.put("other", bytes([number]))
    await domain.pass_time(5)
    old = domain.holder().lease.term
    domain.set_desired_version("2")
    await domain.pass_time(90)
    await domain.store.restore(backup)
    domain.set_desired_version("3")
    await domain.pass_time(240)
    assert domain.versions == {"3"}
    assert domain.holder().lease.term.fencing > old.fencing


async def test_weight_loads_stay_within_the_limit():
    domain = make_domain(engines=8, nodes=1)
    for engine in domain.engines.standins.values():
        engine.orders._load_s = 20.0
    await domain.pass_time(2)
    domain.set_desired_version("2")
    max_loading = 0
    for _ in range(200):
        await domain.pass_time(1)
        loading = sum(
            bool(e.orders.accepted) and e.orders.loaded.version != "2"
            for e in domain.engines.standins.values()
        )
        max_loading = max(max_loading, loading)
    assert max_loading == POLICY.max_concurrent_loads
    assert domain.versions == {"2"}


async def test_lost_reply_of_an_order_is_resolved_by_the_next_report():
    domain = make_domain(nodes=1)
    await domain.pass_time(2)
    domain.engines.lose_replies = 1
    domain.set_desired_version("2")
    await domain.pass_time(200)
    assert domain.versions == {"2"}
    assert len(domain.engine.orders.accepted) == 1


async def test_reaper_frees_what_is_overdue_and_nothing_before():
    domain = make_domain(nodes=2, ignores_deadlines=True)
    await domain.pass_time(2)
    now = domain.clock.monotonic()
    memory = domain.engine.memory
    for name, owner, left_s in (
        ("live", "n0", 30.0),
        ("live of a dead owner", "gone", 30.0),
        ("just past", "n0", -1.0),
        ("overdue", "n0", -6.0),
        ("overdue of a dead owner", "gone", -1.0),
    ):
        memory.allocate(MemoryAllocation(name, "stream", owner, "r", 10, now + left_s))
    address = next(iter(domain.engines.standins))
    server = domain.configuration.current.configuration.backend_servers[0]
    assert server.address == address
    await domain.holder().reaper.reap(server)
    left = {a.allocation_id for a in memory.list_allocations()}
    assert left == {"live", "live of a dead owner", "just past"}
    await domain.pass_time(31)
    await domain.holder().reaper.reap(server)
    left = {a.allocation_id for a in memory.list_allocations()}
    assert left == {"live"}


def load_tests(loader, tests, pattern):
    return collect(globals())

"""Grantors of permits: a shared limit, failover, partitions and a planned stop."""

import asyncio
import contextlib

import attrs

from tanagerkeel.clock import SystemClock
from tanagerkeel.configuration import ConfigurationHolder
from tanagerkeel.entry._permits_task import Permits
from tanagerkeel.fleet import FleetTable, PermitPolicy
from tanagerkeel.gateways.engines import BackendFailed, LoadReport
from tanagerkeel.membership import MembershipHolder, NodeInfo, View
from tanagerkeel.standins._example import example_configuration
from tests.fixtures import until
from tests.fixtures_peers import Network
from tests.support import collect

POLICY = PermitPolicy(
    permit_ttl_s=0.2,
    max_transit_s=0.05,
    lend_ttl_s=0.4,
    lend_delay_s=0.3,
    node_retention_s=60.0,
)
ENGINE = "engine-0"
WAIT_S = 20.0
ROUNDS_AFTER = 4


@attrs.define
class Engine:
    """Fake engine that only answers load reports."""

    running: int = 0
    silent: bool = False

    async def load_report(self, address):
        if self.silent:
            raise BackendFailed("silent")
        return LoadReport("i", running=self.running)


@attrs.define
class Group:
    """Nodes of one failure domain that share the permits of one engine."""

    network: Network
    engine: Engine
    permits: dict
    members: dict
    tasks: dict

    @property
    def grantor(self):
        view = next(iter(self.members.values())).view
        return view.ranked(f"grantor/{ENGINE}")[0].node_id

    def set_views(self, who, names):
        """Make ``names`` the nodes that each node in ``who`` considers alive."""
        nodes = [self.members[name].own for name in sorted(names)]
        for name in who:
            self.members[name].view = View(tuple(nodes))

    async def kill(self, name):
        self.tasks.pop(name).cancel()
        del self.network.buses[name]

    async def acquire(self, name):
        permit = await self.permits[name].acquire(ENGINE, 0.3)
        if permit is not None:
            self.engine.running += 1
        return permit

    async def acquire_in_rounds(self, names, wanted=0):
        """
        Acquire permits in rounds, in each of which every node requests one.

        :param wanted: number of permits to wait for; a further ``ROUNDS_AFTER``
            rounds then show whether more than the limit are granted.
        """
        found = []
        async with asyncio.timeout(WAIT_S):
            while len(found) < wanted:
                found += await self._acquire_one_each(names)
        for _ in range(ROUNDS_AFTER):
            found += await self._acquire_one_each(names)
        return found

    async def _acquire_one_each(self, names):
        await asyncio.sleep(0.1)
        permits = [await self.acquire(name) for name in names]
        return [permit for permit in permits if permit is not None]


def fleet_of(configuration):
    fleet = FleetTable("cebu-1")
    fleet.configure(configuration.current)
    return fleet


@contextlib.asynccontextmanager
async def group(limit=4, count=4):
    document = example_configuration(["127.0.0.1:1"])
    servers = tuple(attrs.evolve(s, cold_limit=limit) for s in document.backend_servers)
    configuration = ConfigurationHolder()
    configuration.adopt(1, attrs.evolve(document, backend_servers=servers))
    network, engine, clock = Network(), Engine(), SystemClock()
    names = [f"n{i}" for i in range(count)]
    infos = tuple(NodeInfo(name, "cebu-1", name, name) for name in names)
    members = {i.node_id: MembershipHolder(i, View(infos)) for i in infos}
    permits = {
        name: Permits(
            fleet_of(configuration),
            engine,
            configuration,
            network.create_bus(name),
            members[name],
            clock,
            POLICY,
        )
        for name in names
    }
    tasks = {name: asyncio.create_task(permits[name].run()) for name in names}
    try:
        await until(lambda: all(p._seen.share("n0", "x", 9) for p in permits.values()))
        yield Group(network, engine, permits, members, tasks)
    finally:
        for task in tasks.values():
            task.cancel()
        await asyncio.gather(*tasks.values(), return_exceptions=True)


async def test_all_nodes_share_one_limit_and_a_release_frees_a_permit():
    async with group() as g:
        found = await g.acquire_in_rounds(g.permits, 4)
        assert len(found) == 4
        g.engine.running -= 1
        await g.permits["n0"].release(found[0])
        assert len(await g.acquire_in_rounds(g.permits, 1)) == 1


async def test_dead_grantor_is_followed_within_the_other_shares():
    async with group() as g:
        first = await g.acquire_in_rounds([g.grantor], 4)
        assert len(first) == 4
        dead = g.grantor
        rest = [name for name in g.permits if name != dead]
        shares = g.permits[rest[0]]._seen.share(dead, ENGINE, 4)
        await g.kill(dead)
        g.set_views(rest, rest)
        assert not await g.acquire_in_rounds(rest)
        # The requests of the dead node end, but its share is not granted again until
        # it is forgotten.
        g.engine.running = 0
        assert len(await g.acquire_in_rounds(rest, 4 - shares)) == 4 - shares


async def test_two_sides_of_a_cut_grant_no_more_than_the_limit():
    async with group() as g:
        left, right = ["n0", "n1"], ["n2", "n3"]
        g.network.partition(left, right)
        g.set_views(left, left)
        g.set_views(right, right)
        both = await asyncio.gather(
            g.acquire_in_rounds(left), g.acquire_in_rounds(right)
        )
        assert sum(map(len, both)) <= 4
        g.network.heal()
        g.set_views(g.permits, g.permits)
        rest = 4 - sum(map(len, both))
        assert len(await g.acquire_in_rounds(g.permits, rest)) == rest


async def test_no_permit_is_granted_for_a_silent_engine():
    async with group() as g:
        g.engine.silent = True
        assert not await g.acquire_in_rounds(["n0"])
        g.engine.silent = False
        assert await g.acquire_in_rounds(["n0"], 1)


async def test_stopping_grantor_hands_over():
    async with group() as g:
        assert await g.acquire_in_rounds([g.grantor], 4)
        old = g.grantor
        g.engine.running = 0
        infos = tuple(
            attrs.evolve(m.own, stopping=m.own.node_id == old)
            for m in g.members.values()
        )
        for holder in g.members.values():
            holder.view = View(infos)
        await g.permits[old].hand_over()
        rest = [name for name in g.permits if name != old]
        assert not g.permits[old]._managed
        assert len(await g.acquire_in_rounds(rest, 4)) == 4


def load_tests(loader, tests, pattern):
    return collect(globals())

"""Membership of running nodes over an in-memory network and over sockets."""

import contextlib
import random
import types

import attrs

from tanagerkeel.clock import ManualClock
from tanagerkeel.configuration import ConfigurationHolder
from tanagerkeel.entry import EntryNode
from tanagerkeel.entry._membership_task import MembershipTask
from tanagerkeel.membership import MembershipHolder, NodeInfo, View
from tanagerkeel.standins import PlatformStandIn
from tests.fixtures import entry_settings, serving, until
from tests.fixtures_peers import Network, running_tasks
from tests.support import collect


@attrs.define
class Cluster:
    """Membership tasks on an in-memory network, with a manual clock."""

    network: Network
    tasks: dict = attrs.field(factory=dict)

    def add(self, index, seeds=()):
        address = f"10.0.0.{index}:1"
        own = NodeInfo(f"node-{index}", "cebu-1", address, address, index)
        # The parts of a node's context that the task uses.
        context = types.SimpleNamespace(
            settings=types.SimpleNamespace(peers=tuple(seeds)),
            clock=self.network.clock,
            random=random.Random(index),
            configuration=ConfigurationHolder(),
            members=MembershipHolder(own, View((own,))),
            bus=self.network.create_bus(address),
        )
        self.tasks[address] = MembershipTask(context)
        return address

    def members(self, address):
        return self.tasks[address]._context.members

    def visible(self, address):
        return {n.peers_address for n in self.members(address).view.nodes}


@contextlib.asynccontextmanager
async def _cluster(count):
    cluster = Cluster(Network(clock=ManualClock()))
    first = cluster.add(0)
    addresses = [first, *(cluster.add(i, (first,)) for i in range(1, count))]
    async with running_tasks(t.run() for t in cluster.tasks.values()):
        await cluster.network.pass_time(8.0)
        assert all(cluster.visible(a) == set(addresses) for a in addresses)
        yield cluster, addresses


async def test_partition_of_a_failure_domain_heals():
    async with _cluster(5) as (cluster, addresses):
        left, right = addresses[:2], addresses[2:]
        cluster.network.partition(left, right)
        await cluster.network.pass_time(14.0)
        assert all(cluster.visible(a) == set(left) for a in left)
        assert all(cluster.visible(a) == set(right) for a in right)
        cluster.network.heal()
        await cluster.network.pass_time(20.0)
        assert all(cluster.visible(a) == set(addresses) for a in addresses)
        assert all(cluster.members(a).views_agree for a in addresses)


async def test_node_cut_off_from_all_is_stale_until_contact_returns():
    async with _cluster(3) as (cluster, addresses):
        isolated = addresses[2]
        cluster.network.partition([isolated], addresses[:2])
        await cluster.network.pass_time(18.0)
        assert cluster.members(isolated).stale
        assert not cluster.members(addresses[0]).stale
        cluster.network.heal()
        await cluster.network.pass_time(16.0)
        assert not cluster.members(isolated).stale


async def test_paused_node_is_removed_and_rejoins():
    async with _cluster(4) as (cluster, addresses):
        network, paused = cluster.network, addresses[3]
        # Messages to the paused process wait in its socket; it sends none.
        network.pause(paused)
        network.partition([paused], [])
        for other in addresses[:3]:
            network.cut_one_way(paused, other)
        await network.pass_time(12.0)
        assert paused not in cluster.visible(addresses[0])
        network.heal()
        network.resume(paused)
        await network.pass_time(10.0)
        assert all(cluster.visible(a) == set(addresses) for a in addresses)


async def test_stop_and_leave_are_known_at_once():
    async with _cluster(3) as (cluster, addresses):
        stopping = addresses[1]
        await cluster.tasks[stopping].announce_stopping()
        await cluster.network.pass_time(0.1)
        for address in addresses:
            nodes = cluster.members(address).view.nodes
            assert [n.stopping for n in nodes] == [False, True, False]
        await cluster.tasks[stopping].leave()
        await cluster.network.pass_time(0.1)
        assert stopping not in cluster.visible(addresses[0])


async def test_nodes_find_each_other_through_the_platform():
    async with contextlib.AsyncExitStack() as stack:
        platform = await stack.enter_async_context(serving(PlatformStandIn().app()))
        nodes = [EntryNode(entry_settings(platform, f"node-{i}")) for i in range(3)]
        for node in nodes:
            await node.start()
            stack.push_async_callback(node.stop)
        await until(lambda: all(len(n.context.members.view.nodes) == 3 for n in nodes))


async def test_node_finds_its_peer_while_the_platform_is_down():
    async with contextlib.AsyncExitStack() as stack:
        first = EntryNode(entry_settings("127.0.0.1:1", "node-0"))
        await first.start()
        stack.push_async_callback(first.stop)
        peers = (first.context.members.own.peers_address,)
        settings = attrs.evolve(entry_settings("127.0.0.1:1", "node-1"), peers=peers)
        second = EntryNode(settings)
        await second.start()
        stack.push_async_callback(second.stop)
        await until(lambda: len(first.context.members.view.nodes) == 2)


def load_tests(loader, tests, pattern):
    return collect(globals())

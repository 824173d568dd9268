"""Quarantined requests and account usage reach all nodes within a byte budget."""

import types
from random import Random

from tanagerkeel.admission import Admission
from tanagerkeel.clock import ManualClock
from tanagerkeel.configuration import (
    ClientAccount,
    Configuration,
    ConfigurationHolder,
    FailureDomain,
)
from tanagerkeel.entry._domains_task import DomainsTask
from tanagerkeel.entry._quarantine_task import QuarantineTask
from tanagerkeel.entry._usage_exchange import UsageExchange
from tanagerkeel.gateways.platform import PlatformUnavailable
from tanagerkeel.membership import MembershipHolder, NodeInfo, View
from tanagerkeel.quarantine import Quarantine
from tests.fixtures_peers import Network, running_tasks
from tests.support import collect

POISON = "f" * 32


def _nodes(domain, count):
    return tuple(
        NodeInfo(f"{domain}-{i}", domain, f"{domain}-{i}:1", f"{domain}-{i}:2")
        for i in range(count)
    )


class UnavailablePlatform:
    async def list(self, prefix):
        raise PlatformUnavailable("down")


class Node:
    """Quarantine, usage and summaries of one node, on an in-memory network."""

    def __init__(self, network, own, view, domains):
        configuration = ConfigurationHolder()
        account = ClientAccount("agency-1", "oath", ())
        failure_domains = tuple(FailureDomain(d, "visayas") for d in domains)
        configuration.adopt(
            1,
            Configuration(client_accounts=(account,), failure_domains=failure_domains),
        )
        self.context = types.SimpleNamespace(
            settings=types.SimpleNamespace(failure_domain=own.failure_domain),
            clock=network.clock,
            random=Random(own.node_id),
            configuration=configuration,
            members=MembershipHolder(own, View(view)),
            fleet=types.SimpleNamespace(snapshots=lambda now: ()),
            quarantine=Quarantine(),
            admission=Admission(network.clock, 10, 10),
            bus=network.create_bus(own.peers_address),
            platform=UnavailablePlatform(),
        )
        self.domains = DomainsTask(self.context)
        self.quarantine_task = QuarantineTask(self.context, self.domains.queue_suspect)
        self.domains.on_suspect = self.quarantine_task.merge_remote
        self.usage = UsageExchange(self.context, self.domains.summaries)
        self.domains.usage = self.usage.for_summary

    @property
    def domain(self):
        return self.context.settings.failure_domain

    @property
    def address(self):
        return self.context.members.own.peers_address

    @property
    def refuses(self):
        now = self.context.clock.monotonic()
        return self.context.quarantine.remaining_s(POISON, now) > 0


def _system(domains=("east", "west", "south"), count=3):
    network = Network(clock=ManualClock())
    views = {d: _nodes(d, count) for d in domains}
    nodes = {
        own.node_id: Node(network, own, view, domains)
        for view in views.values()
        for own in view
    }
    # Each node knows one node of each other failure domain, as it would after it
    # received a summary.
    for node in nodes.values():
        for domain, view in views.items():
            if domain != node.context.settings.failure_domain:
                summary = nodes[view[0].node_id].domains._summary("none")
                node.domains.summaries.store(summary, network.clock.monotonic())
    return network, nodes


def _bodies(nodes):
    for node in nodes.values():
        yield node.domains.run()
        yield node.quarantine_task.run()


async def test_quarantine_reaches_every_node_of_every_domain():
    network, nodes = _system()
    async with running_tasks(_bodies(nodes)):
        await network.pass_time(3.0)
        quarantine = nodes["east-1"].context.quarantine
        for life in ("one", "two"):
            quarantine.record_start("engine-1", life, POISON, life)
            quarantine.record_death("engine-1", network.clock.monotonic())
            quarantine.record_end("engine-1", life)
        await network.pass_time(8.0)
        assert all(node.refuses for node in nodes.values())


async def test_many_suspects_stay_within_the_byte_budget():
    network, nodes = _system(("east",), 5)
    async with running_tasks(_bodies(nodes)):
        network.sent.clear()
        quarantine = nodes["east-1"].context.quarantine
        for second in range(60):
            for index in range(20):
                name = f"{second:04}{index:028}"
                quarantine.record_start("engine-1", name, name, str(second))
            quarantine.record_death("engine-1", network.clock.monotonic())
            await network.pass_time(1.0)
        sent = sum(75 + size for _, _, _, size in network.sent)
        assert 0 < sent / 60 <= 150 + 12_000 / 60 + 50


async def test_usage_is_summed_over_nodes_and_not_echoed_between_domains():
    network, nodes = _system(("east", "west"), 2)
    east, peer, west = nodes["east-0"], nodes["east-1"], nodes["west-0"]
    for node, tokens in ((east, 30_000), (peer, 10_000)):
        node.context.admission._usage.record_admitted(
            "agency-1", tokens, network.clock.monotonic()
        )
    network.clock.advance(1.0)
    east.usage.record_usage("east-1", peer.usage.for_probe())
    own = east.usage.for_probe().own[0].tokens
    summed = east.usage.for_summary()[0].tokens
    assert abs(summed - own * 4 / 3) <= 2
    west.domains.summaries.store(
        east.domains._summary("west"), network.clock.monotonic()
    )
    assert west.usage.for_probe().remote[0].tokens == summed
    # Usage that west received from east must not be reported back as west's own.
    nodes["west-1"].usage.record_usage("west-0", west.usage.for_probe())
    assert nodes["west-1"].usage.for_summary() == ()


async def _looked_up(nodes, domain, of):
    summaries = [await n.domains.look_up(of) for n in nodes if n.domain == domain]
    return [summary is not None for summary in summaries]


async def test_summaries_recover_after_a_partition_with_new_responsible_nodes():
    network, nodes = _system(("east", "west"), 4)
    east = [n for n in nodes.values() if n.domain == "east"]
    west = [n for n in nodes.values() if n.domain == "west"]
    async with running_tasks(_bodies(nodes)):
        await network.pass_time(6.0)
        assert await _looked_up(east, "east", "west") == [True] * 4
        left = [n.address for n in east]
        right = [n.address for n in west]
        network.partition(left, right)
        await network.pass_time(15.0)
        assert await _looked_up(east, "east", "west") == [False] * 4
        # Both responsible nodes die during the partition, and the platform, which
        # could list the remaining nodes, is down.
        responsible_nodes = [
            east[0].domains._responsible_node("west"),
            west[0].domains._responsible_node("east"),
        ]
        for node in nodes.values():
            view = node.context.members.view
            node.context.members.view = View(
                tuple(n for n in view.nodes if n not in responsible_nodes)
            )
        for responsible in responsible_nodes:
            del network.buses[responsible.peers_address]
        network.heal()
        await network.pass_time(20.0)
        alive = [n for n in east if n.context.members.own not in responsible_nodes]
        assert await _looked_up(alive, "east", "west") == [True] * 3


async def test_summary_sent_to_a_node_that_is_not_responsible_is_forwarded_once():
    network, nodes = _system(("east", "west"), 3)
    west = [n for n in nodes.values() if n.domain == "west"]
    responsible = west[0].domains._responsible_node("east")
    other = next(n for n in west if n.context.members.own != responsible)
    summary = nodes["east-0"].domains._summary("west")
    async with running_tasks(_bodies({n.address: n for n in west})):
        await network.pass_time(0.1)
        network.sent.clear()
        await nodes["east-0"].context.bus.send(other.address, summary)
        await network.pass_time(0.3)
    passed = [(a, b) for a, b, kind, _ in network.sent if kind == 70 and a != b]
    assert (other.address, responsible.peers_address) in passed
    assert passed.count((responsible.peers_address, other.address)) == 0


def load_tests(loader, tests, pattern):
    return collect(globals())

"""The membership protocol, in a simulation whose time passes in probe periods."""

import itertools
from random import Random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel.membership import MemberStatus, MemberUpdate, NodeInfo, Swim, View
from tanagerkeel.membership._swim import MAX_UPDATES_PER_MESSAGE
from tests.support import collect


def _info(index, incarnation=1):
    address = f"10.0.0.{index}:1"
    return NodeInfo(f"node-{index:02}", "cebu-1", address, address, incarnation)


@attrs.define
class Simulation:
    """
    All nodes probe in lockstep, over a network that can lose messages and be cut.

    :param count: number of nodes at the start.
    :param loss: probability that a message is lost.
    :param random: source of randomness.
    :param nodes: running nodes by id.
    :param paused: ids of nodes whose process is paused.
    :param cut: pairs of sender and receiver between which messages are lost.
    :param now: time in seconds.
    :param message_count: number of messages sent.
    :param max_updates: largest number of updates in a message.
    """

    count: int
    loss: float = 0.0
    random: Random = attrs.field(factory=lambda: Random(7))
    nodes: dict = attrs.field(factory=dict)
    paused: set = attrs.field(factory=set)
    cut: set = attrs.field(factory=set)
    now: float = 0.0
    message_count: int = 0
    max_updates: int = 0

    def __attrs_post_init__(self):
        for index in range(self.count):
            self.start(_info(index))

    def start(self, info):
        node = self.nodes[info.node_id] = Swim(info, Random(info.node_id))
        for other in self.nodes.values():
            if other is not node and other.own.node_id not in self.paused:
                self.exchange(info.node_id, other.own.node_id)
                break

    def exchange(self, a, b):
        if self.try_send(a, b) and self.try_send(b, a):
            self.nodes[b].receive(self.nodes[a].state(), self.now)
            self.nodes[a].receive(self.nodes[b].state(), self.now)

    def try_send(self, a, b):
        self.message_count += 1
        alive = b in self.nodes and b not in self.paused
        return alive and (a, b) not in self.cut and self.random.random() >= self.loss

    def partition(self, left, right):
        for a, b in itertools.product(left, right):
            self.cut |= {(a, b), (b, a)}

    def ping(self, a, b):
        if not self.try_send(a, b):
            return False
        self.send_updates(a, b)
        if not self.try_send(b, a):
            return False
        self.send_updates(b, a)
        return True

    def send_updates(self, a, b):
        updates = self.nodes[a].take_updates(b)
        self.max_updates = max(self.max_updates, len(updates))
        self.nodes[b].receive(updates, self.now)

    def run_period(self):
        self.now += 1.0
        for name, node in tuple(self.nodes.items()):
            if name in self.paused:
                continue
            node.tick(self.now)
            target = node.next_target()
            if target is not None:
                self.probe(name, node, target)
                self.announce(target.node_id)
            dead_nodes = node.dead_nodes()
            if dead_nodes and int(self.now) % 5 == 0:
                self.exchange(name, self.random.choice(dead_nodes).node_id)

    def probe(self, name, node, target):
        other = target.node_id
        if self.ping(name, other):
            if node.view.digest != self.nodes[other].view.digest:
                self.exchange(name, other)
            return
        for prober_info in node.indirect_probers(target, 2):
            prober = prober_info.node_id
            if self.ping(name, prober) and self.ping(prober, other):
                return
        suspicion = node.record_probe_failure(target, self.now)
        if suspicion is not None and self.try_send(name, other):
            self.nodes[other].receive((suspicion,), self.now)

    def announce(self, name):
        node = self.nodes.get(name)
        refutation = node.take_refutation() if node is not None else None
        for other in self.nodes:
            if refutation is not None and other != name and self.try_send(name, other):
                self.nodes[other].receive((refutation,), self.now)

    def run(self, periods):
        for _ in range(periods):
            self.run_period()

    def visible_nodes(self, name):
        return {node.node_id for node in self.nodes[name].view.nodes}

    def views_agree(self):
        live = [n for n in self.nodes if n not in self.paused]
        return len({self.nodes[n].view.digest for n in live}) == 1


def test_all_nodes_join_and_agree():
    simulation = Simulation(15)
    simulation.run(10)
    assert all(len(simulation.visible_nodes(n)) == 15 for n in simulation.nodes)
    assert simulation.views_agree()


def test_dead_node_is_gone_within_eight_periods():
    for seed in range(20):
        simulation = Simulation(15, random=Random(seed))
        simulation.run(10)
        del simulation.nodes["node-03"]
        simulation.run(8)
        views = [simulation.visible_nodes(n) for n in simulation.nodes]
        assert all("node-03" not in view for view in views), seed
        assert all(len(view) == 14 for view in views), seed


def test_message_loss_removes_nodes_only_rarely():
    simulation = Simulation(12, loss=0.1)
    simulation.run(15)
    missing = 0
    for _ in range(200):
        simulation.run_period()
        missing += sum(12 - len(simulation.visible_nodes(n)) for n in simulation.nodes)
    # Of 1,000 checks for one node in one view, at most one finds it missing.
    assert missing <= 12 * 12 * 200 / 1_000, missing
    simulation.loss = 0.0
    simulation.run(10)
    assert all(len(simulation.visible_nodes(n)) == 12 for n in simulation.nodes)


def test_partition_splits_and_heals():
    simulation = Simulation(9)
    simulation.run(10)
    names = sorted(simulation.nodes)
    simulation.partition(names[:3], names[3:])
    simulation.run(15)
    assert all(simulation.visible_nodes(n) == set(names[:3]) for n in names[:3])
    assert all(simulation.visible_nodes(n) == set(names[3:]) for n in names[3:])
    simulation.cut.clear()
    simulation.run(25)
    assert all(simulation.visible_nodes(n) == set(names) for n in names)


def test_one_way_cut_is_bridged_by_indirect_probes():
    simulation = Simulation(6)
    simulation.run(10)
    simulation.cut.add(("node-00", "node-01"))
    for _ in range(60):
        simulation.run_period()
        assert all(len(simulation.visible_nodes(n)) == 6 for n in simulation.nodes)


def test_paused_node_resumes_late_and_rejoins():
    simulation = Simulation(8)
    simulation.run(10)
    simulation.paused.add("node-02")
    simulation.run(30)
    assert "node-02" not in simulation.visible_nodes("node-00")
    simulation.paused.clear()
    simulation.run_period()
    # It received nothing while it was paused, and still declares no node dead.
    assert len(simulation.visible_nodes("node-02")) == 8
    simulation.run(12)
    assert all(len(simulation.visible_nodes(n)) == 8 for n in simulation.nodes)


def test_restart_with_clock_set_back_is_accepted():
    simulation = Simulation(5)
    simulation.run(10)
    del simulation.nodes["node-04"]
    simulation.start(_info(4, incarnation=0))
    simulation.run(10)
    for node in simulation.nodes.values():
        found = next(n for n in node.view.nodes if n.node_id == "node-04")
        assert found == simulation.nodes["node-04"].own
    assert simulation.nodes["node-04"].own.incarnation >= 1


def test_leave_is_final_for_that_process():
    simulation = Simulation(5)
    simulation.run(10)
    leaving = simulation.nodes["node-01"]
    for node in simulation.nodes.values():
        node.receive((leaving.leave(),), simulation.now)
    old = simulation.nodes.pop("node-01").own
    simulation.run(3)
    late = MemberUpdate(attrs.evolve(old, update_number=0), MemberStatus.ALIVE)
    simulation.nodes["node-00"].receive((late,), simulation.now)
    assert "node-01" not in simulation.visible_nodes("node-00")
    assert not simulation.nodes["node-00"].dead_nodes()


def test_messages_per_node_do_not_grow_with_the_domain():
    for count in (3, 24):
        simulation = Simulation(count)
        simulation.run(20)
        simulation.message_count = 0
        simulation.run(50)
        assert simulation.message_count == 2 * 50 * count
        assert simulation.max_updates <= MAX_UPDATES_PER_MESSAGE


def test_nodes_of_other_domains_are_ignored():
    node = Swim(_info(0), Random(1))
    other_domain_node = attrs.evolve(_info(1), failure_domain="cebu-2")
    node.receive((MemberUpdate(other_domain_node, MemberStatus.ALIVE),), 0.0)
    assert node.view == View((_info(0),))


_updates = st.builds(
    MemberUpdate,
    st.builds(
        lambda i, r: attrs.evolve(_info(1, i), update_number=r),
        st.integers(0, 2),
        st.integers(0, 2),
    ),
    st.sampled_from(MemberStatus),
)


@settings(derandomize=True, deadline=None, max_examples=200)
@given(st.lists(_updates, max_size=6), st.randoms(use_true_random=False))
def test_order_of_messages_does_not_matter(updates, shuffler):
    first = MemberUpdate(_info(1, 0), MemberStatus.ALIVE)
    results = set()
    for _ in range(3):
        node = Swim(_info(0), Random(1))
        node.receive((first,), 0.0)
        node.receive(tuple(updates), 0.0)
        results.add(node.state())
        shuffler.shuffle(updates)
    assert len(results) == 1


def load_tests(loader, tests, pattern):
    return collect(globals())

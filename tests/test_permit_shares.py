"""Permits under partitions, pauses, deaths and differing views: never too many."""

import heapq
import itertools
import random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel.fleet import Grantor, PermitPolicy, SeenNodes, ShareLender
from tanagerkeel.rendezvous import rendezvous
from tests.support import collect

BACKEND = "engine-1"
POLICY = PermitPolicy()
# As the task does it.
NEWS_S = 0.5


@attrs.define
class SimNode:
    name: str
    view: tuple
    seen: SeenNodes
    lender: ShareLender
    grantor: Grantor
    paused: bool = False
    dead: bool = False
    held: list = attrs.field(factory=list)
    refused: int = 0

    @property
    def believed_grantor(self):
        return rendezvous(f"grantor/{BACKEND}", self.view)[0]


@attrs.define
class Simulation:
    """
    Nodes, an engine, and messages that take up to half a second or are lost.

    :param seed: what happens, and when.
    :param limit: concurrent requests that the engine bears.
    :param faults: share of the seconds in which something fails.
    """

    seed: int
    limit: int
    faults: float
    policy: PermitPolicy = POLICY
    nodes: dict = attrs.field(factory=dict)
    running: int = 0
    most: int = 0
    granted: int = 0
    dispatched: int = 0
    now: float = 100.0
    cut: set = attrs.field(factory=set)
    _queue: list = attrs.field(factory=list)
    _order: "itertools.count" = attrs.field(factory=itertools.count)
    _random: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._random = random.Random(self.seed)
        names = tuple(f"n{i}" for i in range(4))
        for name in names:
            self._start(name, names)

    def run(self, seconds):
        for name in self.nodes:
            self.at(self._random.random(), lambda n=name: self._tick(n))
            self.at(self._random.random(), lambda n=name: self._want(n))
        self.at(1.0, self._strike)
        end_s = self.now + seconds
        while self._queue and self._queue[0][0] < end_s:
            self.step()
        return self

    def step(self):
        self.now, _, action = heapq.heappop(self._queue)
        action()

    def at(self, delay_s, action):
        heapq.heappush(self._queue, (self.now + delay_s, next(self._order), action))

    def _start(self, name, view):
        seen = SeenNodes(self.policy)
        seen.observe(view, self.now)
        lender = ShareLender(name, self.policy, seen, self.now)
        grantor = Grantor(self.policy, self.now)
        self.nodes[name] = SimNode(name, view, seen, lender, grantor)

    def send(self, source, target, action):
        """Carry a message; a paused node takes it when it wakes."""
        if (source, target) in self.cut or self._random.random() < 0.05:
            return
        node = self.nodes[target]
        self.at(self._random.uniform(0.001, 0.5), lambda: self._act(node, action))

    def _act(self, node, action):
        if node.paused:
            node.held.append(action)
        elif self.nodes[node.name] is node and not node.dead:
            action(node)

    def _tick(self, name):
        self.at(NEWS_S, lambda: self._tick(name))
        self._act(self.nodes[name], self._refresh)

    def _refresh(self, node):
        node.seen.observe(node.view, self.now)
        if node.believed_grantor != node.name:
            node.grantor.stop()
            return
        asked_s = self.now
        for name in node.view:
            self.send(
                node.name,
                name,
                lambda lender: self._lend(lender, node, asked_s),
            )
        # Reports are old, and come late.
        measured_s = self.now + 0.02
        self.at(0.02, lambda: self._measure(node, measured_s, asked_s))

    def _measure(self, node, measured_s, asked_s):
        running = self.running
        # The engine is often silent, so what is known of it is old.
        if self._random.random() < 0.6:
            return
        self.at(
            self._random.uniform(0.0, 1.0),
            lambda: self._act(node, lambda n: n.grantor.take_report(running, asked_s)),
        )

    def _lend(self, lender, borrower, asked_s):
        count = lender.lender.lend(
            BACKEND, self.limit, borrower.name, lender.believed_grantor, self.now
        )
        self.send(
            lender.name,
            borrower.name,
            lambda node: node.grantor.take_share(lender.name, count, asked_s),
        )

    def _want(self, name):
        self.at(self._random.expovariate(4.0), lambda: self._want(name))
        self._act(self.nodes[name], self._ask)

    def _ask(self, node):
        expires_s = self.now + self.policy.permit_ttl_s
        permit_id = f"p{next(self._order)}"
        self.send(
            node.name,
            node.believed_grantor,
            lambda grantor: self._decide(grantor, node, permit_id, expires_s),
        )

    def _decide(self, grantor, holder, permit_id, expires_s):
        if grantor.believed_grantor != grantor.name:
            return
        if not grantor.grantor.grant(permit_id, self.limit, self.now):
            grantor.refused += 1
            return
        self.granted += 1
        self.send(
            grantor.name,
            holder.name,
            lambda node: self._dispatch(node, grantor, permit_id, expires_s),
        )

    def _dispatch(self, holder, grantor, permit_id, expires_s):
        # The holder looks at its clock right before it sends.
        if self.now >= expires_s:
            return
        self.dispatched += 1
        self.at(
            self._random.uniform(0.0, self.policy.flight_s * 0.99),
            lambda: self._arrive(holder, grantor, permit_id),
        )

    def _arrive(self, holder, grantor, permit_id):
        self.running += 1
        self.most = max(self.most, self.running)
        self.at(
            self._random.uniform(0.1, 20.0),
            lambda: self._finish(holder, grantor, permit_id),
        )

    def _finish(self, holder, grantor, permit_id):
        # The engine goes on also when the holder is paused or dead.
        self.running -= 1
        self._act(
            holder,
            lambda node: self.send(
                node.name,
                grantor.name,
                lambda g: g.grantor.release(permit_id, self.now),
            ),
        )

    def _strike(self):
        self.at(self._random.uniform(0.2, 2.0), self._strike)
        if self._random.random() >= self.faults:
            return
        node = self._random.choice(list(self.nodes.values()))
        strikes = (self._pause, self._restart, self._change_view, self._partition)
        self._random.choice(strikes)(node)

    def _pause(self, node):
        node.paused = True
        self.at(self._random.uniform(0.1, 12.0), lambda: self._wake(node))

    def _wake(self, node):
        node.paused = False
        held, node.held = node.held, []
        for action in held:
            self._act(node, action)

    def _restart(self, node):
        node.dead = True
        names = tuple(self.nodes)
        # Sees itself and whom it happens to hear.
        heard = [n for n in names if n == node.name or self._random.random() < 0.9]
        self._start(node.name, names)
        self.nodes[node.name].view = tuple(heard)

    def _change_view(self, node):
        names = tuple(self.nodes)
        node.view = tuple(
            n for n in names if n == node.name or self._random.random() < 0.6
        )
        self.at(self._random.uniform(1.0, 15.0), lambda: self._mend(node))

    def _mend(self, node):
        node.view = tuple(self.nodes)

    def _partition(self, _):
        names = list(self.nodes)
        side = [n for n in names if self._random.random() < 0.5]
        rest = [n for n in names if n not in side]
        pairs = {(a, b) for a in side for b in rest} | {
            (b, a) for a in side for b in rest if self._random.random() < 0.8
        }
        self.cut |= pairs
        for group in (side, rest):
            for name in group:
                self.nodes[name].view = tuple(group)
        self.at(self._random.uniform(1.0, 20.0), lambda: self._heal(pairs))

    def _heal(self, pairs):
        self.cut -= pairs
        for node in self.nodes.values():
            node.view = tuple(self.nodes)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.integers(0, 2**32), st.integers(1, 6), st.sampled_from([0.0, 0.3, 0.9]))
def test_never_more_than_the_limit_runs(seed, limit, faults):
    simulation = Simulation(seed, limit, faults).run(90.0)
    assert simulation.most <= limit, (simulation.most, limit)


def test_limit_is_reached_when_nothing_fails():
    for limit in (1, 2, 4):
        simulation = Simulation(7, limit, 0.0).run(90.0)
        assert simulation.most == limit
        assert simulation.dispatched > 5 * limit


class GrantsWholeLimit(Grantor):
    def effective_limit(self, limit, now):
        return limit


class CountsReportsOnly(Grantor):
    def grant(self, permit_id, limit, now):
        granted = super().grant(permit_id, limit, now)
        self._granted.pop(permit_id, None)
        return granted


class LendsToAnybody(ShareLender):
    def lend(self, backend, limit, borrower, grantor, now):
        self._lent.clear()
        return super().lend(backend, limit, borrower, borrower, now)


def test_simulation_finds_each_safeguard_missing():
    for kind in (GrantsWholeLimit, CountsReportsOnly, LendsToAnybody):
        assert any(_is_over(seed, kind) for seed in range(50)), kind.__name__


def _is_over(seed, kind):
    class Weakened(Simulation):
        def _start(self, name, view):
            super()._start(name, view)
            node = self.nodes[name]
            if issubclass(kind, Grantor):
                node.grantor = kind(self.policy, self.now)
            else:
                node.lender = kind(name, self.policy, node.seen, self.now)

    return Weakened(seed, 2, 0.9).run(60.0).most > 2


def load_tests(loader, tests, pattern):
    return collect(globals())

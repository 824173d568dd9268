"""
Permits in a simulation with partitions, pauses, restarts and differing views.

This guards against too many concurrent requests on a backend server, as when two nodes
consider themselves its grantor, or a grantor does not count requests in transit.
"""

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
# Interval of the permits task.
REFRESH_S = 0.5


@attrs.define
class SimNode:
    name: str
    view: tuple
    seen: SeenNodes
    lender: ShareLender
    grantor: Grantor
    paused: bool = False
    dead: bool = False
    deferred: list = attrs.field(factory=list)
    refused: int = 0

    @property
    def believed_grantor(self):
        return rendezvous(f"grantor/{BACKEND}", self.view)[0]


@attrs.define
class Simulation:
    """
    Nodes, an engine, and messages that take up to 0.5 s or are lost.

    :param seed: seed of all random events.
    :param limit: concurrency limit of the engine.
    :param faults: probability of a fault at each opportunity, 0.2 to 2 s apart.
    """

    seed: int
    limit: int
    faults: float
    policy: PermitPolicy = POLICY
    nodes: dict = attrs.field(factory=dict)
    running: int = 0
    max_running: int = 0
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
            self.at(self._random.random(), lambda n=name: self._request_permits(n))
        self.at(1.0, self._inject_fault)
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
        seen.update(view, self.now)
        lender = ShareLender(name, self.policy, seen, self.now)
        grantor = Grantor(self.policy, self.now)
        self.nodes[name] = SimNode(name, view, seen, lender, grantor)

    def send(self, source, target, action):
        """Deliver or lose a message; a paused node handles it when it resumes."""
        if (source, target) in self.cut or self._random.random() < 0.05:
            return
        node = self.nodes[target]
        self.at(self._random.uniform(0.001, 0.5), lambda: self._run_on(node, action))

    def _run_on(self, node, action):
        if node.paused:
            node.deferred.append(action)
        elif self.nodes[node.name] is node and not node.dead:
            action(node)

    def _tick(self, name):
        self.at(REFRESH_S, lambda: self._tick(name))
        self._run_on(self.nodes[name], self._refresh)

    def _refresh(self, node):
        node.seen.update(node.view, self.now)
        if node.believed_grantor != node.name:
            node.grantor.drop_shares()
            return
        requested_s = self.now
        for name in node.view:
            self.send(
                node.name,
                name,
                lambda lender: self._lend(lender, node, requested_s),
            )
        # The report is measured 20 ms after the shares are requested, and arrives late.
        measured_s = self.now + 0.02
        self.at(0.02, lambda: self._report_load(node, measured_s, requested_s))

    def _report_load(self, node, measured_s, requested_s):
        running = self.running
        # Most reports are lost, so the grantor's last report is often old.
        if self._random.random() < 0.6:
            return
        self.at(
            self._random.uniform(0.0, 1.0),
            lambda: self._run_on(
                node, lambda n: n.grantor.record_report(running, requested_s)
            ),
        )

    def _lend(self, lender, borrower, requested_s):
        count = lender.lender.lend(
            BACKEND, self.limit, borrower.name, lender.believed_grantor, self.now
        )
        self.send(
            lender.name,
            borrower.name,
            lambda node: node.grantor.record_share(lender.name, count, requested_s),
        )

    def _request_permits(self, name):
        self.at(self._random.expovariate(4.0), lambda: self._request_permits(name))
        self._run_on(self.nodes[name], self._request_permit)

    def _request_permit(self, node):
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
        # The holder checks the expiry right before it sends the request.
        if self.now >= expires_s:
            return
        self.dispatched += 1
        self.at(
            self._random.uniform(0.0, self.policy.max_transit_s * 0.99),
            lambda: self._arrive(holder, grantor, permit_id),
        )

    def _arrive(self, holder, grantor, permit_id):
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self.at(
            self._random.uniform(0.1, 20.0),
            lambda: self._finish(holder, grantor, permit_id),
        )

    def _finish(self, holder, grantor, permit_id):
        # The request ends on the engine even if its holder is paused or dead.
        self.running -= 1
        self._run_on(
            holder,
            lambda node: self.send(
                node.name,
                grantor.name,
                lambda g: g.grantor.release(permit_id, self.now),
            ),
        )

    def _inject_fault(self):
        self.at(self._random.uniform(0.2, 2.0), self._inject_fault)
        if self._random.random() >= self.faults:
            return
        node = self._random.choice(list(self.nodes.values()))
        faults_to_inject = (
            self._pause,
            self._restart,
            self._change_view,
            self._partition,
        )
        self._random.choice(faults_to_inject)(node)

    def _pause(self, node):
        node.paused = True
        self.at(self._random.uniform(0.1, 12.0), lambda: self._resume(node))

    def _resume(self, node):
        node.paused = False
        deferred, node.deferred = node.deferred, []
        for action in deferred:
            self._run_on(node, action)

    def _restart(self, node):
        node.dead = True
        names = tuple(self.nodes)
        # Its view holds itself and a random part of the other nodes.
        view = [n for n in names if n == node.name or self._random.random() < 0.9]
        self._start(node.name, names)
        self.nodes[node.name].view = tuple(view)

    def _change_view(self, node):
        names = tuple(self.nodes)
        node.view = tuple(
            n for n in names if n == node.name or self._random.random() < 0.6
        )
        self.at(self._random.uniform(1.0, 15.0), lambda: self._restore_view(node))

    def _restore_view(self, node):
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
    assert simulation.max_running <= limit, (simulation.max_running, limit)


def test_limit_is_reached_when_nothing_fails():
    for limit in (1, 2, 4):
        simulation = Simulation(7, limit, 0.0).run(90.0)
        assert simulation.max_running == limit
        assert simulation.dispatched > 5 * limit


class GrantsWholeLimit(Grantor):
    def effective_limit(self, limit, now):
        return limit


class CountsReportsOnly(Grantor):
    def grant(self, permit_id, limit, now):
        granted = super().grant(permit_id, limit, now)
        self._granted.pop(permit_id, None)
        return granted


class LendsToEveryBorrower(ShareLender):
    def lend(self, backend, limit, borrower, grantor, now):
        self._loans.clear()
        return super().lend(backend, limit, borrower, borrower, now)


def test_simulation_finds_each_safeguard_missing():
    for kind in (GrantsWholeLimit, CountsReportsOnly, LendsToEveryBorrower):
        assert any(_exceeds_limit(seed, kind) for seed in range(50)), kind.__name__


def _exceeds_limit(seed, kind):
    class Weakened(Simulation):
        def _start(self, name, view):
            super()._start(name, view)
            node = self.nodes[name]
            if issubclass(kind, Grantor):
                node.grantor = kind(self.policy, self.now)
            else:
                node.lender = kind(name, self.policy, node.seen, self.now)

    return Weakened(seed, 2, 0.9).run(60.0).max_running > 2


def load_tests(loader, tests, pattern):
    return collect(globals())

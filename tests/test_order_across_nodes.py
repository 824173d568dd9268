"""The order of waiting requests across the nodes of a failure domain."""

import collections
import heapq
import itertools
import math
import random
import types

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel import codec
from tanagerkeel.queueing import (
    BACKLOG_VALID_S,
    MAX_BACKLOGS,
    CallerCost,
    PeerBacklogs,
    WaitingRequest,
    YieldTimes,
    backlog_reports,
    should_yield,
)
from tanagerkeel.queueing._peer_backlogs import (
    LAST_CHANCE_S,
    MAX_YIELD_S,
    TAKE_S,
    YIELD_SHARE,
)
from tests.support import collect

SEED = 5
TICK_S = 0.01
NEVER = float("inf")


def _request(rank=5, due_s=10.0, give_up_s=30.0, work_ms=200.0, arrived_s=0.0, name=""):
    cost = CallerCost(1.0, 0.75)
    return WaitingRequest(name, "a", rank, cost, work_ms, arrived_s, due_s, give_up_s)


def _work(*requests):
    """Return what a queue reports of requests, by rank."""
    ordered = sorted(requests, key=lambda r: (r.rank, r.due_s))
    return tuple(
        types.SimpleNamespace(
            rank=rank,
            count=len(group),
            work_ms=sum(r.work_ms for r in group),
            oldest_due_s=group[0].due_s,
        )
        for rank, group in (
            (rank, list(found))
            for rank, found in itertools.groupby(ordered, key=lambda r: r.rank)
        )
    )


def _report(peers, node, *requests, sent_s=0.0, delay_s=0.0):
    reports = backlog_reports({"llm": _work(*requests)}, sent_s)
    peers.merge(node, reports, sent_s + delay_s)


def _yields(request, peers, free=1, waited_s=0.0, now=0.0, free_for_s=0.0):
    return should_yield(
        request, free, peers, "llm", waited_s, now, free_for_s=free_for_s
    )


@attrs.define
class _Node:
    """A node of the simulated fleet; ``yielding`` is False if it decides alone."""

    name: str
    peers: PeerBacklogs = attrs.field()
    yielding: bool = True
    frozen: bool = False
    waiting: list = attrs.field(factory=list)
    times: dict = attrs.field(factory=lambda: collections.defaultdict(YieldTimes))
    repeat_s: float = NEVER
    told: tuple = ()

    @peers.default
    def _own_peers(self):
        return PeerBacklogs(self.name)

    def choose(self, free, now):
        """Return the first request if it takes one of the free places."""
        self.waiting = [r for r in self.waiting if now <= r.give_up_s]
        self.waiting.sort(key=lambda r: (r.rank, r.due_s))
        if not self.waiting or self.frozen:
            return None
        first = self.waiting[0]
        times = self.times[first.request_id]
        if free <= 0:
            times.record_none_free(now)
            return None
        times.record_free(now)
        waited_s, free_s = times.waited_s(now), times.free_for_s(now)
        if self.yielding and _yields(first, self.peers, free, waited_s, now, free_s):
            return None
        return self.waiting.pop(0)


@attrs.define
class _Fleet:
    """Nodes that see the same free places and tell each other what waits."""

    nodes: list
    places: int
    rng: random.Random
    loss: float = 0.0
    delay_s: float = 0.02
    busy_until_s: list = attrs.field(factory=list)
    started: list = attrs.field(factory=list)
    # Time for which a place was free while requests waited, in seconds.
    idle_s: float = 0.0
    _sent: list = attrs.field(factory=list)
    _count: itertools.count = attrs.field(factory=itertools.count)

    def run(self, arrivals, until_s):
        arriving = sorted(arrivals, key=lambda a: a[0].arrived_s, reverse=True)
        for tick in range(int(until_s / TICK_S)):
            now = tick * TICK_S
            while arriving and arriving[-1][0].arrived_s <= now:
                request, node = arriving.pop()
                self.nodes[node].waiting.append(request)
            self._deliver(now)
            self._start(now)
            self._tell(now)
        return self

    def _start(self, now):
        while self.busy_until_s and self.busy_until_s[0] <= now:
            heapq.heappop(self.busy_until_s)
        for node in self.rng.sample(self.nodes, len(self.nodes)):
            free = self.places - len(self.busy_until_s)
            request = node.choose(free, now)
            if request is not None:
                heapq.heappush(self.busy_until_s, now + request.work_ms / 1_000)
                self.started.append((now, request))
        free = self.places - len(self.busy_until_s)
        self.idle_s += TICK_S * min(free, sum(len(n.waiting) for n in self.nodes))

    def _tell(self, now):
        for node in self.nodes:
            reports = backlog_reports({"llm": _work(*node.waiting)}, now)
            told = tuple((r.rank, r.count) for r in reports)
            changed = told != node.told
            if node.frozen or not (changed or now >= node.repeat_s):
                continue
            # An update that says that work ended or progressed follows within 0.5 s.
            node.repeat_s = now + (0.5 if changed else 2.0 if told else NEVER)
            node.told = told
            for other in self.nodes:
                if other is not node and self.rng.random() >= self.loss:
                    at_s = now + self.rng.uniform(0.0, self.delay_s)
                    entry = (at_s, next(self._count), other, node.name, reports, now)
                    heapq.heappush(self._sent, entry)

    def _deliver(self, now):
        while self._sent and self._sent[0][0] <= now:
            at_s, _, other, name, reports, _ = heapq.heappop(self._sent)
            other.peers.merge(name, reports, at_s)


def _late(fleet, rank, arrivals):
    """Return the share of requests of a rank that didn't start in time."""
    requests = [r for r, _ in arrivals if r.rank == rank]
    in_time = {r.request_id for s, r in fleet.started if s <= r.latest_start_s}
    return sum(r.request_id not in in_time for r in requests) / len(requests)


def _overload(rng, nodes, places, seconds=6.0, load=1.4):
    """Return arrivals of 1.4 times what the places can do, a third of them urgent."""
    work_s, now, arrivals = 0.3, 0.0, []
    while now < seconds:
        now += rng.expovariate(load * places / work_s)
        rank = 0 if rng.random() < 1 / 3 else 2
        due_s = now + (1.3 if rank == 0 else 4.0)
        request = _request(
            rank, due_s, due_s + 4.0, 1_000 * work_s, now, f"r{len(arrivals)}"
        )
        arrivals.append((request, rng.randrange(nodes)))
    return arrivals


def _fleet(nodes, places, **kwargs):
    yielding = kwargs.pop("yielding", True)
    members = [_Node(f"n{i}", yielding=yielding) for i in range(nodes)]
    return _Fleet(members, places, random.Random(SEED), **kwargs)


def test_a_request_yields_to_a_more_urgent_one_of_a_peer():
    peers = PeerBacklogs("n1")
    _report(peers, "n2", _request(rank=0))
    assert _yields(_request(rank=2), peers)
    assert not _yields(_request(rank=0, due_s=1.0), peers)
    # With two free places, both go.
    assert not _yields(_request(rank=2), peers, free=2)
    assert not _yields(_request(rank=2), peers, free=0)


def test_each_more_urgent_request_of_a_peer_takes_a_place():
    peers = PeerBacklogs("n1")
    _report(peers, "n2", *[_request(rank=0)] * 3)
    _report(peers, "n3", _request(rank=1))
    assert _yields(_request(rank=2), peers, free=4)
    assert not _yields(_request(rank=2), peers, free=5)
    # One after the other would have taken it.
    assert _yields(_request(rank=2), peers, free_for_s=3.9 * TAKE_S)
    assert not _yields(_request(rank=2), peers, free_for_s=4.1 * TAKE_S)


def test_an_effective_rank_counts_instead_of_the_rank():
    peers = PeerBacklogs("n1")
    _report(peers, "n2", _request(rank=3))
    assert _yields(_request(rank=5), peers)
    assert not should_yield(_request(rank=5), 1, peers, "llm", 0.0, 0.0, rank=2)


def test_requests_of_one_rank_go_by_due_time_and_then_by_node():
    for due_1_s, due_2_s in ((5.0, 6.0), (6.0, 5.0), (5.0, 5.0), (NEVER, NEVER)):
        first, second = PeerBacklogs("n1"), PeerBacklogs("n2")
        _report(first, "n2", _request(due_s=due_2_s))
        _report(second, "n1", _request(due_s=due_1_s))
        yields = (
            _yields(_request(due_s=due_1_s), first),
            _yields(_request(due_s=due_2_s), second),
        )
        assert sum(yields) == 1, (due_1_s, due_2_s)
        if due_1_s != due_2_s:
            assert yields[0] is (due_2_s < due_1_s)


def test_two_nodes_whose_requests_are_due_in_the_same_millisecond_do_not_both_yield():
    for offset_1_s, offset_2_s in ((0.0008, 0.0009), (0.0009, 0.0008)):
        first, second = PeerBacklogs("n1"), PeerBacklogs("n2")
        _report(first, "n2", _request(due_s=5.0 + offset_2_s))
        _report(second, "n1", _request(due_s=5.0 + offset_1_s))
        assert not (
            _yields(_request(due_s=5.0 + offset_1_s), first)
            and _yields(_request(due_s=5.0 + offset_2_s), second)
        )


def test_a_late_request_of_a_peer_does_not_make_one_of_its_rank_late():
    peers = PeerBacklogs("n1")
    _report(peers, "n2", _request(due_s=1.0))
    assert _yields(_request(due_s=9.0), peers, now=0.9)
    assert not _yields(_request(due_s=9.0), peers, now=1.1)


def test_reports_that_are_old_or_absent_or_of_a_node_that_is_gone_count_for_nothing():
    peers = PeerBacklogs("n1")
    assert not _yields(_request(), peers)
    _report(peers, "n2", _request(rank=0))
    assert peers.age_s("n2", "llm", 1.0) == 1.0
    assert _yields(_request(), peers, now=BACKLOG_VALID_S)
    assert not _yields(_request(), peers, now=BACKLOG_VALID_S + 0.01)
    assert peers.age_s("n2", "llm", BACKLOG_VALID_S + 0.01) is None
    _report(peers, "n2", _request(rank=0))
    peers.remove("n2")
    assert not _yields(_request(), peers)
    # A restarted peer of an older build sends updates without reports.
    _report(peers, "n2", _request(rank=0))
    peers.merge("n2", (), 0.0)
    assert not _yields(_request(), peers)


def test_reports_out_of_range_are_left_out():
    peers = PeerBacklogs("n1")
    (good,) = backlog_reports({"llm": _work(_request(rank=0))}, 0.0)
    bad = [attrs.evolve(good, rank=r) for r in (-1, 10)]
    peers.merge("n2", (*bad, attrs.evolve(good, count=0)), 0.0)
    assert not _yields(_request(), peers)


def test_a_backlog_of_another_service_takes_no_place():
    peers = PeerBacklogs("n1")
    peers.update("n2", {"booking": _work(_request(rank=0))}, 0.0, 1.0)
    assert not _yields(_request(), peers)
    assert should_yield(_request(), 1, peers, "booking", 0.0, 0.0)


def test_a_frozen_peer_leaves_a_place_free_only_for_the_time_of_taking_it():
    fleet = _fleet(2, 1)
    urgent, other = _request(rank=0, name="u"), _request(rank=2, name="o")
    fleet.run([(urgent, 0)], 0.0)
    fleet.nodes[0].waiting.append(urgent)
    fleet._tell(0.0)
    fleet.nodes[0].frozen = True
    fleet.run([(other, 1)], 5.0)
    ((started_s, request),) = fleet.started
    assert request is other
    assert started_s <= TAKE_S + fleet.delay_s + TICK_S


def test_nodes_that_wait_for_a_frozen_one_go_one_after_the_other():
    fleet = _fleet(41, 1, delay_s=0.0)
    for i, node in enumerate(fleet.nodes[:40]):
        node.waiting.append(_request(rank=2, due_s=9 + i / 10, name=f"r{i}"))
    fleet.nodes[40].waiting.append(_request(rank=0, name="u"))
    fleet._tell(0.0)
    fleet.nodes[40].frozen = True
    fleet.run([], 6.0)
    assert len(fleet.started) > 20
    # At most one request runs at a time, in order; none waits for the frozen node long.
    assert [r.request_id for _, r in fleet.started] == [
        f"r{i}" for i in range(len(fleet.started))
    ]
    starts_s = [s for s, _ in fleet.started]
    gaps_s = [b - a - 0.2 for a, b in itertools.pairwise(starts_s)]
    assert max(gaps_s) <= TAKE_S + 2 * TICK_S


def test_a_node_that_is_cut_off_decides_alone():
    fleet = _fleet(3, 1, loss=1.0)
    requests = [(_request(rank=i, name=f"r{i}"), i) for i in range(3)]
    fleet.run(requests, 1.0)
    # Nobody waits for anybody: the place is in use from the first moment.
    assert len(fleet.started) == 3
    assert fleet.idle_s == 0.0


def test_of_40_nodes_in_a_burst_as_many_go_as_places_are_free():
    names = [f"n{i}" for i in range(40)]
    rng = random.Random(SEED)
    requests = {n: _request(rng.randrange(3), rng.uniform(2.0, 3.0)) for n in names}
    going = []
    for name in names:
        peers = PeerBacklogs(name)
        for other in names:
            if other != name:
                _report(peers, other, requests[other])
        if not _yields(requests[name], peers, free=5):
            going.append(name)
    most_urgent = sorted(names, key=lambda n: (requests[n].rank, requests[n].due_s))
    # Due times are sent in milliseconds, rounded up: close ones may both go.
    assert set(most_urgent[:5]) <= set(going)
    assert len(going) <= 6


def test_urgent_requests_go_first_across_40_nodes_although_datagrams_are_lost():
    for loss in (0.0, 0.01, 0.1, 0.3):
        arrivals = _overload(random.Random(SEED), 40, 12)
        alone = _fleet(40, 12, loss=loss, yielding=False).run(arrivals, 14.0)
        fleet = _fleet(40, 12, loss=loss).run(arrivals, 14.0)
        assert len({r.request_id for _, r in fleet.started}) == len(fleet.started)
        # A tenth of the urgent ones that were late may still be, and no rank is served
        # worse than if each node decides alone.
        assert _late(fleet, 0, arrivals) <= _late(alone, 0, arrivals) / 10, loss
        assert _late(fleet, 2, arrivals) <= _late(alone, 2, arrivals), loss
        if loss <= 0.01:
            # A place stays free no longer than until the report of the request that
            # took the one before has arrived.
            assert fleet.idle_s <= fleet.delay_s * len(arrivals)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 9),
            st.one_of(st.floats(2.0, 9.0), st.just(5.0), st.just(NEVER)),
            st.floats(0.0, 1.0),
        ),
        min_size=2,
        max_size=6,
    ),
    st.integers(1, 5),
    st.data(),
)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_some_node_always_goes_whatever_the_delays_and_losses(waiting, free, data):
    now = 1.0
    requests = [_request(rank, due_s) for rank, due_s, _ in waiting]
    names = [f"n{i}" for i in range(len(waiting))]
    going = 0
    for own, request in enumerate(requests):
        peers = PeerBacklogs(names[own])
        for other, (_, _, sent_s) in enumerate(waiting):
            if other != own and data.draw(st.booleans()):
                delay_s = data.draw(st.floats(0.0, now - sent_s))
                _report(
                    peers,
                    names[other],
                    requests[other],
                    sent_s=sent_s,
                    delay_s=delay_s,
                )
        going += not _yields(request, peers, free, 0.0, now)
    assert going >= min(free, len(requests))


@given(
    st.integers(0, 9),
    st.one_of(st.floats(0.0, 20.0), st.just(NEVER)),
    st.floats(0.0, 20.0),
    st.floats(0.0, 5_000.0),
)
@settings(max_examples=100, deadline=None, derandomize=True)
def test_yielding_ends_within_the_bound_and_loses_no_caller(
    rank, due_s, patience_s, work_ms
):
    give_up_s = patience_s + (due_s if due_s < NEVER else 0.0)
    request = _request(rank, due_s, give_up_s, work_ms)
    peers, waited_s, first_s = PeerBacklogs("n1"), 0.0, None
    for step in range(900):
        now = 0.05 * step
        # A peer claims without end that the most urgent work waits.
        _report(peers, "n2", *[_request(0, now + 0.01)] * 50, sent_s=now)
        if should_yield(request, 1, peers, "llm", waited_s, now, rank=9):
            first_s = now if first_s is None else first_s
            assert request.last_start_s - now > LAST_CHANCE_S
            waited_s += 0.05
    if first_s is not None:
        left_s = request.last_start_s - first_s
        assert waited_s <= min(MAX_YIELD_S, YIELD_SHARE * left_s) + 0.05


def test_only_time_with_a_free_place_counts_as_left_to_others():
    times = YieldTimes()
    times.record_free(1.0)
    times.record_free(1.2)
    assert times.free_for_s(1.3) == times.waited_s(1.3) == 1.3 - 1.0
    times.record_none_free(1.5)
    times.record_none_free(3.0)
    times.record_free(4.0)
    assert (times.free_for_s(4.25), times.waited_s(4.25)) == (0.25, 0.75)


@given(
    st.dictionaries(
        st.text(max_size=80),
        st.lists(
            st.builds(
                types.SimpleNamespace,
                rank=st.integers(0, 9),
                count=st.integers(0, 2**40),
                work_ms=st.floats(0.0, math.inf),
                oldest_due_s=st.floats(allow_nan=False),
            ),
            max_size=10,
        ),
        max_size=20,
    )
)
@settings(max_examples=100, deadline=None, derandomize=True)
def test_the_bytes_of_reports_are_bounded_and_hold_the_most_urgent(backlogs):
    reports = backlog_reports(backlogs, 0.0)
    assert len(reports) <= MAX_BACKLOGS
    assert all(len(codec.pack_compact(report)) <= 83 for report in reports)
    ranks = sorted(
        work.rank
        for service, works in backlogs.items()
        if len(service.encode()) <= 64
        for work in works
        if work.count
    )
    assert [report.rank for report in reports] == ranks[:MAX_BACKLOGS]


def load_tests(loader, tests, pattern):
    return collect(globals())

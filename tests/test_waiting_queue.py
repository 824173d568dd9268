"""The order of waiting requests, by itself and under replays of bursts."""

import collections
import heapq
import itertools
import random
from unittest import mock

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tanagerkeel.queueing import (
    CallerCost,
    FairQueue,
    QueuedRequest,
    WaitingQueue,
    WaitingRequest,
    _standing,
)
from tanagerkeel.queueing._passed_over import RESERVED_SHARE
from tanagerkeel.queueing._standing import PROMOTION_SHARE
from tests.support import collect

numbers = itertools.count()


def _request(
    rank=0,
    arrived=0.0,
    work=100.0,
    account="a",
    objective=1.0,
    patience=4.0,
    weight=1.0,
    returned=False,
):
    return WaitingRequest(
        str(next(numbers)),
        account,
        rank,
        CallerCost(weight, 0.75),
        work,
        arrived,
        arrived + objective,
        arrived + patience,
        returned=returned,
    )


def _short(arrived, **changes):
    return _request(arrived=arrived, **changes)


def _long(arrived, **changes):
    sized = {"work": 2_000.0, "objective": 8.0, "patience": 24.0, "weight": 3.0}
    return _request(arrived=arrived, **(sized | changes))


def _queue(*requests, now=0.0):
    queue = WaitingQueue()
    for request in requests:
        queue.push(request, now)
    return queue


@attrs.define
class _Replay:
    """
    Gives requests in order to servers; those that can't start in time are dropped.

    :param arrivals: requests by time of arrival.
    :param servers: number of servers, which take one request each.
    :param actual: true work over the estimate, by request.
    """

    arrivals: list
    servers: int = 4
    actual: dict = attrs.field(factory=dict)
    starts: dict = attrs.field(factory=dict)
    lost: float = 0.0
    queue: WaitingQueue = attrs.field(factory=WaitingQueue)

    def run(self):
        events = [(r.arrived_s, n, r, False) for n, r in enumerate(self.arrivals)]
        heapq.heapify(events)
        free = self.servers
        while events:
            now, _, request, is_end = heapq.heappop(events)
            if is_end:
                self.queue.complete(request)
                free += 1
            else:
                self.queue.push(request, now)
            while free and (chosen := self._take(now)) is not None:
                free -= 1
                end = now + chosen.work_ms * self.actual.get(chosen, 1.0) / 1_000
                self.lost += chosen.cost.loss(end, chosen.due_s, chosen.give_up_s)
                heapq.heappush(events, (end, next(numbers), chosen, True))
        assert len(self.queue) == self.queue.running == 0
        return self

    def served(self, chosen):
        return sum(r in self.starts for r in self.arrivals if chosen(r))

    def wait_s(self, chosen):
        waits = [t - r.arrived_s for r, t in self.starts.items() if chosen(r)]
        return sum(waits) / len(waits)

    def longest_gap_s(self, chosen):
        times = [0.0, *(t for r, t in self.starts.items() if chosen(r))]
        return max(b - a for a, b in itertools.pairwise(times))

    def _take(self, now):
        while (request := next(self.queue.in_order(now), None)) is not None:
            if now <= request.last_start_s:
                self.queue.take(request, now)
                self.starts[request] = now
                return request
            self.queue.remove(request)
            self.lost += request.cost.weight
        return None


def _arrivals(per_s, seconds, make, seed=1, start=0.0):
    source = random.Random(seed)
    now, end = start, start + seconds
    while (now := now + source.expovariate(per_s)) < end:
        yield make(now)


def _mixed(load, seed, seconds=40.0):
    # Half of the work is short, half is long, on four servers; sizes and objectives
    # vary within each.
    source = random.Random(seed)

    def vary(request):
        objective_s = request.due_s - request.arrived_s
        return attrs.evolve(
            request,
            work_ms=request.work_ms * source.lognormvariate(-0.125, 0.5),
            due_s=request.arrived_s + objective_s * source.choice((0.5, 1.0, 2.0)),
        )

    shorts = _arrivals(load * 2 / 0.1, seconds, _short, seed)
    longs = _arrivals(load * 2 / 2.0, seconds, _long, seed + 1_000)
    requests = map(vary, itertools.chain(shorts, longs))
    return sorted(requests, key=lambda r: r.arrived_s)


def _by_slack(request, is_late):
    if is_late:
        return (1.0, request.give_up_s)
    return (0.0, request.latest_start_s)


def _by_loss(request, is_late):
    if is_late:
        return (1.0, request.give_up_s)
    loss = request.cost.weight * request.cost.late_share
    return (0.0, -loss / request.work_ms, request.latest_start_s)


def _lost(load, order=_standing._order):
    with mock.patch.object(_standing, "_order", order):
        return sum(_Replay(_mixed(load, seed)).run().lost for seed in range(4))


def test_ranks_go_first_and_are_clamped():
    requests = [_request(rank) for rank in (5, 12, -3, 0, 9, 1)]
    order = [r.rank for r in _queue(*requests).in_order(0.0)]
    assert order == [-3, 0, 1, 5, 12, 9]
    ranks = [(b.rank, b.count) for b in _queue(*requests).backlog(0.0)]
    assert ranks == [(0, 2), (1, 1), (5, 1), (9, 2)]


def test_requests_without_ranks_are_fair_and_in_order_of_their_deadlines():
    one = [_request(arrived=n / 100, objective=20, patience=40) for n in range(20)]
    queue = WaitingQueue()
    for request in one:
        queue.push(request, request.arrived_s)
    assert list(queue.in_order(0.2)) == one
    early = _request(arrived=0.2, objective=10, patience=40)
    queue.push(early, 0.2)
    assert list(queue.in_order(0.2)) == [early, *one]


def test_a_caller_that_came_back_goes_before_new_ones_of_its_rank_only():
    first, new = _request(0), _request(1)
    back = _request(1, returned=True, arrived=0.1)
    assert list(_queue(first, new, back, now=0.1).in_order(0.1)) == [first, back, new]


def test_requests_that_can_still_meet_their_objective_go_before_late_ones():
    patient = _request(arrived=0.0, patience=9.0)
    hasty = _request(arrived=0.1, patience=5.0)
    fresh = _request(arrived=1.2)
    queue = _queue(patient, hasty, fresh, now=1.2)
    # Before a quarter of their patience has passed, late ones have no turn.
    assert list(queue.in_order(1.21)) == [fresh, hasty, patient]


def test_one_account_that_sends_half_of_everything_does_not_delay_the_others():
    heavy = [_short(n / 80, account="heavy") for n in range(4_000)]
    others = [_short(n / 80 + 0.001, account=f"a{n % 8}") for n in range(2_000)]
    arrivals = sorted([*heavy, *others], key=lambda r: r.arrived_s)
    # Half of the work of the servers is less than what all send.
    replay = _Replay(arrivals, servers=12).run()
    shares = collections.Counter(r.account for r in replay.starts)
    assert all(shares[f"a{n}"] >= 240 for n in range(8))
    assert replay.wait_s(lambda r: r.account != "heavy") < 0.5


def test_urgent_short_requests_pass_a_burst_of_long_ones_of_a_low_rank():
    longs = [_long(0.0, rank=2) for _ in range(40)]
    shorts = list(_arrivals(10, 20, _short, start=0.5))
    replay = _Replay([*longs, *shorts]).run()
    # Running requests aren't preempted, so that one may wait for those of 2 s.
    assert replay.served(lambda r: r.rank == 0) >= 0.9 * len(shorts)
    assert replay.served(lambda r: r.rank == 2) >= 20


def test_low_ranks_long_requests_and_small_accounts_starve_for_a_bounded_time():
    urgent = list(_arrivals(80, 120, _short))
    low = [
        *_arrivals(2, 120, lambda now: _short(now, rank=9, account="low"), 2),
        *_arrivals(0.2, 120, lambda now: _long(now, rank=2, account="b"), 3),
        *_arrivals(0.2, 120, lambda now: _long(now, rank=0, account="a"), 4),
    ]
    arrivals = sorted([*urgent, *low], key=lambda r: r.arrived_s)
    replay = _Replay(arrivals).run()
    classes = [
        lambda r: r.account == "low",
        lambda r: r.account == "b",
        lambda r: r.account == "a" and r.work_ms == 2_000,
    ]
    # Passed over from a quarter of the patience on; then three classes, the largest
    # request 2 s, four servers.
    bound_s = 24 * PROMOTION_SHARE + 2 * 3 * 2.0 / RESERVED_SHARE / 4
    for chosen in classes:
        assert replay.served(chosen) > 0
        assert replay.longest_gap_s(chosen) <= bound_s
    late = {r for r, t in replay.starts.items() if r.rank and t > r.latest_start_s}
    work = sum(r.work_ms for r in replay.starts)
    assert sum(r.work_ms for r in late) <= RESERVED_SHARE * work + 2_000


def test_each_quarter_of_the_patience_counts_as_one_rank_until_a_request_is_late():
    request = _request(3, objective=2.5, patience=4.0)
    queue = _queue(request)
    times = (0.0, 0.99, 1.0, 1.99, 2.0, 2.4, 2.41, 3.9)
    ranks = [queue.backlog(now)[0].rank for now in times]
    assert ranks == [3, 3, 2, 2, 1, 1, 3, 3]
    old = _request(1, arrived=0.0, objective=3.0, patience=4.0)
    fresh = _request(0, arrived=1.0, objective=3.0, patience=4.0)
    queue = _queue(old, now=0.0)
    # No turn is due, so that only the promotion counts.
    passed = _request(0, arrived=0.0, work=500.0, objective=0.1, patience=1.0)
    queue.push(passed, 0.5)
    queue.take(passed, 0.5)
    queue.push(fresh, 0.99)
    assert list(queue.in_order(0.99)) == [fresh, old]
    assert list(queue.in_order(1.0)) == [old, fresh]


def test_a_request_is_queued_once_and_what_does_not_wait_is_not_taken():
    request = _request()
    queue = _queue(request)
    for refused in (lambda: queue.push(request, 0.0), lambda: queue.complete(request)):
        try:
            refused()
        except (KeyError, ValueError):
            continue
        raise AssertionError("accepted")
    queue.take(request, 0.0)
    assert request not in queue and queue.running == 1
    assert not queue.remove(request)
    queue.complete(request)
    assert queue.running == 0


def test_memory_of_requests_that_come_and_go_is_bounded_by_those_that_wait():
    queue = _queue(*(_request(objective=1e6, patience=1e7) for _ in range(10)))
    for number in range(3_000):
        now = number / 1_000
        request = _request(number % 3, arrived=now, account=f"a{number % 7}")
        queue.push(request, now)
        if number % 2:
            queue.take(request, now)
            queue.complete(request)
        else:
            assert queue.remove(request)
    assert len(queue) == 10
    assert len(queue._changes) <= 64 + 2 * 11 + 1
    for level in queue._levels.values():
        assert len(level.due) <= 64 + 2 * 11 + 1
        assert len(level.queue._heap) <= 64 + 2 * 8 + 1
        flows = level.queue._flows.values()
        assert all(len(flow._heap) <= 8 + 2 * 11 + 1 for flow in flows)


def test_late_promoted_requests_do_not_go_before_fresh_ones_of_the_highest_rank():
    late = [_request(3, arrived=0.0, account=f"l{n}") for n in range(20)]
    queue = _queue(*late, now=0.0)
    fresh = [_request(0, arrived=3.0, account=f"f{n}") for n in range(30)]
    for request in fresh:
        queue.push(request, 3.0)
    order = list(queue.in_order(3.0))
    assert [r.rank for r in order[:21]] == [3] + [0] * 19 + [3]


def _lost_with_wrong_estimates(load, factor, order=_standing._order):
    lost = weight = 0.0
    with mock.patch.object(_standing, "_order", order):
        for seed in range(4):
            arrivals = _mixed(load, seed)
            source = random.Random(seed)
            actual = {r: source.choice((factor, 1.0)) for r in arrivals}
            lost += _Replay(arrivals, actual=actual).run().lost
            weight += sum(r.cost.weight for r in arrivals)
    return lost, weight


def test_half_of_the_estimates_a_third_of_the_work_lose_less_than_least_slack():
    for load in (0.5, 0.9, 1.2):
        lost, _ = _lost_with_wrong_estimates(load, 3.0)
        assert lost < 0.85 * _lost_with_wrong_estimates(load, 3.0, _by_slack)[0]


def test_half_of_the_estimates_3_times_the_work_lose_little():
    """Least slack loses less there, since the true load is below the servers'."""
    for load in (0.9, 1.2):
        lost, weight = _lost_with_wrong_estimates(load, 1 / 3)
        assert lost < 0.02 * weight
        assert lost < 0.7 * _lost_with_wrong_estimates(load, 1 / 3, _by_loss)[0]


def test_steps_of_loss_then_slack_lose_less_under_overload_than_either_alone():
    for load in (1.0, 1.2, 1.8):
        assert _lost(load) < 0.85 * min(_lost(load, _by_slack), _lost(load, _by_loss))


def test_steps_of_loss_then_slack_lose_less_below_full_load_than_loss_alone():
    """Least slack alone loses least there."""
    assert _lost(0.9) < 0.7 * _lost(0.9, _by_loss)


def test_a_rank_that_changes_while_a_request_waits_keeps_its_age():
    old, new = _request(2, arrived=0.0), _request(1, arrived=0.5)
    queue = _queue(old, new, now=0.5)
    assert list(queue.in_order(0.5)) == [new, old]
    changed = attrs.evolve(old, rank=1)
    assert queue.remove(old)
    queue.push(changed, 0.5)
    assert list(queue.in_order(0.5)) == [changed, new]


def test_what_is_ahead_of_a_request_that_does_not_wait_leaves_no_trace():
    requests = [_request(rank) for rank in (0, 1, 1, 2)]
    queue = _queue(*requests)
    asked = _request(1, arrived=0.1, account="new")
    ahead = queue.ahead_of(asked, 0.1)
    assert (ahead.count, ahead.work_ms) == (2, 200.0)
    assert len(queue) == 4 and asked not in queue
    assert list(queue.in_order(0.1)) == requests


@settings(derandomize=True, deadline=None, max_examples=100)
@given(st.integers(0, 10_000), st.integers(1, 6), st.integers(0, 12))
def test_the_order_read_ahead_is_that_of_the_pops(seed, accounts, running):
    source = random.Random(seed)
    queue = FairQueue()
    weights = [source.choice((0.5, 1.0, 4.0)) for _ in range(accounts)]
    for _ in range(40):
        number = source.randrange(accounts)
        cost = source.uniform(1, 100)
        order = (float(source.randrange(4)),)
        queue.push(QueuedRequest(f"a{number}", weights[number], cost, 0.0), order)
    for _ in range(running):
        queue.pop()
    expected = list(queue.in_order())
    assert [queue.pop() for _ in expected] == expected
    assert queue.pop() is None


class WaitingQueueMachine(RuleBasedStateMachine):
    """Nothing is lost or given twice; the order and the reserved share are kept."""

    def __init__(self):
        super().__init__()
        self.queue = WaitingQueue()
        self.now = 0.0
        self.waiting = []
        self.running = []

    @rule(
        rank=st.integers(-2, 11),
        account=st.integers(0, 3),
        is_long=st.booleans(),
        returned=st.booleans(),
    )
    def push(self, rank, account, is_long, returned):
        make = _long if is_long else _short
        request = make(self.now, rank=rank, account=f"a{account}", returned=returned)
        self.queue.push(request, self.now)
        self.waiting.append(request)

    @rule(passed_s=st.floats(0, 5))
    def wait(self, passed_s):
        self.now += passed_s

    @rule(data=st.data())
    def remove(self, data):
        if self.waiting:
            request = data.draw(st.sampled_from(self.waiting))
            self.waiting.remove(request)
            assert self.queue.remove(request)
            assert not self.queue.remove(request)

    @rule(data=st.data(), is_first=st.booleans())
    def take(self, data, is_first):
        if self.waiting:
            request = next(self.queue.in_order(self.now))
            if not is_first:
                request = data.draw(st.sampled_from(self.waiting))
            self.queue.take(request, self.now)
            self.waiting.remove(request)
            self.running.append(request)

    @rule(data=st.data())
    def complete(self, data):
        if self.running:
            request = data.draw(st.sampled_from(self.running))
            self.running.remove(request)
            self.queue.complete(request)

    @invariant()
    def each_waits_once_and_the_order_is_kept(self):
        order = list(self.queue.in_order(self.now))
        assert len(order) == len(self.queue) == len(self.waiting)
        assert set(order) == set(self.waiting)
        standings = [_standing.standing(r, self.now) for r in order]
        levels = [
            (s.rank, not r.returned) for s, r in zip(standings, order, strict=True)
        ]
        # Only requests that were passed over go before a more urgent one.
        regular = [
            level
            for level, s in zip(levels, standings, strict=True)
            if not s.is_passed_over
        ]
        assert regular == sorted(regular)

    @invariant()
    def the_backlog_is_what_waits(self):
        backlog = self.queue.backlog(self.now)
        ranks = collections.defaultdict(list)
        for request in self.waiting:
            ranks[_standing.standing(request, self.now).rank].append(request)
        assert [b.rank for b in backlog] == sorted(ranks)
        for entry in backlog:
            requests = ranks[entry.rank]
            assert entry.count == len(requests)
            assert abs(entry.work_ms - sum(r.work_ms for r in requests)) < 1e-3
            assert entry.oldest_due_s == min(r.due_s for r in requests)

    def teardown(self):
        for request in self.running:
            self.queue.complete(request)
        for request in self.waiting:
            assert self.queue.remove(request)
        assert len(self.queue) == self.queue.running == 0
        assert self.queue.backlog(self.now) == ()
        queues = [level.queue for level in self.queue._levels.values()]
        for queue in [*queues, self.queue._passed_over._queue]:
            assert queue.running_tokens == queue.queued_tokens == 0.0


def test_any_sequence_of_operations_loses_nothing_and_keeps_the_order():
    case = WaitingQueueMachine.TestCase()
    case.settings = settings(
        derandomize=True, deadline=None, max_examples=60, stateful_step_count=40
    )
    case.runTest()


def load_tests(loader, tests, pattern):
    return collect(globals())

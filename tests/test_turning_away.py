"""Who is turned away from a queue, when it may return, and replays of those loads."""

import heapq
import itertools
import math
import random
from unittest import mock

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel.queueing import (
    CallerCost,
    DrainRate,
    KeptPlace,
    KeptPlaces,
    RejectionReason,
    WaitingRequest,
    choose_rejections,
    retry_after_s,
)
from tanagerkeel.queueing._kept_places import (
    MAX_KEPT_S,
    MAX_PLACES,
    MAX_PLACES_WITH_PEERS,
    MAX_REPORTED,
    WINDOW_S,
)
from tanagerkeel.queueing._return_time import (
    HONOURED_SHARE,
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
)
from tests.support import collect

SEED = 7
RATE_MS_PER_S = 1_000.0
RETURN_GRACE_S = 1.0
COST = CallerCost(1.0, 0.75)
# For each request: tries the most others in both heaps, puts them back, is kept itself.
MAX_HEAP_CALLS = 4 * 16 + 8


def _request(
    name,
    work_ms=500.0,
    patience_s=12.0,
    arrived_s=0.0,
    objective_s=None,
    cost=COST,
    rank=0,
    **fields,
):
    objective_s = patience_s if objective_s is None else objective_s
    return WaitingRequest(
        str(name),
        "a",
        rank,
        cost,
        work_ms,
        arrived_s,
        arrived_s + objective_s,
        arrived_s + patience_s,
        **fields,
    )


def _burst(count, **fields):
    return [_request(n, **fields) for n in range(count)]


def _refused(requests, rate=RATE_MS_PER_S, now=0.0):
    return {r.request.request_id for r in choose_rejections(requests, rate, now)}


def _order(request):
    return request.rank, not request.returned, request.arrived_s


@attrs.define
class _Replay:
    """
    One server of fixed rate whose callers keep one deadline over their returns.

    :param keeps_places: whether a returning caller may claim a place.
    """

    keeps_places: bool = True
    served: set[str] = attrs.field(factory=set)
    # When each caller was told to return, and whether a place was kept.
    told: dict[str, tuple[float | None, bool]] = attrs.field(factory=dict)
    claimed: set[str] = attrs.field(factory=set)
    refused_again: set[str] = attrs.field(factory=set)
    _waiting: list[WaitingRequest] = attrs.field(factory=list)
    _places: KeptPlaces = attrs.field(factory=KeptPlaces)
    _rng: random.Random = attrs.field(factory=lambda: random.Random(SEED))
    _free_s: float = 0.0
    _arrivals: list = attrs.field(factory=list)
    _sequence: "itertools.count[int]" = attrs.field(factory=itertools.count)

    def run(self, requests):
        for request in requests:
            self._arrive(request)
        while self._arrivals:
            now = self._arrivals[0][0]
            self._serve_until(now)
            while self._arrivals and self._arrivals[0][0] == now:
                self._waiting.append(heapq.heappop(self._arrivals)[-1])
            self._refuse(now)
        self._serve_until(math.inf)
        return self

    def _arrive(self, request):
        entry = (request.arrived_s, next(self._sequence), request)
        heapq.heappush(self._arrivals, entry)

    def _serve_until(self, now):
        self._waiting.sort(key=_order)
        while self._waiting and self._free_s < now:
            request = self._waiting.pop(0)
            start_s = max(self._free_s, request.arrived_s)
            if start_s > request.last_start_s:
                continue
            self._free_s = start_s + request.work_ms / RATE_MS_PER_S
            self.served.add(request.request_id)

    def _refuse(self, now):
        self._waiting.sort(key=_order)
        rejections = choose_rejections(self._waiting, RATE_MS_PER_S, now)
        refused_ms = sum(r.request.work_ms for r in rejections)
        for rejection in rejections:
            request = rejection.request
            self._waiting.remove(request)
            if request.request_id in self.told:
                self.refused_again.add(request.request_id)
                continue
            self._tell(request, refused_ms, now)

    def _tell(self, request, refused_ms, now):
        longest_s = HONOURED_SHARE * (request.give_up_s - now)
        is_kept = self.keeps_places and self._places.keep(
            request.request_id,
            now + longest_s + RETURN_GRACE_S,
            now,
            request.work_ms,
            RATE_MS_PER_S,
        )
        ahead_ms = sum(r.work_ms for r in self._waiting)
        after_s = retry_after_s(
            request, ahead_ms, refused_ms, RATE_MS_PER_S, now, self._rng, is_kept
        )
        self.told[request.request_id] = after_s, is_kept
        if after_s is None:
            return
        returned = self._places.claim(request.request_id, now + after_s)
        if returned:
            self.claimed.add(request.request_id)
        self._arrive(attrs.evolve(request, arrived_s=now + after_s, returned=returned))


def test_work_ahead_beyond_the_deadline_is_refused_at_once_and_served_on_return():
    replay = _Replay().run(_burst(60))
    told = [after_s for after_s, _ in replay.told.values()]
    kept = {name for name, (_, is_kept) in replay.told.items() if is_kept}
    assert kept
    assert kept == replay.claimed
    assert kept <= replay.served
    assert not kept & replay.refused_again
    returns = [replay.told[name][0] for name in kept]
    assert max(returns) <= HONOURED_SHARE * 12.0
    assert len(set(returns)) == len(returns)
    # Without a place the wait is longer than the caller's time: no retry helps.
    assert all(
        after_s is None for after_s, is_kept in replay.told.values() if not is_kept
    )
    assert len(told) > len(kept)


def test_a_caller_without_a_place_that_returns_as_told_is_served():
    # A cheap request gives way to a burst that is done long before its caller leaves.
    first = _request("first", 1_500.0, 90.0)
    cheap = _request("cheap", 3_000.0, 90.0, 0.1, cost=CallerCost(0.2, 0.75))
    urgent = [_request(f"u{n}", 500.0, 7.0, 1.0) for n in range(20)]
    later = [_request(f"l{n}", 100.0, 90.0, 1.0 + n) for n in range(30)]
    everything = [first, cheap, *urgent, *later]
    replay = _Replay(keeps_places=False).run(everything)
    # The burst takes 10 s.
    assert replay.told["cheap"][0] > 9.0
    assert "cheap" in replay.served


def test_refusals_of_one_moment_return_spread_over_the_time_to_serve_them():
    rng = random.Random(SEED)
    request = _request("r", 100.0, 90.0)
    returns = [
        retry_after_s(request, 5_000.0, 200 * 100.0, 2_000.0, 0.0, rng, True)
        for _ in range(200)
    ]
    # 20 s of work at the half of the rate that is left to callers who return.
    assert 2.5 <= min(returns)
    assert max(returns) <= 2.5 + 20.0
    for start in range(0, 20, 4):
        count = sum(2.5 + start <= s < 6.5 + start for s in returns)
        assert 20 <= count <= 60, (start, count)


def test_returns_stay_spread_where_the_wait_exceeds_what_a_caller_honours():
    rng = random.Random(SEED)
    request = _request("r", 100.0, 12.0)
    returns = [
        retry_after_s(request, 60_000.0, 1_000.0, 1_000.0, 0.0, rng, True)
        for _ in range(100)
    ]
    assert max(returns) <= 4.0
    assert max(returns) - min(returns) > 1.8


def test_a_wait_beyond_the_deadline_has_no_retry_without_a_place():
    rng = random.Random(SEED)
    request = _request("r", 100.0, 12.0)
    arguments = (request, 60_000.0, 1_000.0, 1_000.0, 0.0, rng)
    assert retry_after_s(*arguments) is None
    assert retry_after_s(*arguments, is_kept=True) is not None
    # A third of what is left is too short to be worth a return.
    assert retry_after_s(request, 0.0, 0.0, 1_000.0, 11.9, rng, True) is None


def test_a_caller_back_after_a_refusal_goes_before_a_new_one_of_its_rank_once():
    places = KeptPlaces()
    assert places.keep("f", 5.0, 0.0)
    back = _request("back", arrived_s=2.0, returned=places.claim("f", 2.0))
    new = _request("new", arrived_s=1.0)
    urgent = _request("urgent", arrived_s=2.5)
    order = sorted(
        [attrs.evolve(new, rank=1), attrs.evolve(back, rank=1), urgent], key=_order
    )
    assert [r.request_id for r in order] == ["urgent", "back", "new"]
    assert not places.claim("f", 2.1)
    assert not places.keep("f", 9.0, 3.0)
    assert not places.claim("f", 4.0)
    # Beyond the window it is a request like any other.
    assert places.keep("f", WINDOW_S + 10.0, WINDOW_S + 2.5)
    assert places.claim("f", WINDOW_S + 3.0)


def test_a_returned_caller_is_refused_again_after_a_new_one_of_equal_cost():
    requests = [_request(n, 500.0, 12.0, returned=n < 30) for n in range(60)]
    random.Random(SEED).shuffle(requests)
    refused = _refused(requests)
    assert refused
    assert all(int(name) >= 30 for name in refused)


def _measured_rate(estimate_factor):
    drain = DrainRate()
    drain.record_backlog(0.0)
    for step in range(1, 41):
        drain.record_started(500.0 * estimate_factor, step * 0.5, waiting=10)
    return drain.per_s(20.0)


def test_an_error_of_all_estimates_by_3_refuses_nobody_who_would_be_served():
    for factor in (1 / 3, 1.0, 3.0):
        rate = _measured_rate(factor)
        requests = _burst(60, work_ms=500.0 * factor)
        refused = _refused(requests, rate)
        # With the true work of 500 ms at 1,000 ms a second, 24 are served in 12 s.
        assert not refused & {str(n) for n in range(24)}, factor
        assert refused, factor


def test_independent_errors_of_estimates_by_3_refuse_few_who_would_be_served():
    rng = random.Random(SEED)
    wrong = served = 0
    for _ in range(200):
        factors = [math.exp(rng.uniform(-math.log(3), math.log(3))) for _ in range(60)]
        works = [rng.choice([100.0, 400.0, 1_500.0]) for _ in factors]
        rate = RATE_MS_PER_S * sum(works) / sum(map(_product, works, factors))
        requests = [_request(n, work) for n, work in enumerate(works)]
        refused = _refused(requests, rate)
        ends = itertools.accumulate(map(_product, works, factors))
        in_time = {str(n) for n, end_ms in enumerate(ends) if end_ms <= 12_000.0}
        served += len(in_time)
        wrong += len(in_time & refused)
    assert served > 1_000
    # The margin covers about two standard deviations of the sum.
    assert wrong <= 0.025 * served, (wrong, served)


def _product(left, right):
    return left * right


def test_one_request_ahead_with_3_times_its_work_estimated_refuses_nobody():
    ahead = _request("ahead", 30_000.0, 90.0)
    behind = _request("behind", 100.0, 11.0)
    assert not _refused([ahead, behind])
    assert _refused([ahead, attrs.evolve(behind, due_s=5.0, give_up_s=5.0)])


def test_own_work_estimated_3_times_too_high_is_not_refused():
    assert not _refused([_request("r", 30_000.0, 10.1)])
    (rejection,) = choose_rejections(
        [_request("r", 31_000.0, 10.0)], RATE_MS_PER_S, 0.0
    )
    assert rejection.reason is RejectionReason.NO_TIME_LEFT


def test_seldom_starts_do_not_lower_the_rate_between_them():
    drain = DrainRate()
    drain.record_backlog(0.0)
    now = 0.0
    for _ in range(40):
        now += 3.0
        drain.record_started(3_000.0, now, waiting=10)
    for gap_s in (0.1, 1.5, 2.9):
        assert 850.0 <= drain.per_s(now + gap_s) <= 1_150.0, gap_s
    # One that measures 5 s at all times would be wrong by more than the margin.
    hasty = DrainRate(min_starts=0)
    hasty.record_backlog(0.0)
    for step in range(1, 41):
        hasty.record_started(15_000.0, step * 15.0, waiting=10)
    assert hasty.per_s(614.0) < 1_000.0 / 3
    # Too few starts: unknown.
    drain.record_backlog(now)
    for step in range(1, 5):
        drain.record_started(15_000.0, now + step * 15.0, waiting=10)
    assert drain.per_s(now + 70.0) == 0.0


def test_the_rate_of_engines_that_turn_slow_or_fast_is_known_within_two_horizons():
    for change in (1 / 3, 3.0):
        drain = DrainRate()
        drain.record_backlog(0.0)
        now = 0.0
        while now < 30.0:
            now += 0.1 / (change if now > 20.0 else 1.0)
            drain.record_started(100.0, now, waiting=10)
        rate = drain.per_s(now) / RATE_MS_PER_S
        assert 1 / 1.5 <= rate / change <= 1.5, (change, rate)


def test_nothing_is_refused_while_the_rate_is_unknown():
    drain = DrainRate()
    assert drain.per_s(0.0) == 0.0
    drain.record_backlog(0.0)
    drain.record_started(500.0, 0.1, waiting=5)
    assert drain.per_s(0.5) == 0.0
    assert choose_rejections(_burst(1_000), drain.per_s(0.5), 0.5) == ()


def test_the_drain_rate_outlasts_the_backlog_and_idle_time_does_not_lower_it():
    drain = DrainRate()
    drain.record_backlog(0.0)
    for step in range(1, 21):
        drain.record_started(100.0, step * 0.1, waiting=20 - step)
    assert 900.0 <= drain.per_s(2.0) <= 1_300.0
    assert drain.per_s(500.0) == drain.per_s(2.0)
    drain.record_backlog(500.0)
    assert drain.per_s(500.5) == drain.per_s(2.0)


def test_a_rate_that_fluctuates_revokes_no_place():
    requests = _burst(60)
    refused = _refused(requests)
    waiting = [r for r in requests if r.request_id not in refused]
    for rate in (1_300.0, 760.0, 1_000.0, 700.0):
        assert not _refused(waiting, rate, now=0.1), rate


def test_waiting_changes_no_decision_while_the_rate_holds():
    requests = _burst(60)
    refused = _refused(requests)
    waiting = [r for r in requests if r.request_id not in refused]
    for started in range(len(waiting)):
        left = waiting[started:]
        still_there = [r for r in left if r.give_up_s >= started * 0.5]
        assert not _refused(still_there, now=started * 0.5), started


def test_a_request_that_costs_least_is_refused_though_it_waits_already():
    cheap = _request("cheap", 3_000.0, 60.0, cost=CallerCost(0.2, 0.75))
    waiting = [cheap, *(_request(n, 1_000.0, 60.0) for n in range(10))]
    costly = CallerCost(5.0, 0.75)
    newcomer = _request("new", 200.0, 6.5, 1.0, cost=costly)
    assert not _refused(waiting, now=1.0)
    (rejection,) = choose_rejections([*waiting, newcomer], RATE_MS_PER_S, 1.0)
    assert rejection.request is cheap
    assert rejection.reason is RejectionReason.DISPLACED
    # A newcomer that is worth no more than what it displaces is refused itself.
    equal = attrs.evolve(newcomer, cost=CallerCost(0.2, 0.75))
    assert _refused([*waiting, equal], now=1.0) == {"new"}


def test_of_equal_cost_the_less_urgent_rank_is_refused():
    waiting = [_request(n, 500.0, 60.0, rank=n % 3) for n in range(30)]
    costly = CallerCost(20.0, 0.75)
    newcomer = _request("new", 200.0, 8.6, 1.0, cost=costly)
    refused = _refused([*waiting, newcomer], now=1.0)
    assert refused
    assert all(int(name) % 3 == 2 for name in refused)


def test_a_late_request_keeps_its_place_unless_it_delays_something_worth_more():
    late = [
        _request(f"late{n}", 500.0, 60.0, objective_s=0.4 if n < 12 else 60.0)
        for n in range(30)
    ]
    assert not _refused(late, now=2.0)
    # On time only if some of the work of those that are late anyway is dropped.
    costly = CallerCost(5.0, 0.75)
    newcomer = _request("new", 500.0, 60.0, 2.0, objective_s=9.5, cost=costly)
    refused = _refused([*late, newcomer], now=2.0)
    assert refused
    assert refused <= {f"late{n}" for n in range(12)}
    worthless = attrs.evolve(newcomer, cost=CallerCost(0.1, 0.75))
    assert not _refused([*late, worthless], now=2.0)


def test_a_late_request_that_is_on_time_once_others_give_way_is_worth_it_in_full():
    heavy = _request("heavy", 4_000.0, 60.0, objective_s=0.5)
    # It gains less by being on time than the heavy one is worth late.
    second = _request(
        "second", 1_000.0, 60.0, objective_s=1.5, cost=CallerCost(0.3, 0.75)
    )
    costly = _request(
        "costly", 1_000.0, 60.0, objective_s=1.5, cost=CallerCost(5.0, 0.75)
    )
    fourth = _request("fourth", 1_000.0, 60.0, objective_s=1.0)
    queue = [heavy, second, costly, fourth]
    # What the fourth gains by being on time is more than the second is worth late.
    assert _refused(queue) == {"heavy"}
    # The work of the second counts once in what its refusal would free, even if it was
    # weighed as late before.
    hurried = _request("hurried", 1_000.0, 0.75, cost=CallerCost(4.0, 0.75))
    assert _refused([*queue, hurried]) == {"heavy", "hurried"}
    weighs = _request("weighs", 1_000.0, 0.6, cost=CallerCost(0.01, 0.75))
    queue.insert(3, weighs)
    assert _refused([*queue, hurried]) == {"heavy", "weighs", "hurried"}


def test_a_burst_of_returning_callers_does_not_starve_new_ones():
    burst = _burst(200)
    new = [_request(f"new{n}", 500.0, 12.0, arrived_s=0.25 + n) for n in range(20)]
    replay = _Replay().run([*burst, *new])
    assert replay.claimed
    assert replay.claimed <= replay.served
    served_new = sum(r.request_id in replay.served for r in new)
    # As many as without any returns: half of the rate is enough for them.
    assert served_new >= 18, served_new


def test_without_ranks_only_the_last_of_a_burst_are_refused():
    requests = _burst(60)
    refused = _refused(requests)
    first = min(int(name) for name in refused)
    assert refused == {str(n) for n in range(first, 60)}
    assert first >= 24


class _CountingHeap:
    """Counts the calls of heapq."""

    def __init__(self):
        self.calls = 0

    def heappush(self, heap, item):
        self.calls += 1
        heapq.heappush(heap, item)

    def heappop(self, heap):
        self.calls += 1
        return heapq.heappop(heap)


def _heap_calls(requests):
    heap = _CountingHeap()
    reads = 0

    def order():
        nonlocal reads
        for request in requests:
            reads += 1
            yield request

    with mock.patch("tanagerkeel.queueing._feasibility.heapq", heap):
        rejections = choose_rejections(order(), RATE_MS_PER_S, 1.0)
    assert reads == len(requests)
    assert rejections
    return heap.calls


def _mixed(count):
    rng = random.Random(SEED)
    return [
        _request(
            n,
            rng.choice([0.02, 0.2, 1.0]) * 10_000 * 24 / count,
            rng.choice([4.0, 12.0, 60.0]),
            rng.random(),
            objective_s=rng.choice([1.0, 3.0]),
            cost=CallerCost(rng.choice([1.0, 2.0, 14.0]), 0.75),
            rank=n * 3 // count,
        )
        for n in range(count)
    ]


def test_10_000_waiting_requests_are_decided_in_one_pass():
    calls = _heap_calls(_mixed(10_000))
    assert calls <= 10_000 * MAX_HEAP_CALLS
    assert _heap_calls(_mixed(20_000)) <= 2.5 * calls


def test_10_000_requests_of_which_half_would_displace_thousands_are_decided_likewise():
    # A thousand would give way for next to nothing, but free too little.
    cheap = [
        _request(n, 2.0, 60.0, cost=CallerCost(1e-6 if n < 1_000 else 1.0, 0.75))
        for n in range(5_000)
    ]
    hurried = [_request(n, 2.0, 1.0, 1.0) for n in range(5_000, 10_000)]
    assert _heap_calls([*cheap, *hurried]) <= 10_000 * MAX_HEAP_CALLS


def test_a_claimed_place_is_not_honoured_at_a_peer_that_has_heard_of_it():
    here, there, third = KeptPlaces(), KeptPlaces(), KeptPlaces()
    assert here.keep("f", 5.0, 0.0)
    opened = here.reports(0.1)
    assert opened == (KeptPlace("f", 4_900.0),)
    there.merge(opened, 0.1)
    third.merge(opened, 0.1)
    assert there.claim("f", 1.0)
    claimed = there.reports(1.1)
    assert [(p.fingerprint, p.is_claimed) for p in claimed] == [("f", True)]
    here.merge(claimed, 1.1)
    assert not here.claim("f", 1.2)
    # A report of the open place that was delayed doesn't open it again.
    there.merge(opened, 1.3)
    here.merge(opened, 1.3)
    assert not there.claim("f", 1.4)
    assert not here.claim("f", 1.4)
    # A peer that was not reached honours it: at most once at each such node.
    assert third.claim("f", 1.4)
    assert not third.claim("f", 1.5)


def test_all_places_are_reported_in_turn_and_claims_first():
    places = KeptPlaces()
    for number in range(100):
        places.keep(f"f{number}", 50.0, 0.0)
    places.claim("f99", 0.1)
    first = places.reports(0.2)
    assert first[0].fingerprint == "f99"
    reported = {p.fingerprint for p in first}
    for _ in range(100 // MAX_REPORTED):
        reports = places.reports(0.2)
        assert len(reports) <= MAX_REPORTED
        reported |= {p.fingerprint for p in reports}
    assert len(reported) == 100


def test_a_node_that_died_lost_its_places_and_its_callers_are_new():
    places = KeptPlaces()
    places.keep("f", 5.0, 0.0)
    assert not KeptPlaces().claim("f", 1.0)
    assert places.claim("f", 1.0)


def test_places_of_peers_leave_room_for_own_ones():
    places = KeptPlaces()
    places.merge((KeptPlace(f"p{n}", 60_000.0) for n in range(2 * MAX_PLACES)), 0.0)
    assert len(places) == MAX_PLACES_WITH_PEERS
    assert places.keep("own", 5.0, 0.0)
    for value in (math.nan, math.inf, -1.0):
        places.merge([KeptPlace("odd", value)], 0.0)
    assert not places.claim("odd", 0.0)


def test_an_expired_place_is_not_honoured():
    places = KeptPlaces()
    places.keep("f", 5.0, 0.0)
    places.keep("long", 1e6, 0.0)
    assert not places.claim("f", 5.0)
    assert not places.claim("long", MAX_KEPT_S)
    assert len(places) == 0


def test_kept_work_takes_at_most_half_of_the_rate():
    places = KeptPlaces()
    kept = sum(places.keep(f"f{n}", 4.0, 0.0, 500.0, RATE_MS_PER_S) for n in range(50))
    assert kept == 4
    # After 2 s, what was kept has had its half of 1,000 ms.
    kept = sum(places.keep(f"g{n}", 6.0, 2.0, 500.0, RATE_MS_PER_S) for n in range(50))
    assert kept == 2


@given(
    work_ms=st.floats(0.0, 1e6),
    patience_s=st.floats(0.0, 1e4),
    ahead_ms=st.floats(0.0, 1e9),
    refused_ms=st.floats(0.0, 1e9),
    rate=st.floats(0.0, 1e6),
    now=st.floats(0.0, 1e6),
    is_kept=st.booleans(),
    seed=st.integers(0, 2**16),
)
@settings(max_examples=500, deadline=None)
def test_a_retry_after_is_within_its_bounds(
    work_ms, patience_s, ahead_ms, refused_ms, rate, now, is_kept, seed
):
    request = _request("r", work_ms, patience_s, now)
    after_s = retry_after_s(
        request, ahead_ms, refused_ms, rate, now, random.Random(seed), is_kept
    )
    longest_s = HONOURED_SHARE * (request.give_up_s - now)
    if after_s is not None:
        assert MIN_RETRY_AFTER_S <= after_s <= min(longest_s, MAX_RETRY_AFTER_S)
    elif is_kept:
        assert longest_s < MIN_RETRY_AFTER_S


_OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["keep", "claim", "exchange"]),
        st.integers(0, 1),
        st.integers(0, 4),
        st.floats(0.0, 2.0),
    ),
    max_size=60,
)


@given(_OPERATIONS)
@settings(max_examples=300, deadline=None)
def test_each_request_claims_a_place_once_while_messages_arrive(operations):
    nodes = KeptPlaces(), KeptPlaces()
    now = 0.0
    last_claim_s = {}
    for operation, index, number, step_s in operations:
        now += step_s
        fingerprint = f"f{number}"
        if operation == "keep":
            nodes[index].keep(fingerprint, now + 10.0, now)
        elif operation == "claim" and nodes[index].claim(fingerprint, now):
            assert now - last_claim_s.get(fingerprint, -math.inf) >= WINDOW_S
            last_claim_s[fingerprint] = now
        for sender, receiver in (nodes, nodes[::-1]):
            receiver.merge(sender.reports(now), now)


@given(st.lists(st.tuples(st.integers(0, 9_000), st.floats(0.0, 90.0)), max_size=50))
@settings(max_examples=50, deadline=None)
def test_kept_places_are_bounded(operations):
    places = KeptPlaces()
    for number in range(MAX_PLACES - 10):
        places.keep(f"x{number}", 30.0, 0.0)
    for number, until_s in operations:
        places.keep(f"f{number}", until_s, 0.0)
        places.claim(f"f{number}", 0.0)
        places.merge([KeptPlace(f"m{number}", until_s * 1_000, number % 2 == 0)], 0.0)
        assert len(places) <= MAX_PLACES
        assert len(places.reports(0.0)) <= MAX_REPORTED


@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 1e5),
            st.floats(0.0, 120.0),
            st.floats(0.0, 50.0),
            st.floats(0.0, 1.0),
            st.integers(0, 9),
        ),
        max_size=60,
    ),
    st.floats(0.0, 1e5),
)
@settings(max_examples=300, deadline=None)
def test_a_request_is_refused_once_and_only_what_waits(shapes, rate):
    requests = [
        _request(n, work, patience, cost=CallerCost(weight, late), rank=rank)
        for n, (work, patience, weight, late, rank) in enumerate(shapes)
    ]
    rejections = choose_rejections(iter(requests), rate, 0.0)
    refused = [id(r.request) for r in rejections]
    assert len(set(refused)) == len(refused)
    assert set(refused) <= set(map(id, requests))
    # What remains is decided likewise again: nothing of it lacks time.
    remaining = [r for r in requests if id(r) not in set(refused)]
    for rejection in choose_rejections(remaining, rate, 0.0):
        assert rejection.reason is not RejectionReason.NO_TIME_LEFT


def load_tests(loader, tests, pattern):
    return collect(globals())

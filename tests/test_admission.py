"""Admission: fair order, queue limits, refusals, retry budget and backoff."""

import asyncio
import collections
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel.admission import (
    AccountUsage,
    Admission,
    AdmissionRequest,
    FairQueue,
    Lane,
    ModelRetryBudget,
    QueuedRequest,
    UsageTracker,
)
from tanagerkeel.backoff import full_jitter_s
from tanagerkeel.clock import ManualClock
from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.requests import LengthClass
from tests.support import collect

LANE = Lane("m", LengthClass.SHORT)
LONG_LANE = Lane("m", LengthClass.LONG)
NO_DEADLINE = 1e9


def _queued(account, cost=100.0, weight=1.0, latest=NO_DEADLINE):
    return QueuedRequest(account, weight, cost, latest)


def _request(
    account="a", cost=100.0, lane=LANE, deadline=NO_DEADLINE, service=0.0, weight=1.0
):
    return AdmissionRequest(lane, account, weight, cost, service, deadline)


def _admission(streams=1, queue=100, clock=None):
    return Admission(clock or ManualClock(), queue, streams)


async def _code_of(ticket) -> ResultCode:
    try:
        with ticket:
            await ticket.wait_admitted()
    except TanagerkeelError as error:
        assert error.ran is Ran.NO
        return error.result
    raise AssertionError("the request was admitted")


class _SettableCapacity:
    tokens = 0.0

    def available_tokens(self, lane, now):
        return self.tokens


def _serve(queue, steps, running=1):
    """
    Pop up to ``steps`` requests and return the tokens served by account.

    :param queue: the queue.
    :param steps: how many requests to pop.
    :param running: how many requests run at the same time.
    """
    served = {}
    in_progress = []
    for _ in range(steps):
        item = queue.pop()
        if item is None:
            break
        served[item.account] = served.get(item.account, 0.0) + item.cost_tokens
        in_progress.append(item)
        if len(in_progress) > running:
            ended = in_progress.pop(0)
            queue.complete(ended, ended.cost_tokens)
    return served


@settings(derandomize=True, deadline=None, max_examples=60)
@given(
    st.lists(st.floats(0.5, 8.0), min_size=2, max_size=8),
    st.integers(0, 1_000),
    st.integers(1, 6),
)
def test_backlogged_accounts_are_served_by_weight(weights, seed, running):
    source = random.Random(seed)
    queue = FairQueue()
    for index, weight in enumerate(weights):
        for _ in range(600):
            queue.push(_queued(f"a{index}", source.uniform(50, 150), weight))
    served = _serve(queue, 500, running)
    shares = [served[f"a{i}"] / w for i, w in enumerate(weights)]
    most = 150 * (running + 2) / min(weights)
    assert max(shares) - min(shares) <= most


def test_a_newly_active_account_is_served_within_two_pops():
    queue = FairQueue()
    for _ in range(500):
        queue.push(_queued("heavy"))
    _serve(queue, 100)
    queue.push(_queued("new"))
    popped = [queue.pop().account for _ in range(2)]
    assert "new" in popped


def test_an_account_whose_running_work_exceeds_its_share_is_skipped():
    queue = FairQueue()
    for _ in range(8):
        queue.push(_queued("slow"))
    for _ in range(4):
        queue.pop()
    for _ in range(4):
        queue.push(_queued("other"))
    # By start tags alone, "slow" would be popped every second time.
    assert [queue.pop().account for _ in range(3)] == ["other"] * 3
    # Once both run the same amount of work, they alternate again.
    assert {queue.pop().account for _ in range(2)} == {"other", "slow"}


def test_unused_cost_is_credited_to_the_account():
    queue = FairQueue()
    for _ in range(200):
        queue.push(_queued("short-answers", 100.0))
        queue.push(_queued("others", 100.0))
    counts = {"short-answers": 0, "others": 0}
    for _ in range(150):
        item = queue.pop()
        counts[item.account] += 1
        queue.complete(item, 50.0 if item.account == "short-answers" else 100.0)
    assert abs(counts["short-answers"] - 100) <= 2


def test_an_account_with_fractional_costs_is_removed_after_its_last_request():
    """Token sums with rounding errors would keep an idle account active."""
    source = random.Random(3)
    queue = FairQueue()
    other = QueuedRequest("other", 1.0, 5.0, NO_DEADLINE)
    queue.push(other)
    assert queue.pop() is other
    for _ in range(50):
        for _ in range(5):
            queue.push(QueuedRequest("one", 1.0, source.uniform(100, 1e6), NO_DEADLINE))
        running = [queue.pop() for _ in range(5)]
        source.shuffle(running)
        for item in running:
            queue.complete(item, item.cost_tokens)
        assert [name for name, _ in queue.active] == ["other"]


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5)), max_size=200))
def test_token_counts_match_after_any_sequence_of_operations(steps):
    queue = FairQueue()
    waiting, running = [], []
    for action, number in steps:
        if action == 0:
            item = _queued(f"a{number}", 10.0 + number)
            queue.push(item)
            waiting.append(item)
        elif action == 1 and waiting:
            assert queue.remove(waiting.pop(number % len(waiting)))
        elif action == 2 and (item := queue.pop()) is not None:
            waiting.remove(item)
            running.append(item)
        elif action == 3 and running:
            queue.complete(running.pop(number % len(running)), 5.0)
        assert len(queue) == len(waiting)
        assert abs(queue.queued_tokens - sum(w.cost_tokens for w in waiting)) < 1e-6
        assert abs(queue.running_tokens - sum(r.cost_tokens for r in running)) < 1e-6
    for item in running:
        queue.complete(item, item.cost_tokens)
    for item in waiting:
        assert queue.remove(item)
    assert queue.running_tokens == queue.queued_tokens == 0.0
    assert not list(queue.active)


def test_940_accounts_are_served_equally_and_the_heap_stays_bounded():
    queue = FairQueue()
    for index in range(940):
        queue.push(_queued(f"a{index}"))
    counts = collections.Counter()
    for _ in range(9_400):
        item = queue.pop()
        counts[item.account] += 1
        queue.complete(item, 100.0)
        again = _queued(item.account)
        queue.push(again)
        # A removed request leaves a stale heap entry, which must be compacted away.
        queue.remove(again)
        queue.push(_queued(item.account))
    assert set(counts.values()) == {10}
    assert len(queue._heap) <= 64 + 2 * 940 + 1


def test_usage_on_other_nodes_lowers_the_factor_on_this_node():
    tracker = UsageTracker()
    for second in range(60):
        tracker.record_admitted("a", 100.0, float(second))
        tracker.record_admitted("b", 100.0, float(second))
    active = (("a", 1.0), ("b", 1.0))
    assert tracker.factors(active, 60.0) == {}
    tracker.update_remote("n2", (AccountUsage("a", 100.0),), 60.0)
    factors = tracker.factors(active, 60.0)
    # Water-filling 200 tokens/s here: "a" has 100 elsewhere and gets 50 here, and
    # "b" gets 150 here. The factor is 50 / 150.
    assert factors["b"] == 1.0
    assert 0.28 < factors["a"] < 0.38
    tracker.update_remote("n3", (AccountUsage("a", 1e9),), 60.0)
    assert tracker.factors(active, 60.0)["a"] == 0.1
    assert tracker.factors(active, 90.0) == {}
    assert [u.account for u in tracker.heaviest(1, 60.0)][0] in ("a", "b")


async def test_an_idle_node_admits_immediately():
    admission = _admission(streams=2)
    with admission.enqueue(_request()) as ticket:
        await ticket.wait_admitted()
        assert admission.streams == 1
    assert admission.streams == admission.waiting == 0


async def test_late_requests_are_answered_when_they_become_hopeless():
    clock = ManualClock()
    admission = _admission(clock=clock)
    now = clock.monotonic()
    running = admission.enqueue(_request())
    late = admission.enqueue(_request(deadline=now + 10, service=4.0))
    passed = admission.enqueue(_request(deadline=now + 5))
    with running:
        clock.advance(5.5)
        admission.admit_waiting()
        assert await _code_of(passed) is ResultCode.DEADLINE_EXCEEDED
        assert not late._admitted.done()
        clock.advance(0.6)
        admission.admit_waiting()
        assert await _code_of(late) is ResultCode.DEADLINE_INFEASIBLE
    assert admission.streams == admission.waiting == 0


async def test_waiting_requests_are_admitted_when_capacity_appears():
    """Capacity may grow without any call to admission, so it has to be polled."""
    clock = ManualClock()
    capacity = _SettableCapacity()
    admission = Admission(clock, 10, 10, capacity)
    ticket = admission.enqueue(_request())
    admitted = asyncio.ensure_future(ticket.wait_admitted())
    await asyncio.sleep(0)
    assert not admitted.done()
    capacity.tokens = 1.0
    clock.advance(0.02)
    await admitted
    with ticket:
        pass
    assert admission.streams == 0


async def test_an_infeasible_deadline_is_refused_immediately():
    clock = ManualClock()
    admission = _admission(clock=clock)
    try:
        admission.enqueue(_request(deadline=clock.monotonic() + 1, service=2.0))
    except TanagerkeelError as error:
        assert error.result is ResultCode.DEADLINE_INFEASIBLE
        assert error.ran is Ran.NO
        assert error.retry_after_s >= 1
    else:
        raise AssertionError("the request was queued")
    assert admission.waiting == 0


async def test_a_full_queue_evicts_from_the_account_with_the_largest_backlog():
    admission = _admission(queue=4)
    with admission.enqueue(_request()):
        heavy = [admission.enqueue(_request("heavy")) for _ in range(4)]
        light = admission.enqueue(_request("light"))
        assert await _code_of(heavy[-1]) is ResultCode.OVERLOADED
        try:
            admission.enqueue(_request("heavy"))
        except TanagerkeelError as error:
            assert error.result is ResultCode.OVERLOADED
        else:
            raise AssertionError("the account with the largest backlog was queued")
        assert admission.waiting == 4
        for ticket in (*heavy, light):
            with ticket:
                pass
    assert admission.streams == admission.waiting == 0


async def test_cancelled_tasks_release_their_queue_place_or_stream():
    admission = _admission()
    reached = []

    async def hold(name):
        with admission.enqueue(_request(name)) as ticket:
            await ticket.wait_admitted()
            reached.append(name)
            await asyncio.Event().wait()

    tasks = [asyncio.create_task(hold(f"a{n}")) for n in range(5)]
    await asyncio.sleep(0)
    # Cancel a waiting task and the running one: one more task is admitted.
    tasks[2].cancel()
    tasks[0].cancel()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert len(reached) == 2
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert admission.streams == admission.waiting == 0


async def test_long_requests_leave_streams_for_short_ones():
    admission = _admission(streams=4)
    long = [admission.enqueue(_request(lane=LONG_LANE)) for _ in range(4)]
    assert admission.streams == 2
    short = admission.enqueue(_request())
    assert admission.streams == 3
    for ticket in (*long, short):
        with ticket:
            pass
    assert admission.streams == admission.waiting == 0


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.floats(0, 3), st.booleans()), max_size=300))
def test_retries_stay_within_the_budget(steps):
    budget = ModelRetryBudget()
    now = 0.0
    firsts, retries = [], []
    for delay, is_first in steps:
        now += delay
        if is_first:
            budget.record_first_attempt(now)
            firsts.append(now)
        elif budget.try_acquire(now):
            retries.append(now)
            # Slots expire as a whole, so the window is up to 65 s long.
            recent = sum(1 for t in firsts if t > now - 65.0)
            made = sum(1 for t in retries if t > now - 60.0)
            assert made <= max(5, 0.1 * recent)


def test_retries_after_the_same_death_are_charged_once():
    budget = ModelRetryBudget()
    assert all(budget.try_acquire(1.0, "e1 1") for _ in range(50))
    made = sum(budget.try_acquire(1.0, f"e{n} 1") for n in range(2, 20))
    assert made == 4
    assert not budget.try_acquire(1.0)
    # After the window has passed, the same death is charged again.
    assert budget.try_acquire(70.0, "e1 1")


def test_backoff_uses_full_jitter_and_is_bounded():
    source = random.Random(1)
    delays = [full_jitter_s(3, source) for _ in range(2_000)]
    assert min(delays) < 0.01 and 0.19 < max(delays) <= 0.2
    assert max(full_jitter_s(50, source) for _ in range(2_000)) <= 2.0


def load_tests(loader, tests, pattern):
    return collect(globals())

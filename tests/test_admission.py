"""Fair order, bounds and refusals of admission."""

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
    RetryBudget,
    UsageBook,
    Waiting,
)
from tanagerkeel.backoff import full_jitter_s
from tanagerkeel.clock import ManualClock
from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.requests import LengthClass
from tests.support import collect

LANE = Lane("m", LengthClass.SHORT)
LONG_LANE = Lane("m", LengthClass.LONG)
FAR = 1e9


def _waiting(account, cost=100.0, weight=1.0, latest=FAR):
    return Waiting(account, weight, cost, latest)


def _request(account="a", cost=100.0, lane=LANE, deadline=FAR, service=0.0, weight=1.0):
    return AdmissionRequest(lane, account, weight, cost, service, deadline)


def _admission(streams=1, queue=100, clock=None):
    return Admission(clock or ManualClock(), queue, streams)


async def _code_of(ticket) -> ResultCode:
    try:
        with ticket:
            await ticket.turn()
    except TanagerkeelError as error:
        assert error.ran is Ran.NO
        return error.result
    raise AssertionError("it was admitted")


class _Closed:
    tokens = 0.0

    def open_tokens(self, lane, now):
        return self.tokens


def _served(queue, steps, running=1):
    """Run the queue's turns, a few at once, and return the tokens by account."""
    served = {}
    held = []
    for _ in range(steps):
        item = queue.pop()
        if item is None:
            break
        served[item.account] = served.get(item.account, 0.0) + item.cost_tokens
        held.append(item)
        if len(held) > running:
            done = held.pop(0)
            queue.done(done, done.cost_tokens)
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
            queue.push(_waiting(f"a{index}", source.uniform(50, 150), weight))
    served = _served(queue, 500, running)
    shares = [served[f"a{i}"] / w for i, w in enumerate(weights)]
    most = 150 * (running + 2) / min(weights)
    assert max(shares) - min(shares) <= most


def test_a_late_account_waits_for_one_turn_only():
    queue = FairQueue()
    for _ in range(500):
        queue.push(_waiting("heavy"))
    _served(queue, 100)
    queue.push(_waiting("late"))
    turns = [queue.pop().account for _ in range(2)]
    assert "late" in turns


def test_an_account_that_holds_more_than_its_share_goes_behind():
    queue = FairQueue()
    for _ in range(8):
        queue.push(_waiting("slow"))
    for _ in range(4):
        queue.pop()
    for _ in range(4):
        queue.push(_waiting("other"))
    # Virtual time alone would let "slow" take every second turn.
    assert [queue.pop().account for _ in range(3)] == ["other"] * 3
    # With equal shares held, the turns alternate again.
    assert {queue.pop().account for _ in range(2)} == {"other", "slow"}


def test_unused_work_goes_back_to_the_account():
    queue = FairQueue()
    for _ in range(200):
        queue.push(_waiting("short-answers", 100.0))
        queue.push(_waiting("others", 100.0))
    counts = {"short-answers": 0, "others": 0}
    for _ in range(150):
        item = queue.pop()
        counts[item.account] += 1
        queue.done(item, 50.0 if item.account == "short-answers" else 100.0)
    assert abs(counts["short-answers"] - 100) <= 2


def test_an_account_with_fractional_costs_is_forgotten_when_all_has_ended():
    source = random.Random(3)
    queue = FairQueue()
    other = Waiting("other", 1.0, 5.0, FAR)
    queue.push(other)
    assert queue.pop() is other
    for _ in range(50):
        for _ in range(5):
            queue.push(Waiting("one", 1.0, source.uniform(100, 1e6), FAR))
        running = [queue.pop() for _ in range(5)]
        source.shuffle(running)
        for item in running:
            queue.done(item, item.cost_tokens)
        assert [name for name, _ in queue.active] == ["other"]


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5)), max_size=200))
def test_the_queue_keeps_count_whatever_happens(steps):
    queue = FairQueue()
    waiting, running = [], []
    for action, number in steps:
        if action == 0:
            item = _waiting(f"a{number}", 10.0 + number)
            queue.push(item)
            waiting.append(item)
        elif action == 1 and waiting:
            assert queue.remove(waiting.pop(number % len(waiting)))
        elif action == 2 and (item := queue.pop()) is not None:
            waiting.remove(item)
            running.append(item)
        elif action == 3 and running:
            queue.done(running.pop(number % len(running)), 5.0)
        assert len(queue) == len(waiting)
        assert abs(queue.queued_tokens - sum(w.cost_tokens for w in waiting)) < 1e-6
        assert abs(queue.held_tokens - sum(r.cost_tokens for r in running)) < 1e-6
    for item in running:
        queue.done(item, item.cost_tokens)
    for item in waiting:
        assert queue.remove(item)
    assert queue.held_tokens == queue.queued_tokens == 0.0
    assert not list(queue.active)


def test_940_accounts_are_served_in_turn_in_bounded_memory():
    queue = FairQueue()
    for index in range(940):
        queue.push(_waiting(f"a{index}"))
    counts = collections.Counter()
    for _ in range(9_400):
        item = queue.pop()
        counts[item.account] += 1
        queue.done(item, 100.0)
        again = _waiting(item.account)
        queue.push(again)
        # A request that leaves without its turn takes no memory with it.
        queue.remove(again)
        queue.push(_waiting(item.account))
    assert set(counts.values()) == {10}
    assert len(queue._heap) <= 64 + 2 * 940 + 1


def test_use_on_other_nodes_lowers_the_share_here():
    book = UsageBook()
    for second in range(60):
        book.served("a", 100.0, float(second))
        book.served("b", 100.0, float(second))
    active = (("a", 1.0), ("b", 1.0))
    assert book.factors(active, 60.0) == {}
    book.learn("n2", (AccountUsage("a", 100.0),), 60.0)
    factors = book.factors(active, 60.0)
    # 100 elsewhere and 50 here against 150 here.
    assert factors["b"] == 1.0
    assert 0.28 < factors["a"] < 0.38
    book.learn("n3", (AccountUsage("a", 1e9),), 60.0)
    assert book.factors(active, 60.0)["a"] == 0.1
    assert book.factors(active, 90.0) == {}
    assert [u.account for u in book.heavy(1, 60.0)][0] in ("a", "b")


async def test_a_free_node_admits_at_once():
    admission = _admission(streams=2)
    with admission.enter(_request()) as ticket:
        await ticket.turn()
        assert admission.streams == 1
    assert admission.streams == admission.waiting == 0


async def test_late_requests_are_answered_when_they_become_hopeless():
    clock = ManualClock()
    admission = _admission(clock=clock)
    now = clock.monotonic()
    running = admission.enter(_request())
    late = admission.enter(_request(deadline=now + 10, service=4.0))
    passed = admission.enter(_request(deadline=now + 5))
    with running:
        clock.advance(5.5)
        admission.pump()
        assert await _code_of(passed) is ResultCode.DEADLINE_EXCEEDED
        assert not late._turn.done()
        clock.advance(0.6)
        admission.pump()
        assert await _code_of(late) is ResultCode.DEADLINE_INFEASIBLE
    assert admission.streams == admission.waiting == 0


async def test_the_waiting_are_served_though_nobody_calls():
    clock = ManualClock()
    room = _Closed()
    admission = Admission(clock, 10, 10, room)
    ticket = admission.enter(_request())
    turn = asyncio.ensure_future(ticket.turn())
    await asyncio.sleep(0)
    assert not turn.done()
    room.tokens = 1.0
    clock.advance(0.02)
    await turn
    with ticket:
        pass
    assert admission.streams == 0


async def test_what_cannot_be_met_is_refused_at_once():
    clock = ManualClock()
    admission = _admission(clock=clock)
    try:
        admission.enter(_request(deadline=clock.monotonic() + 1, service=2.0))
    except TanagerkeelError as error:
        assert error.result is ResultCode.DEADLINE_INFEASIBLE
        assert error.ran is Ran.NO
        assert error.retry_after_s >= 1
    else:
        raise AssertionError("it was queued")
    assert admission.waiting == 0


async def test_a_full_queue_pushes_out_the_heaviest_account():
    admission = _admission(queue=4)
    with admission.enter(_request()):
        heavy = [admission.enter(_request("heavy")) for _ in range(4)]
        light = admission.enter(_request("light"))
        assert await _code_of(heavy[-1]) is ResultCode.OVERLOADED
        try:
            admission.enter(_request("heavy"))
        except TanagerkeelError as error:
            assert error.result is ResultCode.OVERLOADED
        else:
            raise AssertionError("the heaviest account got in")
        assert admission.waiting == 4
        for ticket in (*heavy, light):
            with ticket:
                pass
    assert admission.streams == admission.waiting == 0


async def test_cancelled_tasks_release_place_and_stream():
    admission = _admission()
    reached = []

    async def hold(name):
        with admission.enter(_request(name)) as ticket:
            await ticket.turn()
            reached.append(name)
            await asyncio.Event().wait()

    tasks = [asyncio.create_task(hold(f"a{n}")) for n in range(5)]
    await asyncio.sleep(0)
    # Cancel one that waits, then the one that runs: each time, one more runs.
    tasks[2].cancel()
    tasks[0].cancel()
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert len(reached) == 2
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    assert admission.streams == admission.waiting == 0


async def test_long_requests_leave_streams_to_short_ones():
    admission = _admission(streams=4)
    long = [admission.enter(_request(lane=LONG_LANE)) for _ in range(4)]
    assert admission.streams == 2
    short = admission.enter(_request())
    assert admission.streams == 3
    for ticket in (*long, short):
        with ticket:
            pass
    assert admission.streams == admission.waiting == 0


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.lists(st.tuples(st.floats(0, 3), st.booleans()), max_size=300))
def test_retries_stay_within_their_share(steps):
    budget = RetryBudget()
    now = 0.0
    firsts, retries = [], []
    for delay, is_first in steps:
        now += delay
        if is_first:
            budget.first_try(now)
            firsts.append(now)
        elif budget.take(now):
            retries.append(now)
            # A slot counts as a whole, so the window is up to 65 s long.
            recent = sum(1 for t in firsts if t > now - 65.0)
            made = sum(1 for t in retries if t > now - 60.0)
            assert made <= max(5, 0.1 * recent)


def test_all_that_one_death_broke_off_counts_once():
    budget = RetryBudget()
    assert all(budget.take(1.0, "e1 1") for _ in range(50))
    made = sum(budget.take(1.0, f"e{n} 1") for n in range(2, 20))
    assert made == 4
    assert not budget.take(1.0)
    # It is counted anew once its window has passed.
    assert budget.take(70.0, "e1 1")


def test_jitter_is_full_and_bounded():
    source = random.Random(1)
    delays = [full_jitter_s(3, source) for _ in range(2_000)]
    assert min(delays) < 0.01 and 0.19 < max(delays) <= 0.2
    assert max(full_jitter_s(50, source) for _ in range(2_000)) <= 2.0


def load_tests(loader, tests, pattern):
    return collect(globals())

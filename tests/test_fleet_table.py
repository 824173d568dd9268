"""The fleet table: lag correction, crossed reports, cache events, memory bounds."""

import math
import random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel.fleet import BackendState, LeavingSource
from tanagerkeel.gateways.engines import CacheEvent, CacheEventBatch, CacheEventKind
from tests.fleet_support import (
    catalog,
    dispatch_of,
    engines,
    report_of,
    snapshot_of,
    table_of,
)
from tests.support import collect

NAME = "engine-00"


@attrs.define
class Work:
    """One request as the naive engine sees it."""

    tokens: int
    urgent: bool
    sent_s: float
    first_s: float = 1e9
    end_s: float = 1e9

    def is_waiting(self, at_s):
        return self.sent_s <= at_s < self.first_s

    def is_running(self, at_s):
        return self.sent_s <= at_s < self.end_s


work_items = st.builds(
    lambda tokens, urgent, sent_s, wait_s, run_s: Work(
        tokens,
        urgent,
        100.0 + sent_s,
        100.0 + sent_s + wait_s,
        100.0 + sent_s + wait_s + run_s,
    ),
    st.integers(1, 50_000),
    st.booleans(),
    st.integers(0, 30),
    st.integers(1, 20),
    st.integers(1, 30),
)


@settings(derandomize=True, deadline=None, max_examples=200, database=None)
@given(st.lists(work_items, max_size=12), st.integers(0, 6), st.integers(0, 40))
def test_a_late_report_with_own_work_gives_the_present_truth(work, lag_s, at_s):
    """With no other node, report and correction must give the very truth."""
    table = table_of(engines(1))
    steps = []
    for index, item in enumerate(work):
        name = f"a-{index}"
        start = dispatch_of(NAME, name, item.tokens, item.urgent, item.sent_s)
        steps.append((item.sent_s, 0, lambda d=start: table.dispatched(d)))
        first, end = item.first_s, item.end_s
        steps.append((first, 1, lambda n=name, t=first: table.first_token(NAME, n, t)))
        steps.append((end, 2, lambda n=name, t=end: table.ended(NAME, n, t)))
    now = 100.0 + at_s
    for time_s, _, step in sorted(steps, key=lambda s: s[:2]):
        if time_s <= now:
            step()
    measured_s = now - lag_s
    seen = [w for w in work if w.is_running(measured_s)]
    report = report_of(
        age_ms=lag_s * 1_000,
        running=len(seen),
        waiting_tokens=sum(w.tokens for w in seen if w.is_waiting(measured_s)),
        memory_used_tokens=sum(w.tokens + 100 for w in seen),
    )
    table.observe(NAME, report, now)
    snapshot = snapshot_of(table, NAME, now)
    waiting = [w for w in work if w.is_waiting(now)]
    running = [w for w in work if w.is_running(now)]
    assert snapshot.waiting_tokens == sum(w.tokens for w in waiting)
    assert snapshot.urgent_tokens == sum(w.tokens for w in waiting if w.urgent)
    assert snapshot.running == len(running)
    assert snapshot.long_running == sum(not w.urgent for w in running)
    used = sum(w.tokens + 100 for w in running)
    assert snapshot.free_memory_tokens == max(0, 400_000 - used)


def test_an_older_report_and_an_ended_incarnation_change_nothing():
    table = table_of(engines(1))
    table.observe(NAME, report_of("i-2", waiting_tokens=7), 105.0)
    table.observe(NAME, report_of("i-2", waiting_tokens=9, age_ms=3_000), 106.0)
    table.observe(NAME, report_of("i-1", waiting_tokens=11), 107.0)
    assert table._records[NAME].load.report.waiting_tokens == 7
    assert snapshot_of(table, NAME, 107.0).incarnation == "i-2"
    assert snapshot_of(table, NAME, 105.0).waiting_tokens == 7


def test_others_work_of_a_late_report_is_taken_to_be_prefilled_meanwhile():
    table = table_of(engines(1))
    table.dispatched(dispatch_of(NAME, "own", 3_000, sent_s=100.0))
    # The others' 20,000 tokens wait beside the own ones; 10,000 a second are done.
    report = report_of(age_ms=1_000, waiting_tokens=23_000, running=5)
    table.observe(NAME, report, 102.0)
    assert snapshot_of(table, NAME, 102.0).waiting_tokens == 13_000
    # Own work without a first token waits, whatever there was time for.
    assert snapshot_of(table, NAME, 106.0).waiting_tokens == 3_000
    table.dispatched(dispatch_of(NAME, "new", 500, sent_s=106.0))
    assert snapshot_of(table, NAME, 106.0).waiting_tokens == 3_500
    table.first_token(NAME, "own", 106.0)
    assert snapshot_of(table, NAME, 106.0).waiting_tokens == 500


def test_a_report_ages_out():
    table = table_of(engines(1), waiting_tokens=5_000)
    assert snapshot_of(table, NAME, 105.0).state is BackendState.WARM
    late = snapshot_of(table, NAME, 111.0)
    assert late.state is BackendState.UNKNOWN
    assert late.needs_permit
    assert late.waiting_tokens == 0


def test_rates_are_measured_and_never_zero():
    table = table_of(engines(1), prefill_rate=0.0, decode_rate=0.0)
    assert snapshot_of(table, NAME, 100.0).prefill_rate > 0
    assert snapshot_of(table, NAME, 100.0).decode_rate > 0
    now = 100.0
    for index in range(30):
        table.dispatched(dispatch_of(NAME, f"a-{index}", 4_000, sent_s=now))
        table.first_token(NAME, f"a-{index}", now + 2.0)
        table.ended(NAME, f"a-{index}", now + 2.0)
        now += 3.0
        table.observe(NAME, report_of(prefill_rate=0.0), now)
    assert 1_900 < snapshot_of(table, NAME, now).prefill_rate < 3_500


def test_sudden_slow_prefill_means_cold_again():
    table = table_of(engines(1))
    now = 100.0
    for index, wait_s in enumerate([0.2] * 20 + [2.0] * 3):
        table.observe(NAME, report_of(), now)
        table.dispatched(dispatch_of(NAME, f"a-{index}", 2_000, sent_s=now))
        table.first_token(NAME, f"a-{index}", now + wait_s)
        table.ended(NAME, f"a-{index}", now + wait_s)
        now += wait_s
    assert snapshot_of(table, NAME, now).state is BackendState.COLD


def test_the_way_there_and_back_is_not_slow_prefill():
    table = table_of(engines(1))
    now = 100.0
    for index in range(20):
        table.observe(NAME, report_of(prefill_rate=200_000.0), now)
        table.dispatched(dispatch_of(NAME, f"a-{index}", 1_000, sent_s=now))
        # 5 ms of prefill, and a busy network around it.
        table.first_token(NAME, f"a-{index}", now + 0.2)
        table.ended(NAME, f"a-{index}", now + 0.2)
        now += 0.3
        assert snapshot_of(table, NAME, now).state is BackendState.WARM


def test_whoever_says_first_that_a_server_leaves_is_believed():
    servers = engines(1)
    for leave in (
        lambda t: t.configure(catalog([attrs.evolve(servers[0], leaving=True)])),
        lambda t: t.configure(catalog(servers, out=True)),
        lambda t: t.leaving(NAME),
        lambda t: t.observe(NAME, report_of(leaving=True), 101.0),
    ):
        table = table_of(servers)
        leave(table)
        snapshot = snapshot_of(table, NAME, 101.0)
        assert snapshot.state is BackendState.LEAVING
        assert not snapshot.takes_work
        # Back again: it is ramped up, although it calls itself warm.
        table.configure(catalog(servers))
        table.clear_leaving(NAME, LeavingSource.VM_LIST)
        table.observe(NAME, report_of(), 102.0)
        assert snapshot_of(table, NAME, 102.0).state is BackendState.COLD


def _answer(table, name, number, tokens, seconds, now):
    attempt = f"{name}-{number}"
    table.dispatched(dispatch_of(name, attempt, tokens, sent_s=now))
    table.first_token(name, attempt, now + seconds)
    table.ended(name, attempt, now + seconds)


def test_a_slow_engine_is_ejected_probed_again_and_never_too_many():
    source = random.Random(5)
    servers = engines(10)
    names = [s.name for s in servers]
    table = table_of(servers)
    slow = {names[3]}
    now = 100.0
    first_ejected = []
    for number in range(2_400):
        now += 6.0
        if number == 2_000:
            # Half the fleet at once: it must not be taken out.
            slow = set(names[:5])
        for name in names:
            table.observe(name, report_of(), now)
        usable = [s.server.name for s in table.snapshots(now) if not s.ejected]
        out = set(names) - set(usable)
        assert len(out) <= 2
        if number < 2_000:
            assert out <= slow
        first_ejected += [number] if out and not first_ejected else []
        tokens = source.choice([1_000, 3_000, 8_000])
        name = source.choice(usable)
        factor = 2.5 if name in slow else 1.0
        noise = math.exp(source.gauss(0, 0.3))
        _answer(table, name, number, tokens, tokens / 10_000 * factor * noise, now)
    assert first_ejected and first_ejected[0] < 600
    # It got work between two ejections: it is probed.
    assert table._slow_detector._ejections._ejected[names[3]].duration_s > 60


def test_two_engines_are_never_ejected():
    table = table_of(engines(2))
    for number in range(400):
        now = 100.0 + number
        for index, name in enumerate(("engine-00", "engine-01")):
            table.observe(name, report_of(), now)
            _answer(table, name, number, 2_000, 0.2 * (1 + index), now)
        assert not any(s.ejected for s in table.snapshots(now))


def _batch(*events, incarnation="i-1"):
    return CacheEventBatch(
        incarnation,
        tuple(
            CacheEvent(
                sequence,
                CacheEventKind.STORED if block > 0 else CacheEventKind.EVICTED,
                abs(block),
            )
            for sequence, block in events
        ),
    )


def test_cache_events_late_twice_and_with_a_gap():
    table = table_of(engines(1))
    blocks = (11, 12, 13)
    table.cache_events(NAME, _batch((1, 11), (2, 12), (3, 13)), 100.0)
    assert table.cached_tokens(NAME, blocks) == 3 * 256
    table.cache_events(NAME, _batch((4, -12)), 100.0)
    assert table.cached_tokens(NAME, blocks) == 256
    # What came before comes again and must not undo the eviction.
    table.cache_events(NAME, _batch((1, 11), (2, 12)), 100.0)
    assert table.cached_tokens(NAME, blocks) == 256
    # Event 5 is lost: nothing known before it can be trusted.
    table.cache_events(NAME, _batch((6, 12)), 100.0)
    assert table.cached_tokens(NAME, blocks) == 0
    assert table.last_cache_sequence(NAME) == 6
    table.cache_events(NAME, _batch((7, 11)), 100.0)
    assert table.cached_tokens(NAME, blocks) == 2 * 256
    table.observe(NAME, report_of("i-2"), 101.0)
    assert table.cached_tokens(NAME, blocks) == 0
    assert table.last_cache_sequence(NAME) == 0
    table.cache_events(NAME, _batch((8, 11)), 102.0)
    assert table.cached_tokens(NAME, blocks) == 0


def test_memory_stays_bounded():
    table = table_of(engines(1))
    for index in range(2_500):
        blocks = (index * 3 + 1, index * 3 + 2, index * 3 + 3)
        table.dispatched(dispatch_of(NAME, f"a-{index}", blocks=blocks))
        table.first_token(NAME, f"a-{index}", 101.0)
        if index % 2:
            table.ended(NAME, f"a-{index}", 101.0)
    record = table._records[NAME]
    assert len(record.load._open) <= 1_024
    assert len(record.load._ended) <= 256
    assert len(record.prefixes._blocks) <= 512


def load_tests(loader, tests, pattern):
    return collect(globals())

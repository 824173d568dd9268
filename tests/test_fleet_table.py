"""The fleet table: late and reordered reports, ejections, cache events, bounds."""

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
class Request:
    """One request as the modelled engine processes it."""

    tokens: int
    urgent: bool
    sent_s: float
    first_s: float = 1e9
    end_s: float = 1e9

    def is_waiting(self, at_s):
        return self.sent_s <= at_s < self.first_s

    def is_running(self, at_s):
        return self.sent_s <= at_s < self.end_s


requests = st.builds(
    lambda tokens, urgent, sent_s, wait_s, run_s: Request(
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
@given(st.lists(requests, max_size=12), st.integers(0, 6), st.integers(0, 40))
def test_late_report_corrected_by_own_dispatches_is_exact(work, lag_s, at_s):
    """Without other nodes the corrected estimate must equal the engine's load."""
    table = table_of(engines(1))
    steps = []
    for index, item in enumerate(work):
        name = f"a-{index}"
        start = dispatch_of(NAME, name, item.tokens, item.urgent, item.sent_s)
        steps.append((item.sent_s, 0, lambda d=start: table.record_dispatch(d)))
        first, end = item.first_s, item.end_s
        steps.append(
            (first, 1, lambda n=name, t=first: table.record_first_token(NAME, n, t))
        )
        steps.append((end, 2, lambda n=name, t=end: table.record_end(NAME, n, t)))
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
    table.record_report(NAME, report, now)
    snapshot = snapshot_of(table, NAME, now)
    waiting = [w for w in work if w.is_waiting(now)]
    running = [w for w in work if w.is_running(now)]
    assert snapshot.waiting_tokens == sum(w.tokens for w in waiting)
    assert snapshot.urgent_tokens == sum(w.tokens for w in waiting if w.urgent)
    assert snapshot.running == len(running)
    assert snapshot.own_long_requests == sum(not w.urgent for w in running)
    used = sum(w.tokens + 100 for w in running)
    assert snapshot.free_memory_tokens == max(0, 400_000 - used)


def test_older_report_and_replaced_incarnation_change_nothing():
    table = table_of(engines(1))
    table.record_report(NAME, report_of("i-2", waiting_tokens=7), 105.0)
    table.record_report(NAME, report_of("i-2", waiting_tokens=9, age_ms=3_000), 106.0)
    table.record_report(NAME, report_of("i-1", waiting_tokens=11), 107.0)
    assert table._records[NAME].load.report.waiting_tokens == 7
    assert snapshot_of(table, NAME, 107.0).incarnation == "i-2"
    assert snapshot_of(table, NAME, 105.0).waiting_tokens == 7


def test_reported_work_of_other_nodes_decreases_with_the_prefill_rate():
    table = table_of(engines(1))
    table.record_dispatch(dispatch_of(NAME, "own", 3_000, sent_s=100.0))
    # Besides its own tokens, 20,000 of other nodes wait; 10,000/s are prefilled.
    report = report_of(age_ms=1_000, waiting_tokens=23_000, running=5)
    table.record_report(NAME, report, 102.0)
    assert snapshot_of(table, NAME, 102.0).waiting_tokens == 13_000
    # This node's request waits until its first token, however long the engine had.
    assert snapshot_of(table, NAME, 106.0).waiting_tokens == 3_000
    table.record_dispatch(dispatch_of(NAME, "new", 500, sent_s=106.0))
    assert snapshot_of(table, NAME, 106.0).waiting_tokens == 3_500
    table.record_first_token(NAME, "own", 106.0)
    assert snapshot_of(table, NAME, 106.0).waiting_tokens == 500


def test_stale_report_does_not_count():
    table = table_of(engines(1), waiting_tokens=5_000)
    assert snapshot_of(table, NAME, 105.0).state is BackendState.WARM
    stale = snapshot_of(table, NAME, 111.0)
    assert stale.state is BackendState.UNKNOWN
    assert stale.needs_permit
    assert stale.waiting_tokens == 0


def test_rates_are_measured_and_never_zero():
    table = table_of(engines(1), prefill_rate=0.0, decode_rate=0.0)
    assert snapshot_of(table, NAME, 100.0).prefill_rate > 0
    assert snapshot_of(table, NAME, 100.0).decode_rate > 0
    now = 100.0
    for index in range(30):
        table.record_dispatch(dispatch_of(NAME, f"a-{index}", 4_000, sent_s=now))
        table.record_first_token(NAME, f"a-{index}", now + 2.0)
        table.record_end(NAME, f"a-{index}", now + 2.0)
        now += 3.0
        table.record_report(NAME, report_of(prefill_rate=0.0), now)
    assert 1_900 < snapshot_of(table, NAME, now).prefill_rate < 3_500


def test_sudden_slow_prefill_means_cold_again():
    table = table_of(engines(1))
    now = 100.0
    for index, wait_s in enumerate([0.2] * 20 + [2.0] * 3):
        table.record_report(NAME, report_of(), now)
        table.record_dispatch(dispatch_of(NAME, f"a-{index}", 2_000, sent_s=now))
        table.record_first_token(NAME, f"a-{index}", now + wait_s)
        table.record_end(NAME, f"a-{index}", now + wait_s)
        now += wait_s
    assert snapshot_of(table, NAME, now).state is BackendState.COLD


def test_network_latency_is_not_slow_prefill():
    table = table_of(engines(1))
    now = 100.0
    for index in range(20):
        table.record_report(NAME, report_of(prefill_rate=200_000.0), now)
        table.record_dispatch(dispatch_of(NAME, f"a-{index}", 1_000, sent_s=now))
        # 5 ms of prefill; the rest of 200 ms is network latency.
        table.record_first_token(NAME, f"a-{index}", now + 0.2)
        table.record_end(NAME, f"a-{index}", now + 0.2)
        now += 0.3
        assert snapshot_of(table, NAME, now).state is BackendState.WARM


def test_whoever_says_first_that_a_server_leaves_is_believed():
    servers = engines(1)
    for mark_leaving in (
        lambda t: t.configure(catalog([attrs.evolve(servers[0], leaving=True)])),
        lambda t: t.configure(catalog(servers, out=True)),
        lambda t: t.mark_leaving(NAME),
        lambda t: t.record_report(NAME, report_of(leaving=True), 101.0),
    ):
        table = table_of(servers)
        mark_leaving(table)
        snapshot = snapshot_of(table, NAME, 101.0)
        assert snapshot.state is BackendState.LEAVING
        assert not snapshot.accepts_work
        # After its return it is ramped up, although it reports that it is warm.
        table.configure(catalog(servers))
        table.clear_leaving(NAME, LeavingSource.VM_LIST)
        table.record_report(NAME, report_of(), 102.0)
        assert snapshot_of(table, NAME, 102.0).state is BackendState.COLD


def _run_request(table, name, number, tokens, seconds, now):
    attempt = f"{name}-{number}"
    table.record_dispatch(dispatch_of(name, attempt, tokens, sent_s=now))
    table.record_first_token(name, attempt, now + seconds)
    table.record_end(name, attempt, now + seconds)


def test_slow_engine_is_ejected_and_retried_within_the_bound():
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
            # Half the engines become slow together; they must not all be ejected.
            slow = set(names[:5])
        for name in names:
            table.record_report(name, report_of(), now)
        usable = [s.server.name for s in table.snapshots(now) if not s.ejected]
        ejected = set(names) - set(usable)
        assert len(ejected) <= 2
        if number < 2_000:
            assert ejected <= slow
        first_ejected += [number] if ejected and not first_ejected else []
        tokens = source.choice([1_000, 3_000, 8_000])
        name = source.choice(usable)
        factor = 2.5 if name in slow else 1.0
        noise = math.exp(source.gauss(0, 0.3))
        _run_request(table, name, number, tokens, tokens / 10_000 * factor * noise, now)
    assert first_ejected and first_ejected[0] < 600
    # A longer ejection shows that it got work again after the first one.
    assert table._slow_detector._ejections._ejected[names[3]].duration_s > 60


def test_neither_of_two_engines_is_ejected():
    table = table_of(engines(2))
    for number in range(400):
        now = 100.0 + number
        for index, name in enumerate(("engine-00", "engine-01")):
            table.record_report(name, report_of(), now)
            _run_request(table, name, number, 2_000, 0.2 * (1 + index), now)
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


def test_late_repeated_and_lost_cache_events():
    table = table_of(engines(1))
    blocks = (11, 12, 13)
    table.record_cache_events(NAME, _batch((1, 11), (2, 12), (3, 13)), 100.0)
    assert table.cached_tokens(NAME, blocks) == 3 * 256
    table.record_cache_events(NAME, _batch((4, -12)), 100.0)
    assert table.cached_tokens(NAME, blocks) == 256
    # Repeated earlier events must not undo the eviction.
    table.record_cache_events(NAME, _batch((1, 11), (2, 12)), 100.0)
    assert table.cached_tokens(NAME, blocks) == 256
    # Event 5 is lost; it may have evicted any block that was recorded before it.
    table.record_cache_events(NAME, _batch((6, 12)), 100.0)
    assert table.cached_tokens(NAME, blocks) == 0
    assert table.last_cache_sequence(NAME) == 6
    table.record_cache_events(NAME, _batch((7, 11)), 100.0)
    assert table.cached_tokens(NAME, blocks) == 2 * 256
    table.record_report(NAME, report_of("i-2"), 101.0)
    assert table.cached_tokens(NAME, blocks) == 0
    assert table.last_cache_sequence(NAME) == 0
    table.record_cache_events(NAME, _batch((8, 11)), 102.0)
    assert table.cached_tokens(NAME, blocks) == 0


def test_memory_stays_bounded():
    table = table_of(engines(1))
    for index in range(2_500):
        blocks = (index * 3 + 1, index * 3 + 2, index * 3 + 3)
        table.record_dispatch(dispatch_of(NAME, f"a-{index}", blocks=blocks))
        table.record_first_token(NAME, f"a-{index}", 101.0)
        if index % 2:
            table.record_end(NAME, f"a-{index}", 101.0)
    record = table._records[NAME]
    assert len(record.load._open) <= 1_024
    assert len(record.load._ended) <= 256
    assert len(record.prefixes._blocks) <= 512


def load_tests(loader, tests, pattern):
    return collect(globals())

"""Routing: candidates, groups, prefix affinity and prompts beyond one engine."""

import random

import attrs
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tanagerkeel.errors import ResultCode
from tanagerkeel.requests import LengthClass
from tanagerkeel.routing import GangPlan, NoPlan, Router, SinglePlan
from tanagerkeel.routing._groups import EngineGroups
from tests.fleet_support import (
    MODEL,
    catalog,
    dispatch_of,
    engines,
    report_of,
    request_of,
    table_of,
)
from tests.support import collect

NOW = 100.0
NO_ENGINES = frozenset()


def _router(table, seed=1):
    return Router(table, random.Random(seed))


def _chosen(plan):
    assert isinstance(plan, SinglePlan), plan
    return plan.chosen.snapshot.server.name


def _names(count):
    return tuple(server.name for server in engines(count))


def _naive_candidates(table, request, excluded):
    """Names of all engines that may run a request, found without the router."""
    for snapshot in table.snapshots(NOW):
        server = snapshot.server
        if request.model not in server.models or server.name in excluded:
            continue
        if snapshot.state.value in ("leaving", "gone"):
            continue
        if snapshot.free_memory_tokens >= request.memory_tokens:
            yield server.name


@settings(derandomize=True, deadline=None, max_examples=150, database=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["warm", "cold", "leaving", "unresponsive", "other model"]),
            st.integers(0, 400_000),
            st.integers(0, 50_000),
            st.booleans(),
        ),
        min_size=1,
        max_size=7,
    ),
    st.sampled_from([1_000, 7_000, 60_000, 300_000]),
    st.integers(0, 5),
)
def test_a_plan_chooses_an_engine_that_may_and_can_run_the_request(kinds, tokens, seed):
    servers = [
        attrs.evolve(s, models=("other",)) if kind[0] == "other model" else s
        for s, kind in zip(engines(len(kinds)), kinds, strict=True)
    ]
    table = table_of([])
    table.configure(catalog(servers))
    excluded = set()
    for server, (kind, used, waiting, out) in zip(servers, kinds, strict=True):
        if out:
            excluded.add(server.name)
        if kind == "unresponsive":
            continue
        report = report_of(
            warm_level=0.0 if kind == "cold" else 1.0,
            leaving=kind == "leaving",
            memory_used_tokens=used,
            waiting_tokens=waiting,
        )
        table.record_report(server.name, report, NOW)
    request = request_of(tokens)
    excluded = frozenset(excluded)
    plan = _router(table, seed).plan(request, excluded, NOW)
    able = set(_naive_candidates(table, request, excluded))
    if isinstance(plan, SinglePlan):
        assert _chosen(plan) in able
        best = min(c.first_token_s for c in plan.considered)
        assert plan.chosen.first_token_s == best
    else:
        assert isinstance(plan, NoPlan)
        is_full = plan.result is ResultCode.NO_MEMORY
        assert not able or is_full, "an engine was free"
        if is_full and request.length_class is LengthClass.SHORT:
            healthy = {
                s.server.name
                for s in table.snapshots(NOW)
                if s.server.name in able and s.state.value != "unknown"
            }
            assert not healthy or len(servers) > 1


def test_the_least_loaded_engine_of_a_small_fleet_is_chosen():
    table = table_of(engines(3))
    for name, waiting in zip(_names(3), (40_000, 0, 20_000), strict=True):
        table.record_report(name, report_of(waiting_tokens=waiting, running=1), NOW + 1)
    plans = [
        _chosen(_router(table, seed).plan(request_of(), NO_ENGINES, NOW + 1))
        for seed in range(20)
    ]
    group = EngineGroups().long_engines(MODEL, _names(3), NOW)
    expected = min(set(_names(3)) - group, key=lambda n: n != "engine-01")
    assert set(plans) == {expected}


def test_dispatches_spread_over_the_engines_before_any_new_report():
    """Load reports lag, so the router has to count its own dispatches meanwhile."""
    table = table_of(engines(8))
    router = _router(table)
    used = []
    for index in range(24):
        request = request_of(request_id=f"r-{index}")
        name = _chosen(router.plan(request, NO_ENGINES, NOW))
        used.append(name)
        table.record_dispatch(dispatch_of(name, f"a-{index}", sent_s=NOW))
    assert max(map(used.count, used)) <= 7
    assert len(set(used)) >= 5


def test_long_prompts_stay_in_their_group_and_short_ones_avoid_busy_engines_of_it():
    table = table_of(engines(10))
    router = _router(table)
    for index in range(30):
        long = request_of(50_000, request_id=f"l-{index}")
        plan = router.plan(long, NO_ENGINES, NOW)
        if isinstance(plan, NoPlan):
            assert plan.may_wait or plan.result is ResultCode.NO_MEMORY
            continue
        group = router._groups.long_engines(MODEL, _names(10), NOW)
        assert _chosen(plan) in group
        assert plan.priority > 0
        table.record_dispatch(
            dispatch_of(_chosen(plan), long.request_id, 50_000, False, NOW)
        )
        short = router.plan(request_of(request_id=f"s-{index}"), NO_ENGINES, NOW)
        assert short.priority == 0
        snapshot = short.chosen.snapshot
        assert snapshot.server.name not in group or not snapshot.own_long_requests
    counts = [s.own_long_requests for s in table.snapshots(NOW)]
    assert max(counts) <= 8


def test_one_or_two_engines_serve_both_length_classes():
    for count in (1, 2):
        table = table_of(engines(count))
        router = _router(table)
        for index in range(8):
            tokens = 30_000 if index % 2 else 1_000
            request = request_of(tokens, request_id=f"r-{index}")
            name = _chosen(router.plan(request, NO_ENGINES, NOW))
            urgent = tokens == 1_000
            table.record_dispatch(dispatch_of(name, f"a-{index}", tokens, urgent, NOW))


def test_short_requests_use_all_engines_when_there_are_no_long_ones():
    table = table_of(engines(2))
    router = _router(table)
    used = []
    now = NOW
    for index in range(60):
        # 3,000 tokens every 0.25 s: three fifths of both engines' prefill rate.
        now += 0.25
        name = _chosen(
            router.plan(request_of(3_000, request_id=f"r-{index}"), NO_ENGINES, now)
        )
        used.append(name)
        table.record_dispatch(dispatch_of(name, f"a-{index}", 3_000, sent_s=now))
        table.record_first_token(name, f"a-{index}", now + 0.3)
        table.record_end(name, f"a-{index}", now + 2.0)
    assert min(used.count(name) for name in _names(2)) >= 20


def test_short_prompts_never_prefer_an_engine_of_the_long_group():
    """An idle engine of the long group may be busy soon, so it is not preferred."""
    table = table_of(engines(20))
    group = EngineGroups().long_engines(MODEL, _names(20), NOW)
    for key in range(20):
        request = request_of(1_500, blocks=(key, key + 1_000))
        plan = _router(table).plan(request, NO_ENGINES, NOW)
        assert plan.chosen.note == "prefix"
        assert _chosen(plan) not in group


def test_an_unresponsive_engine_is_the_last_resort():
    for unresponsive in range(4):
        table = table_of(engines(4))
        names = _names(4)[:unresponsive]
        for name in names:
            table.record_unreachable(name, NOW + 1)
        for seed in range(10):
            for tokens in (1_000, 30_000):
                request = request_of(tokens)
                plan = _router(table, seed).plan(request, NO_ENGINES, NOW + 1)
                assert _chosen(plan) not in names
    table.record_unreachable("engine-03", NOW + 1)
    last = _router(table).plan(request_of(), NO_ENGINES, NOW + 1)
    assert last.chosen.snapshot.needs_permit


def test_other_engines_run_long_prompts_when_their_group_is_excluded():
    table = table_of(engines(6))
    group = EngineGroups().long_engines(MODEL, _names(6), NOW)
    plan = _router(table).plan(request_of(50_000), group, NOW)
    assert _chosen(plan) not in group


def test_group_size_follows_the_share_of_work_without_flapping():
    groups = EngineGroups()
    rng = random.Random(7)
    names = _names(20)
    now = 0.0
    sizes = []
    for index in range(4_000):
        now += 0.25
        long_share = 0.02 if index < 2_000 else 0.002
        is_long = rng.random() < long_share
        length = LengthClass.LONG if is_long else LengthClass.SHORT
        tokens = 200_000 if is_long else 3_000
        groups.record(f"r-{index}", MODEL, length, tokens, now)
        sizes.append(len(groups.long_engines(MODEL, names, now)))
    changes = [i for i in range(1, len(sizes)) if sizes[i] != sizes[i - 1]]
    gaps = [(b - a) * 0.25 for a, b in zip(changes, changes[1:], strict=False)]
    assert min(gaps) >= 30.0
    # Long prompts are 57% and then 12% of the work. At three quarters of that, the
    # group is about 9 and then about 2 of 20 engines.
    assert 6 <= sizes[1_999] <= 11
    assert 1 <= sizes[-1] <= 4


def test_a_group_grows_while_long_prompts_wait_without_flapping():
    groups = EngineGroups()
    names = _names(20)
    groups.record("l", MODEL, LengthClass.LONG, 5_000_000, 0.0)
    groups.record("s", MODEL, LengthClass.SHORT, 5_000_000, 0.0)
    initial_size = len(groups.long_engines(MODEL, names, 0.0))
    sizes = []
    for second in range(1, 301):
        # The wait crosses both bounds within every three calls.
        groups.record_wait(MODEL, (4.0, 21.0, 12.0)[second % 3])
        sizes.append(len(groups.long_engines(MODEL, names, float(second))))
    assert max(sizes) > initial_size
    assert sum(a != b for a, b in zip(sizes, sizes[1:], strict=False)) <= 10
    for second in range(301, 400):
        groups.record_wait(MODEL, 12.0)
        sizes.append(len(groups.long_engines(MODEL, names, float(second))))
    assert len(set(sizes[-60:])) == 1


def test_nodes_that_measure_different_shares_choose_nested_groups():
    names = _names(20)
    chosen = []
    for long_tokens in (50_000, 400_000, 4_000_000):
        groups = EngineGroups()
        groups.record("l", MODEL, LengthClass.LONG, long_tokens, 0.0)
        groups.record("s", MODEL, LengthClass.SHORT, 400_000, 0.0)
        chosen.append(groups.long_engines(MODEL, names, 1.0))
    assert chosen[0] < chosen[1] < chosen[2]


def test_nodes_prefer_the_same_engines_for_a_prefix_unless_they_are_loaded():
    blocks = (5, 6, 7, 8, 9)
    request = request_of(1_500, blocks=blocks)
    tables = [table_of(engines(20)) for _ in range(3)]
    plans = [
        _router(table, seed).plan(request, NO_ENGINES, NOW)
        for seed in range(10)
        for table in tables
    ]
    assert len(set(map(_chosen, plans))) == 1
    preferred = {
        candidate.snapshot.server.name
        for plan in plans
        for candidate in plan.considered
        if candidate.note == "prefix"
    }
    assert len(preferred) == 2
    # Five cached blocks save up to 1,280 tokens, which is worth a shorter queue.
    for waiting, stays in ((900, True), (3_000, False)):
        now = NOW + waiting / 1_000
        for name in preferred:
            tables[0].record_report(name, report_of(waiting_tokens=waiting), now)
        chosen = _chosen(_router(tables[0]).plan(request, NO_ENGINES, now))
        assert (chosen in preferred) == stays


gang_fleets = st.lists(st.integers(1_000, 400_000), min_size=2, max_size=9)


@settings(derandomize=True, deadline=None, max_examples=200, database=None)
# The third engine's memory is too small for the answer, and it would come last.
@example([390_000, 390_000, 1_000], 737_500, 4_000)
@given(gang_fleets, st.integers(410_000, 1_000_000), st.integers(1, 4_000))
def test_a_gang_plan_holds_the_whole_prompt_on_the_fewest_engines(free, tokens, answer):
    table = table_of(engines(len(free)))
    for name, amount in zip(_names(len(free)), free, strict=True):
        table.record_report(
            name, report_of(memory_used_tokens=400_000 - amount), NOW + 1
        )
    prompt = "x" * (tokens // 100)
    request = request_of(
        tokens, max_tokens=answer, prompt=prompt, length_class=LengthClass.GANG
    )
    router = _router(table)
    plan = router.plan(request, NO_ENGINES, NOW + 1)
    usable = sorted((int(f * 0.95) for f in free), reverse=True)[:8]
    usable = [u for u in usable if u > answer]
    if sum(usable) < tokens + answer:
        assert isinstance(plan, NoPlan) and plan.result is ResultCode.NO_MEMORY
        never = sum([380_000] * min(8, len(free))) < tokens + answer
        assert (plan.retry_after_s is None) == never
        return
    assert isinstance(plan, GangPlan)
    names = [s.snapshot.server.name for s in plan.segments]
    assert names == sorted(set(names))
    edges = [0]
    for segment in plan.segments:
        assert segment.start == edges[-1] < segment.end
        edges.append(segment.end)
        held = (segment.end - segment.start) / len(prompt) * tokens
        last = segment is plan.segments[-1]
        assert segment.tokens >= held + (answer if last else 0)
        assert segment.tokens <= segment.snapshot.free_memory_tokens
    assert edges[-1] == len(prompt)
    fewest = next(k for k in range(1, 9) if sum(usable[:k]) >= tokens + answer)
    group = router._groups.long_engines(MODEL, _names(len(free)), NOW + 1)
    assert len(names) == fewest or set(names) <= group


def test_the_estimate_reflects_load_answer_length_and_feasibility():
    table = table_of(engines(4))
    router = _router(table)
    idle = router.estimate(request_of(1_000), NOW)
    assert 0.05 < idle.first_token_s < 0.5
    assert idle.answer_s > idle.first_token_s + 3
    brief = router.estimate(request_of(1_000), NOW, answer_tokens=3)
    assert brief.answer_s < idle.first_token_s + 1
    for name in _names(4):
        table.record_report(name, report_of(waiting_tokens=200_000, running=3), NOW + 1)
    busy = router.estimate(request_of(1_000), NOW + 1)
    assert busy.first_token_s > 15
    assert router.estimate(request_of(1_000, model="other"), NOW) is None
    huge = request_of(5_000_000, length_class=LengthClass.GANG)
    assert router.estimate(huge, NOW) is None


def load_tests(loader, tests, pattern):
    return collect(globals())

"""
The state of a backend server, compared with a model that replays its whole history.

This guards against states that depend on evidence which should no longer count, such
as a server that is still warm after a restart.
"""

import attrs
from hypothesis import settings, stateful
from hypothesis import strategies as st

from tanagerkeel.configuration import BackendKind, BackendServer
from tanagerkeel.fleet import BackendState, LeavingSource, concurrency_limit
from tanagerkeel.fleet._state import BackendLifecycle
from tests.support import collect


@attrs.frozen
class Reported:
    at_s: float
    incarnation: str
    level: float
    leaving: bool


@attrs.frozen
class Unreachable:
    at_s: float


@attrs.frozen
class Slowed:
    at_s: float


@attrs.frozen
class Marked:
    source: LeavingSource
    leaving: bool


def naive_state(history, now):
    """Compute the state from the whole history, by its definition."""
    reports = [i for i, e in enumerate(history) if isinstance(e, Reported)]
    failures = _failures(history)
    if _is_gone(history, now):
        return BackendState.GONE
    if _is_leaving(history):
        return BackendState.LEAVING
    if not reports or failures or now - history[reports[-1]].at_s > 10:
        return BackendState.UNKNOWN
    is_warm, level = _warmth(history)
    if is_warm:
        return BackendState.WARM
    return BackendState.COLD if level < 0.25 else BackendState.WARMING


def _failures(history):
    reports = [i for i, e in enumerate(history) if isinstance(e, Reported)]
    since = history[reports[-1] + 1 :] if reports else history
    return [e.at_s for e in since if isinstance(e, Unreachable)]


def _is_gone(history, now):
    failures = _failures(history)
    return len(failures) >= 2 and now - failures[0] >= 30


def _is_leaving(history):
    marks = {}
    for event in history:
        if isinstance(event, Marked):
            marks[event.source] = event.leaving
        if isinstance(event, Reported):
            marks[LeavingSource.ENGINE] = event.leaving
    return any(marks.values())


def _has_returned(history, index):
    """Whether the report at ``index`` is the first after a restart or an absence."""
    event = history[index]
    before = history[:index]
    earlier = [i for i, e in enumerate(before) if isinstance(e, Reported)]
    was_gone = _is_gone(before, event.at_s)
    has_restarted = earlier and before[earlier[-1]].incarnation != event.incarnation
    return bool(was_gone or has_restarted)


def _warmth(history):
    ramp_from = None
    due = False
    is_warm, level = False, 0.0
    for index, event in enumerate(history):
        due = due or _has_stopped_leaving(history, index)
        if isinstance(event, Slowed):
            ramp_from, is_warm, level, due = event.at_s, False, 0.0, False
        if not isinstance(event, Reported):
            continue
        due = due or _has_returned(history, index)
        if due and not _is_leaving(history[: index + 1]):
            ramp_from, is_warm, due = event.at_s, False, False
        ramp = 1.0 if ramp_from is None else (event.at_s - ramp_from) / 10
        level = min(event.level, ramp)
        is_warm = level >= 0.999 or (is_warm and level >= 0.95)
    return is_warm, level


def _has_stopped_leaving(history, index):
    event = history[index]
    if isinstance(event, Marked):
        source, leaving = event.source, event.leaving
    elif isinstance(event, Reported):
        source, leaving = LeavingSource.ENGINE, event.leaving
    else:
        return False
    marks = [
        e.leaving
        for e in history[:index]
        if (isinstance(e, Marked) and e.source is source)
        or (isinstance(e, Reported) and source is LeavingSource.ENGINE)
    ]
    return bool(marks) and marks[-1] and not leaving


class LifecycleMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.lifecycle = BackendLifecycle()
        self.history = []
        self.now = 100.0
        self.restarts = 0

    @stateful.rule(seconds=st.sampled_from([0.5, 1.0, 4.0, 11.0, 31.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(
        level=st.sampled_from([0.0, 0.1, 0.5, 0.94, 0.97, 1.0]),
        leaving=st.sampled_from([False, False, True]),
        restarted=st.sampled_from([False, False, False, True]),
    )
    def report(self, level, leaving, restarted):
        self.restarts += restarted
        name = f"i-{self.restarts}"
        self.lifecycle.record_report(name, level, leaving, self.now)
        self.history.append(Reported(self.now, name, level, leaving))

    @stateful.rule(count=st.integers(2, 12))
    def report_steadily(self, count):
        for _ in range(count):
            self.now += 1.0
            self.report(1.0, False, False)

    @stateful.rule()
    def fail(self):
        self.lifecycle.record_unreachable(self.now)
        self.history.append(Unreachable(self.now))

    @stateful.rule()
    def slow(self):
        self.lifecycle.record_slowdown(self.now)
        self.history.append(Slowed(self.now))

    @stateful.rule(
        source=st.sampled_from(
            [
                LeavingSource.CONFIGURATION,
                LeavingSource.FAILURE_DOMAIN,
                LeavingSource.VM_LIST,
            ]
        ),
        leaving=st.booleans(),
    )
    def mark(self, source, leaving):
        self.lifecycle.set_leaving(source, leaving)
        self.history.append(Marked(source, leaving))

    @stateful.invariant()
    def state_matches_model(self):
        for later_s in (0.0, 10.5, 30.0):
            now = self.now + later_s
            assert self.lifecycle.state(now) is naive_state(self.history, now)


def test_state_agrees_with_a_replay_of_all_evidence():
    stateful.run_state_machine_as_test(
        LifecycleMachine,
        settings=settings(
            derandomize=True,
            deadline=None,
            max_examples=60,
            stateful_step_count=25,
            database=None,
        ),
    )


def test_a_server_that_comes_back_bears_only_a_little_at_first():
    server = BackendServer("e", BackendKind.ENGINE, "127.0.0.1:1", "d", cold_limit=3)
    lifecycle = BackendLifecycle()
    lifecycle.record_report("first", 1.0, False, 0.0)
    assert lifecycle.state(0.0) is BackendState.WARM
    limits = []
    for second in range(1, 13):
        # The new incarnation reports from its start that it is warm.
        lifecycle.record_report("second", 1.0, False, float(second))
        state = lifecycle.state(float(second))
        limits.append(concurrency_limit(server, state, lifecycle.warm_level))
    assert limits[:10] == [3] * 10
    assert limits[-1] > 3
    assert lifecycle.state(12.0) is BackendState.WARM


def test_gone_and_leaving_servers_get_no_requests():
    server = BackendServer("e", BackendKind.ENGINE, "127.0.0.1:1", "d")
    assert concurrency_limit(server, BackendState.LEAVING, 1.0) == 0
    assert concurrency_limit(server, BackendState.GONE, 1.0) == 0
    assert concurrency_limit(server, BackendState.UNKNOWN, 1.0) == server.cold_limit


def load_tests(loader, tests, pattern):
    return collect(globals())

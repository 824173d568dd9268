"""The state of a backend server against a model that replays all evidence."""

import attrs
from hypothesis import settings, stateful
from hypothesis import strategies as st

from tanagerkeel.configuration import BackendKind, BackendServer
from tanagerkeel.fleet import BackendState, LeavingSource, bearable
from tanagerkeel.fleet._state import BackendLifecycle
from tests.support import collect


@attrs.frozen
class Heard:
    at_s: float
    incarnation: str
    level: float
    leaving: bool


@attrs.frozen
class Failed:
    at_s: float


@attrs.frozen
class Slowed:
    at_s: float


@attrs.frozen
class Marked:
    source: LeavingSource
    leaving: bool


def naive_state(history, now):
    """Work the state out from the whole history, by its definition."""
    heard = [i for i, e in enumerate(history) if isinstance(e, Heard)]
    failures = _failures(history)
    if _gone(history, now):
        return BackendState.GONE
    if _leaving(history):
        return BackendState.LEAVING
    if not heard or failures or now - history[heard[-1]].at_s > 10:
        return BackendState.UNKNOWN
    is_warm, level = _warmth(history)
    if is_warm:
        return BackendState.WARM
    return BackendState.COLD if level < 0.25 else BackendState.WARMING


def _failures(history):
    heard = [i for i, e in enumerate(history) if isinstance(e, Heard)]
    since = history[heard[-1] + 1 :] if heard else history
    return [e.at_s for e in since if isinstance(e, Failed)]


def _gone(history, now):
    failures = _failures(history)
    return len(failures) >= 2 and now - failures[0] >= 30


def _leaving(history):
    said = {}
    for event in history:
        if isinstance(event, Marked):
            said[event.source] = event.leaving
        if isinstance(event, Heard):
            said[LeavingSource.ENGINE] = event.leaving
    return any(said.values())


def _returned(history, index):
    """Whether the report at ``index`` is the first after something ended."""
    event = history[index]
    before = history[:index]
    earlier = [i for i, e in enumerate(before) if isinstance(e, Heard)]
    gone = _gone(before, event.at_s)
    renewed = earlier and before[earlier[-1]].incarnation != event.incarnation
    return bool(gone or renewed)


def _warmth(history):
    ramp_from = None
    due = False
    is_warm, level = False, 0.0
    for index, event in enumerate(history):
        due = due or _stopped_leaving(history, index)
        if isinstance(event, Slowed):
            ramp_from, is_warm, level, due = event.at_s, False, 0.0, False
        if not isinstance(event, Heard):
            continue
        due = due or _returned(history, index)
        if due and not _leaving(history[: index + 1]):
            ramp_from, is_warm, due = event.at_s, False, False
        ramp = 1.0 if ramp_from is None else (event.at_s - ramp_from) / 10
        level = min(event.level, ramp)
        is_warm = level >= 0.999 or (is_warm and level >= 0.95)
    return is_warm, level


def _stopped_leaving(history, index):
    event = history[index]
    if isinstance(event, Marked):
        source, leaving = event.source, event.leaving
    elif isinstance(event, Heard):
        source, leaving = LeavingSource.ENGINE, event.leaving
    else:
        return False
    said = [
        e.leaving
        for e in history[:index]
        if (isinstance(e, Marked) and e.source is source)
        or (isinstance(e, Heard) and source is LeavingSource.ENGINE)
    ]
    return bool(said) and said[-1] and not leaving


class LifecycleMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.lifecycle = BackendLifecycle()
        self.history = []
        self.now = 100.0
        self.generation = 0

    @stateful.rule(seconds=st.sampled_from([0.5, 1.0, 4.0, 11.0, 31.0]))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(
        level=st.sampled_from([0.0, 0.1, 0.5, 0.94, 0.97, 1.0]),
        leaving=st.sampled_from([False, False, True]),
        renewed=st.sampled_from([False, False, False, True]),
    )
    def hear(self, level, leaving, renewed):
        self.generation += renewed
        name = f"i-{self.generation}"
        self.lifecycle.record_report(name, level, leaving, self.now)
        self.history.append(Heard(self.now, name, level, leaving))

    @stateful.rule(count=st.integers(2, 12))
    def hear_steadily(self, count):
        for _ in range(count):
            self.now += 1.0
            self.hear(1.0, False, False)

    @stateful.rule()
    def fail(self):
        self.lifecycle.record_unreachable(self.now)
        self.history.append(Failed(self.now))

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
    def agrees_with_the_model(self):
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
    borne = []
    for second in range(1, 13):
        # The new incarnation calls itself warm at once.
        lifecycle.record_report("second", 1.0, False, float(second))
        state = lifecycle.state(float(second))
        borne.append(bearable(server, state, lifecycle.warm_level))
    assert borne[:10] == [3] * 10
    assert borne[-1] > 3
    assert lifecycle.state(12.0) is BackendState.WARM


def test_what_ended_or_leaves_bears_nothing():
    server = BackendServer("e", BackendKind.ENGINE, "127.0.0.1:1", "d")
    assert bearable(server, BackendState.LEAVING, 1.0) == 0
    assert bearable(server, BackendState.GONE, 1.0) == 0
    assert bearable(server, BackendState.UNKNOWN, 1.0) == server.cold_limit


def load_tests(loader, tests, pattern):
    return collect(globals())

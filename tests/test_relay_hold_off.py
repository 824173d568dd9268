"""Hold-offs of backend servers: their values, and the table against a model."""

import email.utils

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tanagerkeel.relay import HoldOffTable, parse_retry_after
from tests.support import collect

KNOWN = ("i-0", 1)
RESTARTED = ("i-0", 2)
WALL_S = 1_800_000_000.0
incarnations = st.sampled_from((KNOWN, RESTARTED, ("i-1", 1)))


class HoldOffMachine(RuleBasedStateMachine):
    """
    Hold-offs of several incarnations, requests and passing time in random orders.

    The model holds the sentences of the rule: a hold-off is in force from the response
    until its end, a second one extends it and never shortens it, and another
    incarnation is not affected, unless it was the one that asked.
    """

    def __init__(self):
        super().__init__()
        self.table = HoldOffTable()
        self.now = 10.0
        self.ends_s = {}
        self.asked_s = {}

    @rule(incarnation=incarnations, for_s=st.floats(0.01, 60.0))
    def hold_off(self, incarnation, for_s):
        in_force = self.ends_s.get(incarnation, 0.0) > self.now
        new = self.table.extend(incarnation, self.now + for_s, self.now)
        assert new is not in_force
        self.ends_s[incarnation] = max(
            self.ends_s.get(incarnation, 0.0), self.now + for_s
        )
        self.asked_s[incarnation] = self.now

    @rule(started_ago_s=st.floats(0.0, 60.0))
    def learn_restart(self, started_ago_s):
        started_s = self.now - started_ago_s
        self.table.carry_over(KNOWN, RESTARTED, started_s)
        if self.asked_s.get(KNOWN, float("-inf")) >= started_s:
            for times_s in (self.ends_s, self.asked_s):
                times_s[RESTARTED] = max(times_s.get(RESTARTED, 0.0), times_s[KNOWN])

    @rule(incarnation=incarnations)
    def send_if_allowed(self, incarnation):
        if self.table.next_send_s(incarnation, self.now) <= self.now:
            assert self.ends_s.get(incarnation, 0.0) <= self.now
            self.table.record_send(incarnation, self.now)

    @rule(seconds=st.floats(0.0, 5.0))
    def pass_time(self, seconds):
        self.now += seconds

    @invariant()
    def hold_offs_end_when_the_model_says(self):
        for incarnation in (KNOWN, RESTARTED, ("i-1", 1)):
            next_s = self.table.next_send_s(incarnation, self.now)
            end_s = self.ends_s.get(incarnation, 0.0)
            assert next_s >= max(end_s, self.now)
            # Pacing delays a request by one interval at most.
            assert next_s <= max(end_s, self.now + 0.1)


def test_hold_offs_follow_the_rule_in_any_order():
    HoldOffMachine.TestCase.settings = settings(
        max_examples=200, derandomize=True, deadline=None, database=None
    )
    HoldOffMachine.TestCase("runTest").debug()


def test_requests_are_paced_for_a_second_after_a_hold_off():
    table = HoldOffTable()
    table.extend(("i-0", 1), 1.0, 0.0)
    sends = 0
    now = 0.0
    while now < 2.0:
        if table.next_send_s(("i-0", 1), now) <= now:
            assert now >= 1.0
            table.record_send(("i-0", 1), now)
            sends += 1
        now += 0.001
    assert 9 <= sends <= 11
    assert table.next_send_s(("i-0", 1), 2.001) == 2.001


def test_values_of_retry_after():
    date = email.utils.formatdate(WALL_S + 20, usegmt=True)
    past = email.utils.formatdate(WALL_S - 20, usegmt=True)
    for value, expected in (
        ("0", 0.0),
        ("7", 7.0),
        ("1.5", 1.5),
        ("9" * 30, 1e30),
        (date, 20.0),
        (past, 0.0),
        ("soon", None),
        ("", None),
        ("-1", None),
        ("1e3", None),
        ("1, 2", None),
    ):
        parsed = parse_retry_after(value, WALL_S)
        if expected is None:
            assert parsed is None, value
        else:
            assert abs(parsed - expected) <= 1e-6 * max(1.0, expected), value


def load_tests(loader, tests, pattern):
    return collect(globals())

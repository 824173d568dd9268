"""Limits that hold over all nodes together: on retries and for cold engines."""

import random

from tanagerkeel.relay import ColdStartLimiter, SharedRetryBudget
from tests.support import collect

RATIO = 0.2
EXTRA = 254.0
WINDOW_S = 10.0
NODES = 89
SEED = 11


class _Fleet:
    """Nodes that report their retries to the others of their group, with a delay."""

    def __init__(self, nodes, delay_s, groups=1):
        self.budgets = [SharedRetryBudget(RATIO, EXTRA, WINDOW_S) for _ in range(nodes)]
        self.delay_s = delay_s
        self.groups = groups
        self.reports = [[(0.0, 0)] for _ in range(nodes)]

    def try_acquire(self, node, now):
        reported = {}
        for other in range(len(self.budgets)):
            if other == node or other % self.groups != node % self.groups:
                continue
            arrived = [n for at, n in self.reports[other] if at + self.delay_s <= now]
            if arrived:
                reported[f"n{other}"] = arrived[-1]
        if not self.budgets[node].try_acquire(now, len(self.budgets), reported):
            return False
        self.reports[node].append((now, self.budgets[node].used_extra(now)))
        return True


def test_a_few_nodes_may_use_most_of_the_extra():
    fleet = _Fleet(NODES, 0.003)
    retries = sum(fleet.try_acquire(n % 3, 1.0 + n / 100) for n in range(300))
    assert 0.4 * EXTRA < retries <= EXTRA


def test_all_nodes_that_fail_at_once_stay_within_the_bound():
    rng = random.Random(SEED)
    fleet = _Fleet(NODES, 0.003)
    times = sorted(rng.uniform(1.0, 1.5) for _ in range(2_000))
    retries = sum(fleet.try_acquire(rng.randrange(NODES), now) for now in times)
    assert retries <= EXTRA


def test_nodes_that_are_cut_into_groups_stay_within_the_bound():
    rng = random.Random(SEED)
    for groups in (2, 3, 4):
        fleet = _Fleet(NODES, 0.003, groups)
        times = sorted(rng.uniform(1.0, 4.0) for _ in range(2_000))
        retries = sum(fleet.try_acquire(rng.randrange(NODES), now) for now in times)
        assert retries <= EXTRA, groups


def test_a_node_without_reports_of_others_has_its_equal_part():
    budget = SharedRetryBudget(RATIO, 100.0, WINDOW_S)
    retries = sum(budget.try_acquire(1.0, 6, {}) for _ in range(100))
    assert retries == 10
    # After the window the equal part is available again.
    assert budget.try_acquire(1.0 + WINDOW_S, 6, {})


def test_requests_of_a_nodes_own_callers_allow_it_retries():
    budget = SharedRetryBudget(RATIO, 0.0, WINDOW_S)
    for n in range(100):
        budget.record_request(n / 100)
    retries = sum(budget.try_acquire(1.0, 6, {}) for _ in range(100))
    assert 10 <= retries <= 20


def test_cold_engines_get_no_more_than_they_bear_from_all_nodes():
    for per_s, nodes in ((36.0, 6), (16.0, 89), (3.0, 6)):
        names = tuple(f"n{n}" for n in range(nodes))
        limiters = [ColdStartLimiter(name) for name in names]
        sent = 0
        for step in range(100):
            now = 5.0 + step / 100
            for limiter in limiters:
                if limiter.allows("e1", per_s, names, now):
                    limiter.record_send("e1", now)
                    sent += 1
        assert 0 < sent <= per_s


def test_a_node_that_sees_fewer_nodes_keeps_the_cold_bound():
    # Each of two groups of nodes sees only itself, as in a network partition. For such
    # differing views the limit may be exceeded by a factor of 1.5, and 5 requests more.
    names = tuple(f"n{n}" for n in range(6))
    sent = 0
    for group in (names[:3], names[3:]):
        for name in group:
            limiter = ColdStartLimiter(name)
            while limiter.allows("e1", 36.0, group, 1.0):
                limiter.record_send("e1", 1.0)
                sent += 1
    assert sent <= 36.0 * 1.5 + 5


def load_tests(loader, tests, pattern):
    return collect(globals())

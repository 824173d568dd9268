"""Bounds over all nodes that no node can see whole: retries and cold engines."""

import random

from tanagerkeel.relay import ColdShares, RetryShare
from tests.support import collect

RATIO = 0.2
EXTRA = 254.0
WINDOW_S = 10.0
NODES = 89
SEED = 11


class _Fleet:
    """Nodes that tell each other of their retries after a while."""

    def __init__(self, nodes, delay_s, groups=1):
        self.shares = [RetryShare(RATIO, EXTRA, WINDOW_S) for _ in range(nodes)]
        self.delay_s = delay_s
        self.groups = groups
        self.told = [[(0.0, 0)] for _ in range(nodes)]

    def take(self, node, now):
        heard = {}
        for other in range(len(self.shares)):
            if other == node or other % self.groups != node % self.groups:
                continue
            known = [n for at, n in self.told[other] if at + self.delay_s <= now]
            if known:
                heard[f"n{other}"] = known[-1]
        if not self.shares[node].take(now, len(self.shares), heard):
            return False
        self.told[node].append((now, self.shares[node].used_extra(now)))
        return True


def test_a_few_nodes_may_use_most_of_the_extra():
    fleet = _Fleet(NODES, 0.003)
    made = sum(fleet.take(n % 3, 1.0 + n / 100) for n in range(300))
    assert 0.4 * EXTRA < made <= EXTRA


def test_all_nodes_that_fail_at_once_stay_within_the_bound():
    source = random.Random(SEED)
    fleet = _Fleet(NODES, 0.003)
    times = sorted(source.uniform(1.0, 1.5) for _ in range(2_000))
    made = sum(fleet.take(source.randrange(NODES), now) for now in times)
    assert made <= EXTRA


def test_nodes_that_are_cut_into_groups_stay_within_the_bound():
    source = random.Random(SEED)
    for groups in (2, 3, 4):
        fleet = _Fleet(NODES, 0.003, groups)
        times = sorted(source.uniform(1.0, 4.0) for _ in range(2_000))
        made = sum(fleet.take(source.randrange(NODES), now) for now in times)
        assert made <= EXTRA, groups


def test_a_node_that_hears_nobody_has_its_equal_part():
    share = RetryShare(RATIO, 100.0, WINDOW_S)
    made = sum(share.take(1.0, 6, {}) for _ in range(100))
    assert made == 10
    # The window has passed.
    assert share.take(1.0 + WINDOW_S, 6, {})


def test_own_requests_give_their_own_part():
    share = RetryShare(RATIO, 0.0, WINDOW_S)
    for n in range(100):
        share.count_request(n / 100)
    made = sum(share.take(1.0, 6, {}) for _ in range(100))
    assert 10 <= made <= 20


def test_cold_engines_get_no_more_than_they_bear_from_all_nodes():
    for per_s, nodes in ((36.0, 6), (16.0, 89), (3.0, 6)):
        names = tuple(f"n{n}" for n in range(nodes))
        shares = [ColdShares(name) for name in names]
        sent = 0
        for step in range(100):
            now = 5.0 + step / 100
            for share in shares:
                if share.open("e1", per_s, names, now):
                    share.sent("e1", now)
                    sent += 1
        assert 0 < sent <= per_s


def test_a_node_that_sees_fewer_nodes_keeps_the_cold_bound():
    # One of three groups of nodes sees only itself, as in a cut: the factor of 1.5
    # on the bound, and its slack, are for such views.
    names = tuple(f"n{n}" for n in range(6))
    sent = 0
    for group in (names[:3], names[3:]):
        for name in group:
            share = ColdShares(name)
            while share.open("e1", 36.0, group, 1.0):
                share.sent("e1", 1.0)
                sent += 1
    assert sent <= 36.0 * 1.5 + 5


def load_tests(loader, tests, pattern):
    return collect(globals())

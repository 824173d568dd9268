"""Which peer gets a forwarded request, and when a service is out of reach."""

import collections
import random

from tanagerkeel.relay import (
    BackendServer,
    BackendTable,
    PeerCandidate,
    SendFailure,
    choose_peer,
)
from tests.support import collect


def candidate(node_id, same_domain=True, running=0, forwarded=0):
    return PeerCandidate(node_id, same_domain, running, forwarded)


def chosen(candidates, count=200):
    rng = random.Random(1)
    picks = (choose_peer(candidates, rng).node_id for _ in range(count))
    return collections.Counter(picks)


def test_there_is_no_choice_without_a_candidate():
    assert choose_peer((), random.Random(1)) is None


def test_the_own_failure_domain_is_preferred_while_it_has_room():
    assert set(chosen([candidate("near", running=2), candidate("far", False)])) == {
        "near"
    }
    busy = [candidate("near", running=9), candidate("far", False)]
    assert set(chosen(busy)) == {"far"}


def test_equal_peers_share_what_is_forwarded():
    shares = chosen([candidate(f"n{n}") for n in range(4)])
    assert min(shares.values()) > 200 / 4 / 2


def test_the_node_that_is_left_in_a_domain_is_not_swamped():
    # 29 nodes of a domain are cut off and choose one after the other.
    rng = random.Random(1)
    running = collections.Counter()
    for _ in range(29 * 4):
        candidates = [
            candidate("near", running=running["near"]),
            *(candidate(f"far-{n}", False, running[f"far-{n}"]) for n in range(30)),
        ]
        running[choose_peer(candidates, rng).node_id] += 1
    assert running["near"] <= max(running.values()) <= 12, running


def table(domains):
    """Return a table with one server in each of these failure domains."""
    backends = BackendTable()
    for number, domain in enumerate(domains):
        server = BackendServer(f"e{number}", 1, "s", f"10.0.0.{number}:1", domain, 8)
        backends.put(server, number + 1, 0.0)
    return backends


def lose(backends, *numbers, now=1.0):
    for number in numbers:
        server = backends.get(f"e{number}").server
        backends.record_failure(server, SendFailure.UNREACHABLE, now)


def test_three_failures_in_a_row_in_every_domain_put_a_service_out_of_reach():
    backends = table("aabb")
    lose(backends, 0, 1)
    assert not backends.new_connections_fail("s", 1.0)
    lose(backends, 2)
    assert backends.new_connections_fail("s", 1.0)
    # Data on an older connection proves nothing about new ones.
    backends.record_data(backends.get("e0").server, 1.1)
    assert backends.new_connections_fail("s", 1.1)
    backends.record_service_reached("s")
    assert not backends.new_connections_fail("s", 1.2)


def test_failures_of_one_domain_do_not_put_a_service_out_of_reach():
    backends = table("aaaab")
    lose(backends, 0, 1, 2, 3)
    assert not backends.new_connections_fail("s", 1.0)


def test_old_failures_do_not_put_a_service_out_of_reach():
    backends = table("aaa")
    lose(backends, 0, 1, 2)
    assert not backends.new_connections_fail("s", 3.1)


def test_what_a_cut_has_cost_is_forgotten_but_not_a_server_that_is_gone():
    backends = table("aaab")
    lose(backends, 0, 1, 2)
    misdirected = backends.get("e3").server
    backends.record_failure(misdirected, SendFailure.UNREACHABLE, 1.0)
    backends.record_failure(misdirected, SendFailure.MISDIRECTED, 1.1)
    backends.forget_unreachable("s", 1.2)
    for number in range(3):
        record = backends.get(f"e{number}")
        assert record.backoff_until_s <= 1.2 and record.failure_rate(1.2) == 0.0
    assert backends.get("e3").backoff_until_s == float("inf")


def load_tests(loader, tests, pattern):
    return collect(globals())

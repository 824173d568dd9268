"""How many repeats of updates a node reads, by the size of the fleet."""

from tanagerkeel.clock import ManualClock
from tanagerkeel.relay import PEER_TIMEOUT_S, repeat_intervals
from tanagerkeel.relay_entry import RelayBounds, RelaySettings
from tanagerkeel.relay_entry._peers import Peer
from tanagerkeel.relay_entry._state import RelayState
from tests.support import collect

SIZES = (6, 22, 65, 195, 300, 370)
DOMAINS = 5
STEADY = 50


def _repeats_read_per_s(nodes):
    """Return how many repeats a node that runs requests reads in steady state."""
    intervals = repeat_intervals(nodes, True, False, STEADY)
    near = nodes // DOMAINS
    return near / intervals.near_s + (nodes - near) / intervals.far_s


def test_repeats_from_other_domains_do_not_grow_with_the_fleet():
    far = [
        (nodes - nodes // DOMAINS) / repeat_intervals(nodes, True, False, STEADY).far_s
        for nodes in SIZES
    ]
    assert max(far) <= 20
    assert _repeats_read_per_s(195) < 0.4 * 195 / 2


def test_facts_are_repeated_to_all_as_in_a_small_fleet():
    for nodes in SIZES:
        for running in (True, False):
            with_facts = repeat_intervals(nodes, running, True, STEADY)
            small = repeat_intervals(6, running, False, STEADY)
            assert with_facts == small
            assert with_facts.valid_s == PEER_TIMEOUT_S


def test_one_lost_repeat_makes_no_node_silent():
    for nodes in SIZES:
        for sent in (0, 1, 2, 3, STEADY):
            intervals = repeat_intervals(nodes, True, False, sent)
            following = repeat_intervals(nodes, True, False, sent + 1)
            assert intervals.far_s + following.far_s <= 1.25 * intervals.valid_s


def test_nodes_that_start_together_hear_each_other_within_seconds():
    for nodes in SIZES:
        assert repeat_intervals(nodes, False, False, 1).far_s <= 8


def _state_of_fleet(nodes):
    clock = ManualClock()
    settings = RelaySettings(
        "z0-0", "z0", *["127.0.0.1:0"] * 6, bounds=RelayBounds(retry_extra=460)
    )
    state = RelayState(settings, clock)
    for number in range(nodes):
        domain = f"z{number % DOMAINS}"
        state.peers.put(Peer(f"{domain}-{number // DOMAINS}", domain, "127.0.0.1:1", 1))
    return clock, state


def test_a_domain_that_is_cut_off_is_silent_before_its_updates_expire():
    clock, state = _state_of_fleet(195)
    valid_s = repeat_intervals(195, True, False, STEADY).valid_s
    assert valid_s > PEER_TIMEOUT_S
    heard = [p.node_id for p in state.peers.others]
    for node in heard:
        state.record_peer_retries(node, {}, valid_s)
    assert state._pacing_nodes(clock.monotonic()) == (195, 195)
    clock.advance(PEER_TIMEOUT_S + 0.5)
    for node in heard:
        if not node.startswith("z1"):
            # One node of each other domain has repeated its update since.
            if node.endswith("-7"):
                state.record_peer_retries(node, {}, valid_s)
    heard_now, nodes = state._pacing_nodes(clock.monotonic())
    assert nodes == 195
    assert heard_now == 195 - 39


def load_tests(loader, tests, pattern):
    return collect(globals())

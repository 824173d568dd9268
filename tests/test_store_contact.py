"""Whether the store was away, or only out of a node's reach, by its peers' contact."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel.relay import ContactReport
from tanagerkeel.relay._store_contact import (
    CUT_S,
    MAX_PAUSE_S,
    MAX_PEER_AGE_S,
    REREGISTRATION_S,
    StoreContact,
)
from tests.support import collect

# Longest time between two calls that succeed one after the other, in seconds.
CALL_S = 2.2


def contact_since(start_s, end_s):
    """Return a node's contact in which calls succeeded from start to end."""
    contact = StoreContact()
    now = start_s
    while now < end_s:
        contact.record_success(now)
        now += CALL_S
    contact.record_success(end_s)
    return contact


def fail_and_recover(contact, at_s, for_s):
    contact.record_failure(entries_known=True, now=at_s)
    contact.record_success(at_s + for_s)
    return at_s + for_s


def test_a_gap_leaves_entries_in_use_until_servers_can_register_again():
    contact = contact_since(0.0, 10.0)
    assert not contact.may_have_been_away(10.0)
    contact.record_failure(entries_known=True, now=10.0)
    assert contact.may_have_been_away(99.0)
    contact.record_success(12.0)
    assert contact.may_have_been_away(12.0 + REREGISTRATION_S - 0.01)
    assert not contact.may_have_been_away(12.0 + REREGISTRATION_S)


def test_a_peer_with_contact_all_the_while_rules_out_an_outage():
    contact = contact_since(0.0, 10.0)
    now = fail_and_recover(contact, 10.0, 3.0)
    assert contact.record_peer(ContactReport(8.0, 1.0), now)
    assert not contact.may_have_been_away(now)
    # It knows again that the store was there all the while, and can say so.
    assert contact.report(now) == ContactReport(now, 0.0)


def test_a_peer_whose_contact_began_in_the_gap_rules_out_nothing():
    contact = contact_since(0.0, 10.0)
    now = fail_and_recover(contact, 10.0, 3.0)
    assert not contact.record_peer(ContactReport(2.9, 0.0), now)
    assert contact.may_have_been_away(now)
    assert contact.report(now) == ContactReport(0.0, 0.0)


def test_a_peer_that_the_store_has_not_confirmed_lately_rules_out_nothing():
    # Its own watch may be silent, and it may not have noticed.
    contact = contact_since(0.0, 10.0)
    now = fail_and_recover(contact, 10.0, 3.0)
    assert not contact.record_peer(ContactReport(9.0, MAX_PEER_AGE_S + 0.1), now)
    assert contact.may_have_been_away(now)


def test_what_a_peer_says_during_a_gap_holds_until_the_next_call():
    contact = contact_since(0.0, 10.0)
    contact.record_failure(entries_known=True, now=10.5)
    assert contact.record_peer(ContactReport(9.0, 0.5), 11.0)
    assert not contact.may_have_been_away(11.0)
    assert contact.report(11.0) is None
    contact.record_failure(entries_known=True, now=11.5)
    assert contact.may_have_been_away(11.5)
    contact.record_success(12.0)
    # The gap has begun at 10 and not at the peer's word.
    assert not contact.record_peer(ContactReport(1.5, 0.0), 12.0)
    assert contact.record_peer(ContactReport(2.0, 0.0), 12.0)


def test_failures_in_series_extend_no_gap_that_is_over():
    contact = contact_since(0.0, 10.0)
    now = 10.0
    for _ in range(5):
        now = fail_and_recover(contact, now, CUT_S)
        assert contact.record_peer(ContactReport(now, 0.0), now)
        assert not contact.may_have_been_away(now)
        now += 1.5
        contact.record_success(now)


def test_a_cut_watch_is_no_outage_while_the_next_call_succeeds():
    # Review case 4: two cuts kept an engine in use for 3 s whose entry was removed.
    contact = contact_since(0.0, 10.0)
    now = 10.0
    for _ in range(6):
        now = fail_and_recover(contact, now + 1.4, 0.1)
        assert not contact.may_have_been_away(now)
        assert contact.report(now) == ContactReport(now, 0.0)


def test_a_cut_does_not_begin_the_time_after_an_outage_anew():
    contact = contact_since(0.0, 10.0)
    now = fail_and_recover(contact, 10.0, 3.0)
    fail_and_recover(contact, 14.4, 0.1)
    assert contact.may_have_been_away(now + REREGISTRATION_S - 0.01)
    assert not contact.may_have_been_away(now + REREGISTRATION_S)


def test_a_short_gap_of_several_failures_or_after_a_long_silence_is_an_outage():
    contact = contact_since(0.0, 10.0)
    contact.record_failure(entries_known=True, now=10.1)
    assert fail_and_recover(contact, 10.2, 0.1)
    assert contact.may_have_been_away(10.3)
    contact = contact_since(0.0, 10.0)
    now = fail_and_recover(contact, 12.35, 0.1)
    assert contact.may_have_been_away(now)


def test_a_failure_before_any_entry_is_known_is_no_outage():
    contact = StoreContact()
    contact.record_failure(entries_known=False, now=0.0)
    contact.record_success(1.0)
    assert not contact.may_have_been_away(1.0)


def test_no_peer_rules_out_that_the_store_returned_from_a_copy():
    contact = contact_since(0.0, 10.0)
    contact.begin_era(10.0)
    assert not contact.needs_peer(10.0)
    assert not contact.record_peer(ContactReport(10.0, 0.0), 10.0)
    assert contact.may_have_been_away(10.0 + REREGISTRATION_S - 0.01)
    assert not contact.may_have_been_away(10.0 + REREGISTRATION_S)
    assert contact.report(11.0).unbroken_s == 1.0


def test_a_node_that_was_suspended_vouches_for_nothing_before():
    contact = contact_since(0.0, 10.0)
    contact.record_success(10.0 + MAX_PAUSE_S + 0.1)
    assert contact.report(16.0).unbroken_s == 16.0 - (10.0 + MAX_PAUSE_S + 0.1)


def test_failures_that_follow_each_other_are_one_gap():
    contact = contact_since(0.0, 10.0)
    for failed_s in (11.0, 12.0, 13.0):
        contact.record_failure(entries_known=True, now=failed_s)
    contact.record_success(15.0)
    assert contact.report(15.0) == ContactReport(0.0, 0.0)
    assert not contact.record_peer(ContactReport(4.9, 0.0), 15.0)
    contact.record_success(18.0)
    # The gap was never explained, so that nothing is known of the time before its end.
    contact.record_failure(entries_known=True, now=18.0)
    contact.record_success(18.5)
    assert contact.record_peer(ContactReport(1.0, 0.0), 18.5)
    assert contact.report(18.5).unbroken_s == 3.5


failing_times = st.lists(st.floats(5.0, 40.0), max_size=6)


@settings(derandomize=True, deadline=None, max_examples=500)
@given(
    outage=st.tuples(st.floats(10.0, 30.0), st.floats(MAX_PEER_AGE_S, 9.0)),
    failing=st.tuples(failing_times, failing_times),
    call_s=st.sampled_from([0.5, CALL_S]),
    offset_s=st.floats(0.0, CALL_S),
)
def test_two_nodes_never_rule_out_an_outage_that_both_have_seen(
    outage, failing, call_s, offset_s
):
    """Both call the store at intervals, and fail alone at times."""
    begin_s, end_s = outage[0], outage[0] + outage[1]
    nodes = (StoreContact(), StoreContact())
    calls = sorted(
        [(call_s * n, 0, True) for n in range(int(50 / call_s))]
        + [(offset_s + CALL_S * n, 1, True) for n in range(22)]
        + [(at_s, number, False) for number in (0, 1) for at_s in failing[number]]
    )
    returned = set()
    for now, number, succeeds in calls:
        if succeeds and not begin_s <= now < end_s:
            nodes[number].record_success(now)
            if now >= end_s and number not in returned:
                returned.add(number)
                nodes_report = nodes[1 - number].report(now)
                if nodes_report is not None:
                    nodes[number].record_peer(nodes_report, now)
                # Missing entries are kept from the first call after the outage on.
                assert nodes[number].may_have_been_away(now)
        else:
            nodes[number].record_failure(entries_known=True, now=now)
        for one, other in (nodes, nodes[::-1]):
            report = other.report(now)
            if report is not None:
                one.record_peer(report, now)


def load_tests(loader, tests, pattern):
    return collect(globals())

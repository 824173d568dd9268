"""Summaries of a failure domain's load: who sends them, and what readers do."""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel import codec
from tanagerkeel.gateways.frames import KeyRing
from tanagerkeel.relay import (
    Assignment,
    BackendServer,
    Candidate,
    Demand,
    DomainLoad,
    DomainLoads,
    EngineProfile,
    LoadSender,
    engine_loads,
    estimate,
    load_intervals,
    prefill_ms,
    told_domains,
)
from tanagerkeel.relay._domain_load import (
    MAX_ENGINES,
    MAX_ID_BYTES,
    MAX_PREFILL_MS,
    MAX_REQUESTS,
    UNREPORTED_S,
)
from tanagerkeel.relay._load_sender import MAX_TOLD_DOMAINS
from tests.support import collect

KEYS = KeyRing({1: b"k" * 32}, 1)
PROFILE = EngineProfile(
    slots=6,
    memory_tokens=232_000,
    steps_per_pass=8,
    step_ms=5.0,
    prefill_tokens_per_ms=20.0,
    ms_per_million_pairs=0.2,
    mean_prompt_tokens=1_500,
    mean_answer_tokens=200,
)
SHORT_S = 1.6
VALID_MS = int(1_000 * load_intervals(3).valid_s)
NOW = 100.0
NODES = tuple(f"n{number}" for number in range(5))


def running(backend_id, sent_s=NOW - 1.0, end_s=NOW + 1.0, seen=True):
    first_s = sent_s + 0.2
    return Assignment(backend_id, 1_500, 200, 250.0, sent_s, first_s, end_s, seen)


def load_of(*loads, session=1, sent_ms=0, heard=5):
    return DomainLoad.of(loads, session, sent_ms, heard, VALID_MS)


def _count(loads, backend_id="e1", known=(), now=NOW):
    return len(loads.complete("b", backend_id, known, PROFILE, now))


# What a reader makes of a summary.


def test_placeholders_complete_what_is_known_up_to_the_reported_number():
    loads = DomainLoads()
    loads.merge("n1", "b", load_of(("e1", 4, 0), ("e2", 1, 0)), NOW)
    assert _count(loads) == 4
    assert _count(loads, known=[running("e1")]) == 4
    assert _count(loads, "e2", [running("e2")] * 3) == 3
    # An engine that isn't listed runs nothing.
    assert _count(loads, "e3") == 0
    placeholder = loads.complete("b", "e1", (), PROFILE, NOW)[0]
    assert (placeholder.prompt_tokens, placeholder.answer_tokens) == (1_500, 200)
    assert placeholder.first_event_seen
    assert placeholder.end_s <= NOW + VALID_MS / 1_000


def test_sends_that_a_summary_can_not_contain_are_added_to_it():
    loads = DomainLoads()
    loads.merge("n1", "b", load_of(("e1", 4, 0)), NOW)
    contained = running("e1", sent_s=NOW - UNREPORTED_S - 0.01)
    newer = [running("e1", NOW - UNREPORTED_S + 0.01), running("e1", NOW + 0.1)]
    assert _count(loads, known=[contained, *newer], now=NOW + 0.2) == 6


def test_reported_prefill_beyond_the_known_one_is_completed():
    loads = DomainLoads()
    waiting = Assignment("e1", 8_000, 200, 250.0, NOW - 0.2, NOW + 0.4, NOW + 2)
    table = {"e1": [waiting]}
    (reported,) = engine_loads([("e1", PROFILE), ("e2", PROFILE)], table, NOW)
    loads.merge("n1", "b", load_of(reported), NOW)
    demand = Demand(1_000, 100, 2_000.0, 500.0)
    server = BackendServer("e1", 1, "llm", "10.0.0.1:80", "b", 6)

    def first_ms(assignments):
        return estimate(Candidate(server, PROFILE, assignments), demand, NOW).first_ms

    truth = first_ms([waiting])
    for known in ((), [waiting]):
        completed = loads.complete("b", "e1", known, PROFILE, NOW)
        assert len(completed) == 1
        assert abs(first_ms(completed) - truth) < 30
    # The prefill is done half a second later.
    completed = loads.complete("b", "e1", (), PROFILE, NOW + 0.5)
    assert completed[0].tokens_left(NOW + 0.5) < 0.2 * 8_000


def test_without_a_valid_summary_nothing_changes():
    loads = DomainLoads()
    known = [running("e1")]
    assert loads.complete("b", "e1", known, PROFILE, NOW) is known
    loads.merge("n1", "b", load_of(("e1", 4, 0)), NOW)
    end_s = NOW + VALID_MS / 1_000
    assert loads.age_s("b", end_s - 0.01) is not None
    assert loads.age_s("b", end_s) is None
    assert loads.complete("b", "e1", known, PROFILE, end_s) is known
    # Another failure domain has none.
    assert loads.complete("c", "e1", known, PROFILE, NOW) is known


def test_a_summary_that_arrives_twice_or_out_of_order_changes_nothing():
    loads = DomainLoads()
    newest = load_of(("e1", 2, 0), sent_ms=600)
    assert loads.merge("n1", "b", newest, NOW)
    assert not loads.merge("n1", "b", newest, NOW + 0.1)
    assert not loads.merge("n1", "b", load_of(("e1", 5, 0), sent_ms=300), NOW + 0.1)
    assert _count(loads) == 2
    assert abs(loads.age_s("b", NOW + 0.2) - 0.2) < 1e-6


def test_a_summary_of_an_older_incarnation_of_its_sender_is_ignored():
    loads = DomainLoads()
    loads.merge("n1", "b", load_of(("e1", 2, 0), session=8), NOW)
    older = load_of(("e1", 5, 0), session=7, sent_ms=9_000)
    assert not loads.merge("n1", "b", older, NOW)
    assert loads.merge("n1", "b", load_of(("e1", 3, 0), session=9), NOW + 0.1)
    assert _count(loads) == 3


def test_a_late_summary_is_as_old_as_its_delay():
    loads = DomainLoads()
    loads.merge("n1", "b", load_of(("e1", 2, 0), sent_ms=1_000), NOW)
    loads.merge("n1", "b", load_of(("e1", 3, 0), sent_ms=1_300), NOW + 1.3)
    assert abs(loads.age_s("b", NOW + 1.3) - 1.0) < 0.01
    # What was sent in the second of its way isn't in it.
    assert _count(loads, known=[running("e1", NOW + 0.5)], now=NOW + 1.3) == 4
    loads.merge("n1", "b", load_of(("e1", 3, 0), sent_ms=1_600), NOW + 5.0)
    assert loads.age_s("b", NOW + 5.0) is None


def test_of_two_senders_the_one_that_hears_more_nodes_counts():
    loads = DomainLoads()
    assert loads.merge("n1", "b", load_of(("e1", 4, 0), heard=5), NOW)
    assert not loads.merge("n2", "b", load_of(("e1", 1, 0), heard=3), NOW + 0.1)
    assert _count(loads) == 4
    # The first one was cut off or replaced, and its summary expires.
    assert loads.merge("n2", "b", load_of(("e1", 1, 0), sent_ms=2_000), NOW + 2.0)
    loads.remove_sender("n1")
    assert _count(loads, now=NOW + 2.0) == 1


def test_engines_without_room_in_a_summary_count_as_busy_as_any_that_is_left_out():
    many = [(f"e{number}", 1 + number % 6, 0) for number in range(MAX_ENGINES + 6)]
    load = load_of(*many, ("x" * (MAX_ID_BYTES + 1), 5, 0))
    assert len(load.backend_ids) == MAX_ENGINES
    assert load.rest == 5
    loads = DomainLoads()
    loads.merge("n1", "b", load, NOW)
    for backend_id, count, _ in many:
        assert _count(loads, backend_id) >= count


LOADS = st.lists(
    st.tuples(st.text(max_size=90), st.integers(1, 5_000), st.integers(0, 10**6)),
    max_size=120,
    unique_by=lambda load: load[0],
)


@settings(max_examples=60, deadline=None)
@given(LOADS)
def test_a_summary_stays_within_its_bounds(loads):
    load = load_of(*loads)
    assert load.within_bounds
    payload = codec.pack_compact(load)
    assert len(payload) < 4_800
    assert codec.unpack_compact(payload, DomainLoad) == load
    counts = {backend_id: min(MAX_REQUESTS, count) for backend_id, count, _ in loads}
    listed = dict(zip(load.backend_ids, load.requests, strict=True))
    for backend_id, count in counts.items():
        assert listed.get(backend_id, load.rest) >= count


@settings(max_examples=60, deadline=None)
@given(
    st.integers(0, 12),
    st.integers(0, MAX_PREFILL_MS),
    st.lists(st.floats(-3.0, 1.0), max_size=8),
    st.floats(0.0, 1.4),
)
def test_no_request_is_left_out_or_counted_beyond_what_was_reported_and_sent(
    requests, left_ms, sent, age_s
):
    loads = DomainLoads()
    loads.merge("n1", "b", load_of(("e1", requests, left_ms)), NOW)
    known = [running("e1", NOW + at_s) for at_s in sent]
    completed = loads.complete("b", "e1", known, PROFILE, NOW + age_s)
    newer = sum(at_s > -UNREPORTED_S for at_s in sent)
    assert completed[: len(known)] == known
    assert len(completed) >= max(requests, len(known))
    # One more where prefill was reported that no known request has.
    assert len(completed) <= max(requests, len(known) - newer) + newer + 1


@settings(max_examples=40, deadline=None)
@given(st.integers(25, MAX_PREFILL_MS))
def test_a_placeholder_takes_as_long_to_prefill_as_reported(left_ms):
    loads = DomainLoads()
    loads.merge("n1", "b", load_of(("e1", 1, left_ms)), NOW)
    (waiting,) = loads.complete("b", "e1", (), PROFILE, NOW)
    took_ms = prefill_ms(PROFILE, waiting.tokens_left(NOW))
    assert left_ms - 1 <= took_ms <= left_ms + 2 * PROFILE.step_ms


def test_a_reported_domain_costs_less_than_an_unseen_one_and_more_with_its_age():
    server = BackendServer("e1", 1, "llm", "10.0.0.1:80", "b", 6)
    demand = Demand(1_500, 200, 2_000.0, 500.0, many_senders=True)

    def loss(age_s, prompt_tokens=1_500):
        candidate = Candidate(server, PROFILE, same_domain=False, load_age_s=age_s)
        asked = attrs.evolve(demand, prompt_tokens=prompt_tokens)
        return estimate(candidate, asked, NOW).loss

    assert loss(0.0) < loss(0.3) < loss(1.0) < loss(None)
    assert loss(9.0) == loss(None)
    # What a long prompt does to the answers there isn't known.
    assert loss(0.0, 30_000) == loss(None, 30_000)


# Who sends.


def _first(nodes=NODES):
    return next(
        n for n in nodes if LoadSender(n, "b", 0.0).due_s(nodes, 5, 9.0, NOW) == NOW
    )


def test_one_node_sends_and_the_next_one_takes_over_when_it_is_silent():
    takeover_s = load_intervals(3).takeover_s
    assert 1.0 < takeover_s < 1.5
    due = {n: LoadSender(n, "b", NOW).due_s(NODES, 5, takeover_s, NOW) for n in NODES}
    order = sorted(NODES, key=due.get)
    assert [round((due[n] - NOW) / takeover_s) for n in order] == [0, 1, 2, 3, 4]
    second = LoadSender(order[1], "b", NOW)
    for heard_s in (NOW + 1.0, NOW + 2.0):
        second.record(order[0], 5, heard_s)
        assert second.due_s(NODES, 5, takeover_s, heard_s) == heard_s + takeover_s
    # The third one hears the second, and stays silent.
    third = LoadSender(order[2], "b", NOW)
    third.record(order[1], 5, NOW + 4.0)
    assert third.due_s(NODES, 5, takeover_s, NOW + 4.0) > NOW + 4.0 + takeover_s
    # The first one is gone from the store: the second is the first.
    left = tuple(n for n in NODES if n != order[0])
    assert second.due_s(left, 4, takeover_s, NOW + 2.0) == NOW + 2.0
    # The first one is back, whatever the second sends.
    first = LoadSender(order[0], "b", NOW)
    first.record(order[1], 5, NOW + 3.0)
    assert first.due_s(NODES, 5, takeover_s, NOW + 3.0) == NOW + 3.0


def test_a_node_that_hears_few_of_its_domain_does_not_send_and_is_not_relied_on():
    first = _first()
    order = [first, *(n for n in NODES if n != first)]
    sender = LoadSender(first, "b", NOW)
    assert sender.due_s(NODES, 2, 1.26, NOW + 9.0) is None
    assert sender.due_s(NODES, 3, 1.26, NOW + 9.0) == NOW + 9.0
    # Others send beside it while it counts fewer nodes than they do.
    for other in order[1:]:
        sender = LoadSender(other, "b", NOW)
        sender.record(first, 3, NOW + 9.0)
        assert sender.due_s(NODES, 5, 1.26, NOW + 9.0) <= NOW + 9.0
        sender.record(first, 5, NOW + 9.0)
        assert sender.due_s(NODES, 5, 1.26, NOW + 9.0) > NOW + 9.0


@settings(max_examples=50, deadline=None)
@given(st.sets(st.text("abcd", min_size=1, max_size=4), min_size=1, max_size=30))
def test_each_domain_is_told_by_as_many_as_it_tells(domains):
    told = {domain: told_domains(domains, domain) for domain in domains}
    number = min(MAX_TOLD_DOMAINS, len(domains) - 1)
    for domain in domains:
        assert domain not in told[domain]
        assert len(set(told[domain])) == len(told[domain]) == number
        assert sum(domain in others for others in told.values()) == number
    intervals = load_intervals(len(domains))
    assert 0.3 <= intervals.busy_s <= 0.5
    assert intervals.valid_s > 2 * intervals.quiet_s


def load_tests(loader, tests, pattern):
    return collect(globals())

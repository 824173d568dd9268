"""Summaries of a failure domain's load: who sends them, and what readers do."""

import random
import types

import attrs
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagerkeel import codec
from tanagerkeel.clock import ManualClock
from tanagerkeel.gateways.frames import Frame, KeyRing, sign_frame, verify_frame
from tanagerkeel.relay import (
    Assignment,
    AssignmentTable,
    BackendServer,
    Candidate,
    Demand,
    DomainLoad,
    DomainLoads,
    EngineProfile,
    LoadSender,
    RelayConfiguration,
    ServiceSpec,
    choose_placement,
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
from tanagerkeel.relay_entry import RelayBounds, RelaySettings
from tanagerkeel.relay_entry._domain_load_task import LOAD_KIND, DomainLoadTask
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._peer_update_task import PeerUpdateTask, _QueueingUpdate
from tanagerkeel.relay_entry._peers import Peer
from tanagerkeel.relay_entry._placer import RelayPlacer
from tanagerkeel.relay_entry._settings import PlacementSettings
from tanagerkeel.relay_entry._state import RelayState
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


def _running(backend_id, sent_s=NOW - 1.0, end_s=NOW + 1.0, seen=True):
    first_s = sent_s + 0.2
    return Assignment(backend_id, 1_500, 200, 250.0, sent_s, first_s, end_s, seen)


def _load(*loads, session=1, sent_ms=0, heard=5):
    return DomainLoad.of(loads, session, sent_ms, heard, VALID_MS)


def _count(loads, backend_id="e1", known=(), now=NOW):
    return len(loads.complete("b", backend_id, known, PROFILE, now))


# What a reader makes of a summary.


def test_placeholders_complete_what_is_known_up_to_the_reported_number():
    loads = DomainLoads()
    loads.merge("n1", "b", _load(("e1", 4, 0), ("e2", 1, 0)), NOW)
    assert _count(loads) == 4
    assert _count(loads, known=[_running("e1")]) == 4
    assert _count(loads, "e2", [_running("e2")] * 3) == 3
    # An engine that isn't listed runs nothing.
    assert _count(loads, "e3") == 0
    placeholder = loads.complete("b", "e1", (), PROFILE, NOW)[0]
    assert (placeholder.prompt_tokens, placeholder.answer_tokens) == (1_500, 200)
    assert placeholder.first_event_seen
    assert placeholder.end_s <= NOW + VALID_MS / 1_000


def test_sends_that_a_summary_can_not_contain_are_added_to_it():
    loads = DomainLoads()
    loads.merge("n1", "b", _load(("e1", 4, 0)), NOW)
    contained = _running("e1", sent_s=NOW - UNREPORTED_S - 0.01)
    newer = [_running("e1", NOW - UNREPORTED_S + 0.01), _running("e1", NOW + 0.1)]
    assert _count(loads, known=[contained, *newer], now=NOW + 0.2) == 6


def test_reported_prefill_beyond_the_known_one_is_completed():
    loads = DomainLoads()
    waiting = Assignment("e1", 8_000, 200, 250.0, NOW - 0.2, NOW + 0.4, NOW + 2)
    table = {"e1": [waiting]}
    (reported,) = engine_loads([("e1", PROFILE), ("e2", PROFILE)], table, NOW)
    loads.merge("n1", "b", _load(reported), NOW)
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
    known = [_running("e1")]
    assert loads.complete("b", "e1", known, PROFILE, NOW) is known
    loads.merge("n1", "b", _load(("e1", 4, 0)), NOW)
    end_s = NOW + VALID_MS / 1_000
    assert loads.age_s("b", end_s - 0.01) is not None
    assert loads.age_s("b", end_s) is None
    assert loads.complete("b", "e1", known, PROFILE, end_s) is known
    # Another failure domain has none.
    assert loads.complete("c", "e1", known, PROFILE, NOW) is known


def test_a_summary_that_arrives_twice_or_out_of_order_changes_nothing():
    loads = DomainLoads()
    newest = _load(("e1", 2, 0), sent_ms=600)
    assert loads.merge("n1", "b", newest, NOW)
    assert not loads.merge("n1", "b", newest, NOW + 0.1)
    assert not loads.merge("n1", "b", _load(("e1", 5, 0), sent_ms=300), NOW + 0.1)
    assert _count(loads) == 2
    assert abs(loads.age_s("b", NOW + 0.2) - 0.2) < 1e-6


def test_a_summary_of_an_older_incarnation_of_its_sender_is_ignored():
    loads = DomainLoads()
    loads.merge("n1", "b", _load(("e1", 2, 0), session=8), NOW)
    older = _load(("e1", 5, 0), session=7, sent_ms=9_000)
    assert not loads.merge("n1", "b", older, NOW)
    assert loads.merge("n1", "b", _load(("e1", 3, 0), session=9), NOW + 0.1)
    assert _count(loads) == 3


def test_a_late_summary_is_as_old_as_its_delay():
    loads = DomainLoads()
    loads.merge("n1", "b", _load(("e1", 2, 0), sent_ms=1_000), NOW)
    loads.merge("n1", "b", _load(("e1", 3, 0), sent_ms=1_300), NOW + 1.3)
    assert abs(loads.age_s("b", NOW + 1.3) - 1.0) < 0.01
    # What was sent in the second of its way isn't in it.
    assert _count(loads, known=[_running("e1", NOW + 0.5)], now=NOW + 1.3) == 4
    loads.merge("n1", "b", _load(("e1", 3, 0), sent_ms=1_600), NOW + 5.0)
    assert loads.age_s("b", NOW + 5.0) is None


def test_of_two_senders_the_one_that_hears_more_nodes_counts():
    loads = DomainLoads()
    assert loads.merge("n1", "b", _load(("e1", 4, 0), heard=5), NOW)
    assert not loads.merge("n2", "b", _load(("e1", 1, 0), heard=3), NOW + 0.1)
    assert _count(loads) == 4
    # The first one was cut off or replaced, and its summary expires.
    assert loads.merge("n2", "b", _load(("e1", 1, 0), sent_ms=2_000), NOW + 2.0)
    loads.remove_sender("n1")
    assert _count(loads, now=NOW + 2.0) == 1


def test_engines_without_room_in_a_summary_count_as_busy_as_any_that_is_left_out():
    many = [(f"e{number}", 1 + number % 6, 0) for number in range(MAX_ENGINES + 6)]
    load = _load(*many, ("x" * (MAX_ID_BYTES + 1), 5, 0))
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
    load = _load(*loads)
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
    loads.merge("n1", "b", _load(("e1", requests, left_ms)), NOW)
    known = [_running("e1", NOW + at_s) for at_s in sent]
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
    loads.merge("n1", "b", _load(("e1", 1, left_ms)), NOW)
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


# The task.


class _Sent:
    """Records the datagrams that a node sends, instead of a socket."""

    def __init__(self):
        self.datagrams = []

    def send(self, data, address):
        self.datagrams.append((address[1], data))

    def take(self):
        sent, self.datagrams = self.datagrams, []
        return sent


def _node(node_id="n0", clock=None, from_nodes=4, domain="b"):
    """Return a node of a fleet of two nodes in each of three failure domains."""
    settings = RelaySettings(
        node_id,
        domain,
        *["127.0.0.1:0"] * 6,
        bounds=RelayBounds(),
        placement=PlacementSettings(from_nodes),
    )
    clock = clock or ManualClock()
    state = RelayState(settings, clock)
    for number in range(6):
        peer = Peer(f"n{number}", "bac"[number // 2], f"127.0.0.1:{number + 1}", 1)
        state.peers.put(peer)
    service = ServiceSpec("llm", "/", 9, engine=PROFILE)
    state.configuration = RelayConfiguration(1, (), (service,))
    for number, engine_domain in enumerate("aabbcc"):
        server = BackendServer(
            f"e{number}", 1, "llm", f"10.0.0.{number}:80", engine_domain, 6
        )
        state.backends.put(server, 1, clock.monotonic())
    updates = PeerUpdateTask(state, types.SimpleNamespace(keys=KEYS), random.Random(1))
    updates._datagrams = _Sent()
    return state, updates, DomainLoadTask(state, updates)


def _hear_all(state, assignments=(), sequence=1):
    for number in range(6):
        state.assignments.update_peer(
            f"n{number}", (1, sequence), assignments, state.clock.monotonic()
        )
        assignments = ()


def _assign(state, backend_id):
    now = state.clock.monotonic()
    state.assignments.add(Assignment(backend_id, 1_500, 200, 250.0, now, now, now + 2))


def _nodes_by_rank(clock):
    """Return the nodes of failure domain b, the one that sends first."""
    nodes = [_node(node_id, clock) for node_id in ("n0", "n1")]
    for state, _, _ in nodes:
        _hear_all(state)
    nodes.sort(key=lambda node: not _sends(node))
    return nodes


def _sends(node):
    state, updates, task = node
    task.step()
    return bool(updates._datagrams.take())


def test_a_summary_reaches_the_other_domains_and_the_node_that_may_send_next():
    clock = ManualClock()
    first, second = _nodes_by_rank(clock)
    state, updates, task = first
    _assign(state, "e2")
    _assign(state, "e0")
    clock.advance(0.3)
    assert task.step() == 0.3
    sent = updates._datagrams.take()
    own = int(state.settings.node_id[1]) + 1
    assert sorted(port for port, _ in sent) == sorted({1, 2, 3, 4, 5, 6} - {own})
    load = codec.unpack_compact(verify_frame(sent[0][1], "*", KEYS).payload, DomainLoad)
    # Only engines of the own failure domain.
    assert (load.backend_ids, load.requests) == (("e2",), (1,))
    other_state, other, _ = _node("n2", clock, domain="a")
    other.datagram_received(sent[0][1], ("127.0.0.1", 1))
    loads = other_state.fleet_beliefs.domain_loads
    now = clock.monotonic()
    assert loads.age_s("b", now) == 0.0
    assert len(loads.complete("b", "e2", (), PROFILE, now)) == 1
    assert second[2].step() > 0.3
    assert second[1]._datagrams.take() == []


def test_a_frozen_sender_is_replaced_and_reads_before_it_sends_again():
    clock = ManualClock()
    first, second = _nodes_by_rank(clock)
    sends = []
    for _ in range(10):
        clock.advance(0.3)
        _hear_all(second[0], sequence=2 + len(sends))
        sends.append(_sends(second))
    # It takes over after a second or so.
    assert sends.index(True) in (3, 4)
    state, updates, task = first
    task._due_s = clock.monotonic() - 3.0
    task.step()
    assert updates._datagrams.take() == []
    task._due_s = clock.monotonic()
    _hear_all(state, sequence=2)
    clock.advance(0.1)
    task.step()
    sent = updates._datagrams.take()
    assert sent
    second[1].datagram_received(sent[0][1], ("127.0.0.1", 1))
    assert not _sends(second)


def test_a_sender_that_is_cut_off_from_its_domain_does_not_send():
    clock = ManualClock()
    first, _ = _nodes_by_rank(clock)
    state = first[0]
    state.peers.put(Peer("n6", "b", "127.0.0.1:7", 1))
    state.peers.put(Peer("n7", "b", "127.0.0.1:8", 1))
    clock.advance(6.0)
    assert not _sends(first)


def test_a_load_that_does_not_change_is_sent_less_often():
    clock = ManualClock()
    first, _ = _nodes_by_rank(clock)
    sends = []
    for sequence in range(2, 12):
        clock.advance(0.3)
        _hear_all(first[0], sequence=sequence)
        sends.append(_sends(first))
    assert sum(sends) == 5
    assert all(a or b for a, b in zip(sends, sends[1:], strict=False))


def test_nothing_is_sent_or_read_unless_the_settings_ask_for_it():
    clock = ManualClock()
    sender, _ = _nodes_by_rank(clock)
    clock.advance(0.6)
    sender[2].step()
    (_, data), *_ = sender[1]._datagrams.take()
    for from_nodes in (None, 7):
        for node_id in ("n0", "n1"):
            node = _node(node_id, clock, from_nodes)
            _hear_all(node[0])
            assert not _sends(node)
        state, updates, _ = _node("n2", clock, from_nodes, "a")
        updates.datagram_received(data, ("127.0.0.1", 1))
        assert state.fleet_beliefs.domain_loads.age_s("b", clock.monotonic()) is None


def test_placement_counts_what_a_summary_reports_if_the_settings_ask_for_it():
    for from_nodes, expected in ((4, (4, 0.3)), (None, (0, None))):
        state, _, _ = _node(from_nodes=from_nodes)
        start_s = state.clock.monotonic()
        loads = state.fleet_beliefs.domain_loads
        for domain, engine in (("a", "e0"), ("b", "e2")):
            loads.merge(f"n-{domain}", domain, _load((engine, 4, 0)), start_s)
        state.clock.advance(0.3)
        placer = RelayPlacer(state, RelayMetrics(), lambda: None)
        run = types.SimpleNamespace(
            tried=set(),
            fingerprint="",
            is_avoided=lambda *_: False,
            admitted=types.SimpleNamespace(service=state.configuration.services[0]),
        )
        found = {
            c.server.backend_id: (len(c.assignments), c.load_age_s)
            for c in placer._candidates(run, state.clock.monotonic())
        }
        count, age_s = found["e0"]
        assert (count, age_s and round(age_s, 3)) == expected
        # The nodes of the own failure domain know better; domain c reported nothing.
        assert found["e2"] == found["e4"] == (0, None)


def test_a_domain_without_nodes_or_a_fleet_of_one_domain_has_no_summary():
    clock = ManualClock()
    first, _ = _nodes_by_rank(clock)
    state = first[0]
    for number in range(2, 6):
        state.peers.remove(f"n{number}", clock.monotonic())
    clock.advance(0.6)
    assert not _sends(first)
    known = [_running("e1")]
    loads = state.fleet_beliefs.domain_loads
    assert loads.complete("a", "e1", known, PROFILE, clock.monotonic()) is known


def test_summaries_beyond_the_bounds_or_of_unknown_nodes_are_dropped():
    state, updates, _ = _node()
    bad = [
        (1, 1, 5, VALID_MS, 0, ["e1"], [1, 2], [0]),
        (1, 1, 5, VALID_MS, 0, ["e1"], [-1], [0]),
        (1, 1, 5, VALID_MS, 0, ["e1"], [1], [MAX_PREFILL_MS + 1]),
        (1, 1, 5, 60_000, 0, ["e1"], [1], [0]),
        (1, 1, 5, VALID_MS, 0, ["e"] * 65, [1] * 65, [0] * 65),
        (1, 1, 5),
        7,
    ]
    good = (1, 1, 5, VALID_MS, 0, ["e1"], [1], [0], "new")
    loads, now = state.fleet_beliefs.domain_loads, state.clock.monotonic()
    for fields in bad:
        _receive(updates, "n2", fields)
        assert loads.age_s("a", now) is None, fields
    _receive(updates, "n9", good)
    assert loads.age_s("a", now) is None
    _receive(updates, "n2", good)
    assert loads.age_s("a", now) == 0.0


def _receive(updates, sender, fields, kind=LOAD_KIND):
    payload = msgspec.msgpack.encode(fields)
    frame = Frame(sender, 7, 0, 1, kind, 0, payload)
    updates.datagram_received(sign_frame(frame, "*", KEYS), ("127.0.0.1", 1))


def test_a_build_that_does_not_know_summaries_drops_them():
    # Builds up to commit 1886168 read each kind without a handler as an update. They
    # drop a summary, as its first field isn't a list.
    for load in (_load(), _load(("e1", 4, 0))):
        try:
            codec.unpack_compact_leniently(codec.pack_compact(load), _QueueingUpdate)
        except codec.InvalidValue:
            continue
        raise AssertionError("an older build takes a summary for an update")
    # This build reads no other kind as an update, whatever it holds.
    state, updates, _ = _node()
    _receive(updates, "n2", [[("e1", 1, 1, 1, 0, 9, 9, True, 1, 9)]], LOAD_KIND + 1)
    assert state.assignments.by_backend(state.clock.monotonic()) == {}


# A small fleet with uneven demand.

DOMAINS = "abc"
ENGINES_PER_DOMAIN = 8
NODES_PER_DOMAIN = 12
TICK_S = 0.01
FAR_INTERVAL_S = 6.5
DEMAND = Demand(1_500, 200, 200.0, 500.0, 2_000.0, many_senders=True)


@attrs.define
class _Fleet:
    """Nodes of a failure domain share what they know; far ones hear by intervals."""

    summaries: bool
    rng: random.Random
    tables: dict = attrs.field(factory=lambda: {d: AssignmentTable() for d in DOMAINS})
    loads: dict = attrs.field(factory=lambda: {d: DomainLoads() for d in DOMAINS})
    running: dict = attrs.field(factory=dict)
    sent: int = 0
    late: int = 0
    full: int = 0
    overflowed: int = 0
    _sequence: int = 0

    def engines(self, domain):
        return [f"{domain}{number}" for number in range(ENGINES_PER_DOMAIN)]

    def ends_s(self, engine):
        work = (a for work in self.running.values() for a in work)
        return sorted(a.end_s for a in work if a.backend_id == engine)

    def tell(self, node, domains, now):
        self._sequence += 1
        for domain in domains:
            work = tuple(self.running.get(node, ()))
            self.tables[domain].update_peer(node, (1, self._sequence), work, now, 16.0)

    def summarize(self, domain, now):
        engines = [(engine, PROFILE) for engine in self.engines(domain)]
        loads = engine_loads(engines, self.tables[domain].by_backend(now), now)
        load = _load(*loads, sent_ms=int(1_000 * now))
        for other in DOMAINS:
            if other != domain:
                self.loads[other].merge(f"{domain}-0", domain, load, now)

    def candidates(self, own, now):
        known = self.tables[own].by_backend(now)
        for domain in DOMAINS:
            age_s = self.loads[own].age_s(domain, now)
            for engine in self.engines(domain):
                found = self.loads[own].complete(
                    domain, engine, known.get(engine, ()), PROFILE, now
                )
                server = BackendServer(engine, 1, "llm", "10.0.0.1:80", domain, 6)
                yield Candidate(
                    server, PROFILE, found, same_domain=domain == own, load_age_s=age_s
                )

    def send(self, domain, now):
        node = f"{domain}-{self.rng.randrange(NODES_PER_DOMAIN)}"
        salt = str(self.sent)
        placement = choose_placement(self.candidates(domain, now), DEMAND, now, salt)
        self.sent += 1
        if placement is None:
            self.late += 1
            return
        engine = placement.candidate.server.backend_id
        ends_s = self.ends_s(engine)
        start_s = now
        if len(ends_s) >= PROFILE.slots:
            start_s = ends_s[-PROFILE.slots]
            others = (e for d in DOMAINS if d != engine[0] for e in self.engines(d))
            self.full += any(len(self.ends_s(e)) < PROFILE.slots for e in others)
        self.late += start_s - now > DEMAND.objective_ms / 1_000
        first_s = start_s + 0.1
        end_s = start_s + SHORT_S
        work = Assignment(engine, 1_500, 200, 500.0, now, first_s, end_s, True)
        self.running.setdefault(node, []).append(work)
        far = not placement.candidate.same_domain
        self.overflowed += far
        self.tell(node, DOMAINS if far else domain, now)

    def run(self, shares, seconds):
        slots = ENGINES_PER_DOMAIN * PROFILE.slots
        per_tick = {d: s * slots / SHORT_S * TICK_S for d, s in shares.items()}
        for tick in range(int(seconds / TICK_S)):
            now = tick * TICK_S
            for node, work in self.running.items():
                left = [a for a in work if a.end_s > now]
                if len(left) < len(work):
                    foreign = any(a.backend_id[0] != node[0] for a in work)
                    self.running[node] = left
                    self.tell(node, DOMAINS if foreign else node[0], now)
            far_ticks = int(FAR_INTERVAL_S / TICK_S)
            for index, node in enumerate(self.running):
                if tick % far_ticks == index * 17 % far_ticks:
                    self.tell(node, DOMAINS, now)
            if self.summaries and tick % 30 == 0:
                for domain in DOMAINS:
                    self.summarize(domain, now)
            for domain, mean in per_tick.items():
                if self.rng.random() < mean:
                    self.send(domain, now)
        return self


def test_with_summaries_uneven_demand_is_late_less_often_and_no_engine_overfilled():
    # The first failure domain has demand for 1.4 times its slots, all for 0.73.
    shares = {"a": 1.4, "b": 0.4, "c": 0.4}
    alone, told = (
        [_Fleet(summaries, random.Random(seed)).run(shares, 12.0) for seed in (1, 2, 3)]
        for summaries in (False, True)
    )
    assert [fleet.sent for fleet in told] == [fleet.sent for fleet in alone]
    assert sum(fleet.late for fleet in told) < sum(fleet.late for fleet in alone)
    assert sum(fleet.full for fleet in alone) > 0
    assert sum(fleet.full for fleet in told) == 0
    assert all(t.overflowed > a.overflowed for t, a in zip(told, alone, strict=True))


def load_tests(loader, tests, pattern):
    return collect(globals())

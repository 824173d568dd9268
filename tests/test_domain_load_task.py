"""When a node sends the load of its failure domain, and what it reads of others."""

import random
import types

import msgspec

from tanagerkeel import codec
from tanagerkeel.clock import ManualClock
from tanagerkeel.gateways.frames import Frame, KeyRing, sign_frame, verify_frame
from tanagerkeel.relay import (
    Assignment,
    BackendServer,
    DomainLoad,
    RelayConfiguration,
    ServiceSpec,
)
from tanagerkeel.relay._domain_load import MAX_PREFILL_MS
from tanagerkeel.relay_entry import RelayBounds, RelaySettings
from tanagerkeel.relay_entry._domain_load_task import LOAD_KIND, DomainLoadTask
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._peer_update_task import PeerUpdateTask, _QueueingUpdate
from tanagerkeel.relay_entry._peers import Peer
from tanagerkeel.relay_entry._placer import RelayPlacer
from tanagerkeel.relay_entry._settings import PlacementSettings
from tanagerkeel.relay_entry._state import RelayState
from tests.support import collect
from tests.test_domain_load import PROFILE, VALID_MS, load_of, running

KEYS = KeyRing({1: b"k" * 32}, 1)


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


def _hear_all(state, sequence=1):
    now = state.clock.monotonic()
    for peer in state.peers.others:
        state.assignments.update_peer(peer.node_id, (1, sequence), (), now)


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


def _port(state):
    return int(state.settings.node_id[1]) + 1


def _load_in(datagram):
    payload = verify_frame(datagram, "*", KEYS).payload
    return codec.unpack_compact(payload, DomainLoad)


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
    by_port = dict(sent)
    assert sorted(by_port) == sorted({1, 2, 3, 4, 5, 6} - {_port(state)})
    assert len(by_port) == len(sent)
    load = _load_in(by_port[3])
    # Only engines of the own failure domain.
    assert (load.backend_ids, load.requests) == (("e2",), (1,))
    near = _load_in(by_port[_port(second[0])])
    assert (near.backend_ids, near.heard) == ((), 2)
    other_state, other, _ = _node("n2", clock, domain="a")
    other.datagram_received(by_port[3], ("127.0.0.1", 1))
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
    by_port = dict(updates._datagrams.take())
    second[1].datagram_received(by_port[_port(second[0])], ("127.0.0.1", 1))
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
            loads.merge(f"n-{domain}", domain, load_of((engine, 4, 0)), start_s)
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
    known = [running("e1")]
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
    for load in (load_of(), load_of(("e1", 4, 0))):
        try:
            codec.unpack_compact_leniently(codec.pack_compact(load), _QueueingUpdate)
        except codec.InvalidValue:
            continue
        raise AssertionError("an older build takes a summary for an update")
    # This build reads no other kind as an update, whatever it holds.
    state, updates, _ = _node()
    _receive(updates, "n2", [[("e1", 1, 1, 1, 0, 9, 9, True, 1, 9)]], LOAD_KIND + 1)
    assert state.assignments.by_backend(state.clock.monotonic()) == {}


def load_tests(loader, tests, pattern):
    return collect(globals())

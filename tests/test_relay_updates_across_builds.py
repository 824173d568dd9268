"""Peer updates of older and newer builds: what one can't read costs nothing else."""

import random
import types

import msgspec

from tanagerkeel.clock import ManualClock
from tanagerkeel.gateways.frames import Frame, KeyRing, sign_frame
from tanagerkeel.relay_entry import RelayBounds, RelaySettings
from tanagerkeel.relay_entry._peer_update_task import PeerUpdateTask
from tanagerkeel.relay_entry._peers import Peer
from tanagerkeel.relay_entry._state import RelayState
from tests.support import collect

KEYS = KeyRing({1: b"k" * 32}, 1)
NEWS_KIND = 1
# An assignment as commit a20868e and all builds since send it: backend server, prompt
# and answer tokens, gap objective, three times, whether its first event has arrived,
# full prompt, and due time.
ASSIGNMENT = ("i-1", 5_000, 300, 250, -100, 200, 900, False, 5_000, 300)
# The other fields of an update of that commit, in order.
REST = [[], {"llm": 3}, ["i-9"], [], [], [], ["booking"]]


def _task():
    settings = RelaySettings("n1", "zone-a", *["127.0.0.1:0"] * 6, bounds=RelayBounds())
    state = RelayState(settings, ManualClock())
    state.peers.put(Peer("n2", "zone-b", "127.0.0.1:1", 1))
    presence = types.SimpleNamespace(keys=KEYS)
    return state, PeerUpdateTask(state, presence, random.Random(1))


def _receive(task, fields, sequence=1):
    frame = Frame("n2", 7, 0, sequence, NEWS_KIND, 0, msgspec.msgpack.encode(fields))
    task.datagram_received(sign_frame(frame, "*", KEYS), ("127.0.0.1", 1))


def _running(state):
    by_backend = state.assignments.by_backend(state.clock.monotonic())
    return {name: len(assignments) for name, assignments in by_backend.items()}


def test_an_update_of_an_older_build_is_read_whole():
    # Builds before forwarding sent seven fields.
    for fields in ([[ASSIGNMENT], *REST], [[ASSIGNMENT], *REST[:6]], [[ASSIGNMENT]]):
        state, task = _task()
        _receive(task, fields)
        assert _running(state) == {"i-1": 1}


def test_an_assignment_with_more_fields_is_read():
    state, task = _task()
    _receive(task, [[(*ASSIGNMENT, "new", 4)], *REST])
    assert _running(state) == {"i-1": 1}


def test_an_item_that_this_build_cannot_read_costs_only_itself():
    unreadable = (
        ("i-2",),
        ("i-2", "many", *ASSIGNMENT[2:]),
        {"backend": "i-2"},
        7,
    )
    for item in unreadable:
        state, task = _task()
        _receive(task, [[item, ASSIGNMENT], *REST, ["a field of a newer build"]])
        assert _running(state) == {"i-1": 1}, item
        assert state._peer_reports["n2"].retries == {"llm": 3}


def test_a_field_that_this_build_cannot_read_costs_only_itself():
    for place in range(1, 8):
        fields = [[ASSIGNMENT], *REST]
        fields[place] = 3.5
        state, task = _task()
        _receive(task, fields)
        assert _running(state) == {"i-1": 1}, place


def test_updates_that_cannot_be_read_change_nothing():
    for fields in (None, 4, "text", {}, [], [7]):
        state, task = _task()
        _receive(task, [[ASSIGNMENT], *REST])
        _receive(task, fields, 2)
        assert _running(state).get("i-1", 0) <= 1
    # Truncated, and of a sender whose key this node doesn't know.
    state, task = _task()
    frame = Frame("n2", 7, 0, 1, NEWS_KIND, 0, msgspec.msgpack.encode([[ASSIGNMENT]]))
    for data in (
        sign_frame(frame, "*", KEYS)[:-1],
        sign_frame(frame, "*", KeyRing({1: b"x" * 32}, 1)),
    ):
        task.datagram_received(data, ("127.0.0.1", 1))
    assert _running(state) == {}


def test_a_silent_node_of_the_own_domain_counts_as_heard_for_as_long_as_others():
    for domain, heard in (("zone-a", False), ("zone-b", True)):
        state, task = _task()
        state.peers.put(Peer("n2", domain, "127.0.0.1:1", 1))
        state.peers.put(Peer("n3", domain, "127.0.0.1:1", 1))
        _receive(task, [[], *REST, 24_000])
        state.clock.advance(6.0)
        state.record_peer_retries("n3", {})
        assert state._hears("n2", state.clock.monotonic()) is heard


def test_a_reordered_or_repeated_update_changes_nothing():
    state, task = _task()
    _receive(task, [[], *REST], 2)
    _receive(task, [[ASSIGNMENT], *REST], 1)
    _receive(task, [[ASSIGNMENT], *REST], 2)
    assert _running(state) == {}


def load_tests(loader, tests, pattern):
    return collect(globals())

"""Peer updates of older and newer builds: what one can't read costs nothing else."""

import random
import types

import attrs
import msgspec

from tanagerkeel import codec
from tanagerkeel.clock import ManualClock
from tanagerkeel.gateways.frames import Frame, KeyRing, sign_frame
from tanagerkeel.quarantine import QuarantineEntry
from tanagerkeel.queueing import BacklogReport
from tanagerkeel.relay import (
    Assignment,
    SectionReport,
    SendReport,
    SlowReport,
    StartReport,
)
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
# What waits at the sender, and what it measured, at the end of an update.
BACKLOG = ("llm", 0, 2, 400, 900)
SLOW = ("i-1", 1, 300, 2, 100)


@attrs.define
class _OlderAssignment:
    """The layout of commit a20868e, which builds before the lists above read."""

    backend_id: str
    prompt_tokens: int
    answer_tokens: int
    gap_objective_ms: int
    sent_ms: int
    first_ms: int
    end_ms: int
    first_event_seen: bool
    full_prompt_tokens: int
    due_ms: int


@attrs.frozen
class _OlderUpdate:
    assignments: tuple[_OlderAssignment, ...]
    suspects: tuple[QuarantineEntry, ...] = ()
    retries: dict[str, int] = attrs.field(factory=dict)
    gone: tuple[str, ...] = ()
    started_sections: tuple[StartReport, ...] = ()
    section_reports: tuple[SectionReport, ...] = ()
    limited_sends: tuple[SendReport, ...] = ()
    unreachable_services: tuple[str, ...] = ()
    valid_ms: int = 5_000


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


def _enabled(domain="zone-a"):
    state, task = _task()
    state.peers.put(Peer("n2", domain, "127.0.0.1:1", 1))
    state.fleet_beliefs.enabled = state.fleet_beliefs.shares_slow = True
    return state, task


def _work(rank=0, count=2):
    return types.SimpleNamespace(rank=rank, count=count, work_ms=400, oldest_due_s=9.0)


def _known(state):
    """Return the peers with a backlog, and those that reported slow servers."""
    beliefs, now = state.fleet_beliefs, state.clock.monotonic()
    waiting = [node for node, _ in beliefs.backlogs.waiting("llm", now)]
    return waiting, list(beliefs.slow._reported)


def test_an_update_of_an_older_build_is_read_whole_and_says_that_nothing_waits():
    state, task = _enabled()
    _receive(task, [[ASSIGNMENT], *REST, 5_000, [BACKLOG], [SLOW]], 1)
    assert _known(state) == (["n2"], ["n2"])
    _receive(task, [[ASSIGNMENT], *REST, 5_000], 2)
    assert _running(state) == {"i-1": 1}
    assert _known(state) == ([], [])


def test_an_older_build_reads_an_update_with_queueing_whole():
    state, task = _enabled()
    state.fleet_beliefs.own_backlog = lambda now: {"llm": (_work(),)}
    for _ in range(2):
        state.fleet_beliefs.record_ratio(("i-1", 1), 3.0, state.clock.monotonic())
    payload = codec.pack_compact(_made_update(state, task))
    older, left_out = codec.unpack_compact_leniently(payload, _OlderUpdate)
    assert left_out == ()
    assert older.assignments[0].backend_id == "i-1"
    assert older.retries == {}
    assert older.valid_ms == 5_000
    # A build with further fields is read by this one in the same way.
    fields = [*msgspec.msgpack.decode(payload), "new", [7]]
    _receive(task, fields)
    assert _running(state) == {"i-1": 2}
    assert _known(state) == (["n2"], ["n2"])


def _made_update(state, task):
    now = state.clock.monotonic()
    state.assignments.add(Assignment("i-1", 5_000, 300, 250, now, now + 1, now + 2))
    # Without a socket, a node makes no update.
    task._datagrams = object()
    return task._make_update()


def test_the_bytes_of_an_update_without_queueing_are_those_of_an_older_build():
    for enabled in (False, True):
        state, task = _enabled()
        state.fleet_beliefs.enabled = state.fleet_beliefs.shares_slow = enabled
        if not enabled:
            state.fleet_beliefs.own_backlog = lambda now: {"llm": (_work(),)}
            state.fleet_beliefs.record_ratio(("i-1", 1), 3.0, 0.0)
        update = _made_update(state, task)
        older = _OlderUpdate((_OlderAssignment(*attrs.astuple(update.assignments[0])),))
        assert codec.pack_compact(update) == codec.pack_compact(older)


def test_what_peers_report_is_ignored_unless_it_is_switched_on():
    state, task = _enabled()
    state.fleet_beliefs.shares_slow = False
    _receive(task, [[ASSIGNMENT], *REST, 5_000, [BACKLOG], [SLOW]], 1)
    assert _known(state) == (["n2"], [])
    state, task = _enabled()
    state.fleet_beliefs.enabled = False
    _receive(task, [[ASSIGNMENT], *REST, 5_000, [BACKLOG], [SLOW]], 1)
    assert _known(state) == ([], ["n2"])
    state, task = _enabled()
    state.fleet_beliefs.enabled = state.fleet_beliefs.shares_slow = False
    _receive(task, [[ASSIGNMENT], *REST, 5_000, [BACKLOG], [SLOW]])
    assert _known(state) == ([], [])


def test_a_backlog_that_takes_no_place_here_is_ignored():
    # Of another failure domain; and of a service that the peer can't reach itself.
    state, task = _enabled("zone-b")
    _receive(task, [[ASSIGNMENT], *REST, 5_000, [BACKLOG], [SLOW]])
    assert _known(state) == ([], ["n2"])
    state, task = _enabled()
    _receive(task, [[], *REST[:6], ["llm"], 5_000, [BACKLOG]])
    assert _known(state) == ([], [])


def test_a_reordered_update_does_not_bring_back_a_backlog():
    state, task = _enabled()
    _receive(task, [[], *REST, 5_000], 2)
    _receive(task, [[], *REST, 5_000, [BACKLOG], [SLOW]], 1)
    assert _known(state) == ([], [])


def test_unreadable_reports_cost_only_themselves():
    state, task = _enabled()
    bad = [("llm",), ("llm", "0", 2, 400, 900), 7]
    _receive(task, [[ASSIGNMENT], *REST, 5_000, [*bad, BACKLOG], [*bad, SLOW]])
    assert _running(state) == {"i-1": 1}
    assert _known(state) == (["n2"], ["n2"])


def test_a_peer_that_is_gone_leaves_no_report():
    state, task = _enabled()
    _receive(task, [[ASSIGNMENT], *REST, 5_000, [BACKLOG], [SLOW]])
    state.fleet_beliefs.remove_peer("n2")
    assert _known(state) == ([], [])


def test_only_a_rank_that_begins_or_ends_is_news_and_an_end_is_repeated_soon():
    state, _ = _enabled()
    beliefs = state.fleet_beliefs
    sent = []
    for works in ((), (_work(1),), (_work(1, 5),), (_work(0), _work(1)), (_work(1),)):
        beliefs.own_backlog = lambda now, works=works: {"llm": works}
        news = beliefs.backlog_is_news(0.0)
        if news:
            beliefs.take_backlogs(0.0)
        sent.append((news, beliefs.has_backlog, beliefs.repeat_soon))
    assert sent == [
        (False, False, False),
        (True, True, False),
        (False, True, False),
        (True, True, False),
        (True, True, True),
    ]
    beliefs.take_backlogs(0.5)
    assert not beliefs.repeat_soon


def test_reports_have_the_fields_that_older_builds_of_them_read():
    assert attrs.astuple(BacklogReport(*BACKLOG)) == BACKLOG
    assert attrs.astuple(SlowReport(*SLOW)) == SLOW


def load_tests(loader, tests, pattern):
    return collect(globals())

"""When a node sends updates about what waits, and to whom."""

import asyncio
import random
import types

from tanagerkeel import codec
from tanagerkeel.clock import SystemClock
from tanagerkeel.gateways.frames import KeyRing, verify_frame
from tanagerkeel.relay import SMALL_FLEET_NODES
from tanagerkeel.relay_entry import RelayBounds, RelaySettings
from tanagerkeel.relay_entry._peer_update_task import (
    PROGRESS_DELAY_S,
    START_DELAY_S,
    PeerUpdateTask,
    _QueueingUpdate,
)
from tanagerkeel.relay_entry._peers import Peer
from tanagerkeel.relay_entry._state import RelayState
from tests.support import collect

KEYS = KeyRing({1: b"k" * 32}, 1)
# Delay of a timer of the event loop on a busy machine, in seconds.
TIMER_S = 0.2


class _Sent:
    """Records the updates that a node sends, instead of a socket."""

    def __init__(self):
        self.updates = []

    def send(self, data, address):
        frame = verify_frame(data, "*", KEYS)
        update = codec.unpack_compact(frame.payload, _QueueingUpdate)
        self.updates.append((address[1], [b.rank for b in update.backlogs]))

    def take(self):
        updates, self.updates = self.updates, []
        return updates


def _node(others):
    settings = RelaySettings("n0", "zone-a", *["127.0.0.1:0"] * 6, bounds=RelayBounds())
    state = RelayState(settings, SystemClock())
    for number in range(1, others + 1):
        domain = "zone-a" if number <= others // 2 else "zone-b"
        state.peers.put(Peer(f"n{number}", domain, f"127.0.0.1:{number}", 1))
    task = PeerUpdateTask(state, types.SimpleNamespace(keys=KEYS), random.Random(1))
    task._datagrams = _Sent()
    state.fleet_beliefs.enabled = True
    return state, task


def _wait_at(state, *ranks):
    works = tuple(
        types.SimpleNamespace(rank=rank, count=1, work_ms=100, oldest_due_s=9.0)
        for rank in ranks
    )
    state.fleet_beliefs.own_backlog = lambda now: {"llm": works}


async def test_a_backlog_is_reported_at_once_to_the_own_domain_and_its_end_twice():
    state, task = _node(2 * SMALL_FLEET_NODES)
    near = range(1, SMALL_FLEET_NODES + 1)
    try:
        _wait_at(state, 2)
        task.notify_backlog_changed()
        await asyncio.sleep(START_DELAY_S + TIMER_S)
        assert task._datagrams.take() == [(port, [2]) for port in near]
        # Another request of the same rank is told with the next update.
        task.notify_backlog_changed()
        await asyncio.sleep(START_DELAY_S + TIMER_S)
        assert task._datagrams.take() == []
        _wait_at(state)
        task.notify_backlog_changed()
        await asyncio.sleep(START_DELAY_S + TIMER_S)
        assert task._datagrams.take() == [(port, []) for port in near]
        await asyncio.sleep(PROGRESS_DELAY_S + TIMER_S)
        assert task._datagrams.take() == [(port, []) for port in near]
    finally:
        task._cancel_timers()


async def test_a_backlog_goes_along_with_what_is_sent_to_all():
    state, task = _node(4)
    try:
        _wait_at(state, 0, 3)
        task.notify_all_peers()
        await asyncio.sleep(START_DELAY_S + TIMER_S)
        assert task._datagrams.take() == [(port, [0, 3]) for port in range(1, 5)]
        task.notify_backlog_changed()
        await asyncio.sleep(START_DELAY_S + TIMER_S)
        assert task._datagrams.take() == []
    finally:
        task._cancel_timers()


async def test_nothing_is_sent_while_it_is_switched_off():
    state, task = _node(4)
    state.fleet_beliefs.enabled = False
    _wait_at(state, 0)
    task.notify_backlog_changed()
    await asyncio.sleep(START_DELAY_S + TIMER_S)
    assert task._datagrams.take() == []


def load_tests(loader, tests, pattern):
    return collect(globals())

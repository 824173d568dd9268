"""
An entry of the store that can't be read costs nothing but itself.

Covers the rule CONFIG: whatever another writer leaves in the store, nodes take all
other changes, at their start and while they run.
"""

import asyncio
import json
import random
import unittest.mock

import attrs
import eliot
from hypothesis import given, settings
from hypothesis import strategies as st

from panunumpa import PlatformStoreDecoder
from tanagerkeel import codec
from tanagerkeel.clock import ManualClock
from tanagerkeel.gateways.platform import Changes, Listing, StoreEntry
from tanagerkeel.relay_entry import RelayBounds, RelaySettings
from tanagerkeel.relay_entry._peers import NODE_KEY_PREFIX, Peer
from tanagerkeel.relay_entry._state import RelayState
from tanagerkeel.relay_entry._store_task import StoreTask
from tanagerkeel.relay_entry._watcher_exchange import WatcherExchange
from tests.platform.fixtures import (
    ANY_PORT,
    configuration,
    respond_with_id,
    running_relay,
)
from tests.support import collect

SERVER = {
    "service": "models",
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "slots": 8,
    "state": "ready",
    "born": 5,
    "coldRemainingMs": 0,
}
PEER = json.loads(codec.encode(Peer("n9", "zone-a", ANY_PORT, 1)))
# A sound entry of each kind that nodes decode.
ENTRIES = {
    "servers/i-bad": SERVER,
    "op/config": configuration(7),
    "op/evacuate/zone-z": {},
    f"{NODE_KEY_PREFIX}n9": PEER,
}
NESTED = "[" * 1_200
# Values that JSON text may hold in place of any other.
RAW_VALUES = (
    NESTED,
    NESTED + "]" * 1_200,
    "[" * 900 + "]" * 900,
    '{"a":' * 1_200,
    "1" + "0" * 400,
    "-1",
    "1e400",
    "-1e400",
    "1e308",
    "NaN",
    "null",
    "true",
    '""',
    '"\\ud800"',
    '"10.0.0.1:99999"',
    '"10.0.0.1:\\u00b2"',
    '"a\\r\\nB: c:80"',
    '"' + "x" * 100_000 + '"',
    "[]",
    "{}",
    "[[]]",
    '[{"service": 1}]',
)
UNUSABLE_ADDRESSES = (
    "nowhere",
    "10.0.0.1",
    "10.0.0.1:x",
    "10.0.0.1:99999",
    "10.0.0.1:-1",
    ":80",
    "a host:80",
    "10.0.0.1\r\nA: b:80",
)


@attrs.define
class _Store:
    """A store with one listing and, for the next watch, one answer."""

    entries: list[StoreEntry]
    events: tuple = ()
    revision: int = 20
    era: int = 1

    def add_era_listener(self, on_new_era) -> None:
        pass

    async def list_all(self, prefix: str) -> Listing:
        return Listing(tuple(self.entries), self.revision, self.era)

    async def changes(self, prefix: str, after: int, wait_ms: int) -> Changes:
        self.revision += 10
        return Changes(self.events, self.revision, self.era)


class _NoDatagrams:
    def register_handler(self, kind, handler) -> None:
        pass

    def send_to(self, peer, kind, message) -> bool:
        return False


def _task(store: _Store, clock: ManualClock) -> StoreTask:
    node_settings = RelaySettings("n1", "zone-a", *[ANY_PORT] * 6, bounds=RelayBounds())
    state = RelayState(node_settings, clock)
    exchange = WatcherExchange(state, _NoDatagrams())
    return StoreTask(store, PlatformStoreDecoder(), state, random.Random(1), exchange)


def _sound_entry(name: str, revision: int) -> StoreEntry:
    return StoreEntry(f"servers/{name}", json.dumps(SERVER).encode(), revision)


async def _check(key: str, value: bytes) -> None:
    """Check that an entry costs only itself, in a listing and in a change."""
    store = _Store([StoreEntry(key, value, 11), _sound_entry("i-1", 12)])
    task = _task(store, ManualClock())
    await task.call_store(0)
    backends = task._state.backends
    assert backends.get("i-1") is not None
    store.events = (StoreEntry(key, value, 25), _sound_entry("i-2", 26), key)
    await task.call_store(0)
    assert backends.get("i-2") is not None
    # Whoever decides about new work meets no value that it can't compute with.
    now = task._state.clock.monotonic()
    for record in backends.usable("models", now + 1.0):
        host, _, port = record.server.address.rpartition(":")
        assert 0 < int(port) < 65_536 and host.isprintable()
        assert record.server.slots * 1.0 < float("inf")
        record.is_cold(now)


async def test_one_deeply_nested_entry_stops_no_change_of_the_store():
    # Review case 3: 1,200 nested lists ended the store task of all nodes for good.
    for key in ENTRIES:
        for value in RAW_VALUES:
            await _check(key, value.encode())


async def test_no_value_of_any_field_ends_the_task():
    for key, entry in ENTRIES.items():
        text = json.dumps(entry)
        for name in entry:
            for value in RAW_VALUES:
                changed = json.dumps({**entry, name: "REPLACED"})
                await _check(key, changed.replace('"REPLACED"', value).encode())
                # The same field twice.
                await _check(key, f'{text[:-1]},"{name}":{value}}}'.encode())


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.sampled_from(list(ENTRIES)), st.data())
def test_no_bytes_end_the_task(key, data):
    value = bytearray(json.dumps(ENTRIES[key]).encode())
    for _ in range(data.draw(st.integers(1, 6))):
        position = data.draw(st.integers(0, len(value)))
        removed = data.draw(st.integers(0, 8))
        value[position : position + removed] = data.draw(st.binary(max_size=8))
    asyncio.run(_check(key, bytes(value)))


async def test_an_entry_that_can_not_be_applied_is_set_aside_as_well():
    store = _Store([_sound_entry("i-0", 11), _sound_entry("i-1", 12)])
    task = _task(store, ManualClock())
    apply = RelayState.apply

    def apply_one(state, update, revision, source):
        if revision == 11:
            raise ZeroDivisionError
        apply(state, update, revision, source)

    with unittest.mock.patch.object(RelayState, "apply", apply_one):
        await task.call_store(0)
    assert task._state.backends.get("i-1") is not None


async def test_a_node_entry_without_a_usable_address_ends_no_task():
    # One entry of another writer ended the tasks that send to peers, on all nodes.
    events = []
    async with running_relay(respond_with_id, node_count=2) as relay:
        eliot.add_destinations(events.append)
        try:
            for number, address in enumerate(UNUSABLE_ADDRESSES):
                for field in ("news_address", "forward_address"):
                    name = f"n9-{number}-{field}"
                    entry = {**PEER, "node_id": name, field: address}
                    relay.store.write(f"{NODE_KEY_PREFIX}{name}", entry)
            # Longer than the interval between two updates to peers.
            await asyncio.sleep(2.5)
            relay.store.write("op/config", configuration(9))
            await relay.until(
                lambda: all(n.state.configuration.version == 9 for n in relay.nodes)
            )
        finally:
            eliot.remove_destination(events.append)
        assert all(len(node.state.peers.others) == 1 for node in relay.nodes)
    assert not [e for e in events if e.get("message_type") == "task_failed"]


async def test_a_node_entry_under_the_key_of_another_node_is_set_aside():
    # Otherwise one entry takes a living node's address from all its peers.
    store = _Store([])
    task = _task(store, ManualClock())
    await task.call_store(0)
    sound = json.dumps(PEER).encode()
    other = json.dumps({**PEER, "news_address": "127.0.0.1:9"}).encode()
    store.events = (
        StoreEntry(f"{NODE_KEY_PREFIX}n9", sound, 25),
        StoreEntry(f"{NODE_KEY_PREFIX}n8", other, 26),
    )
    await task.call_store(0)
    assert task._state.peers.get("n9").news_address == ANY_PORT


async def test_rejected_entries_are_logged_by_number_and_at_most_once_a_second():
    clock = ManualClock()
    store = _Store([])
    task = _task(store, clock)
    await task.call_store(0)
    long_value = json.dumps({**SERVER, "slots": "x" * 100_000}).encode()
    events = []
    eliot.add_destinations(events.append)
    try:
        for second in range(3):
            store.events = tuple(
                StoreEntry("servers/i-noisy", long_value, 100 + second)
                for _ in range(500)
            )
            await task.call_store(0)
            clock.advance(1.0)
    finally:
        eliot.remove_destination(events.append)
    lines = [e for e in events if e.get("key") == "servers/i-noisy"]
    assert {line["message_type"] for line in lines} == {"store_entry_rejected"}
    left_out = [line["left_out"] for line in lines]
    assert left_out == [0, 499, 499], left_out
    assert all(len(json.dumps(line)) < 1_000 for line in lines)


def load_tests(loader, tests, pattern):
    return collect(globals())

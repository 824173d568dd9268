"""Messages between nodes: signed, delivered at most once, limited in size."""

import asyncio
import contextlib
import itertools
import random

import attrs
import prometheus_client
import pynng

from tanagerkeel import codec
from tanagerkeel.clock import SystemClock
from tanagerkeel.gateways.frames import Frame, sign_frame, verify_frame
from tanagerkeel.gateways.peers import (
    FrameRejected,
    KeyRing,
    NngPeerBus,
    PeerCounters,
    PeerUnreachable,
    peer_message,
)
from tanagerkeel.gateways.replay import ReplayWindows
from tests.fixtures import until
from tests.support import collect

OLD = KeyRing({1: b"old"}, 1)
BOTH_OLD_SIGNS = KeyRing({1: b"old", 2: b"new"}, 1)
BOTH_NEW_SIGNS = KeyRing({1: b"old", 2: b"new"}, 2)
NEW = KeyRing({2: b"new"}, 2)


# Buses that are stopped in turn, each with this many messages under way.
STOPPED_BUSES = 30
MESSAGES_WHILE_STOPPING = 200


@peer_message(19)
@attrs.frozen
class Note:
    number: int
    text: str = ""


def _counters():
    registry = prometheus_client.CollectorRegistry()
    by_kind = ("direction", "kind")
    return PeerCounters(
        prometheus_client.Counter("b", "b", by_kind, registry=registry),
        prometheus_client.Counter("m", "m", by_kind, registry=registry),
        prometheus_client.Counter("d", "d", ("reason",), registry=registry),
    )


def _dropped(bus, reason):
    return bus._counters.dropped.labels(reason)._value.get()


@contextlib.asynccontextmanager
async def _bus(keys=OLD, listen="127.0.0.1:0", seed=1):
    bus = NngPeerBus(keys, SystemClock(), random.Random(seed), _counters())
    await bus.start(listen)
    queue = asyncio.Queue(8)
    bus.subscribe(Note, queue)
    try:
        yield bus, queue
    finally:
        await bus.stop()


async def test_send_call_and_reply():
    async with _bus(seed=1) as (one, _), _bus(seed=2) as (two, inbox):
        await one.send(two.address, Note(1))
        received = await asyncio.wait_for(inbox.get(), 5)
        assert (received.sender, received.message) == (one.address, Note(1))

        async def answer():
            asked = await inbox.get()
            await two.reply(asked, Note(asked.message.number + 1))

        answering = asyncio.create_task(answer())
        assert await one.call(two.address, Note(2), Note, 5) == Note(3)
        await answering


async def test_call_without_an_answer_fails():
    async with _bus() as (one, _):
        with contextlib.suppress(PeerUnreachable):
            await one.call("127.0.0.1:1", Note(1), Note, 0.05)
            raise AssertionError("a call to an address without a node was answered")
        assert not one._calls


async def test_restarted_node_drops_frames_of_its_earlier_session():
    async with _bus(seed=1) as (one, _):
        async with _bus(seed=2) as (two, inbox):
            address = two.address
            await one.send(address, Note(1))
            await asyncio.wait_for(inbox.get(), 5)
            frame = Frame(one.address, one._session, two._session, 9, 19, 0, b"")
            recorded = sign_frame(
                attrs.evolve(frame, payload=codec.pack_compact(Note(7))), address, OLD
            )
        async with _bus(listen=address, seed=3) as (restarted, inbox):
            restarted._handle_frame(recorded)
            assert inbox.empty()
            assert _dropped(restarted, "old") == 1
            # Once the sender knows the new session, messages arrive again.
            await until(lambda: one._peers[address].session == restarted._session)
            await one.send(address, Note(2))
            assert (await asyncio.wait_for(inbox.get(), 5)).message == Note(2)


async def test_replay_is_dropped():
    async with _bus() as (bus, inbox):
        frame = Frame("127.0.0.1:9", 5, bus._session, 1, 19, 0, b"")
        frame = attrs.evolve(frame, payload=codec.pack_compact(Note(1)))
        data = sign_frame(frame, bus.address, OLD)
        bus._handle_frame(data)
        try:
            bus._handle_frame(data)
            raise AssertionError("a replayed frame was accepted")
        except FrameRejected as error:
            assert error.reason == "replayed"
        assert inbox.qsize() == 1


async def test_hostile_input_is_counted_and_dropped():
    async with _bus(NEW) as (bus, inbox):
        with pynng.Push0() as raw:
            raw.dial(f"tcp://{bus.address}")
            frame = Frame("127.0.0.1:9", 5, bus._session, 1, 19, 0, b"\xc1")
            await raw.asend(b"")
            await raw.asend(b"\0" * 40)
            await raw.asend(sign_frame(frame, bus.address, OLD))
            forged = sign_frame(frame, bus.address, KeyRing({2: b"guess"}, 2))
            await raw.asend(forged)
            # Signed for another receiver, so the signature doesn't hold here.
            await raw.asend(sign_frame(frame, "127.0.0.1:1", NEW))
            await raw.asend(sign_frame(frame, bus.address, NEW))
            unknown = attrs.evolve(frame, kind=18, sequence=2)
            await raw.asend(sign_frame(unknown, bus.address, NEW))
            await raw.asend(b"x" * 2_000_001)
            await until(lambda: _dropped(bus, "oversized") == 1)
        assert _dropped(bus, "malformed") == 2
        assert _dropped(bus, "unknown_key") == 2
        assert _dropped(bus, "unsigned") == 2
        assert _dropped(bus, "unknown_kind") == 1
        assert inbox.empty()


async def test_full_queue_drops_and_counts():
    async with _bus(seed=1) as (one, _), _bus(seed=2) as (two, inbox):
        for number in range(12):
            await one.send(two.address, Note(number))
        await until(lambda: _dropped(two, "queue_full") == 4)
        assert inbox.qsize() == 8


async def test_bus_stops_while_messages_arrive():
    # A message that arrived as the bus stopped ended the wait for one instead of the
    # cancellation, and stop() waited forever.
    async with _bus(seed=2) as (sender, _):
        for _ in range(STOPPED_BUSES):
            receiver = NngPeerBus(OLD, SystemClock(), random.Random(3), _counters())
            queue = asyncio.Queue(1)
            receiver.subscribe(Note, queue)
            await receiver.start("127.0.0.1:0")
            for number in range(MESSAGES_WHILE_STOPPING):
                await sender.send(receiver.address, Note(number))
            await queue.get()
            async with asyncio.timeout(5.0):
                await receiver.stop()


async def test_key_rotation_loses_no_message():
    rings = (OLD, BOTH_OLD_SIGNS, BOTH_NEW_SIGNS, NEW)
    for sender, receiver in itertools.pairwise(rings):
        for left, right in ((sender, receiver), (receiver, sender)):
            async with _bus(left, seed=1) as (one, _), _bus(right, seed=2) as pair:
                two, inbox = pair
                await one.send(two.address, Note(1))
                assert (await asyncio.wait_for(inbox.get(), 5)).message == Note(1)


def test_replay_window_agrees_with_a_set_of_all_sequence_numbers():
    numbers = random.Random(5)
    windows = ReplayWindows()
    seen = set()
    highest = 0
    for _ in range(5_000):
        number = max(1, highest + numbers.randint(-1_200, 30))
        expected = number not in seen and highest - number < 1_024
        assert windows.check_and_record("a", 1, number) is expected
        seen.add(number)
        highest = max(highest, number)


def test_frame_with_a_flipped_bit_is_rejected():
    frame = Frame("127.0.0.1:9", 5, 6, 7, 19, 0, b"payload")
    data = sign_frame(frame, "127.0.0.1:1", OLD)
    assert verify_frame(data, "127.0.0.1:1", OLD) == frame
    for bit in range(len(data) * 8):
        flipped = bytearray(data)
        flipped[bit // 8] ^= 1 << bit % 8
        try:
            verify_frame(bytes(flipped), "127.0.0.1:1", OLD)
            raise AssertionError(f"frame was accepted with bit {bit} flipped")
        except FrameRejected:
            pass


def load_tests(loader, tests, pattern):
    return collect(globals())

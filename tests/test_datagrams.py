"""Datagrams that are read in batches."""

import asyncio
import contextlib
from unittest import mock

from tanagerkeel.gateways.datagrams import MAX_BATCH, BatchedDatagrams
from tanagerkeel.relay import read_interval_s
from tests.support import collect

HOST = "127.0.0.1"


@contextlib.contextmanager
def _receiving(interval_s):
    """Yield an address, what arrives there, and a sender."""
    received = []
    receiver = BatchedDatagrams(
        lambda data, _: received.append(data), lambda: interval_s
    )
    sender = BatchedDatagrams(lambda *_: None, lambda: 0.0)
    receiver.bind(HOST, 0)
    sender.bind(HOST, 0)
    address = receiver._socket.getsockname()
    try:
        yield received, lambda data: sender.send(data, address)
    finally:
        receiver.close()
        sender.close()


async def _until(condition):
    async with asyncio.timeout(2):
        while not condition():
            await asyncio.sleep(0.002)


async def test_each_of_many_datagrams_wakes_the_node():
    loop = asyncio.get_running_loop()
    for interval_s in (0.05, 0.0):
        with _receiving(interval_s) as (received, send):
            with mock.patch.object(
                BatchedDatagrams,
                "_read",
                autospec=True,
                side_effect=BatchedDatagrams._read,
            ) as reads:
                began_s = loop.time()
                for number in range(50):
                    send(b"%d" % number)
                    await asyncio.sleep(0.004)
                await _until(lambda: len(received) == 50)
                took_s = loop.time() - began_s
            assert received == [b"%d" % n for n in range(50)]
            if interval_s:
                assert reads.call_count <= took_s / interval_s + 3
                assert reads.call_count < 50 / 2


async def test_a_datagram_after_a_pause_is_read_at_once():
    with _receiving(0.5) as (received, send):
        send(b"first")
        async with asyncio.timeout(0.3):
            await _until(lambda: received == [b"first"])


async def test_more_than_one_batch_is_read():
    with _receiving(0.01) as (received, send):
        for _ in range(MAX_BATCH + 20):
            send(b"x")
        await _until(lambda: len(received) == MAX_BATCH + 20)


async def test_sends_to_closed_ports_and_after_the_end_are_dropped():
    with _receiving(0.0) as (received, send):
        other = BatchedDatagrams(lambda *_: None, lambda: 0.0)
        other.bind(HOST, 0)
        closed = other._socket.getsockname()
        other.close()
        other.send(b"x", closed)
        sender = BatchedDatagrams(lambda *_: None, lambda: 0.0)
        sender.bind(HOST, 0)
        for _ in range(3):
            sender.send(b"x", closed)
            await asyncio.sleep(0.01)
        sender.close()
        send(b"x")
        await _until(lambda: received == [b"x"])


async def test_datagrams_to_the_last_peers_are_dropped_when_the_buffer_is_full():
    with _receiving(0.0) as (received, send):
        refused = []

        def full_at_first(datagrams, data, address):
            if len(refused) < 3:
                refused.append(data)
                return False
            return send_now(datagrams, data, address)

        send_now = BatchedDatagrams._send_now
        with mock.patch.object(BatchedDatagrams, "_send_now", full_at_first):
            for number in range(20):
                send(b"%d" % number)
            await _until(lambda: len(received) == 20)
        assert received == [b"%d" % n for n in range(20)]


def test_small_and_rate_limited_fleets_read_each_datagram_when_it_arrives():
    for nodes in (1, 6, 16):
        assert read_interval_s(nodes, False) == 0
    for nodes in (22, 65, 195, 370):
        assert read_interval_s(nodes, True) == 0
        assert 0 < read_interval_s(nodes, False) <= 0.03


def load_tests(loader, tests, pattern):
    return collect(globals())

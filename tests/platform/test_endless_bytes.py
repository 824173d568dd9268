"""
Bytes without end instead of an answer, in a head or in a body.

The node closes the connection after a bounded number of bytes, keeps its memory flat,
and tells the caller truthfully whether the request may have run.
"""

import asyncio
import contextlib
import itertools
import time
import tracemalloc
from collections.abc import AsyncIterator, Callable, Iterable, Iterator

import aiohttp
import attrs

from panunumpa import PlatformBackendCodec, PlatformStore
from tanagerkeel.clock import SystemClock
from tanagerkeel.gateways.exchange import ConnectionPool
from tanagerkeel.gateways.http_client import WholeResponse
from tanagerkeel.gateways.platform import PlatformUnavailable
from tanagerkeel.relay import BackendServer
from tanagerkeel.relay_entry._reservations import Reservation, Reservations
from tests.platform.fixtures import (
    CHUNKED_HEADERS,
    EVENT_STREAM_HEADERS,
    Engine,
    ReceivedRequest,
    configuration,
    response_head,
    route,
    running_relay,
)
from tests.support import collect

BLOCK = b"x" * 65_536
# What may be sent before the connection is closed: the limit of a buffered answer, and
# the buffers of both ends of a loopback connection.
MAX_SENT_BYTES = 16 * 1_048_576
MAX_MEMORY_BYTES = 16 * 1_048_576
# The same for the store, whose answers may be larger: its limit, once in parts and once
# as a whole.
MAX_STORE_BYTES = 2 * 32 * 1_048_576 + MAX_SENT_BYTES
# An unlimited reader would take far more in this time, in seconds.
MAX_SECONDS = 3.0
# Longer than ``MAX_SECONDS``, so that it is not the deadline that ends a request.
DEADLINE_MS = 4_000
LONG_DEADLINES = configuration(
    routes=[
        route("reserve", "unsafe", "booking", maxAttempts=1, timeoutMs=DEADLINE_MS),
        route("chat", "stream", "models", targetGapMs=250, timeoutMs=DEADLINE_MS),
    ]
)
CHAT = ("Tanagerkeel-Model: m", "Tanagerkeel-Token-Count: 1000,430")


def head(request: ReceivedRequest, *extra: str, status: int = 200) -> bytes:
    return response_head(request, status, extra=extra)


def endless_header(request: ReceivedRequest) -> Iterable[bytes]:
    return itertools.chain([head(request)[:-2], b"X-Long: "], itertools.repeat(BLOCK))


def endless_headers(request: ReceivedRequest) -> Iterable[bytes]:
    lines = (b"X-%d: 1\r\n" % n for n in itertools.count())
    return itertools.chain([head(request)[:-2]], map(_join, _batches(lines)))


def endless_status_line(request: ReceivedRequest) -> Iterable[bytes]:
    return itertools.chain([b"HTTP/1.1 200 "], itertools.repeat(BLOCK))


def endless_interim_responses(request: ReceivedRequest) -> Iterable[bytes]:
    return itertools.repeat(b"HTTP/1.1 102 Processing\r\n\r\n" * 1_000)


def endless_chunk_extension(request: ReceivedRequest) -> Iterable[bytes]:
    return itertools.chain(
        [head(request, *CHUNKED_HEADERS), b"5;name="], itertools.repeat(BLOCK)
    )


def endless_trailers(request: ReceivedRequest) -> Iterable[bytes]:
    lines = (b"X-%d: 1\r\n" % n for n in itertools.count())
    start = [head(request, *CHUNKED_HEADERS), b"0\r\n"]
    return itertools.chain(start, map(_join, _batches(lines)))


def endless_event(request: ReceivedRequest) -> Iterable[bytes]:
    start = [head(request, *EVENT_STREAM_HEADERS), b"id: 1\ndata: "]
    return itertools.chain(start, itertools.repeat(BLOCK))


def endless_body(request: ReceivedRequest) -> Iterable[bytes]:
    return itertools.chain([head(request)], itertools.repeat(BLOCK))


def endless_refusal(request: ReceivedRequest) -> Iterable[bytes]:
    start = [head(request, "Tanagerkeel-Not-Executed: 1", status=503)]
    return itertools.chain(start, itertools.repeat(BLOCK))


def no_http(request: ReceivedRequest) -> Iterable[bytes]:
    return itertools.repeat(BLOCK)


def _batches(lines: Iterator[bytes]) -> Iterator[list[bytes]]:
    while True:
        yield list(itertools.islice(lines, 1_000))


def _join(lines: list[bytes]) -> bytes:
    return b"".join(lines)


STREAMS = (endless_event, endless_chunk_extension, endless_trailers)
PLAIN = (
    no_http,
    endless_status_line,
    endless_header,
    endless_headers,
    endless_interim_responses,
    endless_body,
    endless_refusal,
)


@attrs.define
class EndlessSource:
    """
    Scripts an engine that sends blocks until its connection is closed.

    :param blocks: returns the blocks that answer a request.
    :param sent_bytes: bytes that were sent on each connection.
    :param closed: number of connections that the other end closed.
    """

    blocks: Callable[[ReceivedRequest], Iterable[bytes]]
    sent_bytes: list[int] = attrs.field(factory=list)
    closed: int = 0

    async def script(
        self, engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.sent_bytes.append(0)
        begin = time.monotonic()
        try:
            for block in self.blocks(request):
                writer.write(block)
                await writer.drain()
                self.sent_bytes[-1] += len(block)
                if (
                    self.sent_bytes[-1] > 4 * MAX_SENT_BYTES
                    or time.monotonic() > begin + 2 * MAX_SECONDS
                ):
                    return
        except ConnectionError:
            self.closed += 1
            raise


async def _check(blocks, target: str, headers: tuple[str, ...]) -> None:
    source = EndlessSource(blocks)
    async with running_relay(
        source.script,
        service="models" if headers else "booking",
        document=LONG_DEADLINES,
    ) as relay:
        tracemalloc.start()
        try:
            begin = time.monotonic()
            reply = await relay.call(
                target,
                method="POST",
                body=b"p",
                headers=headers,
                deadline_ms=DEADLINE_MS,
            )
            took_s = time.monotonic() - begin
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        await relay.until(lambda: source.closed == len(source.sent_bytes))
        name = blocks.__name__
        assert took_s < MAX_SECONDS, (name, took_s)
        assert max(source.sent_bytes) < MAX_SENT_BYTES, (name, source.sent_bytes)
        assert peak_bytes < MAX_MEMORY_BYTES, (name, peak_bytes)
        # The request may have run, so no status may promise that it has not.
        assert reply.status in (0, 502) or not reply.complete, (name, reply)


async def test_an_answer_without_end_closes_the_connection_of_an_engine():
    for blocks in (*PLAIN, *STREAMS):
        await _check(blocks, "/chat/x", CHAT)


async def test_an_answer_without_end_closes_the_connection_of_a_plain_service():
    for blocks in PLAIN:
        await _check(blocks, "/reserve/x", ())


@contextlib.asynccontextmanager
async def endless_server(start: bytes) -> AsyncIterator[tuple[str, list[int]]]:
    """
    Serve connections on which ``start`` and then blocks are sent until they close.

    Yields the address and a list with the bytes that were sent on each connection.
    """
    sent_bytes: list[int] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        number = len(sent_bytes)
        sent_bytes.append(0)
        writer.write(start)
        with contextlib.suppress(ConnectionError):
            while sent_bytes[number] < 16 * MAX_SENT_BYTES:
                writer.write(BLOCK)
                await writer.drain()
                sent_bytes[number] += len(BLOCK)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}", sent_bytes
    finally:
        server.close()


async def test_an_answer_without_end_to_an_order_counts_as_refused():
    for start in (b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 200 OK\r\nX-Long: "):
        async with endless_server(start) as (address, sent_bytes):
            server = BackendServer("i-0", 1, "models", address, "zone-a", 8)
            reservations = Reservations(
                ConnectionPool(SystemClock()),
                PlatformBackendCodec(),
                lambda server, head, sent_s: False,
                lambda server, now: True,
                time.monotonic,
            )
            refused = Reservation(server, "r1.0", 1_000)
            assert await reservations.reserve_all([refused], "r1") == refused
            await reservations.drain()
            assert max(sent_bytes) < MAX_SENT_BYTES, (start, sent_bytes)


async def test_an_answer_without_end_of_the_store_closes_its_connection():
    for start in (
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff\r\n",
        b"HTTP/1.1 200 OK\r\nX-Long: ",
        b"HTTP/1.1 200 ",
        b"",
    ):
        async with contextlib.AsyncExitStack() as stack:
            address, sent_bytes = await stack.enter_async_context(endless_server(start))
            session = await stack.enter_async_context(
                aiohttp.ClientSession(response_class=WholeResponse)
            )
            tracemalloc.start()
            stack.callback(tracemalloc.stop)
            begin = time.monotonic()
            try:
                await PlatformStore(session, address).get("op/config")
            except PlatformUnavailable:
                took_s = time.monotonic() - begin
            else:
                raise AssertionError(f"the answer counts as an entry: {start}")
            _, peak_bytes = tracemalloc.get_traced_memory()
            assert took_s < MAX_SECONDS, (start, took_s)
            assert max(sent_bytes) < MAX_STORE_BYTES, (start, sent_bytes)
            assert peak_bytes < MAX_STORE_BYTES, (start, peak_bytes)


def load_tests(loader, tests, pattern):
    return collect(globals())

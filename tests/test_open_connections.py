"""New limits on what clients may send, on connections that are open already."""

import asyncio
import contextlib

import attrs

from tanagerkeel.gateways.http_protocol import HeaderPolicy
from tanagerkeel.gateways.http_server import HttpServer
from tests.support import collect

LOW, HIGH = 8_192, 16_384
KEEP_ALIVE_S = 30.0
WAIT_TIMEOUT_S = 5.0
# Longest time after a timer's end in which a connection is seen to be closed.
LATE_S = 1.0


async def _answer(scope, receive, send):
    size = 0
    more = True
    while more:
        event = await receive()
        size += len(event.get("body", b""))
        more = event.get("more_body", False)
    body = str(size).encode()
    headers = [(b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": body})


@attrs.define
class _Client:
    """A connection of a client."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def status(self) -> int:
        """Read a response and return its status; 0 if the connection was closed."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            try:
                head = await self.reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                return 0
            lines = head.decode().lower().split("\r\n")
            length = next(
                int(line.split(":")[1]) for line in lines if "content-length" in line
            )
            await self.reader.readexactly(length)
            return int(lines[0].split(" ")[1])

    async def ask(self, *parts: bytes) -> int:
        self.writer.write(b"".join(parts))
        return await self.status()

    async def closed_after_s(self) -> float:
        """Return how long it takes until the server closes the connection."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await self.reader.read()
        return loop.time() - started


@contextlib.asynccontextmanager
async def _open_connection(max_bytes=LOW, timeout_s=20.0, keep_alive_s=KEEP_ALIVE_S):
    """Run a server and yield it with one connection that has carried no request."""
    policy = HeaderPolicy(max_bytes, timeout_s=timeout_s)
    server = HttpServer(_answer, "127.0.0.1", 0, policy, keep_alive_s)
    await server.start()
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield server, _Client(reader, writer)
    finally:
        writer.close()
        await server.stop(0.0)


def _head(size: int, length: int = 0) -> bytes:
    """Return the head of a request with a header block of about this many bytes."""
    lines = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\nX-Pad: " % length
    return lines + b"x" * size + b"\r\n\r\n"


def _limit(server: HttpServer, max_bytes: int) -> None:
    server.set_limits(HeaderPolicy(max_bytes), KEEP_ALIVE_S)


async def test_open_connections_answer_no_431_within_a_raised_limit():
    # Review case 5: they answered 431 to requests within the new limit.
    async with _open_connection() as (server, client):
        assert await client.ask(_head(10)) == 200
        _limit(server, HIGH)
        assert await client.ask(_head(12_000)) == 200
        assert await client.ask(_head(HIGH)) == 431


async def test_a_connection_accepted_while_limits_change_answers_no_431():
    # It kept the old limit for good: it had been made, and wasn't among the open ones.

    @attrs.define
    class Accepting(HttpServer):
        def _create_protocol(self, **options):
            protocol = super()._create_protocol(**options)
            # Runs before the loop tells the protocol of its connection.
            _limit(self, HIGH)
            return protocol

    server = Accepting(_answer, "127.0.0.1", 0, HeaderPolicy(LOW), KEEP_ALIVE_S)
    await server.start()
    host, _, port = server.address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        assert await _Client(reader, writer).ask(_head(12_000)) == 200
    finally:
        writer.close()
        await server.stop(0.0)


async def test_open_connections_refuse_headers_over_a_lowered_limit():
    async with _open_connection(HIGH) as (server, client):
        assert await client.ask(_head(12_000)) == 200
        _limit(server, LOW)
        assert await client.ask(_head(12_000)) == 431


async def test_connections_without_a_request_so_far_have_the_new_limit():
    for before, after, status in ((LOW, HIGH, 200), (HIGH, LOW, 431)):
        async with _open_connection(before) as (server, client):
            await asyncio.sleep(0.05)
            _limit(server, after)
            assert await client.ask(_head(12_000)) == status


async def test_a_head_that_is_arriving_keeps_its_limit():
    for before, after, status in ((LOW, HIGH, 431), (HIGH, LOW, 200)):
        async with _open_connection(before) as (server, client):
            assert await client.ask(_head(10)) == 200
            head = _head(12_000)
            client.writer.write(head[:5_000])
            await asyncio.sleep(0.05)
            _limit(server, after)
            assert await client.ask(head[5_000:]) == status
            if status == 200:
                assert await client.ask(head) == 431


async def test_pipelined_requests_have_the_limit_of_when_they_begin():
    async with _open_connection() as (server, client):
        client.writer.write(_head(10) + _head(10, 4))
        assert await client.status() == 200
        _limit(server, HIGH)
        # The rest of the second request, and a third one under the new limit.
        assert await client.ask(b"body", _head(12_000)) == 200
        assert await client.status() == 200


async def test_a_body_before_a_pipelined_head_does_not_count_as_headers():
    # It was answered 431 when the body and the start of the next head came together.
    async with _open_connection() as (_, client):
        body = b"b" * 3 * LOW
        head = _head(100)
        client.writer.write(_head(100, len(body)) + body + head[:40])
        assert await client.status() == 200
        assert await client.ask(head[40:]) == 200
        client.writer.write(_head(100, len(body)))
        await asyncio.sleep(0.05)
        client.writer.write(body + head[:40])
        assert await client.status() == 200
        assert await client.ask(head[40:]) == 200


async def test_an_endless_head_is_refused_behind_a_pipelined_request_as_well():
    async with _open_connection() as (_, client):
        client.writer.write(_head(10) + b"GET / HTTP/1.1\r\nX-Pad: xx")
        assert await client.status() == 200
        await asyncio.sleep(0.05)
        assert await client.ask(b"x" * 2 * LOW) == 431


async def test_the_header_timeout_changes_on_open_connections():
    for before, after in ((20.0, 0.3), (0.6, 1.2)):
        async with _open_connection(timeout_s=before) as (server, client):
            assert await client.ask(_head(10)) == 200
            server.set_limits(HeaderPolicy(LOW, timeout_s=after), KEEP_ALIVE_S)
            client.writer.write(b"GET / HTTP/1.1\r\n")
            took_s = await client.closed_after_s()
            assert after - 0.1 <= took_s < after + LATE_S, took_s


async def test_the_header_timeout_changes_before_the_first_request():
    for before, after in ((20.0, 0.3), (0.6, 1.2)):
        async with _open_connection(timeout_s=before) as (server, client):
            await asyncio.sleep(0.05)
            server.set_limits(HeaderPolicy(LOW, timeout_s=after), KEEP_ALIVE_S)
            took_s = await client.closed_after_s()
            assert after - 0.2 <= took_s < after + LATE_S, took_s


async def test_the_idle_timeout_changes_on_open_connections():
    for before, after in ((20.0, 0.3), (0.6, 1.2)):
        async with _open_connection(keep_alive_s=before) as (server, client):
            assert await client.ask(_head(10)) == 200
            server.set_limits(HeaderPolicy(LOW), after)
            took_s = await client.closed_after_s()
            assert after - 0.1 <= took_s < after + LATE_S, took_s
        async with _open_connection(keep_alive_s=before) as (server, client):
            server.set_limits(HeaderPolicy(LOW), after)
            assert await client.ask(_head(10)) == 200
            took_s = await client.closed_after_s()
            assert after - 0.1 <= took_s < after + LATE_S, took_s


def load_tests(loader, tests, pattern):
    return collect(globals())

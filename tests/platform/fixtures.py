"""A relaying node behind the real adapter, scripted engines, and a store in memory."""

import asyncio
import contextlib
import copy
import itertools
import json
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from panunumpa import PlatformBackendCodec, PlatformCallerCodec, PlatformStoreDecoder
from tanagerkeel.gateways.platform import (
    Changes,
    CompareFailed,
    Entry,
    HistoryLost,
    Lease,
    LeaseLapsed,
    Listing,
    PlatformUnavailable,
)
from tanagerkeel.relay_entry import RelayBounds, RelayNode, RelaySettings

ANY_PORT = "127.0.0.1:0"
HOST = "service.example"
KEY = "key-of-acme"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
LIMIT_S = 5.0


@attrs.define
class MemoryStore:
    """The platform's store as a node sees it; ``down`` makes every call fail."""

    down: bool = False
    silent: bool = False
    forgetful: bool = False
    calls: list[str] = attrs.field(factory=list)
    _revision: int = 10
    _items: dict[str, Entry] = attrs.field(factory=dict)
    _leases: dict[int, set[str]] = attrs.field(factory=dict)
    _history: list[tuple[int, "Entry | str"]] = attrs.field(factory=list)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _numbers: "itertools.count[int]" = attrs.field(factory=lambda: itertools.count(1))

    def write(self, key: str, value: object) -> None:
        """Write as the operator or an engine would."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        entry = Entry(key, raw, self._revision)
        self._items[key] = entry
        self._tell(entry)

    def delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._tell(key)

    def keys(self) -> list[str]:
        return sorted(self._items)

    def lapse_lease(self) -> None:
        """End every lease, as an outage may."""
        for lease_id, keys in list(self._leases.items()):
            del self._leases[lease_id]
            for key in keys:
                self.delete(key)

    async def get(self, key: str) -> Entry | None:
        await self._answer("get")
        return self._items.get(key)

    async def list_all(self, prefix: str) -> Listing:
        await self._answer("list")
        found = (e for k, e in sorted(self._items.items()) if k.startswith(prefix))
        return Listing(tuple(found), self._revision)

    async def changes(self, prefix: str, after: int, wait_ms: int) -> Changes:
        await self._answer("watch")
        if self.forgetful:
            self.forgetful = False
            raise HistoryLost
        if self._revision <= after:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1_000):
                    await self._changed.wait()
        await self._answer("watched")
        events = tuple(e for revision, e in self._history if revision > after)
        return Changes(events, self._revision)

    async def put(
        self, key: str, value: bytes, expected: int | None = None, lease_id: int = 0
    ) -> int:
        await self._answer("put")
        known = self._items.get(key)
        revision = known.revision if known else 0
        if expected is not None and expected != revision:
            raise CompareFailed(revision)
        if lease_id and lease_id not in self._leases:
            raise LeaseLapsed
        self.write(key, value)
        if lease_id:
            self._leases[lease_id].add(key)
        return self._revision

    async def grant(self, ttl_ms: int) -> Lease:
        await self._answer("grant")
        lease_id = next(self._numbers)
        self._leases[lease_id] = set()
        return Lease(lease_id, ttl_ms)

    async def keep_alive(self, lease_id: int) -> bool:
        await self._answer("keep")
        return lease_id in self._leases

    async def revoke(self, lease_id: int) -> None:
        await self._answer("revoke")
        for key in self._leases.pop(lease_id, ()):
            self.delete(key)

    async def _answer(self, call: str) -> None:
        self.calls.append(call)
        if self.silent:
            await asyncio.sleep(1.5)
            raise PlatformUnavailable("no answer in time")
        if self.down:
            raise PlatformUnavailable("status 503")

    def _tell(self, event: "Entry | str") -> None:
        self._history.append((self._revision, event))
        self._changed.set()
        self._changed = asyncio.Event()


@attrs.frozen
class Seen:
    """A request as an engine got it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers["tanagerkeel-attempt-id"]


Script = Callable[["Engine", Seen, asyncio.StreamWriter], Awaitable[None]]


@attrs.define(eq=False)
class Engine:
    """A TCP server that answers requests by a script."""

    engine_id: str
    script: Script
    seen: list[Seen] = attrs.field(factory=list)
    orders: list[dict] = attrs.field(factory=list)
    closed: int = 0
    order_status: int = 200
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    @property
    def address(self) -> str:
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def entry(self, service: str, **fields: object) -> dict:
        return {
            "service": service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
            **fields,
        }

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                seen = await _read_request(reader)
                if seen.target == "/order":
                    self.orders.append(json.loads(seen.body))
                    await answer(
                        writer, seen, status=self.order_status, body=b'{"free":1}'
                    )
                    continue
                self.seen.append(seen)
                await self.script(self, seen, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Seen:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Seen(method, target, headers, body)


async def answer(
    writer: asyncio.StreamWriter,
    seen: Seen,
    status: int = 200,
    body: bytes = b"whole answer",
    seal: str | None = SEAL,
    request_id: str | None = None,
    extra: tuple[str, ...] = (),
) -> None:
    """Write one whole answer with a length."""
    writer.write(head_of(seen, status, seal, request_id, extra, len(body)) + body)
    await writer.drain()


def head_of(
    seen: Seen,
    status: int = 200,
    seal: str | None = SEAL,
    request_id: str | None = None,
    extra: tuple[str, ...] = (),
    length: int | None = None,
) -> bytes:
    """Return the head of an answer, without a length when there is none."""
    echoed = request_id or seen.headers.get("tanagerkeel-attempt-id", "")
    lines = [f"HTTP/1.1 {status} Status", f"Tanagerkeel-Attempt-Id: {echoed}"]
    if seal is not None:
        lines.append(f"Tanagerkeel-Response-Seal: {seal}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    lines += extra
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; closing it would look like a clean end."""
    linger = struct.pack("ii", 1, 0)
    endpoint = writer.get_extra_info("socket")
    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()
    raise ConnectionResetError


async def plain(engine: Engine, seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Answer in full."""
    await answer(writer, seen, body=engine.engine_id.encode())


async def shed(engine: Engine, seen: Seen, writer: asyncio.StreamWriter) -> None:
    """Say that it has not run."""
    extra = ("Tanagerkeel-Not-Executed: 1",)
    await answer(writer, seen, 503, b"full", None, None, extra)


def event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


CHUNKED = ("Transfer-Encoding: chunked", "Content-Type: text/event-stream")


def stream(count: int, stop_after: int | None = None) -> Script:
    """Return a script that writes events, and breaks off after some of them."""

    async def script(engine: Engine, seen: Seen, writer: asyncio.StreamWriter) -> None:
        first = int(seen.headers.get("last-event-id", 0)) + 1
        writer.write(head_of(seen, extra=CHUNKED))
        for number in range(first, count + 1):
            if stop_after is not None and number > stop_after:
                # In the middle of an event.
                writer.write(chunk(event(number)[:7]))
                await writer.drain()
                reset(writer)
            writer.write(chunk(event(number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return script


@attrs.frozen
class Reply:
    """What a caller got; ``complete`` is False when the connection broke."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


async def call(
    address: str,
    target: str,
    request_id: str = "r1",
    method: str = "GET",
    body: bytes = b"",
    key: str | None = KEY,
    deadline_ms: int | None = 2_000,
    headers: tuple[str, ...] = (),
) -> Reply:
    """Send one request on a connection of its own and read the whole answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines.append(f"Tanagerkeel-Attempt-Id: {request_id}")
    if key is not None:
        lines.append(f"Authorization: Token {key}")
    if deadline_ms is not None:
        lines.append(f"Tanagerkeel-Deadline-Remaining: {deadline_ms}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    lines += headers
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    try:
        async with asyncio.timeout(LIMIT_S):
            return await read_reply(reader)
    finally:
        writer.close()


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Reply(0, {}, b"", False)
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    status = int(first.split(" ")[1])
    body = b""
    try:
        if headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
        else:
            body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return Reply(status, headers, body, False)
    return Reply(status, headers, body, True)


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 2_000,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "canResume": kind == "stream",
        **fields,
    }


PLAIN_SERVICE = {
    "name": "booking",
    "healthPath": "/health",
    "maxConnections": 96,
    "coldS": 0.0,
    "coldPerS": 0.0,
}
ENGINE_SERVICE = {
    "name": "models",
    "healthPath": "/health",
    "maxConnections": 424,
    "coldS": 3.0,
    "coldPerS": 36.0,
    "engine": {
        "slots": 8,
        "kvCapacityTokens": 232_000,
        "stride": 43,
        "step_ms": 1.02,
        "per_seq_ms": 0.00452,
        "context_per_k": 0.00431,
        "read_per_s": 206_000.0,
        "pairs_per_m": 0.138,
        "chunk": 2_048,
        "hopMs": 0.075,
        "usual": {"prompt": 12_331, "answer": 1_303},
    },
}


def configuration(version: int = 2, **fields: object) -> dict:
    return {
        "version": version,
        "routes": [
            route("lookup", "safe", "booking"),
            route("reserve", "unsafe", "booking", maxAttempts=1),
            route("chat", "stream", "models", targetGapMs=250),
        ],
        "services": copy.deepcopy([PLAIN_SERVICE, ENGINE_SERVICE]),
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 65_536,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "acme", "apiKeys": [KEY], "priority": 1}],
        **fields,
    }


@attrs.define
class Relay:
    """A running node with its store and engines."""

    node: RelayNode
    store: MemoryStore
    engines: list[Engine]
    stopped: bool = False

    async def stop(self) -> None:
        self.stopped = True
        await self.node.stop()

    async def call(self, target: str, **options: object) -> Reply:
        return await call(self.node.callers_address, target, **options)

    async def ready(self) -> int:
        return (await call(self.node.readiness_address, "/ready")).status

    def sends(self) -> int:
        return sum(len(engine.seen) for engine in self.engines)

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(LIMIT_S):
            while not condition():
                await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def relaying(
    *scripts: Script,
    service: str = "booking",
    bounds: RelayBounds | None = None,
    document: dict | None = None,
    configured: bool = True,
) -> AsyncIterator[Relay]:
    """Run a node with one engine a script, all registered for one service."""
    store = MemoryStore()
    engines = [Engine(f"i-{n}", script) for n, script in enumerate(scripts)]
    for engine in engines:
        await engine.start()
        store.write(f"servers/{engine.engine_id}", engine.entry(service))
    if configured:
        store.write("op/config", document or configuration())
    settings = RelaySettings(
        node_id="node-1",
        failure_domain="zone-a",
        callers_listen=ANY_PORT,
        readiness_listen=ANY_PORT,
        metrics_listen=ANY_PORT,
        news_listen=ANY_PORT,
        platform="127.0.0.1:1",
        bounds=bounds or RelayBounds(grace_s=3.0),
        drain_delay_s=0.0,
    )
    node = RelayNode(
        settings,
        store,
        PlatformStoreDecoder(),
        PlatformCallerCodec(),
        PlatformBackendCodec(),
    )
    await node.start()
    relay = Relay(node, store, engines)
    await relay.until(
        lambda: len(node.state.backends) > 0 and (node.state.ready or not configured)
    )
    try:
        yield relay
    finally:
        store.down = store.silent = False
        if not relay.stopped:
            await node.stop()
        for engine in engines:
            await engine.stop()

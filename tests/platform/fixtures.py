"""A relay node with the platform's adapter, scripted engines and an in-memory store."""

import asyncio
import contextlib
import copy
import json
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from panunumpa import PlatformBackendCodec, PlatformCallerCodec, PlatformStoreDecoder
from tanagerkeel.gateways.platform import (
    ABSENT,
    Changes,
    CompareFailed,
    HistoryLost,
    Lease,
    LeaseLapsed,
    Listing,
    PlatformUnavailable,
    StoreEntry,
    WatchedStore,
)
from tanagerkeel.relay_entry import RelayBounds, RelayNode, RelaySettings
from tests.fixtures import abort_with_reset, reset_connection

CONFIGURATION_KEY = "op/config"
# The key by which nodes tell those that start that the era of the store is settled.
SETTLED_ERA_KEY = "tanagerkeel/settled-era"
# Below the ports that the operating system gives to outgoing connections, so that none
# of those takes a node's port while the node is down.
LISTEN_PORTS = range(20_000, 32_000)
ANY_PORT = "127.0.0.1:0"
HOST = "service.example"
KEY = "key-of-acme"
# An example of a response seal; nodes check only that a response has one.
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
SEAL_HEADER = "tanagerkeel-response-seal"
# Names the engine that announces that it leaves, for the checks of tests.
LEAVING_ENGINE_HEADER = "x-leaving-engine"
# Names the engine that names a limit, for the same.
LIMITED_ENGINE_HEADER = "x-limited-engine"
BODILESS_STATUSES = (204, 304)
# Longest wait of a test for a response or a condition.
WAIT_TIMEOUT_S = 5.0


@attrs.frozen
class StoreCopy:
    """A copy of all that a :class:`MemoryStore` holds, as of one moment."""

    revision: int
    items: dict[str, StoreEntry]
    leases: dict[int, set[str]]
    last_lease_id: int
    history: tuple[tuple[int, "StoreEntry | str"], ...]


@attrs.define
class MemoryStore:
    """
    An in-memory store with the methods of :class:`panunumpa.PlatformStore`.

    Used directly by a node, it must not be restored from a copy: nodes learn of that
    from the header that ``soak_links.StoreServer`` adds to its answers.

    :param down: whether every call fails at once, with status 503.
    :param silent: whether every call fails after 1.5 s, as a call that times out does.
    :param history_lost: whether the next watch finds its history lost.
    :param calls: names of the calls that were made, in order; ``watched`` is added when
        the wait of a ``watch`` ends.
    :param era: how many times the store has returned from a copy, plus one.
    :param waiting: how many watches wait for a change.
    :param watch_arriving: whether the answer to a watch has begun to arrive.
    """

    down: bool = False
    silent: bool = False
    history_lost: bool = False
    calls: list[str] = attrs.field(factory=list)
    era: int = 1
    waiting: int = 0
    watch_arriving: bool = False
    _revision: int = 10
    _items: dict[str, StoreEntry] = attrs.field(factory=dict)
    _leases: dict[int, set[str]] = attrs.field(factory=dict)
    _history: list[tuple[int, "StoreEntry | str"]] = attrs.field(factory=list)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _watches_released: asyncio.Event | None = None
    _cuts: int = 0
    # Keys whose lease was renewed.
    _renewed: set[str] = attrs.field(factory=set)
    _last_lease_id: int = 0

    def write(self, key: str, value: object) -> None:
        """Write a value, encoded as JSON unless it is bytes, without a lease."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        entry = StoreEntry(key, raw, self._revision)
        self._items[key] = entry
        self._record_change(entry)

    def delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._record_change(key)

    def add_era_listener(self, on_new_era: Callable[[], None]) -> None:
        """Ignore the listener: nodes that use the store directly see one era."""

    @property
    def revision(self) -> int:
        """The revision of the latest change."""
        return self._revision

    def keys(self) -> list[str]:
        return sorted(self._items)

    def value(self, key: str) -> bytes | None:
        """Return the value of a key, without a call; None when it is absent."""
        entry = self._items.get(key)
        return entry.value if entry is not None else None

    def copy(self) -> StoreCopy:
        """Return a copy of all that the store holds now."""
        leases = {lease_id: set(keys) for lease_id, keys in self._leases.items()}
        return StoreCopy(
            self._revision,
            dict(self._items),
            leases,
            self._last_lease_id,
            tuple(self._history),
        )

    def restore(self, copy: StoreCopy) -> None:
        """
        Return from a copy: what was written since is gone, and a new era begins.

        Revisions and lease ids are given out again.
        """
        self.era += 1
        self._revision = copy.revision
        self._items = dict(copy.items)
        self._leases = {lease_id: set(keys) for lease_id, keys in copy.leases.items()}
        self._last_lease_id = copy.last_lease_id
        self._history = list(copy.history)
        self._wake_watches()

    def expire_all_leases(self) -> None:
        """End every lease, as an outage of the store may, and delete the keys."""
        for lease_id, keys in list(self._leases.items()):
            del self._leases[lease_id]
            for key in keys:
                self.delete(key)

    async def get(self, key: str) -> StoreEntry | None:
        await self._begin_call("get")
        return self._items.get(key)

    async def list_all(self, prefix: str) -> Listing:
        await self._begin_call("list")
        found = (e for k, e in sorted(self._items.items()) if k.startswith(prefix))
        return Listing(tuple(found), self._revision, self.era)

    async def changes(self, prefix: str, after: int, wait_ms: int) -> Changes:
        await self._begin_call("watch")
        if self.history_lost or after > self._revision:
            self.history_lost = False
            raise HistoryLost
        era = self.era
        if self._revision <= after:
            cuts = self._cuts
            self.waiting += 1
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await self._changed.wait()
            except TimeoutError:
                pass
            finally:
                self.waiting -= 1
            if self._cuts != cuts:
                raise PlatformUnavailable("the connection was closed")
        await self._begin_call("watched")
        if self.era != era and self._watches_released is not None:
            await self._watches_released.wait()
        events = tuple(e for revision, e in self._history if revision > after)
        return Changes(events, self._revision, self.era)

    async def put(
        self, key: str, value: bytes, expected: int | None = None, lease_id: int = 0
    ) -> int:
        await self._begin_call("put")
        known = self._items.get(key)
        revision = known.revision if known else ABSENT
        if expected is not None and expected != revision:
            raise CompareFailed(revision)
        if lease_id and lease_id not in self._leases:
            raise LeaseLapsed
        self.write(key, value)
        for bound in self._leases.values():
            bound.discard(key)
        if lease_id:
            self._leases[lease_id].add(key)
        return self._revision

    async def grant(self, ttl_ms: int) -> Lease:
        await self._begin_call("grant")
        self._last_lease_id += 1
        self._leases[self._last_lease_id] = set()
        return Lease(self._last_lease_id, ttl_ms)

    async def keep_alive(self, lease_id: int) -> bool:
        await self._begin_call("keep")
        self._renewed |= self._leases.get(lease_id, set())
        return lease_id in self._leases

    def renewals_of(self, keys: list[str]) -> int:
        """Return how many of these keys have had their leases renewed."""
        return len(self._renewed.intersection(keys))

    async def remove(self, key: str, expected: int) -> None:
        await self._begin_call("remove")
        known = self._items.get(key)
        if known is None or known.revision != expected:
            raise CompareFailed(known.revision if known else ABSENT)
        self.delete(key)

    async def revoke(self, lease_id: int) -> None:
        await self._begin_call("revoke")
        for key in self._leases.pop(lease_id, ()):
            self.delete(key)

    async def _begin_call(self, call: str) -> None:
        self.calls.append(call)
        if self.silent:
            await asyncio.sleep(1.5)
            raise PlatformUnavailable("no answer in time")
        if self.down:
            raise PlatformUnavailable("status 503")

    def _record_change(self, event: "StoreEntry | str") -> None:
        self._history.append((self._revision, event))
        self._wake_watches()

    def cut_watches(self) -> None:
        """Cut the watches that wait, and go on answering all other calls."""
        self._cuts += 1
        self._wake_watches()

    def hold_watches(self) -> asyncio.Event:
        """Hold back the answers to open watches until the returned event is set."""
        self._watches_released = asyncio.Event()
        return self._watches_released

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


@attrs.frozen
class ReceivedRequest:
    """A request as an engine received it, and that engine."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    engine: "Engine"

    @property
    def request_id(self) -> str:
        return self.headers["tanagerkeel-attempt-id"]


# Decides how an engine responds to one request.
Script = Callable[["Engine", ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


@attrs.define(eq=False)
class Engine:
    """
    An HTTP/1.1 server that responds to requests as its script decides.

    :param engine_id: the id under which it is registered.
    :param script: called for each request, except for orders.
    :param received: the requests that it received, without orders.
    :param orders: the bodies of the orders to reserve or release memory.
    :param closed_connections: number of connections that ended, closed or reset by
        either side.
    :param order_status: the status that it responds to orders with.
    :param order_delay_s: time that it takes to respond to an order, in seconds.
    :param repeats_order_answers: whether it sends a second copy of its answer to an
        order when the next request arrives on the connection.
    :param leaving: whether its responses announce that it leaves.
    :param retry_after: the Retry-After of its responses with status 503; None for none.
    :param rate_limit: the Server-Limit of its responses; None for none.
    :param reads_bodies: whether it reads bodies before its script is called.
    :param readers: what it reads from, by connection.
    :param crashed: whether :meth:`crash` ended it.
    :param late_answers: what it sends on a connection before its answer to an order.
    """

    engine_id: str
    script: Script
    received: list[ReceivedRequest] = attrs.field(factory=list)
    orders: list[dict] = attrs.field(factory=list)
    closed_connections: int = 0
    order_status: int = 200
    order_delay_s: float = 0.0
    repeats_order_answers: bool = False
    leaving: bool = False
    retry_after: str | None = None
    rate_limit: str | None = None
    reads_bodies: bool = True
    readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = attrs.field(
        factory=dict
    )
    crashed: bool = False
    late_answers: dict[asyncio.StreamWriter, bytes] = attrs.field(factory=dict)
    _server: asyncio.Server | None = None
    # Keeps the port, so that no other process listens there once the engine has gone.
    _port_holder: socket.socket | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)

    @property
    def address(self) -> str:
        host, port = self._port_holder.getsockname()
        return f"{host}:{port}"

    def store_entry(self, service: str, **fields: object) -> dict:
        """Return the engine's entry in the store; ``fields`` replace its values."""
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
        self._port_holder = socket.socket()
        self._port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self._port_holder.bind(("127.0.0.1", 0))
        host, port = self._port_holder.getsockname()
        self._server = await asyncio.start_server(
            self._serve, host, port, reuse_port=True
        )

    def release_port(self) -> None:
        """Let other processes have the port."""
        self._port_holder.close()

    async def stop(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def crash(self) -> None:
        """End as a process that crashes: reset all connections, refuse new ones."""
        self.crashed = True
        self._server.close()
        for writer in list(self._writers):
            abort_with_reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        self.readers[writer] = reader
        order = None
        try:
            while True:
                request = await _read_request(reader, self)
                if order is not None and self.repeats_order_answers:
                    await write_response(
                        writer, order, status=self.order_status, body=b'{"free":1}'
                    )
                if request.target == "/order":
                    order = request
                    writer.write(self.late_answers.pop(writer, b""))
                    self.orders.append(json.loads(request.body))
                    await asyncio.sleep(self.order_delay_s)
                    await write_response(
                        writer, request, status=self.order_status, body=b'{"free":1}'
                    )
                    continue
                self.received.append(request)
                await self.script(self, request, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_connections += 1
        finally:
            self._writers.discard(writer)
            del self.readers[writer]
            writer.close()


async def _read_request(
    reader: asyncio.StreamReader, engine: Engine
) -> ReceivedRequest:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    length = int(headers.get("content-length", 0)) if engine.reads_bodies else 0
    body = await reader.readexactly(length)
    return ReceivedRequest(method, target, headers, body, engine)


async def write_response(
    writer: asyncio.StreamWriter,
    request: ReceivedRequest,
    status: int = 200,
    body: bytes = b"whole answer",
    seal: str | None = SEAL,
    request_id: str | None = None,
    extra: tuple[str, ...] = (),
) -> None:
    """Write a whole response with a Content-Length."""
    writer.write(
        response_head(request, status, seal, request_id, extra, len(body)) + body
    )
    await writer.drain()


def response_head(
    request: ReceivedRequest,
    status: int = 200,
    seal: str | None = SEAL,
    request_id: str | None = None,
    extra: tuple[str, ...] = (),
    length: int | None = None,
) -> bytes:
    """Return status line and headers of a response, by default without a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    echoed = request_id or request.headers.get("tanagerkeel-attempt-id")
    if echoed is not None:
        lines.append(f"Tanagerkeel-Attempt-Id: {echoed}")
    if seal is not None:
        lines.append(f"Tanagerkeel-Response-Seal: {seal}")
    if length is not None:
        lines.append(f"Content-Length: {length}")
    if status == 503 and request.engine.retry_after is not None:
        lines.append(f"Retry-After: {request.engine.retry_after}")
    if request.engine.rate_limit is not None:
        lines.append(f"Server-Limit: {request.engine.rate_limit}")
        lines.append(f"{LIMITED_ENGINE_HEADER}: {request.engine.engine_id}")
    if request.engine.leaving:
        lines.append("Server-Leaving: 1")
        lines.append(f"{LEAVING_ENGINE_HEADER}: {request.engine.engine_id}")
    lines += extra
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def close_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection without a reset and raise the error that ends a script."""
    writer.close()
    raise ConnectionResetError


async def respond_with_id(
    engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Respond with the engine's id."""
    await write_response(writer, request, body=engine.engine_id.encode())


async def shed_request(
    engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Respond that the request has not run."""
    extra = ("Tanagerkeel-Not-Executed: 1",)
    await write_response(writer, request, 503, b"full", None, None, extra)


def event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


EVENT_STREAM_HEADERS = ("Content-Type: text/event-stream",)
CHUNKED_HEADERS = ("Transfer-Encoding: chunked", *EVENT_STREAM_HEADERS)


def stream_script(count: int, stop_after: int | None = None) -> Script:
    """
    Return a script that streams numbered events, starting after the caller's last one.

    :param count: number of the last event.
    :param stop_after: number of the event after which the connection is reset, in the
        middle of the next event; None to finish the stream.
    """

    async def script(
        engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        first = int(request.headers.get("last-event-id", 0)) + 1
        writer.write(response_head(request, extra=CHUNKED_HEADERS))
        for number in range(first, count + 1):
            if stop_after is not None and number > stop_after:
                writer.write(chunk(event(number)[:7]))
                await writer.drain()
                reset_connection(writer)
            writer.write(chunk(event(number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return script


@attrs.frozen
class Response:
    """
    A response as a caller received it.

    :param status: HTTP status; 0 when the connection broke before the headers ended.
    :param headers: its headers, by their names in lower case.
    :param body: its body; of a broken response, the complete chunks that arrived.
    :param complete: whether the whole body arrived.
    """

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
) -> Response:
    """Send one request on a new connection and read the whole response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        encode_request(target, request_id, method, body, key, deadline_ms, headers)
    )
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            return await read_response(reader)
    finally:
        writer.close()


def encode_request(
    target: str,
    request_id: str = "r1",
    method: str = "GET",
    body: bytes = b"",
    key: str | None = KEY,
    deadline_ms: int | None = 2_000,
    headers: tuple[str, ...] = (),
) -> bytes:
    """Return a request as a client sends it."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines.append(f"Tanagerkeel-Attempt-Id: {request_id}")
    if key is not None:
        lines.append(f"Authorization: Token {key}")
    if deadline_ms is not None:
        lines.append(f"Tanagerkeel-Deadline-Remaining: {deadline_ms}")
    if body:
        lines.append(f"Content-Length: {len(body)}")
    lines += headers
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_response(reader: asyncio.StreamReader) -> Response:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Response(0, {}, b"", False)
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
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        elif status not in BODILESS_STATUSES:
            body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return Response(status, headers, body, False)
    return Response(status, headers, body, True)


def assert_promises_nothing(reply: Response, case: object) -> None:
    """Check that a response is the node's own and leaves open whether it ran."""
    assert reply.status == 502, (case, reply)
    assert SEAL_HEADER not in reply.headers, (case, reply)
    assert "retry-after" not in reply.headers, (case, reply)
    assert json.loads(reply.body)["ran"] == "unknown", (case, reply)


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route as it stands in the configuration's JSON."""
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
    """Return the JSON of a configuration; ``fields`` replace its values."""
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


# A prompt that exceeds the memory of one engine, and a route whose objective leaves
# time to prefill it.
LONG_CALL = {
    "method": "POST",
    "body": b"p",
    "headers": ("Tanagerkeel-Model: m", "Tanagerkeel-Token-Count: 500000,430"),
    "deadline_ms": 15_000,
}
LONG_PROMPTS = configuration(
    routes=[
        route(
            "chat",
            "stream",
            "models",
            timeoutMs=15_000,
            targetLatencyMs=6_000,
            targetGapMs=1_000,
        )
    ]
)


@attrs.define
class Relay:
    """Running relay nodes with their store and engines."""

    nodes: list[RelayNode]
    store: MemoryStore
    engines: list[Engine]
    stopped: bool = False

    @property
    def node(self) -> RelayNode:
        """The first node."""
        return self.nodes[0]

    async def stop(self) -> None:
        self.stopped = True
        await asyncio.gather(*(node.stop() for node in self.nodes))

    async def call(self, target: str, node: int = 0, **options: object) -> Response:
        """Send a request to a node, given by its index, and return the response."""
        return await call(self.nodes[node].callers_address, target, **options)

    async def readiness_status(self) -> int:
        """Return the HTTP status of the node's readiness endpoint."""
        return (await call(self.node.readiness_address, "/ready")).status

    def received_count(self) -> int:
        """Return how many requests the engines received, without orders."""
        return sum(len(engine.received) for engine in self.engines)

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition is true."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.005)


def loopback_address(rng: random.Random) -> str:
    """
    Return one of the 16 million loopback addresses.

    With an address of its own, a run can't take the port of another run's node that is
    down at the moment.
    """
    return ".".join(("127", *(str(rng.randint(1, 254)) for _ in range(3))))


def free_port(rng: random.Random, host: str, taken_ports: set[int]) -> int:
    """
    Return a free port, for TCP and UDP, that no outgoing connection can take.

    :param taken_ports: ports that are not returned; the new one is added.
    """
    while True:
        port = rng.choice(LISTEN_PORTS)
        if port in taken_ports:
            continue
        with (
            socket.socket() as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
            contextlib.suppress(OSError),
        ):
            stream.bind((host, port))
            datagram.bind((host, port))
            taken_ports.add(port)
            return port


# Not seeded, since tests at the same time must not choose the same address.
_port_rng = random.Random()
_taken_ports: set[int] = set()
PEERS_HOST = loopback_address(_port_rng)


def free_address() -> str:
    """Return an ``IP:PORT`` that nothing takes, also while nothing listens there."""
    return f"{PEERS_HOST}:{free_port(_port_rng, PEERS_HOST, _taken_ports)}"


def make_node(
    store: WatchedStore,
    node_id: str,
    bounds: RelayBounds,
    adapt: Callable[[RelaySettings], RelaySettings],
) -> RelayNode:
    settings = RelaySettings(
        node_id=node_id,
        failure_domain="zone-a",
        callers_listen=ANY_PORT,
        readiness_listen=ANY_PORT,
        metrics_listen=ANY_PORT,
        # Peers are told this address, so it can't be chosen when it is bound.
        news_listen=free_address(),
        forward_listen=free_address(),
        platform="127.0.0.1:1",
        bounds=bounds,
        drain_delay_s=0.0,
    )
    return RelayNode(
        adapt(settings),
        store,
        PlatformStoreDecoder(),
        PlatformCallerCodec(),
        PlatformBackendCodec(),
    )


@contextlib.asynccontextmanager
async def running_relay(
    *scripts: Script,
    service: str = "booking",
    bounds: RelayBounds | None = None,
    document: dict | None = None,
    configured: bool = True,
    node_count: int = 1,
    store: MemoryStore | None = None,
    connect: Callable[[MemoryStore], WatchedStore] = lambda store: store,
    adapt: Callable[[RelaySettings], RelaySettings] = lambda settings: settings,
    settled: bool = True,
) -> AsyncIterator[Relay]:
    """
    Run nodes and one engine for each script, and yield when the nodes are ready.

    :param scripts: how each of the engines responds.
    :param service: the service that all engines are registered for.
    :param bounds: bounds of the node's settings; None for the defaults with a grace
        period of 3 s.
    :param document: the configuration's JSON; None for that of :func:`configuration`.
    :param configured: whether the store holds a configuration. Without one the node
        does not become ready, and is yielded once it knows an engine.
    :param node_count: number of nodes, which know each other when they are yielded.
    :param store: an empty store; None for a new one.
    :param connect: returns a node's client of the store.
    :param adapt: returns a node's settings, of the usual ones.
    :param settled: whether nodes ran before in the store's era, and found it settled.
    """
    store = store or MemoryStore()
    if settled:
        store.write(SETTLED_ERA_KEY, store.era)
    engines = [Engine(f"i-{n}", script) for n, script in enumerate(scripts)]
    for engine in engines:
        await engine.start()
        store.write(f"servers/{engine.engine_id}", engine.store_entry(service))
    if configured:
        store.write(CONFIGURATION_KEY, document or configuration())
    bounds = bounds or RelayBounds(grace_s=3.0)
    nodes = [
        make_node(connect(store), f"node-{number}", bounds, adapt)
        for number in range(1, node_count + 1)
    ]
    for node in nodes:
        await node.start()
    relay = Relay(nodes, store, engines)
    await relay.until(
        lambda: all(
            len(node.state.backends) > 0
            and (node.state.ready or not configured)
            and len(node.state.peers.others) == node_count - 1
            for node in nodes
        )
    )
    try:
        yield relay
    finally:
        store.down = store.silent = False
        if not relay.stopped:
            await relay.stop()
        for engine in engines:
            await engine.stop()
            engine.release_port()

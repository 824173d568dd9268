"""
Stand-ins and helpers of the review's scripts: store, engines, links, callers, nodes.

They use only the standard library. Nodes are started with the command of the deploy
file, each on a loopback address of its own.
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import shutil
import socket
import sys
import tempfile
import time
import tomllib
import traceback
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Never

Headers = dict[str, str]
# Status, header lines and body of a response.
Handler = Callable[[str, bytes], tuple[int, tuple[str, ...], bytes]]
Answer = tuple[int, Headers, bytes]
Scenario = Callable[["Fleet", "Record", bool], Awaitable[bool]]

ROOT = pathlib.Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
HOST = "service.example"
KEY = "key-of-acme"
# Ports are the same on all machines.
FRONT_PORT, READY_PORT, METRICS_PORT = 8227, 8220, 9464
NEWS_PORT, FORWARD_PORT = 7340, 7341
# Bounds of the small deployments.
STABLE_WINDOW_S, CONFIG_S, DRAIN_S = 3.0, 2.0, 2.0
# Longest time of a script, in seconds; it may run for 120 s.
MAX_RUN_S = 110.0
READY_TIMEOUT_S = 25.0


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._started_s

    def line(self, text: str) -> None:
        """Write one line, with the time."""
        self._file.write(f"{self.now_s:8.3f} s  {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close what is open."""
        self._file.close()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read an HTTP/1.1 message with a length or in chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class Server:
    """An HTTP/1.1 server; subclasses define ``respond``."""

    def __init__(self, host: str, port: int) -> None:
        self.address = f"{host}:{port}"
        self._host, self._port = host, port
        self._server = None
        self._writers = set()

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    async def stop(self) -> None:
        """Close all connections and refuse new ones, as a process that ends does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ")
                await self.respond(method, target, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def respond(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        raise NotImplementedError


class Store(Server):
    """The platform's store, kept in memory."""

    def __init__(self, host: str, port: int, record: Record) -> None:
        super().__init__(host, port)
        self.revision = 10
        self._record = record
        self._items = {}
        self._history = []
        self._leases = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._waiting = set()

    def write(self, key: str, value: object, lease: int = 0) -> float:
        """Write a value: bytes, or what becomes JSON; return the time of it."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self._items.get(key, {"created": self.revision})["created"]
        item = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self._items[key] = item
        self._add_event(item)
        return self._record.now_s

    def delete(self, key: str) -> float:
        """Delete a key; return the time of it."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._add_event({"key": key, "revision": self.revision, "deleted": True})
        return self._record.now_s

    def end_all_leases(self) -> None:
        """End all leases, as an outage may, and delete their keys."""
        for lease in list(self._leases):
            self._end_lease(lease)

    def cut_waiting_watches(self) -> int:
        """Cut the watches that wait; all else is served."""
        waiting, self._waiting = self._waiting, set()
        for writer in waiting:
            writer.transport.abort()
        return len(waiting)

    def _add_event(self, event: dict) -> None:
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease, (_, until_s) in list(self._leases.items()):
            if until_s <= now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key in [k for k, i in self._items.items() if i["lease"] == lease]:
            self.delete(key)

    async def respond(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        self._expire()
        path, _, query = target.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        status, answer = await self._call(method, path, fields, body, writer)
        data = json.dumps(answer).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()

    async def _call(
        self,
        method: str,
        path: str,
        fields: dict,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> tuple[int, dict]:
        match method, path.split("/")[1:]:
            case "GET", ["kv-key"]:
                item = self._items.get(fields["key"])
                return (404, {}) if item is None else (200, item)
            case "GET", ["kv-range"]:
                found = [
                    item
                    for key, item in sorted(self._items.items())
                    if key.startswith(fields["prefix"])
                    and key > fields.get("after", "")
                ]
                page = found[:500]
                more = len(found) > len(page)
                return 200, {
                    "items": page,
                    "hasMore": more,
                    "storeRevision": self.revision,
                }
            case "GET", ["kv-watch"]:
                return await self._watch(fields, writer)
            case "POST", ["kv-txn"]:
                return self._commit(json.loads(body))
            case "POST", ["kv-lease"]:
                ttl_ms = json.loads(body)["ttlMs"]
                lease, self._next_lease = self._next_lease, self._next_lease + 1
                self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1_000)
                return 200, {"lease": lease, "ttlMs": ttl_ms}
            case "POST", ["kv-keep", lease]:
                if int(lease) not in self._leases:
                    return 404, {}
                ttl_ms, _ = self._leases[int(lease)]
                self._leases[int(lease)] = (ttl_ms, time.monotonic() + ttl_ms / 1_000)
                return 200, {"lease": int(lease), "ttlMs": ttl_ms}
            case "DELETE", ["kv-lease-end", lease]:
                if int(lease) in self._leases:
                    self._end_lease(int(lease))
                return 200, {}
        return 400, {}

    async def _watch(
        self, fields: dict, writer: asyncio.StreamWriter
    ) -> tuple[int, dict]:
        after, wait_s = int(fields["after"]), int(fields["waitMs"]) / 1_000
        until_s = time.monotonic() + wait_s
        self._waiting.add(writer)
        try:
            while True:
                events = [
                    e
                    for e in self._history
                    if e["revision"] > after and e["key"].startswith(fields["prefix"])
                ]
                left_s = until_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "storeRevision": self.revision}
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
        finally:
            self._waiting.discard(writer)

    def _commit(self, call: dict) -> tuple[int, dict]:
        expected = call.get("expected") or []
        states = {row["key"]: self._items.get(row["key"]) for row in expected}
        for row in expected:
            item = states[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [i or {"revision": 0} for i in states.values()]}
        for write in call.get("writes") or []:
            lease = write.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
        for write in call.get("writes") or []:
            value = base64.b64decode(write["value"])
            self.write(write["key"], value, write.get("lease", 0))
        for key in call.get("deletes") or []:
            self.delete(key)
        return 200, {"revision": self.revision}


class StoreFront(Server):
    """The store as one node reaches it; while it is down, it resets connections."""

    ANSWER_S = 0.004

    def __init__(self, host: str, port: int, store: Store) -> None:
        super().__init__(host, port)
        self._store = store
        self._down = False

    def go_down(self) -> None:
        """Reset all connections, and each new one at its first call."""
        self._down = True
        for writer in list(self._writers):
            writer.transport.abort()

    def come_back(self) -> None:
        """Serve calls again."""
        self._down = False

    async def respond(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        if self._down:
            writer.transport.abort()
            raise ConnectionResetError
        await asyncio.sleep(self.ANSWER_S)
        await self._store.respond(method, target, headers, body, writer)


class Engine(Server):
    """
    A backend server of a plain service.

    ``handle`` gets the request's target and body and returns status, further header
    lines and body. Each request that it handles counts as run.
    """

    def __init__(
        self,
        host: str,
        port: int,
        engine_id: str,
        service: str,
        zone: str,
        record: Record,
        handle: Handler,
        work_s: float,
    ) -> None:
        super().__init__(host, port)
        self.engine_id, self.service, self.zone = engine_id, service, zone
        self.runs = []
        self._record = record
        self._handle = handle
        self._work_s = work_s

    def entry(self, **fields: object) -> dict:
        """Return its entry in the store; ``fields`` replace its values."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
            **fields,
        }

    async def respond(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer one request."""
        request_id = headers.get("tanagerkeel-attempt-id")
        wanted = headers.get("tanagerkeel-target-instance", self.engine_id)
        lines = [f"Tanagerkeel-Instance-Id: {self.engine_id}"]
        if target == "/health":
            status, extra, answer = 200, (), b""
        elif wanted != self.engine_id:
            status, extra, answer = 421, (), b""
        else:
            self.runs.append((self._record.now_s, request_id))
            self._record.line(f"run       {request_id} {target} at {self.engine_id}")
            await asyncio.sleep(self._work_s)
            status, extra, answer = self._handle(target, body)
            lines.append(f"Tanagerkeel-Response-Seal: {SEAL}")
        if request_id is not None:
            lines.append(f"Tanagerkeel-Attempt-Id: {request_id}")
        lines += [*extra, f"Content-Length: {len(answer)}"]
        head = "\r\n".join([f"HTTP/1.1 {status} X", *lines])
        writer.write(head.encode() + b"\r\n\r\n" + answer)
        await writer.drain()


class Caller:
    """A caller with one connection, which it keeps."""

    connected_callers: set["Caller"] = set()

    def __init__(self, address: str, record: Record, key: str = KEY) -> None:
        self._address = address
        self._record = record
        self._key = key
        self._connection = None

    async def send(
        self,
        request_id: str,
        method: str,
        target: str,
        body: bytes = b"",
        headers: tuple[str, ...] = (),
        deadline_ms: int = 3_000,
    ) -> Answer:
        """Return the status, headers and body; status 0 when there was no answer."""
        host, _, port = self._address.rpartition(":")
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {HOST}",
            f"Tanagerkeel-Attempt-Id: {request_id}",
            f"Tanagerkeel-Deadline-Remaining: {deadline_ms}",
            f"Authorization: Token {self._key}",
            f"Content-Length: {len(body)}",
            *headers,
        ]
        self._record.line(f"sent      {request_id} {method} {target} to {host}")
        status, answer_headers, answer = 0, {}, b""
        try:
            async with asyncio.timeout(deadline_ms / 1_000 + 1.0):
                if self._connection is None:
                    self._connection = await asyncio.open_connection(host, int(port))
                    self.connected_callers.add(self)
                reader, writer = self._connection
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
                first, answer_headers, answer = await read_message(reader)
                status = int(first.split(" ")[1])
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            self._record.line(f"no answer {request_id} {error!r}")
        if not status or answer_headers.get("connection", "").lower() == "close":
            self.close()
        seal = "sealed" if "tanagerkeel-response-seal" in answer_headers else "own"
        self._record.line(f"answered  {request_id} {status} {seal} {answer[:120]!r}")
        return status, answer_headers, answer

    @property
    def connected(self) -> bool:
        """Whether its connection is open."""
        return self._connection is not None

    def close(self) -> None:
        """Close what is open."""
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None
            self.connected_callers.discard(self)


class Link:
    """
    The path from one node to one engine; ``cut`` lets it go silent.

    While it is cut, connections hang: those that are open carry nothing, and new ones
    don't come up, as their queue is full.
    """

    def __init__(self, host: str, port: int, target: str) -> None:
        self.address = f"{host}:{port}"
        self._host, self._port, self._target = host, port, target
        self._server = None
        self._listener = None
        self._fillers = []
        self._is_cut = asyncio.Event()
        self._tasks = set()

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    def cut(self) -> None:
        """Let the path go silent."""
        self._is_cut.set()
        self._server.close()
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((self._host, self._port))
        self._listener.listen(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self._port))
            self._fillers.append(filler)

    async def stop(self) -> None:
        """Stop, and close the sockets."""
        if self._server is not None:
            self._server.close()
        for open_socket in (self._listener, *self._fillers):
            if open_socket is not None:
                open_socket.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        other_reader, other_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self._copy(reader, other_writer), self._copy(other_reader, writer)
        )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65_536):
                if self._is_cut.is_set():
                    await asyncio.Event().wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


class Fleet:
    """A small deployment: the store, engines, and nodes as processes of their own."""

    def __init__(self, record: Record, folder: pathlib.Path) -> None:
        self.record = record
        self._folder = folder
        rng = random.Random()
        self._net = f"127.{rng.randint(16, 250)}.{rng.randint(1, 250)}"
        self.store = Store(f"{self._net}.1", 8223, record)
        self._servers = []
        self._nodes = {}
        self.engines = []

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start()

    async def start_server(self, server: Server) -> None:
        """Start a server, which ends with the fleet."""
        await server.start()
        self._servers.append(server)

    def host(self, number: int) -> str:
        """Return the loopback address of a machine."""
        return f"{self._net}.{number}"

    async def add_engine(
        self,
        number: int,
        engine_id: str,
        service: str,
        zone: str,
        handle: Handler,
        work_s: float = 0.045,
    ) -> Engine:
        """Start an engine and register it."""
        engine = Engine(
            self.host(number),
            8080,
            engine_id,
            service,
            zone,
            self.record,
            handle,
            work_s,
        )
        await self.start_server(engine)
        self.store.write(f"servers/{engine_id}", engine.entry())
        self.engines.append(engine)
        return engine

    async def start_node(
        self, number: int, name: str, zone: str, store_address: str | None = None
    ) -> str:
        """Start a node; return the address where callers connect."""
        host = self.host(number)
        settings = {
            "node_id": name,
            "failure_domain": zone,
            "callers_listen": f"{host}:{FRONT_PORT}",
            "readiness_listen": f"{host}:{READY_PORT}",
            "metrics_listen": f"{host}:{METRICS_PORT}",
            "news_listen": f"{host}:{NEWS_PORT}",
            "forward_listen": f"{host}:{FORWARD_PORT}",
            "platform": store_address or self.store.address,
            "placement": {"many_senders_from": 100},
            "cpu_share": 0.537,
            "cpu_cores": 2,
            "bounds": {
                "revoke_ms": 5_000,
                "strict_revoke": True,
                "grace_s": 8,
                "drain_ms": 2_000,
                "retry_ratio": 0.2,
                "retry_extra": 100,
                "retry_window_s": 10,
                "longest_hold_ms": 20_000,
            },
        }
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {
            "TANAGERKEEL_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        for variable in ("PATH", "HOME", "LANG"):
            if variable in os.environ:
                environment[variable] = os.environ[variable]
        self._nodes[name] = await asyncio.create_subprocess_exec(
            *deploy["roles"]["entry"]["run"].split(),
            cwd=ROOT,
            env=environment,
            stdout=(self._folder / f"{name}.log").open("wb"),
            stderr=asyncio.subprocess.STDOUT,
        )
        return f"{host}:{FRONT_PORT}"

    async def is_ready(self, number: int) -> bool:
        """Return whether a node reports that it is ready."""
        caller = Caller(f"{self.host(number)}:{READY_PORT}", _Silent())
        status, _, _ = await caller.send("", "GET", "/ready", deadline_ms=500)
        caller.close()
        return status == 200

    async def until_ready(self, *numbers: int) -> None:
        """Wait until nodes report that they are ready."""
        until_s = time.monotonic() + READY_TIMEOUT_S
        while not all([await self.is_ready(number) for number in numbers]):
            if time.monotonic() > until_s:
                raise RuntimeError("a node did not get ready")
            await asyncio.sleep(0.2)
        self.record.line("ready     all nodes")

    def log_lines(self, name: str, word: str) -> list[str]:
        """Return the lines of a node's log that hold a word."""
        text = (self._folder / f"{name}.log").read_text(errors="replace")
        return [line for line in text.splitlines() if word in line]

    async def stop(self) -> None:
        """End all processes and servers."""
        for caller in list(Caller.connected_callers):
            caller.close()
        for process in self._nodes.values():
            if process.returncode is None:
                process.kill()
        for process in self._nodes.values():
            await process.wait()
        for server in (*self._servers, self.store):
            await server.stop()


class _Silent:
    def line(self, text: str) -> None:
        """Write one line, with the time."""
        pass


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 3_000,
        "targetLatencyMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 1 if kind == "unsafe" else 2,
        "public": False,
        "sticky": False,
        "canResume": kind == "stream",
        **fields,
    }


def service(name: str) -> dict:
    """Return a plain service of a configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 96,
        "coldS": 0.0,
        "coldPerS": 0.0,
    }


def configuration(
    version: int, routes: list[dict], services: list[str], **limits: int
) -> dict:
    """Return a configuration with one client account."""
    return {
        "version": version,
        "routes": routes,
        "services": [service(name) for name in services],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 65_536,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
            **limits,
        },
        "tenants": [{"name": "acme", "apiKeys": [KEY], "priority": 1}],
    }


def whole_answer(target: str, body: bytes) -> tuple[int, tuple[str, ...], bytes]:
    """Handle a request with a plain answer."""
    return 200, (), b"whole answer to " + target.encode()


def count_runs(engines: list[Engine]) -> "collections.Counter[str]":
    """Return how often each request ran."""
    return collections.Counter(i for engine in engines for _, i in engine.runs)


def main(scenario: Scenario) -> Never:
    """
    Run a scenario in the folder of its script and exit with its verdict.

    :param scenario: coroutine function that gets the fleet, the record and whether the
        disruption happens; it returns whether the rule held.
    """
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    record = Record(folder)

    async def run() -> bool:
        fleet = Fleet(record, temporary)
        try:
            async with asyncio.timeout(MAX_RUN_S):
                return await scenario(fleet, record, trouble)
        finally:
            await fleet.stop()

    verdict = NOT_RUN
    try:
        verdict = HELD if asyncio.run(run()) else BROKEN
    except BaseException:
        record.line(traceback.format_exc())
    record.line(f"verdict   {verdict} (0 held, 1 broken, 2 could not run)")
    record.close()
    if keep := os.environ.get("KEEP_LOGS"):
        shutil.copytree(temporary, keep, dirs_exist_ok=True)
    shutil.rmtree(temporary, ignore_errors=True)
    raise SystemExit(verdict)

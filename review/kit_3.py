"""
Stand-ins and helpers of the scripts in ``review/11`` and the following folders.

The platform's store, the engines and the clients are stand-ins in the process of the
script; the nodes are processes started with the command of ``deploy/system.toml``. Only
the standard library is used.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import AsyncIterator, Callable, Iterable, Iterator

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Names and values of headers.
Pairs = Iterable[tuple[str, object]]
HEARTBEAT_S = 1.2
STABLE_WINDOW_S = 3.0
CRASHING_BODY = b"crash the engine"
# The bounds of the small deployments, as in the settings that the pages show.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtraRetries": 100,
    "coldBurstFactor": 1.5,
    "coldSlack": 5,
    "evacuationMs": 5000,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stall_ms": 1500,
    "holdMaxMs": 20000,
    "freeMs": 4000,
    "idleMaxMs": 9000,
}


class Record:
    """The events of a run, written to ``record.txt`` in the folder of the case."""

    def __init__(self, folder: str | pathlib.Path) -> None:
        self.started_s = time.monotonic()
        self._file = open(pathlib.Path(folder) / "record.txt", "w")  # noqa: SIM115

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        line = f"{time.monotonic() - self.started_s:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def conclude(self, text: str) -> None:
        """Write a line and print it."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Message:
    """An HTTP message as it was received."""

    def __init__(self, first_line: str, headers: dict[str, str], body: bytes) -> None:
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first_line.split()[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.first_line.split()[0]

    @property
    def target(self) -> str:
        """The target of a request."""
        return self.first_line.split()[1]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict] | None:
    """Return the first line and the headers of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return first_line, headers


async def read_message(
    reader: asyncio.StreamReader, is_response: bool = False
) -> Message | None:
    """Return the next message; None if the connection ends before it does."""
    head = await read_head(reader)
    if head is None:
        return None
    first_line, headers = head
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while size := int((await reader.readline()).split(b";")[0], 16):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readline()
            body = b"".join(parts)
        elif "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
        else:
            body = await reader.read() if is_response else b""
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return Message(first_line, headers, body)


def encode_response(status: int, body: bytes = b"", headers: Pairs = ()) -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def encode_json(status: int, fields: object) -> bytes:
    """Return the bytes of a response with a JSON body."""
    body = json.dumps(fields).encode()
    return encode_response(status, body, [("Content-Type", "application/json")])


class Server:
    """An HTTP server on a loopback address."""

    def __init__(self, host: str, port: int = 0) -> None:
        self.host = host
        self.port = port
        self._server = None
        self._writers = set()

    @property
    def address(self) -> str:
        """The ``IP:PORT`` of the server."""
        return f"{self.host}:{self.port}"

    async def listen(self) -> None:
        """Start to listen; a port is chosen at the first time."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def abort(self) -> None:
        """Close the listener and reset all connections, as a killed process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not await self.respond(request, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(ConnectionError, RuntimeError):
                writer.close()

    async def respond(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Respond to a request; return whether the connection stays open."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: keys, watches, conditional writes and leases."""

    def __init__(self, host: str) -> None:
        super().__init__(host)
        self.revision = 100
        self._era = 1
        self._items = {}
        self._events = []
        self._leases = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Event()

    def write(self, key: str, fields: object, lease: int = 0) -> None:
        """Write a value as the operator or an engine does."""
        self.write_bytes(key, json.dumps(fields).encode(), lease)

    def write_bytes(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a value."""
        self.revision += 1
        known = self._items.get(key)
        self._items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self._record(self._items[key])

    def delete(self, key: str) -> None:
        """Delete a key, if it is there."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._record({"key": key, "revision": self.revision, "deleted": True})

    @property
    def away(self) -> bool:
        """Whether it takes no calls."""
        return self._server is None

    def copy(self) -> dict:
        """Return a copy from which it may come back."""
        return {
            "revision": self.revision,
            "_items": {key: dict(item) for key, item in self._items.items()},
            "_events": list(self._events),
            "_leases": dict(self._leases),
        }

    async def come_back(self, copy: dict) -> None:
        """Take calls again, with the contents of a copy and in a new era."""
        self.__dict__.update(copy)
        self._leases = {
            lease: (ttl_ms, time.monotonic() + ttl_ms / 1_000)
            for lease, (ttl_ms, _) in copy["_leases"].items()
        }
        self._era += 1
        await self.listen()

    def _record(self, event: dict) -> None:
        self._events.append((self.revision, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def expire_leases(self) -> None:
        """End the leases that were not renewed, until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            now = float("-inf") if self.away else time.monotonic()
            for lease in [i for i, (_, end_s) in self._leases.items() if end_s <= now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        bound = [key for key, item in self._items.items() if item["lease"] == lease]
        for key in bound:
            self.delete(key)

    async def respond(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a call of the store."""
        await asyncio.sleep(0.004)
        path, _, query_text = request.target.partition("?")
        query = dict(parse_query(query_text))
        body = json.loads(request.body) if request.body else {}
        answer = await self._answer(request.method, path, query, body)
        status_line, _, rest = answer.partition(b"\r\n")
        era = b"Store-Era: %d" % self._era
        writer.write(b"\r\n".join((status_line, era, rest)))
        await writer.drain()
        return True

    async def _answer(self, method: str, path: str, query: dict, body: dict) -> bytes:
        match method, path.split("/")[1:]:
            case "GET", ["kv-key"]:
                item = self._items.get(query["key"])
                if item is None:
                    return encode_response(404)
                return encode_json(200, {**item, "storeRevision": self.revision})
            case "GET", ["kv-range"]:
                return self._range(query)
            case "GET", ["kv-watch"]:
                return await self._watch(query)
            case "POST", ["kv-txn"]:
                return self._commit(body)
            case _, [("kv-lease" | "kv-keep" | "kv-lease-end"), *lease]:
                return self._answer_lease(path.split("/")[1], lease, body)
            case _:
                return encode_response(404)

    def _answer_lease(self, call_name: str, lease: list[str], body: dict) -> bytes:
        if call_name == "kv-lease":
            lease_id, ttl_ms = next(self._lease_ids), max(1_000, int(body["ttlMs"]))
        else:
            lease_id = int(lease[0])
            if lease_id not in self._leases:
                return encode_response(404)
            ttl_ms, _ = self._leases[lease_id]
        if call_name == "kv-lease-end":
            self._end_lease(lease_id)
        else:
            self._leases[lease_id] = (ttl_ms, time.monotonic() + ttl_ms / 1_000)
        return encode_json(200, {"lease": lease_id, "ttlMs": ttl_ms})

    def _range(self, query: dict) -> bytes:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        )
        fields = {
            "items": [self._items[key] for key in keys[:500]],
            "hasMore": len(keys) > 500,
            "storeRevision": self.revision,
        }
        return encode_json(200, fields)

    async def _watch(self, query: dict) -> bytes:
        end_s = time.monotonic() + int(query["waitMs"]) / 1_000
        after, prefix = int(query["after"]), query["prefix"]
        if after > self.revision:
            return encode_response(410)
        while True:
            changed = self._changed
            events = [
                event
                for revision, event in self._events
                if revision > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                fields = {"events": events, "storeRevision": self.revision}
                return encode_json(200, fields)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()

    def _commit(self, body: dict) -> bytes:
        expected = body.get("expected") or []
        rows = {row["key"]: self._items.get(row["key"]) for row in expected}
        for row in expected:
            item = rows[row["key"]]
            if (item["revision"] if item else 0) != row["revision"]:
                fields = {"items": [item for item in rows.values() if item]}
                return encode_json(412, fields)
        writes = body.get("writes") or []
        if any(w.get("lease") and w["lease"] not in self._leases for w in writes):
            return encode_response(404)
        for write in writes:
            value = base64.b64decode(write["value"])
            self.write_bytes(write["key"], value, write.get("lease", 0))
        for key in body.get("deletes") or []:
            self.delete(key)
        return encode_json(200, {"revision": self.revision})


def parse_query(text: str) -> Iterator[tuple[str, str]]:
    """Yield names and values of a query."""
    yield from urllib.parse.parse_qsl(text, keep_blank_values=True)


class Engine(Server):
    """
    A server that runs requests, registered in the store.

    A request with ``CRASHING_BODY`` in its body crashes it as it begins to run. It then
    comes back after some seconds, at its address and under a new id.
    """

    def __init__(
        self,
        host: str,
        store: Store,
        record: Record,
        service: str,
        zone: str,
        work_s: float = 0.02,
        slots: int = 6,
    ) -> None:
        super().__init__(host)
        self._store = store
        self._record = record
        self.service = service
        self.zone = zone
        self._work_s = work_s
        self._slots = slots
        self._running = 0
        self.engine_id = ""
        self._sequence = 0
        self._beat = None
        self.state = "ready"
        self.arrivals = []
        self.crashes = []
        self.back_after_s = 2.5
        self._tasks = set()

    async def start(self) -> None:
        """Listen and register, as a new incarnation."""
        self.engine_id = f"i-{random.randrange(2**32):08x}"
        self._born = int(time.time() * 1_000)
        self.state = "ready"
        self._sequence = 0
        self._running = 0
        await self.listen()
        self._beat = asyncio.create_task(self._register())

    def entry(self) -> dict:
        """Return the fields of its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self._slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    async def _register(self) -> None:
        while True:
            if not self._store.away:
                self._sequence += 1
                self._store.write(f"servers/{self.engine_id}", self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self, cause: str) -> None:
        """End at once; come back later under a new id."""
        if self._server is None:
            return
        self._record.write(f"engine {self.engine_id} crashed: {cause}")
        self.crashes.append(time.monotonic())
        self._beat.cancel()
        self.abort()
        task = asyncio.create_task(self._come_back(self.engine_id))
        self._tasks.add(task)

    async def _come_back(self, old_id: str) -> None:
        await asyncio.sleep(self.back_after_s)
        await self.start()
        self._record.write(f"engine {self.engine_id} is back (was {old_id})")
        await asyncio.sleep(max(0.0, 3 * HEARTBEAT_S - self.back_after_s))
        self._store.delete(f"servers/{old_id}")

    def stop(self) -> None:
        """End for good."""
        if self._beat is not None:
            self._beat.cancel()
        for task in self._tasks:
            task.cancel()
        self.abort()

    async def respond(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Run a request, or reject it."""
        headers = request.headers
        attempt = headers.get("tanagerkeel-attempt-id", "")
        about = [
            ("Tanagerkeel-Attempt-Id", attempt),
            ("Tanagerkeel-Response-Seal", f"{self.engine_id}.{attempt}"),
        ]
        refused = [*about, ("Tanagerkeel-Not-Executed", "1")]
        target = headers.get("tanagerkeel-target-instance")
        if request.target == "/health":
            about = [("Tanagerkeel-Instance-Id", self.engine_id)]
            writer.write(encode_response(200, b"", about))
        elif target not in (None, self.engine_id):
            about = [*refused, ("At-Server", self.address)]
            writer.write(encode_response(421, b"", about))
        elif not attempt:
            writer.write(encode_response(400, b"", refused))
        elif self._running >= self._slots:
            about = [*refused, ("At-Server", self.address)]
            writer.write(encode_response(503, b"", about))
        else:
            return await self._run(request, attempt, about, writer)
        await writer.drain()
        return True

    async def _run(
        self, request: Message, attempt: str, about: Pairs, writer: asyncio.StreamWriter
    ) -> bool:
        self.arrivals.append((time.monotonic(), attempt, request.body))
        self._record.write(f"engine {self.engine_id} runs {attempt}")
        if CRASHING_BODY in request.body:
            self.crash(f"by request {attempt}")
            return False
        self._running += 1
        born = self._born
        try:
            await asyncio.sleep(self._work_s)
        finally:
            if born == self._born:
                self._running -= 1
        body = f"{self.service} ran {attempt}".encode()
        return await self.answer(about, body, writer)

    async def answer(
        self, about: Pairs, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """
        Answer a request that has run.

        :param about: the headers that identify the request and the engine.
        :returns: whether the connection stays open.
        """
        writer.write(encode_response(200, body, about))
        await writer.drain()
        return True


class Node:
    """A node of the system, started with the command of the deploy file."""

    def __init__(
        self,
        name: str,
        zone: str,
        zones: dict,
        store: Store,
        record: Record,
        folder: str | pathlib.Path,
    ) -> None:
        self.name = name
        self.zone = zone
        self.host = free_host()
        self._zones = zones
        self._store = store
        self._record = record
        self._folder = pathlib.Path(folder)
        self._process = None
        self._log = None
        # When it was started, and when it last got a signal of the script.
        self.disturbed_s = 0.0

    def settings(self) -> dict:
        """Return the fields from which the platform fills in the template."""
        return {
            "node": self.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": self.host,
            "zone": self.zone,
            "region": "r-1",
            "internalPortRange": [7340, 7355],
            "seeds": [],
            "bootstrap": False,
            "inTolerance": False,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": int(1_000 * HEARTBEAT_S),
            "zones": self._zones,
            "listen": {"front": f"{self.host}:8227", "ready": f"{self.host}:8220"},
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "bounds": BOUNDS,
            "platform": {
                "address": self._store.address,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        template = (ROOT / role["template"]).read_text()
        path = self._folder / f"{self.name}.json"
        path.write_text(render(template, self.settings()))
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["TANAGERKEEL_BOOT"] = str(path)
        self._log = open(self._folder / f"{self.name}.log", "ab")  # noqa: SIM115
        self._process = await asyncio.create_subprocess_exec(
            *role["run"].split(),
            cwd=ROOT,
            env=env,
            stdout=self._log,
            stderr=self._log,
        )
        self.disturbed_s = time.monotonic()
        self._record.write(f"node {self.name} starts, pid {self._process.pid}")
        async with asyncio.timeout(20):
            while not await self.is_ready():
                await asyncio.sleep(0.1)
        self._record.write(f"node {self.name} is ready")

    async def is_ready(self) -> bool:
        """Return whether it reports that it is ready."""
        reply = await call(f"{self.host}:8220", "GET", "/ready", {}, timeout_s=1.0)
        return reply is not None and reply.status == 200

    async def stop(self, signal_number: signal.Signals = signal.SIGTERM) -> None:
        """Send a signal and wait until the process has ended."""
        if self._process is None or self._process.returncode is not None:
            return
        self.disturbed_s = time.monotonic()
        self._record.write(f"node {self.name} gets {signal_number.name}")
        self._process.send_signal(signal_number)
        try:
            async with asyncio.timeout(BOUNDS["graceS"]):
                await self._process.wait()
        except TimeoutError:
            self._process.kill()
            await self._process.wait()
        self._record.write(f"node {self.name} ended: {self._process.returncode}")
        self._log.close()

    def in_touch(self, at_s: float) -> bool:
        """Return whether nothing has disturbed it for the stable window."""
        return at_s - self.disturbed_s >= STABLE_WINDOW_S

    async def request(
        self, request_id: str, host: str, path: str, **options: object
    ) -> Message | None:
        """Send a client's request on a new connection; return the answer or None."""
        headers = {
            "Host": host,
            "Tanagerkeel-Attempt-Id": request_id,
            **options.pop("headers", {}),
        }
        method = options.pop("method", "POST")
        sent_s = time.monotonic()
        reply = await call(f"{self.host}:8227", method, path, headers, **options)
        took_ms = 1_000 * (time.monotonic() - sent_s)
        answer = "no answer" if reply is None else f"status {reply.status}"
        self._record.write(
            f"client: {request_id} at node {self.name}: {answer} after {took_ms:.0f} ms"
        )
        return reply


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Message | None:
    """Send a request on a new connection; return the answer, None without one."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if "Host" not in headers:
        lines.append(f"Host: {address}")
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await writer.drain()
            return await read_message(reader, is_response=True)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


def render(template: str, fields: dict) -> str:
    """Fill in a settings template; it has neither lists nor sections."""

    def value(match: re.Match) -> str:
        found = fields
        for name in match[1].split("."):
            found = found[int(name) if isinstance(found, list) else name]
        return json.dumps(found) if match[2] else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


_hosts = set()


def free_host() -> str:
    """Return a loopback address on which the ports of a node are free."""
    while True:
        host = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}.{1}"
        if host in _hosts:
            continue
        try:
            for port in (7340, 7341, 8220, 8227, 9464):
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        _hosts.add(host)
        return host


def run_case(folder: str | pathlib.Path, body: Callable) -> None:
    """
    Run a case and exit: 1 if it returns that the rule broke, 0 if the rule held.

    :param folder: the folder of the case.
    :param body: coroutine function with the record, a temporary folder and whether
        there is a disruption; returns whether the rule broke.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def limited(temporary: str) -> bool:
        async with asyncio.timeout(115):
            return await body(record, temporary, trouble)

    try:
        with tempfile.TemporaryDirectory() as temporary:
            broken = asyncio.run(limited(temporary))
    except Exception as error:
        record.conclude(f"the case could not run: {error!r}")
        record.close()
        sys.exit(2)
    record.conclude("the rule was broken" if broken else "the rule held")
    record.close()
    sys.exit(1 if broken else 0)


@contextlib.asynccontextmanager
async def running_store() -> AsyncIterator[Store]:
    """Run the platform's store while the context is open."""
    store = Store("127.0.0.1")
    await store.listen()
    expiry = asyncio.create_task(store.expire_leases())
    try:
        yield store
    finally:
        expiry.cancel()
        store.abort()


@contextlib.asynccontextmanager
async def running(nodes: "list[Node]", engines: "list[Engine]") -> AsyncIterator[None]:
    """Run engines and nodes while the context is open; all end with it."""
    try:
        for engine in engines:
            await engine.start()
        await asyncio.gather(*(node.start() for node in nodes))
        yield
    finally:
        await asyncio.gather(*(node.stop(signal.SIGKILL) for node in nodes))
        for engine in engines:
            engine.stop()


def route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Return a route of a configuration: public, with the path ``/NAME/``."""
    return {
        "name": name,
        "host": "a.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 3000,
        "targetLatencyMs": 200,
        "maxAttempts": 2,
        "priority": 0,
        "public": True,
        **fields,
    }


def configuration(
    version: int, routes: list, services: list[str], tenants: list | None = None
) -> dict:
    """Return a configuration with plain services."""
    fields = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConnections": 96}
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1048576,
            "headerTimeoutMs": 10000,
            "idleTimeoutMs": 20000,
        },
    }
    return fields if tenants is None else {**fields, "tenants": tenants}

"""
Stand-ins and helpers for the cases of the second review; standard library only.

A case is one asyncio program. The store, the servers and the clients run in it, and the
nodes are processes of their own, started with the command of the deploy file.
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NoReturn

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 412: "Precondition Failed"}
REASONS |= {400: "Bad Request", 408: "Request Timeout", 421: "Misdirected Request"}
REASONS |= {429: "Too Many Requests", 500: "Internal Server Error", 410: "Gone"}
REASONS |= {503: "Service Unavailable", 504: "Gateway Timeout"}
# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
# Answers one request; returns whether the connection is kept.
Script = Callable[["Server", "Request", asyncio.StreamWriter], Awaitable[bool]]
# A case; gets the record, a temporary folder, and the stack of what has to be ended.
Main = Callable[["Record", str, contextlib.AsyncExitStack], Awaitable[int]]
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, folder: str) -> None:
        self._start_s = time.monotonic()
        self._file = (pathlib.Path(folder) / "record.txt").open("w")

    def now(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._start_s

    def line(self, text: str) -> None:
        """Write one line, to the file and to standard output."""
        line = f"{self.now():8.3f} s  {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


def free_port() -> int:
    """Return a port of 127.0.0.1 that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Return first line and headers of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, Any]) -> bytes:
    """Return the body of a message, whole."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(headers.get("content-length", 0)))


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset, as a process does that is killed."""
    with contextlib.suppress(OSError, AttributeError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
        )
    writer.transport.abort()


class Store:
    """The platform's store, as PROTOCOL.md describes it."""

    def __init__(self, record: "Record") -> None:
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.last_lease = 70_000
        self.era = 1
        self.mode = ""
        self.writers = set()
        self.changed = asyncio.Event()
        self.port = 0

    async def start(self) -> None:
        """Listen, and let leases expire."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.expiry = asyncio.ensure_future(self._expire())

    def write(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a value, encoded as JSON unless it is bytes; return its revision."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(raw).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self._note(self.items[key])
        return self.revision

    def delete(self, key: str) -> None:
        """Delete a key, if it is there."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    def set_mode(self, mode: str) -> None:
        """Set the fault: empty, silent, busy or reset."""
        self.mode = mode
        self.record.line(f"the store's fault is {mode or 'over'}")
        if mode:
            for writer in tuple(self.writers):
                reset(writer)

    def copy(self) -> tuple:
        """Return a copy of all that the store holds now."""
        return (self.revision, dict(self.items), list(self.history), dict(self.leases))

    def restore(self, copy: tuple) -> None:
        """Return from an older copy: a new era begins."""
        self.revision, self.items, self.history, self.leases = (
            copy[0],
            dict(copy[1]),
            list(copy[2]),
            dict(copy[3]),
        )
        self.era += 1
        for writer in tuple(self.writers):
            reset(writer)

    def _note(self, event: dict[str, Any]) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [n for n, (_, end) in self.leases.items() if end < now]:
                del self.leases[lease]
                for key in [k for k, i in self.items.items() if i["lease"] == lease]:
                    self.delete(key)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, True))
                if self.mode == "silent":
                    await asyncio.sleep(3_600)
                if self.mode == "busy":
                    status, fields = 503, {}
                else:
                    status, fields = await self._answer(method, url.path, query, body)
                data = json.dumps(fields).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS[status]}\r\n"
                    f"Content-Type: application/json\r\nStore-Era: {self.era}\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        fields = json.loads(body) if body else {}
        match method, path.split("/")[1:]:
            case "GET", ["kv-key"]:
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"storeRevision": self.revision}
                return 200, {**item, "storeRevision": self.revision}
            case "GET", ["kv-range"]:
                keys = sorted(
                    key
                    for key in self.items
                    if key.startswith(query["prefix"]) and key > query.get("after", "")
                )
                items = [self.items[key] for key in keys[:500]]
                more = len(keys) > 500
                return 200, {
                    "items": items,
                    "hasMore": more,
                    "storeRevision": self.revision,
                }
            case "GET", ["kv-watch"]:
                return await self._watch(query)
            case "POST", ["kv-lease"]:
                self.last_lease += 1
                ttl_ms = max(1_000, fields["ttlMs"])
                end = time.monotonic() + ttl_ms / 1_000
                self.leases[self.last_lease] = (ttl_ms, end)
                return 200, {"lease": self.last_lease, "ttlMs": ttl_ms}
            case "POST", ["kv-keep", lease]:
                if int(lease) not in self.leases:
                    return 404, {}
                ttl_ms, _ = self.leases[int(lease)]
                self.leases[int(lease)] = (ttl_ms, time.monotonic() + ttl_ms / 1_000)
                return 200, {"ttlMs": ttl_ms}
            case "POST", ["kv-txn"]:
                return self._transact(fields)
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        until_s = time.monotonic() + int(query["waitMs"]) / 1_000
        while True:
            if after > self.revision:
                return 410, {}
            events = [
                e
                for e in self.history
                if e["revision"] > after and e["key"].startswith(query["prefix"])
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.changed.wait()

    def _transact(self, fields: Any) -> tuple[int, dict[str, Any]]:
        expected = fields.get("expected") or []
        for row in expected:
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                found = [self.items.get(r["key"]) for r in expected]
                return 412, {"items": [item for item in found if item]}
        writes = fields.get("writes") or []
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return 404, {}
        for write in writes:
            raw = base64.b64decode(write["value"])
            self.write(write["key"], raw, write.get("lease") or 0)
        for key in fields.get("deletes") or []:
            self.delete(key)
        return 200, {"revision": self.revision}


class Server:
    """
    A server of a service, registered in the store.

    :param script: coroutine function that answers one request; it gets the server, the
        request and the writer, and returns whether the connection is kept.
    """

    def __init__(
        self,
        record: "Record",
        store: "Store",
        server_id: str,
        service: str,
        zone: str,
        script: Script,
    ) -> None:
        self.record = record
        self.store = store
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.script = script
        self.received = []
        self.runs = collections.Counter()
        self.fields = {}
        self.born = int(time.time() * 1_000)
        self.writers = set()

    async def start(self) -> None:
        """Listen and register."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.register()

    def register(self, **fields: Any) -> None:
        """Write the server's entry; fields replace its values."""
        self.fields |= fields
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.born,
            **self.fields,
        }
        self.store.write(f"servers/{self.server_id}", entry)

    def ran(self, request: "Request", text: str) -> None:
        """Record that the server runs a request."""
        self.runs[request.request_id] += 1
        self.record.line(f"server {self.server_id} runs {request.request_id}: {text}")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                request = Request(method, target, head[1], body)
                self.received.append(request)
                if not await self.script(self, request, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Request:
    """A request as a server received it."""

    def __init__(
        self, method: str, target: str, headers: dict[str, Any], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request_id = headers.get("tanagerkeel-attempt-id", "")


async def respond(
    writer: asyncio.StreamWriter,
    request: "Request",
    status: int = 200,
    body: bytes = b"done",
    headers: Sequence[str] = (),
    seal: bool = True,
) -> None:
    """Send a whole response with a length."""
    lines = [
        f"HTTP/1.1 {status} {REASONS[status]}",
        f"Tanagerkeel-Attempt-Id: {request.request_id}",
        *([f"Tanagerkeel-Response-Seal: {SEAL}"] if seal else []),
        *headers,
        f"Content-Length: {len(body)}",
    ]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    await writer.drain()


class Node:
    """One node process, started with the command of its role in the deploy file."""

    def __init__(
        self,
        record: "Record",
        store: "Store",
        folder: str,
        name: str,
        zone: str,
        **settings: Any,
    ) -> None:
        self.record = record
        self.name = name
        self.folder = pathlib.Path(folder)
        self.front, self.ready, self.control = (free_port() for _ in range(3))
        self.process = None
        values = {
            "node": name,
            "zone": zone,
            "ip": "127.0.0.1",
            "listen.front": f"127.0.0.1:{self.front}",
            "listen.ready": f"127.0.0.1:{self.ready}",
            "internalPortRange.0": free_port(),
            "internalPortRange.1": free_port(),
            "platform.address": f"127.0.0.1:{store.port}",
            "limits.cpuShare": 1.0,
            "limits.cores": 1,
            "limits.memoryMb": 300,
            "limits.maxFds": 4_100,
            "bounds.configMs": 2_000,
            "bounds.revokeMs": 5_000,
            "bounds.strictRevoke": True,
            "bounds.graceS": 8,
            "bounds.drainMs": 2_000,
            "bounds.retryBudgetRatio": 0.2,
            "bounds.budgetExtraRetries": 100,
            "bounds.budgetWindowS": 10,
            "bounds.holdMaxMs": 20_000,
            **settings,
        }
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["entry"]
        text = (ROOT / self.role["template"]).read_text()
        # The metrics port is fixed in the template; nodes on one machine need others.
        text = text.replace("{{ip}}:9464", f"127.0.0.1:{free_port()}")
        for key, value in values.items():
            text = text.replace("{{" + key + "|json}}", json.dumps(value))
            text = text.replace("{{" + key + "}}", str(value))
        self.settings = self.folder / f"{name}.json"
        self.settings.write_text(text)

    async def start(self) -> None:
        """Start the process, as the platform does."""
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["TANAGERKEEL_BOOT"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        with (self.folder / f"{self.name}.log").open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *self.role["run"].split(), cwd=ROOT, env=env, stdout=output, stderr=2
            )
        self.record.line(f"node {self.name} started, process {self.process.pid}")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.record.line(f"node {self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the node reports that it is ready."""
        answer = await call(self.ready, "GET", "/ready", {}, timeout_s=1.0)
        return answer.status == 200

    async def wait_ready(self, within_s: float = 20.0) -> None:
        """Wait until the node is ready."""
        async with asyncio.timeout(within_s):
            while not await self.is_ready():
                await asyncio.sleep(0.1)
        self.record.line(f"node {self.name} is ready")

    async def stop(self) -> None:
        """Kill the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Answer:
    """
    What a client got.

    :param complete: whether the body was whole by its length or its last chunk.
    :param error: why the exchange ended without an answer; empty if there is one.
    """

    def __init__(
        self,
        status: int = 0,
        headers: dict[str, Any] = None,
        body: bytes = b"",
        complete: bool = False,
        error: str = "",
    ) -> None:
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete
        self.error = error

    def __str__(self) -> str:
        if self.error and not self.status:
            return f"no answer ({self.error})"
        seal = "sealed" if "tanagerkeel-response-seal" in self.headers else "no seal"
        end = "whole" if self.complete else f"incomplete ({self.error})"
        return f"{self.status}, {seal}, {len(self.body)} bytes, {end}"


async def call(
    port: int,
    method: str,
    path: str,
    headers: dict[str, Any],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Send one request on a new connection and return the answer."""
    answer = Answer()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except (OSError, TimeoutError) as error:
        return Answer(error=f"no connection: {error!r}")
    try:
        async with asyncio.timeout(timeout_s):
            await exchange(reader, writer, method, path, headers, body, answer)
    except TimeoutError:
        answer.error = f"nothing within {timeout_s} s"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        answer.error = repr(error)
    finally:
        writer.close()
    return answer


async def exchange(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    method: str,
    path: str,
    headers: dict[str, Any],
    body: bytes,
    answer: "Answer",
) -> None:
    """Send one request on a connection and read the answer into ``answer``."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
    head = await read_head(reader)
    if head is None:
        answer.error = "the connection was closed"
        return
    answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                break
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
    else:
        length = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(length)
    answer.complete = True


def request_headers(
    request_id: str, key: str = KEY, deadline_ms: int = 3_000, **more: Any
) -> dict[str, Any]:
    """Return the headers of a client's request."""
    return {
        "Tanagerkeel-Attempt-Id": request_id,
        "Tanagerkeel-Deadline-Remaining": deadline_ms,
        "Authorization": f"Token {key}",
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    tenants: list[dict[str, Any]] | None = None,
    **limits: Any,
) -> dict[str, Any]:
    """Return the document of a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
            **limits,
        },
        "tenants": tenants or [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def route(
    name: str, prefix: str, kind: str, service: str, **fields: Any
) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 3_000,
        "targetLatencyMs": 400,
        "priority": 2,
        "service": service,
        "maxAttempts": 1 if kind == "unsafe" else 2,
        "public": False,
        "sticky": kind == "stream",
        "canResume": kind == "stream",
        **fields,
    }


def plain_service(name: str) -> dict[str, Any]:
    """Return a plain service of a configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 48,
        "protocol": "h1",
        "tls": False,
        "coldS": 0.0,
        "coldPerS": 0.0,
    }


def engine_service(name: str) -> dict[str, Any]:
    """Return a service of model engines, with the figures of a small deployment."""
    engine = {
        "slots": 8,
        "kvCapacityTokens": 232_000,
        "stride": 43,
        "step_ms": 1.02,
        "per_seq_ms": 0.00452,
        "context_per_k": 0.00431,
        "read_per_s": 206_000.0,
        "pairs_per_m": 0.138,
        "chunk": 2_048,
        "usual": {"prompt": 12_337, "answer": 1_303},
        "hopMs": 0.075,
    }
    return {**plain_service(name), "maxConnections": 224, "engine": engine}


def model_headers(
    request_id: str, prompt_tokens: int, deadline_ms: int = 15_000, **more: Any
) -> dict[str, Any]:
    """Return the headers of a client's request to a model."""
    return request_headers(
        request_id,
        deadline_ms=deadline_ms,
        Tanagerkeel_Model="m",
        Tanagerkeel_Token_Count=f"{prompt_tokens},80",
        Tanagerkeel_Prompt_Prefix=f"5c1e07a2:40,{hash(request_id) % 2**32:08x}:960",
        **more,
    )


def run_case(main: Main, folder: str) -> NoReturn:
    """
    Run a case in a temporary folder and exit with its status.

    :param main: coroutine function that gets the record, the folder and the exit stack
        on which it registers what has to be ended.
    """
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="tanagerkeel-review-")

    async def run() -> int:
        # Whoever ends the case ends its processes, too.
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with contextlib.AsyncExitStack() as stack, asyncio.timeout(115):
            return await main(record, temporary, stack)

    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # the case could not run
        record.line(f"the case could not run: {error!r}")
        status = NOT_RUN
    finally:
        if os.environ.get("KEEP_LOGS"):
            print(temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    record.line({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[status])
    sys.exit(status)

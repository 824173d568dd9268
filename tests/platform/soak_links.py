"""What stands between nodes and the rest in a soak: links, and the store over HTTP."""

import asyncio
import base64
import contextlib
import json
import time
import urllib.parse
from typing import ClassVar

import attrs

from tanagerkeel.gateways.platform import (
    CompareFailed,
    Entry,
    HistoryLost,
    LeaseLapsed,
    PlatformUnavailable,
)
from tests.platform.fixtures import MemoryStore

PIECE = 65_536
LEASE_LOOK_S = 0.2


@attrs.define(eq=False)
class Link:
    """A loopback proxy whose connections can be disturbed."""

    MODES: ClassVar[tuple[str, ...]] = ("delay", "reset", "silence", "one_way")

    target: str
    mode: str = ""
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    @property
    def address(self) -> str:
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        self._server.close()
        self._break()
        for task in tuple(self._tasks):
            task.cancel()

    async def disturb(self, mode: str, for_s: float) -> None:
        """Disturb the link for a while."""
        self.mode = mode
        if mode == "reset":
            self._break()
        await asyncio.sleep(for_s)
        if mode in ("silence", "one_way"):
            # What was held up is lost with its connections.
            self._break()
        self.mode = ""

    def _break(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "reset":
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await asyncio.gather(
                self._pass(reader, far_writer, False),
                self._pass(far_reader, writer, True),
            )
        except asyncio.CancelledError:
            return
        finally:
            self._tasks.discard(task)
            self._writers -= {writer, far_writer}
            for end in (writer, far_writer):
                end.close()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, back: bool
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(PIECE):
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                while self.mode == "silence" or (self.mode == "one_way" and back):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        writer.close()


@attrs.define(eq=False)
class StoreServer:
    """The platform's store over HTTP, on a store in memory."""

    store: MemoryStore
    _deadlines_s: dict[int, float] = attrs.field(factory=dict)
    _ttl_s: dict[int, float] = attrs.field(factory=dict)

    async def expire_leases(self) -> None:
        """End leases that nobody renews."""
        while True:
            await asyncio.sleep(LEASE_LOOK_S)
            now = time.monotonic()
            for lease in [n for n, end in self._deadlines_s.items() if end < now]:
                del self._deadlines_s[lease]
                with contextlib.suppress(PlatformUnavailable):
                    await self.store.revoke(lease)

    async def __call__(self, scope, receive, send) -> None:
        """Answer one call."""
        body = b""
        while True:
            event = await receive()
            body += event.get("body", b"")
            if not event.get("more_body"):
                break
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode(), True))
        try:
            status, answer = await self._call(
                scope["path"], query, json.loads(body) if body else {}
            )
        except PlatformUnavailable:
            status, answer = 503, {}
        except HistoryLost:
            status, answer = 410, {}
        except CompareFailed as error:
            status, answer = 412, {"items": [{"revision": error.revision}]}
        except LeaseLapsed:
            status, answer = 404, {}
        data = json.dumps(answer).encode()
        headers = [(b"content-length", str(len(data)).encode())]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": data})

    async def _call(self, path: str, query: dict, body: dict) -> tuple[int, dict]:
        store = self.store
        match path.split("/")[1:]:
            case ["kv-key"]:
                entry = await store.get(query["key"])
                return (200, _item(entry)) if entry else (404, {})
            case ["kv-range"]:
                listing = await store.list_all(query["prefix"])
                items = list(map(_item, listing.entries))
                return 200, {
                    "items": items,
                    "hasMore": False,
                    "storeRevision": listing.revision,
                }
            case ["kv-watch"]:
                changes = await store.changes(
                    query["prefix"], int(query["after"]), int(query["waitMs"])
                )
                events = [
                    _item(e)
                    if isinstance(e, Entry)
                    else {"key": e, "revision": changes.revision, "deleted": True}
                    for e in changes.events
                ]
                return 200, {"events": events, "storeRevision": changes.revision}
            case ["kv-txn"]:
                (write,) = body["writes"]
                expected = next((r["revision"] for r in body["expected"]), None)
                revision = await store.put(
                    write["key"],
                    base64.b64decode(write["value"]),
                    expected,
                    write.get("lease", 0),
                )
                return 200, {"revision": revision}
            case ["kv-lease"]:
                lease = await store.grant(body["ttlMs"])
                self._ttl_s[lease.lease_id] = lease.ttl_ms / 1_000
                self._renew(lease.lease_id)
                return 200, {"lease": lease.lease_id, "ttlMs": lease.ttl_ms}
            case ["kv-keep", number]:
                if not await store.keep_alive(int(number)):
                    return 404, {}
                self._renew(int(number))
                return 200, {"ttlMs": int(self._ttl_s[int(number)] * 1_000)}
            case ["kv-lease-end", number]:
                await store.revoke(int(number))
                return 200, {}
        return 404, {}

    def _renew(self, lease: int) -> None:
        self._deadlines_s[lease] = time.monotonic() + self._ttl_s[lease]


def _item(entry: Entry) -> dict:
    return {
        "key": entry.key,
        "value": base64.b64encode(entry.value).decode(),
        "revision": entry.revision,
    }

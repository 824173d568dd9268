"""Network parts of the soak test: proxies with faults, and the store's HTTP server."""

import asyncio
import base64
import contextlib
import json
import socket
import time
import urllib.parse
from typing import ClassVar

import attrs

from tanagerkeel.gateways.platform import (
    CompareFailed,
    HistoryLost,
    LeaseLapsed,
    PlatformUnavailable,
    StoreEntry,
)
from tests.fixtures import abort_with_reset
from tests.platform.fixtures import MemoryStore, free_address

READ_BYTES = 65_536
LEASE_CHECK_INTERVAL_S = 0.2
# Connections that fill a queue of length 0.
QUEUE_FILLERS = 3


@attrs.define(eq=False)
class Link:
    """
    A loopback proxy that can inject faults into its connections.

    The modes are: ``delay`` forwards data late; ``reset`` aborts all connections, also
    new ones; ``silence`` forwards nothing; ``one_way`` forwards nothing from the target
    to its clients.

    :param target: ``IP:PORT`` that connections are forwarded to.
    :param node: the node whose connections it forwards.
    :param senders: gets the node of each connection to the target, by its local port.
    :param mode: the fault in force; empty for none.
    """

    MODES: ClassVar[tuple[str, ...]] = ("delay", "reset", "silence", "one_way")
    # How a link is cut: connections hang, are reset or live on. New ones hang in the
    # first case and are refused in the others.
    CUT_MODES: ClassVar[tuple[str, ...]] = ("hang", "reset", "live_on")

    target: str
    node: str = ""
    senders: dict[int, str] = attrs.field(factory=dict)
    mode: str = ""
    _address: str = ""
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    # Replaced by each silence; a connection forwards nothing once its own is set.
    _silent: asyncio.Event = attrs.field(factory=asyncio.Event)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    @property
    def address(self) -> str:
        return self._address

    async def start(self) -> None:
        self._address = free_address()
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def refuse_connections(self, duration_s: float) -> None:
        """End all connections and refuse new ones, as when the target crashes."""
        await self.cut("reset", duration_s)

    async def cut(self, mode: str, duration_s: float) -> None:
        """
        Cut the link for a number of seconds.

        :param mode: one of :attr:`CUT_MODES`.
        """
        if not self._server.is_serving():
            # It is cut already.
            return
        self._server.close()
        host, _, port = self._address.rpartition(":")
        if mode == "reset":
            self._abort_connections()
        with contextlib.ExitStack() as stack:
            if mode == "hang":
                self.mode = "silence"
                _drop_new_connections(stack, (host, int(port)))
            await asyncio.sleep(duration_s)
        if mode == "hang":
            self.mode = ""
            self._abort_connections()
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def silence_open(self) -> None:
        """Let the connections that are open fall silent for good; new ones work."""
        self._silent.set()
        self._silent = asyncio.Event()

    async def stop(self) -> None:
        self._server.close()
        self._abort_connections()
        for task in tuple(self._tasks):
            task.cancel()

    async def inject(self, mode: str, duration_s: float) -> None:
        """Inject a fault, one of :attr:`MODES`, for a number of seconds."""
        self.mode = mode
        if mode == "reset":
            self._abort_connections()
        await asyncio.sleep(duration_s)
        if mode in ("silence", "one_way"):
            # Data that was held back is lost with its connections.
            self._abort_connections()
        self.mode = ""

    def _abort_connections(self) -> None:
        for writer in tuple(self._writers):
            abort_with_reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode == "reset":
            abort_with_reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            abort_with_reset(writer)
            return
        _, port = target_writer.get_extra_info("sockname")
        self.senders[port] = self.node
        self._writers |= {writer, target_writer}
        task = asyncio.current_task()
        self._tasks.add(task)
        silent = self._silent
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, silent, False),
                self._forward(target_reader, writer, silent, True),
            )
        except asyncio.CancelledError:
            return
        finally:
            self._tasks.discard(task)
            self._writers -= {writer, target_writer}
            for each in (writer, target_writer):
                each.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        silent: asyncio.Event,
        from_target: bool,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if silent.is_set():
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                while self.mode == "silence" or (
                    self.mode == "one_way" and from_target
                ):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except OSError:
            # Passed on as a reset: a close would look like the end of a response.
            abort_with_reset(writer)
        else:
            writer.close()


def _drop_new_connections(
    stack: contextlib.ExitStack, address: tuple[str, int]
) -> None:
    """Let connections to an address hang: its queue of new connections is full."""
    listener = stack.enter_context(socket.socket())
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(0)
    for _ in range(QUEUE_FILLERS):
        filler = stack.enter_context(socket.socket())
        filler.setblocking(False)
        filler.connect_ex(address)


@attrs.define(eq=False)
class StoreServer:
    """
    An ASGI application with the HTTP interface of the platform's store.

    :param store: the in-memory store that it serves.
    :param addresses: replaces addresses of backend servers in their entries, so that
        each node can have links of its own to them.
    """

    store: MemoryStore
    addresses: dict[str, str] = attrs.field(factory=dict)
    _deadlines_s: dict[int, float] = attrs.field(factory=dict)
    _ttl_s: dict[int, float] = attrs.field(factory=dict)

    async def expire_leases(self) -> None:
        """Revoke leases whose time to live has passed, until cancelled."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            now = time.monotonic()
            for lease_id in [n for n, end in self._deadlines_s.items() if end < now]:
                del self._deadlines_s[lease_id]
                with contextlib.suppress(PlatformUnavailable):
                    await self.store.revoke(lease_id)

    async def __call__(self, scope, receive, send) -> None:
        """Respond to one request."""
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
        headers = [
            (b"content-length", str(len(data)).encode()),
            (b"store-era", str(self.store.era).encode()),
        ]
        await send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )
        await send({"type": "http.response.body", "body": data})

    async def _call(self, path: str, query: dict, body: dict) -> tuple[int, dict]:
        store = self.store
        match path.split("/")[1:]:
            case ["kv-key"]:
                entry = await store.get(query["key"])
                return (200, self._encode(entry)) if entry else (404, {})
            case ["kv-range"]:
                listing = await store.list_all(query["prefix"])
                items = list(map(self._encode, listing.entries))
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
                    self._encode(e)
                    if isinstance(e, StoreEntry)
                    else {"key": e, "revision": changes.revision, "deleted": True}
                    for e in changes.events
                ]
                return 200, {"events": events, "storeRevision": changes.revision}
            case ["kv-txn"] if body["deletes"]:
                (key,) = body["deletes"]
                await store.remove(key, body["expected"][0]["revision"])
                return 200, {"revision": store.revision}
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
            case ["kv-keep", lease_id]:
                if not await store.keep_alive(int(lease_id)):
                    return 404, {}
                self._renew(int(lease_id))
                return 200, {"ttlMs": int(self._ttl_s[int(lease_id)] * 1_000)}
            case ["kv-lease-end", lease_id]:
                await store.revoke(int(lease_id))
                return 200, {}
        return 404, {}

    def _renew(self, lease_id: int) -> None:
        self._deadlines_s[lease_id] = time.monotonic() + self._ttl_s[lease_id]

    def _encode(self, entry: StoreEntry) -> dict:
        value = entry.value
        if entry.key.startswith("servers/") and value.startswith(b"{"):
            fields = json.loads(value)
            address = fields["address"]
            fields["address"] = self.addresses.get(address, address)
            value = json.dumps(fields).encode()
        return {
            "key": entry.key,
            "value": base64.b64encode(value).decode(),
            "revision": entry.revision,
        }

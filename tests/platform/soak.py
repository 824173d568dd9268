"""
A randomized soak of real node processes, with faults injected from outside them.

Nodes run as processes of their own against a store and engines in this process, behind
loopback proxies. Signals, outages, broken links, crashes and changes come in series and
overlap. What callers and engines see is checked while it runs. Ends only processes that
it started, by their ids.

    python -m tests.platform.soak --seeds 1-50 --seconds 8
"""

import argparse
import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

import attrs

from tanagerkeel.gateways.http_server import HttpServer
from tests.platform import fixtures
from tests.platform.fixtures import Engine, MemoryStore, chunk, configuration, head_of
from tests.platform.soak_links import Link, StoreServer
from tests.runner import ROOT

PROGRAM = "platform/run.py"
NODES = 3
ENGINES = 4
CLIENTS = 12
EVENTS = 20
EVENT_S = 0.02
REVOKE_S = 3.0
# Below the ports that the system gives to outgoing connections.
PORTS = range(20_000, 32_000)
# A key that was taken away may still be used up to the bound; the slack is the time
# between this process's clock reading and the store's acknowledgement.
REVOKE_SLACK_S = 0.2
CALL_LIMIT_S = 6.0
# After the last fault every node is ready again within this time (the users' pages).
RECOVER_S = 12.0
KEYS = ("key-of-acme", "key-of-bolt")
NOT_RUN = (408, 421, 429, 503)


@attrs.define
class Call:
    """One try of a client, as it saw it."""

    request_id: str
    kind: str
    key: str
    sent_s: float
    reply: fixtures.Reply | None = None


@attrs.define
class Book:
    """What engines ran and clients got, and what of it breaks a promise."""

    runs: collections.Counter[str] = attrs.field(factory=collections.Counter)
    keys: dict[str, str] = attrs.field(factory=dict)
    revoked_s: dict[str, float] = attrs.field(factory=dict)
    sent_s: dict[str, float] = attrs.field(factory=dict)
    broken: list[str] = attrs.field(factory=list)
    ended: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def ran(self, request_id: str) -> None:
        self.runs[request_id] += 1
        key = self.keys.get(request_id)
        if key is None:
            self.broken.append(f"UNASKED {request_id}")
            return
        since = self.revoked_s.get(key)
        if since is not None and self.sent_s[request_id] > (
            since + REVOKE_S + REVOKE_SLACK_S
        ):
            self.broken.append(f"CONFIG {request_id} ran with a key taken away")

    def check(self, call: Call) -> None:
        name, reply = call.request_id, call.reply
        if call.kind == "reserve" and self.runs[name] > 1:
            self.broken.append(f"TWICE {name} ran {self.runs[name]} times")
        if reply is None:
            self.ended["none"] += 1
            return
        self.ended[str(reply.status) if reply.complete else "cut"] += 1
        if reply.status in NOT_RUN and call.kind == "reserve" and self.runs[name]:
            self.broken.append(f"REFUSED {name} got {reply.status} and ran")
        if not 200 <= reply.status < 300:
            return
        if "tanagerkeel-response-seal" not in reply.headers:
            self.broken.append(f"MIXED {name} a success without a seal")
        whole = answer_of(name, call.kind)
        if reply.complete and reply.body != whole:
            self.broken.append(f"MIXED {name} got {reply.body[:60]!r}")
        if not whole.startswith(reply.body):
            self.broken.append(f"ORDER {name} got {reply.body[-60:]!r}")


def event_of(request_id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def answer_of(request_id: str, kind: str) -> bytes:
    if kind != "chat":
        return f"answer to {request_id}".encode()
    return b"".join(event_of(request_id, n) for n in range(1, EVENTS + 1))


def engine_script(book: Book, source: random.Random, faults: dict[str, float]):
    """Return how an engine answers, with the faults in force."""

    async def script(engine: Engine, seen: fixtures.Seen, writer) -> None:
        if source.random() < faults["shed"]:
            await fixtures.shed(engine, seen, writer)
            return
        book.ran(seen.request_id)
        if seen.target.startswith("/chat"):
            await _stream(seen, writer, source.random() < faults["broken"])
            return
        await asyncio.sleep(source.uniform(0.005, 0.05))
        if source.random() < faults["broken"]:
            fixtures.reset(writer)
        body = answer_of(seen.request_id, "plain")
        await fixtures.answer(writer, seen, body=body)
        if source.random() < faults["extra"]:
            await fixtures.answer(writer, seen, body=b"once more")

    return script


async def _stream(seen: fixtures.Seen, writer, breaks: bool) -> None:
    first = int(seen.headers.get("last-event-id", 0)) + 1
    writer.write(head_of(seen, extra=fixtures.CHUNKED))
    for number in range(first, EVENTS + 1):
        await asyncio.sleep(EVENT_S)
        piece = event_of(seen.request_id, number)
        if breaks and number == EVENTS // 2:
            writer.write(chunk(piece[:5]))
            await writer.drain()
            fixtures.reset(writer)
        writer.write(chunk(piece))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


@attrs.define
class Node:
    """One node process and what is needed to start it again."""

    name: str
    settings: pathlib.Path
    callers: str
    readiness: str
    program: str
    process: asyncio.subprocess.Process | None = None
    _restarting: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def restart(self, number: int) -> None:
        async with self._restarting:
            await self.end(number)
            await self.start()

    async def start(self) -> None:
        environment = {
            "PATH": os.environ["PATH"],
            "TANAGERKEEL_BOOT": str(self.settings),
            "PYTHONPATH": f"{ROOT}:{ROOT / 'src'}:{ROOT / 'platform'}",
        }
        log = open(self.settings.with_suffix(".log"), "ab")  # noqa: SIM115
        with log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                self.program,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def last_words(self) -> str:
        """Return how the process ended, if it has, and its last log lines."""
        lines = self.settings.with_suffix(".log").read_text().splitlines()
        return f"exit code {self.process.returncode}; " + " | ".join(lines[-3:])

    def send(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def end(self, number: int) -> None:
        self.send(number)
        if self.process is None:
            return
        try:
            async with asyncio.timeout(4.5):
                await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()


@attrs.define
class Soak:
    """
    One run with one seed.

    :param seed: decides which faults come when.
    :param seconds: how long faults and traffic last.
    :param folder: for the nodes' settings and logs.
    :param program: what a node runs.
    :param always: share of answers that engines spoil all the time.
    """

    seed: int
    seconds: float
    folder: pathlib.Path
    program: str = PROGRAM
    book: Book = attrs.field(factory=Book)
    store: MemoryStore = attrs.field(factory=MemoryStore)
    always: float = 0.0
    faults: dict[str, float] = attrs.field(init=False)
    nodes: list[Node] = attrs.field(factory=list)
    engines: list[Engine] = attrs.field(factory=list)
    links: list[Link] = attrs.field(factory=list)
    version: int = 2
    born: int = 1_700_000_000_000
    source: random.Random = attrs.field(init=False)
    # Apart from the faults' source: runs at the same time must not choose alike.
    ports: random.Random = attrs.field(init=False, factory=random.Random)
    _faults: set[asyncio.Task] = attrs.field(init=False, factory=set)

    def __attrs_post_init__(self) -> None:
        self.source = random.Random(self.seed)
        self.faults = dict.fromkeys(("shed", "broken", "extra"), self.always)

    async def run(self) -> list[str]:
        """Play the run and return what broke."""
        store_server = StoreServer(self.store)
        server = HttpServer(store_server, "127.0.0.1", 0)
        await server.start()
        store_link = Link(server.address)
        await store_link.start()
        self.links.append(store_link)
        expiry = asyncio.create_task(store_server.expire_leases())
        try:
            await self._start(store_link.address)
            await self._play()
            await self._recover()
        finally:
            expiry.cancel()
            for node in self.nodes:
                node.send(signal.SIGCONT)
            await asyncio.gather(*(n.end(signal.SIGTERM) for n in self.nodes))
            for link in self.links:
                await link.stop()
            for engine in self.engines:
                await engine.stop()
            await server.stop(0.0)
        return self.book.broken

    async def _start(self, store_address: str) -> None:
        for number in range(ENGINES):
            script = engine_script(self.book, self.source, self.faults)
            engine = Engine(f"i-{number}", script)
            await engine.start()
            link = Link(engine.address)
            await link.start()
            self.engines.append(engine)
            self.links.append(link)
            self._register(number)
        self._configure()
        given: set[int] = set()
        for number in range(NODES):
            ports = [f"127.0.0.1:{_free_port(self.ports, given)}" for _ in range(4)]
            settings = {
                "node_id": f"node-{number}",
                "failure_domain": f"zone-{'ab'[number % 2]}",
                "callers_listen": ports[0],
                "readiness_listen": ports[1],
                "metrics_listen": ports[2],
                "news_listen": ports[3],
                "platform": store_address,
                "bounds": {"revoke_ms": int(REVOKE_S * 1_000), "grace_s": 3.0},
                "drain_delay_s": 0.3,
            }
            path = self.folder / f"node-{self.seed}-{number}.json"
            path.write_text(json.dumps(settings))
            node = Node(f"node-{number}", path, ports[0], ports[1], self.program)
            await node.start()
            self.nodes.append(node)
        await self._all_ready(RECOVER_S)

    def _register(self, number: int) -> None:
        self.born += 1
        service = "models" if number % 2 else "booking"
        entry = self.engines[number].entry(
            service, zone=f"zone-{'ab'[number // 2]}", born=self.born
        )
        entry["address"] = self.links[number + 1].address
        self.store.write(f"servers/i-{number}", entry)

    def _configure(self) -> None:
        held = [key for key in KEYS if key not in self.book.revoked_s]
        accounts = [{"name": "acme", "apiKeys": held, "priority": 1}]
        self.store.write("op/config", configuration(self.version, tenants=accounts))
        self.version += self.source.randint(1, 5)

    async def _play(self) -> None:
        stop = asyncio.Event()
        clients = [asyncio.create_task(self._client(n, stop)) for n in range(CLIENTS)]
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            await asyncio.sleep(self.source.uniform(0.05, 0.5))
            fault = asyncio.create_task(self._fault())
            self._faults.add(fault)
            fault.add_done_callback(self._faults.discard)
            # Faults overlap: most are still in force when the next one comes.
            if self.source.random() < 0.3:
                await fault
        stop.set()
        await asyncio.gather(*clients, *self._faults)

    async def _fault(self) -> None:
        for_s = self.source.uniform(0.2, 2.0)
        faults = (self._node_fault, self._outside_fault, self._change)
        await self.source.choice(faults)(for_s)

    async def _node_fault(self, for_s: float) -> None:
        node = self.source.choice(self.nodes)
        match self.source.choice(("freeze", "kill", "stop", "reload")):
            case "freeze":
                node.send(signal.SIGSTOP)
                await asyncio.sleep(for_s)
                node.send(signal.SIGCONT)
            case "kill":
                await node.restart(signal.SIGKILL)
            case "stop":
                await node.restart(signal.SIGTERM)
            case "reload":
                node.send(signal.SIGHUP)

    async def _outside_fault(self, for_s: float) -> None:
        match self.source.choice(("link", "down", "silent", "lapse", "answers")):
            case "link":
                link = self.source.choice(self.links)
                await link.disturb(self.source.choice(Link.MODES), for_s)
            case "down":
                self.store.down = True
                await asyncio.sleep(for_s)
                self.store.down = False
            case "silent":
                self.store.silent = True
                await asyncio.sleep(for_s)
                self.store.silent = False
            case "lapse":
                self.store.lapse_lease()
                self.store.forgetful = True
            case "answers":
                name = self.source.choice(list(self.faults))
                self.faults[name] = self.source.uniform(0.05, 0.3)
                await asyncio.sleep(for_s)
                self.faults[name] = self.always

    async def _change(self, for_s: float) -> None:
        match self.source.choice(("configuration", "revoke", "leave")):
            case "configuration":
                self._configure()
            case "revoke" if KEYS[1] not in self.book.revoked_s:
                self.book.revoked_s[KEYS[1]] = float("inf")
                self._configure()
                self.book.revoked_s[KEYS[1]] = time.monotonic()
            case "leave":
                number = self.source.randrange(ENGINES)
                self.store.delete(f"servers/i-{number}")
                await asyncio.sleep(for_s)
                self._register(number)

    async def _client(self, number: int, stop: asyncio.Event) -> None:
        source = random.Random(self.seed * 1_000 + number)
        sequence = 0
        while not stop.is_set():
            sequence += 1
            kind = source.choice(("lookup", "reserve", "chat"))
            call = Call(f"c{number}-{sequence}", kind, source.choice(KEYS), 0.0)
            await self._call(call, source.choice(self.nodes))
            self.book.check(call)
            await asyncio.sleep(source.uniform(0.0, 0.05))

    async def _call(self, call: Call, node: Node) -> None:
        call.sent_s = time.monotonic()
        self.book.keys[call.request_id] = call.key
        self.book.sent_s[call.request_id] = call.sent_s
        headers = ("Tanagerkeel-Token-Count: 1000,430",) if call.kind == "chat" else ()
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CALL_LIMIT_S):
                call.reply = await fixtures.call(
                    node.callers,
                    f"/{call.kind}/x",
                    request_id=call.request_id,
                    method="GET" if call.kind == "lookup" else "POST",
                    body=b"" if call.kind == "lookup" else b"body",
                    key=call.key,
                    headers=headers,
                )

    async def _recover(self) -> None:
        for name in self.faults:
            self.faults[name] = 0.0
        if not await self._all_ready(RECOVER_S):
            for node in self.nodes:
                if not await _ready(node):
                    self.broken(f"RECOVER {node.name} isn't ready: {node.last_words()}")
            return
        served = 0
        for number, node in enumerate(self.nodes):
            call = Call(f"last-{number}", "lookup", KEYS[0], 0.0)
            await self._call(call, node)
            self.book.check(call)
            served += call.reply is not None and call.reply.status == 200
        if not served:
            self.broken("RECOVER no request is served after the last fault")

    def broken(self, reason: str) -> None:
        self.book.broken.append(reason)

    async def _all_ready(self, limit_s: float) -> bool:
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            found = await asyncio.gather(*map(_ready, self.nodes))
            if all(found):
                return True
            await asyncio.sleep(0.1)
        return False


async def _ready(node: Node) -> bool:
    try:
        async with asyncio.timeout(1.0):
            reply = await fixtures.call(node.readiness, "/ready", key=None)
    except (OSError, TimeoutError):
        return False
    return reply.status == 200


def _free_port(source: random.Random, given: set[int]) -> int:
    """Return a port that no outgoing connection takes while a node is down."""
    while True:
        port = source.choice(PORTS)
        if port in given:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            given.add(port)
            return port


async def soak(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    program: str = PROGRAM,
    always: float = 0.0,
) -> Soak:
    """Play one seed and return it with what it found."""
    run = Soak(seed, seconds, folder, program, always=always)
    await run.run()
    return run


def main() -> int:
    """Play a range of seeds; the exit code tells whether any broke a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seeds", default="1-3", help="a seed, or a range such as 1-50"
    )
    parser.add_argument("--seconds", type=float, default=8.0, help="of each run")
    parser.add_argument("--program", default=PROGRAM, help="what a node runs")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = 0
    with tempfile.TemporaryDirectory(prefix="soak-") as name:
        for seed in range(int(first), int(last or first) + 1):
            run = asyncio.run(
                soak(seed, options.seconds, pathlib.Path(name), options.program)
            )
            failed += bool(run.book.broken)
            print(f"seed {seed}: {dict(run.book.ended)} {run.book.broken[:5]}")
    print(f"{failed} seeds failed")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())

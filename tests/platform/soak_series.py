"""
Planned work in overlapping series, while clients keep using their open connections.

Signals, restarts and changes come in series, none of which may cost a request: no
process is killed or frozen, and all engines answer.
"""

import asyncio
import collections
import contextlib
import json
import random
import signal
import time
from collections.abc import Awaitable, Callable

import attrs

from tests.platform.fixtures import MemoryStore, Response, read_response, route
from tests.platform.soak_eras import Owners

# A change is in force on all nodes this long after the store has accepted it, in
# seconds: the users' ``configMs``.
CONFIG_BOUND_S = 2.0
# Latest end of a connection whose request is neither answered nor passed on, in seconds
# after the request: the users' ``lossSlackMs``.
LOSS_SLACK_S = 0.2
# Time between this process's clock reading and the event that it stands for, in
# seconds.
CLOCK_SLACK_S = 0.2
# Nodes are in touch again this long after their connections fell silent, in seconds:
# the users' ``stableWindowMs``.
STABLE_S = 3.0
# Shortest time between two silences, in seconds.
SILENCE_INTERVAL_S = 5.0
# How many of the newest versions have their routes in a configuration.
KEPT_VERSIONS = 4
# Statuses that a node gives to no proper request that the configuration allows.
DENIED_STATUSES = (400, 401, 403, 404, 413, 431)
# Header limits of the first version, the second one, the third one like the first, and
# so on, and how much shorter than the limit in force a request's headers are, in bytes.
HEADER_LIMITS = (4_096, 60_000)
HEADER_SLACK_BYTES = 1_000
NESTED = "[" * 1_200
UNREADABLE = {
    "servers/i-unreadable": NESTED.encode(),
    "op/evacuate": NESTED.encode(),
    "tanagerkeel/nodes/unreadable": json.dumps(
        {
            "node_id": "unreadable",
            "failure_domain": "zone-a",
            "news_address": "nowhere",
            "started_ms": 1,
        }
    ).encode(),
}
CALL_TIMEOUT_S = 6.0
# A later wake-up than this, in seconds, means that this process stood still, and all
# engines and links with it: an unplanned disruption.
STALL_S = 0.3
WAKE_UP_S = 0.02
# Longest series, and the pauses between two of its steps, in seconds.
MAX_STEPS = 8
PAUSES_S = (0.02, 0.1, 0.4, 1.0)


@attrs.define
class Versions:
    """
    When the routes of versions came into force and were dropped.

    :param accepted_s: monotonic time at which the store accepted each version.
    :param dropped_s: when it accepted the first version without each one's route.
    """

    accepted_s: dict[int, float] = attrs.field(factory=dict)
    dropped_s: dict[int, float] = attrs.field(factory=dict)
    _header_limits: dict[int, int] = attrs.field(factory=dict)
    _silent_s: float = float("-inf")

    def amend(self, document: dict) -> None:
        """Add the routes of the versions before, and change the limits."""
        version = document["version"]
        kept = [*self.accepted_s][-KEPT_VERSIONS + 1 :]
        document["routes"] += [route(f"v{v}", "safe", "booking") for v in kept]
        limit = HEADER_LIMITS[len(self.accepted_s) % len(HEADER_LIMITS)]
        self._header_limits[version] = limit
        document["limits"]["maxHeaderBytes"] = limit

    @property
    def raised(self) -> bool:
        """Whether the newest version has a higher limit on headers."""
        return [*self._header_limits.values()][-1] == max(HEADER_LIMITS)

    def record_accepted(self, version: int) -> None:
        """Record that the store has accepted a version."""
        now = time.monotonic()
        self.accepted_s[version] = now
        for old in [*self.accepted_s][:-KEPT_VERSIONS]:
            self.dropped_s.setdefault(old, now)

    def record_silence(self) -> None:
        """Record that all open connections to the store fell silent."""
        self._silent_s = time.monotonic()

    def in_touch(self, sent_s: float) -> bool:
        """Return whether the nodes were in touch when a request was sent."""
        since_s = sent_s - self._silent_s
        return not 0.0 <= since_s + CLOCK_SLACK_S < STABLE_S + 2 * CLOCK_SLACK_S

    def choose(self, rng: random.Random) -> int | None:
        """Return a version whose route is in force, or is dropped, everywhere."""
        bound_s = _settled_s()
        settled = [
            v
            for v, accepted_s in self.accepted_s.items()
            if self.dropped_s.get(v, accepted_s) < bound_s
        ]
        return rng.choice(settled[-2 * KEPT_VERSIONS :]) if settled else None

    def padding(self) -> int:
        """Return the size of headers that all versions allow that may be in force."""
        limits = [*self._header_limits.values()]
        ends_s = [*self.accepted_s.values()][1:]
        in_force = [n for n, s in zip(limits, ends_s, strict=False) if s > _settled_s()]
        return min([limits[-1], *in_force]) - HEADER_SLACK_BYTES

    def violation(self, version: int, sent_s: float, status: int) -> str | None:
        """Return what is wrong with the status of a request on a version's route."""
        if not self.in_touch(sent_s):
            return None
        dropped_s = self.dropped_s.get(version)
        if dropped_s is None:
            return f"v{version} isn't served: {status}" if status == 404 else None
        if status == 200 and sent_s - dropped_s > CONFIG_BOUND_S + CLOCK_SLACK_S:
            return f"v{version} is served, which was dropped"
        return None


def _settled_s() -> float:
    """Return the time before which all changes are in force on all nodes."""
    return time.monotonic() - CONFIG_BOUND_S - CLOCK_SLACK_S


@attrs.define
class KeptConnection:
    """A client's connection, in use until the node closes it."""

    address: str
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None

    async def open(self) -> bool:
        """Connect; return whether the node accepts."""
        host, _, port = self.address.rpartition(":")
        with contextlib.suppress(OSError):
            self._reader, self._writer = await asyncio.open_connection(host, int(port))
            return True
        return False

    async def ask(self, request: bytes) -> Response | None:
        """Send a request; return None if the connection was closed before that."""
        if self._reader.at_eof():
            return None
        self._writer.write(request)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await read_response(self._reader)
        except (OSError, TimeoutError):
            return Response(0, {}, b"", False)

    def close(self) -> None:
        self._writer.close()


@attrs.define
class StallMonitor:
    """Records when this process stood still; times are monotonic, in seconds."""

    _ends_s: list[float] = attrs.field(factory=list)
    _due_s: float = float("inf")

    @property
    def count(self) -> int:
        """How many times this process stood still."""
        return len(self._ends_s)

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            self._due_s = time.monotonic() + WAKE_UP_S
            await asyncio.sleep(WAKE_UP_S)
            if time.monotonic() - self._due_s > STALL_S:
                self._ends_s.append(time.monotonic())

    def stalled_since(self, begin_s: float) -> bool:
        """Return whether this process stood still after a moment."""
        # Other tasks may run first when it moves again.
        is_late = time.monotonic() - self._due_s > STALL_S
        return is_late or any(end_s > begin_s for end_s in self._ends_s)


def loss(response: Response, runs: int, lasted_s: float) -> str | None:
    """Return how a request was lost to planned work; None if it wasn't."""
    if response.complete:
        return None
    if runs:
        return f"ran, and its connection ended after {lasted_s:.2f} s without an answer"
    if response.status or lasted_s > LOSS_SLACK_S + CLOCK_SLACK_S:
        return f"was read, and its connection ended after {lasted_s:.2f} s"
    # It crossed the node's close.
    return None


@attrs.define
class PlannedWork:
    """
    Series of signals, restarts and changes that overlap.

    :param rng: source of the random choices.
    :param nodes: the nodes' processes.
    :param store: the store that all nodes use.
    :param owners: write the entries of operators and backend servers.
    :param configure: writes the next version of the configuration, and returns whether
        it raises the limit on headers.
    :param silence: lets all open connections to the store fall silent.
    :param done: how many steps of each series were done.
    """

    rng: random.Random
    nodes: list
    store: MemoryStore
    owners: Owners
    configure: Callable[[], bool]
    silence: Callable[[], None]
    done: collections.Counter[str] = attrs.field(factory=collections.Counter)
    _restarting: set[str] = attrs.field(factory=set)
    _configuring: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    _next_silence_s: float = 0.0

    async def run(self, end_s: float) -> None:
        """Start series until a time, most of them while others go on."""
        steps = {
            "restart": self._restart,
            "reload": self._reload,
            "configure": self._configure,
            "cut": self._cut,
            "silence": self._silence,
            "unreadable": self._write_unreadable,
            "domain": self._take_domain_out,
        }
        async with asyncio.TaskGroup() as series:
            while time.monotonic() < end_s:
                name = self.rng.choice(list(steps))
                series.create_task(self._run_series(name, steps[name], end_s))
                await asyncio.sleep(self.rng.uniform(0.1, 0.8))
        self.owners.delete("op/evacuate/zone-b")
        for key in UNREADABLE:
            self.store.delete(key)

    async def _run_series(
        self, name: str, step: Callable[[], Awaitable[None]], end_s: float
    ) -> None:
        pause_s = self.rng.choice(PAUSES_S)
        for _ in range(self.rng.randint(1, MAX_STEPS)):
            if time.monotonic() >= end_s:
                return
            await step()
            self.done[name] += 1
            await asyncio.sleep(pause_s)

    async def _restart(self) -> None:
        """Stop a node and start it again, while at least half of the nodes run."""
        running = [n for n in self.nodes if n.name not in self._restarting]
        if 2 * (len(self._restarting) + 1) > len(self.nodes):
            return
        node = self.rng.choice(running)
        self._restarting.add(node.name)
        try:
            await node.restart(signal.SIGTERM)
            await node.until_ready()
        finally:
            self._restarting.discard(node.name)

    async def _reload(self) -> None:
        node = self.rng.choice(self.nodes)
        settings = json.loads(node.settings.read_text())
        settings["bounds"]["retry_extra"] = self.rng.randint(50, 150)
        node.settings.write_text(json.dumps(settings))
        if self.rng.random() < 0.8:
            node.send_signal(signal.SIGHUP)

    async def _configure(self) -> None:
        async with self._configuring:
            raised = self.configure()
            if raised or self.rng.random() < 0.2:
                # This version is in force everywhere before the next one comes.
                await asyncio.sleep(CONFIG_BOUND_S + 1.0)

    async def _cut(self) -> None:
        self.store.cut_watches()

    async def _silence(self) -> None:
        if time.monotonic() >= self._next_silence_s:
            self._next_silence_s = time.monotonic() + SILENCE_INTERVAL_S
            self.silence()

    async def _write_unreadable(self) -> None:
        key = self.rng.choice(list(UNREADABLE))
        self.store.write(key, UNREADABLE[key])

    async def _take_domain_out(self) -> None:
        key = "op/evacuate/zone-b"
        if key in self.owners.entries:
            self.owners.delete(key)
        else:
            self.owners.write(key, {})

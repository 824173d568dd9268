"""
A randomized soak test of real node processes with faults injected from outside.

Each node is a process of its own. The store and the engines run in this process,
behind loopback proxies. Signals, outages, broken links, crashes and changes of the
store follow each other at random and overlap. What callers and engines see is checked
throughout the run. Only processes that the test started are ended, by their ids.

    python -m tests.platform.soak --seeds 1-50 --seconds 8
"""

import argparse
import asyncio
import collections
import contextlib
import functools
import json
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine, Sequence

import attrs

from tanagerkeel.gateways.http_server import HttpServer
from tanagerkeel.relay import watchers
from tests.platform import fixtures
from tests.platform.fixtures import (
    LEAVING_ENGINE_HEADER,
    LIMITED_ENGINE_HEADER,
    Engine,
    MemoryStore,
    StoreCopy,
    chunk,
    close_connection,
    configuration,
    free_port,
    loopback_address,
    response_head,
    route,
)
from tests.platform.soak_answers import FALSE_ANSWERS, write_false_answer
from tests.platform.soak_cuts import FirstTries
from tests.platform.soak_eras import DRILL_REWRITE_S, Owners
from tests.platform.soak_leaving import STABLE_S, LeavingChecker
from tests.platform.soak_limits import LIMIT_VALUE, LimitChecker
from tests.platform.soak_links import Link, StoreServer
from tests.platform.soak_ranks import (
    PATIENCE_MS,
    RANKED_CLIENT_COUNT,
    RANKED_KINDS,
    RANKED_MIX,
    RankChecker,
)
from tests.platform.soak_restarts import (
    KNOWN_S,
    POISON,
    POISON_INTERVAL_S,
    PoisonChecker,
    Restarts,
)
from tests.platform.soak_sections import (
    CRASHING_SECTION,
    SectionChecker,
    sections_header,
    shared_sections,
)
from tests.platform.soak_series import (
    DENIED_STATUSES,
    KeptConnection,
    PlannedWork,
    StallMonitor,
    Versions,
    loss,
)
from tests.runner import ROOT

# The program of a node process, relative to the root.
PROGRAM = "platform/run.py"
# Addresses in a node's settings: callers' first, then readiness.
LISTEN_FIELDS = (
    "callers_listen",
    "readiness_listen",
    "metrics_listen",
    "news_listen",
    "forward_listen",
)
NODE_COUNT = 3
ENGINE_COUNT = 4
CLIENT_COUNT = 12
# Events of each streamed response.
EVENT_COUNT = 20
EVENT_INTERVAL_S = 0.02
# Latest use of a key after it was removed from the configuration.
REVOKE_BOUND_S = 3.0
# The same in the users' deployments.
USERS_REVOKE_BOUND_S = 5.0
# A process that ends by itself is started again after this time, as on the platform.
RESTART_DELAY_S = 0.5
# A SIGHUP ends a process that has not executed its first statement yet, which nothing
# in the program can prevent; afterwards it must not.
STARTUP_S = 1.0
# Added to the bound: time between this process's clock reading and the store's
# acknowledgement of the change.
REVOKE_SLACK_S = 0.2
CALL_TIMEOUT_S = 6.0
# Latest time of a request to an engine after its node passed on an announcement that
# the engine leaves, in seconds.
DRAIN_BOUND_S = 2.0
# Retry-After of engines that ask to be held off, in seconds, the time that a node has
# to react, in seconds, and how many requests may reach the engine between the two.
HOLD_OFF_VALUE = "2"
HOLD_OFF_REACTION_S = 0.5
MAX_HELD_OFF_REQUESTS = 2
# How long an engine goes on serving after its entry says that it leaves, in seconds.
REMOVED_S = 4.0
# Length and distance of failures in a series of calls to the store, in seconds, and how
# many a series has. They come closer than a node keeps entries that may come back.
FAILING_S = 0.15
FAILING_GAP_S = 1.4
FAILING_COUNT = 4
# When the second watch after a change has just begun on all nodes, in seconds.
SECOND_WATCH_S = 3.0
# How long a node's calls to the store get no response, in seconds: as long as an open
# watch lasts then.
SILENT_S = 4.0
# How long an engine announces that it leaves before it is replaced, in seconds: longer
# than the bound, so that requests after it are seen.
ANNOUNCED_S = 4.0
# Within this time after the last fault every node is ready again, as the user
# documentation says.
RECOVERY_BOUND_S = 12.0
# How long a crashed engine refuses connections, in seconds.
CRASHED_S = 0.7
# How long a node is cut off from all engines, and when it has noticed, in seconds.
CUT_S = 4.0
CUT_KNOWN_S = 1.5
# How long after its return the store counts as stable, in seconds; then all nodes know
# what was written again.
SETTLE_S = 3.0
# How many times the entries of servers are written before and after a return, so that
# the store's revision passes the one that nodes know.
SERVER_WRITES = 12
# Longest pause of a node between two calls that return changes, in seconds.
MAX_BATCH_DELAY_S = 0.7
# Interval of the requests with a section that crashes engines, in seconds.
CRASHING_INTERVAL_S = 0.15
# How long an engine names a limit, in seconds: longer than the time after which the
# bound on its requests begins to hold.
LIMITED_S = 6.0
KEYS = ("key-of-acme", "key-of-bolt")
# Routes of the clients in all runs, and routes whose responses are streams of events.
KINDS = ("lookup", "reserve", "chat")
STREAMED_KINDS = ("chat", *RANKED_KINDS)
# Interval of the faults in a run with ranks, in seconds.
RANKED_FAULT_INTERVAL_S = 1.2
# Statuses by which a node says that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@attrs.define
class Call:
    """
    One request of a client and the response that it received.

    :param request_id: unique id.
    :param kind: name of the route: ``lookup``, ``reserve`` or ``chat``.
    :param key: the key that it was sent with.
    :param sent_s: monotonic time at which it was sent, in seconds.
    :param response: None when there was none in time.
    """

    request_id: str
    kind: str
    key: str
    sent_s: float
    response: fixtures.Response | None = None


@attrs.define
class HoldOff:
    """
    A time during which a node should send an engine next to nothing.

    :param begin_s: monotonic time from which it binds the node, in seconds.
    :param end_s: monotonic time at which it ends, in seconds.
    :param requests: requests that reached the engine meanwhile.
    """

    begin_s: float
    end_s: float
    requests: int = 0


@attrs.define
class InvariantChecker:
    """
    Records what engines ran and clients received, and checks it against the guarantees.

    :param revoke_bound_s: latest use of a key after it was removed, in seconds.
    :param runs: how many times engines ran each request.
    :param key_by_request: the key that each request was sent with.
    :param revoked_s: monotonic time at which each revoked key was removed, in seconds;
        infinite while the store is being changed.
    :param sent_s: monotonic time at which each request was sent, in seconds.
    :param node_by_request: the node that each request was sent to by its client. A
        peer may have sent it to the engine.
    :param senders: the node of each connection to an engine, by its port.
    :param announced_s: monotonic time at which a client first received an engine's
        announcement that it leaves, in seconds, by node and engine.
    :param drained: ids of engines that may get no request, as their entries say so.
    :param hold_offs: the latest hold-off that each engine asked each node for, by node
        and engine.
    :param first_tries: compares nodes that are cut off from all engines with others.
    :param leaving: checks the requests to engines whose entry says that they leave.
    :param limits: counts the requests to engines that name a limit.
    :param sections: counts the requests with a section that crashes engines.
    :param poison: counts the arrivals of the request that crashes engines.
    :param ranks: checks the order of requests that have ranks.
    :param violations: violated guarantees. Each begins with a word: ``UNASKED`` (an
        engine ran a request that no client sent), ``CONFIG`` (a revoked key was used),
        ``TWICE`` (an unsafe request ran twice), ``REFUSED`` (a request that ran was
        reported as not run), ``MIXED`` (a success that is not the request's own
        response), ``ORDER`` (missing, repeated or reordered events, or a broken-off
        response that is complete), ``DRAIN`` (a node sent a request to an engine after
        it had passed on that the engine leaves, or after the store had accepted it),
        ``BUDGET`` (a node sent more than two requests to an engine that it should have
        held off, or requests with a section after it had crashed too many engines),
        ``LIMIT`` (the nodes sent an engine more than the limit that it had named),
        ``DENIED`` (a node refused a proper request as an improper one),
        ``PASSED`` (an urgent request waited while another one began that had waited
        for too short a time to go first), ``LOST`` (a request that waited, or met
        planned work on its node, was neither served nor refused), ``TOLD`` (an engine
        was told a wrong rank) or ``RECOVER`` (a node did not recover after the last
        fault).
    :param outcomes: how many requests ended with each status, with a broken response
        (``cut``) or without a response (``none``).
    """

    revoke_bound_s: float = REVOKE_BOUND_S
    runs: collections.Counter[str] = attrs.field(factory=collections.Counter)
    key_by_request: dict[str, str] = attrs.field(factory=dict)
    revoked_s: dict[str, float] = attrs.field(factory=dict)
    sent_s: dict[str, float] = attrs.field(factory=dict)
    node_by_request: dict[str, str] = attrs.field(factory=dict)
    senders: dict[int, str] = attrs.field(factory=dict)
    announced_s: dict[tuple[str, str], float] = attrs.field(factory=dict)
    drained: set[str] = attrs.field(factory=set)
    hold_offs: dict[tuple[str, str], HoldOff] = attrs.field(factory=dict)
    first_tries: FirstTries = attrs.field(factory=FirstTries)
    leaving: LeavingChecker = attrs.field(factory=LeavingChecker)
    limits: LimitChecker = attrs.field(factory=LimitChecker)
    sections: SectionChecker = attrs.field(factory=SectionChecker)
    poison: PoisonChecker = attrs.field(factory=PoisonChecker)
    ranks: RankChecker = attrs.field(factory=RankChecker)
    violations: list[str] = attrs.field(factory=list)
    outcomes: collections.Counter[str] = attrs.field(factory=collections.Counter)

    def record_run(self, request_id: str) -> None:
        self.runs[request_id] += 1
        key = self.key_by_request.get(request_id)
        if key is None:
            self.violations.append(f"UNASKED {request_id}")
            return
        revoked_s = self.revoked_s.get(key)
        if revoked_s is not None and self.sent_s[request_id] > (
            revoked_s + self.revoke_bound_s + REVOKE_SLACK_S
        ):
            self.violations.append(f"CONFIG {request_id} ran with a revoked key")

    def sender(self, writer: asyncio.StreamWriter) -> str:
        """Return the node whose request an engine has received."""
        _, port = writer.get_extra_info("peername")
        return self.senders[port]

    def check_drain(self, request_id: str, node: str, engine_id: str) -> None:
        """Check that no node sends to an engine after it said that it leaves."""
        nodes = sorted(set(self.node_by_request.values()))
        if engine_id in self.drained:
            self.violations.append(f"DRAIN {request_id} sent to {engine_id} by {node}")
        # Also the node that the client chose, if a peer sends the request for it.
        for name in {node, self.node_by_request.get(request_id, "")}:
            if self.leaving.is_late(name, nodes, engine_id):
                after_s = time.monotonic() - self.leaving.accepted_s[engine_id]
                self.violations.append(
                    f"DRAIN {request_id} reached {engine_id} by {name} {after_s:.2f} s "
                    "after the store had accepted that it leaves"
                )
            announced_s = self.announced_s.get((name, engine_id), float("inf"))
            if self.sent_s.get(request_id, 0.0) > announced_s + DRAIN_BOUND_S:
                self.violations.append(
                    f"DRAIN {request_id} sent to {engine_id} by {name}"
                )

    def record_announcement(self, request_id: str, engine_id: str) -> None:
        """Record that a client received an engine's announcement through its node."""
        key = (self.node_by_request[request_id], engine_id)
        self.announced_s.setdefault(key, time.monotonic())

    def check_hold_off(self, request_id: str, node: str, engine_id: str) -> None:
        """Check that few requests of a node reach an engine during a hold-off."""
        hold_off = self.hold_offs.get((node, engine_id))
        now = time.monotonic()
        if hold_off is None or not hold_off.begin_s <= now < hold_off.end_s:
            return
        hold_off.requests += 1
        if hold_off.requests > MAX_HELD_OFF_REQUESTS:
            self.violations.append(f"BUDGET {request_id} sent to {engine_id} by {node}")

    def record_hold_off(self, node: str, engine_id: str) -> None:
        """Record that an engine asked a node to hold it off."""
        now = time.monotonic()
        end_s = now + float(HOLD_OFF_VALUE)
        key = (node, engine_id)
        known = self.hold_offs.get(key)
        if known is not None and now < known.end_s:
            known.end_s = end_s
        else:
            self.hold_offs[key] = HoldOff(now + HOLD_OFF_REACTION_S, end_s)

    def excuse_node(self, node: str) -> None:
        """Forget what a node knew before its process was restarted or frozen."""
        self.sections.record_disruption(node)
        self.poison.record_disruption(node)
        self.limits.record_disruption(node)
        for known in (self.announced_s, self.hold_offs):
            for key in [key for key in known if key[0] == node]:
                del known[key]

    def check_limit(self, request_id: str, engine: Engine) -> None:
        """Check that an engine does not get more than the limit that it names."""
        if engine.rate_limit is None:
            return
        node = self.node_by_request.get(request_id, "")
        self.limits.record_named(engine.engine_id)
        if self.limits.record_arrival(node, engine.engine_id):
            self.violations.append(f"LIMIT {request_id} sent to {engine.engine_id}")

    def check_crashing_section(self, request_id: str) -> None:
        """Check that few requests with a section arrive after it crashed engines."""
        node = self.node_by_request.get(request_id, "")
        if self.sections.record_arrival(node):
            self.violations.append(
                f"BUDGET {request_id} with a crashing section by {node}"
            )

    def check_poison(self, request_id: str) -> None:
        """Check that few requests arrive that are known to crash engines."""
        node = self.node_by_request.get(request_id, "")
        if self.poison.record_arrival(node):
            self.violations.append(f"BUDGET {request_id} crashes engines, by {node}")

    def check_response(self, call: Call) -> None:
        name, response = call.request_id, call.response
        if call.kind == "reserve" and self.runs[name] > 1:
            self.violations.append(f"TWICE {name} ran {self.runs[name]} times")
        if response is None:
            self.outcomes["none"] += 1
            self.first_tries.record(
                self.node_by_request[name], self.sent_s[name], False
            )
            return
        self._record_passed_on(name, response)
        self.first_tries.record(
            self.node_by_request[name], self.sent_s[name], response.status == 200
        )
        self.outcomes[str(response.status) if response.complete else "cut"] += 1
        if (
            response.status in NOT_RUN_STATUSES
            and call.kind == "reserve"
            and self.runs[name]
        ):
            self.violations.append(f"REFUSED {name} got {response.status} and ran")
        if not 200 <= response.status < 300:
            return
        if "tanagerkeel-response-seal" not in response.headers:
            self.violations.append(f"MIXED {name} a success without a seal")
        expected = expected_body(name, call.kind)
        if response.complete and response.body != expected:
            if expected.startswith(response.body):
                self.violations.append(
                    f"ORDER {name} is complete after {len(response.body)} of "
                    f"{len(expected)} bytes"
                )
            else:
                self.violations.append(f"MIXED {name} got {response.body[:60]!r}")
        if not expected.startswith(response.body):
            self.violations.append(f"ORDER {name} got {response.body[-60:]!r}")

    def _record_passed_on(self, request_id: str, response: fixtures.Response) -> None:
        """Record what an engine's response told the node that passed it on."""
        if LEAVING_ENGINE_HEADER in response.headers:
            engine_id = response.headers[LEAVING_ENGINE_HEADER]
            self.record_announcement(request_id, engine_id)
        if LIMITED_ENGINE_HEADER in response.headers:
            engine_id = response.headers[LIMITED_ENGINE_HEADER]
            self.limits.record_told(self.node_by_request[request_id], engine_id)


def failure_domain(number: int) -> str:
    """Return the failure domain of a node."""
    return f"zone-{'ab'[number % 2]}"


def event_bytes(request_id: str, number: int) -> bytes:
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def expected_body(request_id: str, kind: str) -> bytes:
    if kind not in STREAMED_KINDS:
        return f"answer to {request_id}".encode()
    return b"".join(event_bytes(request_id, n) for n in range(1, EVENT_COUNT + 1))


# Kinds of faults of engines' responses besides ``FALSE_ANSWERS``.
FAULTY_ANSWERS = ("shed", "broken", "extra", "unframed")


def engine_script(
    checker: InvariantChecker,
    rng: random.Random,
    fault_rates: dict[str, float],
    crash: Callable[[], bool],
):
    """
    Return an engine's script, which injects faults into its responses at random.

    :param checker: records each request that the engine runs.
    :param rng: decides which responses have a fault.
    :param fault_rates: share of responses with each fault, read for each request.
        ``shed`` refuses the request, ``broken`` breaks the response off, ``extra``
        sends a second response, ``unframed`` sends a response with neither a length nor
        chunks, which ends with its connection. For the others, see
        :func:`write_false_answer`.
    :param crash: crashes the engine; returns False where it can't crash now.
    """

    async def script(engine: Engine, request: fixtures.ReceivedRequest, writer) -> None:
        node = checker.sender(writer)
        checker.check_drain(request.request_id, node, engine.engine_id)
        checker.check_hold_off(request.request_id, node, engine.engine_id)
        checker.check_limit(request.request_id, engine)
        checker.ranks.record_arrival(request, node)
        if engine.retry_after is not None:
            checker.record_hold_off(node, engine.engine_id)
            await fixtures.shed_request(engine, request, writer)
            return
        if request.body == POISON:
            checker.check_poison(request.request_id)
            await asyncio.sleep(EVENT_INTERVAL_S)
            if crash():
                checker.poison.record_crash()
            fixtures.reset_connection(writer)
            return
        if CRASHING_SECTION in shared_sections(request):
            checker.check_crashing_section(request.request_id)
            await asyncio.sleep(EVENT_INTERVAL_S)
            if crash():
                checker.sections.record_crash()
            fixtures.reset_connection(writer)
        if rng.random() < fault_rates["shed"]:
            await fixtures.shed_request(engine, request, writer)
            return
        checker.record_run(request.request_id)
        if await write_false_answer(request, writer, rng, fault_rates):
            return
        breaks_off = rng.random() < fault_rates["broken"]
        unframed = rng.random() < fault_rates["unframed"]
        if request.target.split("/")[1] in STREAMED_KINDS:
            await _stream(request, writer, breaks_off, unframed)
            return
        await asyncio.sleep(rng.uniform(0.005, 0.05))
        sends_extra = rng.random() < fault_rates["extra"]
        await _write_plain(request, writer, breaks_off, unframed, sends_extra)

    return script


async def _write_plain(
    request: fixtures.ReceivedRequest,
    writer,
    breaks_off: bool,
    unframed: bool,
    sends_extra: bool,
) -> None:
    body = expected_body(request.request_id, "plain")
    if unframed:
        await _write_unframed(request, writer, body, breaks_off)
    if breaks_off:
        fixtures.reset_connection(writer)
    await fixtures.write_response(writer, request, body=body)
    if sends_extra:
        await fixtures.write_response(writer, request, body=b"once more")


async def _write_unframed(
    request: fixtures.ReceivedRequest, writer, body: bytes, breaks_off: bool
) -> None:
    """Send a response that ends with its connection, or is reset in its middle."""
    half = len(body) // 2
    writer.write(response_head(request) + body[:half])
    await writer.drain()
    await asyncio.sleep(EVENT_INTERVAL_S)
    if breaks_off:
        fixtures.reset_connection(writer)
    writer.write(body[half:])
    close_connection(writer)


async def _stream(
    request: fixtures.ReceivedRequest, writer, breaks_off: bool, unframed: bool
) -> None:
    first = int(request.headers.get("last-event-id", 0)) + 1
    headers = fixtures.EVENT_STREAM_HEADERS if unframed else fixtures.CHUNKED_HEADERS
    frame = bytes if unframed else chunk
    writer.write(response_head(request, extra=headers))
    for number in range(first, EVENT_COUNT + 1):
        await asyncio.sleep(EVENT_INTERVAL_S)
        data = event_bytes(request.request_id, number)
        if breaks_off and number == EVENT_COUNT // 2:
            writer.write(frame(data[:5]))
            await writer.drain()
            if unframed:
                close_connection(writer)
            fixtures.reset_connection(writer)
        writer.write(frame(data))
        await writer.drain()
    if unframed:
        close_connection(writer)
    writer.write(b"0\r\n\r\n")
    await writer.drain()


@attrs.define
class NodeProcess:
    """
    A node's process, which can be started again with the same settings.

    :param name: the node's id.
    :param settings: path of its settings file; its log is written next to it.
    :param callers: the address that callers connect to.
    :param readiness: the address of its readiness endpoint.
    :param program: the program that the process runs.
    :param add_violation: called when the process ends by itself, but for a SIGHUP at
        its start.
    :param process: the newest process; None before the first start.
    """

    name: str
    settings: pathlib.Path
    callers: str
    readiness: str
    program: str
    add_violation: Callable[[str], None]
    process: asyncio.subprocess.Process | None = None
    _stopping: bool = False
    _supervisor: asyncio.Task | None = None
    _restarting: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    async def restart(self, signal_number: int) -> None:
        async with self._restarting:
            await self.stop(signal_number)
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
        self._stopping = False
        self._supervisor = asyncio.create_task(self._supervise(self.process))

    async def _supervise(self, process: asyncio.subprocess.Process) -> None:
        """Start the node again if a process ends without being stopped."""
        started_s = time.monotonic()
        code = await process.wait()
        if self._stopping:
            return
        if code != -signal.SIGHUP or time.monotonic() - started_s > STARTUP_S:
            self.add_violation(f"RECOVER {self.name} ended: {self.exit_summary()}")
            return
        await asyncio.sleep(RESTART_DELAY_S)
        async with self._restarting:
            if process is self.process and not self._stopping:
                await self.start()

    def exit_summary(self) -> str:
        """Return the exit code, None while the process runs, and the last log lines."""
        lines = self.settings.with_suffix(".log").read_text().splitlines()
        return f"exit code {self.process.returncode}; " + " | ".join(lines[-3:])

    async def until_ready(self) -> None:
        """Wait until the node is ready, at most ``RECOVERY_BOUND_S`` seconds."""
        end = time.monotonic() + RECOVERY_BOUND_S
        while time.monotonic() < end and not await _ready(self):
            await asyncio.sleep(0.1)

    def send_signal(self, signal_number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            # It may have ended without this process knowing yet.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signal_number)

    async def stop(self, signal_number: int) -> None:
        """Send a signal and wait for the process to end; kill it after a timeout."""
        self._stopping = True
        self.send_signal(signal_number)
        if self.process is None:
            return
        try:
            # Longer than the grace period in the settings.
            async with asyncio.timeout(4.5):
                await self.process.wait()
        except TimeoutError:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


@attrs.define
class Soak:
    """
    One run of the soak test.

    A seed does not repeat a run exactly: engines and faults draw from the same random
    source, in an order that depends on timing.

    :param seed: seed of the random choice of faults and of the clients' requests.
    :param seconds: how long faults and traffic last.
    :param folder: where the nodes' settings and logs are written.
    :param program: the program that a node's process runs.
    :param checker: records the run and checks it.
    :param store: the store that all nodes use.
    :param node_count: number of nodes. More than 16 poll watchers of the store.
    :param base_fault_rate: share of engines' responses that have each kind of fault
        while no such fault is injected.
    :param false_answer_rate: the same for responses after a run that say something
        false of it.
    :param only_faulty_responses: whether nothing but the responses of engines disturbs
        the nodes.
    :param announces_first: likewise, whether an engine announces at the start that it
        leaves, so that each node gets to know.
    :param holds_off_first: likewise, whether one engine asks to be held off all the
        time.
    :param crashes_first: likewise, whether requests with a crashing section come all
        the time.
    :param limits_first: likewise, whether one engine names a limit all the time.
    :param fault_rates: the share in force for each kind of fault.
    :param links: the proxies between each node and the store or an engine.
    :param engine_links: those to the engines, by the node's name.
    :param store_links: those to the store, by the node's name.
    :param eras_first: likewise, whether the store returns from older copies all the
        time, while versions of the configuration and backend servers change.
    :param removes_first: likewise, whether engines leave in turn while calls to the
        store fail at one node after the other.
    :param cuts_first: likewise, whether nodes are cut off from all engines in turn.
    :param ranks_first: likewise, whether requests have ranks and wait, while ranks
        change, nodes are killed and engines leave.
    :param series_first: whether planned work comes in series, and nothing else, while
        clients keep their connections.
    :param drills_first: likewise, whether nodes are restarted or replaced while the
        store returns from older copies, after a key was revoked.
    :param poison_first: likewise, whether nodes are restarted or replaced while a
        request that crashes engines comes again.
    :param version: version of the next configuration.
    :param newest_version: version of the newest configuration. Each has a route of its
        own, named after it.
    :param start_ms: newest start time of an engine, as Unix time in milliseconds.
    :param rng: source of the random choices of faults.
    :param port_rng: source of the address and the ports. It is not seeded, since runs
        at the same time must not choose the same ones.
    """

    seed: int
    seconds: float
    folder: pathlib.Path
    program: str = PROGRAM
    checker: InvariantChecker = attrs.field(factory=InvariantChecker)
    store: MemoryStore = attrs.field(factory=MemoryStore)
    node_count: int = NODE_COUNT
    base_fault_rate: float = 0.0
    false_answer_rate: float = 0.0
    only_faulty_responses: bool = False
    announces_first: bool = False
    holds_off_first: bool = False
    crashes_first: bool = False
    limits_first: bool = False
    eras_first: bool = False
    removes_first: bool = False
    cuts_first: bool = False
    ranks_first: bool = False
    series_first: bool = False
    drills_first: bool = False
    poison_first: bool = False
    versions: Versions = attrs.field(factory=Versions)
    stalls: StallMonitor = attrs.field(factory=StallMonitor)
    planned: PlannedWork = attrs.field(init=False)
    restarts: Restarts = attrs.field(init=False)
    fault_rates: dict[str, float] = attrs.field(init=False)
    nodes: list[NodeProcess] = attrs.field(factory=list)
    engines: list[Engine] = attrs.field(factory=list)
    links: list[Link] = attrs.field(factory=list)
    engine_links: dict[str, list[Link]] = attrs.field(factory=dict)
    store_links: dict[str, Link] = attrs.field(factory=dict)
    version: int = 2
    newest_version: int = 2
    owners: Owners = attrs.field(init=False)
    start_ms: int = 0
    rng: random.Random = attrs.field(init=False)
    port_rng: random.Random = attrs.field(init=False, factory=random.Random)
    _fault_tasks: set[asyncio.Task] = attrs.field(init=False, factory=set)
    _store_servers: list[HttpServer] = attrs.field(init=False, factory=list)
    _expiries: list[asyncio.Task] = attrs.field(init=False, factory=list)
    # Numbers of the engines that leave, have no entry or asked to be held off. One such
    # fault at a time: the checks know engines by their ids, and a new incarnation of
    # an id starts without what the one before said.
    _busy_engines: set[int] = attrs.field(init=False, factory=set)
    _crashing_requests: int = 0
    _probes: int = 0
    _chats: int = 0
    _replaced: int = 0
    _taken_ports: set[int] = attrs.field(init=False, factory=set)

    def __attrs_post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.owners = Owners(self.store, self.rng)
        self.planned = PlannedWork(
            self.rng,
            self.nodes,
            self.store,
            self.owners,
            self._configure_anew,
            self._silence_store,
        )
        if self.removes_first or self.drills_first or self.poison_first:
            # With the short bound, a node whose watch is silent, or returns a change
            # late, would refuse all requests for a time, and so would nodes for most
            # of the time between returns of the store.
            self.checker.revoke_bound_s = USERS_REVOKE_BOUND_S
        self.restarts = Restarts(
            self.rng, self._restart_node, self._replace_node, self.node_count
        )
        self.fault_rates = self._usual_fault_rates

    async def run(self) -> list[str]:
        """Run the test and return the violated guarantees."""
        copies = asyncio.create_task(self.owners.keep_copies())
        stalls = asyncio.create_task(self.stalls.run())
        try:
            await self._start()
            await self._run_faults()
            await self._check_recovery()
            self.checker.violations += self.checker.ranks.violations()
        finally:
            copies.cancel()
            stalls.cancel()
            for expiry in self._expiries:
                expiry.cancel()
            for node in self.nodes:
                node.send_signal(signal.SIGCONT)
            await asyncio.gather(*(node.stop(signal.SIGTERM) for node in self.nodes))
            for link in self.links:
                await link.stop()
            for engine in self.engines:
                await engine.stop()
                engine.release_port()
            for server in self._store_servers:
                await server.stop(0.0)
        return self.checker.violations

    @property
    def _usual_fault_rates(self) -> dict[str, float]:
        rates = dict.fromkeys(FAULTY_ANSWERS, self.base_fault_rate)
        return rates | dict.fromkeys(FALSE_ANSWERS, self.false_answer_rate)

    async def _start(self) -> None:
        for number in range(ENGINE_COUNT):
            script = engine_script(
                self.checker,
                self.rng,
                self.fault_rates,
                functools.partial(self._crash, number),
            )
            engine = Engine(f"i-{number}", script)
            await engine.start()
            self.engines.append(engine)
            self._register(number)
        self._configure()
        host = loopback_address(self.port_rng)
        for number in range(self.node_count):
            addresses = [
                f"{host}:{free_port(self.port_rng, host, self._taken_ports)}"
                for _ in LISTEN_FIELDS
            ]
            settings = {
                "node_id": f"node-{number}",
                "failure_domain": failure_domain(number),
                **dict(zip(LISTEN_FIELDS, addresses, strict=True)),
                "platform": await self._serve_store(f"node-{number}"),
                "bounds": {"revoke_ms": self._revoke_ms, "grace_s": 3.0},
                "drain_delay_s": 0.3,
            }
            path = self.folder / f"node-{self.seed}-{number}.json"
            path.write_text(json.dumps(settings))
            node = NodeProcess(
                f"node-{number}",
                path,
                addresses[0],
                addresses[1],
                self.program,
                self.add_violation,
            )
            await node.start()
            self.nodes.append(node)
        await self._wait_until_ready(RECOVERY_BOUND_S)
        for node in self.nodes:
            self.checker.leaving.record_disruption("process", node.name)

    @property
    def _revoke_ms(self) -> int:
        return int(1_000 * self.checker.revoke_bound_s)

    async def _serve_store(self, node: str) -> str:
        """Start a node's links to the engines and the store; return the store's."""
        senders = self.checker.senders
        links = [Link(engine.address, node, senders) for engine in self.engines]
        for link in links:
            await link.start()
        self.engine_links[node] = links
        addresses = {link.target: link.address for link in links}
        application = StoreServer(self.store, addresses)
        self._expiries.append(asyncio.create_task(application.expire_leases()))
        server = HttpServer(application, "127.0.0.1", 0)
        await server.start()
        self._store_servers.append(server)
        store_link = Link(server.address)
        await store_link.start()
        self.store_links[node] = store_link
        self.links += [store_link, *links]
        return store_link.address

    def _register(self, number: int) -> None:
        self.start_ms = max(self.start_ms + 1, int(1_000 * time.time()))
        service = "models" if number % 2 else "booking"
        engine = self.engines[number]
        entry = engine.store_entry(
            service, zone=f"zone-{'ab'[number // 2]}", born=self.start_ms
        )
        self.owners.write(f"servers/{engine.engine_id}", entry)

    def _configure(self) -> None:
        valid_keys = [key for key in KEYS if key not in self.checker.revoked_s]
        accounts = [{"name": "acme", "apiKeys": valid_keys, "priority": 1}]
        document = configuration(self.version, tenants=accounts)
        document["routes"].append(route(f"v{self.version}", "safe", "booking"))
        if self.ranks_first:
            self.checker.ranks.rank(document)
        if self.series_first:
            self.versions.amend(document)
        self.owners.write("op/config", document)
        self.versions.record_accepted(self.version)
        self.newest_version = self.version
        self.version += self.rng.randint(1, 5)

    def _silence_store(self) -> None:
        for link in self.store_links.values():
            link.silence_open()
        self.versions.record_silence()

    def _configure_anew(self) -> bool:
        self._configure()
        return self.versions.raised

    async def _run_faults(self) -> None:
        stop = asyncio.Event()
        kinds = [KINDS] * CLIENT_COUNT
        if self.ranks_first:
            kinds = [KINDS[:2]] * CLIENT_COUNT + [RANKED_MIX] * RANKED_CLIENT_COUNT
        client = self._kept_client if self.series_first else self._client
        clients = [
            asyncio.create_task(client(number, stop, choice))
            for number, choice in enumerate(kinds)
        ]
        end = time.monotonic() + self.seconds
        if self.series_first:
            await self.planned.run(end)
        await self._run_chosen_faults(end)
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(0.05, 0.5))
            fault = self._start_fault(self._inject_fault())
            # Faults overlap: most are still in force when the next one starts.
            if self.rng.random() < 0.3:
                await fault
        stop.set()
        await asyncio.gather(*clients, *self._fault_tasks)

    async def _run_chosen_faults(self, end: float) -> None:
        """Run the faults that the options of this run ask for, up to its end."""
        if self.announces_first:
            self._start_fault(self._announce_leaving(0))
        if self.holds_off_first:
            self.engines[0].retry_after = HOLD_OFF_VALUE
        if self.limits_first:
            self.engines[0].rate_limit = LIMIT_VALUE
        if (
            self.only_faulty_responses
            or self.announces_first
            or self.holds_off_first
            or self.limits_first
        ):
            await asyncio.sleep(self.seconds)
        if self.cuts_first:
            await self._cut_off_in_turn(end)
        if self.removes_first:
            await self._remove_in_turn(end)
        if self.eras_first:
            await self._change_across_eras(end)
        if self.ranks_first:
            await self._disturb_ranked(end)
        if self.crashes_first:
            await self._send_crashing_requests(self.seconds)
        await self._run_restarts(end)

    async def _run_restarts(self, end: float) -> None:
        if self.drills_first:
            copy = self.store.copy()
            self._revoke()
            await self.restarts.run_drills(
                end, functools.partial(self._drill_store, copy)
            )
        if self.poison_first:
            self._start_fault(self._send_poison(end))
            await asyncio.sleep(KNOWN_S)
            self.checker.poison.record_first_restart()
            await self.restarts.run_series(end)

    def _start_fault(self, body: Coroutine[None, None, None]) -> asyncio.Task:
        fault = asyncio.create_task(body)
        self._fault_tasks.add(fault)
        fault.add_done_callback(self._fault_tasks.discard)
        return fault

    async def _inject_fault(self) -> None:
        duration_s = self.rng.uniform(0.2, 2.0)
        injectors = (
            self._inject_node_fault,
            self._inject_outside_fault,
            self._change_store,
        )
        await self.rng.choice(injectors)(duration_s)

    async def _inject_node_fault(self, duration_s: float) -> None:
        node = self.rng.choice(self.nodes)
        match self.rng.choice(("freeze", "kill", "stop", "reload")):
            case "freeze":
                with self.checker.leaving.disruption("process", node.name):
                    node.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(duration_s)
                    node.send_signal(signal.SIGCONT)
            case "kill":
                with self.checker.leaving.disruption("process", node.name):
                    await node.restart(signal.SIGKILL)
            case "stop":
                with self.checker.leaving.disruption("process", node.name):
                    await node.restart(signal.SIGTERM)
            case "reload":
                node.send_signal(signal.SIGHUP)
                return
        self.checker.excuse_node(node.name)

    async def _inject_outside_fault(self, duration_s: float) -> None:
        match self.rng.choice(
            (
                "link",
                "down",
                "silent",
                "lapse",
                "era",
                "isolate",
                "answers",
                "hold_off",
                "crash",
                "limit",
                "failing",
            )
        ):
            case "link":
                link = self.rng.choice(self.links)
                with self._link_disruption(link):
                    await link.inject(self.rng.choice(Link.MODES), duration_s)
            case "failing":
                node = self.rng.choice(self.nodes)
                await self._fail_calls(node.name, self.rng.random() < 0.5)
            case "down" | "silent" | "lapse" | "era" as fault:
                with self.checker.leaving.disruption("store"):
                    await self._inject_store_fault(fault, duration_s)
            case "isolate":
                node = self.rng.choice(self.nodes)
                await self._cut_off(node.name, self.rng.choice(Link.CUT_MODES), 2.0)
            case "crash":
                await self._send_crashing_requests(2 * duration_s)
            case "limit":
                await self._name_limit(self.rng.randrange(ENGINE_COUNT))
            case "hold_off":
                await self._ask_for_hold_offs(
                    self.rng.randrange(ENGINE_COUNT), duration_s
                )
            case "answers":
                name = self.rng.choice(list(self.fault_rates))
                self.fault_rates[name] = self.rng.uniform(0.05, 0.3)
                await asyncio.sleep(duration_s)
                self.fault_rates[name] = self._usual_fault_rates[name]

    async def _inject_store_fault(self, fault: str, duration_s: float) -> None:
        match fault:
            case "down" | "silent":
                setattr(self.store, fault, True)
                await asyncio.sleep(duration_s)
                setattr(self.store, fault, False)
            case "lapse":
                self.store.expire_all_leases()
                self.store.history_lost = True
            case "era":
                await self.owners.return_from_copy()

    async def _change_store(self, duration_s: float) -> None:
        match self.rng.choice(
            ("configuration", "revoke", "leave", "announce", "remove")
        ):
            case "configuration":
                self._configure()
            case "revoke" if KEYS[1] not in self.checker.revoked_s:
                self._revoke()
            case "leave":
                await self._leave(self.rng.randrange(ENGINE_COUNT), duration_s)
            case "announce":
                await self._announce_leaving(self.rng.randrange(ENGINE_COUNT))
            case "remove":
                drains = self.rng.random() < 0.5
                await self._remove(self.rng.randrange(ENGINE_COUNT), drains)

    def _revoke(self) -> None:
        self.checker.revoked_s[KEYS[1]] = float("inf")
        self._configure()
        self.checker.revoked_s[KEYS[1]] = time.monotonic()

    async def _drill_store(self, unrevoked: StoreCopy) -> None:
        """Let the store return from a copy, also from one before the revocation."""
        copy = self.rng.choice((unrevoked, None))
        with self.checker.leaving.disruption("store"):
            await self.owners.return_from_copy(rewrite_s=DRILL_REWRITE_S, copy=copy)

    async def _restart_node(self, number: int, signal_number: int) -> None:
        node = self.nodes[number]
        with self.checker.leaving.disruption("process", node.name):
            await node.restart(signal_number)
        self.checker.excuse_node(node.name)
        await node.until_ready()

    async def _replace_node(self, number: int) -> None:
        """Kill a node for good, and start one with another name and addresses."""
        old = self.nodes[number]
        settings = json.loads(old.settings.read_text())
        self._replaced += 1
        name = f"node-{number}-{self._replaced}"
        host, _, _ = old.callers.rpartition(":")
        settings["node_id"] = name
        for field in LISTEN_FIELDS:
            port = free_port(self.port_rng, host, self._taken_ports)
            settings[field] = f"{host}:{port}"
        for links in (self.engine_links, self.store_links):
            links[name] = links[old.name]
        for link in self.engine_links[name]:
            link.node = name
        with self.checker.leaving.disruption("process", old.name):
            await old.stop(signal.SIGKILL)
            new = NodeProcess(
                name,
                old.settings.with_name(f"{name}-{self.seed}.json"),
                settings["callers_listen"],
                settings["readiness_listen"],
                self.program,
                self.add_violation,
            )
            new.settings.write_text(json.dumps(settings))
            await new.start()
            self.nodes[number] = new
        self.checker.excuse_node(name)
        await new.until_ready()

    async def _send_poison(self, end_s: float) -> None:
        """Send the request that crashes engines to all nodes in turn."""
        sent = 0
        async with asyncio.TaskGroup() as calls:
            while time.monotonic() < end_s:
                sent += 1
                call = Call(f"poison-{sent}", "reserve", KEYS[0], 0.0)
                node = self.nodes[sent % len(self.nodes)]
                calls.create_task(self._call(call, node, body=POISON))
                await asyncio.sleep(POISON_INTERVAL_S)

    async def _leave(self, number: int, duration_s: float) -> None:
        """Delete an engine's entry, and write that of a new incarnation later."""
        if number in self._busy_engines:
            return
        self._busy_engines.add(number)
        self.owners.delete(f"servers/{self.engines[number].engine_id}")
        await asyncio.sleep(duration_s)
        self._register(number)
        self._busy_engines.discard(number)

    async def _name_limit(self, number: int) -> None:
        """Let an engine name a limit in its responses for a while."""
        if number in self._busy_engines:
            return
        self._busy_engines.add(number)
        engine = self.engines[number]
        engine.rate_limit = LIMIT_VALUE
        await asyncio.sleep(LIMITED_S)
        engine.rate_limit = None
        self.checker.limits.record_end(engine.engine_id)
        self._busy_engines.discard(number)

    def _crash(self, number: int) -> bool:
        """Crash an engine and start it again; return False if it has another fault."""
        if number in self._busy_engines:
            return False
        self._busy_engines.add(number)
        self._start_fault(self._restart_engine(number))
        return True

    async def _restart_engine(self, number: int) -> None:
        await asyncio.gather(
            *(
                links[number].refuse_connections(CRASHED_S)
                for links in self.engine_links.values()
            )
        )
        self._register(number)
        self._busy_engines.discard(number)

    async def _cut_off(self, node: str, mode: str, duration_s: float) -> None:
        """Cut a node off from all engines, but from nothing else."""
        links = self.engine_links[node]
        with self.checker.leaving.disruption("engines", node):
            await asyncio.gather(*(link.cut(mode, duration_s) for link in links))

    def _link_disruption(self, link: Link) -> contextlib.AbstractContextManager[None]:
        for node, store_link in self.store_links.items():
            if link is store_link:
                return self.checker.leaving.disruption("calls", node)
            if link in self.engine_links[node]:
                return self.checker.leaving.disruption("engines", node)
        raise ValueError("the link belongs to no node")

    async def _fail_calls(self, node: str, silent: bool) -> None:
        """
        Let a node's calls to the store fail for a while.

        :param silent: whether they get no response; otherwise they fail in series.
        """
        link = self.store_links[node]
        with self.checker.leaving.disruption("calls", node):
            if silent:
                await link.inject("silence", SILENT_S)
                return
            for _ in range(FAILING_COUNT):
                await link.inject("reset", FAILING_S)
                await asyncio.sleep(FAILING_GAP_S)

    async def _remove_in_turn(self, end_s: float) -> None:
        """Let engines leave while the calls of one watching node at a time fail."""
        await asyncio.sleep(STABLE_S)
        number = 0
        domains = {node.name: failure_domain(n) for n, node in enumerate(self.nodes)}
        watching = sorted(
            {name for domain in domains.values() for name in watchers(domains, domain)}
        )
        while time.monotonic() < end_s:
            node = watching[number % len(watching)]
            silent = number % 2 == 0
            # All watches begin at about the same time, so that a silent one lasts long.
            self.owners.write_servers_again(1)
            await asyncio.sleep(SECOND_WATCH_S)
            failing = self._start_fault(self._fail_calls(node, silent))
            await asyncio.sleep(FAILING_S / 2)
            await self._remove(number % ENGINE_COUNT, drains=number // 2 % 2 == 1)
            await failing
            number += 1

    async def _remove(self, number: int, drains: bool) -> None:
        """Let an engine's entry drain or end, and replace the engine later."""
        if number in self._busy_engines:
            return
        self._busy_engines.add(number)
        engine_id = self.engines[number].engine_id
        if drains:
            self._drain(number)
        else:
            self.owners.delete(f"servers/{engine_id}")
        self.checker.leaving.record_accepted(engine_id)
        await asyncio.sleep(REMOVED_S)
        self._replace(number)
        self._busy_engines.discard(number)

    async def _disturb_ranked(self, end_s: float) -> None:
        """Let an engine leave, change ranks and kill a node, and then nothing more."""
        rng = random.Random(f"ranks {self.seed}")
        leaving = rng.choice([n for n in range(ENGINE_COUNT) if n % 2])
        steps = [
            lambda: self._kill_ranked(rng.choice(self.nodes)),
            lambda: self._remove(leaving, drains=rng.random() < 0.5),
            self._rank_anew,
        ]
        rng.shuffle(steps)
        for step in steps:
            await asyncio.sleep(RANKED_FAULT_INTERVAL_S)
            self._start_fault(step())
        await asyncio.sleep(max(0.0, end_s - time.monotonic()))

    async def _rank_anew(self) -> None:
        self._configure()

    async def _kill_ranked(self, node: NodeProcess) -> None:
        begin_s = time.monotonic()
        with self.checker.leaving.disruption("process", node.name):
            await node.restart(signal.SIGKILL)
            await self._wait_until_ready(RECOVERY_BOUND_S)
        self.checker.ranks.record_down(node.name, begin_s)
        self.checker.excuse_node(node.name)

    async def _cut_off_in_turn(self, end_s: float) -> None:
        """Cut off one node or two in each way, and check what callers get there."""
        number = 0
        while time.monotonic() < end_s:
            mode = Link.CUT_MODES[number % len(Link.CUT_MODES)]
            cut = [node.name for node in self.rng.sample(self.nodes, 1 + number % 2)]
            number += 1
            cutting = [
                self._start_fault(self._cut_off(name, mode, CUT_S)) for name in cut
            ]
            await asyncio.sleep(CUT_KNOWN_S)
            self.checker.first_tries.begin(cut, time.monotonic())
            await asyncio.gather(*cutting)
            summary = self.checker.first_tries.end()
            if summary:
                self.add_violation(f"RECOVER {mode} of {cut}: {summary}")
            await asyncio.sleep(1.0)

    async def _change_across_eras(self, end_s: float) -> None:
        """Change entries before or after returns of the store, and check them later."""
        number = 0
        while time.monotonic() < end_s:
            number = (number + 1) % ENGINE_COUNT
            self.owners.write_servers_again(SERVER_WRITES)
            await asyncio.sleep(MAX_BATCH_DELAY_S)
            change = functools.partial(self._change_entries, number)
            if number % 2:
                await self.owners.return_from_copy(change)
            else:
                change()
                await self.owners.return_from_copy()
            await asyncio.sleep(SETTLE_S)
            self.checker.drained.add(self.engines[number].engine_id)
            await self._check_version()
            await asyncio.sleep(1.0)
            self._replace(number)

    def _change_entries(self, number: int) -> None:
        """Drain an engine and write a version; then the revision passes the known."""
        self._drain(number)
        self._configure()
        # More than were lost, of which there may be those of several rounds.
        self.owners.write_servers_again(3 * SERVER_WRITES)

    def _drain(self, number: int) -> None:
        """Write that an engine takes no new work."""
        key = f"servers/{self.engines[number].engine_id}"
        self.owners.write(key, {**self.owners.entries[key], "state": "draining"})

    def _replace(self, number: int) -> None:
        """Replace an engine by another one."""
        engine = self.engines[number]
        self.owners.delete(f"servers/{engine.engine_id}")
        engine.engine_id = f"i-{number}-{self.start_ms}"
        self._register(number)

    async def _check_version(self) -> None:
        """Check that each node has the newest version of the configuration."""
        for node in self.nodes:
            self._probes += 1
            call = Call(f"probe-{self._probes}", f"v{self.newest_version}", KEYS[0], 0)
            await self._call(call, node)
            status = call.response.status if call.response else None
            if status in (None, 404):
                self.add_violation(
                    f"CONFIG {node.name} doesn't serve the route of version "
                    f"{self.newest_version}: status {status}"
                )

    async def _send_crashing_requests(self, duration_s: float) -> None:
        """Send requests that have only a section that crashes engines in common."""
        end = time.monotonic() + duration_s
        async with asyncio.TaskGroup() as calls:
            while time.monotonic() < end:
                self._crashing_requests += 1
                name = f"crash-{self._crashing_requests}"
                call = Call(name, "chat", KEYS[0], 0.0)
                node = self.rng.choice(self.nodes)
                calls.create_task(self._call(call, node, crashing=True))
                await asyncio.sleep(CRASHING_INTERVAL_S)

    async def _ask_for_hold_offs(self, number: int, duration_s: float) -> None:
        """Let an engine reject all requests and ask to be held off."""
        if number in self._busy_engines:
            return
        self._busy_engines.add(number)
        engine = self.engines[number]
        engine.retry_after = HOLD_OFF_VALUE
        await asyncio.sleep(duration_s)
        engine.retry_after = None
        await asyncio.sleep(float(HOLD_OFF_VALUE))
        self._busy_engines.discard(number)

    async def _announce_leaving(self, number: int) -> None:
        """Let an engine announce that it leaves, and replace it by a new one later."""
        engine = self.engines[number]
        if number in self._busy_engines:
            return
        self._busy_engines.add(number)
        engine.leaving = True
        await asyncio.sleep(ANNOUNCED_S)
        self.owners.delete(f"servers/{engine.engine_id}")
        engine.engine_id = f"i-{number}-{self.start_ms}"
        engine.leaving = False
        self._register(number)
        self._busy_engines.discard(number)

    async def _client(
        self, number: int, stop: asyncio.Event, kinds: Sequence[str] = KINDS
    ) -> None:
        rng = random.Random(self.seed * 1_000 + number)
        sequence = 0
        while not stop.is_set():
            sequence += 1
            kind = rng.choice(kinds)
            call = Call(f"c{number}-{sequence}", kind, rng.choice(KEYS), 0.0)
            await self._call(call, rng.choice(self.nodes))
            self.checker.check_response(call)
            await asyncio.sleep(rng.uniform(0.0, 0.05))

    async def _kept_client(
        self, number: int, stop: asyncio.Event, kinds: Sequence[str]
    ) -> None:
        """Send requests on one connection until its node closes it, then on another."""
        rng = random.Random(self.seed * 1_000 + number)
        sequence = 0
        while not stop.is_set():
            node = rng.choice(self.nodes)
            connection = KeptConnection(node.callers)
            if not await connection.open():
                await asyncio.sleep(0.05)
                continue
            is_open = True
            while is_open and not stop.is_set():
                sequence += 1
                name = f"c{number}-{sequence}"
                version = self.versions.choose(rng) if rng.random() < 0.2 else None
                kind = rng.choice(kinds) if version is None else f"v{version}"
                call = Call(name, kind, rng.choice(KEYS), 0.0)
                is_open = await self._ask_on(connection, call, node, version)
                await asyncio.sleep(rng.uniform(0.0, 0.05))
            connection.close()

    async def _ask_on(
        self,
        connection: KeptConnection,
        call: Call,
        node: NodeProcess,
        version: int | None,
    ) -> bool:
        """Send a request on a kept connection; return whether it is open after that."""
        self._record_sent(call, node)
        name = call.request_id
        padding = self.versions.padding()
        response = await connection.ask(
            fixtures.encode_request(
                f"/{call.kind}/x",
                name,
                "POST" if call.kind in KINDS[1:] else "GET",
                name.encode() if call.kind in KINDS[1:] else b"",
                call.key,
                headers=(f"X-Padding: {'x' * padding}",),
            )
        )
        if response is None:
            return False
        lost = loss(response, self.checker.runs[name], time.monotonic() - call.sent_s)
        if lost is not None and not self.stalls.stalled_since(call.sent_s):
            self.add_violation(f"LOST {name} by {node.name} {lost}")
        call.response = response if response.status else None
        self.checker.check_response(call)
        if version is not None:
            wrong = self.versions.violation(version, call.sent_s, response.status)
            if wrong is not None:
                self.add_violation(f"CONFIG {name} by {node.name}: {wrong}")
        elif (
            response.status in DENIED_STATUSES
            and padding <= self.versions.padding()
            and self.versions.in_touch(call.sent_s)
        ):
            self.add_violation(f"DENIED {name} by {node.name}: {response.status}")
        return response.complete and response.headers.get("connection") != "close"

    def _record_sent(self, call: Call, node: NodeProcess) -> None:
        call.sent_s = time.monotonic()
        self.checker.key_by_request[call.request_id] = call.key
        self.checker.sent_s[call.request_id] = call.sent_s
        self.checker.node_by_request[call.request_id] = node.name

    async def _call(
        self,
        call: Call,
        node: NodeProcess,
        crashing: bool = False,
        body: bytes | None = None,
    ) -> None:
        self._record_sent(call, node)
        self.checker.ranks.record_sent(
            call.request_id, call.kind, node.name, call.sent_s
        )
        headers: tuple[str, ...] = ()
        options = {"deadline_ms": PATIENCE_MS} if call.kind in RANKED_KINDS else {}
        if call.kind in STREAMED_KINDS:
            self._chats += 1
            headers = (
                "Tanagerkeel-Token-Count: 1000,430",
                sections_header(self._chats, crashing),
            )
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CALL_TIMEOUT_S):
                call.response = await fixtures.call(
                    node.callers,
                    f"/{call.kind}/x",
                    request_id=call.request_id,
                    method="GET" if call.kind == "lookup" else "POST",
                    body=_body(call) if body is None else body,
                    key=call.key,
                    headers=headers,
                    **options,
                )
        self.checker.ranks.record_end(
            call.request_id, call.response.status if call.response else 0
        )

    async def _check_recovery(self) -> None:
        for name in self.fault_rates:
            self.fault_rates[name] = 0.0
        for engine in self.engines:
            engine.retry_after = engine.rate_limit = None
        if not await self._wait_until_ready(RECOVERY_BOUND_S):
            for node in self.nodes:
                if not await _ready(node):
                    self.add_violation(
                        f"RECOVER {node.name} isn't ready: {node.exit_summary()}"
                    )
            return
        # The last fault may have been a change of the configuration or a return of the
        # store, after which nodes have time to follow.
        await asyncio.sleep(SETTLE_S)
        await self._check_version()
        statuses = []
        for number, node in enumerate(self.nodes):
            call = Call(f"last-{number}", "lookup", KEYS[0], 0.0)
            await self._call(call, node)
            self.checker.check_response(call)
            statuses.append(call.response.status if call.response else None)
        if 200 not in statuses:
            self.add_violation(
                f"RECOVER no request is served after the last fault: {statuses}"
            )

    def add_violation(self, reason: str) -> None:
        self.checker.violations.append(reason)

    async def _wait_until_ready(self, limit_s: float) -> bool:
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            found = await asyncio.gather(*map(_ready, self.nodes))
            if all(found):
                return True
            await asyncio.sleep(0.1)
        return False


def _body(call: Call) -> bytes:
    return b"" if call.kind == "lookup" else call.request_id.encode()


async def _ready(node: NodeProcess) -> bool:
    try:
        async with asyncio.timeout(1.0):
            response = await fixtures.call(node.readiness, "/ready", key=None)
    except (OSError, TimeoutError):
        return False
    return response.status == 200


async def soak(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    program: str = PROGRAM,
    **options: float | bool,
) -> Soak:
    """
    Run the test with one seed and return the finished run.

    :param options: fields of :class:`Soak`, such as ``limits_first``.
    """
    run = Soak(seed, seconds, folder, program, **options)
    await run.run()
    return run


def keep_run(
    folder: pathlib.Path, kept: pathlib.Path, violations: Sequence[str]
) -> None:
    """Copy the files of a run to a folder, with its violations as a text."""
    shutil.copytree(folder, kept, dirs_exist_ok=True)
    (kept / "violations.txt").write_text("\n".join(violations) + "\n")


def main() -> int:
    """Run a range of seeds; return 1 when any of them violated a guarantee, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seeds", default="1-3", help="a seed, or a range such as 1-50"
    )
    parser.add_argument(
        "--seconds", type=float, default=8.0, help="duration of each run"
    )
    parser.add_argument(
        "--program", default=PROGRAM, help="program that a node's process runs"
    )
    parser.add_argument("--nodes", type=int, default=NODE_COUNT, help="number of nodes")
    parser.add_argument(
        "--removes", action="store_true", help="let engines leave all the time"
    )
    parser.add_argument(
        "--kind",
        choices=("ranks", "series", "drills", "poison"),
        help="let requests have ranks and wait, planned work come in series while "
        "clients keep their connections, nodes restart while the store returns from "
        "copies, or while a request that crashes engines comes again, in place of "
        "most other faults",
    )
    parser.add_argument(
        "--keep",
        type=pathlib.Path,
        default=pathlib.Path("build/soak"),
        help="folder that gets the settings, logs and violations of seeds that failed",
    )
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        with tempfile.TemporaryDirectory(prefix="soak-") as name:
            folder = pathlib.Path(name)
            run = asyncio.run(
                soak(
                    seed,
                    options.seconds,
                    folder,
                    options.program,
                    node_count=options.nodes,
                    removes_first=options.removes,
                    ranks_first=options.kind == "ranks",
                    series_first=options.kind == "series",
                    drills_first=options.kind == "drills",
                    poison_first=options.kind == "poison",
                )
            )
            if run.checker.violations:
                failed += 1
                keep_run(folder, options.keep / f"seed-{seed}", run.checker.violations)
        print(f"seed {seed}: {dict(run.checker.outcomes)} {run.checker.violations[:5]}")
        if options.kind == "series":
            print(dict(run.planned.done), f"{run.stalls.count} stalls")
        if options.kind == "ranks":
            ranks = run.checker.ranks
            print(f"{ranks.waited} of {len(ranks.requests)} ranked requests waited")
        if options.kind in ("drills", "poison"):
            crashes = len(run.checker.poison.crashes_s)
            print(f"{run.restarts.restarted} restarts, {crashes} crashes")
    print(f"{failed} seeds failed")
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())

"""Fixtures for model requests: scripted engines with the engine gateway's interface."""

import asyncio
import collections
import contextlib
import random
import uuid

import attrs

from tanagerkeel.clock import SystemClock
from tanagerkeel.configuration import (
    BackendKind,
    BackendServer,
    ClientAccount,
    Configuration,
    ConfigurationHolder,
    Model,
)
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._explanations import ExplanationLog
from tanagerkeel.entry._metrics import Metrics
from tanagerkeel.entry._model_runner import ModelRunner
from tanagerkeel.entry._settings import Limits
from tanagerkeel.entry._tracing import Tracing
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.fleet import FleetTable, Permit
from tanagerkeel.gateways.engines import (
    Allocation,
    BackendFailed,
    BackendRefused,
    LoadReport,
)
from tanagerkeel.quarantine import Quarantine
from tanagerkeel.requests import (
    AnswerEnd,
    LengthClass,
    ModelRequest,
    TokenChunk,
    estimate_tokens,
    fingerprint,
)
from tanagerkeel.routing import (
    AnswerEstimate,
    Candidate,
    GangPlan,
    NoPlan,
    PlannedSegment,
    SinglePlan,
)
from tanagerkeel.standins import answer_text, answer_tokens
from tests.fixtures import entry_settings

MODEL = "petition-summary"
DOMAIN = "cebu-1"
MEMORY_TOKENS = 1_000


@attrs.define
class ScriptedEngine:
    """
    An engine with scripted faults.

    :param name: name of the engine.
    :param script: behaviours, taken one per call to prefill or generate; ``ok`` when
        none are left. A call to prefill reacts to ``die`` only.
    :param memory_tokens: size of its memory, in tokens.
    :param incarnation: id of the running process; changes at each crash.
    :param alive: whether it answers calls.
    :param silent: whether calls fail without a refused connection while not alive.
    :param poison_marker: a prompt that holds this text crashes the engine; empty for
        none.
    :param streams: memory used by each open stream, in tokens, by attempt id.
    :param reservations: open reservations by id.
    :param prefilled: prefilled parts of prompts by reservation id.
    :param calls: accepted calls to generate.
    :param crash_count: number of crashes.
    :param pause_s: pause after each chunk, in seconds.
    :param crashed: set when the current incarnation crashes.
    """

    name: str
    script: collections.deque = attrs.field(factory=collections.deque)
    memory_tokens: int = MEMORY_TOKENS
    incarnation: str = "1"
    alive: bool = True
    silent: bool = False
    poison_marker: str = ""
    streams: dict = attrs.field(factory=dict)
    reservations: dict = attrs.field(factory=dict)
    prefilled: dict = attrs.field(factory=dict)
    calls: list = attrs.field(factory=list)
    crash_count: int = 0
    pause_s: float = 0.0
    crashed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def used_tokens(self) -> int:
        held = sum(r.tokens for r in self.reservations.values())
        return held + sum(self.streams.values())

    def crash(self, stay_down: bool = False) -> None:
        self.crash_count += 1
        self.reservations.clear()
        self.alive = not stay_down
        self.incarnation = uuid.uuid4().hex
        self.crashed.set()
        self.crashed = asyncio.Event()


class ScriptedEngines:
    """An engine gateway that calls scripted engines in this process."""

    def __init__(self, count: int = 3) -> None:
        names = [f"engine-{n}" for n in range(count)]
        self.by_address = {
            f"127.0.0.1:{n}": ScriptedEngine(f"engine-{n}") for n in range(len(names))
        }
        self.cancelled: list[str] = []

    @property
    def engines(self) -> tuple[ScriptedEngine, ...]:
        return tuple(self.by_address.values())

    def _engine(self, address: str) -> ScriptedEngine:
        engine = self.by_address[address]
        if not engine.alive:
            raise BackendFailed(
                "refused", sent=False, connection_refused=not engine.silent
            )
        return engine

    async def load_report(self, address: str) -> LoadReport:
        engine = self._engine(address)
        return LoadReport(
            incarnation=engine.incarnation,
            memory_tokens=engine.memory_tokens,
            memory_used_tokens=engine.used_tokens,
            prefill_rate=1e6,
            decode_rate=1e4,
        )

    async def cancel(self, address: str, attempt_id: str) -> None:
        self.cancelled.append(attempt_id)

    async def free(self, address: str, allocation_id: str) -> None:
        self._engine(address).reservations.pop(allocation_id, None)

    async def allocations(self, address: str) -> tuple[Allocation, ...]:
        return ()

    async def reserve(self, address: str, reservation) -> None:
        engine = self._engine(address)
        await asyncio.sleep(0.001)
        if engine.used_tokens + reservation.tokens > engine.memory_tokens:
            raise BackendRefused("memory")
        engine.reservations[reservation.reservation_id] = reservation

    async def prefill(self, address, reservation_id, account, prompt) -> None:
        engine = self._engine(address)
        behaviour = engine.script.popleft() if engine.script else "ok"
        await asyncio.sleep(0.002)
        if behaviour == "die":
            engine.crash()
            raise BackendFailed("connection reset")
        if reservation_id not in engine.reservations:
            raise BackendRefused("no reservation")
        engine.prefilled[reservation_id] = prompt

    async def generate(self, address: str, call):
        engine = self._engine(address)
        behaviour = engine.script.popleft() if engine.script else "ok"
        if behaviour == "refuse":
            raise BackendRefused("overloaded")
        if behaviour == "unreachable":
            raise BackendFailed("connection refused", sent=False)
        engine.calls.append(call)
        engine.streams[call.attempt_id] = (
            0 if call.gang else estimate_tokens(call.prompt)
        )
        try:
            if engine.poison_marker and engine.poison_marker in call.prompt:
                await asyncio.sleep(0.005)
                engine.crash()
                raise BackendFailed("connection reset")
            async for chunk in self._chunks(engine, behaviour, call):
                yield chunk
        finally:
            engine.streams.pop(call.attempt_id, None)

    async def _chunks(self, engine, behaviour, call):
        prompt = "".join(map(self._prefilled, call.gang)) + call.prompt
        half = call.resume_tokens + (call.max_tokens - call.resume_tokens) // 2
        crashed = engine.crashed
        answer = answer_tokens(prompt, call.max_tokens, call.resume_tokens)
        if behaviour == "die-before":
            engine.crash()
            raise BackendFailed("connection reset")
        for index, text in enumerate(answer, call.resume_tokens):
            chunk = TokenChunk(call.attempt_id, index, text)
            if index == half:
                await _fail_midway(engine, behaviour)
            for sent in _faulty_chunks(behaviour, chunk) if index == half else (chunk,):
                yield sent
            await _pause(engine, crashed)
        if behaviour == "die-after":
            engine.crash()
            raise BackendFailed("connection reset")
        extra = 1 if behaviour == "short" else 0
        yield AnswerEnd(call.attempt_id, call.max_tokens + extra, "length")

    def _prefilled(self, segment) -> str:
        engine = self.by_address[segment.address]
        if segment.reservation_id not in engine.reservations:
            raise BackendFailed("a segment is lost")
        return engine.prefilled[segment.reservation_id]


async def _fail_midway(engine, behaviour):
    match behaviour:
        case "hang":
            await asyncio.Event().wait()
        case "die":
            engine.crash()
            raise BackendFailed("connection reset")
        case "partition":
            engine.alive, engine.silent = False, True
            raise BackendFailed("connection reset")
        case "break":
            raise BackendFailed("connection reset")


def _faulty_chunks(behaviour, chunk):
    match behaviour:
        case "crossed":
            return (attrs.evolve(chunk, attempt_id="another-attempt"),)
        case "gap":
            return ()
        case "repeat":
            return (chunk, chunk)
        case _:
            return (chunk,)


async def _pause(engine, crashed):
    if engine.pause_s:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(engine.pause_s):
                await crashed.wait()
    if crashed.is_set():
        raise BackendFailed("connection reset")


@attrs.define
class LimitedPermits:
    """A permit source that grants a limited number of permits per backend server."""

    limit: int = 1_000
    held: collections.Counter = attrs.field(factory=collections.Counter)
    max_held: int = 0

    async def acquire(self, backend: str, timeout_s: float) -> Permit | None:
        if self.held[backend] >= self.limit:
            return None
        self.held[backend] += 1
        self.max_held = max(self.max_held, self.held[backend])
        return Permit(uuid.uuid4().hex, backend, float("inf"))

    async def release(self, permit: Permit) -> None:
        self.held[permit.backend] -= 1
        assert self.held[permit.backend] >= 0


@attrs.define
class RoundRobinRouter:
    """A round-robin router; requests of length class gang get several engines."""

    fleet: FleetTable
    plan_count: int = 0

    def plan(self, request, excluded, now):
        snapshots = [
            s for s in self.fleet.snapshots(now) if s.server.name not in excluded
        ]
        if not snapshots:
            return NoPlan(ResultCode.NO_BACKEND, "all are excluded", 1.0)
        self.plan_count += 1
        if request.length_class is LengthClass.GANG:
            return self._gang(request, snapshots)
        chosen = snapshots[self.plan_count % len(snapshots)]
        considered = tuple(Candidate(s, 0.0, 0, "round robin") for s in snapshots)
        return SinglePlan(Candidate(chosen, 0.0), considered)

    def estimate(self, request, now):
        return AnswerEstimate(0.001, 0.001 + request.max_tokens / 1e4)

    def _gang(self, request, snapshots):
        count = -(-request.memory_tokens // MEMORY_TOKENS)
        if len(snapshots) < count:
            return NoPlan(ResultCode.NO_BACKEND, "too few engines", 1.0)
        size = -(-len(request.prompt) // count)
        segments = []
        for number in range(count):
            start, end = number * size, min((number + 1) * size, len(request.prompt))
            tokens = estimate_tokens(request.prompt[start:end])
            generated_tokens = request.max_tokens if number == count - 1 else 0
            segments.append(
                PlannedSegment(snapshots[number], start, end, tokens + generated_tokens)
            )
        return GangPlan(tuple(segments), ())


@attrs.define
class PipelineHarness:
    """The request pipeline of a node, without its HTTP servers."""

    context: NodeContext
    runner: ModelRunner
    engines: ScriptedEngines
    permits: LimitedPermits

    async def answer(self, request: ModelRequest) -> str:
        """Return the answer; fail on gaps, repeated chunks or a wrong end."""
        texts, expected, end = [], 0, None
        async with contextlib.aclosing(self.runner.answer(request)) as chunks:
            async for chunk in chunks:
                assert end is None
                if isinstance(chunk, AnswerEnd):
                    end = chunk
                    continue
                assert chunk.index == expected
                expected += chunk.tokens
                texts.append(chunk.text)
        assert end is not None and end.count == expected
        return "".join(texts)

    async def answer_error(self, request: ModelRequest) -> TanagerkeelError | None:
        """Return the error of a request; None after a correct answer."""
        try:
            assert await self.answer(request) == expected_answer(request)
        except TanagerkeelError as error:
            return error
        return None

    async def assert_nothing_held(self) -> None:
        """Check that no permit, stream, reservation or queue entry is left."""
        await self.runner.drain()
        await asyncio.sleep(0)
        admission = self.context.admission
        assert admission.streams == admission.waiting == 0
        assert sum(self.permits.held.values()) == 0
        for engine in self.engines.engines:
            assert not engine.streams, engine
            assert not engine.reservations, engine
            assert self.context.quarantine.running(engine.name) == 0
        assert self.context.fleet.open_dispatches == 0


def expected_answer(request: ModelRequest) -> str:
    return answer_text(request.prompt, request.max_tokens)


def make_request(
    prompt="When is the next oath date?",
    account="agency-1",
    max_tokens=10,
    deadline_s=20.0,
    length_class=LengthClass.SHORT,
) -> ModelRequest:
    now = SystemClock().monotonic()
    return ModelRequest(
        request_id=uuid.uuid4().hex,
        account=account,
        model=MODEL,
        prompt=prompt,
        prompt_tokens=estimate_tokens(prompt),
        max_tokens=max_tokens,
        length_class=length_class,
        deadline_s=now + deadline_s,
        received_s=now,
        fingerprint=fingerprint(account, MODEL, prompt),
    )


def make_harness(
    engines: ScriptedEngines,
    seed: int = 1,
    max_streams: int = 400,
    node_id: str = "node-1",
) -> PipelineHarness:
    """Return the request pipeline of a node that calls scripted engines."""
    servers = tuple(
        BackendServer(
            engine.name,
            BackendKind.ENGINE,
            address,
            DOMAIN,
            models=(MODEL,),
            memory_tokens=engine.memory_tokens,
        )
        for address, engine in engines.by_address.items()
    )
    accounts = tuple(ClientAccount(f"agency-{n}", "m", ()) for n in range(5))
    configuration = ConfigurationHolder()
    configuration.adopt(
        1,
        Configuration(
            client_accounts=accounts, models=(Model(MODEL),), backend_servers=servers
        ),
    )
    clock = SystemClock()
    fleet = FleetTable(DOMAIN)
    fleet.configure(configuration.current)
    permits = LimitedPermits()
    settings = entry_settings("127.0.0.1:1", node_id)
    limits = Limits(max_streams=max_streams)
    # Fields that the pipeline does not use.
    unused = {f.name: None for f in attrs.fields(NodeContext) if f.init}
    del unused["admission"]
    used = dict(
        settings=attrs.evolve(settings, limits=limits),
        clock=clock,
        random=random.Random(seed),
        engines=engines,
        configuration=configuration,
        fleet=fleet,
        permits=permits,
        quarantine=Quarantine(),
        metrics=Metrics(),
        explanations=ExplanationLog(clock),
        tracing=Tracing(node_id),
    )
    context = NodeContext(**(unused | used))
    runner = ModelRunner(context, RoundRobinRouter(fleet))
    return PipelineHarness(context, runner, engines, permits)


async def record_load_reports(harness: PipelineHarness) -> None:
    """Record one load report of each engine in the fleet table."""
    for address, engine in harness.engines.by_address.items():
        if engine.alive:
            report = await harness.engines.load_report(address)
            now = harness.context.clock.monotonic()
            harness.context.fleet.record_report(engine.name, report, now)

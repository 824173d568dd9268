"""A small model of engines and of nodes that each decide alone, for measurements."""

import collections
import heapq
import itertools
import math
import random
from collections.abc import Iterator

import attrs

from tanagerkeel.configuration import (
    BackendKind,
    BackendServer,
    Catalog,
    Configuration,
    FailureDomain,
    Model,
)
from tanagerkeel.fleet import Dispatch, FleetTable
from tanagerkeel.gateways.engines import LoadReport
from tanagerkeel.requests import LengthClass, ModelRequest

__all__ = ["MODEL", "Fleet", "Job", "ModelEngine", "Node", "request_of"]

DOMAIN = "cebu-1"
MODEL = "petition-summary"
RATE = 10_000.0
STEP_TOKENS = 2_048
BLOCK_TOKENS = 256
DECODE_S = 2.0
# A step that only decodes takes this long.
DECODE_STEP_S = 0.03
MEMORY_TOKENS = 400_000


@attrs.define(eq=False)
class Job:
    """
    One request on an engine.

    :param request: the request.
    :param node: number of the node that dispatched it.
    :param priority: lower runs first.
    :param arrived_s: when it came to the engine.
    """

    request: ModelRequest
    node: int
    priority: int
    arrived_s: float
    remaining: int = 0
    cached: int = 0
    first_token_s: float = math.inf
    ended_s: float = math.inf
    to_decode: int = 0

    @property
    def between_tokens_s(self) -> float:
        """Mean time between tokens."""
        return (self.ended_s - self.first_token_s) / self.request.max_tokens

    @property
    def waited_s(self) -> float:
        """Time to the first token."""
        return self.first_token_s - self.arrived_s


@attrs.define
class ModelEngine:
    """
    Prefills in steps that mix prompts, urgent ones first.

    :param name: its name.
    :param cache_blocks: blocks that its prefix cache holds.
    :param decodes: whether answers are decoded in the same steps; else they end
        after a fixed time.
    """

    name: str
    cache_blocks: int = 0
    decodes: bool = False
    decoding: list[Job] = attrs.field(factory=list)
    running: int = 0
    memory_used: int = 0
    clock_s: float = 0.0
    jobs: list[Job] = attrs.field(factory=list)
    cache: collections.OrderedDict[int, None] = attrs.field(
        factory=collections.OrderedDict
    )

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens that wait."""
        return sum(job.remaining for job in self.jobs)

    def hit_tokens(self, request: ModelRequest) -> int:
        """Return how much of a prompt is cached."""
        known = itertools.takewhile(self.cache.__contains__, request.blocks)
        return sum(1 for _ in known) * BLOCK_TOKENS

    def take(self, job: Job) -> None:
        """Take in a job now."""
        self.clock_s = max(self.clock_s, job.arrived_s)
        job.cached = min(self.hit_tokens(job.request), job.request.prompt_tokens - 1)
        job.remaining = job.request.prompt_tokens - job.cached
        self.running += 1
        self.memory_used += job.request.memory_tokens
        self.jobs.append(job)

    def advance(self, until_s: float) -> Iterator[Job]:
        """
        Run steps that start before a time.

        :returns: jobs with their first token, and again with their last one.
        """
        while (self.jobs or self.decoding) and self.clock_s < until_s:
            self.jobs.sort(key=lambda j: (j.priority, j.arrived_s))
            budget = STEP_TOKENS
            for job in self.jobs:
                done = min(budget, job.remaining)
                job.remaining -= done
                budget -= done
            step_s = (STEP_TOKENS - budget) / RATE
            if self.decoding:
                step_s = max(step_s, DECODE_STEP_S)
            self.clock_s += step_s
            yield from self._decode()
            for job in [j for j in self.jobs if not j.remaining]:
                self.jobs.remove(job)
                job.first_token_s = self.clock_s
                self._store(job.request.blocks)
                if self.decodes:
                    job.to_decode = job.request.max_tokens
                    self.decoding.append(job)
                yield job

    def _decode(self) -> Iterator[Job]:
        for job in self.decoding:
            job.to_decode -= 1
            if not job.to_decode:
                job.ended_s = self.clock_s
                yield job
        self.decoding = [j for j in self.decoding if j.to_decode]

    def _store(self, blocks: tuple[int, ...]) -> None:
        for block in reversed(blocks):
            self.cache[block] = None
            self.cache.move_to_end(block)
        while len(self.cache) > self.cache_blocks:
            self.cache.popitem(last=False)

    def report(self) -> LoadReport:
        """Return the load report."""
        return LoadReport(
            "i-1",
            running=self.running,
            waiting_tokens=self.waiting_tokens,
            memory_used_tokens=self.memory_used,
            memory_tokens=MEMORY_TOKENS,
            prefill_rate=RATE,
            decode_rate=30.0,
        )


@attrs.define
class Node:
    """
    What one node knows.

    :param table: of the engines.
    :param random: its source of randomness.
    :param corrects: whether it tells the table of its own dispatches.
    """

    table: FleetTable
    random: random.Random
    corrects: bool = True


@attrs.define
class Fleet:
    """
    Engines and nodes; every node gets the same late reports.

    :param engine_count: how many engines.
    :param node_count: how many nodes.
    :param lag_s: age of a report when it comes.
    :param seed: of the nodes' random sources.
    :param cache_blocks: blocks that each engine's prefix cache holds.
    :param corrects: whether nodes correct reports with their own dispatches.
    :param decodes: whether engines decode in the same steps as they prefill.
    """

    engine_count: int
    node_count: int
    lag_s: float
    seed: int
    cache_blocks: int = 0
    corrects: bool = True
    decodes: bool = False
    interval_s: float = 1.0
    now_s: float = 0.0
    engines: dict[str, ModelEngine] = attrs.field(init=False)
    nodes: list[Node] = attrs.field(init=False)
    finished: list[Job] = attrs.field(factory=list)
    _events: list[tuple[float, int, object]] = attrs.field(factory=list)
    _order: Iterator[int] = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        names = [f"engine-{index:02}" for index in range(self.engine_count)]
        self.engines = {
            n: ModelEngine(n, self.cache_blocks, decodes=self.decodes) for n in names
        }
        self.nodes = [
            Node(_table(names), random.Random(f"{self.seed}/{index}"), self.corrects)
            for index in range(self.node_count)
        ]
        for name, engine in self.engines.items():
            self._deliver(name, engine.report(), 0.0)
        self._push(self.interval_s, self._take_reports)

    def dispatch(
        self, node: int, name: str, request: ModelRequest, priority: int = 0
    ) -> Job:
        """Send a request from a node to an engine now."""
        job = Job(request, node, priority, self.now_s)
        if self.nodes[node].corrects:
            dispatch = Dispatch(
                backend=name,
                attempt_id=request.request_id,
                prompt_tokens=request.prompt_tokens,
                memory_tokens=request.memory_tokens,
                urgent=request.length_class is LengthClass.SHORT,
                blocks=request.blocks,
                sent_s=self.now_s,
            )
            self.nodes[node].table.record_dispatch(dispatch)
        self.engines[name].take(job)
        return job

    def advance(self, until_s: float) -> None:
        """Let time pass."""
        while self._events and self._events[0][0] <= until_s:
            at_s, _, action = heapq.heappop(self._events)
            self._run_engines(at_s)
            self.now_s = at_s
            action()
        self._run_engines(until_s)
        self.now_s = until_s

    def _run_engines(self, until_s: float) -> None:
        for name, engine in self.engines.items():
            for job in engine.advance(until_s):
                if math.isfinite(job.ended_s):
                    self._push(job.ended_s, lambda j=job, n=name: self._end(j, n))
                else:
                    self._push(
                        job.first_token_s, lambda j=job, n=name: self._first(j, n)
                    )

    def _first(self, job: Job, name: str) -> None:
        self.finished.append(job)
        table = self.nodes[job.node].table
        table.record_first_token(name, job.request.request_id, self.now_s)
        if not self.decodes:
            self._push(self.now_s + DECODE_S, lambda: self._end(job, name))

    def _end(self, job: Job, name: str) -> None:
        engine = self.engines[name]
        engine.running -= 1
        engine.memory_used -= job.request.memory_tokens
        self.nodes[job.node].table.record_end(name, job.request.request_id, self.now_s)

    def _take_reports(self) -> None:
        taken_s = self.now_s
        reports = [(n, e.report()) for n, e in self.engines.items()]

        def deliver() -> None:
            for name, report in reports:
                self._deliver(name, report, taken_s)

        self._push(taken_s + self.lag_s, deliver)
        self._push(taken_s + self.interval_s, self._take_reports)

    def _deliver(self, name: str, report: LoadReport, taken_s: float) -> None:
        age_ms = round((self.now_s - taken_s) * 1_000)
        for node in self.nodes:
            node.table.record_report(
                name, attrs.evolve(report, age_ms=age_ms), self.now_s
            )

    def _push(self, at_s: float, action: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))


def _table(names: list[str]) -> FleetTable:
    servers = tuple(
        BackendServer(n, BackendKind.ENGINE, "127.0.0.1:1", DOMAIN, (MODEL,))
        for n in names
    )
    table = FleetTable(DOMAIN)
    table.configure(
        Catalog(
            1,
            Configuration(
                models=(Model(MODEL),),
                failure_domains=(FailureDomain(DOMAIN, "central-philippines"),),
                backend_servers=servers,
            ),
        )
    )
    return table


def request_of(
    number: int,
    tokens: int,
    now_s: float,
    short_max_tokens: int = 8_000,
    blocks: tuple[int, ...] = (),
) -> ModelRequest:
    """Return a request without a text."""
    is_short = tokens <= short_max_tokens
    return ModelRequest(
        request_id=f"r-{number}",
        account="agency-1",
        model=MODEL,
        prompt="",
        prompt_tokens=tokens,
        max_tokens=60,
        length_class=LengthClass.SHORT if is_short else LengthClass.LONG,
        deadline_s=now_s + 300.0,
        received_s=now_s,
        fingerprint=str(number),
        blocks=blocks,
    )

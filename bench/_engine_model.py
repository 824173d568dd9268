"""Discrete-event model of engines, and of nodes that choose engines independently."""

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

__all__ = ["MODEL", "Fleet", "Job", "ModelEngine", "Node", "synthetic_request"]

DOMAIN = "cebu-1"
MODEL = "petition-summary"
PREFILL_TOKENS_PER_S = 10_000.0
# Prompt tokens that one engine step prefills at most.
STEP_TOKENS = 2_048
BLOCK_TOKENS = 256
# Time from the first to the last token when decoding is not modelled in steps.
DECODE_S = 2.0
# Shortest step while answers are decoded; each of them gets one token a step.
DECODE_STEP_S = 0.03
MEMORY_TOKENS = 400_000


@attrs.define(eq=False)
class Job:
    """
    One request on an engine; its times are in simulated seconds.

    :param request: the request, without a text.
    :param node: index of the node that dispatched it.
    :param priority: lower values are prefilled first.
    :param arrived_s: when it reached the engine.
    :param remaining_tokens: prompt tokens that are still to be prefilled.
    :param cached_tokens: prompt tokens that the prefix cache held on arrival.
    :param first_token_s: when the first token came; infinite before.
    :param ended_s: when the last token was decoded; infinite before, and always if
        decoding is not modelled in steps.
    :param remaining_output_tokens: tokens that are still to be decoded.
    """

    request: ModelRequest
    node: int
    priority: int
    arrived_s: float
    remaining_tokens: int = 0
    cached_tokens: int = 0
    first_token_s: float = math.inf
    ended_s: float = math.inf
    remaining_output_tokens: int = 0

    @property
    def between_tokens_s(self) -> float:
        """Mean time between tokens, in seconds."""
        return (self.ended_s - self.first_token_s) / self.request.max_tokens

    @property
    def time_to_first_token_s(self) -> float:
        """Time from arrival at the engine to the first token, in seconds."""
        return self.first_token_s - self.arrived_s


@attrs.define
class ModelEngine:
    """
    An engine that prefills in steps that mix prompts, by priority and arrival.

    :param name: name of its backend server.
    :param cache_blocks: capacity of its prefix cache, in blocks.
    :param decodes: whether answers are decoded in the same steps; otherwise a request
        ends ``DECODE_S`` after its first token.
    :param decoding: jobs that have their first token but not their last one.
    :param running: number of jobs that have not ended.
    :param memory_used: memory that those jobs use, in tokens.
    :param clock_s: simulated time at which the next step starts.
    :param jobs: jobs that are not prefilled yet.
    :param cache: hashes of the cached blocks, least recently used first.
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
        """Prompt tokens that are not prefilled yet."""
        return sum(job.remaining_tokens for job in self.jobs)

    def hit_tokens(self, request: ModelRequest) -> int:
        """Return how many tokens of a prompt are in the prefix cache."""
        known = itertools.takewhile(self.cache.__contains__, request.blocks)
        return sum(1 for _ in known) * BLOCK_TOKENS

    def enqueue(self, job: Job) -> None:
        """Add a job to the queue at its arrival time."""
        self.clock_s = max(self.clock_s, job.arrived_s)
        job.cached_tokens = min(
            self.hit_tokens(job.request), job.request.prompt_tokens - 1
        )
        job.remaining_tokens = job.request.prompt_tokens - job.cached_tokens
        self.running += 1
        self.memory_used += job.request.memory_tokens
        self.jobs.append(job)

    def advance(self, until_s: float) -> Iterator[Job]:
        """
        Run the steps that start before ``until_s``.

        :returns: each job when it has its first token, and again when it has its last
            one if decoding is modelled in steps.
        """
        while (self.jobs or self.decoding) and self.clock_s < until_s:
            self.jobs.sort(key=lambda j: (j.priority, j.arrived_s))
            budget = STEP_TOKENS
            for job in self.jobs:
                done = min(budget, job.remaining_tokens)
                job.remaining_tokens -= done
                budget -= done
            step_s = (STEP_TOKENS - budget) / PREFILL_TOKENS_PER_S
            if self.decoding:
                step_s = max(step_s, DECODE_STEP_S)
            self.clock_s += step_s
            yield from self._decode()
            for job in [j for j in self.jobs if not j.remaining_tokens]:
                self.jobs.remove(job)
                job.first_token_s = self.clock_s
                self._cache_prefix(job.request.blocks)
                if self.decodes:
                    job.remaining_output_tokens = job.request.max_tokens
                    self.decoding.append(job)
                yield job

    def _decode(self) -> Iterator[Job]:
        for job in self.decoding:
            job.remaining_output_tokens -= 1
            if not job.remaining_output_tokens:
                job.ended_s = self.clock_s
                yield job
        self.decoding = [j for j in self.decoding if j.remaining_output_tokens]

    def _cache_prefix(self, blocks: tuple[int, ...]) -> None:
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
            prefill_rate=PREFILL_TOKENS_PER_S,
            decode_rate=30.0,
        )


@attrs.define
class Node:
    """
    One node and its own view of the engines.

    :param table: what it knows of the engines.
    :param random: its random number generator.
    :param tracks_dispatches: whether it records its own dispatches in the table.
    """

    table: FleetTable
    random: random.Random
    tracks_dispatches: bool = True


@attrs.define
class Fleet:
    """
    Simulated engines and nodes; all nodes get the same delayed load reports.

    :param engine_count: number of engines.
    :param node_count: number of nodes.
    :param report_lag_s: age of a load report when the nodes receive it.
    :param seed: seeds the nodes' random number generators.
    :param cache_blocks: capacity of each engine's prefix cache, in blocks.
    :param tracks_dispatches: whether nodes correct reports by their own dispatches.
    :param decodes: whether engines decode in the same steps as they prefill.
    :param report_interval_s: time between load reports.
    :param now_s: simulated time.
    :param prefilled: jobs that got their first token.
    """

    engine_count: int
    node_count: int
    report_lag_s: float
    seed: int
    cache_blocks: int = 0
    tracks_dispatches: bool = True
    decodes: bool = False
    report_interval_s: float = 1.0
    now_s: float = 0.0
    engines: dict[str, ModelEngine] = attrs.field(init=False)
    nodes: list[Node] = attrs.field(init=False)
    prefilled: list[Job] = attrs.field(factory=list)
    _events: list[tuple[float, int, object]] = attrs.field(factory=list)
    _sequence: Iterator[int] = attrs.field(factory=itertools.count)

    def __attrs_post_init__(self) -> None:
        names = [f"engine-{index:02}" for index in range(self.engine_count)]
        self.engines = {
            n: ModelEngine(n, self.cache_blocks, decodes=self.decodes) for n in names
        }
        self.nodes = [
            Node(
                _table(names),
                random.Random(f"{self.seed}/{index}"),
                self.tracks_dispatches,
            )
            for index in range(self.node_count)
        ]
        for name, engine in self.engines.items():
            self._deliver(name, engine.report(), 0.0)
        self._push(self.report_interval_s, self._take_reports)

    def dispatch(
        self, node: int, name: str, request: ModelRequest, priority: int = 0
    ) -> Job:
        """Send a request from a node to an engine at the current simulated time."""
        job = Job(request, node, priority, self.now_s)
        if self.nodes[node].tracks_dispatches:
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
        self.engines[name].enqueue(job)
        return job

    def advance(self, until_s: float) -> None:
        """Advance simulated time and run the events that are due."""
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
                    self._push(
                        job.ended_s, lambda j=job, n=name: self._record_end(j, n)
                    )
                else:
                    self._push(
                        job.first_token_s,
                        lambda j=job, n=name: self._record_first_token(j, n),
                    )

    def _record_first_token(self, job: Job, name: str) -> None:
        self.prefilled.append(job)
        table = self.nodes[job.node].table
        table.record_first_token(name, job.request.request_id, self.now_s)
        if not self.decodes:
            self._push(self.now_s + DECODE_S, lambda: self._record_end(job, name))

    def _record_end(self, job: Job, name: str) -> None:
        engine = self.engines[name]
        engine.running -= 1
        engine.memory_used -= job.request.memory_tokens
        self.nodes[job.node].table.record_end(name, job.request.request_id, self.now_s)

    def _take_reports(self) -> None:
        measured_s = self.now_s
        reports = [(n, e.report()) for n, e in self.engines.items()]

        def deliver() -> None:
            for name, report in reports:
                self._deliver(name, report, measured_s)

        self._push(measured_s + self.report_lag_s, deliver)
        self._push(measured_s + self.report_interval_s, self._take_reports)

    def _deliver(self, name: str, report: LoadReport, measured_s: float) -> None:
        age_ms = round((self.now_s - measured_s) * 1_000)
        for node in self.nodes:
            node.table.record_report(
                name, attrs.evolve(report, age_ms=age_ms), self.now_s
            )

    def _push(self, at_s: float, action: object) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))


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


def synthetic_request(
    number: int,
    tokens: int,
    now_s: float,
    short_max_tokens: int = 8_000,
    blocks: tuple[int, ...] = (),
) -> ModelRequest:
    """Return a request of the given length, without a text."""
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

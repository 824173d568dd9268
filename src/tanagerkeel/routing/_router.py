"""Chooses the backend servers for an attempt and estimates its latency."""

import random

import attrs

from tanagerkeel.errors import ResultCode
from tanagerkeel.fleet import BackendSnapshot, FleetTable
from tanagerkeel.requests import LengthClass, ModelRequest
from tanagerkeel.routing._affinity import PrefixAffinity
from tanagerkeel.routing._candidates import (
    healthiest,
    largest_memory_tokens,
    not_excluded,
    serving,
    with_free_memory,
)
from tanagerkeel.routing._gang import plan_gang
from tanagerkeel.routing._groups import EngineGroups
from tanagerkeel.routing._plan import (
    AnswerEstimate,
    Candidate,
    GangPlan,
    NoPlan,
    Plan,
    SinglePlan,
)
from tanagerkeel.routing._score import score_engine

__all__ = ["Router"]

# Engines sampled at random for each plan, in addition to the preferred ones.
RANDOM_CANDIDATES = 3
# Maximum number of long requests that this node runs on one engine.
MAX_LONG_PER_ENGINE = 8
# An engine whose queue takes no longer than this to prefill may count as idle.
IDLE_QUEUE_S = 0.5
RETRY_AFTER_S = 1.0
# Engine priorities; lower runs first.
_PRIORITY = {LengthClass.SHORT: 0, LengthClass.LONG: 1, LengthClass.GANG: 1}


@attrs.define
class Router:
    """
    Plans attempts from this node's view of the fleet.

    Long prompts run on a group of engines of their own, so that short ones don't queue
    behind them; short ones may use engines of that group while they are idle. The
    engine with the lowest expected time to the first token is chosen among a random
    sample and those that likely have the prompt's prefix cached.

    :param fleet: the backend servers of this failure domain.
    :param random: source of randomness.
    """

    _fleet: FleetTable
    _random: random.Random
    _groups: EngineGroups = attrs.field(factory=EngineGroups)
    _affinity: PrefixAffinity = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._affinity = PrefixAffinity(self._fleet)

    def plan(self, request: ModelRequest, excluded: frozenset[str], now: float) -> Plan:
        """
        Return the plan for the next attempt of a request.

        :param request: the request.
        :param excluded: names of backend servers to avoid, because the request failed
            on them before or may not run on them now.
        :param now: this node's monotonic time, in seconds.
        """
        self._groups.record(
            request.request_id,
            request.model,
            request.length_class,
            request.prompt_tokens,
            now,
        )
        engines = self._engines(request, now)
        if not engines:
            detail = f"no engine serves {request.model}"
            return NoPlan(ResultCode.NO_BACKEND, detail)
        usable = healthiest(tuple(not_excluded(engines, excluded)))
        if not usable:
            return NoPlan(ResultCode.NO_BACKEND, "every engine is excluded")
        long_group = self._long_group(request, engines, now)
        if _needs_gang(request, engines):
            return self._plan_gang(request, long_group, usable)
        return self._plan_single(request, long_group, usable)

    def estimate(
        self, request: ModelRequest, now: float, answer_tokens: float | None = None
    ) -> AnswerEstimate | None:
        """
        Return the expected latencies of a request.

        Admission uses them to refuse requests that can't meet their deadlines.

        :param request: the request.
        :param now: this node's monotonic time, in seconds.
        :param answer_tokens: expected length of the answer, in tokens; the request's
            ``max_tokens`` when None.
        :returns: None when no engine serves the model, or when no group of engines can
            hold the prompt.
        """
        engines = self._engines(request, now)
        if not engines:
            return None
        tokens = request.max_tokens if answer_tokens is None else answer_tokens
        usable = healthiest(engines)
        long_group = self._long_group(request, engines, now)
        if _needs_gang(request, engines):
            plan = self._plan_gang(request, long_group, usable)
            return _gang_estimate(request, plan, usable, tokens)
        candidates = tuple(_eligible(request, long_group, usable)) or usable
        preferred = self._preferred(request, long_group, usable)
        best = min(self._score_all(request, candidates, preferred), key=_first_token_s)
        decode_s = tokens / best.snapshot.decode_rate
        answer_s = best.first_token_s + decode_s
        return AnswerEstimate(best.first_token_s, answer_s, best.queue_delay_s)

    def _engines(
        self, request: ModelRequest, now: float
    ) -> tuple[BackendSnapshot, ...]:
        return tuple(serving(self._fleet.snapshots(now), request.model))

    def _long_group(
        self,
        request: ModelRequest,
        engines: tuple[BackendSnapshot, ...],
        now: float,
    ) -> frozenset[str]:
        healthy = healthiest(engines)
        names = tuple(s.server.name for s in healthy)
        long_group = self._groups.long_engines(request.model, names, now)
        queue_s = [
            s.waiting_tokens / s.prefill_rate
            for s in healthy
            if s.server.name in long_group
        ]
        self._groups.record_wait(request.model, sum(queue_s) / len(queue_s))
        return long_group

    def _plan_gang(
        self,
        request: ModelRequest,
        long_group: frozenset[str],
        engines: tuple[BackendSnapshot, ...],
    ) -> GangPlan | NoPlan:
        scores = self._score_all(request, engines)
        priority = _PRIORITY[LengthClass.GANG]
        return plan_gang(request, long_group, engines, scores, priority)

    def _plan_single(
        self,
        request: ModelRequest,
        long_group: frozenset[str],
        engines: tuple[BackendSnapshot, ...],
    ) -> SinglePlan | NoPlan:
        fitting = (e for e in engines if e.memory_tokens >= request.memory_tokens)
        large_enough = tuple(fitting)
        # If no engine of the request's own group is left, any other engine will do.
        in_group = tuple(_eligible(request, long_group, large_enough)) or large_enough
        free = tuple(with_free_memory(in_group, request.memory_tokens))
        if not free:
            detail = "engines for this length are full"
            return NoPlan(ResultCode.NO_MEMORY, detail, RETRY_AFTER_S)
        with_slot = tuple(e for e in free if _has_long_slot(request, e))
        if not with_slot:
            detail = "engines run as many long prompts as they may"
            return NoPlan(ResultCode.NO_BACKEND, detail, RETRY_AFTER_S, may_wait=True)
        preferred = self._preferred(request, long_group, large_enough)
        sampled = self._sample(with_slot, preferred)
        considered = self._score_all(request, sampled, preferred)
        chosen = min(considered, key=_first_token_s)
        return SinglePlan(chosen, considered, _PRIORITY[request.length_class])

    def _preferred(
        self,
        request: ModelRequest,
        long_group: frozenset[str],
        engines: tuple[BackendSnapshot, ...],
    ) -> tuple[str, ...]:
        # Prefers engines of the request's own group only: one of the other group may
        # be idle now, but soon busy again.
        is_short = request.length_class is LengthClass.SHORT
        names = tuple(e.server.name for e in engines)
        own = tuple(n for n in names if (n in long_group) != is_short)
        return self._affinity.preferred(request, own or names)

    def _sample(
        self, engines: tuple[BackendSnapshot, ...], preferred: tuple[str, ...]
    ) -> tuple[BackendSnapshot, ...]:
        # If all nodes chose the best of all engines, they would overload it together
        # (thundering herd).
        count = min(RANDOM_CANDIDATES, len(engines))
        by_name = {e.server.name: e for e in self._random.sample(engines, count)}
        by_name |= {e.server.name: e for e in engines if e.server.name in preferred}
        return tuple(by_name.values())

    def _score_all(
        self,
        request: ModelRequest,
        engines: tuple[BackendSnapshot, ...],
        preferred: tuple[str, ...] = (),
    ) -> tuple[Candidate, ...]:
        return tuple(
            score_engine(
                engine,
                request,
                self._affinity.cached_tokens(request, engine.server.name, preferred),
                "prefix" if engine.server.name in preferred else "",
            )
            for engine in engines
        )


def _first_token_s(candidate: Candidate) -> float:
    return candidate.first_token_s


def _needs_gang(request: ModelRequest, engines: tuple[BackendSnapshot, ...]) -> bool:
    return request.memory_tokens > largest_memory_tokens(engines)


def _eligible(
    request: ModelRequest,
    long_group: frozenset[str],
    engines: tuple[BackendSnapshot, ...],
) -> tuple[BackendSnapshot, ...]:
    if request.length_class is LengthClass.SHORT:
        return tuple(
            e for e in engines if e.server.name not in long_group or _is_idle(e)
        )
    return tuple(e for e in engines if e.server.name in long_group)


def _is_idle(engine: BackendSnapshot) -> bool:
    # A longer queue probably contains a long prompt, from this or another node.
    queue_s = engine.waiting_tokens / engine.prefill_rate
    return engine.own_long_requests == 0 and queue_s <= IDLE_QUEUE_S


def _has_long_slot(request: ModelRequest, engine: BackendSnapshot) -> bool:
    if request.length_class is LengthClass.SHORT:
        return True
    return engine.own_long_requests < MAX_LONG_PER_ENGINE


def _gang_estimate(
    request: ModelRequest,
    plan: Plan,
    engines: tuple[BackendSnapshot, ...],
    answer_tokens: float,
) -> AnswerEstimate | None:
    match plan:
        case GangPlan(segments=segments):
            # The segments are prefilled in parallel.
            queue_delay_s = max(
                s.snapshot.waiting_tokens / s.snapshot.prefill_rate for s in segments
            )
            first_token_s = max(
                (s.snapshot.waiting_tokens + s.tokens) / s.snapshot.prefill_rate
                for s in segments
            )
            decode_rate = segments[-1].snapshot.decode_rate
        case NoPlan(retry_after_s=None):
            return None
        case _:
            # There is not enough free memory now. This is a lower bound: the time on
            # idle engines of the largest size, at the highest rates.
            queue_delay_s = 0.0
            size = max(1, largest_memory_tokens(engines))
            count = -(-request.memory_tokens // size)
            rate = max(e.prefill_rate for e in engines)
            first_token_s = request.prompt_tokens / count / rate
            decode_rate = max(e.decode_rate for e in engines)
    decode_s = answer_tokens / decode_rate
    return AnswerEstimate(first_token_s, first_token_s + decode_s, queue_delay_s)

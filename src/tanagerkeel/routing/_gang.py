"""Plans prompts that are too long for the memory of one engine."""

import itertools
import math
from collections.abc import Iterable

from tanagerkeel.errors import ResultCode
from tanagerkeel.fleet import BackendSnapshot
from tanagerkeel.requests import ModelRequest
from tanagerkeel.routing._plan import Candidate, GangPlan, NoPlan, PlannedSegment

__all__ = ["plan_gang"]

MAX_ENGINES = 8
# Fraction by which the engine's token count may exceed the estimate.
HEADROOM = 0.05
RETRY_AFTER_S = 5.0


def plan_gang(
    request: ModelRequest,
    preferred: frozenset[str],
    engines: tuple[BackendSnapshot, ...],
    scores: tuple[Candidate, ...],
    priority: int,
) -> GangPlan | NoPlan:
    """
    Return a plan with the fewest engines that together hold a prompt.

    Engines outside the preferred group are used only if the group can't hold it.

    :param request: the request.
    :param preferred: names of the engines in the group for long prompts.
    :param engines: the engines that may be used.
    :param scores: the candidates scored for ``engines``, for explanations.
    :param priority: engine priority of the plan; lower runs first.
    """
    within = tuple(e for e in engines if e.server.name in preferred)
    chosen = _fewest_engines(request, within) or _fewest_engines(request, engines)
    if not chosen:
        return _no_memory(request, engines)
    return GangPlan(_segments(request, chosen), scores, priority)


def _no_memory(request: ModelRequest, engines: tuple[BackendSnapshot, ...]) -> NoPlan:
    largest = sorted((e.memory_tokens for e in engines), reverse=True)
    max_usable = sum(map(_usable_tokens, largest[:MAX_ENGINES]))
    if max_usable < request.memory_tokens:
        detail = f"{request.memory_tokens} of at most {max_usable} tokens"
        return NoPlan(ResultCode.NO_MEMORY, detail, None)
    return NoPlan(
        ResultCode.NO_MEMORY,
        "too little is free on engines together",
        RETRY_AFTER_S,
    )


def _usable_tokens(tokens: int) -> int:
    return int(tokens * (1 - HEADROOM))


def _usable_free_tokens(engine: BackendSnapshot) -> int:
    return _usable_tokens(engine.free_memory_tokens)


def _fewest_engines(
    request: ModelRequest, engines: Iterable[BackendSnapshot]
) -> tuple[BackendSnapshot, ...]:
    # The last engine also holds the answer, and any of them may come last, since they
    # are ordered by name.
    able = (e for e in engines if _usable_free_tokens(e) > request.max_tokens)
    largest = sorted(able, key=lambda e: (-_usable_free_tokens(e), e.server.name))[
        :MAX_ENGINES
    ]
    sums = itertools.accumulate(map(_usable_free_tokens, largest))
    for count, total in enumerate(sums, 1):
        if total >= request.memory_tokens:
            return tuple(sorted(largest[:count], key=lambda e: e.server.name))
    return ()


def _segments(
    request: ModelRequest, engines: tuple[BackendSnapshot, ...]
) -> tuple[PlannedSegment, ...]:
    answer_tokens = [0] * (len(engines) - 1) + [request.max_tokens]
    capacities = [
        _usable_free_tokens(e) - a for e, a in zip(engines, answer_tokens, strict=True)
    ]
    length = len(request.prompt)
    ends = [
        length * total // sum(capacities) for total in itertools.accumulate(capacities)
    ]
    starts = [0, *ends[:-1]]
    return tuple(
        PlannedSegment(
            snapshot=engine,
            start=start,
            end=end,
            tokens=_tokens_to_reserve(request, end - start, answer, engine),
        )
        for engine, start, end, answer in zip(
            engines, starts, ends, answer_tokens, strict=True
        )
    )


def _tokens_to_reserve(
    request: ModelRequest, characters: int, answer_tokens: int, engine: BackendSnapshot
) -> int:
    part = characters / max(1, len(request.prompt))
    tokens = part * request.prompt_tokens + answer_tokens
    return min(engine.free_memory_tokens, math.ceil(tokens * (1 + HEADROOM)))

"""
Which backend server runs a request.

Load pattern: short prompts at a high rate beside few prompts that are ten to a
hundred times as long. A long prompt that is read on an engine stretches the pauses
of every answer written there, so each candidate is rated by what the request would
lose there and by what it would cost those that run there already. Short requests
gather on the engines first in a common order, long ones on the last, and each
spreads to the rest only as far as it must.
"""

import itertools
import math
from collections.abc import Iterable, Iterator, Sequence

import attrs
import xxhash

from tanagerkeel.relay._backends import BackendServer
from tanagerkeel.relay._configuration import EngineProfile
from tanagerkeel.relay._ledger import Work
from tanagerkeel.relay._pass_model import Writing, pass_ms, read_ms, step_ms

__all__ = [
    "Candidate",
    "Demand",
    "Estimate",
    "Placement",
    "choose",
    "estimate",
    "readers_for_memory",
]

# A request counts as one unit of worth and one more for each of so many prompt
# tokens, as the deployments weigh their kinds of request.
TOKENS_PER_WORTH = 10_000.0
# Share of its worth that a late answer loses (the deployments' sheets: 0.7 to 0.75).
LATE_LOSS = 0.75
# From this share of an objective on, an estimate counts as at risk; it counts as
# missed from the second one on. Estimates are off by a tenth or two.
RISK_FROM = 0.6
RISK_TO = 1.1
# Work beyond the slots that an engine may be given: it starts the next request
# itself, without the time that a node takes to learn of a free slot.
QUEUE_AHEAD = 2
# Loss that the place in the common order counts for; small beside any real loss.
ORDER_LOSS = 0.02
# Loss of a send to another failure domain.
ACROSS_LOSS = 0.01
# Loss of a backend server that fails every send, in units of the request's worth.
FAILING_LOSS = 2.0
COLD_LOSS = 0.3
# Prompts from this length on are ordered from the end of the common order.
LONG_TOKENS = 20_000
# Share of the objective within which the prompt of a request is to be read; beyond
# it, more engines read parts of it.
READ_SHARE = 0.55
# An engine takes up to 16 helpers; more readers than this would take most of a small
# fleet from all others.
MAX_READERS = 10
# Share of an engine's memory that is counted on: it is given out in blocks.
MEMORY_SHARE = 0.97
# Time between a node and an engine, both ways, in milliseconds.
NETWORK_MS = 4.0


@attrs.frozen
class Demand:
    """
    What is to be placed.

    :param prompt_tokens: length of the prompt; 0 for a plain service.
    :param answer_tokens: expected length of the answer.
    :param objective_ms: what is left of the time to the first event or the answer.
    :param gap_objective_ms: longest pause between events; 0 when none counts.
    :param usual_ms: how long a call of a plain service usually takes.
    """

    prompt_tokens: int
    answer_tokens: int
    objective_ms: float
    gap_objective_ms: float
    usual_ms: float = 0.0

    @property
    def worth(self) -> float:
        """Its worth relative to other requests."""
        return _worth(self.prompt_tokens)


@attrs.frozen
class Candidate:
    """
    A backend server that could run a request.

    :param server: the backend server.
    :param profile: how it works; None for a plain service.
    :param works: what runs there.
    :param near: whether it is in this node's failure domain.
    :param cold: whether it is cold.
    :param failing: share of sends to it that failed lately.
    :param pace: how much slower it is than expected.
    """

    server: BackendServer
    profile: EngineProfile | None
    works: Sequence[Work] = ()
    near: bool = True
    cold: bool = False
    failing: float = 0.0
    pace: float = 1.0


@attrs.frozen
class Estimate:
    """
    What becomes of a request on one candidate.

    :param first_ms: time to the first event, or to the answer.
    :param end_ms: time to the end.
    :param pause_ms: longest pause between events while others read there.
    :param loss: expected loss, its own and that of others, in units of worth.
    """

    first_ms: float
    end_ms: float
    pause_ms: float
    loss: float


@attrs.frozen
class Placement:
    """
    Where a request runs.

    :param candidate: the backend server.
    :param helpers: backend servers that read parts of its prompt.
    :param estimate: what is expected.
    :param reserves: whether the helpers also hold their parts of the prompt, for
        which memory must be set aside.
    """

    candidate: Candidate
    helpers: tuple[Candidate, ...]
    estimate: Estimate
    reserves: bool = False

    @property
    def readers(self) -> tuple[Candidate, ...]:
        """All backend servers that read its prompt."""
        return (self.candidate, *self.helpers)


def _worth(prompt_tokens: float) -> float:
    return 1.0 + prompt_tokens / TOKENS_PER_WORTH


def _risk(value: float, objective: float) -> float:
    if objective <= 0:
        return 1.0
    share = value / objective
    return min(1.0, max(0.0, (share - RISK_FROM) / (RISK_TO - RISK_FROM)))


def _rank(domain: str, backend_id: str) -> int:
    return xxhash.xxh32_intdigest(f"{domain} {backend_id}".encode())


def estimate(
    candidate: Candidate, demand: Demand, now: float, parts: int = 1
) -> Estimate:
    """
    Return what becomes of a request on a candidate.

    :param candidate: the backend server.
    :param demand: the request.
    :param now: monotonic time, in seconds.
    :param parts: engines that read even parts of its prompt.
    """
    if candidate.profile is None:
        return _estimate_plain(candidate, demand)
    return _estimate_engine(candidate, candidate.profile, demand, now, parts)


def _estimate_plain(candidate: Candidate, demand: Demand) -> Estimate:
    slots = max(1, candidate.server.slots)
    rounds = len(candidate.works) // slots
    # A tenth for each that runs already: equal ones share the work.
    share = len(candidate.works) / slots
    first_ms = candidate.pace * demand.usual_ms * (1 + rounds) + NETWORK_MS
    loss = _risk(first_ms, demand.objective_ms) * LATE_LOSS + 0.1 * share
    return Estimate(first_ms, first_ms, 0.0, loss + _soft_loss(candidate, demand))


def _estimate_engine(
    candidate: Candidate,
    profile: EngineProfile,
    demand: Demand,
    now: float,
    parts: int,
) -> Estimate:
    works = candidate.works
    writing = [w for w in works if not w.reading(now)]
    unread = [w.unread_tokens(now) for w in works if w.reading(now)]
    written = sum(w.prompt_tokens for w in writing)
    beside = Writing(len(writing), written)
    part = demand.prompt_tokens / parts
    own_read = read_ms(profile, demand.prompt_tokens, parts=parts)
    ahead = sum(read_ms(profile, tokens) for tokens in unread)
    slot_ms = _slot_wait_ms(works, profile.slots, now)
    memory_ms = _memory_wait_ms(works, profile, demand, parts, now)
    steps = part / profile.chunk_tokens
    between = step_ms(profile, beside) * (
        steps + (profile.stride / 2 if writing else 0)
    )
    first_ms = candidate.pace * (ahead + own_read + between) + NETWORK_MS
    first_ms += max(slot_ms, memory_ms)
    after = Writing(
        len(works) + 1,
        sum(w.prompt_tokens for w in works) + part,
    )
    end_ms = first_ms + candidate.pace * demand.answer_tokens * step_ms(profile, after)
    before_ms = candidate.pace * pass_ms(profile, beside, unread)
    with_ms = candidate.pace * pass_ms(profile, beside, (*unread, part))
    harm = sum(
        _worth(w.prompt_tokens)
        * LATE_LOSS
        * max(
            0.0,
            _risk(with_ms, w.gap_objective_ms) - _risk(before_ms, w.gap_objective_ms),
        )
        for w in writing
        if w.gap_objective_ms
    )
    own = _risk(first_ms, demand.objective_ms) * demand.worth * LATE_LOSS
    loss = own + harm + _soft_loss(candidate, demand)
    return Estimate(first_ms, end_ms, with_ms, loss)


def _soft_loss(candidate: Candidate, demand: Demand) -> float:
    across = 0.0 if candidate.near else ACROSS_LOSS
    cold = COLD_LOSS * demand.worth if candidate.cold else 0.0
    return across + cold + candidate.failing * FAILING_LOSS * demand.worth


def _slot_wait_ms(works: Sequence[Work], slots: int, now: float) -> float:
    over = len(works) + 1 - slots
    if over <= 0:
        return 0.0
    ends = sorted(max(w.end_s, now) for w in works)
    return 1_000 * (ends[over - 1] - now)


def _memory_wait_ms(
    works: Sequence[Work],
    profile: EngineProfile,
    demand: Demand,
    parts: int,
    now: float,
) -> float:
    needed = (demand.prompt_tokens + demand.answer_tokens) / parts
    room = profile.memory_tokens * MEMORY_SHARE
    held = sum(w.prompt_tokens + w.answer_tokens for w in works)
    if held + needed <= room:
        return 0.0
    for work in sorted(works, key=lambda w: w.end_s):
        held -= work.prompt_tokens + work.answer_tokens
        if held + needed <= room:
            return 1_000 * max(0.0, work.end_s - now)
    return float("inf")


def has_room(candidate: Candidate) -> bool:
    """Return whether a candidate may be given one more request."""
    if candidate.profile is None:
        return len(candidate.works) < candidate.server.slots + QUEUE_AHEAD
    return len(candidate.works) < candidate.profile.slots + QUEUE_AHEAD


def choose(
    candidates: Iterable[Candidate], demand: Demand, now: float, domain: str
) -> Placement | None:
    """
    Return where a request runs best; None when no candidate has room.

    :param candidates: backend servers that may run it.
    :param demand: the request.
    :param now: monotonic time, in seconds.
    :param domain: failure domain of this node; its nodes share the common order.
    """
    open_ones = sorted(
        (c for c in candidates if has_room(c)),
        key=lambda c: (not c.near, _rank(domain, c.server.backend_id)),
    )
    if demand.prompt_tokens >= LONG_TOKENS:
        open_ones.reverse()
    options = itertools.chain(
        _alone(open_ones, demand, now), _together(open_ones, demand, now)
    )
    return min(options, key=lambda rated: rated[0], default=(0.0, None))[1]


def _alone(
    candidates: Sequence[Candidate], demand: Demand, now: float
) -> Iterator[tuple[float, Placement]]:
    last = max(1, len(candidates) - 1)
    for place, candidate in enumerate(candidates):
        rated = estimate(candidate, demand, now)
        if math.isfinite(rated.first_ms):
            cost = rated.loss + ORDER_LOSS * place / last
            yield cost, Placement(candidate, (), rated)


def _together(
    candidates: Sequence[Candidate], demand: Demand, now: float
) -> Iterator[tuple[float, Placement]]:
    if demand.prompt_tokens < LONG_TOKENS or not candidates:
        return
    profile = candidates[0].profile
    if profile is None:
        return
    aim_ms = READ_SHARE * demand.objective_ms
    least = readers_for_memory(profile, demand)
    if least == 1 and read_ms(profile, demand.prompt_tokens) <= aim_ms:
        return
    idle = [c for c in candidates if not c.works and not c.cold]
    idle.sort(key=lambda c: c.failing)
    for readers in range(max(2, least), min(MAX_READERS, len(idle)) + 1):
        first, *helpers = idle[:readers]
        rated = estimate(first, demand, now, readers)
        yield rated.loss, Placement(first, tuple(helpers), rated, least > 1)
        if read_ms(profile, demand.prompt_tokens, parts=readers) <= aim_ms:
            return


def readers_for_memory(profile: EngineProfile, demand: Demand) -> int:
    """Return how many engines it takes to hold a request's prompt and answer."""
    usable = profile.memory_tokens * MEMORY_SHARE
    return math.ceil((demand.prompt_tokens + demand.answer_tokens) / usable)

"""
What becomes of a request on a backend server, and what that costs the others.

A long prompt that is read on an engine stretches the pauses of every answer that is
written there; the pass model tells by how much.
"""

import math
from collections.abc import Sequence

import attrs

from tanagerkeel.relay._backends import BackendServer
from tanagerkeel.relay._configuration import EngineProfile
from tanagerkeel.relay._ledger import Work
from tanagerkeel.relay._pass_model import (
    Reading,
    Writing,
    pass_ms,
    read_ms,
    step_ms,
)

__all__ = [
    "Candidate",
    "Demand",
    "Estimate",
    "estimate",
    "reading_at",
    "readers_for_memory",
    "writing_at",
]

# A request counts as one unit of worth and one more for each of so many prompt
# tokens, as the deployments weigh their kinds of request.
TOKENS_PER_WORTH = 10_000.0
# Share of its worth that a late answer loses (the deployments' sheets: 0.7 to 0.75).
LATE_LOSS = 0.75
# From this share of an objective on, an estimate counts as at risk; it counts as
# missed from the second one on. Estimates are off by a tenth or two.
RISK_FROM = 0.75
RISK_TO = 1.05
# A stretched pass also hits those that come while it lasts, so that harm to others
# counts this much more than an equal loss of its own.
HARM_WEIGHT = 1.5
# Share of its worth that a request stands to lose on an engine's last slot: another
# node may be giving it away at the same moment.
LAST_SLOT_LOSS = 0.1
# Loss of a send to another failure domain.
ACROSS_LOSS = 0.01
# Loss of a backend server that fails every send, in units of the request's worth.
FAILING_LOSS = 2.0
# Share of failures that says nothing: a single one of five sends.
FAILING_FROM = 0.25
COLD_LOSS = 0.3
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
    :param patience_ms: what is left of the time that the caller waits for the first
        event.
    :param usual_ms: how long a call of a plain service usually takes.
    """

    prompt_tokens: int
    answer_tokens: int
    objective_ms: float
    gap_objective_ms: float
    patience_ms: float = float("inf")
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
    :param own: its own expected loss, in units of worth.
    :param harm: expected loss of those that run there, in units of worth.
    """

    first_ms: float
    end_ms: float
    pause_ms: float
    own: float
    harm: float

    @property
    def loss(self) -> float:
        """Expected loss in all, in units of worth."""
        return self.own + self.harm


def _worth(prompt_tokens: float) -> float:
    return 1.0 + prompt_tokens / TOKENS_PER_WORTH


def _risk(value: float, objective: float) -> float:
    if objective <= 0:
        return 1.0
    share = value / objective
    return min(1.0, max(0.0, (share - RISK_FROM) / (RISK_TO - RISK_FROM)))


def _own_loss(first_ms: float, demand: Demand) -> float:
    late = LATE_LOSS * _risk(first_ms, demand.objective_ms)
    lost = (1.0 - LATE_LOSS) * _risk(first_ms, demand.patience_ms)
    return (late + lost) * demand.worth


def estimate(
    candidate: Candidate,
    demand: Demand,
    now: float,
    readers: int = 1,
    reserves: bool = False,
) -> Estimate:
    """
    Return what becomes of a request on a candidate.

    :param candidate: the backend server.
    :param demand: the request.
    :param now: monotonic time, in seconds.
    :param readers: engines that read even parts of its prompt.
    :param reserves: whether each of them also holds its part.
    """
    if candidate.profile is None:
        return _estimate_plain(candidate, demand)
    return _estimate_engine(
        candidate, candidate.profile, demand, now, readers, reserves
    )


def _estimate_plain(candidate: Candidate, demand: Demand) -> Estimate:
    slots = max(1, candidate.server.slots)
    rounds = len(candidate.works) // slots
    # A tenth for each that runs already: equal ones share the work.
    share = len(candidate.works) / slots
    first_ms = candidate.pace * demand.usual_ms * (1 + rounds) + NETWORK_MS
    own = _own_loss(first_ms, demand) + 0.1 * share + _soft_loss(candidate, demand)
    return Estimate(first_ms, first_ms, 0.0, own, 0.0)


def _estimate_engine(
    candidate: Candidate,
    profile: EngineProfile,
    demand: Demand,
    now: float,
    readers: int,
    reserves: bool,
) -> Estimate:
    works = candidate.works
    reading = reading_at(works, now)
    beside = writing_at(works)
    part = demand.prompt_tokens / readers
    # Parts of prompts are read ahead of whole ones.
    first = works if readers == 1 else [w for w in works if w.joint]
    ahead_ms = sum(
        read_ms(profile, r.unread_tokens, r.whole_tokens - r.unread_tokens)
        for r in reading_at(first, now)
    )
    own_ms = read_ms(profile, demand.prompt_tokens, parts=readers)
    steps = part / profile.chunk_tokens + (profile.stride / 2 if beside.count else 0)
    first_ms = candidate.pace * (ahead_ms + own_ms + steps * step_ms(profile, beside))
    first_ms += NETWORK_MS + max(
        _slot_wait_ms(works, profile.slots, now),
        _memory_wait_ms(works, profile, demand, readers if reserves else 1, now),
    )
    after = Writing(len(works) + 1, sum(w.prompt_tokens for w in works) + part)
    end_ms = first_ms + candidate.pace * demand.answer_tokens * step_ms(profile, after)
    before_ms = candidate.pace * pass_ms(profile, beside, reading)
    own_part = Reading(part, float(demand.prompt_tokens))
    with_ms = candidate.pace * pass_ms(profile, beside, (*reading, own_part))
    harm = sum(
        HARM_WEIGHT
        * _worth(w.whole_tokens)
        * LATE_LOSS
        * max(
            0.0,
            _risk(with_ms, w.gap_objective_ms) - _risk(before_ms, w.gap_objective_ms),
        )
        for w in works
        if w.started and w.gap_objective_ms
    )
    if readers > 1:
        harm += _delay_loss(works, candidate.pace * own_ms, now)
    own = _own_loss(first_ms, demand) + _soft_loss(candidate, demand)
    if len(works) + 1 == profile.slots:
        own += LAST_SLOT_LOSS * demand.worth
    return Estimate(first_ms, end_ms, with_ms, own, harm)


def reading_at(works: Sequence[Work], now: float) -> list[Reading]:
    """Return what is read on an engine where this runs, in its order."""
    unread = sorted((w for w in works if not w.started), key=lambda w: not w.joint)
    return [Reading(w.unread_tokens(now), w.whole_tokens) for w in unread]


def writing_at(works: Sequence[Work]) -> Writing:
    """Return what is written on an engine where this runs."""
    writers = [w for w in works if w.started]
    return Writing(len(writers), sum(w.prompt_tokens for w in writers))


def _delay_loss(works: Sequence[Work], delay_ms: float, now: float) -> float:
    """Return what prompts that wait lose by a part that is read ahead of them."""
    waiting = (w for w in works if not (w.started or w.joint))
    return sum(
        _worth(w.whole_tokens)
        * LATE_LOSS
        * (
            _risk(1_000 * max(0.0, w.first_s - now) + delay_ms, 1_000 * (w.due_s - now))
            - _risk(1_000 * max(0.0, w.first_s - now), 1_000 * (w.due_s - now))
        )
        for w in waiting
    )


def _soft_loss(candidate: Candidate, demand: Demand) -> float:
    across = 0.0 if candidate.near else ACROSS_LOSS
    cold = COLD_LOSS * demand.worth if candidate.cold else 0.0
    failing = max(0.0, candidate.failing - FAILING_FROM)
    return across + cold + failing * FAILING_LOSS * demand.worth


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


def readers_for_memory(profile: EngineProfile, demand: Demand) -> int:
    """Return how many engines it takes to hold a request's prompt and answer."""
    usable = profile.memory_tokens * MEMORY_SHARE
    return max(1, math.ceil((demand.prompt_tokens + demand.answer_tokens) / usable))

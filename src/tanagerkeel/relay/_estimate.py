"""
The expected latency of a request on a backend server, and its effect on others there.

It is estimated from what is assigned to the backend server, from its measured latency
and failures, and for engines from the pass model.

Load pattern: a long prompt that is prefilled on an engine lengthens the pauses of every
answer that is decoded there. In a fleet of many senders, nodes also learn of each
other's sends later than a burst fills an engine, so that each assignment makes the
next one there riskier.
"""

import math
from collections.abc import Sequence

import attrs

from tanagerkeel.queueing import CallerCost
from tanagerkeel.relay._assignments import Assignment, default_cost
from tanagerkeel.relay._backends import BackendServer
from tanagerkeel.relay._configuration import EngineProfile
from tanagerkeel.relay._pass_model import (
    DecodeBatch,
    Prefill,
    longest_pass_ms,
    prefill_ms,
    step_ms,
)

__all__ = [
    "Candidate",
    "Demand",
    "Estimate",
    "LONG_PROMPT_TOKENS",
    "decode_batch_of",
    "engines_for_memory",
    "estimate",
    "prefills_of",
]

# Prompts from this length on, in tokens, are long: their prefill takes so many steps
# that it lengthens the pauses of other answers.
LONG_PROMPT_TOKENS = 20_000
# Ratios of an estimate to its objective: the risk of a miss is 0 up to the first ratio,
# 1 from the second one on, and linear between them. Estimates are off by 10 to 20 %.
RISK_FROM_RATIO = 0.75
RISK_TO_RATIO = 1.05
# Factor by which a loss of other requests counts more than an equal loss of the request
# itself: a long pass also delays the requests that arrive while it lasts.
OTHERS_LOSS_FACTOR = 1.5
# Share of its weight that a request may lose on an engine's last slot: another node may
# be assigning that slot at the same moment.
LAST_SLOT_LOSS = 0.1
# The same for a short request where many nodes send: it grows with the cube of the
# share of slots taken, so that few assignments cost nearly nothing and short requests
# still share engines. Long ones count the harm to the answers there.
CROWD_LOSS = 0.2
# Share of its weight that a request may lose in another failure domain where many nodes
# send: of most requests there this node learns when they have ended. It lies between
# the losses of a short request on the last slot but one and on the last slot.
UNSEEN_DOMAIN_LOSS = 0.18
# The same for a short request to a failure domain whose load was reported, and what its
# age adds, for each second. A send there costs a message to each node, so that it pays
# when the own engines have a slot or two left and the others half. A report of the age
# of a short request says nothing any more.
REPORTED_DOMAIN_LOSS = 0.05
REPORT_AGE_LOSS_PER_S = 0.1
# Share of its weight that a late request loses further until its caller stops waiting:
# the later it begins, the more work of others delays it.
DELAY_LOSS = 0.1
# Loss of a send to another failure domain, in units of weight.
OTHER_DOMAIN_LOSS = 0.01
# Loss on a backend server that fails every send, as a multiple of the request's weight.
FAILURE_LOSS = 2.0
# Failure rate up to which nothing is lost: a single failure out of five sends is no
# sign of a fault.
IGNORED_FAILURE_RATE = 0.25
# Share of its weight that a request loses on a cold backend server.
COLD_LOSS = 0.3
# Share of an engine's memory that can be used: memory is allocated in blocks, which
# are not all full.
USABLE_MEMORY_SHARE = 0.97
# Network round trip between a node and an engine, in milliseconds.
ROUND_TRIP_MS = 4.0


@attrs.frozen
class Demand:
    """
    What a request that is to be placed needs; times are in milliseconds.

    :param prompt_tokens: length of the prompt; 0 for a plain service.
    :param answer_tokens: expected length of the answer.
    :param objective_ms: time left until the first event or the answer misses its
        latency objective.
    :param gap_objective_ms: objective for the longest pause between events; 0 for no
        objective.
    :param caller_timeout_ms: time left until the caller stops waiting for the next
        event or the answer.
    :param average_call_ms: average duration of a call of the plain service; unused for
        engines.
    :param deadline_ms: time left until the answer must be complete.
    :param many_senders: whether so many nodes send that each learns of most sends late.
    :param cost: what the caller loses when it is late or not served.
    """

    prompt_tokens: int
    answer_tokens: int
    objective_ms: float
    gap_objective_ms: float
    caller_timeout_ms: float = float("inf")
    average_call_ms: float = 0.0
    deadline_ms: float = float("inf")
    many_senders: bool = False
    cost: CallerCost = attrs.field()

    @cost.default
    def _cost_by_length(self) -> CallerCost:
        return default_cost(self.prompt_tokens)

    @property
    def weight(self) -> float:
        """Weight of the request relative to others."""
        return self.cost.weight


@attrs.frozen
class Candidate:
    """
    A backend server that could run a request.

    :param server: the backend server.
    :param profile: profile of the engine; None for a plain service.
    :param assignments: what is assigned to it, by all nodes.
    :param same_domain: whether it is in this node's failure domain.
    :param cold: whether it is in its cold start.
    :param failure_rate: share of recent sends to it that failed.
    :param latency_ratio: measured over expected time to the first event; 1 is as
        expected.
    :param limited: whether it named a limit on the requests per second that it takes.
    :param load_age_s: age of the report of its failure domain's load that the
        assignments hold, in seconds; None without a valid report.
    """

    server: BackendServer
    profile: EngineProfile | None
    assignments: Sequence[Assignment] = ()
    same_domain: bool = True
    cold: bool = False
    failure_rate: float = 0.0
    latency_ratio: float = 1.0
    limited: bool = False
    load_age_s: float | None = None


@attrs.frozen
class Estimate:
    """
    What is expected of a request on one candidate; times are in milliseconds.

    :param first_ms: time to the first event, or to the answer of a plain service.
    :param end_ms: time to the end of the answer.
    :param pause_ms: longest pause between events while prompts are prefilled there.
    :param own_loss: expected loss of the request itself, in units of weight.
    :param others_loss: expected loss of the requests that run there already, in units
        of weight.
    """

    first_ms: float
    end_ms: float
    pause_ms: float
    own_loss: float
    others_loss: float

    @property
    def loss(self) -> float:
        """Total expected loss, in units of weight."""
        return self.own_loss + self.others_loss


def _miss_risk(value: float, objective: float) -> float:
    if objective <= 0:
        return 1.0
    ratio = value / objective
    return min(
        1.0, max(0.0, (ratio - RISK_FROM_RATIO) / (RISK_TO_RATIO - RISK_FROM_RATIO))
    )


def _own_loss(first_ms: float, demand: Demand) -> float:
    late_share = demand.cost.late_share
    late = late_share * _miss_risk(first_ms, demand.objective_ms)
    abandoned = (1.0 - late_share) * _miss_risk(first_ms, demand.caller_timeout_ms)
    return (late + abandoned) * demand.weight


def estimate(
    candidate: Candidate,
    demand: Demand,
    now: float,
    engines: int = 1,
    holds_parts: bool = False,
) -> Estimate:
    """
    Return what is expected of a request on a candidate.

    :param candidate: the backend server.
    :param demand: what the request needs.
    :param now: monotonic time, in seconds.
    :param engines: how many engines prefill equal parts of the prompt.
    :param holds_parts: whether each of these engines also keeps its part of the prompt
        in memory until the answer ends.
    """
    if candidate.profile is None:
        return _estimate_plain(candidate, demand)
    return _estimate_engine(
        candidate, candidate.profile, demand, now, engines, holds_parts
    )


def _estimate_plain(candidate: Candidate, demand: Demand) -> Estimate:
    slots = max(1, candidate.server.slots)
    rounds = len(candidate.assignments) // slots
    # Up to a tenth per filled set of slots, to spread calls over equal servers.
    load = len(candidate.assignments) / slots
    first_ms = (
        candidate.latency_ratio * demand.average_call_ms * (1 + rounds) + ROUND_TRIP_MS
    )
    own_loss = _own_loss(first_ms, demand) + 0.1 * load + _penalty(candidate, demand)
    return Estimate(first_ms, first_ms, 0.0, own_loss, 0.0)


def _estimate_engine(
    candidate: Candidate,
    profile: EngineProfile,
    demand: Demand,
    now: float,
    engines: int,
    holds_parts: bool,
) -> Estimate:
    assignments = candidate.assignments
    prefills = prefills_of(assignments, now)
    batch = decode_batch_of(assignments)
    part_tokens = demand.prompt_tokens / engines
    # Engines prefill parts of split prompts ahead of unsplit ones.
    ahead = assignments if engines == 1 else [a for a in assignments if a.split]
    ahead_ms = sum(
        prefill_ms(profile, p.tokens_left, p.prompt_tokens - p.tokens_left)
        for p in prefills_of(ahead, now)
    )
    own_prefill_ms = prefill_ms(profile, demand.prompt_tokens, parts=engines)
    steps = part_tokens / profile.chunk_tokens + (
        profile.steps_per_pass / 2 if batch.count else 0
    )
    first_ms = candidate.latency_ratio * (
        ahead_ms + own_prefill_ms + steps * step_ms(profile, batch)
    )
    first_ms += ROUND_TRIP_MS + max(
        _slot_wait_ms(assignments, profile.slots, now),
        _memory_wait_ms(
            assignments, profile, demand, engines if holds_parts else 1, now
        ),
    )
    batch_after = DecodeBatch(
        len(assignments) + 1, sum(a.prompt_tokens for a in assignments) + part_tokens
    )
    end_ms = first_ms + candidate.latency_ratio * demand.answer_tokens * step_ms(
        profile, batch_after
    )
    pause_before_ms = candidate.latency_ratio * longest_pass_ms(
        profile, batch, prefills
    )
    own_prefill = Prefill(part_tokens, float(demand.prompt_tokens))
    pause_ms = candidate.latency_ratio * longest_pass_ms(
        profile, batch, (*prefills, own_prefill)
    )
    others_loss = sum(
        OTHERS_LOSS_FACTOR
        * a.cost.weight
        * a.cost.late_share
        * max(
            0.0,
            _miss_risk(pause_ms, a.gap_objective_ms)
            - _miss_risk(pause_before_ms, a.gap_objective_ms),
        )
        for a in assignments
        if a.first_event_seen and a.gap_objective_ms
    )
    if demand.many_senders:
        others_loss += _later_pause_loss(candidate, profile, pause_ms, first_ms, now)
    if engines > 1:
        others_loss += _delay_loss(
            assignments, candidate.latency_ratio * own_prefill_ms, now
        )
    own_loss = _own_loss(first_ms, demand) + _penalty(candidate, demand)
    own_loss += demand.weight * _crowd_share(len(assignments) + 1, profile, demand)
    if demand.many_senders:
        own_loss += demand.weight * _delay_share(first_ms, end_ms, demand)
    return Estimate(first_ms, end_ms, pause_ms, own_loss, others_loss)


def _crowd_share(taken: int, profile: EngineProfile, demand: Demand) -> float:
    """Return the share of the weight at risk by sends that this node doesn't know."""
    if demand.many_senders and demand.prompt_tokens < LONG_PROMPT_TOKENS:
        return CROWD_LOSS * (taken / profile.slots) ** 3
    return LAST_SLOT_LOSS if taken == profile.slots else 0.0


def _delay_share(first_ms: float, end_ms: float, demand: Demand) -> float:
    """Return the share of the weight lost by a late begin, or by a late end."""
    late_ms = max(0.0, first_ms - demand.objective_ms)
    until_timeout_ms = max(1.0, demand.caller_timeout_ms - demand.objective_ms)
    delay = DELAY_LOSS * min(1.0, late_ms / until_timeout_ms)
    unfinished = (1.0 - demand.cost.late_share) * _miss_risk(end_ms, demand.deadline_ms)
    return delay + unfinished


def prefills_of(assignments: Sequence[Assignment], now: float) -> list[Prefill]:
    """Return the prefills left on an engine with these assignments, in its order."""
    waiting = sorted(
        (a for a in assignments if not a.first_event_seen), key=lambda a: not a.split
    )
    return [Prefill(a.tokens_left(now), a.full_prompt_tokens) for a in waiting]


def decode_batch_of(assignments: Sequence[Assignment]) -> DecodeBatch:
    """Return the requests that an engine with these assignments decodes."""
    decoding = [a for a in assignments if a.first_event_seen]
    return DecodeBatch(len(decoding), sum(a.prompt_tokens for a in decoding))


def _later_pause_loss(
    candidate: Candidate,
    profile: EngineProfile,
    pause_ms: float,
    first_ms: float,
    now: float,
) -> float:
    """
    Return the expected loss of requests that begin to be decoded during a prefill.

    Load pattern: several prompts of medium length arrive within half a second. Each
    would begin in time on the same engine, and the first answers there would then pause
    while the later prompts are prefilled.

    :param pause_ms: longest pause during the prefill.
    :param first_ms: when the prefill ends.
    """
    waiting = [a for a in candidate.assignments if not a.first_event_seen]
    last_s = max((a.first_s for a in waiting), default=now)
    batch = DecodeBatch(
        len(candidate.assignments), sum(a.prompt_tokens for a in candidate.assignments)
    )
    undisturbed_ms = candidate.latency_ratio * longest_pass_ms(profile, batch)
    # Those before the last one are disturbed by its prefill in any case.
    return sum(
        OTHERS_LOSS_FACTOR
        * a.cost.weight
        * a.cost.late_share
        * max(
            0.0,
            _miss_risk(pause_ms, a.gap_objective_ms)
            - _miss_risk(undisturbed_ms, a.gap_objective_ms),
        )
        for a in waiting
        if a.gap_objective_ms
        and a.first_s >= last_s
        and 1_000 * (a.first_s - now) < first_ms
    )


def _delay_loss(
    assignments: Sequence[Assignment], delay_ms: float, now: float
) -> float:
    """Return the expected loss of the unsplit prompts that a part goes ahead of."""
    waiting = (a for a in assignments if not (a.first_event_seen or a.split))
    return sum(
        a.cost.weight
        * a.cost.late_share
        * (
            _miss_risk(
                1_000 * max(0.0, a.first_s - now) + delay_ms, 1_000 * (a.due_s - now)
            )
            - _miss_risk(1_000 * max(0.0, a.first_s - now), 1_000 * (a.due_s - now))
        )
        for a in waiting
    )


def _penalty(candidate: Candidate, demand: Demand) -> float:
    other_domain = 0.0 if candidate.same_domain else OTHER_DOMAIN_LOSS
    unseen = demand.many_senders and candidate.profile is not None
    if unseen and not candidate.same_domain:
        other_domain += _unseen_share(candidate, demand) * demand.weight
    cold = COLD_LOSS * demand.weight if candidate.cold else 0.0
    excess_failure_rate = max(0.0, candidate.failure_rate - IGNORED_FAILURE_RATE)
    return other_domain + cold + excess_failure_rate * FAILURE_LOSS * demand.weight


def _unseen_share(candidate: Candidate, demand: Demand) -> float:
    """Return the share of the weight at risk in another failure domain."""
    # A report doesn't say which pauses a long prompt may cause to the answers there.
    if candidate.load_age_s is None or demand.prompt_tokens >= LONG_PROMPT_TOKENS:
        return UNSEEN_DOMAIN_LOSS
    age_share = REPORT_AGE_LOSS_PER_S * candidate.load_age_s
    return min(UNSEEN_DOMAIN_LOSS, REPORTED_DOMAIN_LOSS + age_share)


def _slot_wait_ms(assignments: Sequence[Assignment], slots: int, now: float) -> float:
    excess = len(assignments) + 1 - slots
    if excess <= 0:
        return 0.0
    end_times_s = sorted(max(a.end_s, now) for a in assignments)
    return 1_000 * (end_times_s[excess - 1] - now)


def _memory_wait_ms(
    assignments: Sequence[Assignment],
    profile: EngineProfile,
    demand: Demand,
    parts: int,
    now: float,
) -> float:
    needed = (demand.prompt_tokens + demand.answer_tokens) / parts
    usable = profile.memory_tokens * USABLE_MEMORY_SHARE
    held = sum(a.prompt_tokens + a.answer_tokens for a in assignments)
    if held + needed <= usable:
        return 0.0
    for assignment in sorted(assignments, key=lambda a: a.end_s):
        held -= assignment.prompt_tokens + assignment.answer_tokens
        if held + needed <= usable:
            return 1_000 * max(0.0, assignment.end_s - now)
    return float("inf")


def engines_for_memory(profile: EngineProfile, demand: Demand) -> int:
    """Return how many engines are needed to hold a request's prompt and answer."""
    usable = profile.memory_tokens * USABLE_MEMORY_SHARE
    return max(1, math.ceil((demand.prompt_tokens + demand.answer_tokens) / usable))

"""
Which backend server runs a request, and which ones help with its prefill.

It is decided from the estimates for each candidate: the expected loss of the request
there, and the loss that it would cause to the requests that already run there.

Load pattern: short prompts at a high rate, and a few prompts that are ten to a hundred
times as long. A long prompt that is prefilled on an engine lengthens the pauses of all
answers that are decoded there. All nodes therefore share one order of the engines.
Short requests prefer the first engines, those of the node's own failure domain before
others; long ones prefer the last. Either kind uses the remaining engines only as far as
needed. Where a failure domain has many engines, long prompts prefer those of the node's
own one, too: each start that other domains' nodes must know at once costs a message to
every node of the fleet.

In a fleet of many senders, long prompts that arrive within some milliseconds don't know
each other, and the same order would send them to the same engines. There, a hash of the
request decides between the last half of the engines, where it loses least. Short ones
would all go to the engine with the fewest requests, as far as their nodes know, so that
they prefer it less strictly.
"""

import itertools
import math
from collections.abc import Iterable, Iterator, Sequence

import attrs
import xxhash

from tanagerkeel.relay._estimate import (
    LONG_PROMPT_TOKENS,
    Candidate,
    Demand,
    Estimate,
    engines_for_memory,
    estimate,
)
from tanagerkeel.relay._pass_model import prefill_ms

__all__ = ["RelayPlacement", "choose_placement", "free_places"]

# Requests that a backend server may be given beyond its slots. It starts the next one
# itself, sooner than a node would be notified of a free slot.
QUEUE_AHEAD = 2
# Loss on the last engine of the shared order, in units of weight; it decreases linearly
# to 0 on the first one. It is small compared with any expected loss.
ORDER_LOSS = 0.02
# Engines with the same position in the shared order form a group, in which a hash of
# the request decides. Otherwise nodes that place at the same moment would all choose
# the same engine. The size of a group is 1 plus the number of candidates divided by
# this number, rounded down.
ENGINES_PER_GROUP_MEMBER = 15
# Share of its weight by which the loss of a short request varies with a hash of the
# request and the engine where many nodes send: those that place within some
# milliseconds would all choose the one engine with the fewest assignments. It is the
# loss by one more assignment where half of the slots are taken.
SPREAD_LOSS = 0.03
# Factor of the group size for long prompts, as each takes several engines at once.
LONG_GROUP_FACTOR = 3
# From this number of open engines in the node's own failure domain on, long prompts
# prefer them; it is more than one prompt is split between.
MIN_DOMAIN_ENGINES = 16
# Share of the latency objective within which a prompt is to be prefilled. If one engine
# takes longer, the prompt is split between several.
PREFILL_SHARE = 0.75
# Maximum number of engines for one prompt. It is below the 16 helpers that an engine
# accepts: more would leave too few engines of a small fleet to other requests.
MAX_PREFILL_ENGINES = 10
# Loss for each engine that a prompt is split between, in units of weight: the prefill
# delays the requests there, and its result is transferred.
PREFILL_ENGINE_LOSS = 0.05


@attrs.frozen
class RelayPlacement:
    """
    Where a request runs.

    :param candidate: the backend server that the request is sent to.
    :param helpers: other backend servers that prefill parts of its prompt.
    :param estimate: expected latency and loss of the request there.
    :param needs_reservations: whether the helpers also keep their parts of the prompt,
        for which memory must be reserved first.
    :param long_prompt: whether its prompt is long, so that it lengthens the pauses of
        other answers on its engines.
    :param domain_first: whether it preferred engines of the node's own failure domain,
        although its prompt is long.
    """

    candidate: Candidate
    helpers: tuple[Candidate, ...]
    estimate: Estimate
    needs_reservations: bool = False
    long_prompt: bool = False
    domain_first: bool = False

    @property
    def affects_other_domains(self) -> bool:
        """Whether nodes of other failure domains should be notified at once."""
        within_domain = all(p.same_domain for p in self.participants)
        if within_domain and self.domain_first:
            return False
        return bool(self.helpers) or not within_domain or self.long_prompt

    @property
    def participants(self) -> tuple[Candidate, ...]:
        """All backend servers that prefill its prompt or a part of it."""
        return (self.candidate, *self.helpers)


def _hash_rank(backend_id: str, salt: str = "") -> int:
    return xxhash.xxh32_intdigest(f"{backend_id}{salt}".encode())


def free_places(candidate: Candidate) -> int:
    """Return how many more requests a candidate may be given."""
    profile = candidate.profile
    slots = candidate.server.slots if profile is None else profile.slots
    return max(0, slots + QUEUE_AHEAD - len(candidate.assignments))


def choose_placement(
    candidates: Iterable[Candidate], demand: Demand, now: float, salt: str = ""
) -> RelayPlacement | None:
    """
    Return the placement with the least expected loss.

    It is None if no candidate has room, or if none would send the first event before
    the caller stops waiting for it.

    :param candidates: backend servers that may run the request.
    :param demand: what the request needs.
    :param now: monotonic time, in seconds.
    :param salt: differs between requests, and orders the candidates of a group.
    """
    open_candidates = [c for c in candidates if free_places(c)]
    own_domain = sum(c.same_domain for c in open_candidates)
    long_prompt = demand.prompt_tokens >= LONG_PROMPT_TOKENS
    domain_first = long_prompt and own_domain >= MIN_DOMAIN_ENGINES
    group_size = _group_size(
        own_domain if domain_first else len(open_candidates),
        long_prompt,
        demand.many_senders,
    )
    ordered = _ordered(open_candidates, long_prompt, domain_first, group_size, salt)
    options = itertools.chain(
        _single_options(ordered, demand, now, group_size, salt),
        _split_options(ordered, demand, now),
    )
    in_time = (
        (cost, placement)
        for cost, placement in options
        if placement.estimate.first_ms < demand.caller_timeout_ms
    )
    _, placement = min(in_time, key=lambda rated: rated[0], default=(0.0, None))
    if placement is None or not domain_first:
        return placement
    return attrs.evolve(placement, domain_first=True)


def _ordered(
    candidates: list[Candidate],
    long_prompt: bool,
    domain_first: bool,
    group_size: int,
    salt: str,
) -> list[Candidate]:
    if long_prompt:
        candidates.sort(
            key=lambda c: (
                domain_first and not c.same_domain,
                -_hash_rank(c.server.backend_id),
            )
        )
    else:
        candidates.sort(
            key=lambda c: (not c.same_domain, _hash_rank(c.server.backend_id))
        )
    for begin in range(0, len(candidates), group_size):
        group = candidates[begin : begin + group_size]
        group.sort(key=lambda c: _hash_rank(c.server.backend_id, salt))
        candidates[begin : begin + group_size] = group
    return candidates


def _group_size(engines: int, long_prompt: bool, many_senders: bool) -> int:
    if long_prompt and many_senders:
        return max(1, engines // 2)
    group_size = 1 + engines // ENGINES_PER_GROUP_MEMBER
    return group_size * LONG_GROUP_FACTOR if long_prompt else group_size


def _single_options(
    candidates: Sequence[Candidate],
    demand: Demand,
    now: float,
    group_size: int,
    salt: str,
) -> Iterator[tuple[float, RelayPlacement]]:
    last = max(1, (len(candidates) - 1) // group_size)
    long_prompt = demand.prompt_tokens >= LONG_PROMPT_TOKENS
    for index, candidate in enumerate(candidates):
        position = index // group_size
        rated = estimate(candidate, demand, now)
        if math.isfinite(rated.first_ms):
            cost = rated.loss + ORDER_LOSS * position / last
            if demand.many_senders and not long_prompt and candidate.profile:
                share = _hash_rank(candidate.server.backend_id, salt) / 2**32
                cost += SPREAD_LOSS * demand.weight * share
            yield cost, RelayPlacement(candidate, (), rated, long_prompt=long_prompt)


def _split_options(
    candidates: Sequence[Candidate], demand: Demand, now: float
) -> Iterator[tuple[float, RelayPlacement]]:
    if demand.prompt_tokens < LONG_PROMPT_TOKENS or not candidates:
        return
    profile = candidates[0].profile
    if profile is None:
        return
    max_prefill_ms = PREFILL_SHARE * demand.objective_ms
    min_engines = engines_for_memory(profile, demand)
    needs_reservations = min_engines > 1
    if (
        not needs_reservations
        and prefill_ms(profile, demand.prompt_tokens) <= max_prefill_ms
    ):
        return
    # Parts of prompts, and reservations, would count towards a server's limit.
    warm = [c for c in candidates if not c.cold and not c.limited]
    for engines in range(max(2, min_engines), min(MAX_PREFILL_ENGINES, len(warm)) + 1):
        yield from _split_between(warm, demand, now, engines, needs_reservations)
        if prefill_ms(profile, demand.prompt_tokens, parts=engines) <= max_prefill_ms:
            return


def _split_between(
    candidates: Sequence[Candidate],
    demand: Demand,
    now: float,
    engines: int,
    needs_reservations: bool,
) -> Iterator[tuple[float, RelayPlacement]]:
    rated = [
        (estimate(c, demand, now, engines, needs_reservations), c) for c in candidates
    ]
    # The slowest part determines the time of the first token, so the engines with the
    # smallest losses are chosen.
    rated.sort(key=lambda pair: pair[0].loss)
    chosen = rated[:engines]
    # The answer is decoded on the engine with the fewest assignments.
    chosen.sort(key=lambda pair: len(pair[1].assignments))
    lead, candidate = chosen[0]
    first_ms = max(expected.first_ms for expected, _ in chosen)
    if not math.isfinite(first_ms):
        return
    joint = Estimate(
        first_ms=first_ms,
        end_ms=first_ms + lead.end_ms - lead.first_ms,
        pause_ms=lead.pause_ms,
        own_loss=max(expected.own_loss for expected, _ in chosen),
        others_loss=sum(expected.others_loss for expected, _ in chosen),
    )
    helpers = tuple(c for _, c in chosen[1:])
    cost = joint.loss + PREFILL_ENGINE_LOSS * engines
    yield (
        cost,
        RelayPlacement(candidate, helpers, joint, needs_reservations, long_prompt=True),
    )

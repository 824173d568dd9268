"""
Which backend server runs a request.

Load pattern: short prompts at a high rate beside few prompts that are ten to a
hundred times as long. A long prompt that is read on an engine stretches the pauses
of every answer written there, so each candidate is rated by what the request would
lose there and by what it would cost those that run there already. Short requests
gather on the engines that come first in an order that all nodes share, those of their
own failure domain before others; long ones gather on the last, and each spreads to
the rest only as far as it must.
"""

import itertools
import math
from collections.abc import Iterable, Iterator, Sequence

import attrs
import xxhash

from tanagerkeel.relay._estimate import (
    Candidate,
    Demand,
    Estimate,
    estimate,
    readers_for_memory,
)
from tanagerkeel.relay._pass_model import read_ms

__all__ = ["LONG_TOKENS", "Placement", "choose"]

# Work beyond the slots that an engine may be given: it starts the next request
# itself, without the time that a node takes to learn of a free slot.
QUEUE_AHEAD = 2
# Loss that the place in the common order counts for; small beside any real loss.
ORDER_LOSS = 0.02
# One in so many engines shares a place in the order, and chance decides between
# them: nodes that place at the same moment would all take the same one.
ENGINES_PER_CHOICE = 15
# The same for long prompts, which take several engines at once, is wider.
LONG_CHOICES = 3
# Prompts from this length on are ordered from the end of the common order.
LONG_TOKENS = 20_000
# Share of the objective within which the prompt of a request is to be read; beyond
# it, more engines read parts of it.
READ_SHARE = 0.75
# An engine takes up to 16 helpers; more readers than this would take most of a small
# fleet from all others.
MAX_READERS = 10
# Loss of one more reader: its batch is held up, and memory is moved.
READER_LOSS = 0.05


@attrs.frozen
class Placement:
    """
    Where a request runs.

    :param candidate: the backend server.
    :param helpers: backend servers that read parts of its prompt.
    :param estimate: what is expected.
    :param reserves: whether the helpers also hold their parts of the prompt, for
        which memory must be set aside.
    :param long: whether it stretches the passes of its engine.
    """

    candidate: Candidate
    helpers: tuple[Candidate, ...]
    estimate: Estimate
    reserves: bool = False
    long: bool = False

    @property
    def wide(self) -> bool:
        """Whether it concerns the nodes of other failure domains."""
        return bool(self.helpers) or not self.candidate.near or self.long

    @property
    def readers(self) -> tuple[Candidate, ...]:
        """All backend servers that read its prompt."""
        return (self.candidate, *self.helpers)


def _rank(backend_id: str, salt: str = "") -> int:
    return xxhash.xxh32_intdigest(f"{backend_id}{salt}".encode())


def has_room(candidate: Candidate) -> bool:
    """Return whether a candidate may be given one more request."""
    if candidate.profile is None:
        return len(candidate.works) < candidate.server.slots + QUEUE_AHEAD
    return len(candidate.works) < candidate.profile.slots + QUEUE_AHEAD


def choose(
    candidates: Iterable[Candidate], demand: Demand, now: float, salt: str = ""
) -> Placement | None:
    """
    Return where a request runs best; None when it can't run in time anywhere.

    :param candidates: backend servers that may run it.
    :param demand: the request.
    :param now: monotonic time, in seconds.
    :param salt: differs between requests; decides between equal candidates.
    """
    open_ones = _ordered([c for c in candidates if has_room(c)], demand, salt)
    options = itertools.chain(
        _alone(open_ones, demand, now), _together(open_ones, demand, now)
    )
    in_time = (
        (cost, placement)
        for cost, placement in options
        if placement.estimate.first_ms < demand.patience_ms
    )
    return min(in_time, key=lambda rated: rated[0], default=(0.0, None))[1]


def _ordered(candidates: list[Candidate], demand: Demand, salt: str) -> list[Candidate]:
    if demand.prompt_tokens >= LONG_TOKENS:
        candidates.sort(key=lambda c: -_rank(c.server.backend_id))
    else:
        candidates.sort(key=lambda c: (not c.near, _rank(c.server.backend_id)))
    choices = _choices(candidates, demand)
    for begin in range(0, len(candidates), choices):
        among = candidates[begin : begin + choices]
        among.sort(key=lambda c: _rank(c.server.backend_id, salt))
        candidates[begin : begin + choices] = among
    return candidates


def _choices(candidates: Sequence[Candidate], demand: Demand) -> int:
    choices = 1 + len(candidates) // ENGINES_PER_CHOICE
    return choices * LONG_CHOICES if demand.prompt_tokens >= LONG_TOKENS else choices


def _alone(
    candidates: Sequence[Candidate], demand: Demand, now: float
) -> Iterator[tuple[float, Placement]]:
    choices = _choices(candidates, demand)
    last = max(1, (len(candidates) - 1) // choices)
    long = demand.prompt_tokens >= LONG_TOKENS
    for number, candidate in enumerate(candidates):
        place = number // choices
        rated = estimate(candidate, demand, now)
        if math.isfinite(rated.first_ms):
            cost = rated.loss + ORDER_LOSS * place / last
            yield cost, Placement(candidate, (), rated, long=long)


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
    reserves = least > 1
    if not reserves and read_ms(profile, demand.prompt_tokens) <= aim_ms:
        return
    warm = [c for c in candidates if not c.cold]
    for readers in range(max(2, least), min(MAX_READERS, len(warm)) + 1):
        yield from _read_by(warm, demand, now, readers, reserves)
        if read_ms(profile, demand.prompt_tokens, parts=readers) <= aim_ms:
            return


def _read_by(
    candidates: Sequence[Candidate],
    demand: Demand,
    now: float,
    readers: int,
    reserves: bool,
) -> Iterator[tuple[float, Placement]]:
    rated = [(estimate(c, demand, now, readers, reserves), c) for c in candidates]
    # The first token follows the last part: a reader is as good as it is fast.
    rated.sort(key=lambda pair: pair[0].loss)
    chosen = rated[:readers]
    # The one that also writes the answer has the fewest others beside it.
    chosen.sort(key=lambda pair: len(pair[1].works))
    first, candidate = chosen[0]
    first_ms = max(estimate.first_ms for estimate, _ in chosen)
    if not math.isfinite(first_ms):
        return
    whole = Estimate(
        first_ms=first_ms,
        end_ms=first_ms + first.end_ms - first.first_ms,
        pause_ms=first.pause_ms,
        own=max(estimate.own for estimate, _ in chosen),
        harm=sum(estimate.harm for estimate, _ in chosen),
    )
    helpers = tuple(c for _, c in chosen[1:])
    cost = whole.loss + READER_LOSS * readers
    yield cost, Placement(candidate, helpers, whole, reserves, long=True)

"""Seeded workloads with the request mixes of two deployments."""

import bisect
import itertools
import math
import random
from collections.abc import Iterator

import attrs

from tanagerkeel.requests import CHARACTERS_PER_TOKEN, LengthClass

__all__ = [
    "CONSORTIUM",
    "PAILLES",
    "Arrival",
    "Kind",
    "Shape",
    "arrivals",
    "make_prompt",
]

ACCOUNTS = 10
# Relative request rates; a few client accounts send most requests.
ACCOUNT_SHARES = (30, 20, 14, 10, 8, 6, 4, 3, 3, 2)


@attrs.frozen
class Kind:
    """
    Requests of one kind; prompt lengths are log-uniformly distributed.

    :param share: fraction of all requests.
    :param min_tokens: shortest prompt.
    :param max_tokens: longest prompt.
    :param answer_tokens: length of the answer.
    """

    share: float
    min_tokens: int
    max_tokens: int
    answer_tokens: int


@attrs.frozen
class Shape:
    """
    The mix of requests of a deployment.

    :param name: name of the deployment.
    :param kinds: kinds of requests; their shares add up to 1.
    """

    name: str
    kinds: tuple[Kind, ...]

    @property
    def mean_tokens(self) -> float:
        """Mean length of a prompt, in tokens."""
        return sum(kind.share * _mean_prompt_tokens(kind) for kind in self.kinds)


PAILLES = Shape(
    "Pailles",
    (
        Kind(0.84, 1_000, 3_000, 60),
        Kind(0.14, 9_000, 60_000, 100),
        Kind(0.02, 100_000, 1_000_000, 100),
    ),
)
CONSORTIUM = Shape(
    "Consortium",
    (
        Kind(0.50, 1_000, 6_000, 60),
        Kind(0.48, 9_000, 90_000, 100),
        Kind(0.02, 100_000, 1_000_000, 100),
    ),
)


@attrs.frozen
class Arrival:
    """
    One request of a workload.

    :param number: its position; it makes the prompt unique.
    :param at_s: modelled time of arrival, in seconds.
    :param account: name of the client account.
    :param prompt_tokens: length of the prompt.
    :param answer_tokens: length of the answer.
    :param text: the beginning of its prompt.
    """

    number: int
    at_s: float
    account: str
    prompt_tokens: int
    answer_tokens: int
    text: str = ""

    def length_class_of(self, short_max_tokens: int, memory_tokens: int) -> LengthClass:
        """Return the length class; a prompt over ``memory_tokens`` needs a gang."""
        if self.prompt_tokens > memory_tokens:
            return LengthClass.GANG
        if self.prompt_tokens > short_max_tokens:
            return LengthClass.LONG
        return LengthClass.SHORT


def arrivals(
    shape: Shape, tokens_per_s: float, duration_s: float, seed: int
) -> tuple[Arrival, ...]:
    """
    Return a workload with exponential times between arrivals.

    :param shape: the mix of requests.
    :param tokens_per_s: mean prompt tokens per modelled second.
    :param duration_s: modelled duration, in seconds.
    :param seed: seeds arrival times, kinds, lengths and accounts.
    """
    source = random.Random(seed)
    rate = tokens_per_s / shape.mean_tokens
    times = itertools.accumulate(source.expovariate(rate) for _ in itertools.count())
    until_s = itertools.takewhile(lambda at_s: at_s < duration_s, times)
    # Kinds come from shuffled decks, so that each keeps its share in a short run too.
    return tuple(
        _make_arrival(source, number, at_s, kind)
        for (number, at_s), kind in zip(
            enumerate(until_s), _shuffled_kinds(source, shape), strict=False
        )
    )


def make_prompt(arrival: Arrival, seed: int) -> str:
    """Return the prompt: a unique beginning, then padding."""
    head = f"{arrival.text}{seed}-{arrival.number} "
    return head.ljust(arrival.prompt_tokens * CHARACTERS_PER_TOKEN, "x")


def _mean_prompt_tokens(kind: Kind) -> float:
    width = math.log(kind.max_tokens / kind.min_tokens)
    return (kind.max_tokens - kind.min_tokens) / width


def _shuffled_kinds(source: random.Random, shape: Shape) -> Iterator[Kind]:
    deck_size = 50
    deck = [k for k in shape.kinds for _ in range(round(k.share * deck_size))]
    while True:
        source.shuffle(deck)
        yield from deck


def _make_arrival(
    source: random.Random, number: int, at_s: float, kind: Kind
) -> Arrival:
    low, high = math.log(kind.min_tokens), math.log(kind.max_tokens)
    bounds = list(itertools.accumulate(ACCOUNT_SHARES))
    account = bisect.bisect(bounds, source.random() * bounds[-1])
    return Arrival(
        number=number,
        at_s=at_s,
        account=f"agency-{min(account, ACCOUNTS - 1)}",
        prompt_tokens=int(math.exp(source.uniform(low, high))),
        answer_tokens=kind.answer_tokens,
    )

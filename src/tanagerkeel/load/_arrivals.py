"""Generates the requests of a workload, the same ones for the same seed."""

import math
import random
from collections.abc import Iterator

import attrs

from tanagerkeel.load._workload import LengthMix, LoadAccount, Workload
from tanagerkeel.requests import CHARACTERS_PER_TOKEN

__all__ = ["Arrival", "arrivals", "prompt_text"]

# The entry node puts this marker around the content; it counts towards the prompt.
ROLE_MARKER_CHARACTERS = len("<|user|>\n")
WORDS = ("petition ", "witness ", "hearing ", "guests ", "sketch ", "deposit ")


@attrs.frozen
class Arrival:
    """
    One request to send.

    :param number: index in the workload, from 0.
    :param at_s: planned time of sending, in seconds from the start of the run.
    :param mix: class of the prompt.
    :param tokens: length of the prompt, in tokens.
    :param prefix: index of the shared prefix within its class; -1 for none.
    :param account: client account that sends it.
    :param entry: ``IP:PORT`` of the entry node.
    """

    number: int
    at_s: float
    mix: LengthMix
    tokens: int
    prefix: int
    account: LoadAccount
    entry: str


def arrivals(workload: Workload) -> Iterator[Arrival]:
    """
    Yield the requests of a workload in the order of their planned times.

    Arrivals are a Poisson process of the workload's rate.
    """
    rng = random.Random(workload.seed)
    mix_weights = [mix.weight for mix in workload.lengths]
    shares = [account.share for account in workload.accounts]
    at_s = rng.expovariate(workload.rate)
    number = 0
    while at_s < workload.duration_s:
        mix = rng.choices(workload.lengths, mix_weights)[0]
        yield Arrival(
            number=number,
            at_s=at_s,
            mix=mix,
            tokens=_log_uniform(rng, mix.min_tokens, mix.max_tokens),
            prefix=rng.randrange(mix.prefixes) if mix.prefixes else -1,
            account=rng.choices(workload.accounts, shares)[0],
            entry=workload.entries[number % len(workload.entries)],
        )
        number += 1
        at_s += rng.expovariate(workload.rate)


def prompt_text(arrival: Arrival, seed: int) -> str:
    """
    Return the content of a request's user message, without the role marker.

    :param arrival: the request.
    :param seed: the workload's seed.
    """
    length = arrival.tokens * CHARACTERS_PER_TOKEN - ROLE_MARKER_CHARACTERS
    head = ""
    if arrival.prefix >= 0:
        characters = arrival.mix.prefix_tokens * CHARACTERS_PER_TOKEN
        head = _filler_text(f"{seed}:{arrival.mix.name}:{arrival.prefix}", characters)
    return head + _filler_text(f"{seed}:{arrival.number}", max(1, length - len(head)))


def _filler_text(seed: str, characters: int) -> str:
    # The seed at the start makes the texts of different seeds differ early; one
    # repeated sentence is cheap to generate at any length.
    sentence = f"{seed} " + "".join(random.Random(seed).choices(WORDS, k=32))
    return (sentence * (characters // len(sentence) + 1))[:characters]


def _log_uniform(rng: random.Random, low: int, high: int) -> int:
    return round(math.exp(rng.uniform(math.log(low), math.log(high))))

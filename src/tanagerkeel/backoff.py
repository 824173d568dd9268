"""Exponential backoff with full jitter."""

import random

__all__ = ["full_jitter_s"]

# Upper bound of the delay after the first failure.
BASE_DELAY_S = 0.05
MAX_DELAY_S = 2.0


def full_jitter_s(
    attempt: int,
    rng: random.Random,
    base_s: float = BASE_DELAY_S,
    max_delay_s: float = MAX_DELAY_S,
) -> float:
    """
    Return a random delay between zero and an exponentially growing bound.

    :param attempt: number of failed attempts so far, from 1.
    :param rng: source of randomness.
    :param base_s: bound after the first failure, in seconds.
    :param max_delay_s: largest bound, in seconds.
    :returns: the delay in seconds.
    """
    return rng.uniform(0.0, min(max_delay_s, base_s * 2 ** (attempt - 1)))

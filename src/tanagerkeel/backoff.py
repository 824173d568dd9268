"""Delays between attempts."""

import random

__all__ = ["full_jitter_s"]

BASE_DELAY_S = 0.05
MAX_DELAY_S = 2.0


def full_jitter_s(
    attempt: int,
    source: random.Random,
    base_s: float = BASE_DELAY_S,
    longest_s: float = MAX_DELAY_S,
) -> float:
    """
    Return a delay drawn from zero to an exponentially growing bound.

    :param attempt: number of attempts that failed, from 1.
    :param source: source of randomness.
    :param base_s: bound after the first failure, in seconds.
    :param longest_s: bound that is never exceeded, in seconds.
    :returns: seconds.
    """
    return source.uniform(0.0, min(longest_s, base_s * 2 ** (attempt - 1)))

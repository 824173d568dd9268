"""Engines, timing and formatting that the parts of ``bench.requests`` share."""

import collections
import contextlib
from collections.abc import AsyncIterator

from bench._driving import Outcomes, Timing
from bench._engine_hosts import engine_hosts
from bench._systems import System, naive_system, our_system
from tanagerkeel.requests import LengthClass
from tanagerkeel.standins import EngineProfile

__all__ = [
    "ACCOUNTS",
    "LENGTH_CLASSES",
    "ENGINES",
    "PROFILE",
    "TIME_SCALE",
    "TIMING",
    "format_codes",
    "format_counts",
    "rated_tokens_per_s",
    "running_system",
]

# Modelled seconds per wall-clock second.
TIME_SCALE = 4.0
ENGINES = 20
ACCOUNTS = tuple(f"agency-{n}" for n in range(10))
PROFILE = EngineProfile(
    prefill_rate=10_000.0,
    decode_rate=30.0,
    decode_in_prefill=0.8,
    memory_tokens=400_000,
    speed=TIME_SCALE,
    warm_up_s=30.0 / TIME_SCALE,
    warm_up_tokens=300_000,
    restart_s=20.0 / TIME_SCALE,
)
TIMING = Timing(
    TIME_SCALE,
    {LengthClass.SHORT: 30.0, LengthClass.LONG: 300.0, LengthClass.GANG: 900.0},
    PROFILE.memory_tokens,
)
# Rated load, as a share of the prefill rate of all engines.
RATED_LOAD = 0.5
LENGTH_CLASSES = (LengthClass.SHORT, LengthClass.LONG, LengthClass.GANG)


@contextlib.asynccontextmanager
async def running_system(
    name: str, count: int = ENGINES, profile: EngineProfile = PROFILE
) -> AsyncIterator[System]:
    """Run engines and the system ``name`` (``ours`` or ``naive``) in front of them."""
    with engine_hosts(profile, count) as hosts:
        if name == "naive":
            opened = naive_system(hosts.addresses)
        else:
            opened = our_system(hosts.addresses, profile, ACCOUNTS)
        async with opened as system:
            yield system


def rated_tokens_per_s(engines: int = ENGINES) -> float:
    """Return the rated load, in prompt tokens per modelled second."""
    return RATED_LOAD * engines * PROFILE.prefill_rate


def format_codes(outcomes: Outcomes) -> str:
    """Return the number of requests by result code, as text."""
    return format_counts(outcomes.codes)


def format_counts(counts: collections.Counter) -> str:
    """Return counts as text, such as ``a 1, b 2``; ``none`` if there are none."""
    words = (f"{code} {count}" for code, count in sorted(counts.items()))
    return ", ".join(words) or "none"

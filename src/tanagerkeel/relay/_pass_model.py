"""
How long a model engine takes to prefill prompts and to decode answers.

An engine works in passes, and sends the new tokens of an answer as one event after each
pass. A pass that decodes any request has ``steps_per_pass`` steps, any other pass has
one. Each step also prefills up to ``chunk_tokens`` of the waiting prompts, so that a
long prompt lengthens the pause between two events of every answer on that engine.
"""

import math
from collections.abc import Iterable

import attrs

from tanagerkeel.relay._configuration import EngineProfile

__all__ = [
    "DecodeBatch",
    "Prefill",
    "decode_ms",
    "longest_pass_ms",
    "prefill_ms",
    "step_ms",
]

PAIRS_PER_MILLION = 1_000_000.0
TOKENS_PER_K = 1_000.0


@attrs.frozen
class DecodeBatch:
    """
    The requests whose answers an engine decodes.

    :param count: number of requests.
    :param context_tokens: total length of their prompts and of their answers so far.
    """

    count: int = 0
    context_tokens: float = 0.0


@attrs.frozen
class Prefill:
    """
    A prompt, or a part of one, that an engine prefills.

    :param tokens_left: tokens that are still to be prefilled there.
    :param prompt_tokens: length of the full prompt.
    """

    tokens_left: float
    prompt_tokens: float


def prefill_ms(
    profile: EngineProfile, tokens: float, before: float = 0.0, parts: int = 1
) -> float:
    """
    Return how long the prefill of prompt tokens takes, in milliseconds.

    Each token is paired with every earlier token of its prompt, and the cost of
    attention is proportional to the number of pairs.

    :param profile: the engine.
    :param tokens: tokens to prefill.
    :param before: tokens of the same prompt that were prefilled before.
    :param parts: engines that prefill equal parts at the same time.
    """
    if tokens <= 0:
        return 0.0
    pairs = tokens * (before + tokens / 2) / PAIRS_PER_MILLION
    one_engine_ms = (
        tokens / profile.prefill_tokens_per_ms + pairs * profile.ms_per_million_pairs
    )
    steps = math.ceil(tokens / parts / profile.chunk_tokens)
    return one_engine_ms / parts + steps * profile.step_ms


def step_ms(profile: EngineProfile, batch: DecodeBatch) -> float:
    """Return how long a step takes without its prefill, in milliseconds."""
    return (
        profile.step_ms
        + profile.step_ms_per_sequence * batch.count
        + profile.step_ms_per_k_context * batch.context_tokens / TOKENS_PER_K
    )


def longest_pass_ms(
    profile: EngineProfile, batch: DecodeBatch, prefills: Iterable[Prefill] = ()
) -> float:
    """
    Return how long the longest pass takes, in milliseconds.

    This is the longest pause between two events of an answer on the engine. The last
    pass of a prompt is the longest, as its tokens form pairs with all before them.

    :param profile: the engine.
    :param batch: the requests that are decoded.
    :param prefills: the prompts that are prefilled, in their order.
    """
    steps = profile.steps_per_pass if batch.count else 1
    free_tokens = float(steps * profile.chunk_tokens)
    longest_ms = steps * step_ms(profile, batch)
    for prompt in prefills:
        tokens = min(prompt.tokens_left, free_tokens)
        free_tokens -= tokens
        longest_ms += prefill_ms(profile, tokens, before=prompt.prompt_tokens - tokens)
        if free_tokens <= 0:
            break
    return longest_ms


def decode_ms(
    profile: EngineProfile, tokens: float, batch: DecodeBatch, parts: int = 1
) -> float:
    """
    Return how long an answer takes to decode, in milliseconds.

    :param profile: the engine.
    :param tokens: length of the answer.
    :param batch: all requests that are decoded with it, itself included.
    :param parts: how many engines hold the prompt.
    """
    hop_ms = profile.hop_ms if parts > 1 else 0.0
    return tokens * (step_ms(profile, batch) + hop_ms)

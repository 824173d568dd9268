"""Generates the answers of stand-in engines, each determined by its prompt."""

from collections.abc import Iterator

import xxhash

__all__ = ["answer_tokens", "answer_text"]

VOCABULARY_SIZE = 10_000


def answer_tokens(prompt: str, count: int, start: int = 0) -> Iterator[str]:
    """
    Yield tokens of the answer to a prompt.

    The tokens depend on the prompt only, so every engine gives the same answer.

    :param prompt: the whole prompt.
    :param count: number of tokens in the whole answer.
    :param start: index of the first token to yield.
    """
    seed = xxhash.xxh64_intdigest(prompt.encode())
    for index in range(start, count):
        number = xxhash.xxh32_intdigest(f"{seed}:{index}".encode()) % VOCABULARY_SIZE
        yield f" {number}"


def answer_text(prompt: str, count: int) -> str:
    """Return the answer of ``count`` tokens as one string."""
    return "".join(answer_tokens(prompt, count))

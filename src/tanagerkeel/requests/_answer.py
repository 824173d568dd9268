"""Chunks of a streamed answer, and the integrity check of the stream."""

from collections.abc import AsyncIterator

import attrs

__all__ = ["AnswerChunk", "AnswerEnd", "StreamMismatch", "TokenChunk", "verify_stream"]


@attrs.frozen
class TokenChunk:
    """
    A run of consecutive tokens of an answer.

    :param attempt_id: id of the attempt that generated them.
    :param index: index of the first token in the whole answer, from 0.
    :param text: text of the tokens.
    :param tokens: number of tokens in the text.
    """

    attempt_id: str
    index: int
    text: str
    tokens: int = 1


@attrs.frozen
class AnswerEnd:
    """
    The final chunk, which marks the answer as complete.

    :param attempt_id: id of the attempt that generated the answer.
    :param count: number of tokens in the whole answer.
    :param reason: why the answer ended: ``stop`` or ``length``.
    """

    attempt_id: str
    count: int
    reason: str = "stop"


AnswerChunk = TokenChunk | AnswerEnd


@attrs.define(auto_exc=True)
class StreamMismatch(Exception):
    """
    A stream has a chunk of another attempt, a gap or a repetition, or is truncated.

    :param detail: what was expected and what was received.
    """

    detail: str


async def verify_stream(
    chunks: AsyncIterator[AnswerChunk], attempt_id: str, first_index: int = 0
) -> AsyncIterator[AnswerChunk]:
    """
    Yield the chunks of a stream, each after checking that it is the next one.

    :param chunks: the chunks as the engine sends them.
    :param attempt_id: the id that each chunk must carry.
    :param first_index: expected index of the first token; for a resumed answer, the
        number of tokens received before.
    :raises StreamMismatch: at the first chunk that fails a check, and when the stream
        ends without an :class:`AnswerEnd`.
    """
    expected = first_index
    async for chunk in chunks:
        if chunk.attempt_id != attempt_id:
            raise StreamMismatch("the chunk belongs to another attempt")
        match chunk:
            case TokenChunk(index=index, tokens=tokens):
                if index != expected:
                    raise StreamMismatch(f"expected token {expected}, got {index}")
                expected += tokens
                yield chunk
            case AnswerEnd(count=count):
                if count != expected:
                    raise StreamMismatch(f"{count} tokens sent, {expected} received")
                yield chunk
                return
    raise StreamMismatch(f"the stream ended after {expected} tokens")

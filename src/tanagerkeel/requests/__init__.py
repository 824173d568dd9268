"""Requests of callers, the attempts to run them, and the chunks of answers."""

from tanagerkeel.requests._answer import (
    AnswerChunk,
    AnswerEnd,
    StreamMismatch,
    TokenChunk,
    verify_stream,
)
from tanagerkeel.requests._attempt import (
    AttemptRecord,
    AttemptState,
    AttemptTransitionError,
    ran_of,
)
from tanagerkeel.requests._model import (
    BLOCK_CHARACTERS,
    CHARACTERS_PER_TOKEN,
    LengthClass,
    ModelRequest,
    ServiceRequest,
    block_hashes,
    estimate_tokens,
    fingerprint,
    length_class_of,
)

__all__ = [
    "BLOCK_CHARACTERS",
    "CHARACTERS_PER_TOKEN",
    "AnswerChunk",
    "AnswerEnd",
    "AttemptRecord",
    "AttemptState",
    "AttemptTransitionError",
    "LengthClass",
    "ModelRequest",
    "ServiceRequest",
    "StreamMismatch",
    "TokenChunk",
    "block_hashes",
    "estimate_tokens",
    "fingerprint",
    "length_class_of",
    "ran_of",
    "verify_stream",
]

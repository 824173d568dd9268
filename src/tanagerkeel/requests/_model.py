"""Requests of callers after parsing, with their estimated length and hashes."""

import enum
import math

import attrs
import xxhash

from tanagerkeel.configuration import LengthClassPolicy

__all__ = [
    "BLOCK_CHARACTERS",
    "CHARACTERS_PER_TOKEN",
    "LengthClass",
    "ModelRequest",
    "ServiceRequest",
    "block_hashes",
    "estimate_tokens",
    "fingerprint",
    "length_class_of",
]

# Mean length of a token, for estimates only; engines count exactly.
CHARACTERS_PER_TOKEN = 4
# Size of a prefix-cache block: 256 tokens.
BLOCK_CHARACTERS = 256 * CHARACTERS_PER_TOKEN


class LengthClass(enum.StrEnum):
    """
    Class of a request by the length of its prompt.

    A ``GANG`` prompt exceeds one engine's memory and is split between several.
    """

    SHORT = "short"
    LONG = "long"
    GANG = "gang"


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens in ``text``."""
    return math.ceil(len(text) / CHARACTERS_PER_TOKEN)


def length_class_of(
    prompt_tokens: int, policy: LengthClassPolicy, engine_memory_tokens: int
) -> LengthClass:
    """
    Return the length class of a prompt.

    :param prompt_tokens: estimated length of the prompt, in tokens.
    :param policy: length limits from the configuration.
    :param engine_memory_tokens: memory of the largest engine, in tokens.
    """
    if prompt_tokens > engine_memory_tokens:
        return LengthClass.GANG
    if prompt_tokens > policy.short_max_tokens:
        return LengthClass.LONG
    return LengthClass.SHORT


def block_hashes(
    account: str, prompt: str, limit: int | None = None
) -> tuple[int, ...]:
    """
    Return the chained hash of each complete block of a prompt.

    Each hash covers the client account and all previous blocks, so accounts never
    share a cache entry.

    :param account: name of the client account.
    :param prompt: the prompt; a last block that is incomplete is left out.
    :param limit: maximum number of blocks; all when None.
    """
    count = len(prompt) // BLOCK_CHARACTERS
    chain = xxhash.xxh64(account.encode())
    hashes = []
    for index in range(count if limit is None else min(count, limit)):
        start = index * BLOCK_CHARACTERS
        chain.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(chain.intdigest())
    return tuple(hashes)


def fingerprint(account: str, model: str, prompt: str) -> str:
    """Return a hash that identifies a request when its caller sends it again."""
    digest = xxhash.xxh3_128()
    for part in (account, model, prompt):
        digest.update(part.encode())
        digest.update(b"\0")
    return digest.hexdigest()


@attrs.frozen
class ModelRequest:
    """
    A request for a model's answer.

    :param request_id: id chosen by the caller, or generated if there is none.
    :param account: name of the client account.
    :param model: name of the model.
    :param prompt: the whole prompt as one string.
    :param prompt_tokens: estimated length of the prompt, in tokens.
    :param max_tokens: maximum length of the answer, in tokens.
    :param length_class: length class of the prompt.
    :param deadline_s: this node's monotonic time by which the request must end, in
        seconds.
    :param received_s: this node's monotonic time of arrival, in seconds.
    :param fingerprint: hash of account, model and prompt.
    :param blocks: chained hashes of the first blocks of the prompt.
    :param traceparent: W3C trace context, or empty.
    :param forwarded_by: id of the node that forwarded the request, or empty.
    """

    request_id: str
    account: str
    model: str
    prompt: str = attrs.field(repr=False)
    prompt_tokens: int
    max_tokens: int
    length_class: LengthClass
    deadline_s: float
    received_s: float
    fingerprint: str
    blocks: tuple[int, ...] = ()
    traceparent: str = ""
    forwarded_by: str = ""

    @property
    def memory_tokens(self) -> int:
        """KV cache memory for the prompt and the longest answer, in tokens."""
        return self.prompt_tokens + self.max_tokens


@attrs.frozen
class ServiceRequest:
    """
    A call to an operation of a plain service.

    :param request_id: id chosen by the caller, or generated if there is none.
    :param account: name of the client account.
    :param service: name of the service.
    :param operation: name of the operation.
    :param body: the unmodified body.
    :param content_type: media type of the body.
    :param idempotency_key: the caller's key; empty for an idempotent operation.
    :param deadline_s: this node's monotonic time by which the call must end, in
        seconds.
    :param received_s: this node's monotonic time of arrival, in seconds.
    :param traceparent: W3C trace context, or empty.
    :param forwarded_by: id of the node that forwarded the call, or empty.
    """

    request_id: str
    account: str
    service: str
    operation: str
    body: bytes = attrs.field(repr=False)
    content_type: str
    idempotency_key: str
    deadline_s: float
    received_s: float
    traceparent: str = ""
    forwarded_by: str = ""

"""Messages between a node and an engine."""

import enum

import attrs

__all__ = [
    "Allocation",
    "CacheEvent",
    "CacheEventBatch",
    "CacheEventKind",
    "EngineOrder",
    "GangSegment",
    "GenerateCall",
    "LoadReport",
    "OrderResult",
    "Reservation",
]


@attrs.frozen
class GangSegment:
    """
    A part of a prompt that is too long for one engine.

    The engines that share such a prompt form a gang.

    :param address: ``IP:PORT`` of the engine that holds the part's KV cache.
    :param reservation_id: reservation of the memory that holds the KV cache.
    """

    address: str
    reservation_id: str


@attrs.frozen
class GenerateCall:
    """
    One attempt to generate an answer.

    :param attempt_id: unique id that the engine echoes in each chunk.
    :param request_id: the same in all attempts of a request.
    :param owner: id of the node that makes the attempt.
    :param account: client account; the engine's prefix cache is separate for each.
    :param model: name of the model, as in the configuration.
    :param prompt: the whole prompt; for a gang only the last segment's part.
    :param max_tokens: longest answer, in tokens.
    :param remaining_ms: time until the deadline, in milliseconds.
    :param priority: the lowest number runs first.
    :param resume_tokens: number of the answer's tokens that earlier attempts
        delivered.
    :param resume_text: text of these tokens.
    :param gang: the earlier segments, in order; empty when one engine is enough.
    :param reservation_id: the reservation of memory on this engine, or empty.
    :param traceparent: W3C trace context, or empty.
    """

    attempt_id: str
    request_id: str
    owner: str
    account: str
    model: str
    prompt: str = attrs.field(repr=False)
    max_tokens: int
    remaining_ms: int
    priority: int = 0
    resume_tokens: int = 0
    resume_text: str = attrs.field(default="", repr=False)
    gang: tuple[GangSegment, ...] = ()
    reservation_id: str = ""
    traceparent: str = ""


@attrs.frozen
class LoadReport:
    """
    An engine's load as it reports it; the figures may be stale.

    :param incarnation: changes whenever the engine restarts.
    :param age_ms: age of the figures, in milliseconds.
    :param warm_level: from 0 (cold) to 1 (warm).
    :param running: number of requests that run.
    :param waiting_tokens: prompt tokens that wait for prefill.
    :param memory_used_tokens: KV cache memory in use, in tokens.
    :param memory_tokens: size of the KV cache memory, in tokens.
    :param prefill_rate: measured prefill rate, in tokens per second.
    :param decode_rate: measured decode rate of one stream, in tokens per second.
    :param leaving: whether the engine is about to shut down.
    :param version: model version that is loaded.
    :param adapters: names of the adapters that are loaded.
    :param role: ``prefill`` or ``decode`` if the engine only does one of them, else
        ``both``.
    :param fencing: highest fencing number that the engine has seen in an order.
    """

    incarnation: str
    age_ms: int = 0
    warm_level: float = 1.0
    running: int = 0
    waiting_tokens: int = 0
    memory_used_tokens: int = 0
    memory_tokens: int = 0
    prefill_rate: float = 0.0
    decode_rate: float = 0.0
    leaving: bool = False
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "both"
    fencing: int = 0


class CacheEventKind(enum.StrEnum):
    """What happened to a prefix block."""

    STORED = "stored"
    EVICTED = "evicted"


@attrs.frozen
class CacheEvent:
    """
    A change of an engine's prefix cache.

    :param sequence: consecutive number; a gap means that events were lost.
    :param kind: what happened to the block.
    :param block: chained hash of the prefix block.
    """

    sequence: int
    kind: CacheEventKind
    block: int


@attrs.frozen
class CacheEventBatch:
    """
    Cache events of one engine; they may be delayed, and some may be missing.

    :param incarnation: the engine's incarnation in which they happened.
    :param events: in order of their sequence numbers.
    """

    incarnation: str
    events: tuple[CacheEvent, ...] = ()


@attrs.frozen
class Reservation:
    """
    A reservation of memory for a segment of a gang.

    :param reservation_id: unique id, chosen by the node.
    :param request_id: the request that needs the memory.
    :param owner: id of the node that reserves it.
    :param tokens: size of the memory, in tokens.
    :param ttl_ms: the engine frees it after this time, in milliseconds.
    """

    reservation_id: str
    request_id: str
    owner: str
    tokens: int
    ttl_ms: int


@attrs.frozen
class Allocation:
    """
    Memory that an engine holds for a node.

    :param allocation_id: id of the attempt, export or reservation.
    :param kind: ``stream``, ``export`` or ``reservation``.
    :param owner: id of the node that it is held for.
    :param request_id: the request that it is held for.
    :param tokens: size of the memory, in tokens.
    :param remaining_ms: time until its deadline, in milliseconds; negative once the
        deadline has passed.
    """

    allocation_id: str
    kind: str
    owner: str
    request_id: str
    tokens: int
    remaining_ms: int


@attrs.frozen
class EngineOrder:
    """
    An order to change what an engine has loaded, or its role.

    :param fencing: fencing number of the lease under which the node gives orders;
        engines that check it refuse a lower number than they have seen.
    :param version: model version to load.
    :param adapters: names of the adapters to load.
    :param role: ``both``, ``prefill`` or ``decode``.
    """

    fencing: int
    version: str
    adapters: tuple[str, ...] = ()
    role: str = "both"


@attrs.frozen
class OrderResult:
    """
    An engine's response to an order.

    :param accepted: whether the engine carries it out.
    :param fencing: highest fencing number that the engine has seen.
    """

    accepted: bool
    fencing: int

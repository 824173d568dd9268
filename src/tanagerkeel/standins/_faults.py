"""The faults that can be set on stand-ins, in process or over HTTP."""

import enum

import attrs

__all__ = ["EngineFaults", "PlatformFaults", "PlatformOutage", "ServiceFaults"]


class PlatformOutage(enum.StrEnum):
    """How calls to the platform fail during an outage."""

    NONE = "none"
    REFUSED = "refused"
    UNAVAILABLE = "unavailable"


@attrs.frozen
class PlatformFaults:
    """
    Faults of the stand-in platform.

    :param outage: ``refused`` aborts and refuses connections, ``unavailable``
        answers 503; ``/faults`` is answered except under ``refused``.
    :param outage_ms: the outage ends by itself after this time, in milliseconds; 0
        for never.
    :param delay_ms: delay before each call takes effect, in milliseconds.
    :param lost_replies: this many writes take effect but get no reply.
    :param vm_lag_ms: how late a change shows in the VM list, in milliseconds.
    """

    outage: PlatformOutage = PlatformOutage.NONE
    outage_ms: int = 0
    delay_ms: int = 0
    lost_replies: int = 0
    vm_lag_ms: int = 0


@attrs.frozen
class ServiceFaults:
    """
    Faults of the stand-in plain service.

    :param delay_ms: how long an execution takes, in milliseconds.
    :param refusals: this many calls are refused with ``X-Ran: no``.
    :param lost_replies: this many calls run but get no reply.
    :param crossed_replies: this many replies carry another attempt's id.
    :param deduplicates: whether a call with a known Idempotency-Key gets the
        reply of the last execution with that key instead of another execution.
    """

    delay_ms: int = 0
    refusals: int = 0
    lost_replies: int = 0
    crossed_replies: int = 0
    deduplicates: bool = False


@attrs.frozen
class EngineFaults:
    """
    Faults of the stand-in engine.

    A fault that is a number of streams affects this many streams and then no more.

    :param crash_after_tokens: crash once a stream has sent this many tokens; 0 is
        before the first one, -1 never.
    :param crash_after_last: crash after the final chunk of an answer.
    :param crashes: how many crashes the two faults above cause.
    :param poison_marker: each prompt that contains this text crashes the engine;
        empty for none.
    :param pause_ms: prefill and decoding stop for this time once the faults are
        set, in milliseconds.
    :param crossed_answers: streams with a chunk that carries another attempt's id.
    :param gaps: streams that lose a chunk.
    :param repeats: streams that repeat a chunk.
    :param cut_short: streams that end without the final chunk.
    :param late_ms: delay before each chunk but the first, in milliseconds.
    :param prefill_factor: prefill takes this many times as long.
    :param decode_factor: decoding takes this many times as long.
    :param load_lag_ms: age of load reports, in milliseconds.
    :param cache_event_lag_ms: how late cache events are, in milliseconds.
    :param cache_event_loss: at a value of n every n-th cache event is lost; 0 for
        none.
    :param ignores_fencing: whether it accepts orders with an old fencing number.
    :param ignores_deadlines: whether allocations outlive their deadline.
    :param keeps_memory: whether the memory of an unfinished stream outlives its
        connection.
    :param leaving: whether load reports announce that the engine is about to shut down.
    """

    crash_after_tokens: int = -1
    crash_after_last: bool = False
    crashes: int = 1
    poison_marker: str = ""
    pause_ms: int = 0
    crossed_answers: int = 0
    gaps: int = 0
    repeats: int = 0
    cut_short: int = 0
    late_ms: int = 0
    prefill_factor: float = 1.0
    decode_factor: float = 1.0
    load_lag_ms: int = 0
    cache_event_lag_ms: int = 0
    cache_event_loss: int = 0
    ignores_fencing: bool = False
    ignores_deadlines: bool = False
    keeps_memory: bool = False
    leaving: bool = False

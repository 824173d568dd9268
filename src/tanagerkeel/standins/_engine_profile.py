"""The rates and limits of a stand-in engine."""

import attrs

__all__ = ["EngineProfile"]


@attrs.frozen
class EngineProfile:
    """
    The rates and limits of a stand-in engine.

    :param prefill_rate: prompt tokens a second, shared by all requests.
    :param decode_rate: tokens a second of one stream in a small batch.
    :param memory_tokens: KV cache memory, in tokens.
    :param decode_batch: number of streams up to which each decodes at the full rate.
    :param decode_in_prefill: factor on the decode rate while prompts are prefilled.
    :param chunk_tokens: tokens in one chunk of an answer.
    :param speed: factor on every rate, so that tests run faster.
    :param starts_cold: whether it is cold at first; after a crash it always is.
    :param cold_limit: concurrent requests while cold; one more crashes it.
    :param cold_share: factor on its rates directly after a cold start.
    :param warm_up_s: time after which it is warm without any work, in seconds.
    :param warm_up_tokens: prefilled tokens after which it is warm; progress by time
        and by tokens adds up.
    :param restart_s: time from a crash until it serves again, in seconds.
    :param load_s: time to load what an order asks for, in seconds.
    :param version: model version that is loaded at first.
    """

    prefill_rate: float = 200_000.0
    decode_rate: float = 200.0
    memory_tokens: int = 400_000
    decode_batch: int = 32
    decode_in_prefill: float = 1.0
    chunk_tokens: int = 1
    speed: float = 1.0
    starts_cold: bool = False
    cold_limit: int = 2
    cold_share: float = 0.5
    warm_up_s: float = 5.0
    warm_up_tokens: int = 100_000
    restart_s: float = 0.2
    load_s: float = 0.2
    version: str = "1"

"""Limits and times of the claim log."""

import attrs

__all__ = ["ClaimPolicy"]


@attrs.frozen
class ClaimPolicy:
    """
    Limits and times of the claim log; they must be the same on every node.

    :param shards: number of shards; each has a log of its own, and a claim's key
        determines its shard.
    :param slots: number of keys that hold a shard's log, a ring buffer of segments.
    :param batch_s: how long records are collected before a write, in seconds.
    :param window_s: how long an outcome is kept, in seconds.
    :param max_open: most open claims of a shard.
    :param max_batch: largest batch of claims or of outcomes.
    :param part_entries: most claims in a part of a snapshot.
    :param max_response_bytes: longest response that is kept, in bytes.
    :param give_up_s: a claim not recorded within this time is refused, in seconds.
    """

    shards: int = 8
    slots: int = 512
    batch_s: float = 0.075
    window_s: float = 600.0
    max_open: int = 4_000
    max_batch: int = 500
    part_entries: int = 500
    max_response_bytes: int = 1_024
    give_up_s: float = 2.0

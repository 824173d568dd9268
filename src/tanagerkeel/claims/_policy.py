"""Limits and times of the claim log."""

import attrs

__all__ = ["ClaimPolicy"]


@attrs.frozen
class ClaimPolicy:
    """
    Limits and times of the claim log; they must be the same on every node.

    :param shards: number of shards; each has a log of its own, and a claim's key
        determines its shard.
    :param slots: number of keys in the key-value service that hold a shard's log, a
        ring buffer of segments.
    :param batch_interval_s: how long records are collected before a write, in seconds.
    :param window_s: how long an outcome is kept, in seconds.
    :param max_open_claims: maximum number of open claims in a shard.
    :param max_batch_size: maximum number of claims or of outcomes in a batch.
    :param max_part_entries: maximum number of claims in a part of a snapshot.
    :param max_response_bytes: longest response that is kept, in bytes.
    :param record_timeout_s: time limit in seconds for recording a claim; one that
        takes longer is refused.
    """

    shards: int = 8
    slots: int = 512
    batch_interval_s: float = 0.075
    window_s: float = 600.0
    max_open_claims: int = 4_000
    max_batch_size: int = 500
    max_part_entries: int = 500
    max_response_bytes: int = 1_024
    record_timeout_s: float = 2.0

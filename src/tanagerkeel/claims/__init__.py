"""Claims: the idempotency records of calls that may run at most once."""

from tanagerkeel.claims._idempotency_key import check_idempotency_key
from tanagerkeel.claims._policy import ClaimPolicy
from tanagerkeel.claims._records import (
    Base,
    Claimed,
    Done,
    Endings,
    NotRun,
    Segment,
    SnapshotEntry,
    SnapshotPart,
    Unknown,
    body_digest,
    claim_key,
    new_id,
    shard_of,
)
from tanagerkeel.claims._table import ClaimTable, Ruling, Verdict

__all__ = [
    "Base",
    "ClaimPolicy",
    "ClaimTable",
    "Claimed",
    "Done",
    "Endings",
    "NotRun",
    "Ruling",
    "Segment",
    "SnapshotEntry",
    "SnapshotPart",
    "Unknown",
    "Verdict",
    "body_digest",
    "check_idempotency_key",
    "claim_key",
    "new_id",
    "shard_of",
]

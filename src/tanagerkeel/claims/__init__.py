"""Claims: the idempotency records of calls that may run at most once."""

from tanagerkeel.claims._idempotency_key import check_idempotency_key
from tanagerkeel.claims._policy import ClaimPolicy
from tanagerkeel.claims._records import (
    CallDone,
    CallNotRun,
    CallOutcomes,
    CallOutcomeUnknown,
    Claim,
    Segment,
    SnapshotEntry,
    SnapshotManifest,
    SnapshotPart,
    body_digest,
    claim_key,
    new_id,
    shard_of,
)
from tanagerkeel.claims._table import ClaimResult, ClaimStatus, ClaimTable

__all__ = [
    "CallDone",
    "CallNotRun",
    "CallOutcomeUnknown",
    "CallOutcomes",
    "Claim",
    "ClaimPolicy",
    "ClaimResult",
    "ClaimStatus",
    "ClaimTable",
    "Segment",
    "SnapshotEntry",
    "SnapshotManifest",
    "SnapshotPart",
    "body_digest",
    "check_idempotency_key",
    "claim_key",
    "new_id",
    "shard_of",
]

"""The records of the claim log, and the key that identifies a call."""

import base64
import hashlib
import uuid

import attrs

__all__ = [
    "CallDone",
    "CallNotRun",
    "CallOutcomeUnknown",
    "CallOutcomes",
    "Claim",
    "Segment",
    "SnapshotEntry",
    "SnapshotManifest",
    "SnapshotPart",
    "body_digest",
    "claim_key",
    "new_id",
    "shard_of",
]

KEY_BYTES = 16
BODY_DIGEST_BYTES = 12


def _digest(parts: tuple[bytes, ...], size: int) -> str:
    # Each part's length goes first, so that no other split gives the same digest.
    digest = hashlib.blake2b(digest_size=size)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return base64.urlsafe_b64encode(digest.digest()).rstrip(b"=").decode()


def claim_key(account: str, service: str, operation: str, key: str) -> str:
    """Return the key of a claim: a digest of the Idempotency-Key and its scope."""
    parts = tuple(part.encode() for part in (account, service, operation, key))
    return _digest(parts, KEY_BYTES)


def body_digest(body: bytes, content_type: str) -> str:
    """Return the digest that tells whether a repeated call has the same body."""
    return _digest((content_type.encode(), body), BODY_DIGEST_BYTES)


def shard_of(key: str, shards: int) -> int:
    """Return the number of the shard that a claim key belongs to."""
    return int.from_bytes(hashlib.blake2b(key.encode(), digest_size=8).digest()) % (
        shards
    )


def new_id() -> str:
    """Return a random unique id."""
    return base64.urlsafe_b64encode(uuid.uuid4().bytes).rstrip(b"=").decode()


@attrs.frozen
class Claim:
    """
    A claim: a node asks to run a call. The first claim of a key in the log wins.

    :param key: key of the call, from :func:`claim_key`.
    :param claim_id: unique id; the same when a node sends its claim again.
    :param body_digest: digest of the request body.
    :param owner: id of the node that dispatches the call if the claim is granted.
    :param timeout_s: time limit of the call, in seconds.
    """

    key: str
    claim_id: str
    body_digest: str
    owner: str
    timeout_s: float


@attrs.frozen
class CallDone:
    """
    Outcome: the claimed call ran and was answered.

    :param status: HTTP status of the response.
    :param response: body of the response; empty when it isn't kept.
    :param response_kept: whether the response is kept in this record.
    """

    key: str
    claim_id: str
    status: int
    content_type: str = ""
    response: bytes = attrs.field(default=b"", repr=False)
    response_kept: bool = False


@attrs.frozen
class CallOutcomeUnknown:
    """Outcome: the claimed call was sent, and whether it ran is unknown."""

    key: str
    claim_id: str


@attrs.frozen
class CallNotRun:
    """Outcome: the owner did not run the claimed call and can no longer run it."""

    key: str
    claim_id: str


@attrs.frozen
class CallOutcomes:
    """Outcomes of claims that are recorded together."""

    done: tuple[CallDone, ...] = ()
    unknown: tuple[CallOutcomeUnknown, ...] = ()
    not_run: tuple[CallNotRun, ...] = ()

    @property
    def size(self) -> int:
        """The number of records."""
        return len(self.done) + len(self.unknown) + len(self.not_run)


@attrs.frozen
class Segment:
    """
    Records that are written to the log together; outcomes apply before claims.

    :param number: position in the shard's log, from 0.
    :param batch_id: unique id, by which a writer recognises its own segment.
    :param outcomes: outcomes of earlier claims.
    :param claims: new claims, in the order in which they apply.
    """

    number: int
    batch_id: str
    outcomes: CallOutcomes = CallOutcomes()
    claims: tuple[Claim, ...] = ()


@attrs.frozen
class SnapshotEntry:
    """
    A claim in a snapshot.

    :param age_s: lower bound of the claim's age, in seconds.
    :param done: its outcome, when the call ran and was answered.
    :param unknown: whether its outcome was recorded as unknown.
    """

    claim: Claim
    age_s: float
    done: CallDone | None = None
    unknown: bool = False


@attrs.frozen
class SnapshotPart:
    """
    A part of a snapshot, small enough for one value of the key-value service.

    :param voided_claim_ids: ids of claims that their owners gave up; such a claim
        has no effect if it is written to the log later.
    """

    entries: tuple[SnapshotEntry, ...] = ()
    voided_claim_ids: tuple[str, ...] = ()


@attrs.frozen
class SnapshotManifest:
    """
    The snapshot that reading a shard's log starts from.

    :param last_segment: number of the last segment that the snapshot covers; -1 when
        there is no snapshot.
    :param snapshot_id: unique id of the snapshot.
    :param part_count: number of its parts.
    """

    last_segment: int = -1
    snapshot_id: str = ""
    part_count: int = 0

"""Messages between nodes about claims."""

import attrs

from tanagerkeel.claims import CallOutcomes, Claim, ClaimResult
from tanagerkeel.gateways.peers import peer_message

__all__ = ["ClaimAnswer", "RecordClaim", "OutcomesAnswer", "RecordOutcomes"]


@peer_message(40)
@attrs.frozen
class RecordClaim:
    """
    Asks the receiver to record a claim in its shard's log.

    :param shard: number of the shard that the claim's key belongs to.
    """

    shard: int
    claim: Claim


@peer_message(41)
@attrs.frozen
class ClaimAnswer:
    """Answer to :class:`RecordClaim`: how the claim was decided."""

    result: ClaimResult


@peer_message(42)
@attrs.frozen
class RecordOutcomes:
    """
    Asks the receiver to record the outcomes of claimed calls.

    :param shard: number of the shard that the claims' keys belong to.
    """

    shard: int
    outcomes: CallOutcomes


@peer_message(43)
@attrs.frozen
class OutcomesAnswer:
    """
    Answer to :class:`RecordOutcomes`.

    :param recorded: whether the outcomes are known to be in the log.
    """

    recorded: bool

"""Messages between nodes about claims."""

import attrs

from tanagerkeel.claims import CallOutcomes, Claim, ClaimResult
from tanagerkeel.gateways.peers import peer_message

__all__ = ["ClaimAnswer", "ClaimAsk", "OutcomesAnswer", "RecordOutcomes"]


@peer_message(40)
@attrs.frozen
class ClaimAsk:
    """
    Record a claim.

    :param shard: shard of its key.
    """

    shard: int
    claim: Claim


@peer_message(41)
@attrs.frozen
class ClaimAnswer:
    """What the log says to a claim."""

    result: ClaimResult


@peer_message(42)
@attrs.frozen
class RecordOutcomes:
    """
    Record how claims ended.

    :param shard: shard of their keys.
    """

    shard: int
    outcomes: CallOutcomes


@peer_message(43)
@attrs.frozen
class OutcomesAnswer:
    """
    The answer to a note.

    :param recorded: whether the outcomes are known to stand in the log.
    """

    recorded: bool

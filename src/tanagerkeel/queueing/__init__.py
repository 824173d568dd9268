"""What waits for a backend server, who goes next, and who is turned away."""

from tanagerkeel.queueing._caller_cost import CallerCost, CostRules, RouteCost
from tanagerkeel.queueing._peer_backlogs import (
    BACKLOG_VALID_S,
    MAX_BACKLOGS,
    BacklogReport,
    PeerBacklogs,
    RankedWork,
    backlog_reports,
    should_yield,
)
from tanagerkeel.queueing._waiting_request import LOWEST_RANK, WaitingRequest
from tanagerkeel.queueing._yield_times import YieldTimes

__all__ = [
    "BACKLOG_VALID_S",
    "LOWEST_RANK",
    "MAX_BACKLOGS",
    "BacklogReport",
    "CallerCost",
    "CostRules",
    "PeerBacklogs",
    "RankedWork",
    "RouteCost",
    "WaitingRequest",
    "YieldTimes",
    "backlog_reports",
    "should_yield",
]

"""What waits for a backend server, who goes next, and who is turned away."""

from tanagerkeel.queueing._account_flow import QueuedRequest
from tanagerkeel.queueing._caller_cost import CallerCost, CostRules, RouteCost
from tanagerkeel.queueing._drain_rate import DrainRate, RateMeter
from tanagerkeel.queueing._fair_queue import FairQueue
from tanagerkeel.queueing._feasibility import (
    Rejection,
    RejectionReason,
    choose_rejections,
    expected_wait_s,
    is_feasible,
)
from tanagerkeel.queueing._kept_places import KeptPlace, KeptPlaces
from tanagerkeel.queueing._peer_backlogs import (
    BACKLOG_VALID_S,
    MAX_BACKLOGS,
    BacklogReport,
    PeerBacklogs,
    RankedWork,
    backlog_reports,
    should_yield,
)
from tanagerkeel.queueing._return_time import bounded_s, retry_after_s
from tanagerkeel.queueing._standing import effective_rank
from tanagerkeel.queueing._waiting_queue import RankBacklog, WaitingQueue, WorkAhead
from tanagerkeel.queueing._waiting_request import LOWEST_RANK, WaitingRequest
from tanagerkeel.queueing._yield_times import YieldTimes

__all__ = [
    "BACKLOG_VALID_S",
    "BacklogReport",
    "CallerCost",
    "CostRules",
    "DrainRate",
    "FairQueue",
    "KeptPlace",
    "KeptPlaces",
    "LOWEST_RANK",
    "MAX_BACKLOGS",
    "PeerBacklogs",
    "QueuedRequest",
    "RankBacklog",
    "RankedWork",
    "RateMeter",
    "Rejection",
    "RejectionReason",
    "RouteCost",
    "WaitingQueue",
    "WaitingRequest",
    "WorkAhead",
    "YieldTimes",
    "backlog_reports",
    "bounded_s",
    "choose_rejections",
    "effective_rank",
    "expected_wait_s",
    "is_feasible",
    "retry_after_s",
    "should_yield",
]

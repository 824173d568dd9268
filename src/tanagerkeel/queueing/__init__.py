"""What waits for a backend server, who goes next, and who is turned away."""

from tanagerkeel.queueing._account_flow import QueuedRequest
from tanagerkeel.queueing._caller_cost import CallerCost, CostRules, RouteCost
from tanagerkeel.queueing._fair_queue import FairQueue
from tanagerkeel.queueing._waiting_queue import RankBacklog, WaitingQueue, WorkAhead
from tanagerkeel.queueing._waiting_request import LOWEST_RANK, WaitingRequest

__all__ = [
    "LOWEST_RANK",
    "CallerCost",
    "CostRules",
    "FairQueue",
    "QueuedRequest",
    "RankBacklog",
    "RouteCost",
    "WaitingQueue",
    "WaitingRequest",
    "WorkAhead",
]

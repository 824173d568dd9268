"""Admission: which requests may run, in which order, and how often they retry."""

from tanagerkeel.admission._admission import Admission, AdmissionRequest, Ticket
from tanagerkeel.admission._fair_queue import FairQueue, Waiting
from tanagerkeel.admission._rates import RateMeter
from tanagerkeel.admission._retries import RetryBudget
from tanagerkeel.admission._room import Lane, OpenRoom, Room
from tanagerkeel.admission._usage import AccountUsage, UsageBook

__all__ = [
    "AccountUsage",
    "Admission",
    "AdmissionRequest",
    "FairQueue",
    "Lane",
    "OpenRoom",
    "RateMeter",
    "RetryBudget",
    "Room",
    "Ticket",
    "UsageBook",
    "Waiting",
]

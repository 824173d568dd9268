"""Admission control: queueing, fair scheduling between accounts and retry budgets."""

from tanagerkeel.admission._admission import Admission, AdmissionRequest, Ticket
from tanagerkeel.admission._capacity import CapacitySource, Lane, UnlimitedCapacity
from tanagerkeel.admission._retries import ModelRetryBudget
from tanagerkeel.admission._usage import AccountUsage, UsageTracker
from tanagerkeel.queueing import FairQueue, QueuedRequest, RateMeter

__all__ = [
    "AccountUsage",
    "Admission",
    "AdmissionRequest",
    "CapacitySource",
    "FairQueue",
    "Lane",
    "ModelRetryBudget",
    "QueuedRequest",
    "RateMeter",
    "Ticket",
    "UnlimitedCapacity",
    "UsageTracker",
]

"""Membership of a failure domain, and summaries of other failure domains."""

from tanagerkeel.membership._domains import (
    DomainSummary,
    ModelCapacity,
    ReceivedSummary,
    SummaryAnswer,
    SummaryQuery,
    SummaryTable,
    SuspectRequest,
    SuspectRequestUpdate,
    model_number,
)
from tanagerkeel.membership._messages import (
    Announcement,
    HeavyAccount,
    IndirectProbe,
    IndirectReply,
    MemberStatus,
    MemberUpdate,
    Probe,
    ProbeReply,
    StateExchange,
    StateReply,
    Usage,
)
from tanagerkeel.membership._swim import Swim, SwimTiming
from tanagerkeel.membership._view import MembershipHolder, NodeInfo, View

__all__ = [
    "Announcement",
    "DomainSummary",
    "HeavyAccount",
    "IndirectProbe",
    "IndirectReply",
    "MemberStatus",
    "MemberUpdate",
    "MembershipHolder",
    "ModelCapacity",
    "NodeInfo",
    "Probe",
    "ProbeReply",
    "ReceivedSummary",
    "StateExchange",
    "StateReply",
    "SummaryAnswer",
    "SummaryQuery",
    "SummaryTable",
    "SuspectRequest",
    "SuspectRequestUpdate",
    "Swim",
    "SwimTiming",
    "Usage",
    "View",
    "model_number",
]

"""Membership of a failure domain, and summaries of other failure domains."""

from tanagerkeel.membership._domains import (
    DomainSummary,
    HeardSummary,
    ModelRoom,
    SummaryAnswer,
    SummaryBook,
    SummaryQuery,
    Suspect,
    SuspectNews,
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
    "HeardSummary",
    "HeavyAccount",
    "IndirectProbe",
    "IndirectReply",
    "MemberStatus",
    "MemberUpdate",
    "MembershipHolder",
    "ModelRoom",
    "NodeInfo",
    "Probe",
    "ProbeReply",
    "StateExchange",
    "StateReply",
    "SummaryAnswer",
    "SummaryBook",
    "SummaryQuery",
    "Suspect",
    "SuspectNews",
    "Swim",
    "SwimTiming",
    "Usage",
    "View",
    "model_number",
]

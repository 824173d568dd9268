"""Routing: chooses the backend server for each attempt of a request."""

from tanagerkeel.routing._plan import (
    AnswerEstimate,
    Candidate,
    GangPlan,
    NoPlan,
    Plan,
    PlannedSegment,
    SinglePlan,
)
from tanagerkeel.routing._router import Router

__all__ = [
    "AnswerEstimate",
    "Candidate",
    "GangPlan",
    "NoPlan",
    "Plan",
    "PlannedSegment",
    "Router",
    "SinglePlan",
]

"""The HTTP interfaces of callers and operators, and problem documents."""

from tanagerkeel.gateways.callers._app import make_callers_app
from tanagerkeel.gateways.callers._operators import make_operators_app
from tanagerkeel.gateways.callers._protocol import OperatorHandler, RequestHandler
from tanagerkeel.gateways.callers._status import BackendStatus, NodeStatus
from tanagerkeel.gateways.disconnect import CancelOnDisconnect, exit_stack_of
from tanagerkeel.gateways.problems import (
    PROBLEM_MEDIA_TYPE,
    Problem,
    header_policy,
    problem_of,
)

__all__ = [
    "PROBLEM_MEDIA_TYPE",
    "BackendStatus",
    "CancelOnDisconnect",
    "NodeStatus",
    "OperatorHandler",
    "Problem",
    "RequestHandler",
    "exit_stack_of",
    "header_policy",
    "make_callers_app",
    "make_operators_app",
    "problem_of",
]

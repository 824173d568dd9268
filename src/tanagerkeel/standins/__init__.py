"""Small servers that stand in for engines, plain services and the platform."""

from tanagerkeel.standins._answers import answer_text, answer_tokens
from tanagerkeel.standins._engine import EngineStandIn
from tanagerkeel.standins._engine_profile import EngineProfile
from tanagerkeel.standins._engine_stream import EngineDown, EngineRefusal
from tanagerkeel.standins._faults import (
    EngineFaults,
    PlatformFaults,
    PlatformOutage,
    ServiceFaults,
)
from tanagerkeel.standins._platform import PlatformStandIn
from tanagerkeel.standins._platform_store import PlatformStore, Snapshot
from tanagerkeel.standins._server import StandIn, serve_standin
from tanagerkeel.standins._service import Execution, ServiceStandIn

__all__ = [
    "EngineDown",
    "EngineFaults",
    "EngineProfile",
    "EngineRefusal",
    "EngineStandIn",
    "Execution",
    "PlatformFaults",
    "PlatformOutage",
    "PlatformStandIn",
    "PlatformStore",
    "ServiceFaults",
    "ServiceStandIn",
    "Snapshot",
    "StandIn",
    "answer_text",
    "answer_tokens",
    "serve_standin",
]

"""Gateway to engines: the interface, its messages, and the HTTP implementation."""

from tanagerkeel.gateways.engines._http import HttpEngineGateway
from tanagerkeel.gateways.engines._messages import (
    Allocation,
    CacheEvent,
    CacheEventBatch,
    CacheEventKind,
    EngineOrder,
    GangSegment,
    GenerateCall,
    LoadReport,
    OrderResult,
    Reservation,
)
from tanagerkeel.gateways.engines._protocol import (
    BackendFailed,
    BackendRefused,
    EngineGateway,
)

__all__ = [
    "Allocation",
    "BackendFailed",
    "BackendRefused",
    "CacheEvent",
    "CacheEventBatch",
    "CacheEventKind",
    "EngineGateway",
    "EngineOrder",
    "GangSegment",
    "GenerateCall",
    "HttpEngineGateway",
    "LoadReport",
    "OrderResult",
    "Reservation",
]

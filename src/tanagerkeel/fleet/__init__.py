"""State, estimated load and concurrency limits of backend servers."""

from tanagerkeel.fleet._grantor import (
    Grantor,
    PermitPolicy,
    SeenNodes,
    ShareLender,
)
from tanagerkeel.fleet._load import Dispatch
from tanagerkeel.fleet._load_updates import (
    EngineMetadata,
    EngineMetrics,
    LoadUpdate,
    LoadUpdateReader,
    LoadUpdateWriter,
    MetadataQuery,
    ReceivedReport,
    backend_number,
)
from tanagerkeel.fleet._permits import Permit, PermitSource, UnlimitedPermits
from tanagerkeel.fleet._snapshot import BackendSnapshot, BackendState
from tanagerkeel.fleet._state import LeavingSource, concurrency_limit
from tanagerkeel.fleet._table import FleetTable

__all__ = [
    "BackendSnapshot",
    "BackendState",
    "Dispatch",
    "EngineMetadata",
    "EngineMetrics",
    "FleetTable",
    "Grantor",
    "LeavingSource",
    "LoadUpdate",
    "LoadUpdateReader",
    "LoadUpdateWriter",
    "MetadataQuery",
    "Permit",
    "PermitPolicy",
    "PermitSource",
    "ReceivedReport",
    "SeenNodes",
    "ShareLender",
    "UnlimitedPermits",
    "backend_number",
    "concurrency_limit",
]

"""State, estimated load and concurrency limits of backend servers."""

from tanagerkeel.fleet._grantor import (
    Grantor,
    PermitPolicy,
    SeenNodes,
    ShareLender,
)
from tanagerkeel.fleet._load import Dispatch
from tanagerkeel.fleet._load_updates import (
    ConstantsQuery,
    EngineMetadata,
    EngineMetrics,
    LoadNews,
    LoadNewsReader,
    LoadNewsWriter,
    ReceivedReport,
    backend_number,
)
from tanagerkeel.fleet._permits import OpenPermits, Permit, PermitSource
from tanagerkeel.fleet._snapshot import BackendSnapshot, BackendState
from tanagerkeel.fleet._state import LeavingSource, bearable
from tanagerkeel.fleet._table import FleetTable

__all__ = [
    "BackendSnapshot",
    "BackendState",
    "ConstantsQuery",
    "Dispatch",
    "EngineMetadata",
    "EngineMetrics",
    "FleetTable",
    "LeavingSource",
    "Grantor",
    "ReceivedReport",
    "LoadNews",
    "LoadNewsReader",
    "LoadNewsWriter",
    "OpenPermits",
    "Permit",
    "PermitPolicy",
    "PermitSource",
    "bearable",
    "SeenNodes",
    "ShareLender",
    "backend_number",
]

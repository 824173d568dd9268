"""Nodes that relay opaque requests: settings, background tasks, request handling."""

from tanagerkeel.relay_entry._node import RelayNode
from tanagerkeel.relay_entry._protocols import (
    BackendCodec,
    CallerCodec,
    Helper,
    ReleaseMemory,
    ReserveMemory,
    SendOptions,
)
from tanagerkeel.relay_entry._settings import (
    RelayBounds,
    RelaySettings,
    load_relay_settings,
)
from tanagerkeel.relay_entry._store_updates import (
    BackendRemoval,
    BackendUpdate,
    ConfigurationUpdate,
    DomainRestored,
    DomainTakenOut,
    StoreDecoder,
    StoreUpdate,
    UnreadableEntry,
)

__all__ = [
    "BackendCodec",
    "BackendUpdate",
    "BackendRemoval",
    "CallerCodec",
    "ConfigurationUpdate",
    "DomainRestored",
    "DomainTakenOut",
    "StoreUpdate",
    "Helper",
    "RelayBounds",
    "RelayNode",
    "RelaySettings",
    "ReleaseMemory",
    "ReserveMemory",
    "SendOptions",
    "StoreDecoder",
    "UnreadableEntry",
    "load_relay_settings",
]

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
    BackendFact,
    BackendGoneFact,
    ConfigurationFact,
    DomainInFact,
    DomainOutFact,
    Fact,
    StoreDecoder,
    UnreadableEntry,
)

__all__ = [
    "BackendCodec",
    "BackendFact",
    "BackendGoneFact",
    "CallerCodec",
    "ConfigurationFact",
    "DomainInFact",
    "DomainOutFact",
    "Fact",
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

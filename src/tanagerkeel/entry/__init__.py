"""Entry nodes: their settings, background tasks and request handling."""

from tanagerkeel.entry._node import EntryNode
from tanagerkeel.entry._settings import (
    EntrySettings,
    Limits,
    SigningKey,
    load_settings,
)

__all__ = [
    "EntryNode",
    "EntrySettings",
    "Limits",
    "SigningKey",
    "load_settings",
]

"""Entry nodes: their settings, tasks, and the way of a request."""

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

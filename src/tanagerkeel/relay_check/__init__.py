"""Checks of a relay configuration before it is sent, and how two of them differ."""

from tanagerkeel.relay_check._check import find_problems
from tanagerkeel.relay_check._differences import (
    Added,
    Changed,
    Difference,
    KeysChanged,
    Removed,
    compare,
)
from tanagerkeel.relay_check._findings import Collection, Finding, Level, Place, Problem

__all__ = [
    "Added",
    "Changed",
    "Collection",
    "Difference",
    "Finding",
    "KeysChanged",
    "Level",
    "Place",
    "Problem",
    "Removed",
    "compare",
    "find_problems",
]

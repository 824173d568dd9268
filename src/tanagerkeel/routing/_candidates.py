"""Filters that select the engines for an attempt."""

from collections.abc import Iterable, Iterator

from tanagerkeel.configuration import BackendKind
from tanagerkeel.fleet import BackendSnapshot, BackendState

__all__ = [
    "with_free_memory",
    "healthiest",
    "largest_memory_tokens",
    "not_excluded",
    "serving",
]


def serving(
    snapshots: Iterable[BackendSnapshot], model: str
) -> Iterator[BackendSnapshot]:
    """Yield the engines that serve a model and accept new work."""
    for snapshot in snapshots:
        server = snapshot.server
        if server.kind is BackendKind.ENGINE and model in server.models:
            if snapshot.accepts_work:
                yield snapshot


def not_excluded(
    snapshots: Iterable[BackendSnapshot], excluded: frozenset[str]
) -> Iterator[BackendSnapshot]:
    """Yield the engines whose names are not in ``excluded``."""
    return (s for s in snapshots if s.server.name not in excluded)


def healthiest(
    snapshots: tuple[BackendSnapshot, ...],
) -> tuple[BackendSnapshot, ...]:
    """
    Return the engines that respond and have not been ejected for slowness.

    If there are none, return those that respond; if none responds, return all.
    """
    responding = tuple(s for s in snapshots if s.state is not BackendState.UNKNOWN)
    healthy = tuple(s for s in responding if not s.ejected)
    return healthy or responding or snapshots


def with_free_memory(
    snapshots: Iterable[BackendSnapshot], memory_tokens: int
) -> Iterator[BackendSnapshot]:
    """Yield the engines with at least ``memory_tokens`` of free memory."""
    return (s for s in snapshots if s.free_memory_tokens >= memory_tokens)


def largest_memory_tokens(snapshots: Iterable[BackendSnapshot]) -> int:
    """Return the total memory of the largest engine, in tokens; 0 without engines."""
    return max((s.memory_tokens for s in snapshots), default=0)

"""Selects the allocations of engine memory that are overdue."""

from collections.abc import Collection, Iterator

from tanagerkeel.gateways.engines import Allocation

__all__ = ["overdue_allocations"]

# Time in which a live owner can free an allocation after its deadline.
OWNER_GRACE_MS = 5_000


def overdue_allocations(
    allocations: Collection[Allocation], alive: Collection[str]
) -> Iterator[Allocation]:
    """
    Yield the allocations to free, none of them before its deadline.

    :param allocations: all allocations of an engine.
    :param alive: ids of the nodes considered alive. An allocation whose owner is among
        them is overdue only ``OWNER_GRACE_MS`` after its deadline, since the owner may
        still free it.
    """
    for allocation in allocations:
        grace_ms = OWNER_GRACE_MS if allocation.owner in alive else 0
        if allocation.remaining_ms < -grace_ms:
            yield allocation

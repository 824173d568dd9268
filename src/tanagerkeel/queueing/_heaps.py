"""A heap read in order, without changing it."""

import heapq
from collections.abc import Iterator
from typing import TypeVar

__all__ = ["in_heap_order"]

T = TypeVar("T")


def in_heap_order(heap: list[T]) -> Iterator[T]:
    """
    Yield the entries of a heap from the least on; the first k cost O(k log k).

    :param heap: as ``heapq`` keeps it, with distinct entries; it must not change
        while it is read.
    """
    frontier = [(heap[0], 0)] if heap else []
    while frontier:
        entry, position = heapq.heappop(frontier)
        yield entry
        for child in (2 * position + 1, 2 * position + 2):
            if child < len(heap):
                heapq.heappush(frontier, (heap[child], child))

"""
A reserved share of the work for requests that others keep from being served.

Load pattern: urgent, small or new requests that take all backend servers for longer
than the callers of the others wait.
"""

from collections.abc import Container, Iterator

import attrs

from tanagerkeel.queueing._fair_queue import FairQueue, QueuedRequest
from tanagerkeel.queueing._standing import clamped_rank
from tanagerkeel.queueing._waiting_request import WaitingRequest

__all__ = ["RESERVED_SHARE", "PassedOver", "owed_after"]

# Share of the work that goes to requests that were passed over.
RESERVED_SHARE = 0.05


@attrs.define
class PassedOver:
    """
    Requests that were passed over: fair between account and rank, the oldest first.

    One of them has a turn while no work is owed to the others. What it takes is owed to
    them (1 - ``RESERVED_SHARE``) / ``RESERVED_SHARE`` times, and what they take, while
    one is passed over or not, is paid off. So the reserved share is kept except for one
    request, and a large one needs no savings to have its turn.
    """

    # Work that others are owed before the next turn.
    _owed_ms: float = 0.0
    _queue: FairQueue = attrs.field(factory=FairQueue)
    _items: dict[WaitingRequest, QueuedRequest] = attrs.field(factory=dict)
    _requests: dict[QueuedRequest, WaitingRequest] = attrs.field(factory=dict)

    @property
    def owed_ms(self) -> float:
        """Work that others are owed before the next turn, in milliseconds."""
        return self._owed_ms

    def __len__(self) -> int:
        return len(self._queue)

    def __contains__(self, request: WaitingRequest) -> bool:
        return request in self._items

    def push(self, request: WaitingRequest) -> None:
        """Add a request."""
        item = QueuedRequest(
            f"{clamped_rank(request)} {request.account}",
            request.account_weight,
            request.work_ms,
            request.latest_start_s,
        )
        self._items[request] = item
        self._requests[item] = request
        self._queue.push(item, (request.arrived_s,))

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request, if it is here."""
        item = self._items.pop(request, None)
        if item is not None:
            self._queue.remove(item)
            del self._requests[item]

    def take(self, request: WaitingRequest) -> bool:
        """
        Record that a request got a backend server.

        :return: whether it was the turn of this one; :meth:`complete` ends it.
        """
        if self._owed_ms > 0 or next(self.in_order(), None) is not request:
            self.remove(request)
            self._owed_ms = max(0.0, self._owed_ms - request.work_ms)
            return False
        item = self._items[request]
        self._queue.take(item)
        del self._requests[item]
        self._owed_ms = owed_after(request.work_ms)
        return True

    def complete(self, request: WaitingRequest) -> None:
        """Record that a request that had its turn ended."""
        item = self._items.pop(request)
        self._queue.complete(item, item.cost)

    def in_order(
        self, excluded: Container[QueuedRequest] = ()
    ) -> Iterator[WaitingRequest]:
        """
        Yield the requests in the order of their turns, lazily and without a change.

        :param excluded: may grow while the order is read.
        """
        return (self._requests[item] for item in self._queue.in_order(excluded))

    def item(self, request: WaitingRequest) -> QueuedRequest | None:
        """Return what stands for a request in the order; None if it isn't here."""
        return self._items.get(request)


def owed_after(work_ms: float) -> float:
    """Return the work that a turn owes to the others, in milliseconds."""
    return work_ms * (1 - RESERVED_SHARE) / RESERVED_SHARE

"""The waiting and running work of one client account in a fair queue."""

import heapq
from collections.abc import Iterator

import attrs

from tanagerkeel.queueing._heaps import in_heap_order

__all__ = ["AccountFlow", "Order", "QueuedRequest"]

# Heap entries, beyond two per waiting request, at which stale ones are removed.
STALE_SLACK = 8
# Compared within one account; the least goes first.
Order = tuple[float, ...]


@attrs.frozen(eq=False)
class QueuedRequest:
    """
    A request in the queue.

    :param account: name of the client account.
    :param weight: the account's share of capacity relative to the other accounts.
    :param cost: estimated work, in the unit of the queue's owner: tokens of prefill and
        decode in admission, milliseconds of a backend server for a node's queue.
    :param latest_start_s: monotonic time, in seconds, after which the request can't
        meet its deadline.
    """

    account: str
    weight: float
    cost: float
    latest_start_s: float

    @property
    def cost_tokens(self) -> float:
        """The cost, where the queue's owner counts in tokens."""
        return self.cost


# Order, number of the push, and the request.
_Place = tuple[Order, int, QueuedRequest]


@attrs.define
class AccountFlow:
    """
    One account in a fair queue.

    :param weight: its share relative to the other accounts.
    :param finish_tag: virtual time at which its work so far would have ended.
    """

    weight: float = 1.0
    finish_tag: float = 0.0
    start_tag: float = 0.0
    running_cost: float = 0.0
    running_count: int = 0
    # By id() of the request, the one that was added first at the front.
    waiting: dict[int, _Place] = attrs.field(factory=dict)
    # Places in order. Stale ones are dropped when they come to the front.
    _heap: list[_Place] = attrs.field(factory=list)

    @property
    def queued_cost(self) -> float:
        """Cost of the waiting requests."""
        return sum(item.cost for _, _, item in self.waiting.values())

    @property
    def newest(self) -> QueuedRequest:
        """The waiting request that was added last."""
        return next(reversed(self.waiting.values()))[2]

    @property
    def head(self) -> QueuedRequest:
        """The waiting request that goes first."""
        self._drop_stale()
        return self._heap[0][2]

    def push(self, item: QueuedRequest, order: Order, number: int) -> None:
        """
        Add a request, or change the order of a waiting one.

        :param item: the request.
        :param order: the least goes first.
        :param number: number of the push, which decides between equal orders.
        """
        place = (order, number, item)
        self.waiting[id(item)] = place
        heapq.heappush(self._heap, place)
        self._compact()

    def remove(self, item: QueuedRequest) -> bool:
        """Remove a request; return whether it was waiting."""
        if self.waiting.pop(id(item), None) is None:
            return False
        self._compact()
        return True

    def in_order(self) -> Iterator[QueuedRequest]:
        """Yield the waiting requests in order, without a change."""
        self._drop_stale()
        current = filter(self._is_current, in_heap_order(self._heap))
        return (item for _, _, item in current)

    def _is_current(self, place: _Place) -> bool:
        return self.waiting.get(id(place[2])) is place

    def _drop_stale(self) -> None:
        while self._heap and not self._is_current(self._heap[0]):
            heapq.heappop(self._heap)

    def _compact(self) -> None:
        if len(self._heap) > STALE_SLACK + 2 * len(self.waiting):
            self._heap = list(self.waiting.values())
            heapq.heapify(self._heap)

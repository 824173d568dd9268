"""Start-time fair queueing between the client accounts of one lane."""

import heapq
import itertools
from collections.abc import Container, Iterator

import attrs

from tanagerkeel.queueing._account_flow import AccountFlow, Order, QueuedRequest
from tanagerkeel.queueing._heaps import in_heap_order
from tanagerkeel.queueing._service_order import Start, service_order

__all__ = ["FairQueue", "QueuedRequest"]

# Heap entries, beyond two per account, at which stale entries are removed.
HEAP_SLACK = 64


@attrs.define
class FairQueue:
    """
    Start-time fair queue over the client accounts of one lane.

    Accounts are served in proportion to their weights: the one with the lowest start
    tag goes first. Accounts whose running work exceeds their share are skipped while an
    account within its share is waiting. Requests of one account are served in the order
    that is given with them; without one, first in, first out.

    The cost is in the unit of the owner: the names below that say tokens are those of
    admission, a node's queue of waiting requests counts in milliseconds.
    """

    _flows: dict[str, AccountFlow] = attrs.field(factory=dict)
    # Finish tags of accounts that have no request waiting or running.
    _idle_finish_tags: dict[str, float] = attrs.field(factory=dict)
    # Start tag, tie-breaker and account. Stale entries are dropped when popped.
    _heap: list[Start] = attrs.field(factory=list)
    # Virtual time: the highest start tag of the requests popped so far.
    _virtual: float = 0.0
    _running_cost: float = 0.0
    _queued_cost: float = 0.0
    _size: int = 0
    # Sum of the weights of all active accounts.
    _weight: float = 0.0
    # By account, scales the account's weight on this node.
    _factors: dict[str, float] = attrs.field(factory=dict)
    _sequence: Iterator[int] = attrs.field(factory=itertools.count)

    def __len__(self) -> int:
        return self._size

    @property
    def queued_tokens(self) -> float:
        """Cost of all waiting requests, in tokens."""
        return self._queued_cost

    @property
    def running_tokens(self) -> float:
        """Cost of all running requests, in tokens."""
        return self._running_cost

    @property
    def active(self) -> Iterator[tuple[str, float]]:
        """Name and weight of each account with a waiting or running request."""
        return ((name, flow.weight) for name, flow in self._flows.items())

    def set_factors(self, factors: dict[str, float]) -> None:
        """
        Set the factors by which the accounts' weights are scaled on this node.

        :param factors: by account, above 0 and up to 1; a missing account has 1.
        """
        self._factors = factors

    def push(self, item: QueuedRequest, order: Order = ()) -> None:
        """
        Add a request.

        :param item: the request.
        :param order: compared with those of its account; the least goes first, and the
            one that was added first among equals.
        """
        flow = self._flow(item)
        flow.push(item, order, next(self._sequence))
        self._queued_cost += item.cost
        self._size += 1
        if len(flow.waiting) == 1:
            # An account earns no credit while it has nothing waiting.
            self._set_start_tag(item.account, flow, max(self._virtual, flow.finish_tag))

    def reorder(self, item: QueuedRequest, order: Order) -> None:
        """Change the order of a waiting request within its account."""
        self._flows[item.account].push(item, order, next(self._sequence))

    def remove(self, item: QueuedRequest) -> bool:
        """Remove a waiting request; return whether it was in the queue."""
        flow = self._flows.get(item.account)
        if flow is None or not flow.remove(item):
            return False
        self._uncount(item)
        self._remove_if_idle(item.account, flow)
        return True

    def pop(self) -> QueuedRequest | None:
        """Remove the next request and count it as running; None when empty."""
        account = self._next_account()
        if account is None:
            return None
        item = self._flows[account].head
        self.take(item)
        return item

    def take(self, item: QueuedRequest) -> bool:
        """
        Remove a request, which need not be the next, and count it as running.

        :return: whether it was in the queue.
        """
        flow = self._flows.get(item.account)
        if flow is None or not flow.remove(item):
            return False
        self._uncount(item)
        self._virtual = max(self._virtual, flow.start_tag)
        flow.finish_tag = flow.start_tag + item.cost / self._effective_weight(
            item.account, flow
        )
        flow.running_count += 1
        flow.running_cost += item.cost
        self._running_cost += item.cost
        if flow.waiting:
            self._set_start_tag(item.account, flow, flow.finish_tag)
        return True

    def in_order(
        self, excluded: Container[QueuedRequest] = ()
    ) -> Iterator[QueuedRequest]:
        """
        Yield the waiting requests as :meth:`pop` would return them, without a change.

        Lazy: the first k cost O(k log n). The queue must not change while it is read.

        :param excluded: requests that are passed over as if they had been removed; it
            may grow while the order is read.
        """
        # Stale entries at the front would be read again each time.
        while self._heap and not self._is_current(self._heap[0]):
            heapq.heappop(self._heap)
        return service_order(
            self._current_starts(),
            self._flows,
            self._effective_weight,
            self._weight,
            self._running_cost,
            excluded,
        )

    def complete(self, item: QueuedRequest, served_tokens: float) -> None:
        """
        Record that a running request ended.

        :param item: a request that :meth:`pop` returned.
        :param served_tokens: the work it actually took, in tokens. If it cost less
            than estimated, the account is credited with the difference.
        """
        flow = self._flows[item.account]
        flow.running_count -= 1
        flow.running_cost -= item.cost
        self._running_cost -= item.cost
        unused = max(0.0, item.cost - served_tokens)
        flow.finish_tag -= unused / self._effective_weight(item.account, flow)
        if flow.waiting:
            self._set_start_tag(item.account, flow, flow.finish_tag)
        self._remove_if_idle(item.account, flow)

    def overdue(self, now: float) -> tuple[QueuedRequest, ...]:
        """Return the waiting requests that can no longer meet their deadlines."""
        return tuple(
            item
            for flow in self._flows.values()
            for _, _, item in flow.waiting.values()
            if item.latest_start_s < now
        )

    def eviction_candidate(self) -> QueuedRequest | None:
        """
        Return the newest waiting request of the account with the largest backlog.

        Backlogs are compared relative to the accounts' weights.
        """
        waiting = [flow for flow in self._flows.values() if flow.waiting]
        if not waiting:
            return None
        flow = max(waiting, key=lambda f: f.queued_cost / f.weight)
        return flow.newest

    def backlog_tokens(self, account: str) -> float:
        """Return the cost of one account's waiting requests, in tokens."""
        flow = self._flows.get(account)
        return flow.queued_cost if flow is not None else 0.0

    def share_of(self, account: str, weight: float) -> float:
        """
        Return the fraction of the lane that is due to an account, in (0, 1].

        :param account: name of the client account.
        :param weight: its weight, since an inactive account is not known here.
        """
        if account in self._flows:
            return weight / self._weight
        return weight / (self._weight + weight)

    def _flow(self, item: QueuedRequest) -> AccountFlow:
        flow = self._flows.get(item.account)
        if flow is None:
            finish = self._idle_finish_tags.pop(item.account, 0.0)
            flow = self._flows[item.account] = AccountFlow(
                item.weight, finish_tag=finish
            )
            self._weight += item.weight
        elif flow.weight != item.weight:
            self._weight += item.weight - flow.weight
            flow.weight = item.weight
        return flow

    def _uncount(self, item: QueuedRequest) -> None:
        self._size -= 1
        self._queued_cost = self._queued_cost - item.cost if self._size else 0.0

    def _current_starts(self) -> Iterator[Start]:
        # An account whose start tag was set twice to the same time has two entries.
        seen = set()
        for entry in in_heap_order(self._heap):
            if self._is_current(entry) and entry[2] not in seen:
                seen.add(entry[2])
                yield entry

    def _is_current(self, start: Start) -> bool:
        flow = self._flows.get(start[2])
        return bool(flow and flow.waiting and flow.start_tag == start[0])

    def _effective_weight(self, account: str, flow: AccountFlow) -> float:
        return flow.weight * self._factors.get(account, 1.0)

    def _set_start_tag(self, account: str, flow: AccountFlow, start: float) -> None:
        flow.start_tag = start
        if len(self._heap) > HEAP_SLACK + 2 * len(self._flows):
            self._compact()
        heapq.heappush(self._heap, (flow.start_tag, next(self._sequence), account))

    def _compact(self) -> None:
        # Removed requests and changed start tags leave stale entries behind.
        self._heap = [
            (flow.start_tag, next(self._sequence), account)
            for account, flow in self._flows.items()
            if flow.waiting
        ]
        heapq.heapify(self._heap)

    def _next_account(self) -> str | None:
        skipped = []
        chosen = None
        while self._heap and chosen is None:
            entry = heapq.heappop(self._heap)
            if not self._is_current(entry):
                continue
            if self._exceeds_share(self._flows[entry[2]]):
                skipped.append(entry)
            else:
                chosen = entry
        if chosen is None and skipped:
            chosen = skipped.pop(0)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return chosen[2] if chosen is not None else None

    def _exceeds_share(self, flow: AccountFlow) -> bool:
        excess_at = flow.running_cost * self._weight / flow.weight - flow.head.cost
        return excess_at > self._running_cost

    def _remove_if_idle(self, account: str, flow: AccountFlow) -> None:
        # Rounding keeps token sums from returning to exactly 0, hence the counts.
        if flow.waiting or flow.running_count:
            return
        del self._flows[account]
        self._weight -= flow.weight
        if flow.finish_tag > self._virtual:
            self._idle_finish_tags[account] = flow.finish_tag
        if not self._flows:
            self._reset()
        elif len(self._idle_finish_tags) > len(self._flows):
            self._prune_idle()

    def _prune_idle(self) -> None:
        self._idle_finish_tags = {
            a: f for a, f in self._idle_finish_tags.items() if f > self._virtual
        }

    def _reset(self) -> None:
        # Once the queue is empty and nothing runs, no history needs to be kept.
        self._idle_finish_tags.clear()
        self._heap.clear()
        self._virtual = self._running_cost = self._queued_cost = self._weight = 0.0

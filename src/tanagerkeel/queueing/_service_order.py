"""The order in which a fair queue will serve its requests, read ahead lazily."""

import heapq
import itertools
from collections.abc import Callable, Container, Iterator

import attrs

from tanagerkeel.queueing._account_flow import AccountFlow, QueuedRequest

__all__ = ["Start", "service_order"]

# Start tag, tie-breaker and account.
Start = tuple[float, int, str]
# Tie-breakers from here on come after all those of a queue.
FIRST_NUMBER = 1 << 62


@attrs.define
class _Preview:
    # An account while the order is read ahead.
    flow: AccountFlow
    items: Iterator[QueuedRequest]
    running_cost: float
    head: QueuedRequest | None = None

    def skip(self, excluded: Container[QueuedRequest]) -> None:
        while self.head is not None and self.head in excluded:
            self.head = next(self.items, None)


@attrs.define
class _Skipped:
    # Accounts above their share; entries of those that have left are stale.
    starts: set[Start] = attrs.field(factory=set)
    # With the running work at which the account no longer exceeds its share.
    by_excess: list[tuple[float, Start]] = attrs.field(factory=list)
    by_start: list[Start] = attrs.field(factory=list)

    def push(self, excess_at: float, start: Start) -> None:
        self.starts.add(start)
        heapq.heappush(self.by_excess, (excess_at, start))
        heapq.heappush(self.by_start, start)

    def within_share(self, running: float) -> Iterator[Start]:
        while self.by_excess and self.by_excess[0][0] <= running:
            start = heapq.heappop(self.by_excess)[1]
            if start in self.starts:
                self.starts.remove(start)
                yield start

    def pop_earliest(self) -> Start:
        while (start := heapq.heappop(self.by_start)) not in self.starts:
            pass
        self.starts.remove(start)
        return start


def service_order(
    starts: Iterator[Start],
    flows: dict[str, AccountFlow],
    scaled_weight: Callable[[str, AccountFlow], float],
    total_weight: float,
    running: float,
    excluded: Container[QueuedRequest],
) -> Iterator[QueuedRequest]:
    """
    Yield waiting requests as if each ran on once its turn had come.

    :param starts: one for each account with a waiting request, the earliest first.
    :param flows: by account.
    :param scaled_weight: the weight by which an account's virtual time passes.
    :param total_weight: weight of all accounts that wait or run.
    :param running: cost of all running requests.
    :param excluded: requests that count as removed; it may grow meanwhile.
    """
    previews: dict[str, _Preview] = {}
    ready = list(itertools.islice(starts, 1))
    skipped = _Skipped()
    numbers = itertools.count(FIRST_NUMBER)
    while ready or skipped.starts:
        for start in skipped.within_share(running):
            heapq.heappush(ready, start)
        has_ready = bool(ready)
        start = heapq.heappop(ready) if has_ready else skipped.pop_earliest()
        tag, _, account = start
        preview = previews.get(account)
        if preview is None:
            flow = flows[account]
            items = flow.in_order()
            preview = _Preview(flow, items, flow.running_cost, next(items, None))
            previews[account] = preview
            for following in itertools.islice(starts, 1):
                heapq.heappush(ready, following)
        preview.skip(excluded)
        item = preview.head
        if item is None:
            continue
        weight = preview.flow.weight
        excess_at = preview.running_cost * total_weight / weight - item.cost
        if has_ready and excess_at > running:
            skipped.push(excess_at, start)
            continue
        yield item
        running += item.cost
        preview.running_cost += item.cost
        preview.head = next(preview.items, None)
        finish = tag + item.cost / scaled_weight(account, preview.flow)
        heapq.heappush(ready, (finish, next(numbers), account))

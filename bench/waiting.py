"""Cost of the queue of waiting requests: push, order, work ahead, backlog."""

import argparse
import itertools
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator

from bench._tables import Table
from tanagerkeel.queueing import CallerCost, WaitingQueue, WaitingRequest

WAITING = (10, 1_000, 10_000)
ACCOUNTS = (24, 940)
REPEATS = 50
# Requests arrive over this time, so that they stand at unlike ranks.
SPREAD_S = 10.0


def _requests(count: int, accounts: int, seed: int) -> Iterator[WaitingRequest]:
    source = random.Random(seed)
    for number in range(count):
        work_ms = source.choice((100.0, 2_000.0))
        arrived_s = SPREAD_S * number / count
        yield WaitingRequest(
            f"r{number}",
            f"a{source.randrange(accounts)}",
            source.randrange(3),
            CallerCost(1.0 + work_ms / 1_000, 0.75),
            work_ms,
            arrived_s,
            arrived_s + 1.0 + work_ms / 250,
            arrived_s + 4.0 + work_ms / 100,
        )


def _queue(requests: list[WaitingRequest]) -> WaitingQueue:
    queue = WaitingQueue()
    for request in requests:
        queue.push(request, request.arrived_s)
    return queue


def _median_us(operation: Callable[[], object]) -> float:
    times = []
    for _ in range(REPEATS):
        started = time.perf_counter_ns()
        operation()
        times.append((time.perf_counter_ns() - started) / 1_000)
    return statistics.median(times)


def _bytes_each(requests: list[WaitingRequest]) -> float:
    tracemalloc.start()
    queue = _queue(requests)
    size = tracemalloc.get_traced_memory()[0] / len(queue)
    tracemalloc.stop()
    return size


def measure(seed: int) -> Table:
    """Return the median cost of each operation, in microseconds."""
    columns = (
        "waiting",
        "accounts",
        "push",
        "take and complete",
        "first of the order",
        "ahead of the last",
        "ahead of one of rank 0",
        "backlog",
        "bytes a request",
    )
    table = Table("Queue of waiting requests, median in us", columns)
    now = SPREAD_S
    for count, accounts in itertools.product(WAITING, ACCOUNTS):
        requests = list(_requests(count, accounts, seed))
        queue = _queue(requests)
        more = iter(list(_requests(4 * REPEATS, accounts, seed + 1)))
        asked = WaitingRequest(
            "asked", "a0", 0, CallerCost(1.0, 0.75), 100.0, now, now + 1.0, now + 4.0
        )
        last = list(queue.in_order(now))[-1]

        def take_first(queue: WaitingQueue = queue) -> None:
            request = next(queue.in_order(SPREAD_S))
            queue.take(request, SPREAD_S)
            queue.complete(request)
            queue.push(request, SPREAD_S)

        table.add(
            count,
            accounts,
            _median_us(lambda queue=queue, more=more: queue.push(next(more), now)),
            _median_us(take_first),
            _median_us(lambda queue=queue: next(queue.in_order(now))),
            _median_us(lambda queue=queue, last=last: queue.ahead_of(last, now)),
            _median_us(lambda queue=queue, asked=asked: queue.ahead_of(asked, now)),
            _median_us(lambda queue=queue: queue.backlog(now)),
            _bytes_each(requests),
        )
    return table


def main() -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    print(measure(options.seed).to_markdown())
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""
The order in which requests that wait at a node get backend servers.

Load pattern: bursts of requests of unlike rank, size and account that compete for the
same backend servers, for longer than the callers of some of them wait.
"""

import heapq
import itertools
from collections.abc import Iterator

import attrs

from tanagerkeel.queueing._fair_queue import FairQueue, QueuedRequest
from tanagerkeel.queueing._passed_over import PassedOver, owed_after
from tanagerkeel.queueing._standing import Standing, standing
from tanagerkeel.queueing._waiting_request import WaitingRequest

__all__ = ["RankBacklog", "WaitingQueue", "WorkAhead"]

# Heap entries, beyond two per waiting request, at which stale ones are removed.
STALE_SLACK = 64


@attrs.frozen
class WorkAhead:
    """
    What goes before a request.

    :param count: number of requests.
    :param work_ms: their work, in milliseconds of a backend server.
    """

    count: int
    work_ms: float


@attrs.frozen
class RankBacklog:
    """
    What waits at one effective rank.

    :param rank: the effective rank.
    :param count: number of requests.
    :param work_ms: their work, in milliseconds of a backend server.
    :param oldest_due_s: the earliest time at which one of them is due.
    """

    rank: int
    count: int
    work_ms: float
    oldest_due_s: float


# Effective rank, and 0 for those that came back as told, 1 for the others.
_LevelKey = tuple[int, int]


@attrs.define(eq=False)
class _Entry:
    request: WaitingRequest
    item: QueuedRequest
    standing: Standing

    @property
    def level(self) -> _LevelKey:
        return (self.standing.rank, 0 if self.request.returned else 1)


@attrs.define
class _Level:
    queue: FairQueue = attrs.field(factory=FairQueue)
    # When each request is due. Stale ones are dropped when they come to the front.
    due: list[tuple[float, int, _Entry]] = attrs.field(factory=list)


@attrs.define
class WaitingQueue:
    """
    What waits at one node for one service.

    The order is that of the effective rank (see :func:`standing`), then those whose
    callers came back as told, then fair between accounts. Within an account, those
    that can still meet their objective go first: by loss per work in coarse steps, then
    by the latest start; late ones follow, by when their callers give up.

    A late request never goes before one of a more urgent rank, except in turns that
    have a reserved share of the work. Bound: while K pairs of account and rank, of
    equal weights, are passed over and their largest request is M of work, the oldest of
    each starts before 2 K M / ``RESERVED_SHARE`` of work was taken. Requests are
    passed over from ``PROMOTION_SHARE`` of their callers' patience on, at rank 0 only
    if late. A promoted request that isn't late is equal to new ones of the rank that it
    has reached.

    Push, remove and take cost O(log n); each request moves 11 times at most. The clock
    never goes back from call to call. Not thread-safe.
    """

    _entries: dict[WaitingRequest, _Entry] = attrs.field(factory=dict)
    _by_item: dict[QueuedRequest, _Entry] = attrs.field(factory=dict)
    _levels: dict[_LevelKey, _Level] = attrs.field(factory=dict)
    _passed_over: PassedOver = attrs.field(factory=PassedOver)
    # When the standing of each request changes; with stale entries.
    _changes: list[tuple[float, int, _Entry]] = attrs.field(factory=list)
    # Where each running request is counted; None for those that had a reserved turn.
    _running: dict[WaitingRequest, tuple[FairQueue, QueuedRequest] | None] = (
        attrs.field(factory=dict)
    )
    _sequence: Iterator[int] = attrs.field(factory=itertools.count)

    @property
    def running(self) -> int:
        """Number of requests that were taken and haven't ended."""
        return len(self._running)

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request: WaitingRequest) -> bool:
        return request in self._entries

    def push(self, request: WaitingRequest, now: float) -> None:
        """
        Add a request; a rank outside 0 to ``LOWEST_RANK`` is clamped.

        :raises ValueError: it waits already.
        """
        if request in self._entries:
            raise ValueError(f"request {request.request_id} waits already")
        self._advance(now)
        item = QueuedRequest(
            request.account,
            request.account_weight,
            request.work_ms,
            request.latest_start_s,
        )
        entry = _Entry(request, item, standing(request, now))
        self._entries[request] = self._by_item[item] = entry
        self._file(entry)

    def remove(self, request: WaitingRequest) -> bool:
        """Remove a request; return whether it was waiting."""
        entry = self._drop(request)
        if entry is None:
            return False
        self._levels[entry.level].queue.remove(entry.item)
        self._passed_over.remove(request)
        return True

    def take(self, request: WaitingRequest, now: float) -> None:
        """
        Record that a request got a backend server; it needn't be the first in order.

        :raises KeyError: it doesn't wait.
        """
        self._advance(now)
        entry = self._drop(request)
        if entry is None:
            raise KeyError(request.request_id)
        queue = self._levels[entry.level].queue
        if self._passed_over.take(request):
            queue.remove(entry.item)
            self._running[request] = None
        else:
            queue.take(entry.item)
            self._running[request] = (queue, entry.item)

    def complete(self, request: WaitingRequest) -> None:
        """
        Record that a request that was taken ended.

        :raises KeyError: it doesn't run.
        """
        counted = self._running.pop(request)
        if counted is None:
            self._passed_over.complete(request)
        else:
            queue, item = counted
            queue.complete(item, item.cost)

    def in_order(self, now: float) -> Iterator[WaitingRequest]:
        """
        Yield the waiting requests, who goes first at the front.

        Lazy: the first k cost O(k log n). The queue must not change while it is read.
        """
        self._advance(now)
        return self._in_order()

    def ahead_of(self, request: WaitingRequest, now: float) -> WorkAhead:
        """
        Return what goes before a request.

        :param request: the request, which needn't wait yet.
        :param now: monotonic time, in seconds.
        """
        if request not in self._entries:
            self.push(request, now)
            try:
                return self.ahead_of(request, now)
            finally:
                self.remove(request)
        count, work_ms = 0, 0.0
        for other in self.in_order(now):
            if other is request:
                break
            count += 1
            work_ms += other.work_ms
        return WorkAhead(count, work_ms)

    def backlog(self, now: float) -> tuple[RankBacklog, ...]:
        """Return what waits at each effective rank, the most urgent first."""
        self._advance(now)
        keys = sorted(key for key, level in self._levels.items() if len(level.queue))
        return tuple(
            self._rank_backlog(rank, [self._levels[key] for key in group])
            for rank, group in itertools.groupby(keys, key=lambda key: key[0])
        )

    def _rank_backlog(self, rank: int, levels: list[_Level]) -> RankBacklog:
        return RankBacklog(
            rank,
            sum(len(level.queue) for level in levels),
            sum(level.queue.queued_tokens for level in levels),
            min(self._oldest_due_s(level) for level in levels),
        )

    def _oldest_due_s(self, level: _Level) -> float:
        while not self._is_due_at(level, level.due[0][2]):
            heapq.heappop(level.due)
        return level.due[0][0]

    def _is_due_at(self, level: _Level, entry: _Entry) -> bool:
        return self._waits(entry) and self._levels.get(entry.level) is level

    def _waits(self, entry: _Entry) -> bool:
        return self._entries.get(entry.request) is entry

    def _in_order(self) -> Iterator[WaitingRequest]:
        done_items: set[QueuedRequest] = set()
        turns = self._passed_over.in_order(done_items)
        owed_ms = self._passed_over.owed_ms
        remaining_turns = len(self._passed_over) > 0
        by_rank = self._in_strict_order(done_items)
        while True:
            request = None
            if owed_ms <= 0 and remaining_turns:
                request = next(turns, None)
                remaining_turns = request is not None
            if request is not None:
                owed_ms = owed_after(request.work_ms)
            else:
                request = next(by_rank, None)
                if request is None:
                    return
                owed_ms = max(0.0, owed_ms - request.work_ms)
            done_items.add(self._entries[request].item)
            if (item := self._passed_over.item(request)) is not None:
                done_items.add(item)
            yield request

    def _in_strict_order(self, done: set[QueuedRequest]) -> Iterator[WaitingRequest]:
        for key in sorted(self._levels):
            for item in self._levels[key].queue.in_order(done):
                yield self._by_item[item].request

    def _drop(self, request: WaitingRequest) -> _Entry | None:
        entry = self._entries.pop(request, None)
        if entry is not None:
            del self._by_item[entry.item]
        return entry

    def _file(self, entry: _Entry) -> None:
        level = self._levels.setdefault(entry.level, _Level())
        level.queue.push(entry.item, entry.standing.order)
        due = (entry.request.due_s, next(self._sequence), entry)
        heapq.heappush(level.due, due)
        if len(level.due) > STALE_SLACK + 2 * len(level.queue):
            level.due = [d for d in level.due if self._is_due_at(level, d[2])]
            heapq.heapify(level.due)
        self._schedule(entry)

    def _schedule(self, entry: _Entry) -> None:
        if entry.standing.is_passed_over and entry.request not in self._passed_over:
            self._passed_over.push(entry.request)
        change = (entry.standing.changes_s, next(self._sequence), entry)
        heapq.heappush(self._changes, change)
        if len(self._changes) > STALE_SLACK + 2 * len(self._entries):
            self._changes = [c for c in self._changes if self._is_change(c)]
            heapq.heapify(self._changes)

    def _is_change(self, change: tuple[float, int, _Entry]) -> bool:
        entry = change[2]
        return self._waits(entry) and entry.standing.changes_s == change[0]

    def _advance(self, now: float) -> None:
        while self._changes and self._changes[0][0] <= now:
            change = heapq.heappop(self._changes)
            if self._is_change(change):
                self._move(change[2], now)

    def _move(self, entry: _Entry, now: float) -> None:
        level = entry.level
        entry.standing = standing(entry.request, now)
        if entry.level == level:
            self._levels[level].queue.reorder(entry.item, entry.standing.order)
            self._schedule(entry)
        else:
            self._levels[level].queue.remove(entry.item)
            self._file(entry)

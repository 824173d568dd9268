"""
Which waiting requests are refused at once, because others fill the time that they have.

Load pattern: a burst puts more work ahead of a request than its caller will wait for.
It is refused within the call in which it arrives, while the caller has time for
something else; or cheaper requests ahead of it are, though they wait already.
"""

import enum
import heapq
import itertools
import math
from collections.abc import Iterable

import attrs

from tanagerkeel.queueing._waiting_request import WaitingRequest

__all__ = [
    "Rejection",
    "RejectionReason",
    "choose_rejections",
    "expected_wait_s",
    "is_feasible",
    "wait_margin",
]

# An estimate of a single request's work may be wrong by this factor either way.
ESTIMATE_ERROR = 3.0
# A request that was let in is refused only this much later than one that arrives, so
# that a rate that fluctuates doesn't revoke what it granted just before.
KEEP_MARGIN = 1.5
# A request that arrived less than this ago is new.
NEW_S = 0.05
# Who is displaced after it was let in must be worth this much less than who gains.
DISPLACEMENT_GAIN = 1.25
# To refuse a caller that came back as told breaks what it was told.
RETURNED_WORTH = 2.0
# Keeps the worth per millisecond finite.
MIN_WORK_MS = 0.001
# Bounds the displaced for one request, and so the work of a pass.
MAX_DISPLACED = 16


class RejectionReason(enum.Enum):
    """Why a request is refused."""

    WORK_AHEAD = "work_ahead"
    NO_TIME_LEFT = "no_time_left"
    DISPLACED = "displaced"


@attrs.frozen
class Rejection:
    """
    A request that is to be refused.

    :param request: the request.
    :param reason: why.
    :param expected_start_s: monotonic time at which it would have begun, in seconds.
    """

    request: WaitingRequest
    reason: RejectionReason
    expected_start_s: float


def expected_wait_s(work_ahead: float, work_per_s: float) -> float:
    """Return the time until the work ahead is done, in seconds; 0 when unknown."""
    return work_ahead / work_per_s if work_per_s > 0.0 else 0.0


def is_feasible(
    end_s: float, latest_s: float, arrived_s: float = 0.0, margin: float = 1.0
) -> bool:
    """
    Return whether an expected time is early enough, given how uncertain it is.

    The margin applies to the time since the arrival. While the rate holds, neither the
    expected time nor the limit then moves, and waiting alone changes no decision.

    :param end_s: expected time; all times are monotonic, in seconds.
    :param latest_s: latest time that is of use.
    :param arrived_s: when the request arrived; without effect if the margin is 1.
    :param margin: factor by which the time may be overestimated, at least 1.
    """
    return end_s <= _limit_s(latest_s, arrived_s, margin)


def wait_margin(estimates: float) -> float:
    """
    Return the factor by which a sum of estimates may be too high.

    An error that all estimates share is in the measured rate too and cancels out;
    independent errors average out. One request may take a third of its estimate, but
    100 together hardly take less than 1 / 1.2 of theirs.

    :param estimates: their effective number: the square of their sum, divided by the
        sum of their squares.
    """
    return 1.0 + (ESTIMATE_ERROR - 1.0) / math.sqrt(max(1.0, estimates))


def choose_rejections(
    queue_order: Iterable[WaitingRequest], work_ms_per_s: float, now: float
) -> tuple[Rejection, ...]:
    """
    Return the waiting requests to refuse now.

    One pass over the queue, in O(n log n) time. Nothing is refused while the rate is
    unknown. A request whose objective can't be met, but whose caller still waits, keeps
    its place as late, unless its refusal saves something worth more from being late.

    :param queue_order: what waits, in the order in which it is served.
    :param work_ms_per_s: rate of the queue, in engine milliseconds a second; 0 while it
        is unknown.
    :param now: monotonic time, in seconds.
    """
    if work_ms_per_s <= 0.0:
        return ()
    decision = _Pass(work_ms_per_s, now)
    for request in queue_order:
        decision.add(request)
    return tuple(decision.rejections)


def _limit_s(latest_s: float, arrived_s: float, margin: float) -> float:
    return latest_s + (margin - 1.0) * max(0.0, latest_s - arrived_s)


def _worth(request: WaitingRequest, is_late: bool) -> float:
    # What is lost by refusing it.
    cost = request.cost
    kept = 1.0 - cost.late_share if is_late else 1.0
    return cost.weight * kept * (RETURNED_WORTH if request.returned else 1.0)


@attrs.define(eq=False)
class _Kept:
    request: WaitingRequest
    start_s: float
    is_late: bool
    # When it must start to be on time, margin included.
    latest_start_s: float
    # Work that had been displaced when it was decided, in engine milliseconds.
    displaced_ms: float
    is_displaced: bool = False

    @property
    def worth(self) -> float:
        return _worth(self.request, self.is_late)

    @property
    def worth_per_ms(self) -> float:
        return self.worth / max(self.request.work_ms, MIN_WORK_MS)

    @property
    def priority(self) -> tuple[float, int, float]:
        # Who is displaced first: the least worth per millisecond that it frees, then
        # the least urgent, then the newest.
        return self.worth_per_ms, -self.request.rank, -self.request.arrived_s


@attrs.define
class _KeptHeap:
    _entries: list[tuple[tuple[float, int, float], int, bool, _Kept]] = attrs.field(
        factory=list
    )
    # Not in order yet: in most passes nothing has to give way.
    _added: list[tuple[bool, _Kept]] = attrs.field(factory=list)
    _sequence: "itertools.count[int]" = attrs.field(factory=itertools.count)

    def push(self, kept: _Kept) -> None:
        self._added.append((kept.is_late, kept))

    def pop(self) -> _Kept | None:
        for was_late, kept in self._added:
            entry = (kept.priority, next(self._sequence), was_late, kept)
            heapq.heappush(self._entries, entry)
        self._added.clear()
        while self._entries:
            _, _, was_late, kept = heapq.heappop(self._entries)
            if not kept.is_displaced and kept.is_late == was_late:
                return kept
        return None


@attrs.define
class _Pass:
    _work_ms_per_s: float
    _now: float
    rejections: list[Rejection] = attrs.field(factory=list)
    _ahead_ms: float = 0.0
    _ahead_ms_squared: float = 0.0
    _displaced_ms: float = 0.0
    # What is kept so far, the cheapest to refuse first.
    _kept: _KeptHeap = attrs.field(factory=_KeptHeap)
    # What of it will be late.
    _late: _KeptHeap = attrs.field(factory=_KeptHeap)

    @property
    def _start_s(self) -> float:
        return self._now + expected_wait_s(self._ahead_ms, self._work_ms_per_s)

    def add(self, request: WaitingRequest) -> None:
        work_s = request.work_ms / 1_000
        if is_feasible(self._start_s + work_s, min(request.due_s, request.give_up_s)):
            # Whatever the margin.
            self._keep(request, is_late=False)
            return
        arrived_s, margin = request.arrived_s, self._margin(request, work_s)
        last_start_s, on_time_s = (
            _limit_s(latest_s, arrived_s, margin) - work_s
            for latest_s in (request.give_up_s, request.due_s)
        )
        if not is_feasible(self._now + work_s, request.give_up_s, arrived_s, margin):
            self._reject(request, RejectionReason.NO_TIME_LEFT, self._start_s)
            return
        gain = _worth(request, is_late=on_time_s < last_start_s)
        if self._start_s > last_start_s and not self._make_room(
            self._kept, last_start_s, gain
        ):
            self._reject(request, RejectionReason.WORK_AHEAD, self._start_s)
            return
        is_late = self._start_s > on_time_s
        gain = _worth(request, is_late=False) - _worth(request, is_late=True)
        if is_late and self._make_room(self._late, on_time_s, gain):
            is_late = False
        self._keep(request, is_late, on_time_s)

    def _keep(
        self, request: WaitingRequest, is_late: bool, on_time_s: float = math.inf
    ) -> None:
        kept = _Kept(request, self._start_s, is_late, on_time_s, self._displaced_ms)
        self._kept.push(kept)
        if is_late:
            self._late.push(kept)
        self._ahead_ms += request.work_ms
        self._ahead_ms_squared += request.work_ms**2

    def _margin(self, request: WaitingRequest, work_s: float) -> float:
        # Its own work on one backend server counts like work ahead that takes as long.
        own_ms = work_s * self._work_ms_per_s
        squares = self._ahead_ms_squared + own_ms**2
        estimates = (self._ahead_ms + own_ms) ** 2 / squares if squares > 0.0 else 1.0
        margin = wait_margin(estimates)
        return margin if self._is_new(request) else margin * KEEP_MARGIN

    def _is_new(self, request: WaitingRequest) -> bool:
        return self._now - request.arrived_s < NEW_S

    def _make_room(self, heap: _KeptHeap, start_s: float, gain: float) -> bool:
        # Displaces what is worth less in total than what is gained, or nothing.
        needed_ms = (self._start_s - start_s) * self._work_ms_per_s
        if needed_ms > self._ahead_ms:
            return False
        chosen: list[_Kept] = []
        freed_ms = lost = 0.0
        while freed_ms < needed_ms and lost < gain and len(chosen) < MAX_DISPLACED:
            kept = heap.pop()
            if kept is None:
                break
            if self._is_on_time_after_all(kept):
                continue
            chosen.append(kept)
            if lost + kept.worth_per_ms * (needed_ms - freed_ms) >= gain:
                # All that follow are worth at least as much for each millisecond.
                break
            freed_ms += kept.request.work_ms
            is_new = self._is_new(kept.request)
            lost += kept.worth * (1.0 if is_new else DISPLACEMENT_GAIN)
        if freed_ms < needed_ms or lost >= gain:
            for kept in chosen:
                heap.push(kept)
            return False
        for kept in chosen:
            self._displace(kept)
        return True

    def _is_on_time_after_all(self, kept: _Kept) -> bool:
        # All that was displaced since may have been ahead of it: assumed in its favour.
        if not kept.is_late:
            return False
        gained_ms = self._displaced_ms - kept.displaced_ms
        gained_s = expected_wait_s(gained_ms, self._work_ms_per_s)
        if kept.start_s - gained_s > kept.latest_start_s:
            return False
        kept.is_late = False
        self._kept.push(kept)
        return True

    def _displace(self, kept: _Kept) -> None:
        work_ms = kept.request.work_ms
        kept.is_displaced = True
        self._ahead_ms -= work_ms
        self._ahead_ms_squared = max(0.0, self._ahead_ms_squared - work_ms**2)
        self._displaced_ms += work_ms
        self._reject(kept.request, RejectionReason.DISPLACED, kept.start_s)

    def _reject(
        self, request: WaitingRequest, reason: RejectionReason, start_s: float
    ) -> None:
        self.rejections.append(Rejection(request, reason, start_s))

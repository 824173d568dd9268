"""Bounded, fair request queues that refuse early what can't meet its deadline."""

import asyncio

import attrs

from tanagerkeel.admission._capacity import CapacitySource, Lane, UnlimitedCapacity
from tanagerkeel.admission._usage import AccountUsage, UsageTracker
from tanagerkeel.clock import Clock
from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.queueing import (
    DrainRate,
    FairQueue,
    QueuedRequest,
    bounded_s,
    expected_wait_s,
    is_feasible,
)
from tanagerkeel.requests import LengthClass

__all__ = ["Admission", "AdmissionRequest", "Ticket"]

# Interval at which free capacity is checked while requests are waiting.
ADMIT_INTERVAL_S = 0.02
# Interval at which the accounts' weight factors are refreshed.
FACTORS_INTERVAL_S = 1.0
# Fraction of the streams that long requests may use; the rest is kept for short ones.
LONG_STREAMS_SHARE = 0.5
# Bounds of the Retry-After value.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


@attrs.frozen
class AdmissionRequest:
    """
    The properties of a request on which its admission depends.

    :param lane: the queue that the request joins.
    :param account: name of the client account.
    :param weight: the account's share of capacity relative to the other accounts.
    :param cost_tokens: estimated prefill and decode work, in tokens.
    :param service_s: estimated time on a backend server, in seconds.
    :param deadline_s: monotonic time by which the request must end, in seconds.
    """

    lane: Lane
    account: str
    weight: float
    cost_tokens: float
    service_s: float
    deadline_s: float


@attrs.define
class _LaneState:
    queue: FairQueue = attrs.field(factory=FairQueue)
    # Admitted work that the fleet table does not include yet.
    undispatched_tokens: float = 0.0
    # In tokens per second.
    drain_rate: DrainRate = attrs.field(factory=lambda: DrainRate(min_starts=0))
    factors_due_s: float = 0.0


@attrs.define
class _LaneCapacity:
    lane: Lane
    state: _LaneState
    free_tokens: float


@attrs.define(eq=False)
class Ticket:
    """
    A request's place in the queue and, once admitted, its stream.

    Use it as a context manager: on exit it releases whatever the request holds.
    """

    _admission: "Admission"
    _request: AdmissionRequest
    _queued: QueuedRequest
    _admitted: "asyncio.Future[None]"
    _dispatched: bool = False
    _released: bool = False
    _served_tokens: float | None = None

    async def wait_admitted(self) -> None:
        """
        Wait until the request is admitted.

        :raises TanagerkeelError: DEADLINE_INFEASIBLE, DEADLINE_EXCEEDED or
            OVERLOADED, when the request is refused. It has not run.
        """
        await self._admitted

    def mark_dispatched(self) -> None:
        """Record that the fleet table includes the request's work from now on."""
        self._admission._record_dispatch(self)

    def record_served(self, tokens: float) -> None:
        """Record the work that the request actually took, in tokens."""
        self._served_tokens = tokens

    def __enter__(self) -> "Ticket":
        return self

    def __exit__(self, *_: object) -> None:
        self._admission._release(self)


@attrs.define
class Admission:
    """
    Decides which requests run, and in which order.

    Not thread-safe; use it from the event loop only.

    :param clock: source of time.
    :param max_queue: maximum number of waiting requests, over all lanes.
    :param max_streams: maximum number of running requests, over all lanes.
    :param capacity: reports how much work the engines can accept.
    """

    _clock: Clock
    _max_queue: int
    _max_streams: int
    _capacity: CapacitySource = attrs.field(factory=UnlimitedCapacity)
    _lanes: dict[Lane, _LaneState] = attrs.field(factory=dict)
    # Tickets of waiting requests, by id() of the queued request.
    _tickets: dict[int, Ticket] = attrs.field(factory=dict)
    _usage: UsageTracker = attrs.field(factory=UsageTracker)
    _streams: int = 0
    _long_streams: int = 0
    _admit_task: asyncio.Task | None = None

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._tickets)

    @property
    def streams(self) -> int:
        """Number of running requests."""
        return self._streams

    def set_capacity_source(self, capacity: CapacitySource) -> None:
        """Set what reports how much work the engines can accept."""
        self._capacity = capacity

    def update_remote_usage(
        self, node_id: str, usages: tuple[AccountUsage, ...], now: float
    ) -> None:
        """Replace the usage of the heaviest accounts on another node."""
        self._usage.update_remote(node_id, usages, now)

    def heaviest_accounts(self, limit: int) -> tuple[AccountUsage, ...]:
        """Return the accounts with the highest usage on this node, highest first."""
        return self._usage.heaviest(limit, self._clock.monotonic())

    def expected_wait_s(self, request: AdmissionRequest) -> float:
        """Return the expected time in the queue, in seconds; 0 when unknown."""
        state = self._lanes.get(request.lane)
        if state is None or not len(state.queue):
            return 0.0
        rate = state.drain_rate.per_s(self._clock.monotonic())
        queue = state.queue
        share = queue.share_of(request.account, request.weight)
        own_tokens = queue.backlog_tokens(request.account) + request.cost_tokens
        return min(
            expected_wait_s(queue.queued_tokens, rate),
            expected_wait_s(own_tokens, rate * share),
        )

    def enqueue(self, request: AdmissionRequest) -> Ticket:
        """
        Queue a request and return its ticket.

        :raises TanagerkeelError: DEADLINE_INFEASIBLE or OVERLOADED. The request has
            not run.
        """
        now = self._clock.monotonic()
        self._check_feasible(request, now)
        state = self._lanes.setdefault(request.lane, _LaneState())
        if self.waiting >= self._max_queue:
            self._evict_for(request, state)
        item = QueuedRequest(
            request.account,
            request.weight,
            request.cost_tokens,
            request.deadline_s - request.service_s,
        )
        admitted = asyncio.get_running_loop().create_future()
        ticket = Ticket(self, request, item, admitted)
        if not len(state.queue):
            state.drain_rate.record_backlog(now)
        state.queue.push(item)
        self._tickets[id(item)] = ticket
        self.admit_waiting()
        if self._tickets and self._admit_task is None:
            self._admit_task = asyncio.create_task(self._admit_until_empty())
        return ticket

    def admit_waiting(self) -> None:
        """Admit requests while there is capacity; refuse those that are overdue."""
        now = self._clock.monotonic()
        open_lanes = []
        for lane, state in self._lanes.items():
            self._refuse_overdue(state, now)
            if len(state.queue):
                self._refresh_factors(state, now)
                free = (
                    self._capacity.available_tokens(lane, now)
                    - state.undispatched_tokens
                )
                open_lanes.append(_LaneCapacity(lane, state, free))
        # Round robin: lanes share the free streams, one request at a time.
        while open_lanes:
            open_lanes = [c for c in open_lanes if self._admit_one(c, now)]

    def _check_feasible(self, request: AdmissionRequest, now: float) -> None:
        wait_s = self.expected_wait_s(request)
        if is_feasible(now + wait_s + request.service_s, request.deadline_s):
            return
        remaining_s = request.deadline_s - now
        raise TanagerkeelError(
            ResultCode.DEADLINE_INFEASIBLE,
            f"about {wait_s + request.service_s:.1f} s are needed, "
            f"{max(0.0, remaining_s):.1f} s are left",
            Ran.NO,
            _retry_after_s(wait_s),
        )

    def _evict_for(self, request: AdmissionRequest, state: _LaneState) -> None:
        # Evicts from the account with the largest backlog relative to its weight. If
        # that is the new request's own account, the new request is refused instead.
        own_tokens = state.queue.backlog_tokens(request.account) + request.cost_tokens
        victim = self._eviction_candidate()
        error = _overloaded(self.expected_wait_s(request))
        if victim is None:
            raise error
        lane = self._lanes[victim._request.lane]
        victim_tokens = lane.queue.backlog_tokens(victim._request.account)
        if victim_tokens / victim._request.weight <= own_tokens / request.weight:
            raise error
        self._refuse(victim, error)

    def _eviction_candidate(self) -> Ticket | None:
        newest = (state.queue.eviction_candidate() for state in self._lanes.values())
        tickets = (self._tickets[id(item)] for item in newest if item is not None)
        return max(tickets, key=self._relative_backlog, default=None)

    def _relative_backlog(self, ticket: Ticket) -> float:
        request = ticket._request
        queue = self._lanes[request.lane].queue
        return queue.backlog_tokens(request.account) / request.weight

    def _refuse_overdue(self, state: _LaneState, now: float) -> None:
        for item in state.queue.overdue(now):
            ticket = self._tickets[id(item)]
            is_expired = now >= ticket._request.deadline_s
            code = ResultCode.DEADLINE_INFEASIBLE
            if is_expired:
                code = ResultCode.DEADLINE_EXCEEDED
            wait_s = self.expected_wait_s(ticket._request)
            error = TanagerkeelError(
                code, "while it waited for its turn", Ran.NO, _retry_after_s(wait_s)
            )
            self._refuse(ticket, error)

    def _refuse(self, ticket: Ticket, error: TanagerkeelError) -> None:
        item = ticket._queued
        del self._tickets[id(item)]
        self._lanes[ticket._request.lane].queue.remove(item)
        ticket._released = True
        if not ticket._admitted.done():
            ticket._admitted.set_exception(error)

    def _refresh_factors(self, state: _LaneState, now: float) -> None:
        if now >= state.factors_due_s:
            state.queue.set_factors(self._usage.factors(state.queue.active, now))
            state.factors_due_s = now + FACTORS_INTERVAL_S

    def _admit_one(self, capacity: _LaneCapacity, now: float) -> bool:
        if capacity.free_tokens <= 0 or not self._has_free_stream(capacity.lane):
            return False
        item = capacity.state.queue.pop()
        if item is None:
            return False
        capacity.free_tokens -= item.cost_tokens
        self._admit(capacity.lane, capacity.state, item, now)
        return True

    def _has_free_stream(self, lane: Lane) -> bool:
        if self._streams >= self._max_streams:
            return False
        if lane.length_class is LengthClass.SHORT:
            return True
        return self._long_streams < max(1, self._max_streams * LONG_STREAMS_SHARE)

    def _admit(
        self, lane: Lane, state: _LaneState, item: QueuedRequest, now: float
    ) -> None:
        ticket = self._tickets.pop(id(item))
        state.undispatched_tokens += item.cost_tokens
        state.drain_rate.record_started(item.cost_tokens, now, len(state.queue))
        self._usage.record_admitted(item.account, item.cost_tokens, now)
        self._streams += 1
        self._long_streams += lane.length_class is not LengthClass.SHORT
        if not ticket._admitted.done():
            ticket._admitted.set_result(None)

    def _record_dispatch(self, ticket: Ticket) -> None:
        if ticket._dispatched or ticket._released:
            return
        ticket._dispatched = True
        state = self._lanes[ticket._request.lane]
        state.undispatched_tokens -= ticket._queued.cost_tokens

    def _release(self, ticket: Ticket) -> None:
        if ticket._released:
            _retrieve_exception(ticket._admitted)
            return
        lane = ticket._request.lane
        state = self._lanes[lane]
        if self._tickets.pop(id(ticket._queued), None) is not None:
            state.queue.remove(ticket._queued)
        else:
            self._record_dispatch(ticket)
            served = ticket._served_tokens
            cost = ticket._queued.cost_tokens
            state.queue.complete(ticket._queued, cost if served is None else served)
            self._streams -= 1
            self._long_streams -= lane.length_class is not LengthClass.SHORT
        ticket._released = True
        ticket._admitted.cancel()
        self.admit_waiting()

    async def _admit_until_empty(self) -> None:
        # Load reports and other nodes also change the capacity, without a notification.
        try:
            while self._tickets:
                await self._clock.sleep(ADMIT_INTERVAL_S)
                self.admit_waiting()
        finally:
            self._admit_task = None


def _retrieve_exception(admitted: "asyncio.Future[None]") -> None:
    # Otherwise asyncio logs "exception was never retrieved" for a refused request
    # whose caller has gone.
    if admitted.done() and not admitted.cancelled():
        admitted.exception()


def _retry_after_s(wait_s: float) -> float:
    return bounded_s(wait_s, MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)


def _overloaded(wait_s: float) -> TanagerkeelError:
    return TanagerkeelError(
        ResultCode.OVERLOADED, "", Ran.NO, retry_after_s=_retry_after_s(wait_s)
    )

"""
What waits at this node for one service: whose turn it is, and who is refused.

Each waiting request has a task of its own, and one task of the line wakes them: one
after the other, in the order of the queue, and only as many as a change may serve. The
next one is woken when the one before it has tried, so that it sees what that one took.
If something has changed since then, the first one tries again before it: what has
become free is for the most urgent one.
"""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Iterator

import attrs

from tanagerkeel.events import LogEvent, log
from tanagerkeel.queueing import (
    DrainRate,
    KeptPlaces,
    Rejection,
    WaitingQueue,
    WaitingRequest,
    WorkAhead,
    YieldTimes,
    choose_rejections,
    retry_after_s,
)

__all__ = ["TurnedAway", "WaitingLine", "WaitingPlace"]

# Requests that may try in vain after a change, so that a change costs a bounded number
# of tries. The round after the next change goes on with those behind them.
MAX_VAIN_TRIES = 4
# How often the first one tries again meanwhile. Then those behind it try whatever has
# changed: where changes follow each other fast, they would never try otherwise.
MAX_REPEATS = 2
# Requests up to which each arrival, and each round of tries, decides who is refused. In
# a longer queue this takes milliseconds, and is decided at this interval, in seconds.
MAX_WEIGHED_AT_ONCE = 100
WEIGH_INTERVAL_S = 0.05
# Requests that are woken after one change at most; the next change begins anew.
MAX_WOKEN = 32
# Requests of the order that one round looks at.
MAX_SCANNED = 256
# Shortest time between two rounds of tries while all are in vain, in seconds: under
# load something changes every few milliseconds, and a try compares all servers.
MIN_ROUND_INTERVAL_S = 0.01
# Time for which a place is kept after the caller was told to return, in seconds.
KEPT_FOR_S = 1.0


@attrs.frozen
class TurnedAway:
    """
    Why a waiting request is refused, and when its caller should return.

    :param rejection: the decision.
    :param ahead: what would have been served before it.
    :param retry_after_s: time after which its caller should return, in seconds; None if
        no retry helps.
    """

    rejection: Rejection
    ahead: WorkAhead
    retry_after_s: float | None


@attrs.define(eq=False)
class WaitingPlace:
    """
    One request's place in a line.

    :param request: the request.
    :param fingerprint: by which its caller is recognized when it comes back.
    :param turned_away: set when the request is refused.
    :param yield_times: for how long it has left free places to other nodes' requests.
    :param waits: whether the request could not be placed at once.
    :param logged: whether it is in the log that the request waits.
    """

    request: WaitingRequest
    fingerprint: str
    turned_away: TurnedAway | None = None
    yield_times: YieldTimes = attrs.field(factory=YieldTimes)
    waits: bool = False
    logged: bool = False
    _has_turn: bool = False
    _turn_change: int | None = None
    _turn: asyncio.Event = attrs.field(factory=asyncio.Event)
    _tried: asyncio.Event = attrs.field(factory=asyncio.Event)
    _took: bool = False

    def has_turn(self, change_count: int) -> bool:
        """Return whether the request was woken, and its turn isn't over."""
        return self._has_turn and self._turn_change in (None, change_count)

    async def wait_turn(self) -> None:
        """Wait until the request may try again, or is turned away."""
        self._has_turn = False
        self._turn.clear()
        self._tried.set()
        await self._turn.wait()

    async def give_turn(self, change_count: int | None) -> bool:
        """
        Let the request try; return whether it took a backend server.

        :param change_count: the turn is over with the next change; None for one that
            isn't.
        """
        self._turn_change = change_count
        self._tried.clear()
        self._has_turn = True
        self._turn.set()
        await self._tried.wait()
        return self._took

    def turn_away(self, decision: TurnedAway) -> None:
        """Refuse the request."""
        self.turned_away = decision
        self._turn.set()

    def end(self, took: bool) -> None:
        """Record that the request no longer waits."""
        self._took = took
        self._tried.set()


@attrs.define
class WaitingLine:
    """
    The requests of one service that wait at this node.

    :param clock: returns the monotonic time, in seconds.
    :param wait_for_change: waits until something may have changed for a request.
    :param change_count: returns how often something has changed.
    :param kept_places: places kept for callers that were told when to return.
    :param random: spreads the times at which refused callers return.
    :param on_changed: called when a request has begun or ceased to wait.
    """

    _clock: Callable[[], float]
    _wait_for_change: Callable[[], Awaitable[None]]
    _change_count: Callable[[], int]
    _kept_places: KeptPlaces
    _random: random.Random
    _on_changed: Callable[[], None]
    queue: WaitingQueue = attrs.field(factory=WaitingQueue)
    _rate: DrainRate = attrs.field(factory=DrainRate)
    _places: dict[WaitingRequest, WaitingPlace] = attrs.field(factory=dict)
    _task: asyncio.Task | None = None
    # Requests that have tried in vain since one was taken, or since all had tried.
    _in_vain: set[WaitingRequest] = attrs.field(factory=set)
    # Whether the last round had as many tries in vain as a round may have.
    _all_in_vain: bool = False
    # When a long queue is weighed next.
    _weigh_due_s: float = 0.0
    # The count of changes when all whose turn it was had tried; None while none waits.
    _tried_change: int | None = None

    def __len__(self) -> int:
        return len(self._places)

    def work_ms_per_s(self) -> float:
        """Return the work that the line gets done a second; 0 while it is unknown."""
        return self._rate.per_s(self._clock())

    def join(self, request: WaitingRequest, fingerprint: str) -> WaitingPlace:
        """Add a request; it may try at once if nothing else waits."""
        now = self._clock()
        if not self._places:
            self._rate.record_backlog(now)
        place = WaitingPlace(request, fingerprint)
        self.queue.push(request, now)
        self._places[request] = place
        try:
            self._turn_away_if_due(now)
        except BaseException:
            self.leave(place)
            raise
        return place

    def may_try(self, place: WaitingPlace) -> bool:
        """
        Return whether it is a request's turn to try: it was woken, or goes first.

        A new one may also try if nothing has changed since those before it have tried
        in vain: it may need less than they do.
        """
        change = self._change_count()
        if place.has_turn(change) or (not place.waits and self._tried_change == change):
            return True
        return next(self.queue.in_order(self._clock()), None) is place.request

    def start_waiting(self, place: WaitingPlace) -> None:
        """Wake a request from now on that can't be placed at once."""
        if self._task is None:
            self._task = asyncio.create_task(self._wake_until_empty())
        if not place.waits:
            place.waits = True
            self._on_changed()

    def take(self, place: WaitingPlace) -> None:
        """Record that a request got a backend server."""
        now = self._clock()
        del self._places[place.request]
        self.queue.take(place.request, now)
        self._in_vain.clear()
        self._rate.record_started(place.request.work_ms, now, len(self._places))
        place.end(took=True)
        if place.waits:
            self._on_changed()

    def leave(self, place: WaitingPlace) -> None:
        """Remove a request that got none; one that isn't waiting is ignored."""
        if self._places.pop(place.request, None) is None:
            return
        self.queue.remove(place.request)
        self._in_vain.discard(place.request)
        place.end(took=False)
        if place.waits:
            self._on_changed()

    def complete(self, place: WaitingPlace) -> None:
        """Record that a request that got a backend server has ended."""
        self.queue.complete(place.request)

    async def _wake_until_empty(self) -> None:
        try:
            while self._places:
                try:
                    self._turn_away_if_due(self._clock())
                    more_may_end = await self._wake_in_order()
                except Exception as error:  # those that wait must still be woken
                    log(LogEvent.TASK_FAILED, task="line", error=repr(error))
                    await asyncio.sleep(MIN_ROUND_INTERVAL_S)
                    continue
                if more_may_end:
                    continue
                self._tried_change = self._change_count()
                await self._wait_for_change()
                if self._all_in_vain:
                    await asyncio.sleep(MIN_ROUND_INTERVAL_S)
        finally:
            self._task = None
            self._tried_change = None

    async def _wake_in_order(self) -> bool:
        """
        Let requests try, who goes first at the front.

        :returns: whether many have ended their wait, so that others may as well.
        """
        vain = ended = repeats = 0
        change, order = self._change_count(), self._first_ones()
        while vain < MAX_VAIN_TRIES and (place := next(order, None)) is not None:
            if repeats < MAX_REPEATS and self._change_count() != change:
                repeats += 1
                change, order = self._change_count(), self._first_ones()
                continue
            await place.give_turn(change if repeats < MAX_REPEATS else None)
            if place.request in self._places:
                vain += 1
                self._in_vain.add(place.request)
            else:
                ended += 1
        if vain < MAX_VAIN_TRIES:
            # All have tried: the next round begins anew.
            self._in_vain.clear()
        self._all_in_vain = vain >= MAX_VAIN_TRIES
        return ended >= MAX_WOKEN - MAX_VAIN_TRIES

    def _first_ones(self) -> Iterator[WaitingPlace]:
        """
        Yield the places of those that go first now, as far as they still wait.

        The first one always tries; behind it, those that have tried in vain since
        something was taken are left out, so that they don't block the others.
        """
        # A copy: the queue changes while requests try.
        in_order = tuple(
            itertools.islice(self.queue.in_order(self._clock()), MAX_SCANNED)
        )
        behind = (r for r in in_order[1:] if r not in self._in_vain)
        order = (*in_order[:1], *itertools.islice(behind, MAX_WOKEN))
        places = map(self._places.get, order)
        return (p for p in places if p is not None and p.turned_away is None)

    def _turn_away_if_due(self, now: float) -> None:
        if len(self._places) <= MAX_WEIGHED_AT_ONCE or now >= self._weigh_due_s:
            self._weigh_due_s = now + WEIGH_INTERVAL_S
            self._turn_away(now)

    def _turn_away(self, now: float) -> None:
        per_s = self._rate.per_s(now)
        waiting = (
            request
            for request in self.queue.in_order(now)
            if self._places[request].turned_away is None
        )
        rejections = choose_rejections(waiting, per_s, now)
        if not rejections:
            return
        refused_ms = sum(r.request.work_ms for r in rejections)
        ahead = self._work_ahead({r.request for r in rejections}, now)
        for rejection in rejections:
            place = self._places[rejection.request]
            decision = self._decide(
                place, rejection, ahead[rejection.request], refused_ms, per_s, now
            )
            place.turn_away(decision)

    def _work_ahead(
        self, requests: set[WaitingRequest], now: float
    ) -> dict[WaitingRequest, WorkAhead]:
        """Return what goes before each of the requests, in one walk over the queue."""
        ahead: dict[WaitingRequest, WorkAhead] = {}
        work_ms = 0.0
        for count, request in enumerate(self.queue.in_order(now)):
            if request in requests:
                ahead[request] = WorkAhead(count, work_ms)
            work_ms += request.work_ms
        return ahead

    def _decide(
        self,
        place: WaitingPlace,
        rejection: Rejection,
        ahead: WorkAhead,
        refused_ms: float,
        per_s: float,
        now: float,
    ) -> TurnedAway:
        request = place.request
        kept = self._kept_places.keep(
            place.fingerprint,
            request.give_up_s + KEPT_FOR_S,
            now,
            request.work_ms,
            per_s,
        )
        retry_s = retry_after_s(
            request, ahead.work_ms, refused_ms, per_s, now, self._random, kept
        )
        return TurnedAway(rejection, ahead, retry_s)

"""
Places the requests of services whose requests have ranks, in the order of the queue.

The queue decides who goes next and who is refused; this module asks it, tries to place
whose turn it is, and leaves free places to more urgent requests of other nodes.
"""

import asyncio
import random
from collections.abc import Callable

import attrs

from tanagerkeel.errors import ResultCode
from tanagerkeel.events import LogEvent, log
from tanagerkeel.queueing import (
    WaitingRequest,
    effective_rank,
    retry_after_s,
    should_yield,
)
from tanagerkeel.relay import RelayPlacement, prefill_ms
from tanagerkeel.relay_entry._admit import Refusal
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._state import RelayState
from tanagerkeel.relay_entry._waiting_line import (
    TurnedAway,
    WaitingLine,
    WaitingPlace,
)

__all__ = ["OrderedPlacement", "PlacementRules"]

# Interval at which waiting requests are woken without a change of state, in seconds.
RECHECK_INTERVAL_S = 0.05


@attrs.frozen
class PlacementRules:
    """
    What decides on a single request, whatever waits beside it.

    :param end: returns why a request gets no backend server, whichever are free.
    :param choose: returns the number of candidates and the best placement, if any.
    :param defers: whether a request waits for a better placement.
    :param unplaceable: returns why a request without a placement has no prospects.
    :param free_places: returns how many requests could be placed now.
    :param record: called with a placement that is taken.
    """

    end: Callable[[RelayRun, float], object | None]
    choose: Callable[[RelayRun, float], tuple[int, RelayPlacement | None]]
    defers: Callable[[RelayRun, RelayPlacement, float], bool]
    unplaceable: Callable[[RelayRun, int, float], Refusal | None]
    free_places: Callable[[RelayRun, float], int]
    record: Callable[[RelayRun, RelayPlacement, int, float], None]


@attrs.define
class OrderedPlacement:
    """
    The lines of waiting requests of all services that have an order.

    :param state: configuration, backend servers, peers and running work.
    :param metrics: counters and histograms.
    :param rules: what decides on a single request.
    :param on_backlog_changed: called when a request has begun or ceased to wait.
    :param random: spreads the times at which refused callers return.
    """

    _state: RelayState
    _metrics: RelayMetrics
    _rules: PlacementRules
    _on_backlog_changed: Callable[[], None]
    _random: random.Random = attrs.field(factory=random.Random)
    _lines: dict[str, WaitingLine] = attrs.field(factory=dict)
    # The place that each request took, until the request ends.
    _taken: dict[RelayRun, tuple[WaitingLine, WaitingPlace]] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._state.fleet_beliefs.own_backlog = lambda now: {
            service: line.queue.backlog(now)
            for service, line in self._lines.items()
            if len(line)
        }

    async def place(self, run: RelayRun) -> object:
        """
        Wait for the request's turn and a suitable placement; return it or a refusal.

        :raises TimeoutError: when the request's deadline has passed.
        """
        self.release(run)
        line = self._line(run)
        place = line.join(self._describe(run), run.fingerprint)
        try:
            while True:
                now = self._state.clock.monotonic()
                outcome = self._end_or_try(run, line, place, now)
                if isinstance(outcome, RelayPlacement):
                    self._taken[run] = line, place
                    line.take(place)
                if outcome is not None:
                    return outcome
                line.start_waiting(place)
                async with asyncio.timeout(run.deadline_s - now):
                    await place.wait_turn()
        finally:
            line.leave(place)

    def release(self, run: RelayRun) -> None:
        """Record that a request has ended, or needs another backend server."""
        taken = self._taken.pop(run, None)
        if taken is not None:
            line, place = taken
            line.complete(place)

    def _end_or_try(
        self, run: RelayRun, line: WaitingLine, place: WaitingPlace, now: float
    ) -> object | None:
        if now >= run.deadline_s:
            raise TimeoutError
        if place.turned_away is not None:
            return self._refusal(run, place.turned_away)
        ended = self._rules.end(run, now)
        if ended is not None:
            return ended
        if not line.may_try(place):
            return None
        candidates, placement = self._rules.choose(run, now)
        if placement is None or self._rules.defers(run, placement, now):
            place.yield_times.record_none_free(now)
            self._log_waiting(run, line, place, candidates, now)
            if placement is not None:
                return None
            refusal = self._rules.unplaceable(run, candidates, now)
            return refusal or self._refusal_if_late(place.request, now)
        if self._yields(run, place, now):
            self._log_waiting(run, line, place, candidates, now)
            return None
        self._rules.record(run, placement, candidates, now)
        return placement

    def _yields(self, run: RelayRun, place: WaitingPlace, now: float) -> bool:
        """Return whether the place is left to a more urgent request of another node."""
        service, backlogs = (
            run.admitted.service.name,
            self._state.fleet_beliefs.backlogs,
        )
        if next(backlogs.waiting(service, now), None) is None:
            return False
        times = place.yield_times
        times.record_free(now)
        return should_yield(
            place.request,
            self._rules.free_places(run, now),
            backlogs,
            service,
            times.waited_s(now),
            now,
            # Peers report ranks with promotions. Without them here, all nodes with
            # a promoted request would yield to each other.
            rank=effective_rank(place.request, now),
            free_for_s=times.free_for_s(now),
        )

    def _refusal_if_late(self, request: WaitingRequest, now: float) -> Refusal | None:
        """
        Return why a request is refused that missed its objective while it waited.

        Most of what it is worth to its caller is lost, and its wait would only end with
        the caller's patience while all backend servers stay full.
        """
        if now <= request.due_s:
            return None
        self._metrics.turned_away.labels("late").inc()
        return Refusal(
            ResultCode.OVERLOADED,
            f"late: no backend server was free for {now - request.arrived_s:.2f} s; "
            f"rank {request.rank}, account {request.account or None}",
            retry_after_s(request, 0.0, request.work_ms, 0.0, now, self._random),
        )

    def _refusal(self, run: RelayRun, decision: TurnedAway) -> Refusal:
        rejection, ahead = decision.rejection, decision.ahead
        reason = rejection.reason.value
        self._metrics.turned_away.labels(reason).inc()
        start_s = rejection.expected_start_s - self._state.clock.monotonic()
        return Refusal(
            ResultCode.OVERLOADED,
            f"{reason}: {ahead.count} requests with {ahead.work_ms:.0f} ms of work are "
            f"ahead, and it would begin in {start_s:.2f} s; rank "
            f"{rejection.request.rank}, account {rejection.request.account or None}",
            decision.retry_after_s,
        )

    def _line(self, run: RelayRun) -> WaitingLine:
        service = run.admitted.service.name
        line = self._lines.get(service)
        if line is None:
            line = self._lines[service] = WaitingLine(
                self._state.clock.monotonic,
                lambda: self._state.wait_for_change(RECHECK_INTERVAL_S),
                lambda: self._state.change_count,
                self._state.fleet_beliefs.kept_places,
                self._random,
                self._on_changed,
            )
        return line

    def _on_changed(self) -> None:
        self._metrics.waiting.clear()
        now = self._state.clock.monotonic()
        for line in self._lines.values():
            for backlog in line.queue.backlog(now):
                self._metrics.waiting.labels(backlog.rank).inc(backlog.count)
        self._on_backlog_changed()

    def _describe(self, run: RelayRun) -> WaitingRequest:
        now = self._state.clock.monotonic()
        admitted = run.admitted
        if run.returned is None:
            # Claimed once, also if the request is placed again after a failed send.
            kept_places = self._state.fleet_beliefs.kept_places
            run.returned = kept_places.claim(run.fingerprint, now)
        return WaitingRequest(
            request_id=run.request.request_id,
            account=admitted.account.name if admitted.account else "",
            rank=admitted.rank.position if admitted.rank else 0,
            cost=run.cost,
            work_ms=self._work_ms(run),
            arrived_s=run.request.arrived_s,
            due_s=run.objective_due_s,
            give_up_s=run.next_event_deadline_s,
            returned=run.returned,
        )

    def _work_ms(self, run: RelayRun) -> float:
        profile, demand = run.admitted.service.engine, run.request.demand
        if profile is None or demand is None:
            return self._state.average_call_ms(run.admitted.service.name)
        return prefill_ms(profile, demand.prompt_tokens) + profile.step_ms

    def _log_waiting(
        self,
        run: RelayRun,
        line: WaitingLine,
        place: WaitingPlace,
        candidates: int,
        now: float,
    ) -> None:
        if place.logged:
            return
        place.logged = True
        ahead = line.queue.ahead_of(place.request, now)
        service, backlogs = (
            run.admitted.service.name,
            self._state.fleet_beliefs.backlogs,
        )
        peers = {node for node, _ in backlogs.waiting(service, now)}
        ages_s = [backlogs.age_s(node, service, now) for node in peers]
        log(
            LogEvent.RELAY_WAITING,
            request=run.request.request_id,
            candidates=candidates,
            objective_left_ms=round(1_000 * (run.objective_due_s - now), 1),
            news_age_s=round(self._state.assignments.oldest_update_age_s(now), 3),
            rank=place.request.rank,
            account=place.request.account or None,
            returned=place.request.returned,
            cost=round(place.request.cost.weight, 2),
            ahead=ahead.count,
            ahead_ms=round(ahead.work_ms),
            peers_waiting=len(peers),
            backlogs_age_s=round(max(ages_s, default=0.0), 3),
        )

"""Chooses a backend server for a request, waits for one, or refuses the request."""

import itertools
from collections.abc import Callable, Iterator, Sequence

import attrs

from tanagerkeel.errors import ResultCode
from tanagerkeel.events import LogEvent, log
from tanagerkeel.relay import (
    Assignment,
    BackendRecord,
    Candidate,
    Demand,
    EngineProfile,
    RelayPlacement,
    choose_placement,
    free_places,
    should_defer,
)
from tanagerkeel.relay_entry._admit import CAPACITY_RETRY_S, OTHER_NODE_RETRY_S, Refusal
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._ordered_placement import (
    RECHECK_INTERVAL_S,
    OrderedPlacement,
    PlacementRules,
)
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["OutOfReach", "RelayPlacer"]


@attrs.frozen
class OutOfReach:
    """
    This node can begin no request to a service.

    :param refusal: how the request is refused if no peer takes it either.
    """

    refusal: Refusal


@attrs.define
class RelayPlacer:
    """
    Chooses backend servers for requests.

    :param state: configuration, backend servers, peers and running work.
    :param metrics: counters and histograms.
    :param on_backlog_changed: called when a request whose service has an order has
        begun or ceased to wait.
    """

    _state: RelayState
    _metrics: RelayMetrics
    _on_backlog_changed: Callable[[], None]
    # Requests that wait although no backend server may be sent one now, by service, in
    # the order of their arrival.
    _queues: dict[str, dict[str, None]] = attrs.field(factory=dict)
    _ordered: OrderedPlacement = attrs.field()

    @_ordered.default
    def _make_ordered(self) -> OrderedPlacement:
        rules = PlacementRules(
            self._refusal_without_placement,
            self._choose,
            self._should_wait,
            self._refusal_if_unplaceable,
            self._free_places,
            self._record_placed,
        )
        return OrderedPlacement(
            self._state, self._metrics, rules, self._on_backlog_changed
        )

    def release(self, run: RelayRun) -> None:
        """Record that a request has ended."""
        self._ordered.release(run)

    def _is_ordered(self, run: RelayRun) -> bool:
        """Return whether the request waits in the order of its service."""
        if run.events:
            # An answer that has begun goes on before any other request.
            return False
        every_service = self._state.settings.queueing.every_service
        return run.admitted.rank is not None or every_service

    async def place(self, run: RelayRun) -> RelayPlacement | Refusal | OutOfReach:
        """
        Wait for a suitable placement and return it, or why there is none.

        :raises TimeoutError: when the request's deadline has passed.
        """
        ordered = self._is_ordered(run)
        if ordered or self._many_senders():
            self._state.fleet_beliefs.enabled = True
        self._state.fleet_beliefs.shares_slow = (
            self._state.settings.placement.shares_slow
        )
        if ordered:
            return await self._ordered.place(run)
        queue = self._queues.setdefault(run.admitted.service.name, {})
        try:
            return await self._place(run, queue)
        finally:
            queue.pop(run.request.request_id, None)

    async def _place(
        self, run: RelayRun, queue: dict[str, None]
    ) -> RelayPlacement | Refusal | OutOfReach:
        waited = False
        while True:
            now = self._state.clock.monotonic()
            if now >= run.deadline_s:
                raise TimeoutError
            ended = self._refusal_without_placement(run, now)
            if ended is not None:
                return ended
            candidates, placement = self._choose(run, now)
            if placement is not None and not self._should_wait(run, placement, now):
                self._record_placed(run, placement, candidates, now)
                return placement
            if placement is None:
                refusal = self._refusal_if_hopeless(run, candidates, now)
                if refusal is not None:
                    return refusal
                if not candidates:
                    queue.setdefault(run.request.request_id)
            if not waited:
                waited = True
                self._log_waiting(run, placement, candidates, now)
            await self._state.wait_for_change(
                min(RECHECK_INTERVAL_S, run.deadline_s - now)
            )

    def _refusal_without_placement(
        self, run: RelayRun, now: float
    ) -> Refusal | OutOfReach | None:
        """Return why the request gets no backend server, whichever are free."""
        if now >= self._state.refuse_waiting_s:
            return Refusal(ResultCode.STOPPING, "the node stops", OTHER_NODE_RETRY_S)
        service = run.admitted.service.name
        if self._state.out_of_reach(service, now):
            reason = f"no backend server of {service} is reachable from this node"
            return OutOfReach(
                Refusal(ResultCode.NO_BACKEND, reason, OTHER_NODE_RETRY_S)
            )
        section = self._state.section_quarantine.quarantined_section(
            run.shared_sections, now
        )
        if section is None:
            return None
        self._state.section_quarantine.record_refusal(section, now)
        return Refusal(ResultCode.HELD_BACK, f"prompt section {section} is quarantined")

    def _log_waiting(
        self,
        run: RelayRun,
        placement: RelayPlacement | None,
        candidates: int,
        now: float,
    ) -> None:
        # Without a placement, no engine could begin before the caller's time-out.
        best_fields = {}
        if placement is not None:
            best_fields = {
                "backend": placement.candidate.server.backend_id,
                "running": len(placement.candidate.assignments),
                "first_ms": round(placement.estimate.first_ms, 1),
            }
        log(
            LogEvent.RELAY_WAITING,
            request=run.request.request_id,
            candidates=candidates,
            objective_left_ms=round(1_000 * (run.objective_due_s - now), 1),
            news_age_s=round(self._state.assignments.oldest_update_age_s(now), 3),
            **best_fields,
        )

    def best_placement(self, run: RelayRun) -> RelayPlacement | None:
        """Return the best placement now, without a wait or a log line."""
        _, placement = self._choose(run, self._state.clock.monotonic())
        return placement

    def settles(self, run: RelayRun, placement: RelayPlacement) -> bool:
        """
        Return whether a placement is to be announced and checked before the send.

        Long prompts that arrive within some milliseconds don't know each other, and
        two of them on one engine delay each other by seconds.
        """
        return (
            placement.long_prompt
            and bool(self._state.peers.others)
            and not run.settled
            and not run.events
            and self._many_senders()
        )

    def _many_senders(self) -> bool:
        """Return whether this node learns of most sends of others late."""
        placement = self._state.settings.placement
        return placement.many_senders_from is not None and placement.many_senders(
            len(self._state.peers.others) + 1
        )

    def _demand(self, run: RelayRun, now: float) -> Demand:
        average_call_ms = self._state.average_call_ms(run.admitted.service.name)
        return run.demand(now, average_call_ms, self._many_senders())

    def _choose(self, run: RelayRun, now: float) -> tuple[int, RelayPlacement | None]:
        candidates = list(self._candidates(run, now))
        demand = self._demand(run, now)
        return len(candidates), choose_placement(
            candidates, demand, now, run.request.request_id
        )

    def _free_places(self, run: RelayRun, now: float) -> int:
        """Return how many requests the candidates have room for."""
        return sum(map(free_places, self._candidates(run, now)))

    def _should_wait(
        self, run: RelayRun, placement: RelayPlacement, now: float
    ) -> bool:
        """Return whether the request waits at this node for a better placement."""
        if run.events:
            return False
        demand = run.demand(now, 0.0)
        return should_defer(placement, demand, late=now > run.objective_due_s)

    def _refusal_if_hopeless(
        self, run: RelayRun, candidates: int, now: float
    ) -> Refusal | None:
        """Return why a request without a placement is refused, if it is."""
        refusal = self._refusal_if_unplaceable(run, candidates, now)
        if refusal is not None or not candidates:
            return refusal
        if now > run.objective_due_s and not run.reply.started:
            service = run.admitted.service.name
            reason = f"all {candidates} backend servers of {service} are at capacity"
            return Refusal(ResultCode.OVERLOADED, reason, CAPACITY_RETRY_S)
        return None

    def _refusal_if_unplaceable(
        self, run: RelayRun, candidates: int, now: float
    ) -> Refusal | None:
        """Return why no backend server could begin the request in time, if so."""
        service = run.admitted.service.name
        if not candidates and not run.reply.started:
            return_s = self._next_return_s(run, now)
            if return_s is not None and return_s < run.next_event_deadline_s:
                return None
            if return_s is not None:
                for_s = return_s - now
                reason = (
                    f"each usable backend server of {service} asked to be sent less; "
                    f"the next request may be sent in {for_s:.2f} s"
                )
                return Refusal(ResultCode.OVERLOADED, reason, for_s)
            reason = f"no usable backend server of {service}"
            return Refusal(ResultCode.NO_BACKEND, reason, CAPACITY_RETRY_S)
        if not run.reply.started and not self._feasible_when_idle(run, now):
            reason = f"none of {candidates} backend servers would begin in time if idle"
            return Refusal(ResultCode.OVERLOADED, reason, CAPACITY_RETRY_S)
        return None

    def _feasible_when_idle(self, run: RelayRun, now: float) -> bool:
        """
        Return whether a backend server that ran nothing would begin in time.

        One that the request may be sent to later, but not now, may do so.
        """
        idle = [attrs.evolve(c, assignments=()) for c in self._candidates(run, now)]
        usable = self._state.backends.usable(run.admitted.service.name, now)
        untried = sum(record.server.backend_id not in run.tried for record in usable)
        if untried > len(idle):
            return True
        return choose_placement(idle, self._demand(run, now), now) is not None

    def _usable(self, run: RelayRun, now: float) -> Iterator[BackendRecord]:
        """Yield what the request may be sent to, held-off backend servers included."""
        return (
            record
            for record in self._state.backends.usable(run.admitted.service.name, now)
            if record.server.backend_id not in run.tried
            and not run.is_avoided(record.server.backend_id, now)
            and self._state.quarantine.allows(run.fingerprint, record.server.backend_id)
            and self._cold_limit_allows(run, record, now)
        )

    def _next_return_s(self, run: RelayRun, now: float) -> float | None:
        """
        Return when the request may be sent; None if no server takes one later.

        Backend servers that limit their rate first take the requests that wait.
        """
        usable = list(self._usable(run, now))
        ends_s = (self._state.next_send_s(record.server, now) for record in usable)
        end_s = min((end_s for end_s in ends_s if end_s > now), default=None)
        per_s = [
            self._state.rate_limits.used_per_s(r.server.incarnation) for r in usable
        ]
        if end_s is None or None in per_s:
            return end_s
        queue = self._queues.get(run.admitted.service.name, {})
        waiting = itertools.takewhile(lambda i: i != run.request.request_id, queue)
        return end_s + sum(1 for _ in waiting) / sum(per_s)

    def _candidates(self, run: RelayRun, now: float) -> Iterator[Candidate]:
        assignments = self._state.assignments.by_backend(now)
        usable = [
            record
            for record in self._usable(run, now)
            if self._state.next_send_s(record.server, now) <= now
        ]
        available = [r for r in usable if r.backoff_until_s <= now]
        if not available:
            # All of them are in back-off: use the one whose back-off ends first.
            usable.sort(key=lambda r: r.backoff_until_s)
            available = [r for r in usable if r.backoff_until_s < float("inf")][:1]
        # A failure domain that may be cut off gets work only if no other failure domain
        # has a usable backend server.
        reachable = [
            record
            for record in available
            if not self._state.backends.domain_suspected(
                record.server.failure_domain, now
            )
        ]
        engine = run.admitted.service.engine
        reported = engine is not None and self._many_senders()
        return (
            self._candidate(
                record,
                engine,
                assignments.get(record.server.backend_id, ()),
                reported,
                now,
            )
            for record in reachable or available
        )

    def _candidate(
        self,
        record: BackendRecord,
        engine: EngineProfile | None,
        assignments: Sequence[Assignment],
        reported: bool,
        now: float,
    ) -> Candidate:
        """
        Return a backend server as a candidate.

        :param assignments: what this node knows to be assigned to it.
        :param reported: whether reports of other failure domains' load count.
        """
        beliefs = self._state.fleet_beliefs
        server = record.server
        domain = server.failure_domain
        same_domain = domain == self._state.settings.failure_domain
        load_age_s = None
        if reported and not same_domain:
            loads = beliefs.domain_loads
            load_age_s = loads.age_s(domain, now)
            assignments = loads.complete(
                domain, server.backend_id, assignments, engine, now
            )
        return Candidate(
            server=server,
            profile=engine,
            assignments=assignments,
            same_domain=same_domain,
            cold=record.is_cold(now),
            failure_rate=record.failure_rate(now),
            latency_ratio=max(1.0, beliefs.latency_ratio(record, now)),
            limited=self._state.rate_limits.limit(server.incarnation) is not None,
            load_age_s=load_age_s,
        )

    def _cold_limit_allows(
        self, run: RelayRun, record: BackendRecord, now: float
    ) -> bool:
        """Return whether a backend server is warm, or this node may use it cold."""
        per_s = run.admitted.service.cold_per_s
        if not per_s or not record.is_cold(now):
            return True
        nodes = self._state.peers.possible_senders(now)
        return self._state.cold_limiter.allows(
            record.server.backend_id, per_s, nodes, now
        )

    def _record_placed(
        self, run: RelayRun, placement: RelayPlacement, candidates: int, now: float
    ) -> None:
        if run.placed_s is None:
            run.placed_s = now
            waited_s = now - run.request.arrived_s
            self._metrics.wait.labels(run.admitted.route.name).observe(waited_s)
        model_demand = run.request.demand
        record = self._state.backends.get(placement.candidate.server.backend_id)
        missing_s = record.missing_since_s
        log(
            LogEvent.RELAY_PLACED,
            request=run.request.request_id,
            route=run.admitted.route.name,
            version=run.admitted.version,
            account=run.admitted.account.name if run.admitted.account else None,
            rank=run.admitted.rank.position if run.admitted.rank else None,
            prompt_tokens=model_demand.prompt_tokens if model_demand else None,
            backend=placement.candidate.server.backend_id,
            # What this node believes of the backend server, and since when.
            born=record.server.started_ms,
            entry_revision=record.revision,
            entry_era=record.era_index,
            entry_age_s=round(now - record.updated_s, 3),
            entry_missing_s=None if missing_s is None else round(now - missing_s, 3),
            helpers=[h.server.backend_id for h in placement.helpers],
            candidates=candidates,
            running=len(placement.candidate.assignments),
            first_ms=round(placement.estimate.first_ms, 1),
            loss=round(placement.estimate.loss, 3),
            waited_ms=round(1_000 * (now - run.request.arrived_s), 1),
            left_ms=round(1_000 * (run.deadline_s - now)),
            confirmed_age_s=round(self._state.confirmed_age_s, 2),
            news_age_s=round(self._state.assignments.oldest_update_age_s(now), 3),
            sends=run.sends,
        )

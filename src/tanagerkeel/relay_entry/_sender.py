"""Sends placed requests: reserves engine memory, records assignments, migrates."""

import asyncio
import math
from collections.abc import Callable, Container, Sequence

import attrs

from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.exchange import ConnectionPool
from tanagerkeel.relay import (
    Assignment,
    BackendServer,
    RelayPlacement,
    SendFailure,
    expected_pause_ms,
    should_migrate,
)
from tanagerkeel.relay_entry._attempt import RelayAttempt
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._outcome_recorder import OutcomeRecorder
from tanagerkeel.relay_entry._outcomes import (
    AttemptOutcome,
    NoMemory,
    NotRunReply,
    NotSent,
    ReplyLost,
    StalePlacement,
    Withheld,
)
from tanagerkeel.relay_entry._peer_update_task import PeerUpdateTask
from tanagerkeel.relay_entry._protocols import BackendCodec, Helper
from tanagerkeel.relay_entry._reservations import Reservation, Reservations
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["Sender"]

# How long the quarantines still count a request as running after its connection broke,
# in seconds, so that a crash that is detected only then is attributed to it.
LATE_CRASH_WINDOW_S = 2.0
# Time between the announcement of a placement and its send, in seconds: within it the
# peers of the failure domain, which read datagrams up to every 30 ms, have it.
SETTLE_S = 0.04


@attrs.define
class Sender:
    """
    Sends placed requests to their backend servers.

    :param state: configuration, backend servers, peers and running work.
    :param pool: connections to backend servers.
    :param codec: encodes requests to backend servers and decodes their responses.
    :param peer_updates: reports this node's running work to its peers.
    :param metrics: counters and histograms.
    :param best_placement: returns the current best placement of a request, if any.
    """

    _state: RelayState
    _pool: ConnectionPool
    _codec: BackendCodec
    _peer_updates: PeerUpdateTask
    _metrics: RelayMetrics
    _best_placement: Callable[[RelayRun], RelayPlacement | None]
    _attempts: set[RelayAttempt] = attrs.field(factory=set)
    _outcome_recorder: OutcomeRecorder = attrs.field()
    _reservations: Reservations = attrs.field()

    @_outcome_recorder.default
    def _make_outcome_recorder(self) -> OutcomeRecorder:
        return OutcomeRecorder(
            self._state, self._pool, self._peer_updates, self._metrics
        )

    @_reservations.default
    def _make_reservations(self) -> Reservations:
        hold_ms = self._state.settings.bounds.longest_hold_ms
        return Reservations(
            self._pool,
            self._codec,
            self._state.record_head,
            self._state.backends.is_usable,
            self._state.clock.monotonic,
            hold_ms,
        )

    def __attrs_post_init__(self) -> None:
        self._state.on_domain_cut_off = self._on_domain_cut_off
        self._state.on_long_prefill = self._migrate_streams_from

    def _on_domain_cut_off(self, domain: str) -> None:
        for attempt in tuple(self._attempts):
            attempt.on_domain_cut_off(domain)

    def _migrate_streams_from(self, backend_ids: Container[str]) -> None:
        """Migrate streams from engines that are about to prefill a long prompt."""
        migratable = [
            attempt
            for attempt in self._attempts
            if attempt.can_migrate and attempt.server.backend_id in backend_ids
        ]
        if not migratable:
            return
        now = self._state.clock.monotonic()
        assignments = self._state.assignments.by_backend(now)
        for attempt in migratable:
            self._migrate_if_better(
                attempt, assignments.get(attempt.server.backend_id, ()), now
            )

    def _migrate_if_better(
        self, attempt: RelayAttempt, assignments: Sequence[Assignment], now: float
    ) -> None:
        run, backend_id = attempt.run, attempt.server.backend_id
        profile = run.admitted.service.engine
        gap_ms = run.admitted.route.gap_objective_ms
        if (
            profile is None
            or not gap_ms
            or run.last_event_s is None
            or run.sends_left <= 0
        ):
            return
        record = self._state.backends.get(backend_id)
        ratio = self._state.fleet_beliefs.latency_ratio(record, now) if record else 1.0
        pause_ms = expected_pause_ms(profile, assignments, now, max(1.0, ratio))
        since_event_ms = 1_000 * (now - run.last_event_s)
        run.avoid(backend_id, now)
        other = self._best_placement(run)
        if other is None or not should_migrate(
            pause_ms, gap_ms, since_event_ms, other.estimate
        ):
            return
        log(
            LogEvent.RELAY_MOVED,
            request=run.request.request_id,
            backend=backend_id,
            pause_ms=round(pause_ms, 1),
            to=other.candidate.server.backend_id,
            first_ms=round(other.estimate.first_ms, 1),
            events=run.events,
        )
        attempt.migrate()

    def acquire_retry(self, run: RelayRun) -> bool:
        """Count a retry if the route and the shared retry budget allow one."""
        if run.sends_left <= 0:
            return False
        if not self._state.acquire_retry(run.admitted.service.name):
            return False
        self._metrics.repeats.inc()
        self._peer_updates.notify_all_peers()
        return True

    async def has_crashed(self, server: BackendServer) -> bool:
        """Return whether the backend server of a connection that broke has crashed."""
        return await self._outcome_recorder.has_crashed(server)

    async def settle(
        self, run: RelayRun, placement: RelayPlacement
    ) -> RelayPlacement | None:
        """
        Announce a placement to the peers, and return the best one a moment later.

        By then the announcements of peers that chose at the same moment are known.

        :returns: None if no placement is possible any more.
        """
        run.settled = True
        now = self._state.clock.monotonic()
        assignments = self._expected_assignments(run, placement, now)
        for assignment in assignments:
            self._state.assignments.add(assignment)
        self._peer_updates.notify_work_started(
            placement.affects_other_domains, placement.long_prompt
        )
        try:
            await self._state.clock.sleep(SETTLE_S)
        except asyncio.CancelledError:
            # The caller has left: otherwise peers would count the work for seconds.
            self._peer_updates.notify_work_progressed(placement.affects_other_domains)
            raise
        finally:
            for assignment in assignments:
                self._state.assignments.discard(assignment)
        settled = self._best_placement(run)
        if settled is None:
            self._peer_updates.notify_work_progressed(placement.affects_other_domains)
            return None
        if settled.candidate.server != placement.candidate.server:
            log(
                LogEvent.RELAY_PLACEMENT_CHANGED,
                request=run.request.request_id,
                backend=placement.candidate.server.backend_id,
                to=settled.candidate.server.backend_id,
                first_ms=round(settled.estimate.first_ms, 1),
            )
        return settled

    async def send(self, run: RelayRun, placement: RelayPlacement) -> AttemptOutcome:
        """Send a request to its placement and return how the attempt ended."""
        assignments = self._expected_assignments(
            run, placement, self._state.clock.monotonic()
        )
        for assignment in assignments:
            self._state.assignments.add(assignment)
        limited = [self._state.record_send(p.server) for p in placement.participants]
        if any(limited):
            self._peer_updates.notify_all_peers()
        if placement.long_prompt:
            self._migrate_streams_from(
                {assignment.backend_id for assignment in assignments}
            )
        self._peer_updates.notify_work_started(
            placement.affects_other_domains, placement.long_prompt
        )
        try:
            if placement.needs_reservations:
                return await self._send_with_memory(run, placement, assignments)
            helpers = tuple(Helper(h.server.address) for h in placement.helpers)
            return await self._send(run, placement, assignments, helpers)
        finally:
            for assignment in assignments:
                self._state.assignments.discard(assignment)
            self._peer_updates.notify_work_progressed(placement.affects_other_domains)
            self._state.notify_changed()

    async def _send_with_memory(
        self,
        run: RelayRun,
        placement: RelayPlacement,
        assignments: tuple[Assignment, ...],
    ) -> AttemptOutcome:
        request_id = run.request.request_id
        part_tokens = math.ceil(
            run.request.demand.prompt_tokens / len(placement.participants)
        )
        reservations = (
            Reservation(h.server, f"{request_id}.{run.sends}.{index}", part_tokens)
            for index, h in enumerate(placement.helpers)
        )
        held = await self._reservations.reserve_all(reservations, request_id)
        if isinstance(held, Reservation):
            run.avoid(held.server.backend_id, self._state.clock.monotonic())
            return NoMemory(held.server.backend_id)
        renewal = asyncio.create_task(self._reservations.renew_until_cancelled(held))
        try:
            helpers = tuple(Helper(r.server.address, r.reservation_id) for r in held)
            return await self._send(run, placement, assignments, helpers)
        finally:
            renewal.cancel()
            self._reservations.release(held)

    async def _send(
        self,
        run: RelayRun,
        placement: RelayPlacement,
        assignments: tuple[Assignment, ...],
        helpers: tuple[Helper, ...],
    ) -> AttemptOutcome:
        server = placement.candidate.server
        started_s = self._state.clock.monotonic()
        if placement.candidate.cold:
            self._state.cold_limiter.record_send(server.backend_id, started_s)
        send_id = f"{run.request.request_id}/{run.sends}"
        if run.events:
            log(
                LogEvent.RELAY_RESUMED,
                request=run.request.request_id,
                backend=server.backend_id,
                after=run.last_event_id,
            )
        attempt = RelayAttempt(
            run,
            placement,
            self._state,
            self._pool,
            self._codec,
            helpers,
            lambda: run.repeatable and self.acquire_retry(run),
            # Only a request that left this node can have crashed the backend server.
            lambda: self._record_sent(run, server, send_id),
            lambda: self._record_first_output(
                run, placement, assignments, started_s, send_id
            ),
        )
        may_have_run_before = run.may_have_run
        run.sends += 1
        run.may_have_run = True
        ended_delay_s = 0.0
        self._attempts.add(attempt)
        try:
            outcome = await attempt.execute()
            match outcome:
                case NotSent() | StalePlacement() | Withheld():
                    run.sends -= 1
                    run.may_have_run = may_have_run_before
                case NotRunReply():
                    run.may_have_run = may_have_run_before
                    if outcome.misdirected:
                        # The backend server that was chosen never got the request.
                        run.sends -= 1
                case ReplyLost():
                    ended_delay_s = LATE_CRASH_WINDOW_S
                    if outcome.failure is not SendFailure.BROKEN:
                        self._state.unstarted.discard(send_id)
            self._outcome_recorder.record(run, placement, outcome)
            return outcome
        finally:
            self._attempts.discard(attempt)
            asyncio.get_running_loop().call_later(
                ended_delay_s, self._record_ended, server, send_id
            )

    def _record_sent(self, run: RelayRun, server: BackendServer, send_id: str) -> None:
        sent_s = self._state.clock.monotonic()
        self._state.quarantine.record_start(
            server.backend_id,
            send_id,
            run.fingerprint,
            str(server.started_ms),
            sent_s,
        )
        if not run.events:
            self._state.unstarted.add(
                server.incarnation, send_id, run.shared_sections, sent_s
            )

    def _record_ended(self, server: BackendServer, send_id: str) -> None:
        self._state.quarantine.record_end(server.backend_id, send_id)
        self._state.unstarted.discard(send_id)

    def _expected_assignments(
        self, run: RelayRun, placement: RelayPlacement, now: float
    ) -> tuple[Assignment, ...]:
        """Return the assignments to all backend servers of a placement."""
        demand = run.demand(now, 0.0)
        estimate = placement.estimate
        participants = placement.participants
        parts = len(participants)
        first_s = now + estimate.first_ms / 1_000
        end_s = now + estimate.end_ms / 1_000
        return tuple(
            Assignment(
                backend_id=participant.server.backend_id,
                prompt_tokens=demand.prompt_tokens // parts,
                answer_tokens=demand.answer_tokens if index == 0 else 0,
                gap_objective_ms=demand.gap_objective_ms if index == 0 else 0.0,
                sent_s=now,
                first_s=first_s,
                end_s=end_s,
                full_prompt_tokens=demand.prompt_tokens,
                due_s=now + demand.objective_ms / 1_000,
                cost=demand.cost,
            )
            for index, participant in enumerate(participants)
        )

    def _record_first_output(
        self,
        run: RelayRun,
        placement: RelayPlacement,
        assignments: tuple[Assignment, ...],
        started_s: float,
        send_id: str,
    ) -> None:
        now = self._state.clock.monotonic()
        self._state.unstarted.discard(send_id)
        self._state.section_quarantine.record_start(run.shared_sections, now)
        took_ms = 1_000 * (now - started_s)
        estimate = placement.estimate
        for index, assignment in enumerate(assignments):
            assignment.first_event_seen = True
            assignment.first_s = now
            assignment.end_s = now + (estimate.end_ms - estimate.first_ms) / 1_000
            if index > 0 and not placement.needs_reservations:
                # A helper that keeps no part of the prompt in memory is done now.
                self._state.assignments.discard(assignment)
        if run.streams:
            latency_ratio = took_ms / max(
                1.0, estimate.first_ms / placement.candidate.latency_ratio
            )
        else:
            average_call_ms = self._state.average_call_ms(run.admitted.service.name)
            latency_ratio = took_ms / average_call_ms
            self._state.record_call_time(run.admitted.service.name, took_ms)
        server = placement.candidate.server
        self._state.backends.record_success(server, now, latency_ratio)
        self._state.fleet_beliefs.record_ratio(server.incarnation, latency_ratio, now)
        self._metrics.first.labels(run.admitted.route.name).observe(
            now - run.request.arrived_s
        )
        if placement.affects_other_domains:
            self._peer_updates.notify_work_progressed(True)

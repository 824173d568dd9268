"""Records what the outcome of an attempt shows about the backend server."""

import asyncio

import attrs

from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.exchange import ConnectError, ConnectionPool
from tanagerkeel.relay import (
    BackendRecord,
    BackendServer,
    RelayPlacement,
    SendFailure,
)
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._outcomes import (
    AttemptOutcome,
    Delivered,
    ErrorReply,
    Migrated,
    NotRunReply,
    NotSent,
    ReplyLost,
    StalePlacement,
    Withheld,
)
from tanagerkeel.relay_entry._peer_update_task import PeerUpdateTask
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["OutcomeRecorder"]

# Connections across a network partition are refused just as those to a crashed process
# are. A refused connection counts as a crash only if another backend server, and the
# failure domain, prove reachable within this time, in seconds; ``ReachabilityTask`` has
# probed more of the domain's backend servers by then.
CRASH_CONFIRMATION_S = 0.4
# How long a request that was not answered waits to learn whether its backend server has
# crashed, in seconds; a refused connection takes milliseconds.
CRASH_CHECK_S = 0.1
# Limit of the prompt sections of a request in a log line.
MAX_LOGGED_SECTIONS = 8


@attrs.define
class OutcomeRecorder:
    """
    Updates state, quarantine and metrics from the outcomes of attempts.

    :param state: health of the backend servers, and the quarantine.
    :param pool: connections by which crashes are confirmed.
    :param peer_updates: reports crashes and address changes to the peers.
    :param metrics: counters and histograms.
    """

    _state: RelayState
    _pool: ConnectionPool
    _peer_updates: PeerUpdateTask
    _metrics: RelayMetrics
    _tasks: set[asyncio.Task] = attrs.field(factory=set)
    # Running checks whether a backend server has crashed, by its incarnation.
    _probes: dict[tuple[str, int], asyncio.Task] = attrs.field(factory=dict)

    def record(
        self, run: RelayRun, placement: RelayPlacement, outcome: AttemptOutcome
    ) -> None:
        """Record how an attempt of a request ended."""
        server = placement.candidate.server
        match outcome:
            case Delivered():
                now = self._state.clock.monotonic()
                self._state.quarantine.clear_suspect(run.fingerprint)
                self._state.backends.record_success(server, now)
            case Migrated():
                run.tried.add(server.backend_id)
            case StalePlacement():
                log(
                    LogEvent.PLACEMENT_STALE,
                    request=run.request.request_id,
                    backend=outcome.backend_id,
                    placed_on=server.backend_id,
                )
            case Withheld():
                pass
            case _:
                self._record_failed(run, placement, outcome)

    def _record_failed(
        self, run: RelayRun, placement: RelayPlacement, outcome: AttemptOutcome
    ) -> None:
        server = placement.candidate.server
        held_off = False
        match outcome:
            case NotSent():
                failure = SendFailure.UNREACHABLE
                if outcome.connection_refused:
                    self._record_connection_refused(server)
                    self._peer_updates.notify_all_peers()
            case NotRunReply(misdirected=True):
                failure = SendFailure.MISDIRECTED
                self._peer_updates.notify_all_peers()
            case NotRunReply():
                failure = SendFailure.SHED
                server = self._blamed_server(placement, outcome)
                # A helper that is blamed has asked for nothing; it counts as failed.
                held_off = outcome.held_off and server is placement.candidate.server
            case ErrorReply():
                failure = SendFailure.ERROR
                held_off = outcome.held_off
            case ReplyLost():
                failure = outcome.failure
                if failure is SendFailure.BROKEN:
                    self._start_probe(server)
        if failure is not SendFailure.SHED or not held_off:
            # One that rejected the request may run it after its hold-off.
            run.tried.add(server.backend_id)
        reason = getattr(outcome, "reason", failure.value)
        self._metrics.mishaps.labels(failure.name.lower()).inc()
        if not held_off:
            self._state.record_failure(server, failure, run.request.request_id)
        log(
            LogEvent.RELAY_ATTEMPT_FAILED,
            request=run.request.request_id,
            backend=server.backend_id,
            mishap=failure.name.lower(),
            reason=reason,
            events=run.events,
            sends=run.sends,
            sections=list(run.shared_sections[:MAX_LOGGED_SECTIONS]),
        )

    def _blamed_server(
        self, placement: RelayPlacement, outcome: NotRunReply
    ) -> BackendServer:
        """Return the backend server that a refusal names, which may be a helper."""
        participants = (r.server for r in placement.participants)
        blamed = (s for s in participants if s.address == outcome.blamed_address)
        return next(blamed, placement.candidate.server)

    async def has_crashed(self, server: BackendServer) -> bool:
        """
        Return whether the backend server of a connection that broke has crashed.

        Without a result within ``CRASH_CHECK_S`` it counts as running.
        """
        probe = self._probes.get(server.incarnation)
        if probe is not None:
            await asyncio.wait((probe,), timeout=CRASH_CHECK_S)
        now = self._state.clock.monotonic()
        return (
            probe is not None
            and probe.done()
            and probe.result()
            and not self._state.backends.domain_suspected(server.failure_domain, now)
        )

    def _start_probe(self, server: BackendServer) -> None:
        """Connect once more, to distinguish a crash from a connection reset."""
        if server.incarnation in self._probes:
            return
        task = asyncio.create_task(self._probe(server))
        self._probes[server.incarnation] = task
        task.add_done_callback(lambda _: self._probes.pop(server.incarnation))

    async def _probe(self, server: BackendServer) -> bool:
        """Return whether the connection was refused."""
        try:
            connection = await self._pool.acquire(server.address, 0.0)
        except ConnectError as error:
            if error.connection_refused:
                self._record_connection_refused(server)
            self._state.record_failure(server, SendFailure.UNREACHABLE, "")
            return error.connection_refused
        self._pool.release(connection)
        return False

    def _record_connection_refused(self, server: BackendServer) -> None:
        self._state.backends.record_gone(server, self._state.clock.monotonic())
        task = asyncio.create_task(self._confirm_crash(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _confirm_crash(self, server: BackendServer) -> None:
        """Record a crash once this node is found to reach other backend servers."""
        refused_s = self._state.clock.monotonic()
        until_s = refused_s + CRASH_CONFIRMATION_S
        others = [
            record
            for record in self._state.backends
            if record.server.backend_id != server.backend_id
        ]
        if others:
            await self._probe_one(others, server.failure_domain)
        while (now := self._state.clock.monotonic()) < until_s:
            reached = not others or any(r.last_data_s >= refused_s for r in others)
            domain_suspected = self._state.backends.domain_suspected(
                server.failure_domain, now
            )
            if reached and not domain_suspected:
                self._state.record_crash(server)
                return
            await self._state.wait_for_change(until_s - now)

    async def _probe_one(self, records: list[BackendRecord], domain: str) -> None:
        """Connect to one backend server, of a failure domain if possible."""
        server = max(
            records, key=lambda r: (r.server.failure_domain == domain, r.last_data_s)
        ).server
        try:
            connection = await self._pool.acquire(server.address, 0.0)
        except ConnectError:
            self._state.record_failure(server, SendFailure.UNREACHABLE, "")
            return
        self._pool.release(connection)
        self._state.record_connection(server)

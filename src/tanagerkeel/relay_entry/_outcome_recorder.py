"""Records what the outcome of an attempt says of the backend server."""

import asyncio

import attrs

from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.exchange import ConnectionPool, NoConnection
from tanagerkeel.relay import BackendServer, Mishap, Placement
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._news_task import NewsTask
from tanagerkeel.relay_entry._outcomes import (
    Delivered,
    ErrorReply,
    Moved,
    NotRun,
    NotSent,
    Outcome,
    ReplyLost,
)
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["OutcomeRecorder"]

# A network cut refuses connections just as a crashed process does. When other backend
# servers of the failure domain were lost too, a refused connection counts as a crash
# only if the domain proves reachable within this time, in seconds; ``ReachTask`` has
# tried more of its backend servers by then.
CRASH_CONFIRMATION_S = 0.4


@attrs.define
class OutcomeRecorder:
    """
    Updates state, quarantine and metrics from the outcomes of attempts.

    :param state: health of the backend servers, and the quarantine.
    :param pool: connections by which crashes are confirmed.
    :param news: reports crashes and address changes to the peers.
    :param metrics: counters and histograms.
    """

    _state: RelayState
    _pool: ConnectionPool
    _news: NewsTask
    _metrics: RelayMetrics
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def record(self, run: RelayRun, placement: Placement, outcome: Outcome) -> None:
        """Record how an attempt of a request ended."""
        server = placement.candidate.server
        now = self._state.clock.monotonic()
        match outcome:
            case Delivered():
                self._state.quarantine.clear_suspect(run.fingerprint)
                self._state.backends.succeeded(server, now)
                return
            case Moved():
                run.tried.add(server.backend_id)
                return
            case NotSent():
                mishap = Mishap.UNREACHABLE
                if outcome.connection_refused:
                    self._record_refused(server)
                    self._news.urgent()
            case NotRun(misdirected=True):
                mishap = Mishap.MISDIRECTED
                self._news.urgent()
            case NotRun():
                mishap = Mishap.SHED
                server = self._server_at_fault(placement, outcome)
            case ErrorReply():
                mishap = Mishap.ERROR
            case ReplyLost():
                mishap = outcome.mishap
                if mishap is Mishap.BROKEN:
                    self._start_probe(server)
        run.tried.add(server.backend_id)
        reason = getattr(outcome, "reason", mishap.value)
        self._metrics.mishaps.labels(mishap.name.lower()).inc()
        self._state.failed(server, mishap, run.request.request_id)
        log(
            LogEvent.RELAY_ATTEMPT_FAILED,
            request=run.request.request_id,
            backend=server.backend_id,
            mishap=mishap.name.lower(),
            reason=reason,
            events=run.events,
            sends=run.sends,
        )

    def _server_at_fault(self, placement: Placement, outcome: NotRun) -> BackendServer:
        """Return the backend server that a refusal names, which may be a helper."""
        readers = (r.server for r in placement.readers)
        blamed = (s for s in readers if s.address == outcome.at_fault)
        return next(blamed, placement.candidate.server)

    def _start_probe(self, server: BackendServer) -> None:
        """Connect once more, to tell a crash from a mere connection reset."""
        task = asyncio.create_task(self._probe(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, server: BackendServer) -> None:
        try:
            connection = await self._pool.take(server.address, 0.0)
        except NoConnection as error:
            if error.refused:
                self._record_refused(server)
            self._state.failed(server, Mishap.UNREACHABLE, "")
        else:
            self._pool.give_back(connection)

    def _record_refused(self, server: BackendServer) -> None:
        now = self._state.clock.monotonic()
        self._state.backends.refused(server, now)
        if not self._state.backends.domain_losses(server.failure_domain, now):
            self._record_crash(server)
            return
        task = asyncio.create_task(self._confirm_crash(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _confirm_crash(self, server: BackendServer) -> None:
        until_s = self._state.clock.monotonic() + CRASH_CONFIRMATION_S
        # ``ReachTask`` starts to probe the domain in the next turn of the event loop.
        await asyncio.sleep(0)
        while (now := self._state.clock.monotonic()) < until_s:
            if not self._state.backends.domain_suspected(server.failure_domain, now):
                self._record_crash(server)
                return
            await self._state.wait_changed(until_s - now)

    def _record_crash(self, server: BackendServer) -> None:
        now = self._state.clock.monotonic()
        quarantine = self._state.quarantine
        for fingerprint in quarantine.record_death(
            server.backend_id, now, str(server.born_ms)
        ):
            log(
                LogEvent.REQUEST_QUARANTINED,
                fingerprint=fingerprint,
                backend=server.backend_id,
            )

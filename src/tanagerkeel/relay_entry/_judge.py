"""What the end of a send tells of the backend server that had the request."""

import asyncio

import attrs

from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.exchange import ConnectionPool, NoConnection
from tanagerkeel.relay import BackendServer, Mishap, Placement
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._news_task import NewsTask
from tanagerkeel.relay_entry._outcomes import (
    Answered,
    Delivered,
    Lost,
    Moved,
    NotRun,
    NotSent,
    Outcome,
)
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["Judge"]

# A connection over a cut is refused as one to a crashed process is. When others of
# the failure domain were lost as well, a death counts only if any of them is heard
# within this time, in seconds: the looking task has tried some more by then.
CONFIRM_S = 0.4


@attrs.define
class Judge:
    """
    Takes in how sends ended.

    :param state: the node's beliefs.
    :param pool: connections to backend servers.
    :param news: tells the peers.
    :param metrics: counters and histograms.
    """

    _state: RelayState
    _pool: ConnectionPool
    _news: NewsTask
    _metrics: RelayMetrics
    _probes: set[asyncio.Task] = attrs.field(factory=set)

    def judge(self, run: RelayRun, placement: Placement, outcome: Outcome) -> None:
        """Take in how a send of a request ended."""
        server = placement.candidate.server
        now = self._state.clock.monotonic()
        match outcome:
            case Delivered():
                self._state.quarantine.cleared(run.fingerprint)
                self._state.backends.succeeded(server, now)
                return
            case Moved():
                run.tried.add(server.backend_id)
                return
            case NotSent():
                mishap = Mishap.UNREACHABLE
                if outcome.crashed:
                    self._refused(server)
                    self._news.urgent()
            case NotRun(misdirected=True):
                mishap = Mishap.MISDIRECTED
                self._news.urgent()
            case NotRun():
                mishap = Mishap.SHED
                server = self._at_fault(placement, outcome)
            case Answered():
                mishap = Mishap.ERROR
            case Lost():
                mishap = outcome.mishap
                if mishap is Mishap.BROKEN:
                    self._look_whether_alive(server)
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

    def _at_fault(self, placement: Placement, outcome: NotRun) -> BackendServer:
        """Return the backend server that a refusal blames, which may be a helper."""
        readers = (r.server for r in placement.readers)
        blamed = (s for s in readers if s.address == outcome.at_fault)
        return next(blamed, placement.candidate.server)

    def _look_whether_alive(self, server: BackendServer) -> None:
        """Tell a crash from a reset connection by connecting once more."""
        task = asyncio.create_task(self._connect_once(server))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _connect_once(self, server: BackendServer) -> None:
        try:
            connection = await self._pool.take(server.address, 0.0)
        except NoConnection as error:
            if error.refused:
                self._refused(server)
            self._state.failed(server, Mishap.UNREACHABLE, "")
        else:
            self._pool.give_back(connection)

    def _refused(self, server: BackendServer) -> None:
        now = self._state.clock.monotonic()
        self._state.backends.refused(server, now)
        if not self._state.backends.domain_losses(server.failure_domain, now):
            self._died(server)
            return
        task = asyncio.create_task(self._confirm_death(server))
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _confirm_death(self, server: BackendServer) -> None:
        until_s = self._state.clock.monotonic() + CONFIRM_S
        # The looking task starts from the next turn of the loop on.
        await asyncio.sleep(0)
        while (now := self._state.clock.monotonic()) < until_s:
            if not self._state.backends.domain_suspected(server.failure_domain, now):
                self._died(server)
                return
            await self._state.wait_changed(until_s - now)

    def _died(self, server: BackendServer) -> None:
        now = self._state.clock.monotonic()
        quarantine = self._state.quarantine
        for fingerprint in quarantine.died(server.backend_id, now, str(server.born_ms)):
            log(
                LogEvent.REQUEST_QUARANTINED,
                fingerprint=fingerprint,
                backend=server.backend_id,
            )

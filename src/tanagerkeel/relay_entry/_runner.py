"""The way of a request: admit, place, send, and send again where that is allowed."""

import asyncio

import attrs

from tanagerkeel.errors import Ran, ResultCode
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.exchange import ConnectionPool
from tanagerkeel.relay import CallerRequest, Mishap, Placement
from tanagerkeel.relay_entry._admit import RETRY_AFTER_S, Refusal, admit
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._news_task import NewsTask
from tanagerkeel.relay_entry._outcomes import (
    Answered,
    Delivered,
    Lost,
    Moved,
    NoMemory,
    NotRun,
    NotSent,
    Outcome,
)
from tanagerkeel.relay_entry._placer import Placer
from tanagerkeel.relay_entry._protocols import BackendCodec, CallerReply
from tanagerkeel.relay_entry._refusals import send_refusal
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._sender import Sender
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["RelayRunner"]

# Connections that come up fail at once when a process has died: so many backend
# servers may be tried without having sent anything.
MAX_UNSENT = 8
# A node that has just started has the configuration within this time, in seconds: a
# listing takes one call, which is answered in milliseconds.
FIRST_CONFIGURATION_S = 0.25
# A node answers with these when a backend server may have run the request.
UNSURE_STATUSES = (502, 504)
# Each of these promises that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@attrs.define
class RelayRunner:
    """
    Carries requests from callers to backend servers.

    :param state: the node's beliefs.
    :param pool: connections to backend servers.
    :param codec: speaks to backend servers.
    :param news: tells the peers.
    :param metrics: counters and histograms.
    """

    _state: RelayState
    _pool: ConnectionPool
    _codec: BackendCodec
    _news: NewsTask
    _metrics: RelayMetrics
    _open: int = 0
    _placer: Placer = attrs.field()
    _sender: Sender = attrs.field()

    @_placer.default
    def _make_placer(self) -> Placer:
        return Placer(self._state, self._metrics)

    @_sender.default
    def _make_sender(self) -> Sender:
        return Sender(
            self._state,
            self._pool,
            self._codec,
            self._news,
            self._metrics,
            self._placer.best,
        )

    @property
    def open_requests(self) -> int:
        """Requests that have no final answer yet."""
        return self._open

    async def serve(
        self, request: CallerRequest, body: bytes, reply: CallerReply
    ) -> None:
        """
        Answer one request.

        :param request: the request, without its body.
        :param body: its whole body.
        :param reply: where the answer goes.
        """
        self._open += 1
        try:
            await self._serve(request, body, reply)
        except asyncio.CancelledError:
            self._metrics.results.labels("caller_gone").inc()
            log(LogEvent.CALLER_GONE, request=request.request_id)
            raise
        finally:
            self._open -= 1

    async def _serve(
        self, request: CallerRequest, body: bytes, reply: CallerReply
    ) -> None:
        await self._until_configured()
        terms = admit(request, self._state)
        if isinstance(terms, Refusal):
            await self._refuse(request, reply, terms)
            return
        timeout_ms = terms.route.timeout_ms
        if request.deadline_ms is not None:
            timeout_ms = min(timeout_ms, request.deadline_ms)
        deadline_s = request.arrived_s + timeout_ms / 1_000
        run = RelayRun(request, body, reply, terms, deadline_s)
        now = self._state.clock.monotonic()
        held_s = self._state.quarantine.remaining_s(run.fingerprint, now)
        if held_s > 0:
            reason = f"backend servers died of it, held back for {held_s:.0f} s"
            refusal = Refusal(ResultCode.HELD_BACK, reason)
            await self._refuse(request, reply, refusal)
            return
        self._state.retry_share(terms.service.name).count_request(now)
        try:
            await self._until_answered(run)
        except TimeoutError:
            await self._give_up(run, run.timeout_code(), "its time is over")

    async def _until_configured(self) -> None:
        """Wait for the first configuration: the caller may have no other try left."""
        until_s = self._state.clock.monotonic() + FIRST_CONFIGURATION_S
        while self._state.configuration is None:
            left_s = until_s - self._state.clock.monotonic()
            if left_s <= 0:
                return
            await self._state.wait_changed(left_s)

    async def _until_answered(self, run: RelayRun) -> None:
        unsent = 0
        while True:
            placement = await self._placer.place(run)
            if isinstance(placement, Refusal):
                await self._give_up(run, placement.code, placement.reason, placement)
                return
            outcome = await self._sender.send(run, placement)
            match outcome:
                case Delivered():
                    self._finished(run, placement, outcome)
                    return
                case NotSent():
                    unsent += 1
                    if unsent > MAX_UNSENT:
                        await self._give_up(run, ResultCode.NO_BACKEND, outcome.reason)
                        return
                case NoMemory() | Moved():
                    # Placed again, without the engine that refused or was left.
                    continue
                case NotRun() | Answered() | Lost():
                    if isinstance(outcome, Answered):
                        run.failure = outcome
                    if not self._again(run, outcome):
                        await self._final(run, outcome)
                        return

    def _again(self, run: RelayRun, outcome: Outcome) -> bool:
        """Return whether the request is sent once more, and count it if so."""
        match outcome:
            case Lost(mishap=Mishap.SILENT):
                # Counted when the attempt was given up.
                return True
            case Lost() | Answered():
                allowed = run.repeatable
            case _:
                allowed = True
        return allowed and self._sender.take_repeat(run)

    async def _final(self, run: RelayRun, outcome: Outcome) -> None:
        match outcome:
            case NotRun():
                code = ResultCode.BACKEND_REFUSED
                await self._give_up(run, code, outcome.reason)
            case Lost():
                await self._give_up(run, ResultCode.BACKEND_FAILED, outcome.reason)
            case _:
                await self._give_up(run, ResultCode.STREAM_BROKEN, "can't go on")

    async def _pass_failure(self, run: RelayRun, failure: Answered) -> None:
        await run.reply.start(failure.head.status, failure.head.headers)
        await run.reply.write(failure.body)
        await run.reply.finish()
        self._metrics.results.labels("backend_error").inc()
        log(
            LogEvent.RELAY_FAILED,
            request=run.request.request_id,
            reason=f"a backend server answered {failure.head.status}",
            sends=run.sends,
        )

    def _finished(
        self, run: RelayRun, placement: Placement, outcome: Delivered
    ) -> None:
        now = self._state.clock.monotonic()
        took_s = now - run.request.arrived_s
        first_s = (run.first_s or now) - run.request.arrived_s
        self._metrics.whole.labels(run.terms.route.name).observe(took_s)
        self._metrics.results.labels("delivered").inc()
        log(
            LogEvent.RELAY_FINISHED,
            request=run.request.request_id,
            backend=placement.candidate.server.backend_id,
            status=outcome.status,
            events=run.events,
            sends=run.sends,
            first_ms=round(1_000 * first_s, 1),
            objective_ms=run.terms.route.objective_ms,
            gap_ms=round(1_000 * run.longest_gap_s, 1),
            gap_objective_ms=run.terms.route.gap_objective_ms,
            took_ms=round(1_000 * took_s, 1),
        )

    async def _give_up(
        self,
        run: RelayRun,
        code: ResultCode,
        reason: str,
        refusal: Refusal | None = None,
    ) -> None:
        if run.failure is not None and not run.reply.started:
            # It says more than an answer of the node's own would.
            await self._pass_failure(run, run.failure)
            return
        if run.reply.started:
            run.reply.break_off()
            self._metrics.results.labels("broken_off").inc()
            log(
                LogEvent.RELAY_FAILED,
                request=run.request.request_id,
                reason=reason,
                events=run.events,
                sends=run.sends,
            )
            return
        if run.unsure and code.status in NOT_RUN_STATUSES:
            # Those promise that it hasn't run, which isn't known here.
            code = ResultCode.BACKEND_FAILED
        retry_after_s = refusal.retry_after_s if refusal else RETRY_AFTER_S
        if code.status != 503:
            retry_after_s = None
        await self._refuse(
            run.request, run.reply, Refusal(code, reason, retry_after_s), run.sends
        )

    async def _refuse(
        self,
        request: CallerRequest,
        reply: CallerReply,
        refusal: Refusal,
        sends: int = 0,
    ) -> None:
        self._metrics.results.labels(refusal.code.name.lower()).inc()
        held_ms = 1_000 * (self._state.clock.monotonic() - request.arrived_s)
        log(
            LogEvent.RELAY_REFUSED,
            request=request.request_id,
            code=refusal.code.code,
            reason=refusal.reason,
            retry_after_s=refusal.retry_after_s,
            held_ms=round(held_ms, 1),
            sends=sends,
        )
        ran = Ran.UNKNOWN if refusal.code.status in UNSURE_STATUSES else Ran.NO
        await send_refusal(reply, refusal, request.request_id, ran)

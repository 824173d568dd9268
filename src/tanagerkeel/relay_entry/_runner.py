"""Serves requests: admission, placement, attempts, and retries where allowed."""

import asyncio

import attrs

from tanagerkeel.errors import Ran, ResultCode
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.exchange import ConnectionPool
from tanagerkeel.relay import (
    NOT_RUN_STATUSES,
    CallerRequest,
    RelayPlacement,
    SendFailure,
)
from tanagerkeel.relay_entry._admit import (
    CAPACITY_RETRY_S,
    Admitted,
    Refusal,
    admit,
)
from tanagerkeel.relay_entry._forward_messages import ForwardedRequest
from tanagerkeel.relay_entry._forwarder import Forwarder
from tanagerkeel.relay_entry._metrics import RelayMetrics
from tanagerkeel.relay_entry._outcomes import (
    AttemptOutcome,
    Delivered,
    ErrorReply,
    Migrated,
    NoMemory,
    NotRunReply,
    NotSent,
    RefusedByPeer,
    ReplyLost,
    StalePlacement,
    Withheld,
)
from tanagerkeel.relay_entry._peer_update_task import PeerUpdateTask
from tanagerkeel.relay_entry._placer import OutOfReach, RelayPlacer
from tanagerkeel.relay_entry._protocols import BackendCodec, CallerReply
from tanagerkeel.relay_entry._refusals import send_refusal
from tanagerkeel.relay_entry._run import RelayRun
from tanagerkeel.relay_entry._sender import Sender
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["RelayRunner"]

# Maximum number of connection failures of one request; it is refused after one more. A
# connection to a crashed process fails at once, and nothing was sent, so that these
# don't count as attempts.
MAX_CONNECT_FAILURES = 8
# After this many connection failures in a row, a request is forwarded to a peer. One
# backend server may have crashed.
FORWARD_AFTER_FAILURES = 2
# How long requests wait for the first configuration after a node's start, in seconds.
# The configuration comes with one list call, which is answered in milliseconds.
FIRST_CONFIGURATION_WAIT_S = 0.25
# How long a request that the configuration doesn't allow waits for a confirmation that
# there is no newer one, in seconds. The store answers in milliseconds.
CONFIRMATION_WAIT_S = 0.25
# HTTP statuses by which the node says that a backend server may have run the request.
MAY_HAVE_RUN_STATUSES = (502, 504)


@attrs.define
class RelayRunner:
    """
    Serves callers' requests by sending them to backend servers.

    :param state: configuration, backend servers, peers and running work.
    :param pool: connections to backend servers.
    :param codec: encodes requests to backend servers and decodes their responses.
    :param peer_updates: reports this node's running work to its peers.
    :param metrics: counters and histograms.
    :param forwarder: forwards requests that this node can't send itself.
    """

    _state: RelayState
    _pool: ConnectionPool
    _codec: BackendCodec
    _peer_updates: PeerUpdateTask
    _metrics: RelayMetrics
    _forwarder: Forwarder
    _open: int = 0
    _placer: RelayPlacer = attrs.field()
    _sender: Sender = attrs.field()

    @_placer.default
    def _make_placer(self) -> RelayPlacer:
        return RelayPlacer(
            self._state, self._metrics, self._peer_updates.notify_backlog_changed
        )

    @_sender.default
    def _make_sender(self) -> Sender:
        return Sender(
            self._state,
            self._pool,
            self._codec,
            self._peer_updates,
            self._metrics,
            self._placer.best_placement,
        )

    @property
    def open_requests(self) -> int:
        """Number of requests whose response isn't complete yet."""
        return self._open

    async def serve(
        self, request: CallerRequest, body: bytes, reply: CallerReply
    ) -> None:
        """
        Serve one request.

        :param request: the request, without its body.
        :param body: its whole body.
        :param reply: where the response is written.
        """
        await self._serve_counted(request, body, reply)

    async def serve_forwarded(
        self, forwarded: ForwardedRequest, sender: str, reply: CallerReply
    ) -> None:
        """
        Serve a request that a peer has forwarded, as one of this node's own callers'.

        :param forwarded: the request, its body, and what the peer has done for it.
        :param sender: id of the peer.
        :param reply: where the response is written.
        """
        now = self._state.clock.monotonic()
        request = attrs.evolve(
            forwarded.request, arrived_s=now - forwarded.elapsed_ms / 1_000
        )
        log(
            LogEvent.FORWARD_RECEIVED,
            request=request.request_id,
            sender=sender,
            elapsed_ms=forwarded.elapsed_ms,
        )
        await self._serve_counted(request, forwarded.body, reply, forwarded)

    async def _serve_counted(
        self,
        request: CallerRequest,
        body: bytes,
        reply: CallerReply,
        forwarded: ForwardedRequest | None = None,
    ) -> None:
        self._open += 1
        try:
            await self._serve(request, body, reply, forwarded)
        except asyncio.CancelledError:
            self._metrics.results.labels("caller_gone").inc()
            log(LogEvent.CALLER_GONE, request=request.request_id)
            raise
        finally:
            self._open -= 1

    async def _serve(
        self,
        request: CallerRequest,
        body: bytes,
        reply: CallerReply,
        forwarded: ForwardedRequest | None,
    ) -> None:
        admitted = await self._admit(request)
        if isinstance(admitted, Refusal):
            await self._refuse(request, reply, admitted)
            return
        timeout_ms = admitted.route.timeout_ms
        if request.deadline_ms is not None:
            timeout_ms = min(timeout_ms, request.deadline_ms)
        deadline_s = request.arrived_s + timeout_ms / 1_000
        costs = self._state.settings.queueing.costs
        run = RelayRun(request, body, reply, admitted, deadline_s, costs)
        now = self._state.clock.monotonic()
        quarantined_s = self._state.quarantine.remaining_s(run.fingerprint, now)
        if quarantined_s > 0:
            source = self._state.quarantine.source(run.fingerprint)
            reason = (
                f"{run.fingerprint} crashed backend servers by {source}; "
                f"quarantined for {quarantined_s:.0f} s"
            )
            refusal = Refusal(ResultCode.HELD_BACK, reason)
            await self._refuse(request, reply, refusal)
            return
        if forwarded is None:
            self._state.retry_budget(admitted.service.name).record_request(now)
        else:
            # The node that took the request has counted it.
            run.forwarded = True
            run.sends = forwarded.sends
        try:
            await self._send_until_answered(run)
        except TimeoutError:
            await self._give_up(run, run.timeout_code(), "deadline passed")
        finally:
            self._placer.release(run)

    async def _admit(self, request: CallerRequest) -> Admitted | Refusal:
        await self._wait_for_configuration()
        admitted = admit(request, self._state)
        match admitted:
            case Refusal(confirmable=True):
                await self._state.request_confirmation(CONFIRMATION_WAIT_S)
                return admit(request, self._state)
            case _:
                return admitted

    async def _wait_for_configuration(self) -> None:
        """Wait until the node has started; the caller may have no retry left."""
        until_s = self._state.clock.monotonic() + FIRST_CONFIGURATION_WAIT_S
        while self._state.configuration is None or not self._state.informed:
            left_s = until_s - self._state.clock.monotonic()
            if left_s <= 0:
                return
            await self._state.wait_for_change(left_s)

    async def _send_until_answered(self, run: RelayRun) -> None:
        connect_failures = 0
        while True:
            placement = await self._place(run)
            match placement:
                case OutOfReach(refusal):
                    if not await self._forward(run):
                        await self._give_up(run, refusal.code, refusal.reason, refusal)
                    return
                case Refusal():
                    await self._give_up(
                        run, placement.code, placement.reason, placement
                    )
                    return
            outcome = await self._sender.send(run, placement)
            match outcome:
                case Delivered():
                    backend_id = placement.candidate.server.backend_id
                    self._record_delivered(run, backend_id, outcome)
                    return
                case NotSent():
                    connect_failures += 1
                    if await self._ends_after(run, connect_failures, outcome):
                        return
                case NoMemory() | Migrated() | StalePlacement():
                    # Placement now excludes the engine that had no free memory, from
                    # which the stream is migrated, or that takes no new work.
                    continue
                case _:
                    if not await self._may_send_again(run, placement, outcome):
                        await self._give_up_after(run, outcome)
                        return

    async def _place(self, run: RelayRun) -> RelayPlacement | Refusal | OutOfReach:
        placement = await self._placer.place(run)
        match placement:
            case RelayPlacement() if self._placer.settles(run, placement):
                settled = await self._sender.settle(run, placement)
                # If none is possible any more, it waits like any other request.
                return settled or await self._placer.place(run)
            case _:
                return placement

    async def _ends_after(
        self, run: RelayRun, connect_failures: int, outcome: NotSent
    ) -> bool:
        """Return whether a request has ended with this number of failed connections."""
        if connect_failures == FORWARD_AFTER_FAILURES and await self._forward(run):
            return True
        if connect_failures > MAX_CONNECT_FAILURES:
            await self._give_up(run, ResultCode.NO_BACKEND, outcome.reason)
            return True
        return False

    async def _forward(self, run: RelayRun) -> bool:
        """
        Forward a request to a peer until it is answered; return False if none takes it.

        Retries at backend servers are up to the peer.
        """
        while not run.forwarded:
            outcome = await self._forwarder.forward(run)
            match outcome:
                case None | NotSent() | RefusedByPeer(try_another=True):
                    return False
                case Delivered():
                    self._record_delivered(run, None, outcome)
                case RefusedByPeer():
                    refusal = Refusal(
                        outcome.code, "refused by a peer", outcome.retry_after_s
                    )
                    await self._give_up(run, refusal.code, refusal.reason, refusal)
                case ErrorReply() if not run.reply.started:
                    await self._send_backend_error(run, outcome)
                case ReplyLost() if self._acquire_retry(run, outcome):
                    # The peer, or the connection to it, is lost.
                    continue
                case _:
                    await self._give_up_after(run, outcome)
            return True
        return False

    async def _may_send_again(
        self, run: RelayRun, placement: RelayPlacement, outcome: AttemptOutcome
    ) -> bool:
        """Return whether the request is sent again after a failed attempt."""
        match outcome:
            case Withheld():
                return False
            case ErrorReply():
                run.backend_error = outcome
        if await self._may_have_crashed(run, placement, outcome):
            return False
        return self._acquire_retry(run, outcome)

    async def _may_have_crashed(
        self, run: RelayRun, placement: RelayPlacement, outcome: AttemptOutcome
    ) -> bool:
        """
        Return whether the request may have crashed its backend server.

        Another send would then end another one, with all requests that run there.
        """
        match outcome:
            case ReplyLost(failure=SendFailure.BROKEN):
                unanswered = not run.events
            case _:
                unanswered = False
        if not unanswered or not run.shared_sections:
            return False
        if not await self._sender.has_crashed(placement.candidate.server):
            return False
        now = self._state.clock.monotonic()
        return not self._state.section_quarantine.may_send_again(
            run.shared_sections, now
        )

    def _acquire_retry(self, run: RelayRun, outcome: AttemptOutcome) -> bool:
        """Return whether the request is sent again; count a retry if so."""
        match outcome:
            case ReplyLost(failure=SendFailure.SILENT):
                # The attempt counted the retry before it gave up on the backend server.
                return True
            case ReplyLost() | ErrorReply():
                allowed = run.repeatable
            case _:
                allowed = True
        return allowed and self._sender.acquire_retry(run)

    async def _give_up_after(self, run: RelayRun, outcome: AttemptOutcome) -> None:
        match outcome:
            case Withheld():
                now = self._state.clock.monotonic()
                self._state.section_quarantine.record_refusal(outcome.section, now)
                reason = f"prompt section {outcome.section} is quarantined"
                await self._give_up(run, ResultCode.HELD_BACK, reason)
            case NotRunReply():
                code = ResultCode.BACKEND_REFUSED
                await self._give_up(run, code, outcome.reason)
            case ReplyLost():
                await self._give_up(run, ResultCode.BACKEND_FAILED, outcome.reason)
            case _:
                await self._give_up(
                    run,
                    ResultCode.STREAM_BROKEN,
                    "backend server failed and no retry is allowed",
                )

    async def _send_backend_error(
        self, run: RelayRun, backend_error: ErrorReply
    ) -> None:
        head = backend_error.head
        if head.promises_unstated and not run.repeatable:
            # The caller would send it again, and it may have run. The server's seal
            # can't be forwarded with another status.
            refusal = Refusal(ResultCode.BACKEND_FAILED, backend_error.reason)
            await self._refuse(run.request, run.reply, refusal, run.sends)
            return
        await run.reply.start(head.status, head.headers)
        await run.reply.write(backend_error.body)
        await run.reply.finish()
        self._metrics.results.labels("backend_error").inc()
        log(
            LogEvent.RELAY_FAILED,
            request=run.request.request_id,
            reason=backend_error.reason,
            sends=run.sends,
        )

    def _record_delivered(
        self, run: RelayRun, backend_id: str | None, outcome: Delivered
    ) -> None:
        now = self._state.clock.monotonic()
        took_s = now - run.request.arrived_s
        first_s = (run.first_s or now) - run.request.arrived_s
        self._metrics.whole.labels(run.admitted.route.name).observe(took_s)
        self._metrics.results.labels("delivered").inc()
        log(
            LogEvent.RELAY_FINISHED,
            request=run.request.request_id,
            backend=backend_id,
            status=outcome.status,
            events=run.events,
            sends=run.sends,
            first_ms=round(1_000 * first_s, 1),
            objective_ms=run.admitted.route.objective_ms,
            gap_ms=round(1_000 * run.longest_gap_s, 1),
            gap_objective_ms=run.admitted.route.gap_objective_ms,
            took_ms=round(1_000 * took_s, 1),
            delimiter=outcome.delimiter.value,
        )

    async def _give_up(
        self,
        run: RelayRun,
        code: ResultCode,
        reason: str,
        refusal: Refusal | None = None,
    ) -> None:
        if run.backend_error is not None and not run.reply.started:
            # It tells the caller more than a refusal by this node would.
            await self._send_backend_error(run, run.backend_error)
            return
        if run.reply.started:
            run.reply.abort()
            self._metrics.results.labels("broken_off").inc()
            log(
                LogEvent.RELAY_FAILED,
                request=run.request.request_id,
                reason=reason,
                events=run.events,
                sends=run.sends,
            )
            return
        if run.may_have_run and code.status in NOT_RUN_STATUSES:
            # A backend server may have run it, which these statuses deny.
            code = ResultCode.BACKEND_FAILED
        retry_after_s = refusal.retry_after_s if refusal else CAPACITY_RETRY_S
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
        ran = Ran.UNKNOWN if refusal.code.status in MAY_HAVE_RUN_STATUSES else Ran.NO
        await send_refusal(reply, refusal, request.request_id, ran)

"""Send calls to plain services, with retries or claims."""

import asyncio

import attrs

from tanagerkeel.claims import (
    CallDone,
    CallNotRun,
    CallOutcomeUnknown,
    Claim,
    ClaimResult,
    ClaimStatus,
    body_digest,
    check_idempotency_key,
    claim_key,
    new_id,
)
from tanagerkeel.configuration import BackendServer
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._service_pool import ServicePool, ServiceRetryBudget
from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.engines import BackendFailed, BackendRefused
from tanagerkeel.gateways.services import ServiceCall, ServiceReply
from tanagerkeel.requests import AttemptRecord, AttemptState, ServiceRequest, ran_of

__all__ = ["ServiceRunner"]

MAX_ATTEMPTS = 3
FIRST_BACKOFF_S = 0.05
RETRY_AFTER_S = 1.0


@attrs.define
class ServiceRunner:
    """
    Sends calls to the backend servers of plain services.

    A call of an idempotent operation is retried. Any other call may run at most
    once: it is sent under a claim, which records its idempotency key.

    :param context: the node's gateways, state and metrics.
    """

    _context: NodeContext
    _pool: ServicePool = attrs.field(init=False)
    _budget: ServiceRetryBudget = attrs.field(factory=ServiceRetryBudget, init=False)
    _running: set[asyncio.Task] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        self._pool = ServicePool(self._context)

    async def call(self, request: ServiceRequest) -> ServiceReply:
        """
        Return the service's reply.

        :raises TanagerkeelError: when there is no reply; its ``ran`` tells whether the
            call ran.
        """
        catalog = self._context.configuration.current
        operation = catalog.operation(request.service, request.operation)
        if operation is None:
            raise TanagerkeelError(ResultCode.SERVICE_NOT_FOUND)
        if operation.idempotent:
            return await self._call_idempotent(request)
        # The task continues when the caller disconnects, so that the outcome is
        # recorded and a repeat of the call gets it.
        task = asyncio.create_task(self._call_once(request))
        self._running.add(task)
        task.add_done_callback(self._discard_task)
        return await asyncio.shield(task)

    async def drain(self) -> None:
        """Wait until every running call of a non-idempotent operation has ended."""
        await asyncio.gather(*self._running, return_exceptions=True)

    def _discard_task(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if not task.cancelled():
            # Marks the exception as retrieved; otherwise asyncio logs it when the
            # caller has disconnected.
            task.exception()

    async def _call_idempotent(self, request: ServiceRequest) -> ServiceReply:
        attempts: list[AttemptRecord] = []
        failures: list[str] = []
        self._budget.record_first_attempt()
        while len(attempts) < MAX_ATTEMPTS:
            server = self._pool.choose(request.service, [a.backend for a in attempts])
            server = server or self._pool.choose(request.service)
            if server is None:
                break
            if attempts and not await self._may_retry(request, len(attempts)):
                break
            attempts.append(AttemptRecord(server.name))
            try:
                return await self._send(request, server, attempts[-1], "")
            except (BackendRefused, BackendFailed) as error:
                failures.append(error.reason)
        raise self._error_of(request, attempts, failures)

    async def _may_retry(self, request: ServiceRequest, attempt_count: int) -> bool:
        max_delay_s = FIRST_BACKOFF_S * 2**attempt_count
        delay_s = self._context.random.uniform(0.0, max_delay_s)
        if self._remaining_s(request) <= delay_s or not self._budget.try_acquire():
            return False
        self._context.metrics.retries.inc()
        await self._context.clock.sleep(delay_s)
        return True

    async def _call_once(self, request: ServiceRequest) -> ServiceReply:
        claims = self._context.claims
        check_idempotency_key(
            request.idempotency_key,
            claims.policy.window_s,
            self._context.clock.wall(),
        )
        if self._pool.choose(request.service) is None:
            raise self._error_of(request, [], [])
        claim = self._claim_of(request)
        result = await claims.claim(claim, request.deadline_s)
        self._note(request, f"claim: {result.status}")
        match result.status:
            case ClaimStatus.GRANTED:
                log(LogEvent.CLAIM_RECORDED, request_id=request.request_id)
                return await self._dispatch(request, claim, None)
            case ClaimStatus.UNAVAILABLE | ClaimStatus.IN_DOUBT:
                return await self._call_without_claim(request, claim, result)
            case _:
                log(
                    LogEvent.CLAIM_DUPLICATE,
                    request_id=request.request_id,
                    ruling=str(result.status),
                )
                return _reply_from_claim(result)

    def _claim_of(self, request: ServiceRequest) -> Claim:
        return Claim(
            key=claim_key(
                request.account,
                request.service,
                request.operation,
                request.idempotency_key,
            ),
            claim_id=new_id(),
            body_digest=body_digest(request.body, request.content_type),
            owner=self._context.settings.node_id,
            timeout_s=max(0.0, self._remaining_s(request)),
        )

    async def _call_without_claim(
        self, request: ServiceRequest, claim: Claim, result: ClaimResult
    ) -> ServiceReply:
        server = self._pool.choose_deduplicating(request.service, claim.key)
        if server is not None:
            self._note(request, f"{server.name} carries out each key once itself")
            return await self._dispatch(request, claim, server)
        if result.status is ClaimStatus.IN_DOUBT:
            self._context.claims.record_outcome(CallNotRun(claim.key, claim.claim_id))
        raise TanagerkeelError(
            ResultCode.CLAIMS_UNAVAILABLE, retry_after_s=RETRY_AFTER_S
        )

    async def _dispatch(
        self, request: ServiceRequest, claim: Claim, only_server: BackendServer | None
    ) -> ServiceReply:
        """
        Send a call that may run at most once, and record its outcome.

        It is sent again only when the previous attempt is known not to have started.

        :param only_server: the only backend server that the call may go to; None to
            choose one for each attempt.
        """
        attempts: list[AttemptRecord] = []
        failures: list[str] = []
        outcome: CallDone | CallOutcomeUnknown | CallNotRun = CallOutcomeUnknown(
            claim.key, claim.claim_id
        )
        try:
            while len(attempts) < MAX_ATTEMPTS and self._remaining_s(request) > 0:
                tried = [a.backend for a in attempts]
                server = only_server or self._pool.choose(request.service, tried)
                if server is None or server.name in tried:
                    break
                attempts.append(AttemptRecord(server.name))
                try:
                    reply = await self._send(request, server, attempts[-1], claim.key)
                except (BackendRefused, BackendFailed) as error:
                    failures.append(error.reason)
                    if attempts[-1].state is not AttemptState.NOT_STARTED:
                        break
                else:
                    outcome = self._call_done(claim, reply)
                    return reply
            if ran_of(attempts) is Ran.NO:
                outcome = CallNotRun(claim.key, claim.claim_id)
            raise self._error_of(request, attempts, failures)
        finally:
            self._context.claims.record_outcome(outcome)
            if isinstance(outcome, CallOutcomeUnknown):
                log(LogEvent.OUTCOME_UNKNOWN, request_id=request.request_id)

    def _call_done(self, claim: Claim, reply: ServiceReply) -> CallDone:
        response_kept = (
            len(reply.body) <= self._context.claims.policy.max_response_bytes
        )
        return CallDone(
            key=claim.key,
            claim_id=claim.claim_id,
            status=reply.status,
            content_type=reply.content_type,
            response=reply.body if response_kept else b"",
            response_kept=response_kept,
        )

    async def _send(
        self,
        request: ServiceRequest,
        server: BackendServer,
        attempt: AttemptRecord,
        key: str,
    ) -> ServiceReply:
        context = self._context
        log(
            LogEvent.ATTEMPT_STARTED,
            request_id=request.request_id,
            attempt_id=attempt.attempt_id,
            backend=server.name,
        )
        self._note(request, f"attempt {attempt.attempt_id} on {server.name}")
        attempt.transition_to(AttemptState.SENT)
        try:
            with (
                self._pool.count_in_flight(server),
                context.tracing.span("attempt", request.traceparent) as span,
            ):
                call = ServiceCall(
                    attempt_id=attempt.attempt_id,
                    request_id=request.request_id,
                    operation=request.operation,
                    body=request.body,
                    content_type=request.content_type,
                    idempotency_key=key,
                    remaining_ms=int(self._remaining_s(request) * 1_000),
                    traceparent=span.traceparent,
                )
                reply = await context.services.call(server.address, call)
        except (BackendRefused, BackendFailed) as error:
            self._record_failure(request, server, attempt, error)
            raise
        attempt.transition_to(AttemptState.ACCEPTED)
        attempt.transition_to(AttemptState.FINISHED)
        context.metrics.attempts.labels(str(attempt.state)).inc()
        return reply

    def _record_failure(
        self,
        request: ServiceRequest,
        server: BackendServer,
        attempt: AttemptRecord,
        error: BackendRefused | BackendFailed,
    ) -> None:
        match error:
            case BackendRefused() | BackendFailed(sent=False):
                attempt.transition_to(AttemptState.NOT_STARTED)
            case _:
                attempt.transition_to(AttemptState.FAILED)
        if isinstance(error, BackendFailed):
            self._pool.avoid(server)
        self._context.metrics.attempts.labels(str(attempt.state)).inc()
        self._note(request, f"{server.name}: {attempt.state}, {error.reason}")
        log(
            LogEvent.ATTEMPT_FAILED,
            request_id=request.request_id,
            attempt_id=attempt.attempt_id,
            backend=server.name,
            error=error.reason,
        )

    def _error_of(
        self,
        request: ServiceRequest,
        attempts: list[AttemptRecord],
        failures: list[str],
    ) -> TanagerkeelError:
        ran = ran_of(attempts)
        detail = "; ".join(failures)
        if self._remaining_s(request) <= 0:
            return TanagerkeelError(ResultCode.DEADLINE_EXCEEDED, detail, ran)
        if not attempts:
            return TanagerkeelError(
                ResultCode.NO_BACKEND, request.service, ran, RETRY_AFTER_S
            )
        if ran is Ran.NO:
            return TanagerkeelError(
                ResultCode.BACKEND_REFUSED, detail, ran, RETRY_AFTER_S
            )
        return TanagerkeelError(ResultCode.BACKEND_FAILED, detail, ran)

    def _remaining_s(self, request: ServiceRequest) -> float:
        return request.deadline_s - self._context.clock.monotonic()

    def _note(self, request: ServiceRequest, text: str) -> None:
        self._context.explanations.note(request.request_id, text)


def _reply_from_claim(result: ClaimResult) -> ServiceReply:
    """Return the recorded reply of the call's earlier claim, or raise why not."""
    match result:
        case ClaimResult(
            status=ClaimStatus.DONE, done=CallDone(response_kept=True) as done
        ):
            return ServiceReply(done.status, done.response, done.content_type)
        case ClaimResult(status=ClaimStatus.DONE, done=done):
            raise TanagerkeelError(
                ResultCode.RESPONSE_NOT_KEPT, f"its status was {done.status}", Ran.YES
            )
        case ClaimResult(status=ClaimStatus.REUSED):
            raise TanagerkeelError(ResultCode.IDEMPOTENCY_KEY_REUSED)
        case ClaimResult(status=ClaimStatus.IN_PROGRESS):
            raise TanagerkeelError(
                ResultCode.IN_PROGRESS, "", Ran.UNKNOWN, RETRY_AFTER_S
            )
        case _:
            raise TanagerkeelError(ResultCode.OUTCOME_UNKNOWN, "", Ran.UNKNOWN)

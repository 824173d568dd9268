"""Run a call of a plain service."""

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
from tanagerkeel.requests import Attempt, AttemptState, ServiceRequest, ran_of

__all__ = ["ServiceRunner"]

MAX_ATTEMPTS = 3
FIRST_BACKOFF_S = 0.05
RETRY_AFTER_S = 1.0


@attrs.define
class ServiceRunner:
    """
    Carries calls to plain services.

    :param context: the node's gateways, state and instruments.
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

        :raises TanagerkeelError: when the call can't be carried out.
        """
        catalog = self._context.configuration.current
        operation = catalog.operation(request.service, request.operation)
        if operation is None:
            raise TanagerkeelError(ResultCode.SERVICE_NOT_FOUND)
        if operation.idempotent:
            return await self._call_repeatable(request)
        # A call that may run once is carried to its end, also when its caller
        # goes away: a repeat of it then gets the outcome.
        task = asyncio.create_task(self._call_once(request))
        self._running.add(task)
        task.add_done_callback(self._ended)
        return await asyncio.shield(task)

    async def drain(self) -> None:
        """Wait until each call that may run once has ended."""
        await asyncio.gather(*self._running, return_exceptions=True)

    def _ended(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if not task.cancelled():
            # Taken in, so that it isn't reported as lost when nobody waits.
            task.exception()

    async def _call_repeatable(self, request: ServiceRequest) -> ServiceReply:
        attempts: list[Attempt] = []
        failures: list[str] = []
        self._budget.record_first_attempt()
        while len(attempts) < MAX_ATTEMPTS:
            server = self._pool.choose(request.service, [a.backend for a in attempts])
            server = server or self._pool.choose(request.service)
            if server is None:
                break
            if attempts and not await self._may_retry(request, len(attempts)):
                break
            attempts.append(Attempt(server.name))
            try:
                return await self._send(request, server, attempts[-1], "")
            except (BackendRefused, BackendFailed) as error:
                failures.append(error.reason)
        raise self._failure(request, attempts, failures)

    async def _may_retry(self, request: ServiceRequest, number: int) -> bool:
        longest_s = FIRST_BACKOFF_S * 2**number
        delay_s = self._context.random.uniform(0.0, longest_s)
        if self._remaining_s(request) <= delay_s or not self._budget.take():
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
            raise self._failure(request, [], [])
        claim = self._claim_of(request)
        result = await claims.claim(claim, request.deadline_s)
        self._note(request, f"claim: {result.status}")
        match result.status:
            case ClaimStatus.GRANTED:
                log(LogEvent.CLAIM_RECORDED, request_id=request.request_id)
                return await self._dispatch(request, claim, None)
            case ClaimStatus.UNAVAILABLE | ClaimStatus.IN_DOUBT:
                return await self._without_claim(request, claim, result)
            case _:
                log(
                    LogEvent.CLAIM_DUPLICATE,
                    request_id=request.request_id,
                    ruling=str(result.status),
                )
                return _replay(result)

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

    async def _without_claim(
        self, request: ServiceRequest, claim: Claim, result: ClaimResult
    ) -> ServiceReply:
        server = self._pool.deduplicating(request.service, claim.key)
        if server is not None:
            self._note(request, f"{server.name} carries out each key once itself")
            return await self._dispatch(request, claim, server)
        if result.status is ClaimStatus.IN_DOUBT:
            self._context.claims.record_outcome(CallNotRun(claim.key, claim.claim_id))
        raise TanagerkeelError(
            ResultCode.CLAIMS_UNAVAILABLE, retry_after_s=RETRY_AFTER_S
        )

    async def _dispatch(
        self, request: ServiceRequest, claim: Claim, only: BackendServer | None
    ) -> ServiceReply:
        """Send once; again only when the attempt before provably did not start."""
        attempts: list[Attempt] = []
        failures: list[str] = []
        outcome: CallDone | CallOutcomeUnknown | CallNotRun = CallOutcomeUnknown(
            claim.key, claim.claim_id
        )
        try:
            while len(attempts) < MAX_ATTEMPTS and self._remaining_s(request) > 0:
                tried = [a.backend for a in attempts]
                server = only or self._pool.choose(request.service, tried)
                if server is None or server.name in tried:
                    break
                attempts.append(Attempt(server.name))
                try:
                    reply = await self._send(request, server, attempts[-1], claim.key)
                except (BackendRefused, BackendFailed) as error:
                    failures.append(error.reason)
                    if attempts[-1].state is not AttemptState.NOT_STARTED:
                        break
                else:
                    outcome = self._done(claim, reply)
                    return reply
            if ran_of(attempts) is Ran.NO:
                outcome = CallNotRun(claim.key, claim.claim_id)
            raise self._failure(request, attempts, failures)
        finally:
            self._context.claims.record_outcome(outcome)
            if isinstance(outcome, CallOutcomeUnknown):
                log(LogEvent.OUTCOME_UNKNOWN, request_id=request.request_id)

    def _done(self, claim: Claim, reply: ServiceReply) -> CallDone:
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
        attempt: Attempt,
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
                self._pool.using(server),
                context.tracing.hop("attempt", request.traceparent) as hop,
            ):
                call = ServiceCall(
                    attempt_id=attempt.attempt_id,
                    request_id=request.request_id,
                    operation=request.operation,
                    body=request.body,
                    content_type=request.content_type,
                    idempotency_key=key,
                    remaining_ms=int(self._remaining_s(request) * 1_000),
                    traceparent=hop.traceparent,
                )
                reply = await context.services.call(server.address, call)
        except (BackendRefused, BackendFailed) as error:
            self._take_failure(request, server, attempt, error)
            raise
        attempt.transition_to(AttemptState.ACCEPTED)
        attempt.transition_to(AttemptState.FINISHED)
        context.metrics.attempts.labels(str(attempt.state)).inc()
        return reply

    def _take_failure(
        self,
        request: ServiceRequest,
        server: BackendServer,
        attempt: Attempt,
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

    def _failure(
        self, request: ServiceRequest, attempts: list[Attempt], failures: list[str]
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


def _replay(result: ClaimResult) -> ServiceReply:
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

"""Processing of a model request: its stages in order, within its deadline."""

import asyncio
import collections

import attrs

from tanagerkeel.admission import AdmissionRequest, ModelRetryBudget
from tanagerkeel.background import BackgroundTasks
from tanagerkeel.backoff import full_jitter_s
from tanagerkeel.entry._attempts import AttemptFailed, AttemptRunner
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._estimates import (
    AnswerLengths,
    FleetCapacity,
    ServiceEstimate,
    estimate_service,
)
from tanagerkeel.entry._placement import AttemptPlacer
from tanagerkeel.entry._request_run import RequestRun, Stage
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.events import LogEvent, log
from tanagerkeel.routing import Router

__all__ = ["RequestPipeline"]

# Counts attempts that established a connection.
MAX_ATTEMPTS = 4
# Attempts without a connection cause no work on any backend server, so more are made.
MAX_UNCONNECTED_ATTEMPTS = 12
# Attempts that end while memory is reserved for a gang are limited separately.
MAX_RESERVATION_TRIES = 40
RETRY_AFTER_S = 1.0


@attrs.define
class RequestPipeline:
    """
    Checks the quarantine, queues requests fairly, places them and runs attempts.

    :param context: the node's gateways, state and instruments.
    :param router: chooses backend servers for an attempt.
    :param background: runs clean-up that outlasts the request.
    """

    _context: NodeContext
    _router: Router
    _background: BackgroundTasks
    _placer: AttemptPlacer = attrs.field(init=False)
    _attempts: AttemptRunner = attrs.field(init=False)
    _capacity: FleetCapacity = attrs.field(init=False)
    _lengths: AnswerLengths = attrs.field(factory=AnswerLengths)
    _budgets: dict[str, ModelRetryBudget] = attrs.field(
        factory=lambda: collections.defaultdict(ModelRetryBudget)
    )

    def __attrs_post_init__(self) -> None:
        self._placer = AttemptPlacer(self._context, self._router, self._background)
        self._attempts = AttemptRunner(self._context, self._background)
        self._capacity = FleetCapacity(self._context.fleet, self._router)
        self._context.admission.set_capacity_source(self._capacity)

    async def run(self, run: RequestRun) -> None:
        """
        Process a request until its answer is complete.

        :raises TanagerkeelError: when the answer could not be completed.
        """
        remaining_s = run.remaining_s(self._context.clock.monotonic())
        try:
            async with asyncio.timeout(remaining_s) as deadline:
                await self._run_admitted(run)
        except TimeoutError as error:
            if not deadline.expired():
                raise
            run.fail_open_attempts()
            raise self._deadline_error(run) from error

    async def _run_admitted(self, run: RequestRun) -> None:
        context = self._context
        self._placer.check_quarantine(run)
        admission_request = self._admission_request(run)
        with context.admission.enqueue(admission_request) as ticket:
            run.ticket = ticket
            enqueued_s = context.clock.monotonic()
            with context.tracing.span("queue", run.traceparent):
                await ticket.wait_admitted()
            waited_s = context.clock.monotonic() - enqueued_s
            context.metrics.queue_wait.observe(waited_s)
            self._explain(run, f"admitted after {waited_s:.3f} s in the queue")
            log(LogEvent.REQUEST_ADMITTED, request_id=run.request.request_id)
            self._budgets[run.request.model].record_first_attempt(
                context.clock.monotonic()
            )
            await self._attempt_until_complete(run)
            self._lengths.record(run.lane, run.emitted_tokens)
            context.quarantine.clear_suspect(run.request.fingerprint)
            ticket.record_served(run.request.prompt_tokens + run.emitted_tokens)

    async def _attempt_until_complete(self, run: RequestRun) -> None:
        context = self._context
        reservation_tries = 0
        while True:
            placement = await self._placer.place(run)
            try:
                with context.tracing.span(
                    "attempt", run.traceparent, number=len(run.attempts) + 1
                ) as span:
                    await self._attempts.run(run, placement, span.traceparent)
                return
            except AttemptFailed as failure:
                self._record_failure(run, failure)
                run.failed_backends.update(failure.backends)
                if failure.still_planned:
                    reservation_tries += 1
                    self._check_reservations(run, failure, reservation_tries)
                else:
                    self._check_retry(run, failure)
            finally:
                self._placer.release_permits(placement.permits)
            await self._back_off(run, max(reservation_tries, len(run.attempts)))

    def _admission_request(self, run: RequestRun) -> AdmissionRequest:
        request = run.request
        now = self._context.clock.monotonic()
        self._capacity.set_sample(run.lane, request)
        expected_tokens = self._lengths.expected_tokens(run.lane, request.max_tokens)
        estimate = self._estimate(run, expected_tokens, now)
        account = self._context.configuration.current.accounts.get(request.account)
        return AdmissionRequest(
            lane=run.lane,
            account=request.account,
            weight=account.weight if account is not None else 1.0,
            cost_tokens=request.prompt_tokens + (expected_tokens or request.max_tokens),
            service_s=estimate.total_s if estimate is not None else 0.0,
            deadline_s=request.deadline_s,
        )

    def _estimate(
        self, run: RequestRun, answer_tokens: float, now: float
    ) -> ServiceEstimate | None:
        return estimate_service(self._router, run.request, answer_tokens, now)

    def _check_reservations(
        self, run: RequestRun, failure: AttemptFailed, tries: int
    ) -> None:
        if tries >= MAX_RESERVATION_TRIES:
            raise run.error(ResultCode.NO_MEMORY, failure.reason, RETRY_AFTER_S)

    def _check_retry(self, run: RequestRun, failure: AttemptFailed) -> None:
        self._placer.check_quarantine(run)
        if not failure.connected:
            run.unconnected_attempts += 1
        dispatched = sum(1 for a in run.attempts if a.state is not a.state.PLANNED)
        connected_attempts = dispatched - run.unconnected_attempts
        if (
            connected_attempts >= MAX_ATTEMPTS
            or run.unconnected_attempts >= MAX_UNCONNECTED_ATTEMPTS
        ):
            code = ResultCode.BACKEND_FAILED
            if run.emitted_tokens:
                code = ResultCode.STREAM_BROKEN
            raise run.error(code, failure.reason, RETRY_AFTER_S)
        now = self._context.clock.monotonic()
        budget = self._budgets[run.request.model]
        if failure.connected and not budget.try_acquire(now, failure.death_id):
            raise run.error(
                ResultCode.RETRIES_EXHAUSTED,
                failure.reason,
                max(RETRY_AFTER_S, budget.retry_after_s(now)),
            )
        self._context.metrics.retries.inc()

    async def _back_off(self, run: RequestRun, tries: int) -> None:
        clock = self._context.clock
        run.stage = Stage.BACKOFF
        delay_s = full_jitter_s(tries, self._context.random)
        if delay_s >= run.remaining_s(clock.monotonic()):
            raise self._deadline_error(run)
        self._explain(run, f"next attempt after {delay_s:.3f} s")
        await clock.sleep(delay_s)

    def _deadline_error(self, run: RequestRun) -> TanagerkeelError:
        detail = f"{run.stage.value}, after {run.emitted_tokens} tokens"
        return run.error(ResultCode.DEADLINE_EXCEEDED, detail, RETRY_AFTER_S)

    def _record_failure(self, run: RequestRun, failure: AttemptFailed) -> None:
        attempt = run.attempts[-1]
        log(
            LogEvent.ATTEMPT_FAILED,
            request_id=run.request.request_id,
            attempt_id=attempt.attempt_id,
            backend=attempt.backend,
            state=attempt.state.value,
            reason=failure.reason,
        )
        self._explain(
            run,
            f"attempt {len(run.attempts)} on {attempt.backend}: "
            f"{attempt.state.value}, {failure.reason}",
        )

    def _explain(self, run: RequestRun, text: str) -> None:
        self._context.explanations.note(run.request.request_id, text)

"""Execution of one attempt of a model request, from dispatch to the last chunk."""

import asyncio
import contextlib
from collections.abc import Iterator

import attrs

from tanagerkeel.background import BackgroundTasks
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._deaths import DeathDetector
from tanagerkeel.entry._gang import GangMemory, ReservedSegment
from tanagerkeel.entry._placement import AttemptPlacement, plan_snapshots
from tanagerkeel.entry._request_run import RequestRun, Stage
from tanagerkeel.events import LogEvent, log
from tanagerkeel.fleet import BackendSnapshot, Dispatch
from tanagerkeel.gateways.engines import BackendFailed, BackendRefused, GenerateCall
from tanagerkeel.requests import (
    AttemptRecord,
    AttemptState,
    LengthClass,
    StreamMismatch,
    TokenChunk,
    verify_stream,
)
from tanagerkeel.routing import GangPlan, SinglePlan

__all__ = ["AttemptFailed", "AttemptRunner"]

CANCEL_TIMEOUT_S = 2.0
# Maximum time between two chunks of an engine.
STALL_TIMEOUT_S = 10.0
# The first chunk may take this many times the expected time to the first token, in
# addition to the stall time-out.
FIRST_TOKEN_TIMEOUT_FACTOR = 4.0


@attrs.define(auto_exc=True)
class AttemptFailed(Exception):
    """
    An attempt ended without a complete answer.

    :param reason: the error that ended it.
    :param backends: names of backend servers to avoid in the next attempt.
    :param still_planned: whether it was still in state ``PLANNED``: no engine was sent
        any part of the prompt.
    :param connected: False if no connection was established, so that no backend server
        did any work.
    :param death_id: identifies the death of a backend server, by the server's name and
        incarnation; None if none died. The quarantine uses a hash of it.
    """

    reason: str
    backends: tuple[str, ...]
    still_planned: bool = False
    connected: bool = True
    death_id: str | None = None


@attrs.define
class AttemptRunner:
    """
    Runs attempts on the backend servers of their placements.

    :param context: the node's gateways, state and instruments.
    :param background: runs clean-up that outlasts the request.
    """

    _context: NodeContext
    _background: BackgroundTasks
    _deaths: DeathDetector = attrs.field(init=False)
    _gang: GangMemory = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._deaths = DeathDetector(self._context)
        self._gang = GangMemory(self._context, self._background)

    async def run(
        self, run: RequestRun, placement: AttemptPlacement, traceparent: str
    ) -> None:
        """
        Run one attempt and pass its chunks to the caller.

        :raises AttemptFailed: when it ends without a complete answer.
        """
        snapshots = plan_snapshots(placement.plan)
        attempt = run.new_attempt(snapshots[-1].server.name)
        log(
            LogEvent.ATTEMPT_STARTED,
            request_id=run.request.request_id,
            attempt_id=attempt.attempt_id,
            backend=attempt.backend,
        )
        with self._tracked(run, attempt, placement, snapshots):
            try:
                await self._carry_out(run, attempt, placement, traceparent)
                attempt.transition_to(AttemptState.FINISHED)
            except BackendRefused as error:
                raise self._handle_refusal(run, attempt, error) from error
            except (BackendFailed, StreamMismatch, TimeoutError) as error:
                raise await self._handle_failure(attempt, snapshots, error) from error
            except asyncio.CancelledError:
                if attempt.state is not AttemptState.PLANNED:
                    _mark_failed(attempt)
                    self._cancel(snapshots[-1], attempt)
                raise
            finally:
                self._context.metrics.attempts.labels(attempt.state.value).inc()

    @contextlib.contextmanager
    def _tracked(
        self,
        run: RequestRun,
        attempt: AttemptRecord,
        placement: AttemptPlacement,
        snapshots: tuple[BackendSnapshot, ...],
    ) -> Iterator[None]:
        context = self._context
        now = context.clock.monotonic()
        for snapshot, tokens in _backend_tokens(run, placement.plan):
            context.fleet.record_dispatch(
                _dispatch(run, attempt, snapshot, tokens, now)
            )
            context.quarantine.record_start(
                snapshot.server.name,
                attempt.attempt_id,
                run.request.fingerprint,
                snapshot.incarnation,
            )
        run.ticket.mark_dispatched()
        try:
            yield
        finally:
            now = context.clock.monotonic()
            for snapshot in snapshots:
                name = snapshot.server.name
                context.fleet.record_end(name, attempt.attempt_id, now)
                context.quarantine.record_end(name, attempt.attempt_id)

    async def _carry_out(
        self,
        run: RequestRun,
        attempt: AttemptRecord,
        placement: AttemptPlacement,
        traceparent: str,
    ) -> None:
        plan = placement.plan
        call = self._make_call(run, attempt, plan.priority, traceparent)
        match plan:
            case SinglePlan(chosen=chosen):
                expected_s = chosen.first_token_s
                await self._stream(run, attempt, chosen.snapshot, call, expected_s)
            case GangPlan():
                await self._run_gang(run, attempt, plan, call)

    async def _run_gang(
        self,
        run: RequestRun,
        attempt: AttemptRecord,
        plan: GangPlan,
        call: GenerateCall,
    ) -> None:
        async with self._gang.reserved(run, plan) as segments:
            # From here on engines prefill for the request: a refusal by one of them
            # no longer means that nothing was executed.
            attempt.transition_to(AttemptState.SENT)
            try:
                await self._gang.prefill(run, segments)
                await self._generate_gang(run, attempt, segments, call)
            except BackendRefused as error:
                raise BackendFailed(f"gang refused: {error.reason}") from error

    async def _generate_gang(
        self,
        run: RequestRun,
        attempt: AttemptRecord,
        segments: tuple[ReservedSegment, ...],
        call: GenerateCall,
    ) -> None:
        *earlier, last = segments
        planned = last.planned
        call = attrs.evolve(
            call,
            prompt=run.request.prompt[planned.start : planned.end],
            gang=tuple(segment.gang_segment for segment in earlier),
            reservation_id=last.reservation_id,
            remaining_ms=self._remaining_ms(run),
        )
        snapshot = planned.snapshot
        expected_s = planned.tokens / max(1.0, snapshot.prefill_rate)
        await self._stream(run, attempt, snapshot, call, expected_s)

    async def _stream(
        self,
        run: RequestRun,
        attempt: AttemptRecord,
        snapshot: BackendSnapshot,
        call: GenerateCall,
        expected_s: float,
    ) -> None:
        if attempt.state is AttemptState.PLANNED:
            attempt.transition_to(AttemptState.SENT)
        run.stage = Stage.FIRST_TOKEN
        loop = asyncio.get_running_loop()
        raw = self._context.engines.generate(snapshot.server.address, call)
        timeout_s = STALL_TIMEOUT_S + FIRST_TOKEN_TIMEOUT_FACTOR * expected_s
        async with contextlib.aclosing(raw), asyncio.timeout(timeout_s) as stall:
            async for chunk in verify_stream(
                raw, attempt.attempt_id, call.resume_tokens
            ):
                # The time that a slow caller takes to read does not count as a stall.
                stall.reschedule(None)
                self._record_chunk(run, attempt, chunk)
                await run.emit(chunk)
                stall.reschedule(loop.time() + STALL_TIMEOUT_S)

    def _record_chunk(
        self, run: RequestRun, attempt: AttemptRecord, chunk: object
    ) -> None:
        now = self._context.clock.monotonic()
        metrics = self._context.metrics
        if attempt.state is AttemptState.SENT:
            attempt.transition_to(AttemptState.ACCEPTED)
            self._context.fleet.record_first_token(
                attempt.backend, attempt.attempt_id, now
            )
            run.stage = Stage.STREAM
        if not isinstance(chunk, TokenChunk):
            return
        if run.last_token_s is None:
            waited_s = now - run.request.received_s
            metrics.observe_first_token(run.request.length_class, waited_s)
        else:
            metrics.between_tokens.observe(now - run.last_token_s)
        run.last_token_s = now

    def _make_call(
        self, run: RequestRun, attempt: AttemptRecord, priority: int, traceparent: str
    ) -> GenerateCall:
        request = run.request
        return GenerateCall(
            attempt_id=attempt.attempt_id,
            request_id=request.request_id,
            owner=self._context.settings.node_id,
            account=request.account,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            remaining_ms=self._remaining_ms(run),
            priority=priority,
            resume_tokens=run.emitted_tokens,
            resume_text=run.emitted_text,
            traceparent=traceparent,
        )

    def _remaining_ms(self, run: RequestRun) -> int:
        remaining_s = run.remaining_s(self._context.clock.monotonic())
        return max(1, int(remaining_s * 1_000))

    def _handle_refusal(
        self, run: RequestRun, attempt: AttemptRecord, error: BackendRefused
    ) -> AttemptFailed:
        backends = (attempt.backend,)
        if attempt.state is AttemptState.PLANNED:
            # No memory for the gang. The next attempt may use the same engines:
            # their memory may be free soon.
            return AttemptFailed(error.reason, (), still_planned=True)
        if attempt.state is AttemptState.SENT:
            attempt.transition_to(AttemptState.NOT_STARTED)
        else:
            _mark_failed(attempt)
        return AttemptFailed(error.reason, backends)

    async def _handle_failure(
        self,
        attempt: AttemptRecord,
        snapshots: tuple[BackendSnapshot, ...],
        error: BackendFailed | StreamMismatch | TimeoutError,
    ) -> AttemptFailed:
        names = tuple(snapshot.server.name for snapshot in snapshots)
        reason = str(error) or "no chunk came in time"
        if attempt.state is AttemptState.PLANNED:
            return AttemptFailed(reason, names, still_planned=True)
        not_sent = isinstance(error, BackendFailed) and not error.sent
        if not_sent and len(snapshots) == 1 and attempt.state is AttemptState.SENT:
            attempt.transition_to(AttemptState.NOT_STARTED)
            if error.connection_refused:
                now = self._context.clock.monotonic()
                self._context.fleet.record_unreachable(attempt.backend, now)
            return AttemptFailed(reason, names, connected=False)
        _mark_failed(attempt)
        self._cancel(snapshots[-1], attempt)
        death_id = None
        if isinstance(error, BackendFailed):
            have_died = await asyncio.gather(*map(self._deaths.has_died, snapshots))
            death_ids = (
                f"{snapshot.server.name} {snapshot.incarnation}"
                for snapshot, died in zip(snapshots, have_died, strict=True)
                if died
            )
            death_id = next(death_ids, None)
        return AttemptFailed(reason, names, death_id=death_id)

    def _cancel(self, snapshot: BackendSnapshot, attempt: AttemptRecord) -> None:
        self._background.start(
            "cancel attempt",
            self._cancel_ignoring_errors(snapshot.server.address, attempt.attempt_id),
            CANCEL_TIMEOUT_S,
        )

    async def _cancel_ignoring_errors(self, address: str, attempt_id: str) -> None:
        # Without this call the engine ends the stream too, when it finds the connection
        # closed or at the deadline.
        with contextlib.suppress(BackendFailed, BackendRefused):
            await self._context.engines.cancel(address, attempt_id)


def _mark_failed(attempt: AttemptRecord) -> None:
    if attempt.state in (AttemptState.SENT, AttemptState.ACCEPTED):
        attempt.transition_to(AttemptState.FAILED)


def _backend_tokens(
    run: RequestRun, plan: SinglePlan | GangPlan
) -> Iterator[tuple[BackendSnapshot, int]]:
    match plan:
        case SinglePlan(chosen=chosen):
            yield chosen.snapshot, run.request.prompt_tokens
        case GangPlan(segments=segments):
            for segment in segments:
                yield segment.snapshot, segment.tokens


def _dispatch(
    run: RequestRun,
    attempt: AttemptRecord,
    snapshot: BackendSnapshot,
    tokens: int,
    now: float,
) -> Dispatch:
    request = run.request
    return Dispatch(
        backend=snapshot.server.name,
        attempt_id=attempt.attempt_id,
        prompt_tokens=tokens,
        memory_tokens=max(
            tokens, min(request.memory_tokens, tokens + request.max_tokens)
        ),
        urgent=request.length_class is LengthClass.SHORT,
        blocks=request.blocks,
        sent_s=now,
    )

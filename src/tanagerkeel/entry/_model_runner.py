"""Runs each model request in its own task and passes the answer to the caller."""

import asyncio
from collections.abc import AsyncIterator

import attrs

from tanagerkeel.background import BackgroundTasks
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._pipeline import RequestPipeline
from tanagerkeel.entry._request_run import AnswerChannel, RequestOutcome, RequestRun
from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.events import LogEvent, log
from tanagerkeel.requests import AnswerChunk, ModelRequest
from tanagerkeel.routing import Router

__all__ = ["ModelRunner"]

FINISHED = "finished"


@attrs.define
class ModelRunner:
    """
    Answers model requests with the engines of this failure domain.

    :param context: the node's gateways, state and instruments.
    :param router: chooses backend servers for an attempt.
    """

    _context: NodeContext
    _router: Router
    _background: BackgroundTasks = attrs.field(factory=BackgroundTasks)
    _pipeline: RequestPipeline = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._pipeline = RequestPipeline(self._context, self._router, self._background)

    async def answer(self, request: ModelRequest) -> AsyncIterator[AnswerChunk]:
        """
        Yield the verified answer; its last chunk is an ``AnswerEnd``.

        Closing the iterator cancels the request and frees its resources.

        :raises TanagerkeelError: when the request can't be answered.
        """
        channel = AnswerChannel()
        run = RequestRun(request, channel)
        task = asyncio.create_task(self._run(run))
        try:
            while True:
                match await channel.get():
                    case RequestOutcome(error=None, end=end):
                        yield end
                        return
                    case RequestOutcome(error=error):
                        raise error
                    case chunk:
                        yield chunk
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait((task,))

    async def drain(self) -> None:
        """Wait until the clean-up of all ended requests is done."""
        await self._background.drain()

    async def _run(self, run: RequestRun) -> None:
        error = None
        try:
            with self._context.tracing.span("request", run.request.traceparent) as span:
                run.traceparent = span.traceparent
                await self._pipeline.run(run)
        except TanagerkeelError as failure:
            error = failure
        except asyncio.CancelledError:
            run.fail_open_attempts()
            self._record_result(run, run.error(ResultCode.CALLER_GONE))
            raise
        except Exception as failure:  # the caller must get a response
            run.fail_open_attempts()
            log(LogEvent.INTERNAL_ERROR, error=repr(failure))
            error = TanagerkeelError(
                ResultCode.INTERNAL, type(failure).__name__, Ran.UNKNOWN
            )
        self._record_result(run, error)
        run.channel.put_outcome(RequestOutcome(error, run.end))

    def _record_result(self, run: RequestRun, error: TanagerkeelError | None) -> None:
        request_id = run.request.request_id
        code = error.result.code if error is not None else "ok"
        self._context.metrics.results.labels(code).inc()
        summary = FINISHED if error is None else f"{error} (ran: {error.ran.value})"
        self._context.explanations.note(
            request_id,
            f"{summary} after {len(run.attempts)} attempts and "
            f"{run.emitted_tokens} tokens",
        )
        log(
            _log_event(error),
            request_id=request_id,
            code=code,
            attempts=len(run.attempts),
            tokens=run.emitted_tokens,
        )


def _log_event(error: TanagerkeelError | None) -> LogEvent:
    if error is None:
        return LogEvent.REQUEST_FINISHED
    if error.result is ResultCode.CALLER_GONE:
        return LogEvent.CALLER_GONE
    if error.ran is Ran.NO:
        return LogEvent.REQUEST_REFUSED
    return LogEvent.REQUEST_FAILED

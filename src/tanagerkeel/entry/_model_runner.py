"""Model requests: a task for each, and its answer to the caller."""

import asyncio
from collections.abc import AsyncIterator

import attrs

from tanagerkeel.background import Background
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._pipeline import RequestPipeline
from tanagerkeel.entry._request_run import AnswerChannel, Outcome, RequestRun
from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.events import LogEvent, log
from tanagerkeel.requests import AnswerChunk, ModelRequest
from tanagerkeel.routing import Router

__all__ = ["ModelRunner"]

FINISHED = "finished"


@attrs.define
class ModelRunner:
    """
    Carries model requests to engines.

    :param context: the node's gateways, state and instruments.
    :param router: plans attempts.
    """

    _context: NodeContext
    _router: Router
    _background: Background = attrs.field(factory=Background)
    _pipeline: RequestPipeline = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._pipeline = RequestPipeline(self._context, self._router, self._background)

    async def answer(self, request: ModelRequest) -> AsyncIterator[AnswerChunk]:
        """
        Yield the verified answer; its last chunk is an ``AnswerEnd``.

        Closing it ends the request and frees all that it holds.

        :raises TanagerkeelError: when the request can't be answered.
        """
        channel = AnswerChannel()
        run = RequestRun(request, channel)
        task = asyncio.create_task(self._run(run))
        try:
            while True:
                match await channel.get():
                    case Outcome(error=None, end=end):
                        yield end
                        return
                    case Outcome(error=error):
                        raise error
                    case chunk:
                        yield chunk
        finally:
            if not task.done():
                task.cancel()
                await asyncio.wait((task,))

    async def drain(self) -> None:
        """Wait until clean-up of ended requests is done."""
        await self._background.drain()

    async def _run(self, run: RequestRun) -> None:
        error = None
        try:
            with self._context.tracing.hop("request", run.request.traceparent) as hop:
                run.traceparent = hop.traceparent
                await self._pipeline.run(run)
        except TanagerkeelError as failure:
            error = failure
        except asyncio.CancelledError:
            run.settle()
            self._record(run, run.error(ResultCode.CALLER_GONE))
            raise
        except Exception as failure:  # the caller must get an answer
            run.settle()
            log(LogEvent.INTERNAL_ERROR, error=repr(failure))
            error = TanagerkeelError(
                ResultCode.INTERNAL, type(failure).__name__, Ran.UNKNOWN
            )
        self._record(run, error)
        run.channel.end(Outcome(error, run.end))

    def _record(self, run: RequestRun, error: TanagerkeelError | None) -> None:
        request_id = run.request.request_id
        code = error.result.code if error is not None else "ok"
        self._context.metrics.results.labels(code).inc()
        words = FINISHED if error is None else f"{error} (ran: {error.ran.value})"
        self._context.explanations.note(
            request_id,
            f"{words} after {len(run.attempts)} attempts and {run.tokens} tokens",
        )
        log(
            _event_of(error),
            request_id=request_id,
            code=code,
            attempts=len(run.attempts),
            tokens=run.tokens,
        )


def _event_of(error: TanagerkeelError | None) -> LogEvent:
    if error is None:
        return LogEvent.REQUEST_FINISHED
    if error.result is ResultCode.CALLER_GONE:
        return LogEvent.CALLER_GONE
    if error.ran is Ran.NO:
        return LogEvent.REQUEST_REFUSED
    return LogEvent.REQUEST_FAILED

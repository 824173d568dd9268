"""State of a model request in progress: its attempts and the answer so far."""

import asyncio
import enum

import attrs

from tanagerkeel.admission import Lane, Ticket
from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.requests import (
    AnswerChunk,
    AnswerEnd,
    AttemptRecord,
    AttemptState,
    ModelRequest,
    TokenChunk,
    ran_of,
)

__all__ = ["AnswerChannel", "RequestOutcome", "RequestRun", "Stage"]

# Chunks buffered for a slow caller before reading from the engine pauses.
MAX_BUFFERED_CHUNKS = 64


class Stage(enum.StrEnum):
    """Stage of a request; its text is part of the detail of a deadline error."""

    QUEUE = "in the fair queue"
    PLACEMENT = "waiting for a backend server"
    FIRST_TOKEN = "before the first token"
    STREAM = "in the middle of the answer"
    BACKOFF = "waiting to try again"


@attrs.frozen
class RequestOutcome:
    """
    How a request ended.

    :param error: why it failed; None when its answer is complete.
    :param end: the last chunk of a complete answer.
    """

    error: TanagerkeelError | None = None
    end: AnswerEnd | None = None


@attrs.define
class AnswerChannel:
    """Passes chunks, then the outcome, from the request's task to its caller."""

    _items: "asyncio.Queue[AnswerChunk | RequestOutcome]" = attrs.field(
        factory=asyncio.Queue
    )
    _slots: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(MAX_BUFFERED_CHUNKS)
    )

    async def put(self, chunk: AnswerChunk) -> None:
        """Add a chunk; wait while the buffer is full."""
        await self._slots.acquire()
        self._items.put_nowait(chunk)

    def put_outcome(self, outcome: RequestOutcome) -> None:
        """Add the outcome, also while the buffer is full."""
        self._items.put_nowait(outcome)

    async def get(self) -> AnswerChunk | RequestOutcome:
        """Return the next chunk, or the outcome after the last one."""
        item = await self._items.get()
        if not isinstance(item, RequestOutcome):
            self._slots.release()
        return item


@attrs.define
class RequestRun:
    """
    State of one request in progress; only the request's task changes it.

    :param request: the request to answer.
    :param channel: passes the answer to the caller.
    :param stage: the current stage.
    :param ticket: the request's place in admission; None until it is enqueued.
    :param attempts: all attempts so far, in order.
    :param failed_backends: names of backend servers that failed or refused the
        request; the next attempt avoids them, unless no other server is left.
    :param unconnected_attempts: number of attempts that established no connection.
    :param emitted_tokens: number of tokens passed to the channel.
    :param emitted_texts: texts of the chunks passed to the channel.
    :param last_token_s: monotonic time of the last token, in seconds.
    :param end: the end of the answer as the engine sent it; the caller gets it with
        the outcome.
    :param traceparent: W3C trace context of the request's span.
    """

    request: ModelRequest
    channel: AnswerChannel
    stage: Stage = Stage.QUEUE
    ticket: Ticket | None = None
    attempts: list[AttemptRecord] = attrs.field(factory=list)
    failed_backends: set[str] = attrs.field(factory=set)
    unconnected_attempts: int = 0
    emitted_tokens: int = 0
    emitted_texts: list[str] = attrs.field(factory=list)
    last_token_s: float | None = None
    end: AnswerEnd | None = None
    traceparent: str = ""

    @property
    def lane(self) -> Lane:
        """The queue of requests of the same model and length class."""
        return Lane(self.request.model, self.request.length_class)

    @property
    def emitted_text(self) -> str:
        """The part of the answer that was passed to the channel."""
        return "".join(self.emitted_texts)

    @property
    def ran(self) -> Ran:
        """Whether the request's work was executed, as far as this node knows."""
        return ran_of(self.attempts)

    def remaining_s(self, now: float) -> float:
        """Return the time until the deadline, in seconds."""
        return self.request.deadline_s - now

    def new_attempt(self, backend: str) -> AttemptRecord:
        """Add an attempt on the backend server of this name, and return it."""
        attempt = AttemptRecord(backend)
        self.attempts.append(attempt)
        return attempt

    def error(
        self, result: ResultCode, detail: str = "", retry_after_s: float | None = None
    ) -> TanagerkeelError:
        """Return an error for the caller, with whether the work was executed."""
        return TanagerkeelError(result, detail, self.ran, retry_after_s)

    async def emit(self, chunk: AnswerChunk) -> None:
        """Pass a verified chunk to the channel; an ``AnswerEnd`` is kept in ``end``."""
        match chunk:
            case TokenChunk(text=text, tokens=tokens):
                self.emitted_tokens += tokens
                self.emitted_texts.append(text)
                await self.channel.put(chunk)
            case AnswerEnd():
                self.end = chunk

    def fail_open_attempts(self) -> None:
        """Mark attempts that were interrupted as failed."""
        for attempt in self.attempts:
            if attempt.state in (AttemptState.SENT, AttemptState.ACCEPTED):
                attempt.transition_to(AttemptState.FAILED)

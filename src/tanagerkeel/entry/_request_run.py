"""One model request on its way: what was tried and what the caller has."""

import asyncio
import enum

import attrs

from tanagerkeel.admission import Lane, Ticket
from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.requests import (
    AnswerChunk,
    AnswerEnd,
    Attempt,
    AttemptState,
    ModelRequest,
    TokenChunk,
    ran_of,
)

__all__ = ["AnswerChannel", "Outcome", "RequestRun", "Stage"]

# Chunks that a slow caller lets pile up before the engine's stream is held.
CHANNEL_CHUNKS = 64


class Stage(enum.StrEnum):
    """Where a request is on its way."""

    QUEUE = "in the fair queue"
    PLACEMENT = "waiting for a backend server"
    FIRST_TOKEN = "before the first token"
    STREAM = "in the middle of the answer"
    BACKOFF = "waiting to try again"


@attrs.frozen
class Outcome:
    """
    How a request ended.

    :param error: why it failed; None when its answer is whole.
    :param end: the last chunk of a whole answer.
    """

    error: TanagerkeelError | None = None
    end: AnswerEnd | None = None


@attrs.define
class AnswerChannel:
    """Chunks and then the outcome, from the request's task to its caller."""

    _items: "asyncio.Queue[AnswerChunk | Outcome]" = attrs.field(factory=asyncio.Queue)
    _slots: asyncio.Semaphore = attrs.field(
        factory=lambda: asyncio.Semaphore(CHANNEL_CHUNKS)
    )

    async def put(self, chunk: AnswerChunk) -> None:
        """Add a chunk; waits while the caller is behind."""
        await self._slots.acquire()
        self._items.put_nowait(chunk)

    def end(self, outcome: Outcome) -> None:
        """Add the outcome, also when the caller is behind."""
        self._items.put_nowait(outcome)

    async def get(self) -> AnswerChunk | Outcome:
        """Return the next chunk, or the outcome after the last one."""
        item = await self._items.get()
        if not isinstance(item, Outcome):
            self._slots.release()
        return item


@attrs.define
class RequestRun:
    """
    The progress of one request; owned by the request's task.

    :param request: the request.
    :param channel: where its answer goes.
    """

    request: ModelRequest
    channel: AnswerChannel
    stage: Stage = Stage.QUEUE
    ticket: Ticket | None = None
    attempts: list[Attempt] = attrs.field(factory=list)
    # Backend servers that failed or refused the request.
    failed: set[str] = attrs.field(factory=set)
    # Attempts that found no connection.
    unconnected: int = 0
    tokens: int = 0
    texts: list[str] = attrs.field(factory=list)
    last_token_s: float | None = None
    # The engine's word that the answer is whole; the caller gets it last of all.
    end: AnswerEnd | None = None
    traceparent: str = ""

    @property
    def lane(self) -> Lane:
        """The requests that it competes with."""
        return Lane(self.request.model, self.request.length_class)

    @property
    def text(self) -> str:
        """The part of the answer that the caller was given."""
        return "".join(self.texts)

    @property
    def ran(self) -> Ran:
        """Whether its work ran, as far as is known."""
        return ran_of(self.attempts)

    def remaining_s(self, now: float) -> float:
        """Return the time until the deadline, in seconds."""
        return self.request.deadline_s - now

    def new_attempt(self, backend: str) -> Attempt:
        """Return a new attempt on a backend server."""
        attempt = Attempt(backend)
        self.attempts.append(attempt)
        return attempt

    def error(
        self, result: ResultCode, detail: str = "", retry_after_s: float | None = None
    ) -> TanagerkeelError:
        """Return an error that says truly whether the work ran."""
        return TanagerkeelError(result, detail, self.ran, retry_after_s)

    async def emit(self, chunk: AnswerChunk) -> None:
        """Pass a verified chunk on to the caller."""
        match chunk:
            case TokenChunk(text=text, tokens=tokens):
                self.tokens += tokens
                self.texts.append(text)
                await self.channel.put(chunk)
            case AnswerEnd():
                self.end = chunk

    def settle(self) -> None:
        """Move attempts that were cut off to their last state."""
        for attempt in self.attempts:
            if attempt.state in (AttemptState.SENT, AttemptState.ACCEPTED):
                attempt.transition_to(AttemptState.FAILED)

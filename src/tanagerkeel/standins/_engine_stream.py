"""One answer of a stand-in engine, streamed with the faults in force."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable, Iterator
from typing import TYPE_CHECKING

import attrs

from tanagerkeel.gateways.engines import GenerateCall
from tanagerkeel.requests import AnswerChunk, AnswerEnd, TokenChunk, estimate_tokens
from tanagerkeel.standins._answers import answer_tokens
from tanagerkeel.standins._engine_memory import MemoryAllocation
from tanagerkeel.standins._engine_pace import Pacer

if TYPE_CHECKING:
    from tanagerkeel.standins._engine import EngineStandIn

__all__ = ["EngineDown", "EngineRefusal", "EngineStream"]

OTHER_ATTEMPT_ID = "another-attempt"
# Faults that alter a stream alter its second chunk.
FAULTY_CHUNK_INDEX = 1


@attrs.define(auto_exc=True)
class EngineRefusal(Exception):
    """
    The engine refused a call and did not start the work.

    :param reason: a word such as ``memory``, sent as the body of the reply.
    :param status: HTTP status.
    """

    reason: str
    status: int


class EngineDown(Exception):
    """The engine has crashed and does not answer."""


@attrs.define(eq=False)
class EngineStream:
    """
    The answer to one attempt while it is being generated.

    :param engine: the engine that it runs on.
    :param call: the call that it answers.
    :param allocation: its memory.
    :param earlier_text: text of the earlier segments of a gang.
    :param prefilled_tokens: prompt tokens that were prefilled into its reservation.
    """

    _engine: "EngineStandIn"
    _call: GenerateCall
    _allocation: MemoryAllocation
    _earlier_text: str = ""
    _prefilled_tokens: int = 0
    _sent_texts: list[str] = attrs.field(factory=list)
    _deadline_task: asyncio.Task | None = None
    _in_cache: bool = False
    _finished: bool = False

    @property
    def attempt_id(self) -> str:
        """The id of the attempt."""
        return self._call.attempt_id

    @property
    def is_gang(self) -> bool:
        """Whether other engines hold a part of its prompt."""
        return bool(self._call.gang)

    @property
    def cached_tokens(self) -> int:
        """Tokens of its memory that it shares with the prefix cache."""
        return estimate_tokens(self._call.prompt) if self._in_cache else 0

    @property
    def account(self) -> str:
        """The client account."""
        return self._call.account

    @property
    def request_id(self) -> str:
        """The id of the request."""
        return self._call.request_id

    @property
    def text(self) -> str:
        """The prompt and the answer so far."""
        return self._call.prompt + self._call.resume_text + "".join(self._sent_texts)

    def start_deadline_timer(self) -> None:
        """Abort the stream at its deadline, even when its caller does not read it."""
        self._deadline_task = asyncio.create_task(self._abort_at_deadline())

    def close(self) -> None:
        """End the stream and free its memory; further calls have no effect."""
        if self._deadline_task is not None:
            self._deadline_task.cancel()
            self._deadline_task = None
        self._engine.record_end(self, self._finished)

    async def chunks(self) -> AsyncIterator[AnswerChunk]:
        """
        Prefill the prompt, then yield the answer at the engine's decode rate.

        :raises EngineDown: when the engine crashes.
        """
        call = self._call
        await self._prefill()
        pacer = Pacer(self._engine.clock)
        answer = answer_tokens(
            self._earlier_text + call.prompt, call.max_tokens, call.resume_tokens
        )
        token_index = call.resume_tokens
        size = self._engine.profile.chunk_tokens
        for chunk_index, batch in enumerate(_batches(answer, size)):
            await self._engine.wait_while_paused()
            self._engine.crash_if_due(token_index - call.resume_tokens)
            text = "".join(batch)
            self._sent_texts.append(text)
            chunk = TokenChunk(call.attempt_id, token_index, text, len(batch))
            token_index += len(batch)
            for sent in await self._apply_chunk_faults(chunk_index, chunk):
                yield sent
            await pacer.wait(len(batch) / self._engine.decode_rate)
        self._engine.crash_if_due(token_index - call.resume_tokens)
        self._finished = True
        if not self._engine.consume_fault("cut_short"):
            yield AnswerEnd(call.attempt_id, call.max_tokens, "length")
        self._engine.crash_if_due_at_end()

    async def _prefill(self) -> None:
        call = self._call
        engine = self._engine
        text = call.prompt + call.resume_text
        cached = self._prefilled_tokens
        if not self.is_gang:
            cached = max(cached, engine.cache.match(call.account, text))
        await engine.prefill(estimate_tokens(text) - cached, call.priority)
        engine.crash_if_poisoned(self._earlier_text + call.prompt)
        if not self.is_gang:
            self._in_cache = True
            engine.store(call.account, call.prompt)

    async def _apply_chunk_faults(
        self, chunk_index: int, chunk: TokenChunk
    ) -> tuple[TokenChunk, ...]:
        engine = self._engine
        if chunk_index and engine.faults.late_ms:
            await engine.clock.sleep(engine.faults.late_ms / 1_000)
        if chunk_index != FAULTY_CHUNK_INDEX:
            return (chunk,)
        if engine.consume_fault("crossed_answers"):
            return (attrs.evolve(chunk, attempt_id=OTHER_ATTEMPT_ID),)
        if engine.consume_fault("gaps"):
            return ()
        if engine.consume_fault("repeats"):
            return (chunk, chunk)
        return (chunk,)

    async def _abort_at_deadline(self) -> None:
        clock = self._engine.clock
        await clock.sleep(max(0.0, self._allocation.deadline_s - clock.monotonic()))
        # Looking it up frees what has expired, which aborts the connection.
        self._engine.memory.find(self.attempt_id)


def _batches(tokens: Iterator[str], size: int) -> Iterator[list[str]]:
    def take() -> list[str]:
        return list(itertools.islice(tokens, size))

    next_batch: Callable[[], list[str]] = take
    return iter(next_batch, [])

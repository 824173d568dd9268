"""One answer of a stand-in engine, with the faults that strike it."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable, Iterator
from typing import TYPE_CHECKING

import attrs

from tanagerkeel.gateways.engines import GenerateCall
from tanagerkeel.requests import AnswerChunk, AnswerEnd, TokenChunk, estimate_tokens
from tanagerkeel.standins._answers import answer_tokens
from tanagerkeel.standins._engine_memory import Holding
from tanagerkeel.standins._engine_pace import Pace

if TYPE_CHECKING:
    from tanagerkeel.standins._engine import EngineStandIn

__all__ = ["EngineDown", "EngineRefusal", "EngineStream"]

OTHER_ATTEMPT = "another-attempt"
TAMPERED_CHUNK = 1


@attrs.define(auto_exc=True)
class EngineRefusal(Exception):
    """
    The engine did not start the work.

    :param reason: a word such as ``memory``.
    :param status: HTTP status.
    """

    reason: str
    status: int


class EngineDown(Exception):
    """The engine has crashed."""


@attrs.define(eq=False)
class EngineStream:
    """
    An answer on its way.

    :param engine: the engine it runs on.
    :param call: what was asked.
    :param holding: its memory.
    :param earlier: text of the earlier segments of a gang.
    :param prefilled_tokens: tokens that its reservation had prefilled before.
    """

    _engine: "EngineStandIn"
    _call: GenerateCall
    _holding: Holding
    _earlier: str = ""
    _prefilled_tokens: int = 0
    _sent: list[str] = attrs.field(factory=list)
    _watch: asyncio.Task | None = None
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
        """Tokens of its memory that stand in the prefix cache too."""
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
        """Prompt and answer so far."""
        return self._call.prompt + self._call.resume_text + "".join(self._sent)

    def watch_deadline(self) -> None:
        """Break the stream off at its deadline, also when nobody reads it."""
        self._watch = asyncio.create_task(self._break_off_late())

    def close(self) -> None:
        """End the stream and free its memory; without effect the second time."""
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        self._engine.end(self, self._finished)

    async def chunks(self) -> AsyncIterator[AnswerChunk]:
        """
        Yield the answer at the engine's pace.

        :raises EngineDown: when the engine crashes.
        """
        call = self._call
        await self._prefill()
        pace = Pace(self._engine.clock)
        answer = answer_tokens(
            self._earlier + call.prompt, call.max_tokens, call.resume_tokens
        )
        index = call.resume_tokens
        size = self._engine.profile.chunk_tokens
        for number, batch in enumerate(_batches(answer, size)):
            await self._engine.gate()
            self._engine.crash_at(index - call.resume_tokens)
            text = "".join(batch)
            self._sent.append(text)
            chunk = TokenChunk(call.attempt_id, index, text, len(batch))
            index += len(batch)
            for sent in await self._tampered(number, chunk):
                yield sent
            await pace.wait(len(batch) / self._engine.decode_rate)
        self._engine.crash_at(index - call.resume_tokens)
        self._finished = True
        if not self._engine.take("cut_short"):
            yield AnswerEnd(call.attempt_id, call.max_tokens, "length")
        self._engine.crash_after_last()

    async def _prefill(self) -> None:
        call = self._call
        engine = self._engine
        text = call.prompt + call.resume_text
        cached = self._prefilled_tokens
        if not self.is_gang:
            cached = max(cached, engine.cache.match(call.account, text))
        await engine.prefill(estimate_tokens(text) - cached, call.priority)
        engine.crash_if_poisoned(self._earlier + call.prompt)
        if not self.is_gang:
            self._in_cache = True
            engine.store(call.account, call.prompt)

    async def _tampered(self, number: int, chunk: TokenChunk) -> tuple[TokenChunk, ...]:
        engine = self._engine
        if number and engine.faults.late_ms:
            await engine.clock.sleep(engine.faults.late_ms / 1_000)
        if number != TAMPERED_CHUNK:
            return (chunk,)
        if engine.take("crossed_answers"):
            return (attrs.evolve(chunk, attempt_id=OTHER_ATTEMPT),)
        if engine.take("gaps"):
            return ()
        if engine.take("repeats"):
            return (chunk, chunk)
        return (chunk,)

    async def _break_off_late(self) -> None:
        clock = self._engine.clock
        await clock.sleep(max(0.0, self._holding.deadline_s - clock.monotonic()))
        # Looking for it lets it lapse, which breaks the connection.
        self._engine.memory.find(self.attempt_id)


def _batches(tokens: Iterator[str], size: int) -> Iterator[list[str]]:
    def take() -> list[str]:
        return list(itertools.islice(tokens, size))

    next_batch: Callable[[], list[str]] = take
    return iter(next_batch, [])

"""The naive baseline: round robin, no groups, no limits, three retries, FIFO."""

import contextlib
import itertools
import uuid
from collections.abc import AsyncIterator, Iterator

import attrs

from tanagerkeel.errors import Ran, ResultCode, TanagerkeelError
from tanagerkeel.gateways.engines import (
    BackendFailed,
    BackendRefused,
    EngineGateway,
    GenerateCall,
)
from tanagerkeel.requests import (
    AnswerChunk,
    ModelRequest,
    StreamMismatch,
    verify_stream,
)

__all__ = ["NaiveRunner"]

RETRIES = 3


@attrs.define
class NaiveRunner:
    """
    Sends each request at once, in order of arrival, to the next engine in turn.

    :param engines: gateway for calls to engines.
    :param addresses: ``IP:PORT`` of each engine.
    """

    _engines: EngineGateway
    _addresses: tuple[str, ...]
    _turns: Iterator[str] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._turns = itertools.cycle(self._addresses)

    async def answer(self, request: ModelRequest) -> AsyncIterator[AnswerChunk]:
        """
        Yield the answer; a stream that fails after its first chunk is not retried.

        :raises TanagerkeelError: BACKEND_FAILED when the request fails for good.
        """
        for tries in range(RETRIES + 1):
            begun = False
            try:
                async with contextlib.aclosing(self._attempt(request)) as chunks:
                    async for chunk in chunks:
                        begun = True
                        yield chunk
                return
            except (BackendFailed, BackendRefused, StreamMismatch) as error:
                if begun or tries == RETRIES:
                    raise TanagerkeelError(
                        ResultCode.BACKEND_FAILED, str(error), Ran.UNKNOWN
                    ) from error

    async def _attempt(self, request: ModelRequest) -> AsyncIterator[AnswerChunk]:
        remaining_s = request.deadline_s - request.received_s
        call = GenerateCall(
            attempt_id=uuid.uuid4().hex,
            request_id=request.request_id,
            owner="naive",
            account=request.account,
            model=request.model,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            remaining_ms=int(remaining_s * 1_000),
        )
        raw = self._engines.generate(next(self._turns), call)
        async with contextlib.aclosing(raw):
            async for chunk in verify_stream(raw, call.attempt_id):
                yield chunk

"""Fixtures that run stand-in engines and call them through the entry's gateway."""

import contextlib

import aiohttp
import attrs

from tanagerkeel.gateways.engines import (
    BackendFailed,
    BackendRefused,
    GenerateCall,
    HttpEngineGateway,
)
from tanagerkeel.requests import StreamMismatch, TokenChunk, verify_stream
from tanagerkeel.standins import EngineProfile, EngineStandIn
from tests.fixtures import serving_standin

FAST_ENGINE = EngineProfile(speed=50.0, restart_s=0.02)
STREAM_FAILURES = (BackendFailed, BackendRefused, StreamMismatch)


def make_call(prompt="When is the next oath date?", **overrides) -> GenerateCall:
    defaults = {
        "attempt_id": "a-1",
        "request_id": "r-1",
        "owner": "node-1",
        "account": "agency-1",
        "model": "petition-summary",
        "prompt": prompt,
        "max_tokens": 8,
        "remaining_ms": 10_000,
    }
    return GenerateCall(**defaults | overrides)


@attrs.frozen
class Received:
    """
    The result of reading a stream.

    :param text: text of the chunks that were received.
    :param tokens: tokens of the answer so far, with those of an earlier attempt.
    :param failure: why the stream ended early, or None.
    """

    text: str
    tokens: int
    failure: Exception | None


async def receive(gateway, address, call) -> Received:
    """Read a stream to its end or failure, and verify its chunks."""
    texts = []
    tokens = call.resume_tokens
    chunks = gateway.generate(address, call)
    try:
        async with contextlib.aclosing(chunks):
            async for chunk in verify_stream(
                chunks, call.attempt_id, call.resume_tokens
            ):
                if isinstance(chunk, TokenChunk):
                    texts.append(chunk.text)
                    tokens += chunk.tokens
    except STREAM_FAILURES as error:
        return Received("".join(texts), tokens, error)
    return Received("".join(texts), tokens, None)


@attrs.frozen
class RunningEngines:
    """Stand-in engines that are running, and a gateway to them."""

    engines: tuple[EngineStandIn, ...]
    addresses: tuple[str, ...]
    gateway: HttpEngineGateway
    client: aiohttp.ClientSession

    @property
    def engine(self) -> EngineStandIn:
        return self.engines[0]

    @property
    def address(self) -> str:
        return self.addresses[0]

    async def receive(self, call, index=0) -> Received:
        return await receive(self.gateway, self.addresses[index], call)


@contextlib.asynccontextmanager
async def running_engines(*profiles, **options):
    """
    Run a stand-in engine for each profile, or one fast engine without any.

    :param options: other arguments of each :class:`EngineStandIn`.
    """
    engines = tuple(EngineStandIn(p, **options) for p in profiles or (FAST_ENGINE,))
    async with contextlib.AsyncExitStack() as stack:
        addresses = [
            await stack.enter_async_context(serving_standin(e)) for e in engines
        ]
        client = await stack.enter_async_context(aiohttp.ClientSession())
        yield RunningEngines(
            engines, tuple(addresses), HttpEngineGateway(client), client
        )

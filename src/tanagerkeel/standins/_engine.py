"""A stand-in for a model engine."""

import asyncio
import contextlib
import uuid
from collections.abc import AsyncIterator, Callable, Iterator

import attrs

from tanagerkeel.clock import Clock, SystemClock
from tanagerkeel.gateways.callers import CancelOnDisconnect
from tanagerkeel.gateways.engines import (
    CacheEventBatch,
    EngineOrder,
    GenerateCall,
    LoadReport,
    OrderResult,
)
from tanagerkeel.gateways.http_server import HttpServer
from tanagerkeel.requests import AnswerChunk, estimate_tokens
from tanagerkeel.standins._answers import answer_text
from tanagerkeel.standins._engine_cache import PrefixCache
from tanagerkeel.standins._engine_http import make_engine_app
from tanagerkeel.standins._engine_memory import EngineMemory, Holding
from tanagerkeel.standins._engine_orders import EngineOrders
from tanagerkeel.standins._engine_pace import PrefillQueue
from tanagerkeel.standins._engine_profile import EngineProfile
from tanagerkeel.standins._engine_reports import LaggedReports
from tanagerkeel.standins._engine_stream import (
    EngineDown,
    EngineRefusal,
    EngineStream,
)
from tanagerkeel.standins._engine_transfer import fetch_segments
from tanagerkeel.standins._engine_warmth import Warmth
from tanagerkeel.standins._faults import EngineFaults

__all__ = ["EngineStandIn"]

HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
MILLISECONDS = 1_000


def _new_incarnation() -> str:
    return uuid.uuid4().hex


def _nothing() -> None:
    """Stand for a connection that nobody has to break."""


@attrs.define(eq=False)
class EngineStandIn:
    """
    One stand-in engine.

    :param profile: how fast and how large it is.
    :param clock: source of time.
    :param faults: the faults in force.
    """

    profile: EngineProfile = EngineProfile()
    clock: Clock = attrs.field(factory=SystemClock)
    faults: EngineFaults = EngineFaults()
    incarnation: str = attrs.field(factory=_new_incarnation, init=False)
    memory: EngineMemory = attrs.field(init=False)
    cache: PrefixCache = attrs.field(init=False)
    warmth: Warmth = attrs.field(init=False)
    orders: EngineOrders = attrs.field(init=False)
    crashes: int = attrs.field(default=0, init=False)
    prefilled_tokens: int = attrs.field(default=0, init=False)
    _prefills: PrefillQueue = attrs.field(init=False)
    _reports: LaggedReports = attrs.field(init=False)
    _streams: dict[str, EngineStream] = attrs.field(factory=dict, init=False)
    _segments: int = attrs.field(default=0, init=False)
    _down: bool = attrs.field(default=False, init=False)
    _paused_until_s: float = attrs.field(default=0.0, init=False)
    _server: HttpServer | None = attrs.field(default=None, init=False)
    _restart: asyncio.Task | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.memory = EngineMemory(self.clock, self.profile.memory_tokens)
        self.cache = PrefixCache(self.clock)
        self.warmth = Warmth(self.clock, self.profile)
        self.orders = EngineOrders(
            self.clock, self.profile.load_s, EngineOrder(0, self.profile.version)
        )
        self._prefills = PrefillQueue(self.clock, lambda: self.prefill_rate, self.gate)
        self._reports = LaggedReports(self.clock)
        self._apply(self.faults)
        self._record()

    @property
    def running(self) -> int:
        """Requests that run."""
        return len(self._streams) + self._segments

    @property
    def down(self) -> bool:
        """Whether it has crashed and does not serve yet."""
        return self._down

    @property
    def prefill_rate(self) -> float:
        """The present prefill rate of the whole engine, in tokens a second."""
        rate = self.profile.prefill_rate * self.profile.speed
        return rate * self.warmth.share / self.faults.prefill_factor

    @property
    def decode_rate(self) -> float:
        """The present decode rate of one stream, in tokens a second."""
        rate = self.profile.decode_rate * self.profile.speed * self.warmth.share
        crowding = max(1.0, len(self._streams) / self.profile.decode_batch)
        if self._prefills.waiting_tokens:
            rate *= self.profile.decode_in_prefill
        return rate / crowding / self.faults.decode_factor

    def app(self) -> CancelOnDisconnect:
        """Return the ASGI application of the engine's protocol."""
        return CancelOnDisconnect(make_engine_app(self))

    def attach(self, server: HttpServer) -> None:
        """Take in the server that a crash suspends."""
        self._server = server

    async def set_faults(self, faults: EngineFaults) -> None:
        """Replace the faults; a pause begins with it."""
        self._apply(faults)

    def take(self, fault: str) -> bool:
        """Return whether a counted fault strikes now, and count it down."""
        left = getattr(self.faults, fault)
        if left == 0:
            return False
        self.faults = attrs.evolve(self.faults, **{fault: left - 1})
        return True

    def become_cold(self) -> None:
        """Turn cold without a crash."""
        self.warmth.become_cold()
        self._record()

    def crash(self) -> None:
        """Die: break every stream, forget everything, and start again cold."""
        if self._down:
            return
        self._down = True
        self.crashes += 1
        self._prefills.clear()
        self.memory.clear()
        for stream in list(self._streams.values()):
            stream.close()
        self.orders.abort()
        self._restart = asyncio.create_task(self._come_back())

    def crash_at(self, sent_tokens: int) -> None:
        """Crash if the faults say so after so many tokens of a stream."""
        after = self.faults.crash_after_tokens
        if 0 <= after <= sent_tokens and self.take("crashes"):
            self.crash()
        if self._down:
            raise EngineDown

    def crash_after_last(self) -> None:
        """Crash if the faults say so after the final chunk."""
        if self.faults.crash_after_last and self.take("crashes"):
            self.crash()

    def crash_if_poisoned(self, prompt: str) -> None:
        """Crash if a prompt holds the poison marker."""
        marker = self.faults.poison_marker
        if marker and marker in prompt:
            self.crash()
        if self._down:
            raise EngineDown

    async def gate(self) -> None:
        """Wait while the engine is paused."""
        while (left_s := self._paused_until_s - self.clock.monotonic()) > 0:
            await self.clock.sleep(left_s)

    def load(self) -> LoadReport:
        """Return the engine's load report, as old as the faults say."""
        self._record()
        return self._reports.latest(self.faults.load_lag_ms / MILLISECONDS)

    def cache_events(self, after: int) -> CacheEventBatch:
        """Return the cache events that are published by now."""
        return CacheEventBatch(self.incarnation, self.cache.events(after))

    def order(self, order: EngineOrder) -> OrderResult:
        """Obey an order, or refuse it."""
        return self.orders.take(order, self.faults.ignores_fencing)

    async def open(
        self, call: GenerateCall, on_broken: Callable[[], None] = _nothing
    ) -> EngineStream:
        """
        Start an answer.

        :param on_broken: breaks the caller's connection.
        :raises EngineRefusal: when the engine does not start it.
        :raises EngineDown: when it crashes over it.
        """
        earlier = await fetch_segments(call.gang)
        if self.warmth.cold and self.running >= self.profile.cold_limit:
            self.crash()
        if self._down:
            raise EngineDown
        if call.attempt_id in self._streams:
            raise EngineRefusal("duplicate", HTTP_CONFLICT)
        received = answer_text(earlier + call.prompt, call.resume_tokens)
        if call.resume_text != received:
            raise EngineRefusal("resume", HTTP_BAD_REQUEST)
        stream = self._take_memory(call, earlier, on_broken)
        self._streams[call.attempt_id] = stream
        stream.watch_deadline()
        self._record()
        return stream

    async def generate(self, call: GenerateCall) -> AsyncIterator[AnswerChunk]:
        """Yield an answer; raises as :meth:`open` does."""
        stream = await self.open(call)
        try:
            async for chunk in stream.chunks():
                yield chunk
        finally:
            stream.close()

    def stream(self, attempt_id: str) -> EngineStream | None:
        """Return a running answer, or None."""
        return self._streams.get(attempt_id)

    def end(self, stream: EngineStream, finished: bool) -> None:
        """Take in that a stream has ended."""
        if self._streams.get(stream.attempt_id) is not stream:
            return
        del self._streams[stream.attempt_id]
        held = self.memory.find(stream.attempt_id)
        if held is not None:
            # The connection has ended, or goes on for another call.
            held.on_freed = _nothing
        if finished or not self.faults.keeps_memory:
            self.memory.free(stream.attempt_id)
        self._record()

    async def prefill(self, tokens: int, priority: int) -> None:
        """
        Prefill so many tokens.

        :raises EngineDown: when the engine crashes meanwhile.
        """
        incarnation = self.incarnation
        await self._prefills.run(tokens, priority)
        if self._down or incarnation != self.incarnation:
            raise EngineDown
        self.prefilled_tokens += max(0, tokens)
        self.warmth.work(tokens)
        self._record()

    @contextlib.contextmanager
    def segment(self) -> Iterator[None]:
        """Count the prefill of a gang's segment, which is no stream."""
        self._segments += 1
        try:
            yield
        finally:
            self._segments -= 1

    def hold(self, holding: Holding) -> bool:
        """Take memory, evicting cached prefixes; False when there isn't enough."""
        held = self.memory.hold(holding)
        if held:
            self.cache.trim(self._cache_limit())
        return held

    def store(self, account: str, text: str) -> None:
        """Keep the prefix blocks of a text in the cache."""
        self.cache.store(account, text, self._cache_limit())

    def _cache_limit(self) -> int:
        shared = sum(stream.cached_tokens for stream in self._streams.values())
        return self.memory.free_tokens + shared

    def _take_memory(
        self, call: GenerateCall, earlier: str, on_broken: Callable[[], None]
    ) -> EngineStream:
        reserved = self._reservation_of(call)
        needed = estimate_tokens(call.prompt) + call.max_tokens
        held_tokens = reserved.tokens if reserved is not None else 0
        if needed - held_tokens > self.memory.free_tokens:
            raise EngineRefusal("memory", HTTP_UNAVAILABLE)
        prefilled = 0
        if reserved is not None:
            self.memory.free(reserved.allocation_id)
            if reserved.text and call.prompt.startswith(reserved.text):
                prefilled = estimate_tokens(reserved.text)
        deadline_s = self.clock.monotonic() + call.remaining_ms / MILLISECONDS
        holding = Holding(
            allocation_id=call.attempt_id,
            kind="stream",
            owner=call.owner,
            request_id=call.request_id,
            tokens=max(needed, held_tokens),
            deadline_s=deadline_s,
            on_freed=on_broken,
        )
        self.hold(holding)
        return EngineStream(self, call, holding, earlier, prefilled)

    def _reservation_of(self, call: GenerateCall) -> Holding | None:
        if not call.reservation_id:
            return None
        reserved = self.memory.find(call.reservation_id)
        if reserved is None:
            raise EngineRefusal("reservation", HTTP_CONFLICT)
        return reserved

    def _apply(self, faults: EngineFaults) -> None:
        self.faults = faults
        if faults.pause_ms:
            pause_s = faults.pause_ms / MILLISECONDS
            self._paused_until_s = self.clock.monotonic() + pause_s
        self.memory.ignores_deadlines = faults.ignores_deadlines
        self.cache.lag_s = faults.cache_event_lag_ms / MILLISECONDS
        self.cache.loss = faults.cache_event_loss
        self._record()

    def _record(self) -> None:
        loaded = self.orders.loaded
        report = LoadReport(
            incarnation=self.incarnation,
            warm_level=self.warmth.level,
            running=self.running,
            waiting_tokens=self._prefills.waiting_tokens,
            memory_used_tokens=self.memory.used,
            memory_tokens=self.profile.memory_tokens,
            prefill_rate=self.prefill_rate,
            decode_rate=self.decode_rate,
            leaving=self.faults.leaving,
            version=loaded.version,
            adapters=loaded.adapters,
            role=loaded.role,
            fencing=self.orders.fencing,
        )
        self._reports.record(report, self.faults.load_lag_ms / MILLISECONDS)

    async def _come_back(self) -> None:
        if self._server is not None:
            await self._server.suspend()
        await self.clock.sleep(self.profile.restart_s)
        self.incarnation = _new_incarnation()
        self.cache = PrefixCache(self.clock, hit_tokens=self.cache.hit_tokens)
        self.warmth.become_cold()
        self._reports.clear()
        self._down = False
        self._apply(self.faults)
        if self._server is not None:
            await self._server.resume()

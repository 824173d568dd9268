"""The stand-in for a model engine: its state, streams and crashes."""

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
from tanagerkeel.standins._engine_memory import EngineMemory, MemoryAllocation
from tanagerkeel.standins._engine_orders import EngineOrders
from tanagerkeel.standins._engine_pace import PrefillQueue
from tanagerkeel.standins._engine_profile import EngineProfile
from tanagerkeel.standins._engine_reports import LaggedReports
from tanagerkeel.standins._engine_stream import (
    EngineDown,
    EngineRefusal,
    EngineStream,
)
from tanagerkeel.standins._engine_transfer import fetch_earlier_text
from tanagerkeel.standins._engine_warmth import Warmth
from tanagerkeel.standins._faults import EngineFaults

__all__ = ["EngineStandIn"]

HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503
MS_PER_S = 1_000


def _new_incarnation() -> str:
    return uuid.uuid4().hex


def _no_op() -> None:
    """Do nothing; for a stream without a connection to abort."""


@attrs.define(eq=False)
class EngineStandIn:
    """
    One stand-in engine.

    :param profile: its rates and limits.
    :param clock: source of time.
    :param faults: the faults in force; :meth:`set_faults` replaces them.
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
    _running_segments: int = attrs.field(default=0, init=False)
    _down: bool = attrs.field(default=False, init=False)
    _paused_until_s: float = attrs.field(default=0.0, init=False)
    _server: HttpServer | None = attrs.field(default=None, init=False)
    _restart_task: asyncio.Task | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.memory = EngineMemory(self.clock, self.profile.memory_tokens)
        self.cache = PrefixCache(self.clock)
        self.warmth = Warmth(self.clock, self.profile)
        self.orders = EngineOrders(
            self.clock, self.profile.load_s, EngineOrder(0, self.profile.version)
        )
        self._prefills = PrefillQueue(
            self.clock, lambda: self.prefill_rate, self.wait_while_paused
        )
        self._reports = LaggedReports(self.clock)
        self._apply_faults(self.faults)
        self._record_load()

    @property
    def running(self) -> int:
        """Number of streams and of gang segments that run."""
        return len(self._streams) + self._running_segments

    @property
    def down(self) -> bool:
        """Whether it has crashed and has not restarted yet."""
        return self._down

    @property
    def prefill_rate(self) -> float:
        """The current prefill rate of the whole engine, in tokens a second."""
        rate = self.profile.prefill_rate * self.profile.speed
        return rate * self.warmth.rate_factor / self.faults.prefill_factor

    @property
    def decode_rate(self) -> float:
        """The current decode rate of one stream, in tokens a second."""
        rate = self.profile.decode_rate * self.profile.speed * self.warmth.rate_factor
        slowdown = max(1.0, len(self._streams) / self.profile.decode_batch)
        if self._prefills.waiting_tokens:
            rate *= self.profile.decode_in_prefill
        return rate / slowdown / self.faults.decode_factor

    def app(self) -> CancelOnDisconnect:
        """Return the ASGI application that serves the engine's protocol."""
        return CancelOnDisconnect(make_engine_app(self))

    def attach_server(self, server: HttpServer) -> None:
        """Set the server that a crash suspends."""
        self._server = server

    async def set_faults(self, faults: EngineFaults) -> None:
        """Replace the faults; a pause (``pause_ms``) starts with this call."""
        self._apply_faults(faults)

    def consume_fault(self, fault: str) -> bool:
        """
        Return whether a fault with a count occurs now, and decrement its count.

        :param fault: name of a field of :class:`EngineFaults`.
        """
        left = getattr(self.faults, fault)
        if left == 0:
            return False
        self.faults = attrs.evolve(self.faults, **{fault: left - 1})
        return True

    def become_cold(self) -> None:
        """Become cold without a crash."""
        self.warmth.become_cold()
        self._record_load()

    def crash(self) -> None:
        """
        Abort every stream and free all memory, then restart cold.

        The restart takes ``restart_s`` and begins with an empty prefix cache.
        """
        if self._down:
            return
        self._down = True
        self.crashes += 1
        self._prefills.clear()
        self.memory.clear()
        for stream in list(self._streams.values()):
            stream.close()
        self.orders.abort()
        self._restart_task = asyncio.create_task(self._restart_cold())

    def crash_if_due(self, sent_tokens: int) -> None:
        """
        Crash if the faults set a crash after this many tokens of a stream.

        :raises EngineDown: when the engine has crashed, now or before.
        """
        after = self.faults.crash_after_tokens
        if 0 <= after <= sent_tokens and self.consume_fault("crashes"):
            self.crash()
        if self._down:
            raise EngineDown

    def crash_if_due_at_end(self) -> None:
        """Crash if the faults set a crash after the final chunk of a stream."""
        if self.faults.crash_after_last and self.consume_fault("crashes"):
            self.crash()

    def crash_if_poisoned(self, prompt: str) -> None:
        """
        Crash if a prompt contains the poison marker.

        :raises EngineDown: when the engine has crashed, now or before.
        """
        marker = self.faults.poison_marker
        if marker and marker in prompt:
            self.crash()
        if self._down:
            raise EngineDown

    async def wait_while_paused(self) -> None:
        """Wait while the engine is paused."""
        while (left_s := self._paused_until_s - self.clock.monotonic()) > 0:
            await self.clock.sleep(left_s)

    def load_report(self) -> LoadReport:
        """Return a load report delayed by the fault ``load_lag_ms``."""
        self._record_load()
        return self._reports.latest(self.faults.load_lag_ms / MS_PER_S)

    def cache_events(self, after: int) -> CacheEventBatch:
        """Return the visible cache events with a sequence above ``after``."""
        return CacheEventBatch(self.incarnation, self.cache.events(after))

    def handle_order(self, order: EngineOrder) -> OrderResult:
        """Accept an order, or refuse it because of its fencing number."""
        return self.orders.handle(order, self.faults.ignores_fencing)

    async def start_stream(
        self, call: GenerateCall, abort: Callable[[], None] = _no_op
    ) -> EngineStream:
        """
        Start the stream of an answer.

        :param abort: aborts the caller's connection.
        :raises EngineRefusal: when the engine refuses to start it.
        :raises EngineDown: when the engine is down or crashes because of it.
        """
        earlier_text = await fetch_earlier_text(call.gang)
        if self.warmth.is_cold and self.running >= self.profile.cold_limit:
            self.crash()
        if self._down:
            raise EngineDown
        if call.attempt_id in self._streams:
            raise EngineRefusal("duplicate", HTTP_CONFLICT)
        expected_text = answer_text(earlier_text + call.prompt, call.resume_tokens)
        if call.resume_text != expected_text:
            raise EngineRefusal("resume", HTTP_BAD_REQUEST)
        stream = self._allocate_stream(call, earlier_text, abort)
        self._streams[call.attempt_id] = stream
        stream.start_deadline_timer()
        self._record_load()
        return stream

    async def generate(self, call: GenerateCall) -> AsyncIterator[AnswerChunk]:
        """Yield the chunks of an answer; raises as :meth:`start_stream` does."""
        stream = await self.start_stream(call)
        try:
            async for chunk in stream.chunks():
                yield chunk
        finally:
            stream.close()

    def find_stream(self, attempt_id: str) -> EngineStream | None:
        """Return the running stream of an attempt, or None."""
        return self._streams.get(attempt_id)

    def record_end(self, stream: EngineStream, finished: bool) -> None:
        """
        Remove a stream that has ended, and free its memory.

        :param finished: whether all tokens were generated; otherwise the fault
            ``keeps_memory`` applies.
        """
        if self._streams.get(stream.attempt_id) is not stream:
            return
        del self._streams[stream.attempt_id]
        allocation = self.memory.find(stream.attempt_id)
        if allocation is not None:
            # The connection is closed already, or is reused for another call.
            allocation.on_freed = _no_op
        if finished or not self.faults.keeps_memory:
            self.memory.free(stream.attempt_id)
        self._record_load()

    async def prefill(self, tokens: int, priority: int) -> None:
        """
        Wait until this many tokens have been prefilled.

        :param priority: lower runs first.
        :raises EngineDown: when the engine crashes in the meantime.
        """
        incarnation = self.incarnation
        await self._prefills.run(tokens, priority)
        if self._down or incarnation != self.incarnation:
            raise EngineDown
        self.prefilled_tokens += max(0, tokens)
        self.warmth.record_prefill(tokens)
        self._record_load()

    @contextlib.contextmanager
    def running_segment(self) -> Iterator[None]:
        """Count a gang segment as running during its prefill; it has no stream."""
        self._running_segments += 1
        try:
            yield
        finally:
            self._running_segments -= 1

    def allocate(self, allocation: MemoryAllocation) -> bool:
        """Allocate memory, evicting cached prefixes; False when it doesn't fit."""
        allocated = self.memory.allocate(allocation)
        if allocated:
            self.cache.trim(self._cache_limit())
        return allocated

    def store(self, account: str, text: str) -> None:
        """Store the prefix blocks of a text in the cache."""
        self.cache.store(account, text, self._cache_limit())

    def _cache_limit(self) -> int:
        shared = sum(stream.cached_tokens for stream in self._streams.values())
        return self.memory.free_tokens + shared

    def _allocate_stream(
        self, call: GenerateCall, earlier_text: str, abort: Callable[[], None]
    ) -> EngineStream:
        reserved = self._find_reservation(call)
        needed = estimate_tokens(call.prompt) + call.max_tokens
        reserved_tokens = reserved.tokens if reserved is not None else 0
        if needed - reserved_tokens > self.memory.free_tokens:
            raise EngineRefusal("memory", HTTP_UNAVAILABLE)
        prefilled = 0
        if reserved is not None:
            self.memory.free(reserved.allocation_id)
            if reserved.text and call.prompt.startswith(reserved.text):
                prefilled = estimate_tokens(reserved.text)
        deadline_s = self.clock.monotonic() + call.remaining_ms / MS_PER_S
        allocation = MemoryAllocation(
            allocation_id=call.attempt_id,
            kind="stream",
            owner=call.owner,
            request_id=call.request_id,
            tokens=max(needed, reserved_tokens),
            deadline_s=deadline_s,
            on_freed=abort,
        )
        self.allocate(allocation)
        return EngineStream(self, call, allocation, earlier_text, prefilled)

    def _find_reservation(self, call: GenerateCall) -> MemoryAllocation | None:
        if not call.reservation_id:
            return None
        reserved = self.memory.find(call.reservation_id)
        if reserved is None:
            raise EngineRefusal("reservation", HTTP_CONFLICT)
        return reserved

    def _apply_faults(self, faults: EngineFaults) -> None:
        self.faults = faults
        if faults.pause_ms:
            pause_s = faults.pause_ms / MS_PER_S
            self._paused_until_s = self.clock.monotonic() + pause_s
        self.memory.ignores_deadlines = faults.ignores_deadlines
        self.cache.lag_s = faults.cache_event_lag_ms / MS_PER_S
        self.cache.loss_interval = faults.cache_event_loss
        self._record_load()

    def _record_load(self) -> None:
        loaded = self.orders.loaded
        report = LoadReport(
            incarnation=self.incarnation,
            warm_level=self.warmth.level,
            running=self.running,
            waiting_tokens=self._prefills.waiting_tokens,
            memory_used_tokens=self.memory.used_tokens,
            memory_tokens=self.profile.memory_tokens,
            prefill_rate=self.prefill_rate,
            decode_rate=self.decode_rate,
            leaving=self.faults.leaving,
            version=loaded.version,
            adapters=loaded.adapters,
            role=loaded.role,
            fencing=self.orders.fencing,
        )
        self._reports.record(report, self.faults.load_lag_ms / MS_PER_S)

    async def _restart_cold(self) -> None:
        if self._server is not None:
            await self._server.suspend()
        await self.clock.sleep(self.profile.restart_s)
        self.incarnation = _new_incarnation()
        self.cache = PrefixCache(self.clock, hit_tokens=self.cache.hit_tokens)
        self.warmth.become_cold()
        self._reports.clear()
        self._down = False
        self._apply_faults(self.faults)
        if self._server is not None:
            await self._server.resume()

"""Spread requests that brought down backend servers to the other nodes."""

import asyncio
import collections
import math
from collections.abc import Callable

import attrs

from tanagerkeel import codec
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._observations import MESSAGE_OVERHEAD_BYTES, ByteBudget
from tanagerkeel.membership import SuspectRequest, SuspectRequestUpdate
from tanagerkeel.quarantine import QuarantineEntry

__all__ = ["NewsTask"]

TURN_S = 0.5
SUSPECTS_IN_MESSAGE = 8
NEWS_BYTES_PER_S = 150.0
NEWS_BURST_BYTES = 12_000.0
QUEUE_MESSAGES = 64
MAX_WAITING = 256


@attrs.frozen
class _Waiting:
    suspect: SuspectRequest
    is_ours: bool


@attrs.define
class NewsTask:
    """
    Tells the nodes of this failure domain, and through summaries all others.

    :param context: the node's gateways and state.
    :param tell_domains: takes what the other failure domains are to learn.
    """

    _context: NodeContext
    _tell_domains: Callable[[SuspectRequest], None]
    _inbox: asyncio.Queue = attrs.field(factory=lambda: asyncio.Queue(QUEUE_MESSAGES))
    _waiting: "collections.deque[_Waiting]" = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_WAITING)
    )
    _budget: ByteBudget = attrs.field(
        factory=lambda: ByteBudget(NEWS_BYTES_PER_S, NEWS_BURST_BYTES)
    )

    _fresh: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self._context.bus.subscribe(SuspectRequestUpdate, self._inbox)
        self._context.quarantine.set_listener(self._fresh.set)

    async def run(self) -> None:
        """Tell and learn until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._tell_all())
            group.create_task(self._learn_all())

    def learn_remotely(self, suspect: SuspectRequest) -> None:
        """Take in a suspect of another failure domain, and tell it here."""
        self._learn(suspect)
        self._waiting.append(_Waiting(suspect, is_ours=False))

    async def _tell_all(self) -> None:
        context = self._context
        while True:
            # A caller sends its request again at once, and to another node.
            await self._turn_or_news()
            now = context.clock.monotonic()
            for entry in context.quarantine.take_updates(now):
                suspect = SuspectRequest(
                    entry.fingerprint, math.ceil(entry.remaining_s), entry.death_hashes
                )
                self._waiting.append(_Waiting(suspect, is_ours=True))
                self._tell_domains(suspect)
            if self._waiting and self._budget.is_open(now):
                await self._tell()

    async def _turn_or_news(self) -> None:
        turn = asyncio.ensure_future(self._context.clock.sleep(TURN_S))
        news = asyncio.ensure_future(self._fresh.wait())
        try:
            await asyncio.wait((turn, news), return_when=asyncio.FIRST_COMPLETED)
        finally:
            turn.cancel()
            news.cancel()
        self._fresh.clear()

    async def _tell(self) -> None:
        count = min(len(self._waiting), SUSPECTS_IN_MESSAGE)
        told = [self._waiting.popleft() for _ in range(count)]
        news = SuspectRequestUpdate(
            tuple(w.suspect for w in told if w.is_ours),
            tuple(w.suspect for w in told if not w.is_ours),
        )
        own = self._context.members.own
        others = [n for n in self._context.members.view.nodes if n != own]
        size = MESSAGE_OVERHEAD_BYTES + len(codec.pack_compact(news))
        self._budget.spend(size * len(others))
        for node in others:
            await self._context.bus.send(node.peers_address, news)

    async def _learn_all(self) -> None:
        while True:
            received = await self._inbox.get()
            news = received.message
            for suspect in news.suspects + news.remote:
                self._learn(suspect)
            for suspect in news.suspects:
                # Whichever node sends summaries to a failure domain has it ready.
                self._tell_domains(suspect)

    def _learn(self, suspect: SuspectRequest) -> None:
        entry = QuarantineEntry(
            suspect.fingerprint, float(suspect.remaining_s), suspect.death_hashes
        )
        self._context.quarantine.merge(entry, self._context.clock.monotonic())

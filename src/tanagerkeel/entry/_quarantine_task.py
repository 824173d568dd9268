"""Replicates the quarantine of requests that crash backend servers to other nodes."""

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

__all__ = ["QuarantineTask"]

LOOP_INTERVAL_S = 0.5
MAX_SUSPECTS_PER_MESSAGE = 8
# Token bucket for the bytes of updates, counted over all receivers.
UPDATE_BYTES_PER_S = 150.0
UPDATE_BURST_BYTES = 12_000.0
MAX_QUEUED_MESSAGES = 64
MAX_QUEUED_SUSPECTS = 256


@attrs.frozen
class _QueuedSuspect:
    """
    A suspect request to send to the other nodes of this failure domain.

    :param is_local: whether this node found it; otherwise it came in a summary of
        another failure domain.
    """

    suspect: SuspectRequest
    is_local: bool


@attrs.define
class QuarantineTask:
    """
    Exchanges suspect requests with other nodes.

    Nodes of this failure domain get them in messages of their own, other failure
    domains in the summaries that failure domains send each other.

    :param context: the node's gateways and state.
    :param notify_domains: called with each suspect request that the next summaries
        for other failure domains must include.
    """

    _context: NodeContext
    _notify_domains: Callable[[SuspectRequest], None]
    _inbox: asyncio.Queue = attrs.field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_MESSAGES)
    )
    _outbox: "collections.deque[_QueuedSuspect]" = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_QUEUED_SUSPECTS)
    )
    _budget: ByteBudget = attrs.field(
        factory=lambda: ByteBudget(UPDATE_BYTES_PER_S, UPDATE_BURST_BYTES)
    )

    _updated: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self._context.bus.subscribe(SuspectRequestUpdate, self._inbox)
        self._context.quarantine.set_listener(self._updated.set)

    async def run(self) -> None:
        """Send and receive updates until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_updates())
            group.create_task(self._receive_updates())

    def merge_remote(self, suspect: SuspectRequest) -> None:
        """Merge a suspect of another failure domain, and pass it on in this one."""
        self._merge(suspect)
        self._outbox.append(_QueuedSuspect(suspect, is_local=False))

    async def _send_updates(self) -> None:
        context = self._context
        while True:
            # A new suspect is not held until the interval ends: callers retry a failed
            # request at once, and the retry may reach another node.
            await self._wait_for_update()
            now = context.clock.monotonic()
            for entry in context.quarantine.take_updates(now):
                suspect = SuspectRequest(
                    entry.fingerprint, math.ceil(entry.remaining_s), entry.death_hashes
                )
                self._outbox.append(_QueuedSuspect(suspect, is_local=True))
                self._notify_domains(suspect)
            if self._outbox and self._budget.may_send(now):
                await self._broadcast()

    async def _wait_for_update(self) -> None:
        interval = asyncio.ensure_future(self._context.clock.sleep(LOOP_INTERVAL_S))
        update = asyncio.ensure_future(self._updated.wait())
        try:
            await asyncio.wait((interval, update), return_when=asyncio.FIRST_COMPLETED)
        finally:
            interval.cancel()
            update.cancel()
        self._updated.clear()

    async def _broadcast(self) -> None:
        count = min(len(self._outbox), MAX_SUSPECTS_PER_MESSAGE)
        sent = [self._outbox.popleft() for _ in range(count)]
        update = SuspectRequestUpdate(
            tuple(item.suspect for item in sent if item.is_local),
            tuple(item.suspect for item in sent if not item.is_local),
        )
        own = self._context.members.own
        others = [n for n in self._context.members.view.nodes if n != own]
        size = MESSAGE_OVERHEAD_BYTES + len(codec.pack_compact(update))
        self._budget.spend(size * len(others))
        for node in others:
            await self._context.bus.send(node.peers_address, update)

    async def _receive_updates(self) -> None:
        while True:
            received = await self._inbox.get()
            update = received.message
            for suspect in update.suspects + update.remote:
                self._merge(suspect)
            for suspect in update.suspects:
                # The node that sends summaries to another failure domain may be
                # any node of this one.
                self._notify_domains(suspect)

    def _merge(self, suspect: SuspectRequest) -> None:
        entry = QuarantineEntry(
            suspect.fingerprint, float(suspect.remaining_s), suspect.death_hashes
        )
        self._context.quarantine.merge(entry, self._context.clock.monotonic())

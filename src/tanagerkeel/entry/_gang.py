"""Run a prompt that is longer than one engine on several of them."""

import asyncio
import contextlib
import uuid
from collections.abc import AsyncIterator

import attrs

from tanagerkeel.background import Background
from tanagerkeel.backoff import full_jitter_s
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._request_run import RequestRun
from tanagerkeel.gateways.engines import BackendRefused, GangSegment, Reservation
from tanagerkeel.routing import GangPlan, PlannedSegment

__all__ = ["GangMemory", "ReservedSegment"]

# A held reservation outlives its request by this time at most.
TTL_GRACE_S = 2.0
FREE_BOUND_S = 5.0
FREE_TRIES = 3
# How long lower segments are held while the next one has no memory.
HOLD_TRIES = 6
HOLD_BASE_S = 0.05
HOLD_LONGEST_S = 0.5


@attrs.frozen
class ReservedSegment:
    """
    Memory that is held for a segment.

    :param planned: the segment.
    :param reservation_id: id of the reservation.
    """

    planned: PlannedSegment
    reservation_id: str

    @property
    def address(self) -> str:
        """Where the engine is called."""
        return self.planned.snapshot.server.address

    @property
    def segment(self) -> GangSegment:
        """The segment as engines name it to each other."""
        return GangSegment(self.address, self.reservation_id)


@attrs.define
class GangMemory:
    """
    Reserves memory on all engines of a gang, or on none.

    Every node reserves in the order of the engines' names, so that nodes that
    reserve at the same time wait for each other in one direction only.

    :param context: the node's gateways, state and instruments.
    :param background: takes over clean-up.
    """

    _context: NodeContext
    _background: Background

    @contextlib.asynccontextmanager
    async def reserved(
        self, run: RequestRun, plan: GangPlan
    ) -> AsyncIterator[tuple[ReservedSegment, ...]]:
        """
        Hold memory for all segments, in the order of the prompt.

        :raises BackendRefused: when an engine has none.
        :raises BackendFailed: when an engine doesn't answer.
        """
        segments = tuple(ReservedSegment(s, uuid.uuid4().hex) for s in plan.segments)
        asked: list[ReservedSegment] = []
        try:
            for segment in sorted(segments, key=_engine_name):
                # A reservation whose reply was lost must be freed, too.
                asked.append(segment)
                await self._reserve(run, segment)
            yield segments
        finally:
            for segment in asked:
                self._background.start(
                    "free reservation", self._free(segment), FREE_BOUND_S
                )

    async def prefill(
        self, run: RequestRun, segments: tuple[ReservedSegment, ...]
    ) -> None:
        """
        Prefill segments at the same time.

        :raises BackendRefused: when an engine doesn't take its segment.
        :raises BackendFailed: when an engine breaks off.
        """
        tasks = [asyncio.create_task(self._prefill_one(run, s)) for s in segments]
        try:
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _prefill_one(self, run: RequestRun, segment: ReservedSegment) -> None:
        planned = segment.planned
        await self._context.engines.prefill(
            segment.address,
            segment.reservation_id,
            run.request.account,
            run.request.prompt[planned.start : planned.end],
        )

    async def _reserve(self, run: RequestRun, segment: ReservedSegment) -> None:
        clock = self._context.clock
        for tries in range(1, HOLD_TRIES + 1):
            ttl_s = run.remaining_s(clock.monotonic()) + TTL_GRACE_S
            reservation = Reservation(
                reservation_id=segment.reservation_id,
                request_id=run.request.request_id,
                owner=self._context.settings.node_id,
                tokens=segment.planned.tokens,
                ttl_ms=int(ttl_s * 1_000),
            )
            try:
                await self._context.engines.reserve(segment.address, reservation)
                return
            except BackendRefused:
                if tries == HOLD_TRIES:
                    raise
            delay_s = full_jitter_s(
                tries, self._context.random, HOLD_BASE_S, HOLD_LONGEST_S
            )
            await clock.sleep(delay_s)

    async def _free(self, segment: ReservedSegment) -> None:
        for tries in range(1, FREE_TRIES + 1):
            try:
                await self._context.engines.free(
                    segment.address, segment.reservation_id
                )
                return
            except Exception:  # the time to live is the last resort
                if tries == FREE_TRIES:
                    raise
            await self._context.clock.sleep(full_jitter_s(tries, self._context.random))


def _engine_name(segment: ReservedSegment) -> str:
    return segment.planned.snapshot.server.name

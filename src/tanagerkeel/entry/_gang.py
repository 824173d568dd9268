"""Gangs: several engines that share a prompt too long for one engine's memory."""

import asyncio
import contextlib
import uuid
from collections.abc import AsyncIterator

import attrs

from tanagerkeel.background import BackgroundTasks
from tanagerkeel.backoff import full_jitter_s
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._request_run import RequestRun
from tanagerkeel.gateways.engines import BackendRefused, GangSegment, Reservation
from tanagerkeel.routing import GangPlan, PlannedSegment

__all__ = ["GangMemory", "ReservedSegment"]

# A reservation that is not freed expires this time after the request's deadline.
TTL_GRACE_S = 2.0
FREE_TIMEOUT_S = 5.0
FREE_TRIES = 3
# Tries to reserve on an engine without free memory, and the bounds of the delay between
# them. Reservations made on other engines are held during this time.
RESERVE_TRIES = 6
RESERVE_BACKOFF_BASE_S = 0.05
RESERVE_BACKOFF_MAX_S = 0.5


@attrs.frozen
class ReservedSegment:
    """
    A segment with its reservation of engine memory.

    :param planned: the segment and its engine.
    :param reservation_id: unique id, chosen by this node.
    """

    planned: PlannedSegment
    reservation_id: str

    @property
    def address(self) -> str:
        """Address of the engine."""
        return self.planned.snapshot.server.address

    @property
    def gang_segment(self) -> GangSegment:
        """The segment in the form in which a call refers other engines to it."""
        return GangSegment(self.address, self.reservation_id)


@attrs.define
class GangMemory:
    """
    Reserves memory on all engines of a gang or on none, and prefills the segments.

    Every node reserves in the order of the engines' names, so that nodes that reserve
    at the same time never wait for each other in a cycle.

    :param context: the node's gateways, state and instruments.
    :param background: runs clean-up that outlasts the request.
    """

    _context: NodeContext
    _background: BackgroundTasks

    @contextlib.asynccontextmanager
    async def reserved(
        self, run: RequestRun, plan: GangPlan
    ) -> AsyncIterator[tuple[ReservedSegment, ...]]:
        """
        Hold reservations for all segments; yield them in the order of the prompt.

        :raises BackendRefused: when an engine has no free memory.
        :raises BackendFailed: when a call to an engine fails.
        """
        segments = tuple(ReservedSegment(s, uuid.uuid4().hex) for s in plan.segments)
        requested: list[ReservedSegment] = []
        try:
            for segment in sorted(segments, key=_engine_name):
                # Recorded before the call, as a reservation whose reply is lost must be
                # freed, too.
                requested.append(segment)
                await self._reserve(run, segment)
            yield segments
        finally:
            for segment in requested:
                self._background.start(
                    "free reservation", self._free(segment), FREE_TIMEOUT_S
                )

    async def prefill(
        self, run: RequestRun, segments: tuple[ReservedSegment, ...]
    ) -> None:
        """
        Prefill the segments concurrently.

        :raises BackendRefused: when an engine refuses its segment.
        :raises BackendFailed: when a call to an engine fails.
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
        for tries in range(1, RESERVE_TRIES + 1):
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
                if tries == RESERVE_TRIES:
                    raise
            delay_s = full_jitter_s(
                tries,
                self._context.random,
                RESERVE_BACKOFF_BASE_S,
                RESERVE_BACKOFF_MAX_S,
            )
            await clock.sleep(delay_s)

    async def _free(self, segment: ReservedSegment) -> None:
        for tries in range(1, FREE_TRIES + 1):
            try:
                await self._context.engines.free(
                    segment.address, segment.reservation_id
                )
                return
            except Exception:  # after the last try, the engine frees it at its TTL
                if tries == FREE_TRIES:
                    raise
            await self._context.clock.sleep(full_jitter_s(tries, self._context.random))


def _engine_name(segment: ReservedSegment) -> str:
    return segment.planned.snapshot.server.name

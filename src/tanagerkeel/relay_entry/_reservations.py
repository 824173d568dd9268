"""
Memory set aside on engines for prompts that one engine can't hold.

Every reservation ends with its request, on each way out. It is short and renewed, so
that a node that dies, or an order that is carried out late, leaves nothing behind
for longer than one term.
"""

import asyncio
from collections.abc import Iterable

import attrs

from tanagerkeel.background import Background
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.exchange import (
    ConnectionPool,
    NoConnection,
    Piece,
    RawHead,
    ReplyEnd,
)
from tanagerkeel.relay import BackendServer
from tanagerkeel.relay_entry._protocols import (
    BackendCodec,
    ReleaseMemory,
    ReserveMemory,
)

__all__ = ["Reservation", "Reservations"]

# Shorter than the time after which unused memory counts as leaked (4 s), so that a
# node that dies leaves none.
HOLD_MS = 3_000
# Two renewals may be lost within one term.
RENEW_S = 1.0
# Engines answer orders at once; a late one counts as refused, in seconds.
ORDER_TIMEOUT_S = 0.5
# A release is sent again so often when it isn't answered; the term ends it anyway.
RELEASE_TRIES = 2
KEPT_IDLE_S = 30.0
STATUS_DONE = 200


@attrs.frozen
class Reservation:
    """
    Memory set aside on one engine.

    :param server: the engine.
    :param reservation_id: unique id.
    :param tokens: how much.
    """

    server: BackendServer
    reservation_id: str
    tokens: int


@attrs.define
class Reservations:
    """
    Sends orders about memory to engines.

    :param pool: connections to backend servers.
    :param codec: writes orders and reads answers.
    :param longest_hold_ms: bound of the deployment on a term, in milliseconds.
    """

    _pool: ConnectionPool
    _codec: BackendCodec
    _longest_hold_ms: int = HOLD_MS
    _background: Background = attrs.field(factory=Background)

    async def reserve_all(
        self, wanted: Iterable[Reservation], request_id: str
    ) -> tuple[Reservation, ...] | Reservation:
        """
        Set memory aside on several engines, or on none.

        Engines are asked in the order of their ids, so that two nodes that want the
        same ones can't hold each other up.

        :returns: what was set aside, or the one that was refused.
        """
        held: list[Reservation] = []
        ordered = sorted(wanted, key=lambda r: r.server.backend_id)
        try:
            for reservation in ordered:
                # Counted as held from the send on: an unanswered order may hold too.
                held.append(reservation)
                if not await self._reserve(reservation):
                    log(
                        LogEvent.RESERVATION_REFUSED,
                        request=request_id,
                        backend=reservation.server.backend_id,
                        tokens=reservation.tokens,
                    )
                    self.release(held)
                    return reservation
        except asyncio.CancelledError:
            self.release(held)
            raise
        return tuple(held)

    async def keep(self, held: Iterable[Reservation]) -> None:
        """Renew reservations until cancelled."""
        kept = tuple(held)
        while True:
            await asyncio.sleep(RENEW_S)
            await asyncio.gather(*map(self._reserve, kept))

    def release(self, held: Iterable[Reservation]) -> None:
        """Give memory back, without waiting for it."""
        for reservation in held:
            self._background.start(
                "release memory",
                self._release(reservation),
                (RELEASE_TRIES + 1) * ORDER_TIMEOUT_S,
            )

    async def drain(self) -> None:
        """Wait until everything has been given back."""
        await self._background.drain()

    async def _reserve(self, reservation: Reservation) -> bool:
        hold_ms = min(HOLD_MS, self._longest_hold_ms)
        order = ReserveMemory(reservation.reservation_id, reservation.tokens, hold_ms)
        return await self._order(reservation.server, order) == STATUS_DONE

    async def _release(self, reservation: Reservation) -> None:
        order = ReleaseMemory(reservation.reservation_id)
        for _ in range(RELEASE_TRIES):
            if await self._order(reservation.server, order) is not None:
                return

    async def _order(
        self, server: BackendServer, order: ReserveMemory | ReleaseMemory
    ) -> int | None:
        """Return the status of the answer; None when there was none."""
        try:
            connection = await self._pool.take(server.address, KEPT_IDLE_S)
        except NoConnection:
            return None
        status = None
        complete = False
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                connection.send(self._codec.encode_order(server, order))
                event = await connection.next_event()
                while isinstance(event, RawHead | Piece):
                    if isinstance(event, RawHead):
                        status = event.status
                    event = await connection.next_event()
                complete = isinstance(event, ReplyEnd)
        except TimeoutError:
            status = None
        finally:
            if complete:
                self._pool.give_back(connection)
            else:
                connection.abort()
        return status

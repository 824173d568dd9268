"""
Reservations of engine memory for prompts that exceed the memory of one engine.

A reservation is released when its request ends, however it ends. It is short-lived and
renewed, so that after a crash of this node, or after an order that an engine carries
out late, the memory stays reserved for one time to live at most.
"""

import asyncio
from collections.abc import Callable, Iterable

import attrs

from tanagerkeel.background import BackgroundTasks
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.exchange import (
    BodyPart,
    ConnectError,
    ConnectionPool,
    RawHead,
    ReplyEnd,
)
from tanagerkeel.relay import BackendServer, ReplyHead
from tanagerkeel.relay_entry._protocols import (
    BackendCodec,
    ReleaseMemory,
    ReserveMemory,
)

__all__ = ["Reservation", "Reservations"]

# Time to live of a reservation. It is shorter than the 4 s after which unused memory
# counts as leaked, so that a crashed node leaks none.
RESERVATION_TTL_MS = 3_000
# Interval of renewals; two of them may be lost within one time to live.
RENEW_INTERVAL_S = 1.0
# Engines answer orders at once; an order that isn't answered within this time, in
# seconds, counts as refused.
ORDER_TIMEOUT_S = 0.5
# Limit of the body of such an answer, in bytes; a longer one counts as refused.
MAX_ANSWER_BYTES = 65_536
# Number of attempts to release a reservation if the engine doesn't answer; the
# reservation expires by itself anyway.
RELEASE_ATTEMPTS = 2
OK_STATUS = 200


@attrs.frozen
class Reservation:
    """
    Memory reserved on one engine.

    :param server: the engine.
    :param reservation_id: unique id, by which it is renewed and released.
    :param tokens: amount of memory, in tokens.
    """

    server: BackendServer
    reservation_id: str
    tokens: int


@attrs.define
class Reservations:
    """
    Reserves, renews and releases memory on engines.

    :param pool: connections to backend servers.
    :param codec: encodes the orders and decodes the heads of their responses.
    :param record_head: records what the head of a response says about its engine.
    :param is_usable: returns whether an engine takes new work at a monotonic time.
    :param monotonic: returns the monotonic time, in seconds.
    :param longest_hold_ms: the deployment's upper bound on the time to live of a
        reservation, in milliseconds.
    """

    _pool: ConnectionPool
    _codec: BackendCodec
    _record_head: Callable[[BackendServer, ReplyHead, float], bool]
    _is_usable: Callable[[BackendServer, float], bool]
    _monotonic: Callable[[], float]
    _longest_hold_ms: int = RESERVATION_TTL_MS
    _background: BackgroundTasks = attrs.field(factory=BackgroundTasks)

    async def reserve_all(
        self, requested: Iterable[Reservation], request_id: str
    ) -> tuple[Reservation, ...] | Reservation:
        """
        Reserve memory on several engines, or on none.

        Orders are sent in ascending order of the engines' ids, so that two nodes that
        need the same engines can't block each other.

        :param requested: the reservations to make.
        :param request_id: id of the request, for the log.
        :returns: all reservations, or the one that was refused.
        """
        held: list[Reservation] = []
        ordered = sorted(requested, key=lambda r: r.server.backend_id)
        try:
            for reservation in ordered:
                # An earlier order may have taken long.
                if not self._is_usable(reservation.server, self._monotonic()):
                    log(
                        LogEvent.PLACEMENT_STALE,
                        request=request_id,
                        backend=reservation.server.backend_id,
                    )
                    self.release(held)
                    return reservation
                # Listed as held before the order is sent: an order that isn't answered
                # may have been carried out.
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

    async def renew_until_cancelled(self, held: Iterable[Reservation]) -> None:
        """Renew reservations every ``RENEW_INTERVAL_S`` until cancelled."""
        renewed = tuple(held)
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            await asyncio.gather(*map(self._reserve, renewed))

    def release(self, held: Iterable[Reservation]) -> None:
        """Release reservations in the background."""
        for reservation in held:
            self._background.start(
                "release memory",
                self._release(reservation),
                (RELEASE_ATTEMPTS + 1) * ORDER_TIMEOUT_S,
            )

    async def drain(self) -> None:
        """Wait until all releases have ended."""
        await self._background.drain()

    async def _reserve(self, reservation: Reservation) -> bool:
        hold_ms = min(RESERVATION_TTL_MS, self._longest_hold_ms)
        order = ReserveMemory(reservation.reservation_id, reservation.tokens, hold_ms)
        head = await self._send_order(reservation.server, order)
        return head is not None and head.status == OK_STATUS and not head.leaving

    async def _release(self, reservation: Reservation) -> None:
        order = ReleaseMemory(reservation.reservation_id)
        for _ in range(RELEASE_ATTEMPTS):
            if await self._send_order(reservation.server, order) is not None:
                return

    async def _send_order(
        self, server: BackendServer, order: ReserveMemory | ReleaseMemory
    ) -> ReplyHead | None:
        """
        Send an order; return the head of the response, None without one.

        Responses to orders carry no id, so that a late second copy of another response
        would be taken for one. Therefore each order has a connection of its own.
        """
        try:
            connection = await self._pool.connect(server.address)
        except ConnectError:
            return None
        head = None
        body_bytes = 0
        complete = False
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                sent_s = self._monotonic()
                connection.send(self._codec.encode_order(server, order))
                event = await connection.next_event()
                while isinstance(event, RawHead | BodyPart):
                    if isinstance(event, RawHead):
                        head = self._codec.decode(event)
                        self._record_head(server, head, sent_s)
                    else:
                        body_bytes += len(event.data)
                        if body_bytes > MAX_ANSWER_BYTES:
                            return None
                    event = await connection.next_event()
                complete = isinstance(event, ReplyEnd)
        except TimeoutError:
            head = None
        finally:
            if complete:
                connection.close()
            else:
                connection.abort()
        return head

"""Handles orders to a stand-in engine and checks their fencing numbers."""

import asyncio

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.gateways.engines import EngineOrder, OrderResult

__all__ = ["EngineOrders"]


@attrs.define
class EngineOrders:
    """
    What an engine has loaded, and the order that it is carrying out.

    :param clock: source of time.
    :param load_s: time to load what an order asks for, in seconds.
    :param loaded: the order whose model version, adapters and role are in use.
    :param fencing: highest fencing number seen.
    :param accepted: the orders that were accepted, in order of arrival.
    """

    _clock: Clock
    _load_s: float
    loaded: EngineOrder
    fencing: int = 0
    accepted: list[EngineOrder] = attrs.field(factory=list)
    _load_task: asyncio.Task | None = None

    def handle(self, order: EngineOrder, ignores_fencing: bool) -> OrderResult:
        """
        Start to carry out an order, or refuse it for its old fencing number.

        An accepted order aborts the one that is still loading.
        """
        if order.fencing < self.fencing and not ignores_fencing:
            return OrderResult(False, self.fencing)
        self.fencing = max(self.fencing, order.fencing)
        self.accepted.append(order)
        self.abort()
        self._load_task = asyncio.create_task(self._load(order))
        return OrderResult(True, self.fencing)

    def abort(self) -> None:
        """Cancel the loading that is in progress."""
        if self._load_task is not None:
            self._load_task.cancel()
            self._load_task = None

    async def _load(self, order: EngineOrder) -> None:
        await self._clock.sleep(self._load_s)
        self.loaded = order

"""The interface through which the rest of the product calls engines."""

from collections.abc import AsyncIterator
from typing import Protocol

import attrs

from tanagerkeel.gateways.engines._messages import (
    Allocation,
    CacheEventBatch,
    EngineOrder,
    GenerateCall,
    LoadReport,
    OrderResult,
    Reservation,
)
from tanagerkeel.requests import AnswerChunk

__all__ = ["BackendFailed", "BackendRefused", "EngineGateway"]


@attrs.define(auto_exc=True, str=False)
class BackendRefused(Exception):
    """
    A backend server responded that it did not start the work.

    :param reason: its response body, such as ``overloaded``, ``cold`` or ``memory``.
    """

    reason: str

    def __str__(self) -> str:
        return self.reason


@attrs.define(auto_exc=True, str=False)
class BackendFailed(Exception):
    """
    A call to a backend server failed, or the server could not be reached.

    :param reason: what was observed.
    :param sent: False only if the request certainly was not sent.
    :param connection_refused: whether the connection was refused, because nothing
        listens at the address; False after a timeout.
    """

    reason: str
    sent: bool = True
    connection_refused: bool = False

    def __str__(self) -> str:
        return self.reason


class EngineGateway(Protocol):
    """
    Calls engines, each addressed by its ``IP:PORT``.

    Every method raises :class:`BackendFailed` when the engine can't be reached or the
    call fails, and :class:`BackendRefused` when the engine did not start the work.
    """

    def generate(self, address: str, call: GenerateCall) -> AsyncIterator[AnswerChunk]:
        """
        Yield the chunks of an answer as they arrive, not verified.

        Closing the iterator closes the connection, and the engine then stops.
        """

    async def cancel(self, address: str, attempt_id: str) -> None:
        """Stop an attempt's stream and free its memory."""

    async def load_report(self, address: str) -> LoadReport:
        """Return the engine's latest load report."""

    async def cache_events(self, address: str, after: int) -> CacheEventBatch:
        """Return the cache events whose sequence number is above ``after``."""

    async def reserve(self, address: str, reservation: Reservation) -> None:
        """Reserve memory; refused with reason ``memory`` if too little is free."""

    async def prefill(
        self, address: str, reservation_id: str, account: str, prompt: str
    ) -> None:
        """Prefill a gang segment into the memory of its reservation."""

    async def free(self, address: str, allocation_id: str) -> None:
        """Free an allocation of any kind; does nothing if it no longer exists."""

    async def allocations(self, address: str) -> tuple[Allocation, ...]:
        """Return all allocations of memory that the engine holds."""

    async def export_cache(
        self, address: str, attempt_id: str, owner: str, ttl_ms: int
    ) -> str:
        """Export a stream's KV cache and return the id of the export."""

    async def import_cache(self, address: str, source: str, export_id: str) -> None:
        """Import an export of the engine at ``source``."""

    async def send_order(self, address: str, order: EngineOrder) -> OrderResult:
        """Order an engine to load a version or adapters, or to change its role."""

"""The KV cache memory of a stand-in engine and its allocations."""

from collections.abc import Callable

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.gateways.engines import Allocation

__all__ = ["EngineMemory", "MemoryAllocation"]

MS_PER_S = 1_000


def _no_op() -> None:
    """Do nothing; for an allocation without a connection to abort."""


@attrs.define
class MemoryAllocation:
    """
    An allocation of KV cache memory.

    :param allocation_id: attempt, export or reservation id.
    :param kind: ``stream``, ``export`` or ``reservation``.
    :param owner: id of the node that asked for it.
    :param request_id: id of the request.
    :param tokens: memory, in tokens.
    :param deadline_s: monotonic time at which it expires, in seconds.
    :param account: client account of the text; empty for a stream.
    :param text: the text whose KV cache it holds; empty for a stream.
    :param on_freed: called when the memory is freed, to abort the connection.
    """

    allocation_id: str
    kind: str
    owner: str
    request_id: str
    tokens: int
    deadline_s: float
    account: str = ""
    text: str = attrs.field(default="", repr=False)
    on_freed: Callable[[], None] = attrs.field(default=_no_op, repr=False)


@attrs.define
class EngineMemory:
    """
    The allocations of an engine; each is freed at its deadline.

    :param clock: source of time.
    :param tokens: size of the memory, in tokens.
    :param ignores_deadlines: whether allocations outlive their deadline.
    """

    _clock: Clock
    _tokens: int
    _allocations: dict[str, MemoryAllocation] = attrs.field(factory=dict)
    ignores_deadlines: bool = False

    @property
    def used_tokens(self) -> int:
        """Allocated memory, in tokens."""
        self._free_expired()
        return sum(allocation.tokens for allocation in self._allocations.values())

    @property
    def free_tokens(self) -> int:
        """Memory that is not allocated, in tokens."""
        return self._tokens - self.used_tokens

    def find(self, allocation_id: str) -> MemoryAllocation | None:
        """Return an allocation, or None when it is gone."""
        self._free_expired()
        return self._allocations.get(allocation_id)

    def allocate(self, allocation: MemoryAllocation) -> bool:
        """Allocate memory; return False when there isn't enough."""
        if allocation.tokens > self.free_tokens:
            return False
        self._allocations[allocation.allocation_id] = allocation
        return True

    def free(self, allocation_id: str) -> None:
        """Free an allocation; without effect when it is gone."""
        allocation = self._allocations.pop(allocation_id, None)
        if allocation is not None:
            allocation.on_freed()

    def clear(self) -> None:
        """Free everything."""
        for allocation_id in list(self._allocations):
            self.free(allocation_id)

    def list_allocations(self) -> tuple[Allocation, ...]:
        """Return all allocations as the engine's protocol lists them."""
        self._free_expired()
        now = self._clock.monotonic()
        return tuple(
            Allocation(
                allocation_id=allocation.allocation_id,
                kind=allocation.kind,
                owner=allocation.owner,
                request_id=allocation.request_id,
                tokens=allocation.tokens,
                remaining_ms=int((allocation.deadline_s - now) * MS_PER_S),
            )
            for allocation in self._allocations.values()
        )

    def _free_expired(self) -> None:
        if self.ignores_deadlines:
            return
        now = self._clock.monotonic()
        expired = [i for i, a in self._allocations.items() if a.deadline_s <= now]
        for allocation_id in expired:
            self.free(allocation_id)

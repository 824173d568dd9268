"""
How much clients may hold of a process, and who is turned away beyond that.

Pure decisions: :mod:`tanagerkeel.gateways.client_protocol` enforces them.
"""

import enum
from collections.abc import Hashable

import attrs

__all__ = ["ConnectionLimit", "MemoryBudget", "ProcessLimits", "TurnedAway"]

BYTES_PER_MB = 1_048_576
# Share of a process's memory for requests that clients have sent, and for connections.
REQUESTS_MEMORY_SHARE = 0.25
CONNECTIONS_MEMORY_SHARE = 0.125
# Memory of a connection with a request whose headers are arriving, in bytes.
CONNECTION_BYTES = 16_384
# Descriptors that aren't available for connections.
RESERVED_FILES = 200
# Fewest connections that an address takes.
MIN_CONNECTIONS = 16


class TurnedAway(enum.StrEnum):
    """Why a client was turned away."""

    BODY_ANNOUNCED = "body_announced"
    BODY_TIMEOUT = "body_timeout"
    CONNECTIONS = "connections"
    MEMORY = "memory"
    UNREAD = "unread"


@attrs.frozen
class ProcessLimits:
    """
    What the VM gives a process.

    :param memory_mb: memory, in megabytes.
    :param max_open_files: descriptors, of which 200 aren't used for connections.
    """

    memory_mb: float = 512
    max_open_files: int = 4_096

    def budget(self) -> "MemoryBudget":
        """Return a budget for what clients send, over all addresses."""
        return MemoryBudget(int(self.memory_mb * BYTES_PER_MB * REQUESTS_MEMORY_SHARE))

    def connections(self, share: float) -> int:
        """
        Return how many connections an address takes.

        :param share: its share of the descriptors that are available.
        """
        files = (self.max_open_files - RESERVED_FILES) * share
        memory = self.memory_mb * BYTES_PER_MB * CONNECTIONS_MEMORY_SHARE
        return max(MIN_CONNECTIONS, int(min(files, memory / CONNECTION_BYTES)))


@attrs.define
class MemoryBudget:
    """
    The memory that requests take up, over all connections of a process.

    :param max_bytes: how much they may take up, in bytes.
    """

    max_bytes: int
    _held: dict[Hashable, int] = attrs.field(factory=dict)
    # Of these, the clients that have not finished sending.
    _unfinished: dict[Hashable, None] = attrs.field(factory=dict)
    _total: int = 0

    @property
    def total(self) -> int:
        """How much all clients hold, in bytes."""
        return self._total

    @property
    def excess_holder(self) -> Hashable | None:
        """
        The client to turn away; None within the budget.

        It is the one that holds most of those that haven't finished sending.
        """
        if self._total <= self.max_bytes:
            return None
        return max(self._unfinished, key=self._held.__getitem__, default=None)

    def hold(self, client: Hashable, count: int, finished: bool) -> None:
        """
        Record how much a client holds.

        :param client: the client's connection.
        :param count: how much it holds, in bytes.
        :param finished: whether it has sent a whole request and nothing beyond it.
        """
        self._total += count - self._held.get(client, 0)
        self._held[client] = count
        if finished:
            self._unfinished.pop(client, None)
        else:
            self._unfinished[client] = None

    def release(self, client: Hashable) -> None:
        """Record that a client holds nothing any more."""
        self._total -= self._held.pop(client, 0)
        self._unfinished.pop(client, None)


@attrs.define
class ConnectionLimit:
    """
    The connections to one address.

    :param max_connections: how many may be open.
    """

    max_connections: int
    _addresses: dict[Hashable, str] = attrs.field(factory=dict)
    # Connections without a whole request, by the client's address; longest first.
    _waiting: dict[str, dict[Hashable, None]] = attrs.field(factory=dict)

    def open(self, client: Hashable, address: str) -> Hashable | None:
        """
        Record a new connection; return the one to close, which may be the same.

        It is the one that has waited longest for a whole request, of the client address
        with most of these. None within the limit.

        :param client: the connection.
        :param address: the client's IP address.
        """
        self._addresses[client] = address
        self.set_waiting(client, True)
        if len(self._addresses) <= self.max_connections:
            return None
        return next(iter(max(self._waiting.values(), key=len)))

    def set_waiting(self, client: Hashable, waiting: bool) -> None:
        """Record whether a connection waits for a whole request of its client."""
        address = self._addresses.get(client)
        if address is None:
            return
        if waiting:
            self._waiting.setdefault(address, {}).setdefault(client)
            return
        waiting_there = self._waiting.get(address, {})
        waiting_there.pop(client, None)
        if not waiting_there:
            self._waiting.pop(address, None)

    def close(self, client: Hashable) -> None:
        """Record that a connection is closed, or about to be."""
        self.set_waiting(client, False)
        self._addresses.pop(client, None)

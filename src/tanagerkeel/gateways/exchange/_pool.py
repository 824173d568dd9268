"""A pool of connections to backend servers."""

import asyncio
import collections

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.gateways.exchange._connection import BackendConnection

__all__ = ["ConnectError", "ConnectionPool"]

# Backend servers are a few milliseconds away. TCP retransmits a lost SYN only after a
# second; by then another backend server can have responded.
CONNECT_TIMEOUT_S = 0.25
# How long a connection is kept idle if the backend server announces no keep-alive time.
DEFAULT_IDLE_S = 2.0
# A connection is closed this time before the backend server would close it.
CLOSE_MARGIN_S = 0.6
# Idle connections kept to one address. A backend server bounds the connections of all
# nodes together, and requests that may run only once add one each.
MAX_IDLE = 4


@attrs.define(auto_exc=True)
class ConnectError(Exception):
    """
    No connection could be made, so nothing was sent.

    :param reason: why the connection failed.
    :param connection_refused: whether the connection was refused, because nothing
        listens at the address, as after a crash.
    """

    reason: str
    connection_refused: bool = False


@attrs.define
class ConnectionPool:
    """
    Keeps idle connections by address and reuses the most recently used one first.

    :param clock: measures idle times.
    """

    _clock: Clock
    _idle: dict[str, "collections.deque[BackendConnection]"] = attrs.field(factory=dict)
    _opened: int = 0

    @property
    def opened(self) -> int:
        """Number of connections opened so far."""
        return self._opened

    async def acquire(self, address: str, max_idle_s: float) -> BackendConnection:
        """
        Return an idle connection from the pool, or a new one.

        :param address: ``IP:PORT`` of the backend server.
        :param max_idle_s: reuse only a connection that has been idle for at most this
            time, in seconds; 0 for a new one.
        :raises ConnectError: if no connection could be made.
        """
        if max_idle_s <= 0:
            return await self.connect(address)
        now = self._clock.monotonic()
        idle = self._idle.get(address)
        while idle:
            connection = idle.pop()
            if not connection.reusable or now > self._expires_s(connection):
                connection.close()
            elif now - connection.idle_since_s <= max_idle_s:
                return connection
            else:
                connection.close()
        return await self.connect(address)

    def release(self, connection: BackendConnection) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        if not connection.reusable:
            connection.close()
            return
        connection.idle_since_s = self._clock.monotonic()
        idle = self._idle.setdefault(connection.address, collections.deque())
        idle.append(connection)
        if len(idle) > MAX_IDLE:
            idle.popleft().close()

    def close_address(self, address: str) -> None:
        """Close all idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        now = self._clock.monotonic()
        for address, idle in list(self._idle.items()):
            remaining = collections.deque()
            for connection in idle:
                if connection.reusable and now <= self._expires_s(connection):
                    remaining.append(connection)
                else:
                    connection.close()
            if remaining:
                self._idle[address] = remaining
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_address(address)

    async def connect(self, address: str) -> BackendConnection:
        """
        Return a new connection.

        :param address: ``IP:PORT`` of the backend server.
        :raises ConnectError: if no connection could be made.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: BackendConnection(address), host, int(port)
                )
        except TimeoutError as error:
            raise ConnectError("no connection in time") from error
        except (OSError, ValueError) as error:
            connection_refused = isinstance(error, ConnectionRefusedError)
            raise ConnectError(str(error), connection_refused) from error
        self._opened += 1
        return connection

    @staticmethod
    def _expires_s(connection: BackendConnection) -> float:
        keep_alive_s = connection.keep_alive_s
        if keep_alive_s is None:
            keep_alive_s = DEFAULT_IDLE_S + CLOSE_MARGIN_S
        return connection.idle_since_s + max(0.0, keep_alive_s - CLOSE_MARGIN_S)

"""Connections to backend servers, kept for further requests."""

import asyncio
import collections

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.gateways.exchange._connection import BackendConnection

__all__ = ["ConnectionPool", "NoConnection"]

# Backend servers are a few milliseconds away; a lost SYN is sent again only after a
# second, which is later than another backend server can answer.
CONNECT_TIMEOUT_S = 0.25
# Kept idle when a backend server doesn't say for how long it keeps a connection.
DEFAULT_IDLE_S = 2.0
# A connection is given up so long before the other side closes it, in seconds.
CLOSE_MARGIN_S = 0.6


@attrs.define(auto_exc=True)
class NoConnection(Exception):
    """
    No connection came up, so that nothing was sent.

    :param reason: why.
    :param refused: whether nothing listens there, as after a crash.
    """

    reason: str
    refused: bool = False


@attrs.define
class ConnectionPool:
    """
    Idle connections by address; the most recently used goes first.

    :param clock: source of time.
    """

    _clock: Clock
    _idle: dict[str, "collections.deque[BackendConnection]"] = attrs.field(factory=dict)
    _opened: int = 0

    @property
    def opened(self) -> int:
        """Connections opened so far."""
        return self._opened

    async def take(self, address: str, longest_idle_s: float) -> BackendConnection:
        """
        Return a connection, kept or new.

        :param address: ``IP:PORT``.
        :param longest_idle_s: a kept one must have been used since; 0 for a new one.
        :raises NoConnection: when none came up.
        """
        now = self._clock.monotonic()
        kept = self._idle.get(address)
        while kept:
            connection = kept.pop()
            if not connection.reusable or now > self._idle_until(connection):
                connection.close()
            elif now - connection.idle_since_s <= longest_idle_s:
                return connection
            else:
                connection.close()
        return await self._connect(address)

    def give_back(self, connection: BackendConnection) -> None:
        """Keep a connection for further requests, or close it."""
        if not connection.reusable:
            connection.close()
            return
        connection.idle_since_s = self._clock.monotonic()
        kept = self._idle.setdefault(connection.address, collections.deque())
        kept.append(connection)

    def forget(self, address: str) -> None:
        """Close all idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def sweep(self) -> None:
        """Close what was idle for too long."""
        now = self._clock.monotonic()
        for address, kept in list(self._idle.items()):
            still = collections.deque()
            for connection in kept:
                if connection.reusable and now <= self._idle_until(connection):
                    still.append(connection)
                else:
                    connection.close()
            if still:
                self._idle[address] = still
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.forget(address)

    async def _connect(self, address: str) -> BackendConnection:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: BackendConnection(address), host, int(port)
                )
        except TimeoutError as error:
            raise NoConnection("no connection in time") from error
        except (OSError, ValueError) as error:
            refused = isinstance(error, ConnectionRefusedError)
            raise NoConnection(str(error), refused) from error
        self._opened += 1
        return connection

    @staticmethod
    def _idle_until(connection: BackendConnection) -> float:
        kept_s = connection.keep_alive_s
        if kept_s is None:
            kept_s = DEFAULT_IDLE_S + CLOSE_MARGIN_S
        return connection.idle_since_s + max(0.0, kept_s - CLOSE_MARGIN_S)

"""Pool of outgoing sockets to other nodes, opened on use and closed when idle."""

import collections

import attrs
import pynng

from tanagerkeel.clock import Clock

__all__ = ["SocketPool"]

MAX_SOCKETS = 64
IDLE_TIMEOUT_S = 60.0
SEND_BUFFER_MESSAGES = 64
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1_000


@attrs.define
class _PooledSocket:
    socket: pynng.Push0
    last_used_s: float


@attrs.define
class SocketPool:
    """
    Holds one sending socket for each node that was recently sent to.

    :param clock: source of time for closing idle sockets.
    """

    _clock: Clock
    _sockets: "collections.OrderedDict[str, _PooledSocket]" = attrs.field(
        factory=collections.OrderedDict
    )

    def send(self, address: str, data: bytes) -> bool:
        """Send without waiting; return False when the send buffer is full."""
        pooled = self._sockets.get(address) or self._open(address)
        pooled.last_used_s = self._clock.monotonic()
        self._sockets.move_to_end(address)
        try:
            pooled.socket.send(data, block=False)
        except pynng.NNGException:
            return False
        return True

    def close_idle(self) -> None:
        """Close sockets that have been unused for ``IDLE_TIMEOUT_S``."""
        now = self._clock.monotonic()
        for address, pooled in tuple(self._sockets.items()):
            if now - pooled.last_used_s > IDLE_TIMEOUT_S:
                self._close(address)

    def close(self) -> None:
        """Close every socket."""
        for address in tuple(self._sockets):
            self._close(address)

    def _open(self, address: str) -> _PooledSocket:
        while len(self._sockets) >= MAX_SOCKETS:
            self._close(next(iter(self._sockets)))
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        socket.dial(f"tcp://{address}", block=False)
        pooled = self._sockets[address] = _PooledSocket(socket, self._clock.monotonic())
        return pooled

    def _close(self, address: str) -> None:
        self._sockets.pop(address).socket.close()

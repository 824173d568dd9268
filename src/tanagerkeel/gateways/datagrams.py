"""
A UDP socket that is read in batches.

Each datagram that wakes an idle process costs it far more than reading one more does:
with hundreds of nodes that send to each other, most of a node's wake-ups were single
datagrams. asyncio's datagram transports read one datagram a wake-up.
"""

import asyncio
import collections
import socket
from collections.abc import Callable

import attrs

__all__ = ["BatchedDatagrams"]

# Limit of a datagram, in bytes: the largest that UDP over IPv4 can carry.
MAX_DATAGRAM_BYTES = 65_507
# Datagrams read in one turn of the event loop, so that other tasks get theirs.
MAX_BATCH = 64
# Datagrams that are kept while the system's buffer is full: some for each peer of a
# large fleet.
MAX_UNSENT = 1_024


@attrs.define(eq=False)
class BatchedDatagrams:
    """
    Sends and receives datagrams; after each read, the next one waits for an interval.

    A datagram that arrives after a longer pause is read at once.

    :param on_datagram: called with each datagram and the ``(host, port)`` it is from.
    :param interval_s: returns the shortest time between two reads, in seconds; 0 reads
        each datagram when it arrives.
    """

    _on_datagram: Callable[[bytes, tuple[str, int]], None]
    _interval_s: Callable[[], float]
    _socket: socket.socket | None = None
    _timer: asyncio.TimerHandle | None = None
    _unsent: "collections.deque[tuple[bytes, tuple[str, int]]]" = attrs.field(
        factory=collections.deque
    )

    def bind(self, host: str, port: int) -> None:
        """
        Bind the address and start to read.

        :raises OSError: when the address can't be bound.
        """
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            bound.setblocking(False)
            bound.bind((host, port))
        except OSError:
            bound.close()
            raise
        self._socket = bound
        self._watch()

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """
        Send a datagram, or keep it while the system's buffer is full.

        It is dropped when too many are kept already, or the address can't be reached.
        """
        if self._socket is None:
            return
        if not self._unsent:
            if self._send_now(data, address):
                return
            asyncio.get_running_loop().add_writer(self._socket, self._send_kept)
        if len(self._unsent) < MAX_UNSENT:
            self._unsent.append((data, address))

    def close(self) -> None:
        """Stop to read and close the socket."""
        if self._socket is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        loop.remove_writer(self._socket)
        while self._unsent and self._send_now(*self._unsent[0]):
            self._unsent.popleft()
        self._unsent.clear()
        self._socket.close()
        self._socket = self._timer = None

    def _send_now(self, data: bytes, address: tuple[str, int]) -> bool:
        """Send a datagram; return False if the system's buffer is full."""
        try:
            self._socket.sendto(data, address)
        except BlockingIOError:
            return False
        except OSError:
            # An earlier datagram met a closed port, or there is no way to the address.
            return True
        return True

    def _send_kept(self) -> None:
        while self._unsent and self._send_now(*self._unsent[0]):
            self._unsent.popleft()
        if not self._unsent:
            asyncio.get_running_loop().remove_writer(self._socket)

    def _watch(self) -> None:
        asyncio.get_running_loop().add_reader(self._socket, self._on_readable)

    def _on_readable(self) -> None:
        self._read()
        interval_s = self._interval_s()
        if interval_s > 0 and self._socket is not None:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._socket)
            self._timer = loop.call_later(interval_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if self._read() and self._socket is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self._interval_s(), self._on_timer)
        elif self._socket is not None:
            self._watch()

    def _read(self) -> int:
        """Read what has arrived; return the number of datagrams."""
        for count in range(MAX_BATCH):
            if self._socket is None:
                return count
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return count
            except OSError:
                # An earlier datagram met a closed port.
                continue
            self._on_datagram(data, address)
        return MAX_BATCH

"""What the operating system knows of a TCP connection."""

import fcntl
import socket
import struct
import termios

__all__ = ["pending_error", "unacknowledged_bytes"]

_INT = struct.Struct("i")


def pending_error(endpoint: socket.socket) -> int:
    """
    Return the error that has ended a connection, and clear it.

    It is reported by reads only after the end of the stream, if that came first.

    :returns: the ``errno``; 0 for none.
    """
    return endpoint.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def unacknowledged_bytes(endpoint: socket.socket) -> int:
    """
    Return how many bytes the other side's system has not acknowledged.

    The end of the sending side counts as one.

    :returns: 0 where the system can't tell.
    """
    try:
        answer = fcntl.ioctl(endpoint.fileno(), termios.TIOCOUTQ, _INT.pack(0))
    except OSError:
        return 0
    return _INT.unpack(answer)[0]

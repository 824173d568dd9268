"""
A crowd of clients that stay outside the limits, and what must hold beside it.

The members keep their connections open and read nothing.
"""

import asyncio
import contextlib
import os
import pathlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable

CHUNKED = "Transfer-Encoding: chunked"
REQUESTS_AHEAD = 40_000
# A member whose bytes aren't taken for this long has sent all that it can, in seconds.
BLOCKED_S = 2.0


def peak_memory_mb(pid: int) -> float:
    """Return the most memory that a process has used so far, in megabytes."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
    return int(line.split()[1]) / 1_024


async def check_beside_crowd(
    process: asyncio.subprocess.Process,
    memory_mb: float,
    max_open_files: int,
    answers: Callable[[], Awaitable[bool]],
) -> None:
    """
    Check that a process lives, within its limits, and answers, beside a crowd.

    :param memory_mb: the memory that it may use, in megabytes.
    :param max_open_files: how many descriptors it may use.
    :param answers: sends an ordinary request; returns whether it was answered.
    """
    assert process.returncode is None, process.returncode
    assert peak_memory_mb(process.pid) < memory_mb, peak_memory_mb(process.pid)
    open_files = len(os.listdir(f"/proc/{process.pid}/fd"))
    assert open_files < max_open_files, open_files
    while not await answers():
        assert process.returncode is None, process.returncode
        await asyncio.sleep(0.1)
    assert peak_memory_mb(process.pid) < memory_mb, peak_memory_mb(process.pid)


async def send(sock: socket.socket, address: str, pieces: Iterable[bytes]) -> None:
    """Send until all is sent, nothing more is taken, or the connection is closed."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(BLOCKED_S):
            await loop.sock_connect(sock, (host, int(port)))
        for piece in pieces:
            async with asyncio.timeout(BLOCKED_S):
                await loop.sock_sendall(sock, piece)


@contextlib.asynccontextmanager
async def crowd(
    address: str, count: int, pieces: Callable[[], Iterable[bytes]]
) -> AsyncIterator[None]:
    """Let a crowd send; yield when it has sent what it can, still connected."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in sockets:
            sock.setblocking(False)
        await asyncio.gather(*(send(sock, address, pieces()) for sock in sockets))
        yield


def requests_ahead(request: bytes) -> Iterable[bytes]:
    """Yield requests that are sent one after the other, without waiting."""
    per_piece = 1_000
    for _ in range(REQUESTS_AHEAD // per_piece):
        yield request * per_piece


def body(path: str, length: str, size: int) -> Iterable[bytes]:
    """
    Yield a request with a body that doesn't end.

    :param length: the header that announces the body, and others.
    :param size: how much of it is sent, in bytes.
    """
    yield f"POST {path} HTTP/1.1\r\nHost: service.example\r\n{length}\r\n\r\n".encode()
    data = b"x" * 50_000
    for _ in range(size // len(data)):
        yield b"%x\r\n%s\r\n" % (len(data), data) if CHUNKED in length else data

"""Clients outside the limits, at every address of an entry node's process."""

import asyncio
import functools
from collections.abc import Callable, Iterable

import aiohttp

from tests.fixtures_crowd import (
    CHUNKED,
    body,
    check_beside_crowd,
    crowd,
    requests_ahead,
)
from tests.fixtures_processes import KEY, process_fleet
from tests.support import collect

# The defaults of the settings: memory in megabytes, and descriptors.
MEMORY_MB = 512
MAX_OPEN_FILES = 4_096
# The crowd. Bodies are within the default limit of 8 MB.
SENDERS_AHEAD = 8
BODY_SENDERS = 100
BODY_BYTES = 7_500_000
# Longest time of a test; beyond it the process hangs.
TEST_TIMEOUT_S = 120.0
CHAT = "/v1/chat/completions"


async def check_crowd(
    name: str, count: int, pieces: Callable[[], Iterable[bytes]]
) -> None:
    """
    Run a crowd at one address and check the process beside it.

    :param name: ``callers``, ``operators`` or ``forward``.
    """
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        process_fleet({"cebu-1": 1}) as fleet,
    ):
        node = await fleet.start("cebu-1")

        async def answers() -> bool:
            try:
                async with node.post_chat() as response:
                    return response.status == 200 and await node.is_ready()
            except aiohttp.ClientError:
                return False

        while not await answers():
            await asyncio.sleep(0.1)
        async with crowd(getattr(node, name), count, pieces):
            await check_beside_crowd(node.process, MEMORY_MB, MAX_OPEN_FILES, answers)


def ahead(path: str) -> Callable[[], Iterable[bytes]]:
    request = f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
    return functools.partial(requests_ahead, request)


async def test_requests_ahead_exhaust_no_memory_at_the_chat_front():
    await check_crowd("callers", SENDERS_AHEAD, ahead("/v1/models"))


async def test_requests_ahead_exhaust_no_memory_at_the_operators_address():
    await check_crowd("operators", SENDERS_AHEAD, ahead("/readyz"))


async def test_bodies_that_stop_exhaust_no_memory_at_the_chat_front():
    headers = f"{CHUNKED}\r\nAuthorization: Bearer {KEY}"
    pieces = functools.partial(body, CHAT, headers, BODY_BYTES)
    await check_crowd("callers", BODY_SENDERS, pieces)


def load_tests(loader, tests, pattern):
    return collect(globals())

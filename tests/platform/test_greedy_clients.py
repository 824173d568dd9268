"""
Clients outside the limits, at every address of a relay node's process.

Lowered limits in the settings let a small crowd exceed them.
"""

import asyncio
import contextlib
import functools
import json
import os
import pathlib
import sys
import tempfile
from collections.abc import AsyncIterator, Callable, Iterable

import attrs

from tanagerkeel.gateways.http_server import HttpServer
from tanagerkeel.relay_entry._forward_messages import FORWARD_PATH
from tests.fixtures_crowd import (
    CHUNKED,
    body,
    check_beside_crowd,
    crowd,
    requests_ahead,
)
from tests.platform.fixtures import (
    Engine,
    MemoryStore,
    call,
    configuration,
    free_address,
    respond_with_id,
)
from tests.platform.soak_links import StoreServer
from tests.support import collect

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The node's machine: memory in megabytes, and descriptors, of which 200 are reserved.
MEMORY_MB = 160
MAX_OPEN_FILES = 512
MAX_BODY_BYTES = 1_000_000
# The crowd: connections and what each one sends.
SENDERS_AHEAD = 4
BODY_SENDERS = 160
BODY_BYTES = 950_000
OVERSIZED_SENDERS = 200
OVERSIZED_BYTES = 3_000_000
IDLE_CONNECTIONS = 600
# Longest time of a test; beyond it the process hangs.
TEST_TIMEOUT_S = 90.0
ADDRESSES = ("callers", "forward", "readiness", "metrics")
PATHS = {
    "callers": "/lookup/1",
    "forward": FORWARD_PATH,
    "readiness": "/ready",
    "metrics": "/metrics",
}
ANNOUNCED = "Content-Length: 1000000000"


@attrs.define
class Process:
    """
    A node's process and what it uses.

    :param addresses: what it listens on, by the name in :data:`ADDRESSES`.
    """

    process: asyncio.subprocess.Process
    addresses: dict[str, str]

    async def answers(self) -> bool:
        """Return whether it is ready and answers an ordinary request."""
        with contextlib.suppress(OSError, TimeoutError):
            ready = await call(self.addresses["readiness"], "/ready", key=None)
            served = await call(self.addresses["callers"], "/lookup/1")
            return (ready.status, served.status) == (200, 200)
        return False

    async def check_beside_crowd(self) -> None:
        await check_beside_crowd(self.process, MEMORY_MB, MAX_OPEN_FILES, self.answers)


@contextlib.asynccontextmanager
async def node_process() -> AsyncIterator[Process]:
    """Start a node's process with its store and one engine; kill it on exit."""
    store = MemoryStore()
    limits = {**configuration()["limits"], "maxBodyBytes": MAX_BODY_BYTES}
    engine = Engine("i-0", respond_with_id)
    await engine.start()
    store.write("servers/i-0", engine.store_entry("booking"))
    store.write("op/config", configuration(limits=limits))
    platform = HttpServer(StoreServer(store), "127.0.0.1", 0)
    await platform.start()
    addresses = {name: free_address() for name in (*ADDRESSES, "news")}
    settings = {
        "node_id": "node-1",
        "failure_domain": "zone-a",
        "platform": platform.address,
        "memory_mb": MEMORY_MB,
        "max_open_files": MAX_OPEN_FILES,
        **{f"{name}_listen": address for name, address in addresses.items()},
    }
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "settings.json"
        file.write_text(json.dumps(settings))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "platform/run.py",
            cwd=ROOT,
            env={**os.environ, "TANAGERKEEL_BOOT": str(file)},
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        node = Process(process, addresses)
        try:
            while not await node.answers():
                await asyncio.sleep(0.1)
            yield node
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            await engine.stop()
            engine.release_port()
            await platform.stop(0.0)


async def check_crowd(
    name: str, count: int, pieces: Callable[[], Iterable[bytes]]
) -> None:
    """Run a crowd at one address and check the process beside it."""
    async with asyncio.timeout(TEST_TIMEOUT_S), node_process() as node:
        async with crowd(node.addresses[name], count, pieces):
            await node.check_beside_crowd()


async def check_requests_ahead(name: str, head: str) -> None:
    request = f"GET {PATHS[name]} HTTP/1.1\r\n{head}\r\n".encode()
    await check_crowd(name, SENDERS_AHEAD, lambda: requests_ahead(request))


async def check_bodies(name: str, length: str) -> None:
    path = PATHS[name]
    await check_crowd(name, BODY_SENDERS, lambda: body(path, length, BODY_BYTES))


async def test_requests_ahead_without_headers_exhaust_no_memory_at_callers():
    await check_requests_ahead("callers", "")


async def test_requests_ahead_exhaust_no_memory_at_readiness():
    await check_requests_ahead("readiness", "Host: a\r\n")


async def test_requests_ahead_exhaust_no_memory_at_metrics():
    await check_requests_ahead("metrics", "Host: a\r\n")


async def test_requests_ahead_exhaust_no_memory_at_forwards():
    await check_requests_ahead("forward", "Host: a\r\n")


async def test_announced_bodies_that_stop_exhaust_no_memory_at_callers():
    await check_bodies("callers", "Content-Length: 999999")


async def test_chunked_bodies_that_stop_exhaust_no_memory_at_callers():
    await check_bodies("callers", CHUNKED)


async def test_bodies_that_stop_exhaust_no_memory_at_forwards():
    await check_bodies("forward", CHUNKED)


async def test_bodies_far_over_the_limit_exhaust_no_memory_at_any_address():
    async with asyncio.timeout(TEST_TIMEOUT_S), node_process() as node:
        async with contextlib.AsyncExitStack() as stack:
            for name, path in PATHS.items():
                for length in (ANNOUNCED, CHUNKED):
                    pieces = functools.partial(body, path, length, OVERSIZED_BYTES)
                    address = node.addresses[name]
                    await stack.enter_async_context(
                        crowd(address, OVERSIZED_SENDERS, pieces)
                    )
            await node.check_beside_crowd()


async def test_idle_connections_leave_descriptors_for_ordinary_callers():
    await check_crowd("callers", IDLE_CONNECTIONS, lambda: ())


async def test_idle_connections_at_other_addresses_leave_descriptors_for_callers():
    async with asyncio.timeout(TEST_TIMEOUT_S), node_process() as node:
        async with contextlib.AsyncExitStack() as stack:
            for name in ("forward", "readiness", "metrics"):
                address = node.addresses[name]
                await stack.enter_async_context(
                    crowd(address, IDLE_CONNECTIONS, lambda: ())
                )
            await node.check_beside_crowd()


def load_tests(loader, tests, pattern):
    return collect(globals())

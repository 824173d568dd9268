"""Runs a system to measure: stand-ins and one entry node, each in its own process."""

import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile
from collections.abc import AsyncIterator

import aiohttp
import attrs

from tanagerkeel import codec
from tanagerkeel.entry import EntrySettings, SigningKey
from tanagerkeel.fleet import BackendState
from tanagerkeel.gateways.callers import NodeStatus
from tanagerkeel.standins import EngineProfile
from tanagerkeel.standins._example import EXAMPLE_DOMAIN, example_configuration

__all__ = ["MeasuredSystem", "measured_system"]

HOST = "127.0.0.1"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
POLL_S = 0.05
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class MeasuredSystem:
    """
    A running system.

    :param callers: ``IP:PORT`` where the entry node serves callers.
    :param operators: ``IP:PORT`` where the entry node serves operators.
    :param engines: ``IP:PORT`` of each engine.
    :param entry_pid: process id of the entry node.
    """

    callers: str
    operators: str
    engines: tuple[str, ...]
    entry_pid: int

    def memory_mb(self) -> float:
        """Return the entry node's resident memory, in megabytes."""
        fields = pathlib.Path(f"/proc/{self.entry_pid}/statm").read_text().split()
        return int(fields[1]) * PAGE_BYTES / 1e6

    def cpu_s(self) -> float:
        """Return the CPU time that the entry node has used, in seconds."""
        text = pathlib.Path(f"/proc/{self.entry_pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def _free_port() -> int:
    server = await asyncio.start_server(lambda r, w: None, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


async def _start(
    stack: contextlib.AsyncExitStack, *arguments: str
) -> asyncio.subprocess.Process:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        *arguments,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )

    async def stop() -> None:
        with contextlib.suppress(ProcessLookupError):
            process.terminate()
        try:
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
        except TimeoutError:
            process.kill()

    stack.push_async_callback(stop)
    return process


async def _wait_for(client: aiohttp.ClientSession, url: str) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(aiohttp.ClientError):
                async with client.get(url) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(POLL_S)


async def _wait_until_warm(
    client: aiohttp.ClientSession, operators: str, engine_count: int
) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            async with client.get(f"http://{operators}/status") as response:
                status = codec.decode(await response.read(), NodeStatus)
            states = [backend.state for backend in status.backends]
            if states == [BackendState.WARM] * engine_count:
                return
            await asyncio.sleep(POLL_S)


async def _start_standin(
    stack: contextlib.AsyncExitStack, kind: str, *options: str
) -> str:
    address = f"{HOST}:{await _free_port()}"
    module = "tanagerkeel.cli.standin"
    await _start(stack, module, kind, "--listen", address, *options)
    return address


async def _submit(
    client: aiohttp.ClientSession, platform: str, engines: list[str], tokens: int
) -> None:
    document = codec.encode(example_configuration(engines, (), tokens))
    async with client.put(
        f"http://{platform}/kv/configuration", data=document
    ) as response:
        response.raise_for_status()


async def _settings(platform: str) -> EntrySettings:
    ports = [await _free_port() for _ in range(4)]
    callers, operators, peers, forward = (f"{HOST}:{port}" for port in ports)
    return EntrySettings(
        node_id="measured",
        failure_domain=EXAMPLE_DOMAIN,
        callers_listen=callers,
        operators_listen=operators,
        peers_listen=peers,
        forward_listen=forward,
        platform=platform,
        signing_keys=(SigningKey(1, "00" * 32),),
    )


@contextlib.asynccontextmanager
async def measured_system(
    client: aiohttp.ClientSession, profile: EngineProfile, engine_count: int
) -> AsyncIterator[MeasuredSystem]:
    """
    Run one entry node in front of engines, each in its own process.

    :param client: HTTP client for set-up and readiness checks.
    :param profile: speed and memory of each engine.
    :param engine_count: number of engines.
    """
    async with contextlib.AsyncExitStack() as stack:
        directory = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        profile_file = directory / "profile.json"
        profile_file.write_bytes(codec.encode(profile))
        engines = [
            await _start_standin(stack, "engine", "--profile", str(profile_file))
            for _ in range(engine_count)
        ]
        platform = await _start_standin(stack, "platform")
        for address in engines:
            await _wait_for(client, f"http://{address}/v1/load")
        await _wait_for(client, f"http://{platform}/calls")
        await _submit(client, platform, engines, profile.memory_tokens)
        settings = await _settings(platform)
        settings_file = directory / "settings.json"
        settings_file.write_bytes(codec.encode(settings))
        module = "tanagerkeel.cli.entry"
        entry = await _start(stack, module, "--settings", str(settings_file))
        await _wait_for(client, f"http://{settings.operators_listen}/readyz")
        await _wait_until_warm(client, settings.operators_listen, engine_count)
        yield MeasuredSystem(
            settings.callers_listen,
            settings.operators_listen,
            tuple(engines),
            entry.pid,
        )

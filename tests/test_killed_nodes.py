"""Entry processes killed or paused during a call that may run at most once."""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import tempfile

import aiohttp
import attrs

from tanagerkeel import codec
from tanagerkeel.standins import PlatformStandIn, ServiceFaults, ServiceStandIn
from tanagerkeel.standins._example import EXAMPLE_KEY
from tests.fixtures import entry_settings, serving_standin, until
from tests.fixtures_services import Reply, service_configuration
from tests.runner import ROOT
from tests.support import collect

BODY = b"seat 12"
START_TIMEOUT_S = 20.0


@attrs.define
class Process:
    """An entry node that runs as a separate process."""

    process: asyncio.subprocess.Process
    address: str = ""
    _reader: asyncio.Task | None = None

    async def wait_started(self):
        async with asyncio.timeout(START_TIMEOUT_S):
            async for line in self.process.stderr:
                event = json.loads(line)
                if event.get("message_type") == "entry_started":
                    self.address = event["callers"]
                    break
        # The process goes on logging; a full pipe would block it.
        self._reader = asyncio.create_task(self.process.stderr.read())

    def signal(self, number):
        self.process.send_signal(number)

    async def kill(self):
        if self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        await self.process.wait()
        await self._reader


@contextlib.asynccontextmanager
async def running_processes(count=3, delay_ms=1_500):
    """Run entry processes, ready to serve, and one plain service."""
    async with contextlib.AsyncExitStack() as stack:
        service = ServiceStandIn(faults=ServiceFaults(delay_ms=delay_ms))
        address = await stack.enter_async_context(serving_standin(service))
        platform = PlatformStandIn()
        store = await stack.enter_async_context(serving_standin(platform))
        await platform.put(
            "configuration", codec.encode(service_configuration([address]))
        )
        client = await stack.enter_async_context(
            aiohttp.ClientSession(headers={"Authorization": f"Bearer {EXAMPLE_KEY}"})
        )
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        nodes = []
        for index in range(count):
            path = folder / f"{index}.json"
            path.write_bytes(codec.encode(entry_settings(store, f"node-{index}")))
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tanagerkeel.cli.entry",
                "--settings",
                str(path),
                stderr=asyncio.subprocess.PIPE,
                cwd=ROOT,
                limit=1 << 20,
            )
            nodes.append(Process(process))
            stack.push_async_callback(nodes[-1].kill)
        await asyncio.gather(*(node.wait_started() for node in nodes))
        for node in nodes:
            await _until_configured(client, node)
        yield service, client, nodes


async def _until_configured(client, node):
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            async with client.get(f"http://{node.address}/v1/models") as response:
                if response.status == 200:
                    return
            await asyncio.sleep(0.05)


async def reserve(client, node):
    url = f"http://{node.address}/v1/services/booking/reserve"
    headers = {"Idempotency-Key": "k-1"}
    async with client.post(url, data=BODY, headers=headers) as response:
        return Reply(response.status, await response.read())


async def send_to_all(service, client, nodes):
    """Send one reservation to every node; return the call that runs and its node."""
    calls = {asyncio.create_task(reserve(client, node)): node for node in nodes}
    await until(lambda: service.executions_by_body[BODY] == 1)
    await until(lambda: sum(call.done() for call in calls) == len(nodes) - 1)
    for call in calls:
        if call.done():
            assert (call.result().status, call.result().ran) == (409, "unknown")
    call = next(c for c in calls if not c.done())
    return call, calls[call]


async def test_killed_owners_call_is_never_run_again():
    async with running_processes() as (service, client, nodes):
        call, owner = await send_to_all(service, client, nodes)
        owner.signal(signal.SIGKILL)
        failed = (await asyncio.gather(call, return_exceptions=True))[0]
        assert isinstance(failed, aiohttp.ClientError)
        others = [node for node in nodes if node is not owner]
        # Lasts longer than the execution, whose end must not free the claim.
        for _ in range(4):
            for node in others:
                reply = await reserve(client, node)
                assert (reply.status, reply.ran) == (409, "unknown"), reply
            await asyncio.sleep(0.5)
        assert service.executions_by_body[BODY] == 1


async def test_paused_owner_wakes_to_its_own_outcome():
    async with running_processes() as (service, client, nodes):
        call, owner = await send_to_all(service, client, nodes)
        owner.signal(signal.SIGSTOP)
        others = [node for node in nodes if node is not owner]
        for node in others:
            reply = await reserve(client, node)
            assert (reply.status, reply.ran) == (409, "unknown")
        await asyncio.sleep(2.0)
        owner.signal(signal.SIGCONT)
        first = await call
        assert first.status == 200
        async with asyncio.timeout(START_TIMEOUT_S):
            while (again := await reserve(client, others[0])).status != 200:
                assert again.ran in ("no", "unknown")
                await asyncio.sleep(0.1)
        assert again == first
        assert service.executions_by_body[BODY] == 1


def load_tests(loader, tests, pattern):
    return collect(globals())

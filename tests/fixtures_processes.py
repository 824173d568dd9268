"""Real entry processes that use stand-ins, and a load balancer in front of them."""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import tempfile
from collections.abc import AsyncIterator

import aiohttp
import attrs

from tanagerkeel import codec
from tanagerkeel.standins import EngineProfile, EngineStandIn, PlatformStandIn
from tests.fixtures import entry_settings, serving_standin
from tests.fixtures_nodes import KEY, MODEL, fleet_configuration

POLL_INTERVAL_S = 0.05
START_TIMEOUT_S = 20.0
FAST_PROFILE = EngineProfile(decode_rate=500.0, cold_limit=64)


@attrs.define(eq=False)
class NodeProcess:
    """One ``tanagerkeel-entry`` process."""

    node_id: str
    domain: str
    process: asyncio.subprocess.Process
    client: aiohttp.ClientSession
    log_path: pathlib.Path
    callers: str = ""
    operators: str = ""

    async def read_addresses(self) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self.callers:
                for line in self.log_path.read_text().splitlines():
                    event = json.loads(line)
                    if event.get("message_type") == "entry_started":
                        self.callers = event["callers"]
                        self.operators = event["operators"]
                await asyncio.sleep(POLL_INTERVAL_S)

    def events(self, name) -> list:
        lines = map(json.loads, self.log_path.read_text().splitlines())
        return [event for event in lines if event.get("message_type") == name]

    async def get_operator_page(self, path) -> tuple[int, str]:
        url = f"http://{self.operators}{path}"
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with self.client.get(url, timeout=timeout) as response:
            return response.status, await response.text()

    async def is_ready(self) -> bool:
        try:
            return (await self.get_operator_page("/readyz"))[0] == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def status(self) -> dict:
        return json.loads((await self.get_operator_page("/status"))[1])

    async def metric(self, name, *labels) -> float:
        lines = (await self.get_operator_page("/metrics"))[1].splitlines()
        matching = (x for x in lines if x.startswith(name))
        selected = (x for x in matching if not labels or any(n in x for n in labels))
        return sum(float(x.split()[-1]) for x in selected)

    def signal(self, signal_number) -> None:
        if self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def wait(self) -> int:
        async with asyncio.timeout(START_TIMEOUT_S):
            return await self.process.wait()

    def post_chat(self, prompt="When?", max_tokens=4, stream=False, key=KEY):
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": max_tokens,
            "stream": stream,
        }
        url = f"http://{self.callers}/v1/chat/completions"
        return self.client.post(
            url, json=body, headers={"Authorization": f"Bearer {key}"}
        )


@attrs.define
class ProcessFleet:
    """
    Entry processes of several failure domains and the stand-ins they use.

    :param engines: the engine stand-ins of each failure domain.
    :param configuration: the configuration submitted last.
    """

    platform: PlatformStandIn
    platform_address: str
    engines: dict
    client: aiohttp.ClientSession
    directory: pathlib.Path
    configuration: object
    nodes: list = attrs.field(factory=list)
    _started_count: int = 0

    async def start(self, domain, peers=(), **changes) -> NodeProcess:
        self._started_count += 1
        node_id = f"{domain}-{self._started_count}"
        settings = attrs.evolve(
            entry_settings(self.platform_address, node_id),
            failure_domain=domain,
            peers=tuple(peers),
            **{"drain_delay_s": 0.5, **changes},
        )
        path = self.directory / f"{node_id}.json"
        path.write_bytes(codec.encode(settings))
        log_path = self.directory / f"{node_id}.log"
        with log_path.open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "tanagerkeel.cli.entry",
                "--settings",
                str(path),
                stderr=log,
            )
        node = NodeProcess(node_id, domain, process, self.client, log_path)
        self.nodes.append(node)
        await node.read_addresses()
        return node

    async def submit(self, configuration) -> int:
        self.configuration = configuration
        document = codec.encode(configuration)
        return await self.platform.put("configuration", document, None)

    async def set_domain_out(self, name, out=True) -> int:
        domains = tuple(
            attrs.evolve(d, out=out) if d.name == name else d
            for d in self.configuration.failure_domains
        )
        return await self.submit(
            attrs.evolve(self.configuration, failure_domains=domains)
        )


@attrs.define
class Balancer:
    """
    Spreads requests over nodes that are ready, as the platform's load balancer does.

    :param failures: node id and error of each request without a complete answer.
    """

    fleet: ProcessFleet
    ready: list = attrs.field(factory=list)
    answered: int = 0
    failures: list = attrs.field(factory=list)
    first_token_s: list = attrs.field(factory=list)
    _request_count: int = 0

    async def poll_readiness(self) -> None:
        while True:
            nodes = [n for n in self.fleet.nodes if n.process.returncode is None]
            readiness = await asyncio.gather(*(n.is_ready() for n in nodes))
            self.ready = [n for n, s in zip(nodes, readiness, strict=True) if s]
            await asyncio.sleep(2 * POLL_INTERVAL_S)

    async def run_caller(self, tokens=16) -> None:
        while True:
            if not self.ready:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            self._request_count += 1
            node = self.ready[self._request_count % len(self.ready)]
            await self._send_request(node, tokens)

    async def _send_request(self, node, tokens) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            async with node.post_chat(max_tokens=tokens, stream=True) as response:
                first = await response.content.readline()
                self.first_token_s.append(loop.time() - started)
                rest = await response.content.read()
        except aiohttp.ClientError as error:
            self.failures.append((node.node_id, repr(error)))
            return
        if response.status == 200 and rest.endswith(b"data: [DONE]\n\n"):
            self.answered += 1
        else:
            self.failures.append((node.node_id, response.status, (first + rest)[-300:]))


async def eventually(condition, timeout_s=15.0) -> None:
    """Wait until an asynchronous condition is true."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def process_fleet(engines) -> AsyncIterator[ProcessFleet]:
    """
    Run the stand-ins in this process; on exit, kill every entry process.

    :param engines: number of engines by failure domain.
    """
    async with contextlib.AsyncExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        standins = {
            d: [EngineStandIn(FAST_PROFILE) for _ in range(n)]
            for d, n in engines.items()
        }
        addresses = {
            d: [await stack.enter_async_context(serving_standin(s)) for s in group]
            for d, group in standins.items()
        }
        platform = PlatformStandIn()
        platform_address = await stack.enter_async_context(serving_standin(platform))
        client = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        )
        fleet = ProcessFleet(
            platform,
            platform_address,
            standins,
            client,
            pathlib.Path(directory),
            fleet_configuration(addresses),
        )
        stack.push_async_callback(_kill_all, fleet)
        await fleet.submit(fleet.configuration)
        yield fleet


async def _kill_all(fleet) -> None:
    for node in fleet.nodes:
        node.signal(signal.SIGCONT)
        node.signal(signal.SIGKILL)
    for node in fleet.nodes:
        await node.process.wait()

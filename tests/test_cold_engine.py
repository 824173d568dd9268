"""Three entry nodes share one cold engine that crashes above its limit of requests."""

import asyncio
import contextlib

import aiohttp

from tanagerkeel import codec
from tanagerkeel.entry import EntryNode
from tanagerkeel.standins import EngineProfile, EngineStandIn, PlatformStandIn
from tanagerkeel.standins._example import EXAMPLE_KEY, example_configuration
from tests.fixtures import entry_settings, serving, serving_standin, until
from tests.fixtures_services import stop_quickly
from tests.support import collect

COLD_LIMIT = 2
REQUEST_COUNT = 18
STAYS_COLD = EngineProfile(
    starts_cold=True,
    cold_limit=COLD_LIMIT,
    warm_up_s=1e6,
    warm_up_tokens=10**9,
    decode_rate=100.0,
    restart_s=0.02,
)


async def test_nodes_together_keep_a_cold_engines_limit():
    async with contextlib.AsyncExitStack() as stack:
        engine = EngineStandIn(profile=STAYS_COLD)
        address = await stack.enter_async_context(serving_standin(engine))
        platform = PlatformStandIn()
        store = await stack.enter_async_context(serving(platform.app()))
        document = codec.encode(example_configuration([address]))
        await platform.put("configuration", document)
        client = await stack.enter_async_context(
            aiohttp.ClientSession(headers={"Authorization": f"Bearer {EXAMPLE_KEY}"})
        )
        nodes = [EntryNode(entry_settings(store, f"node-{n}")) for n in range(3)]
        for node in nodes:
            await node.start()
            stack.push_async_callback(stop_quickly, node)
        await until(lambda: all(len(n.context.members.view.nodes) == 3 for n in nodes))

        max_running = 0

        async def sample_running():
            nonlocal max_running
            while True:
                max_running = max(max_running, engine.running)
                await asyncio.sleep(0.002)

        async def send_request(number):
            node = nodes[number % len(nodes)]
            url = f"http://{node.callers_address}/v1/chat/completions"
            message = {"role": "user", "content": f"Question {number}"}
            body = {"model": "petition-summary", "messages": [message]}
            body["max_tokens"] = 8
            async with client.post(url, json=body) as response:
                return response.status, await response.text()

        sampler = asyncio.create_task(sample_running())
        # Nodes that have just started lend no shares of permits yet, so early requests
        # are refused.
        async with asyncio.timeout(20):
            while (await send_request(0))[0] != 200:
                await asyncio.sleep(0.1)
        answers = await asyncio.gather(*(send_request(n) for n in range(REQUEST_COUNT)))
        sampler.cancel()
        assert engine.crashes == 0, (engine.crashes, max_running, answers)
        assert 0 < max_running <= COLD_LIMIT, (max_running, answers)
        statuses = [status for status, _ in answers]
        assert statuses.count(200) >= REQUEST_COUNT // 2, answers
        refused = [text for status, text in answers if status != 200]
        assert all('"ran":"no"' in text for text in refused), refused


def load_tests(loader, tests, pattern):
    return collect(globals())

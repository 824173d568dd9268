"""Fixtures that run entry nodes of several failure domains in one process."""

import contextlib
import json
from collections.abc import AsyncIterator

import aiohttp
import attrs

from tanagerkeel import codec
from tanagerkeel.configuration import (
    BackendKind,
    BackendServer,
    ClientAccount,
    Configuration,
    FailureDomain,
    Market,
    Model,
    Operation,
    Service,
    hash_key,
)
from tanagerkeel.entry import EntryNode
from tanagerkeel.standins import EngineStandIn, PlatformStandIn, ServiceStandIn
from tests.fixtures import entry_settings, serving_standin, until

KEY = "key-of-agency-1"
MODEL = "petition-summary"


@attrs.define
class Fleet:
    """Entry nodes by id, and the stand-ins behind them by failure domain."""

    platform: PlatformStandIn
    platform_address: str
    client: aiohttp.ClientSession
    configuration: Configuration
    engines: dict = attrs.field(factory=dict)
    services: dict = attrs.field(factory=dict)
    nodes: dict = attrs.field(factory=dict)

    async def start_node(self, node_id, domain, **changes) -> EntryNode:
        settings = attrs.evolve(
            entry_settings(self.platform_address, node_id),
            failure_domain=domain,
            **changes,
        )
        node = self.nodes[node_id] = EntryNode(settings)
        await node.start()
        return node

    async def submit(self, configuration) -> None:
        self.configuration = configuration
        await self.platform.put("configuration", codec.encode(configuration), None)

    async def set_domain_out(self, name, out=True) -> None:
        domains = tuple(
            attrs.evolve(d, out=out) if d.name == name else d
            for d in self.configuration.failure_domains
        )
        await self.submit(attrs.evolve(self.configuration, failure_domains=domains))

    async def ask(self, node, prompt="When?", **headers) -> "Answer":
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": 4,
        }
        url = f"http://{node.callers_address}/v1/chat/completions"
        async with self.client.post(url, json=body, headers=headers) as response:
            return Answer(response.status, json.loads(await response.text()))

    async def call(self, node, key) -> "Answer":
        url = f"http://{node.callers_address}/v1/services/booking/reserve"
        headers = {"Idempotency-Key": key}
        async with self.client.post(url, data=b"{}", headers=headers) as response:
            return Answer(response.status, await response.text())

    def knows_domain(self, node, domain) -> bool:
        """Return whether any node of ``node``'s domain has a summary of ``domain``."""
        now = node.context.clock.monotonic()
        tables = (
            n._control.domains.summaries
            for n in self.nodes.values()
            if n.context.settings.failure_domain == node.context.settings.failure_domain
        )
        return any(table.get(domain, now) is not None for table in tables)


@attrs.frozen
class Answer:
    """An HTTP answer; its body is decoded JSON for models, text for services."""

    status: int
    body: object


def fleet_configuration(engines, services=()) -> Configuration:
    """
    Return a configuration with one model and the booking service.

    :param engines: addresses of engines by failure domain.
    :param services: addresses of service instances by failure domain.
    """
    domains = sorted({*engines, *services})
    servers = [
        BackendServer(
            f"{domain}-engine-{index}",
            BackendKind.ENGINE,
            address,
            domain,
            models=(MODEL,),
        )
        for domain, addresses in sorted(engines.items())
        for index, address in enumerate(addresses)
    ]
    servers += [
        BackendServer(
            f"{domain}-booking-{index}",
            BackendKind.SERVICE,
            address,
            domain,
            services=("booking",),
        )
        for domain, addresses in sorted(dict(services).items())
        for index, address in enumerate(addresses)
    ]
    account = ClientAccount(
        "agency-1", "oath", (hash_key(KEY),), models=(MODEL,), services=("booking",)
    )
    return Configuration(
        markets=(Market("oath", "visayas"),),
        client_accounts=(account,),
        models=(Model(MODEL),),
        services=(Service("booking", (Operation("reserve"),)),),
        failure_domains=tuple(FailureDomain(d, "visayas") for d in domains),
        backend_servers=tuple(servers),
    )


@contextlib.asynccontextmanager
async def running_fleet(engines, services=(), nodes=()) -> AsyncIterator[Fleet]:
    """
    Run entry nodes of several failure domains with stand-ins.

    :param engines: number of engines by failure domain.
    :param services: number of instances of the booking service by failure domain.
    :param nodes: node ids by failure domain.
    """
    async with contextlib.AsyncExitStack() as stack:
        engine_map = {
            d: [EngineStandIn() for _ in range(n)] for d, n in engines.items()
        }
        service_map = {
            d: [ServiceStandIn() for _ in range(n)] for d, n in dict(services).items()
        }
        addresses = [
            {d: [await _serve(stack, s) for s in standins] for d, standins in m.items()}
            for m in (engine_map, service_map)
        ]
        platform = PlatformStandIn()
        client = await stack.enter_async_context(
            aiohttp.ClientSession(headers={"Authorization": f"Bearer {KEY}"})
        )
        fleet = Fleet(
            platform,
            await _serve(stack, platform),
            client,
            fleet_configuration(*addresses),
            engine_map,
            service_map,
        )
        await fleet.submit(fleet.configuration)
        stack.push_async_callback(_stop_all, fleet)
        for domain, names in dict(nodes).items():
            for name in names:
                await fleet.start_node(name, domain)
        await until(lambda: all(n.ready() for n in fleet.nodes.values()))
        yield fleet


async def _serve(stack, standin):
    return await stack.enter_async_context(serving_standin(standin))


async def _stop_all(fleet):
    for node in fleet.nodes.values():
        await node.stop()

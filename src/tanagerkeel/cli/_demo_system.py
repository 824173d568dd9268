"""A small system in one process: stand-ins and an entry node before them."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import attrs

from tanagerkeel import codec
from tanagerkeel.entry import EntryNode, EntrySettings, SigningKey
from tanagerkeel.fleet import BackendState
from tanagerkeel.standins import (
    EngineProfile,
    EngineStandIn,
    PlatformStandIn,
    ServiceStandIn,
    serve_standin,
)
from tanagerkeel.standins._example import (
    EXAMPLE_DOMAIN,
    EXAMPLE_KEY,
    EXAMPLE_MODEL,
    example_configuration,
)

__all__ = ["ENGINE_MEMORY_TOKENS", "ENGINE_NAMES", "DemoPorts", "DemoSystem"]

ENGINE_MEMORY_TOKENS = 60_000
ENGINE_NAMES = ("engine-0", "engine-1", "engine-2")
WARM_PROFILE = EngineProfile(memory_tokens=ENGINE_MEMORY_TOKENS, decode_rate=100.0)
COLD_PROFILE = attrs.evolve(WARM_PROFILE, starts_cold=True, warm_up_s=6.0)
WARM_ENGINE_COUNT = 2
LOOPBACK_HOST = "127.0.0.1"
SIGNING_KEY = SigningKey(1, "00" * 32)
POLL_INTERVAL_S = 0.01


@attrs.frozen
class DemoPorts:
    """
    Ports to listen on; 0 lets the operating system choose one.

    :param callers: the entry node's port for callers.
    :param operators: the entry node's port for operators.
    :param platform: port of the stand-in platform.
    :param service: port of the stand-in plain service.
    :param engines: port of the first engine; the others take the next ports.
    """

    callers: int = 0
    operators: int = 0
    platform: int = 0
    service: int = 0
    engines: int = 0

    def engine(self, index: int) -> int:
        """Return the port of the engine at ``index``."""
        return self.engines + index if self.engines else 0


@attrs.frozen
class DemoSystem:
    """
    The running demonstration system.

    :param node: the entry node.
    :param engines: the engines; the last one starts cold.
    :param engine_addresses: ``IP:PORT`` of each engine.
    :param service: the plain service.
    :param service_address: ``IP:PORT`` of the plain service.
    :param platform_address: ``IP:PORT`` of the platform.
    """

    node: EntryNode
    engines: tuple[EngineStandIn, ...]
    engine_addresses: tuple[str, ...]
    service: ServiceStandIn
    service_address: str
    platform_address: str

    @classmethod
    @contextlib.asynccontextmanager
    async def running(cls, host: str, ports: DemoPorts) -> AsyncIterator["DemoSystem"]:
        """
        Start the system, wait until it serves, and stop it at the block's end.

        :param host: IP address to listen on.
        :param ports: ports to listen on.
        """
        async with contextlib.AsyncExitStack() as stack:

            async def serve(standin: object, port: int) -> str:
                server = await serve_standin(standin, host, port)
                stack.push_async_callback(server.stop, 0)
                return server.address

            engines = tuple(
                EngineStandIn(profile)
                for profile in (WARM_PROFILE, WARM_PROFILE, COLD_PROFILE)
            )
            addresses = [
                await serve(engine, ports.engine(index))
                for index, engine in enumerate(engines)
            ]
            service = ServiceStandIn()
            service_address = await serve(service, ports.service)
            platform = PlatformStandIn()
            platform_address = await serve(platform, ports.platform)
            document = example_configuration(
                addresses, (service_address,), ENGINE_MEMORY_TOKENS
            )
            await platform.put("configuration", codec.encode(document))
            node = EntryNode(_settings(host, ports, platform_address))
            await node.start()
            stack.push_async_callback(node.stop)
            while not _is_serving(node):
                await asyncio.sleep(POLL_INTERVAL_S)
            yield cls(
                node,
                engines,
                tuple(addresses),
                service,
                service_address,
                platform_address,
            )

    def example_commands(self) -> str:
        """Return shell commands that use the system, with a comment on each."""
        callers = f"http://{self.node.callers_address}"
        operators = f"http://{self.node.operators_address}"
        key = f"-H 'Authorization: Bearer {EXAMPLE_KEY}'"
        chat = (
            f'{{"model": "{EXAMPLE_MODEL}", "stream": true, "max_tokens": 200, '
            '"messages": [{"role": "user", "content": "When is the next oath date?"}]}'
        )
        booking = "-H 'Idempotency-Key: seat-12' -d 'seat 12'"
        return "\n".join(
            (
                "The system is running; press Ctrl-C to stop it. Try:",
                "",
                "# a streamed answer",
                f"curl -N {key} -H 'X-Request-Id: mine' \\",
                f"  {callers}/v1/chat/completions \\",
                f"  -d '{chat}'",
                "# why the node chose the engine that it chose",
                f"curl {operators}/explain/mine",
                "# a booking: send it twice, it runs once",
                f"curl {key} {booking} {callers}/v1/services/booking/reserve",
                f"curl http://{self.service_address}/executions",
                "# an engine dies; send the streamed answer beside it",
                f"curl -X POST http://{self.engine_addresses[0]}/crash",
                "# the platform is down for ten seconds",
                f"curl -X PUT http://{self.platform_address}/faults \\",
                '  -d \'{"outage": "refused", "outage_ms": 10000}\'',
                "# what the node sees",
                f"curl {operators}/status",
                f"curl {operators}/metrics",
            )
        )


def _is_serving(node: EntryNode) -> bool:
    """Return whether the node is ready and knows of its warm engines."""
    states = [backend.state for backend in node.status().backends]
    warm = states.count(BackendState.WARM)
    return node.ready() and warm >= WARM_ENGINE_COUNT


def _settings(host: str, ports: DemoPorts, platform_address: str) -> EntrySettings:
    return EntrySettings(
        node_id="demo",
        failure_domain=EXAMPLE_DOMAIN,
        callers_listen=f"{host}:{ports.callers}",
        operators_listen=f"{host}:{ports.operators}",
        peers_listen=f"{LOOPBACK_HOST}:0",
        forward_listen=f"{LOOPBACK_HOST}:0",
        platform=platform_address,
        signing_keys=(SIGNING_KEY,),
        drain_delay_s=0.0,
    )

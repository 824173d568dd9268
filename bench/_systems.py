"""The two systems under comparison: our entry nodes, and the naive baseline."""

import contextlib
from collections.abc import AsyncIterator, Callable

import aiohttp
import attrs

from bench.naive import NaiveRunner
from tanagerkeel import codec
from tanagerkeel.configuration import (
    BackendKind,
    BackendServer,
    ClientAccount,
    Configuration,
    FailureDomain,
    LengthClassPolicy,
    Market,
    Model,
)
from tanagerkeel.entry import EntryNode, EntrySettings, SigningKey
from tanagerkeel.gateways.engines import HttpEngineGateway
from tanagerkeel.requests import AnswerChunk, ModelRequest
from tanagerkeel.standins import EngineProfile, PlatformStandIn, serve_standin

__all__ = ["MODEL", "AnswerFunction", "System", "naive_system", "our_system"]

MODEL = "bench"
DOMAIN = "bench-1"
ANY_PORT = "127.0.0.1:0"
OBSERVE_TIMEOUT_S = 15.0

AnswerFunction = Callable[[ModelRequest], AsyncIterator[AnswerChunk]]


@attrs.frozen
class System:
    """
    A system under load.

    :param name: its name in tables.
    :param entries: functions that answer a request, used in turn.
    :param addresses: ``IP:PORT`` of each engine.
    :param client: HTTP client for calls to the engines.
    :param nodes: the entry nodes; empty for the naive baseline.
    """

    name: str
    entries: tuple[AnswerFunction, ...]
    addresses: tuple[str, ...]
    client: aiohttp.ClientSession
    nodes: tuple[EntryNode, ...] = ()


@contextlib.asynccontextmanager
async def naive_system(addresses: tuple[str, ...]) -> AsyncIterator[System]:
    """Run the naive baseline in front of engines."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as client:
        runner = NaiveRunner(HttpEngineGateway(client), addresses)
        yield System("naive", (runner.answer,), addresses, client)


@contextlib.asynccontextmanager
async def our_system(
    addresses: tuple[str, ...],
    profile: EngineProfile,
    accounts: tuple[str, ...],
    node_count: int = 2,
) -> AsyncIterator[System]:
    """
    Run entry nodes with their control tasks in front of engines.

    :param addresses: ``IP:PORT`` of each engine.
    :param profile: memory and cold limit of each engine.
    :param accounts: names of the client accounts.
    :param node_count: number of entry nodes.
    """
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(aiohttp.ClientSession())
        platform = PlatformStandIn()
        server = await serve_standin(platform, "127.0.0.1", 0)
        stack.push_async_callback(server.stop, grace_s=0)
        document = _configuration(addresses, profile, accounts)
        await platform.put("configuration", codec.encode(document), None)
        nodes = []
        for number in range(node_count):
            node = EntryNode(_settings(server.address, f"node-{number}"))
            await node.start()
            stack.push_async_callback(node.stop)
            nodes.append(node)
        for node in nodes:
            await _wait_until_observed(node, len(addresses))
        entries = tuple(node.answer for node in nodes)
        yield System("ours", entries, addresses, client, tuple(nodes))


async def _wait_until_observed(node: EntryNode, engines: int) -> None:
    clock = node.context.clock
    limit_s = clock.monotonic() + OBSERVE_TIMEOUT_S
    while clock.monotonic() < limit_s:
        snapshots = tuple(node.context.fleet.snapshots(clock.monotonic()))
        if node.ready() and sum(1 for s in snapshots if s.incarnation) >= engines:
            return
        await clock.sleep(0.05)
    raise TimeoutError("the entry node did not get load reports of all engines in time")


def _configuration(
    addresses: tuple[str, ...], profile: EngineProfile, accounts: tuple[str, ...]
) -> Configuration:
    servers = tuple(
        BackendServer(
            name=f"engine-{number:02}",
            kind=BackendKind.ENGINE,
            address=address,
            failure_domain=DOMAIN,
            models=(MODEL,),
            memory_tokens=profile.memory_tokens,
            cold_limit=profile.cold_limit,
        )
        for number, address in enumerate(addresses)
    )
    return Configuration(
        markets=(Market("bench", "bench"),),
        client_accounts=tuple(
            ClientAccount(name, "bench", (), models=(MODEL,)) for name in accounts
        ),
        models=(Model(MODEL),),
        failure_domains=(FailureDomain(DOMAIN, "bench"),),
        backend_servers=servers,
        length_classes=LengthClassPolicy(),
    )


def _settings(platform: str, node_id: str) -> EntrySettings:
    return EntrySettings(
        node_id=node_id,
        failure_domain=DOMAIN,
        callers_listen=ANY_PORT,
        operators_listen=ANY_PORT,
        peers_listen=ANY_PORT,
        forward_listen=ANY_PORT,
        platform=platform,
        signing_keys=(SigningKey(1, "11" * 32),),
        drain_delay_s=0.0,
    )

"""
Starts of relaying nodes in one process, with a store in memory and real datagrams.

``python -m bench.starts --nodes 4 30`` prints, for a fleet that starts at once, then is
calm, and then has one node restarted, how long starts take and what they cost. With
370 nodes one process is too slow for the times to mean anything; calls and bytes count.
"""

import argparse
import asyncio
import sys
import time

import attrs
from tests.platform.fixtures import (
    ANY_PORT,
    CONFIGURATION_KEY,
    MemoryStore,
    configuration,
    free_address,
)

from bench._tables import Table
from panunumpa import PlatformBackendCodec, PlatformCallerCodec, PlatformStoreDecoder
from tanagerkeel.gateways.datagrams import BatchedDatagrams
from tanagerkeel.relay_entry import RelayBounds, RelayNode, RelaySettings

# Time after the start of the fleet that counts as its start, and the time of calm that
# is measured after it, in seconds.
START_S = 12.0
CALM_S = 40.0
LONGEST_START_S = 120.0
CHECK_INTERVAL_S = 0.005
MAX_DOMAINS = 24


@attrs.define
class Traffic:
    """Datagrams of all nodes."""

    count: int = 0
    size: int = 0

    def record(self, data: bytes) -> None:
        """Count a datagram."""
        self.count += 1
        self.size += len(data)


def make_node(store: MemoryStore, name: str, domain: str) -> RelayNode:
    """Return a node that has not been started."""
    settings = RelaySettings(
        node_id=name,
        failure_domain=domain,
        callers_listen=ANY_PORT,
        readiness_listen=ANY_PORT,
        metrics_listen=ANY_PORT,
        news_listen=free_address(),
        forward_listen=free_address(),
        platform="127.0.0.1:1",
        bounds=RelayBounds(grace_s=1.0),
        drain_delay_s=0.0,
    )
    return RelayNode(
        settings,
        store,
        PlatformStoreDecoder(),
        PlatformCallerCodec(),
        PlatformBackendCodec(),
    )


async def until_ready(nodes: list[RelayNode]) -> float:
    """Wait until nodes are ready; return how long it took, in seconds."""
    began_s = time.monotonic()
    while not all(node.state.ready for node in nodes):
        if time.monotonic() > began_s + LONGEST_START_S:
            return float("inf")
        await asyncio.sleep(CHECK_INTERVAL_S)
    return time.monotonic() - began_s


def calls(store: MemoryStore) -> int:
    """Return the number of calls to the store so far."""
    return len(store.calls) - store.calls.count("watched")


async def measure(nodes_count: int, traffic: Traffic) -> tuple[object, ...]:
    """Return a row of the table."""
    store = MemoryStore()
    store.write(CONFIGURATION_KEY, configuration())
    domains = min(MAX_DOMAINS, max(3, nodes_count // 15))
    nodes = [
        make_node(store, f"n{number}", f"zone-{number % domains}")
        for number in range(nodes_count)
    ]
    for node in nodes:
        await node.start()
    first_s = await until_ready(nodes)
    await asyncio.sleep(max(0.0, START_S - first_s))
    start_calls, start_bytes = calls(store), traffic.size
    began_s = time.monotonic()
    await asyncio.sleep(CALM_S)
    calm_s = time.monotonic() - began_s
    calm_calls, calm_bytes = calls(store) - start_calls, traffic.size - start_bytes
    await nodes[0].stop()
    restarted = make_node(store, "n0", "zone-0")
    nodes[0] = restarted
    before_calls = calls(store)
    await restarted.start()
    restart_s = await until_ready([restarted])
    restart_calls = calls(store) - before_calls
    await asyncio.gather(*(node.stop() for node in nodes))
    return (
        nodes_count,
        round(first_s, 2),
        round(start_calls / nodes_count, 1),
        round(start_bytes / nodes_count),
        round(calm_calls / calm_s / nodes_count, 3),
        round(calm_bytes / calm_s / nodes_count),
        round(restart_s, 3),
        restart_calls,
    )


def main(arguments: list[str] | None = None) -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, help="ignored: nothing here is drawn")
    parser.add_argument("--nodes", type=int, nargs="+", default=[4, 30])
    options = parser.parse_args(arguments)
    columns = (
        "nodes",
        "all ready s",
        f"calls a node in {START_S:.0f} s",
        f"bytes a node in {START_S:.0f} s",
        "calm calls/s a node",
        "calm bytes/s sent a node",
        "one restarted, ready s",
        "calls of all nodes meanwhile",
    )
    table = Table("Starts", columns)
    traffic = Traffic()
    send = BatchedDatagrams.send

    def counted(self: BatchedDatagrams, data: bytes, address: tuple) -> None:
        traffic.record(data)
        send(self, data, address)

    BatchedDatagrams.send = counted
    for count in options.nodes:
        table.add(*asyncio.run(measure(count, traffic)))
    print(table.to_markdown())
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Claims a second, writes a claim and latency: group commit against a key a claim."""

import argparse
import asyncio
import contextlib
import pathlib
import random
import sys
from collections.abc import AsyncIterator

import attrs
from hdrh.histogram import HdrHistogram
from tests.fixtures_peers import Network
from tests.fixtures_platform import MemoryPlatform

from tanagerkeel import codec
from tanagerkeel.claims import CallDone, Claim, ClaimStatus, claim_key, new_id
from tanagerkeel.clock import SystemClock
from tanagerkeel.entry._claims_task import Claims
from tanagerkeel.gateways.platform import ABSENT
from tanagerkeel.membership import MembershipHolder, NodeInfo, View
from tanagerkeel.standins import PlatformStandIn

SECONDS = 4.0
PLATFORM_DELAY_S = 0.005
PEER_DELAY_S = 0.001
CALL_S = 0.05
TIMEOUT_S = 5.0
MAX_LATENCY_US = 10_000_000
MICROSECONDS = 1_000_000
MILLISECONDS = 1_000
WRITE_KINDS = ("put", "delete", "grant", "revoke", "keep_alive")
READ_KINDS = ("get", "list")
# Nodes and offered claims a second.
RUNS = ((1, 140), (4, 140), (16, 140), (8, 35), (8, 70), (8, 280), (8, 560))


@attrs.frozen
class Row:
    """One run's figures; times in milliseconds."""

    way: str
    nodes: int
    offered_per_s: int
    claims_per_s: float
    refused: int
    writes_per_claim: float
    writes_per_s: float
    reads_per_s: float
    p50_ms: float
    p95_ms: float
    peer_bytes_per_claim: float


@attrs.define
class NaiveClaims:
    """One key a claim: created before the call, and written again after it."""

    _platform: MemoryPlatform

    async def claim(self, key: str) -> bool:
        """Create the key."""
        await self._platform.put(f"naive/{key}", b"open", ABSENT)
        return True

    async def end(self, key: str) -> None:
        """Write the outcome."""
        await self._platform.put(f"naive/{key}", b"done")


@attrs.define
class LogClaims:
    """The claim log of one node."""

    _claims: Claims
    _clock: SystemClock
    _open: dict[str, Claim] = attrs.field(factory=dict)

    async def claim(self, key: str) -> bool:
        """Record a claim."""
        claim = Claim(key, new_id(), "body", "owner", TIMEOUT_S)
        deadline_s = self._clock.monotonic() + TIMEOUT_S
        result = await self._claims.claim(claim, deadline_s)
        self._open[key] = claim
        return result.status is ClaimStatus.GRANTED

    async def end(self, key: str) -> None:
        """Record the outcome."""
        claim = self._open.pop(key)
        self._claims.record_outcome(
            CallDone(key, claim.claim_id, 200, "a/b", b"r" * 200, True)
        )


@contextlib.asynccontextmanager
async def log_claims(
    store: PlatformStandIn, nodes: int, network: Network
) -> AsyncIterator[list[LogClaims]]:
    """Run the claims of some nodes that know each other."""
    clock = SystemClock()
    infos = tuple(NodeInfo(f"n{i}", "d", f"n{i}", "") for i in range(nodes))
    made = []
    tasks = []
    for info in infos:
        members = MembershipHolder(info, View(infos))
        platform = MemoryPlatform(store, clock, delay_s=PLATFORM_DELAY_S)
        claims = Claims(platform, network.create_bus(info.node_id), members, clock)
        tasks.append(asyncio.create_task(claims.run()))
        made.append(LogClaims(claims, clock))
    try:
        yield made
        for claims in made:
            await claims._claims.drain()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def run(way: str, nodes: int, rate: int, seed: int) -> Row:
    """Offer claims at random times and return what was seen."""
    store = PlatformStandIn()
    network = Network(delay_s=PEER_DELAY_S)
    latency = HdrHistogram(1, MAX_LATENCY_US, 3)
    source = random.Random(seed)
    clock = SystemClock()
    granted = 0
    refused = 0

    async def call(claims: LogClaims | NaiveClaims, number: int) -> None:
        nonlocal granted, refused
        key = claim_key("account", "booking", "reserve", str(number))
        started_s = clock.monotonic()
        if not await claims.claim(key):
            refused += 1
            return
        granted += 1
        elapsed_s = clock.monotonic() - started_s
        latency.record_value(max(1, int(elapsed_s * MICROSECONDS)))
        await clock.sleep(CALL_S)
        await claims.end(key)

    async with contextlib.AsyncExitStack() as stack:
        if way == "log":
            made = await stack.enter_async_context(log_claims(store, nodes, network))
        else:
            platforms = [
                MemoryPlatform(store, clock, delay_s=PLATFORM_DELAY_S)
                for _ in range(nodes)
            ]
            made = [NaiveClaims(platform) for platform in platforms]
        started_s = clock.monotonic()
        async with asyncio.TaskGroup() as group:
            number = 0
            while clock.monotonic() - started_s < SECONDS:
                group.create_task(call(source.choice(made), number))
                number += 1
                await clock.sleep(source.expovariate(rate))
        elapsed_s = clock.monotonic() - started_s
    writes = sum(store.calls[kind] for kind in WRITE_KINDS)
    reads = sum(store.calls[kind] for kind in READ_KINDS)
    return Row(
        way=way,
        nodes=nodes,
        offered_per_s=rate,
        claims_per_s=granted / elapsed_s,
        refused=refused,
        writes_per_claim=writes / max(1, granted),
        writes_per_s=writes / elapsed_s,
        reads_per_s=reads / elapsed_s,
        p50_ms=latency.get_value_at_percentile(50) / MILLISECONDS,
        p95_ms=latency.get_value_at_percentile(95) / MILLISECONDS,
        peer_bytes_per_claim=sum(size for *_, size in network.sent) / max(1, granted),
    )


def table(rows: list[Row]) -> str:
    """Return the rows as a Markdown table."""
    names = [field.name for field in attrs.fields(Row)]
    lines = [f"| {' | '.join(names)} |", "|" + " --- |" * len(names)]
    for row in rows:
        cells = (
            f"{value:.2f}" if isinstance(value, float) else str(value)
            for value in attrs.astuple(row)
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def main() -> int:
    """Run every size and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=pathlib.Path)
    options = parser.parse_args()
    rows = [
        asyncio.run(run(way, nodes, rate, options.seed))
        for nodes, rate in RUNS
        for way in ("log", "key a claim")
    ]
    print(table(rows))
    if options.output:
        options.output.write_bytes(codec.encode(tuple(rows)))
    return 0


if __name__ == "__main__":
    sys.exit(main())

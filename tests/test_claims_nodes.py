"""
Claims on several nodes while links, the platform and owners fail at random.

Guards against a call that runs twice under one key. This could happen when a claim's
reply is lost, a record is written late, or nodes disagree on the preferred writer.
"""

import asyncio
import collections
import random

import attrs

from tanagerkeel.claims import (
    CallDone,
    CallNotRun,
    Claim,
    ClaimPolicy,
    ClaimStatus,
    new_id,
)
from tanagerkeel.clock import SystemClock
from tanagerkeel.entry._claims_task import Claims
from tanagerkeel.membership import MembershipHolder, NodeInfo, View
from tanagerkeel.standins import PlatformStandIn
from tests.fixtures_peers import Network
from tests.fixtures_platform import MemoryPlatform
from tests.support import collect

POLICY = ClaimPolicy(
    shards=2,
    slots=8,
    batch_interval_s=0.005,
    max_part_entries=4,
    max_batch_size=6,
    record_timeout_s=0.3,
)
NODES = 4
KEYS = 25
CALLS = 150
FAULT_INTERVAL_S = 0.03
CLAIM_TIMEOUT_S = 3.0
MAX_WAIT_S = 30.0


@attrs.define
class ClaimNodes:
    """Nodes that record claims, and how often each key was executed."""

    seed: int
    store: PlatformStandIn = attrs.field(factory=PlatformStandIn)
    network: Network = attrs.field(init=False)
    claims: dict = attrs.field(factory=dict)
    platforms: dict = attrs.field(factory=dict)
    members: dict = attrs.field(factory=dict)
    executions: collections.Counter = attrs.field(factory=collections.Counter)
    statuses: collections.Counter = attrs.field(factory=collections.Counter)
    clock: SystemClock = attrs.field(factory=SystemClock)
    rng: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.rng = random.Random(self.seed)
        self.network = Network(random=random.Random(self.seed), delay_s=0.002)
        infos = [NodeInfo(f"n{i}", "d", f"n{i}", "") for i in range(NODES)]
        for info in infos:
            name = info.node_id
            platform = MemoryPlatform(self.store, self.clock, delay_s=0.002)
            members = MembershipHolder(info, View(tuple(infos)))
            bus = self.network.create_bus(name)
            self.platforms[name] = platform
            self.members[name] = members
            self.claims[name] = Claims(platform, bus, members, self.clock, POLICY)

    async def claim(self, name, key):
        claim = Claim(key, new_id(), "body", name, 60.0)
        deadline_s = self.clock.monotonic() + CLAIM_TIMEOUT_S
        result = await self.claims[name].claim(claim, deadline_s)
        self.statuses[result.status] += 1
        return claim, result

    async def wait_until_decided(self, name, key):
        """Claim until the log decides; nodes notice late that the platform is back."""
        async with asyncio.timeout(MAX_WAIT_S):
            while True:
                status = (await self.claim(name, key))[1].status
                if status not in (ClaimStatus.UNAVAILABLE, ClaimStatus.IN_DOUBT):
                    return status
                await asyncio.sleep(0.1)

    async def wait_until_free(self, name, key):
        """Wait until a key under which no call ran is granted."""
        async with asyncio.timeout(MAX_WAIT_S):
            while True:
                claim, result = await self.claim(name, key)
                if result.status is ClaimStatus.GRANTED:
                    return
                if result.status is ClaimStatus.IN_DOUBT:
                    self.claims[name].record_outcome(CallNotRun(key, claim.claim_id))
                await asyncio.sleep(0.1)

    async def call(self):
        """
        Claim, execute and record the outcome, as ServiceRunner does.

        Some owners execute the call and never record an outcome.
        """
        await asyncio.sleep(self.rng.uniform(0.0, 2.0))
        name = self.rng.choice(list(self.claims))
        key = f"k{self.rng.randrange(KEYS)}"
        claim, result = await self.claim(name, key)
        match result.status:
            case ClaimStatus.GRANTED:
                self._execute(name, claim)
            case ClaimStatus.IN_DOUBT:
                self.claims[name].record_outcome(CallNotRun(key, claim.claim_id))

    def _execute(self, name, claim):
        scenario = self.rng.choice(["done", "done", "not run", "vanish", "late"])
        if scenario == "not run":
            self.claims[name].record_outcome(CallNotRun(claim.key, claim.claim_id))
            return
        self.executions[claim.key] += 1
        if scenario == "done":
            self.claims[name].record_outcome(CallDone(claim.key, claim.claim_id, 200))

    async def inject_faults(self):
        names = list(self.claims)
        while True:
            await asyncio.sleep(FAULT_INTERVAL_S)
            name = self.rng.choice(names)
            match self.rng.randrange(6):
                case 0:
                    self.network.cut_one_way(name, self.rng.choice(names))
                case 1:
                    self.network.heal()
                case 2:
                    self.platforms[name].lose_replies = 2
                case 3:
                    self.platforms[name].lose_writes = 1
                case 4:
                    self.platforms[name].down = not self.platforms[name].down
                case 5:
                    self._shrink_view(name)

    def _shrink_view(self, name):
        holder = self.members[name]
        infos = [m.own for m in self.members.values()]
        seen = [i for i in infos if i == holder.own or self.rng.random() < 0.7]
        holder.view = View(tuple(seen))

    def clear_faults(self):
        self.network.heal()
        for name, platform in self.platforms.items():
            platform.down = False
            platform.lose_replies = platform.lose_writes = 0
            infos = tuple(m.own for m in self.members.values())
            self.members[name].view = View(infos)


async def _run(seed):
    nodes = ClaimNodes(seed)
    tasks = [asyncio.create_task(c.run()) for c in nodes.claims.values()]
    fault_task = asyncio.create_task(nodes.inject_faults())
    await asyncio.gather(*(nodes.call() for _ in range(CALLS)))
    fault_task.cancel()
    nodes.clear_faults()
    async with asyncio.timeout(MAX_WAIT_S):
        for claims in nodes.claims.values():
            await claims._outcomes.join()
    final_statuses = {}
    for key, count in nodes.executions.items():
        assert count == 1, (seed, key, count)
        for name in nodes.claims:
            final_statuses[key, name] = await nodes.wait_until_decided(name, key)
    # A key under which no call ran becomes free again after every failure.
    never_executed = {f"k{n}" for n in range(KEYS)} - nodes.executions.keys()
    await asyncio.gather(*(nodes.wait_until_free("n0", key) for key in never_executed))
    for task in (*tasks, fault_task):
        task.cancel()
    await asyncio.gather(*tasks, fault_task, return_exceptions=True)
    return nodes, final_statuses


async def test_nothing_runs_twice_whatever_fails():
    results = await asyncio.gather(*(_run(seed) for seed in range(3)))
    statuses = sum((w.statuses for w, _ in results), collections.Counter())
    assert statuses[ClaimStatus.IN_DOUBT] + statuses[ClaimStatus.UNAVAILABLE] > 0
    for nodes, final_statuses in results:
        answers = set(final_statuses.values())
        # Whichever node is asked, a call that ran is never granted again.
        assert answers <= {
            ClaimStatus.DONE,
            ClaimStatus.IN_PROGRESS,
            ClaimStatus.UNKNOWN,
        }, final_statuses
        for key in nodes.executions:
            key_statuses = {final_statuses[key, name] for name in nodes.claims}
            assert len(key_statuses) == 1, (key, final_statuses)


def load_tests(loader, tests, pattern):
    return collect(globals())

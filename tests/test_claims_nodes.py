"""Claims over several nodes while links, the platform and owners fail at random."""

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
TRIES = 150
STRIKE_S = 0.03
DEADLINE_S = 3.0
WAIT_S = 30.0


@attrs.define
class World:
    """Nodes with claims, and what was executed by whom."""

    seed: int
    store: PlatformStandIn = attrs.field(factory=PlatformStandIn)
    network: Network = attrs.field(init=False)
    claims: dict = attrs.field(factory=dict)
    platforms: dict = attrs.field(factory=dict)
    members: dict = attrs.field(factory=dict)
    executions: collections.Counter = attrs.field(factory=collections.Counter)
    statuses: collections.Counter = attrs.field(factory=collections.Counter)
    clock: SystemClock = attrs.field(factory=SystemClock)
    chance: random.Random = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.chance = random.Random(self.seed)
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
        deadline_s = self.clock.monotonic() + DEADLINE_S
        result = await self.claims[name].claim(claim, deadline_s)
        self.statuses[result.status] += 1
        return claim, result

    async def answer(self, name, key):
        """Ask until the log answers, for nodes find out late that it can."""
        async with asyncio.timeout(WAIT_S):
            while True:
                status = (await self.claim(name, key))[1].status
                if status not in (ClaimStatus.UNAVAILABLE, ClaimStatus.IN_DOUBT):
                    return status
                await asyncio.sleep(0.1)

    async def free(self, name, key):
        """Wait until a key that nothing ran under can be claimed."""
        async with asyncio.timeout(WAIT_S):
            while True:
                claim, result = await self.claim(name, key)
                if result.status is ClaimStatus.GRANTED:
                    return
                if result.status is ClaimStatus.IN_DOUBT:
                    self.claims[name].record_outcome(CallNotRun(key, claim.claim_id))
                await asyncio.sleep(0.1)

    async def call(self):
        """Claim, execute and end, as the runner does; some owners just vanish."""
        await asyncio.sleep(self.chance.uniform(0.0, 2.0))
        name = self.chance.choice(list(self.claims))
        key = f"k{self.chance.randrange(KEYS)}"
        claim, result = await self.claim(name, key)
        match result.status:
            case ClaimStatus.GRANTED:
                self._carry_out(name, claim)
            case ClaimStatus.IN_DOUBT:
                self.claims[name].record_outcome(CallNotRun(key, claim.claim_id))

    def _carry_out(self, name, claim):
        fate = self.chance.choice(["done", "done", "not run", "vanish", "late"])
        if fate == "not run":
            self.claims[name].record_outcome(CallNotRun(claim.key, claim.claim_id))
            return
        self.executions[claim.key] += 1
        if fate == "done":
            self.claims[name].record_outcome(CallDone(claim.key, claim.claim_id, 200))

    async def strike(self):
        names = list(self.claims)
        while True:
            await asyncio.sleep(STRIKE_S)
            name = self.chance.choice(names)
            match self.chance.randrange(6):
                case 0:
                    self.network.cut_one_way(name, self.chance.choice(names))
                case 1:
                    self.network.heal()
                case 2:
                    self.platforms[name].lose_replies = 2
                case 3:
                    self.platforms[name].lose_writes = 1
                case 4:
                    self.platforms[name].down = not self.platforms[name].down
                case 5:
                    self._see_fewer(name)

    def _see_fewer(self, name):
        holder = self.members[name]
        infos = [m.own for m in self.members.values()]
        seen = [i for i in infos if i == holder.own or self.chance.random() < 0.7]
        holder.view = View(tuple(seen))

    def mend(self):
        self.network.heal()
        for name, platform in self.platforms.items():
            platform.down = False
            platform.lose_replies = platform.lose_writes = 0
            infos = tuple(m.own for m in self.members.values())
            self.members[name].view = View(infos)


async def _run(seed):
    world = World(seed)
    tasks = [asyncio.create_task(c.run()) for c in world.claims.values()]
    striker = asyncio.create_task(world.strike())
    await asyncio.gather(*(world.call() for _ in range(TRIES)))
    striker.cancel()
    world.mend()
    async with asyncio.timeout(WAIT_S):
        for claims in world.claims.values():
            await claims._outcomes.join()
    found = {}
    for key, count in world.executions.items():
        assert count == 1, (seed, key, count)
        for name in world.claims:
            found[key, name] = await world.answer(name, key)
    # No failure leaves a key taken that nothing ran under.
    unused = {f"k{n}" for n in range(KEYS)} - world.executions.keys()
    await asyncio.gather(*(world.free("n0", key) for key in unused))
    for task in (*tasks, striker):
        task.cancel()
    await asyncio.gather(*tasks, striker, return_exceptions=True)
    return world, found


async def test_nothing_runs_twice_whatever_fails():
    results = await asyncio.gather(*(_run(seed) for seed in range(3)))
    statuses = sum((w.statuses for w, _ in results), collections.Counter())
    assert statuses[ClaimStatus.IN_DOUBT] + statuses[ClaimStatus.UNAVAILABLE] > 0
    for world, found in results:
        answers = set(found.values())
        # Whoever asks: what ran is never granted again.
        assert answers <= {
            ClaimStatus.DONE,
            ClaimStatus.IN_PROGRESS,
            ClaimStatus.UNKNOWN,
        }, found
        for key in world.executions:
            same = {found[key, name] for name in world.claims}
            assert len(same) == 1, (key, found)


def load_tests(loader, tests, pattern):
    return collect(globals())

"""Rolling replacement, and a failure domain taken out and put back, under load."""

import asyncio
import contextlib
import signal

from tests.fixtures import until
from tests.fixtures_peers import running_tasks
from tests.fixtures_processes import Balancer, eventually, process_fleet
from tests.support import collect


async def _members(node):
    return set((await node.status())["members"])


async def _all_have_members(nodes, expected):
    names = {node.node_id for node in expected}
    return all([await _members(node) == names for node in nodes])


async def _all_ready(nodes):
    return all([await node.is_ready() for node in nodes])


@contextlib.asynccontextmanager
async def _under_load(fleet, callers=4):
    balancer = Balancer(fleet)
    bodies = [
        balancer.poll_readiness(),
        *(balancer.run_caller() for _ in range(callers)),
    ]
    async with running_tasks(bodies):
        yield balancer


async def test_rolling_replacement_cuts_nothing():
    async with process_fleet({"east": 2, "west": 2}) as fleet:
        domains = ("east", "east", "west")
        nodes = await asyncio.gather(*map(fleet.start, domains))
        await eventually(lambda: _all_ready(nodes))
        async with _under_load(fleet) as balancer:
            for old in nodes:
                new = await fleet.start(old.domain)
                await eventually(new.is_ready)
                old.signal(signal.SIGTERM)
                assert await old.wait() == 0
            await _wait_for_answers(balancer)
        assert balancer.failures == []


async def _wait_for_answers(balancer, count=20):
    target = balancer.answered + count
    await until(lambda: balancer.answered >= target)


async def test_domain_out_and_in_cuts_nothing():
    async with process_fleet({"east": 2, "west": 2}) as fleet:
        nodes = await asyncio.gather(*map(fleet.start, ("east", "east", "west")))
        east = [n for n in nodes if n.domain == "east"]
        await eventually(lambda: _all_ready(nodes))
        await eventually(lambda: _all_have_members(east, east))
        async with _under_load(fleet) as balancer:
            # The nodes in east forward requests only once they have summaries of west.
            await asyncio.sleep(3.0)
            revision = await fleet.set_domain_out("east")
            await eventually(lambda: _in_force(nodes, revision))
            # Running requests finish there; after them, no new ones arrive.
            engines = fleet.engines["east"]
            await until(lambda: not any(e.running for e in engines))
            prefilled = [e.prefilled_tokens for e in engines]
            await _wait_for_answers(balancer)
            assert [e.prefilled_tokens for e in engines] == prefilled
            revision = await fleet.set_domain_out("east", out=False)
            await eventually(lambda: _in_force(nodes, revision))
            await _wait_for_answers(balancer)
        assert balancer.failures == []


async def _in_force(nodes, revision):
    return all([(await node.status())["revision"] >= revision for node in nodes])


def load_tests(loader, tests, pattern):
    return collect(globals())

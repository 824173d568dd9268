"""Calls of plain services while the platform fails, at each stage of a call."""

import asyncio

from tanagerkeel.standins import PlatformFaults, PlatformOutage, ServiceFaults
from tests.fixtures import until
from tests.fixtures_services import service_system
from tests.support import collect

BODY = b"seat 12"
OUTAGE = PlatformFaults(outage=PlatformOutage.UNAVAILABLE)


async def test_platform_outage_before_the_claim_refuses_as_not_run():
    async with service_system(nodes=2) as system:
        assert (await system.reserve(key="warm")).status == 200
        await system.platform.set_faults(OUTAGE)
        reply = await system.reserve()
        assert (reply.status, reply.code, reply.ran) == (503, "TK-4006", "no")
        assert system.executions[BODY] == 1
        await system.platform.set_faults(PlatformFaults())
        await _until_accepted(system)
        assert system.executions[BODY] == 2


async def _until_accepted(system):
    # Nodes notice only at their next probe that the platform is back.
    async with asyncio.timeout(10):
        while (await system.reserve()).status != 200:
            await asyncio.sleep(0.1)


async def test_platform_outage_while_the_call_runs_keeps_its_outcome():
    async with service_system(nodes=2) as system:
        for service in system.services:
            await service.set_faults(ServiceFaults(delay_ms=300))
        call = asyncio.create_task(system.reserve(0))
        await until(lambda: system.executions[BODY] == 1)
        await system.platform.set_faults(OUTAGE)
        first = await call
        assert first.status == 200
        during = await system.reserve(1)
        assert during.ran in ("no", "unknown")
        await system.platform.set_faults(PlatformFaults())
        async with asyncio.timeout(10):
            while (await system.reserve(1)).status != 200:
                await asyncio.sleep(0.1)
        assert await system.reserve(1) == first
        assert system.executions[BODY] == 1


async def test_lost_reply_of_the_claim_does_not_run_it_twice():
    async with service_system(nodes=2) as system:
        assert (await system.reserve(key="warm")).status == 200
        await system.settle()
        await system.platform.set_faults(PlatformFaults(lost_replies=1))
        assert (await system.reserve(0)).status == 200
        await system.settle()
        assert (await system.reserve(1)).status == 200
        assert system.executions[BODY] == 2


async def test_deduplicating_services_serve_in_an_outage():
    async with service_system(nodes=2, deduplicates=True) as system:
        for service in system.services:
            await service.set_faults(ServiceFaults(deduplicates=True))
        await system.platform.set_faults(OUTAGE)
        replies = [await system.reserve(node) for node in (0, 1, 0)]
        assert {r.status for r in replies} == {200}
        assert len({r.body for r in replies}) == 1
        assert system.executions[BODY] == 1
        await system.platform.set_faults(PlatformFaults())


def load_tests(loader, tests, pattern):
    return collect(globals())

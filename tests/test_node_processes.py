"""Real entry processes that are killed, paused and stopped, and platform outages."""

import asyncio
import signal

from tanagerkeel.standins import PlatformFaults, PlatformOutage
from tests.fixtures_processes import eventually, process_fleet
from tests.support import collect


async def _members(node):
    return set((await node.status())["members"])


async def _all_have_members(nodes, expected):
    names = {node.node_id for node in expected}
    return all([await _members(node) == names for node in nodes])


async def _all_ready(nodes):
    return all([await node.is_ready() for node in nodes])


async def test_kill_pause_and_stop():
    async with process_fleet({"east": 2}) as fleet:
        nodes = await asyncio.gather(*(fleet.start("east") for _ in range(3)))
        one, two, three = nodes
        await eventually(lambda: _all_have_members(nodes, nodes))
        await eventually(lambda: _all_ready(nodes))

        two.signal(signal.SIGKILL)
        await eventually(lambda: _all_have_members((one, three), (one, three)))

        three.signal(signal.SIGSTOP)
        await eventually(lambda: _all_have_members((one,), (one,)))
        three.signal(signal.SIGCONT)
        await eventually(lambda: _all_have_members((one, three), (one, three)))

        # After one SIGTERM the running answer still finishes; a second one while the
        # node drains ends it at once.
        async with one.post_chat(max_tokens=600, stream=True) as response:
            await response.content.readline()
            one.signal(signal.SIGTERM)
            await eventually(lambda: _all_have_members((three,), (three,)))
            assert (await response.content.read()).endswith(b"data: [DONE]\n\n")
        assert await one.wait() == 0
        assert not three.events("member_dead")[2:]

        async with three.post_chat(max_tokens=4_000, stream=True) as response:
            await response.content.readline()
            three.signal(signal.SIGTERM)
            await eventually(lambda: _not_ready(three))
            three.signal(signal.SIGTERM)
            assert await three.wait() == 130


async def _not_ready(node):
    return not await node.is_ready()


async def _in_force(nodes, revision):
    return all([(await node.status())["revision"] >= revision for node in nodes])


async def test_platform_down_and_restored_to_an_older_value():
    async with process_fleet({"east": 1}) as fleet:
        one = await fleet.start("east")
        await eventually(one.is_ready)
        snapshot = fleet.platform.snapshot()
        revision = await fleet.set_domain_out("none")
        await eventually(lambda: _in_force((one,), revision))

        refused = PlatformFaults(outage=PlatformOutage.REFUSED)
        await fleet.platform.set_faults(refused)
        peers = [(one.events("entry_started")[0])["peers"]]
        two = await fleet.start("east", peers=peers)
        # A fresh node takes the configuration from a peer and serves.
        await eventually(two.is_ready)
        await eventually(lambda: _answers_requests(two))
        await fleet.platform.restore(snapshot)
        await fleet.platform.set_faults(PlatformFaults())
        await eventually(lambda: _ignored_older_revision((one, two)))
        assert await _in_force((one, two), revision)


async def _answers_requests(node):
    async with node.post_chat() as response:
        return response.status == 200


async def _ignored_older_revision(nodes):
    return any(node.events("configuration_older_ignored") for node in nodes)


def load_tests(loader, tests, pattern):
    return collect(globals())

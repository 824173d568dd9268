"""Running nodes tell those of another failure domain the load of their engines."""

import asyncio

import attrs

from tanagerkeel.relay import DomainLoads, load_intervals
from tanagerkeel.relay_entry._settings import PlacementSettings
from tests.platform.fixtures import RelaySettings, running_relay
from tests.platform.test_moving import CHAT, EVENTS, write_events
from tests.support import collect

FIRST_UPDATES_S = 2.5


def _domain(node_id):
    return "zone-a" if node_id in ("node-1", "node-3") else "zone-b"


def _settings(many_senders_from):
    def adapt(settings: RelaySettings) -> RelaySettings:
        return attrs.evolve(
            settings,
            failure_domain=_domain(settings.node_id),
            placement=PlacementSettings(many_senders_from),
        )

    return adapt


def _loads(node) -> DomainLoads:
    return node.state.fleet_beliefs.domain_loads


def _age_s(node, domain):
    return _loads(node).age_s(domain, node.state.clock.monotonic())


def _reported(node, domain):
    held = _loads(node)._held.get(domain)
    return held.reported("i-0")[0] if held else 0


async def test_nodes_of_another_domain_are_told_and_the_next_node_takes_over():
    async with running_relay(
        write_events, service="models", node_count=4, adapt=_settings(3)
    ) as relay:
        second, fourth = relay.nodes[1], relay.nodes[3]
        await relay.until(lambda: _age_s(second, "zone-a") is not None)
        calls = [
            asyncio.create_task(relay.call("/chat/x", headers=CHAT, node=n))
            for n in (0, 2)
        ]
        await relay.until(lambda: _reported(fourth, "zone-a") == 2)
        for reply in await asyncio.gather(*calls):
            assert reply.complete
            assert reply.body.count(b"id:") == EVENTS
        await relay.until(lambda: _reported(fourth, "zone-a") == 0)
        sender = _loads(second)._held["zone-a"].sender
        stopped = next(n for n in relay.nodes if n.settings.node_id == sender)
        await stopped.stop()
        await relay.until(lambda: _loads(second)._held["zone-a"].sender != sender)
        assert _age_s(second, "zone-a") < load_intervals(2).valid_s
        relay.nodes.remove(stopped)


async def test_nodes_whose_settings_do_not_ask_for_it_tell_and_read_nothing():
    async with running_relay(
        write_events, service="models", node_count=4, adapt=_settings(None)
    ) as relay:
        await asyncio.sleep(FIRST_UPDATES_S)
        assert all(_loads(node)._newest == {} for node in relay.nodes)


def load_tests(loader, tests, pattern):
    return collect(globals())

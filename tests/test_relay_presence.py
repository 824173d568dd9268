"""Lease and entry of a node in the platform's store during outages."""

import asyncio
import random

import attrs

from tanagerkeel.clock import ManualClock
from tanagerkeel.gateways.platform import Lease, PlatformUnavailable
from tanagerkeel.relay_entry import RelayBounds, RelaySettings
from tanagerkeel.relay_entry._presence_task import RelayPresenceTask
from tanagerkeel.relay_entry._state import RelayState
from tests.support import collect

OUTAGE_S = 12.0
STEP_S = 0.05


@attrs.define
class _Store:
    """A store that counts calls and can be made to fail."""

    down: bool = False
    calls: int = 0
    renewed: int = 0
    era: int = 0

    def add_era_listener(self, on_new_era):
        pass

    def _answer(self):
        self.calls += 1
        if self.down:
            raise PlatformUnavailable("status 503")

    async def get(self, key):
        self._answer()

    async def put(self, key, value, expected=None, lease_id=0):
        self._answer()
        return 1

    async def grant(self, ttl_ms):
        self._answer()
        return Lease(1, ttl_ms)

    async def keep_alive(self, lease_id):
        self._answer()
        self.renewed += 1
        return True


async def _advance(clock, seconds):
    for _ in range(round(seconds / STEP_S)):
        clock.advance(STEP_S)
        for _ in range(5):
            await asyncio.sleep(0)


async def _announced():
    clock, store = ManualClock(), _Store()
    settings = RelaySettings("n1", "zone-a", *["127.0.0.1:0"] * 6, bounds=RelayBounds())
    state = RelayState(settings, clock)
    task = asyncio.create_task(RelayPresenceTask(store, state, random.Random(3)).run())
    await _advance(clock, 0.1)
    return clock, store, state, task


async def test_renewals_are_rare_in_an_outage_and_resume_after_it():
    # Guards against a retry storm: in an outage, each of 89 nodes retried its failed
    # renewal several times a second, and the platform prices refused calls higher
    # than renewals.
    clock, store, state, task = await _announced()
    store.down = True
    state.backends.mark_store_unreachable(clock.monotonic())
    before = store.calls
    await _advance(clock, OUTAGE_S)
    assert store.calls - before <= OUTAGE_S / 4.0 + 1
    store.down = False
    state.backends.mark_store_reachable(clock.monotonic())
    renewed = store.renewed
    await _advance(clock, 2.2)
    assert store.renewed > renewed
    task.cancel()


async def test_a_node_refused_while_the_store_is_up_retries_within_seconds():
    clock, store, _, task = await _announced()
    store.down = True
    before = store.calls
    await _advance(clock, OUTAGE_S)
    assert 4 <= store.calls - before <= 2 * OUTAGE_S
    store.down = False
    renewed = store.renewed
    await _advance(clock, 2.2)
    assert store.renewed > renewed
    task.cancel()


def load_tests(loader, tests, pattern):
    return collect(globals())

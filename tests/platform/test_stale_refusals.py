"""
Refusals for good, by a version that the store has not confirmed lately.

Covers the rule CONFIG: later than ``config_ms`` after the store has accepted a version,
no request is refused with 401 or 404 as only an older version says.
"""

import asyncio
from collections.abc import Callable

from tests.platform.fixtures import (
    KEY,
    Relay,
    configuration,
    respond_with_id,
    route,
    running_relay,
)
from tests.support import collect

# The sites' ``configMs``, in seconds.
CONFIG_BOUND_S = 2.0
NEW_KEY = "key-of-new"
ACCOUNTS = [
    {"name": "acme", "apiKeys": [KEY], "priority": 1},
    {"name": "new", "apiKeys": [NEW_KEY], "priority": 1},
]


async def grow_old(relay: Relay) -> None:
    """Wait until the node's version was last confirmed longer ago than the bound."""
    await relay.until(lambda: relay.node.state.confirmed_age_s > CONFIG_BOUND_S)


async def call_after_change(
    document: dict, target: str, silence: Callable[[Relay], None], **options: object
):
    """Return the response to a request that only a newer version allows."""
    async with running_relay(respond_with_id) as relay:
        silence(relay)
        relay.store.write("op/config", document)
        await grow_old(relay)
        response = await relay.call(target, **options)
        assert relay.received_count() == 0
        return response


def silence_store(relay: Relay) -> None:
    relay.store.silent = True


def turn_away(relay: Relay) -> None:
    relay.store.down = True
    relay.store.cut_watches()


async def test_a_route_that_was_added_meanwhile_is_not_refused_with_404():
    document = configuration(3, routes=[route("added", "safe", "booking")])
    for silence in (silence_store, turn_away):
        response = await call_after_change(document, "/added/1", silence)
        assert response.status == 503, silence
        assert float(response.headers["retry-after"]) < 1.0


async def test_a_key_that_was_added_meanwhile_is_not_refused_with_401():
    document = configuration(3, tenants=ACCOUNTS)
    for silence in (silence_store, turn_away):
        response = await call_after_change(document, "/lookup/1", silence, key=NEW_KEY)
        assert response.status == 503, silence
        assert float(response.headers["retry-after"]) < 1.0


async def test_what_no_version_allows_is_refused_for_good_while_the_store_answers():
    async with running_relay(respond_with_id) as relay:
        await grow_old(relay)
        responses = await asyncio.gather(
            relay.call("/unknown/1"), relay.call("/lookup/1", key="unknown")
        )
    assert [response.status for response in responses] == [404, 401]


def load_tests(loader, tests, pattern):
    return collect(globals())

"""Requests that can't be served in the time left are refused at once."""

import asyncio

from tests.platform.fixtures import configuration, route, running_relay, stream_script
from tests.support import collect

# Takes an idle engine over 1 s to prefill, and half of that when it is split in two.
LONG = ("Tanagerkeel-Model: m", "Tanagerkeel-Token-Count: 190000,430")
DOCUMENT = configuration(
    routes=[
        route(
            "chat",
            "stream",
            "models",
            timeoutMs=15_000,
            targetLatencyMs=3_055,
            targetGapMs=1_000,
        )
    ]
)
# The platform's rules price what is held for longer than an eighth of its objective.
REFUSED_WITHIN_S = 3.055 / 8


async def test_a_request_that_no_idle_engine_can_begin_in_time_waits_to_its_deadline():
    async with running_relay(
        stream_script(2), stream_script(2), service="models", document=DOCUMENT
    ) as relay:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        reply = await relay.call(
            "/chat/x", method="POST", body=b"p", headers=LONG, deadline_ms=450
        )
        assert reply.status == 503
        assert relay.received_count() == 0
        assert loop.time() - began_s < REFUSED_WITHIN_S


def load_tests(loader, tests, pattern):
    return collect(globals())

"""
Engines that name in their responses how many requests a second they take.

Covers the rule LIMIT: the limit holds for all nodes together, for one incarnation of an
engine, for as long as its responses name it.
"""

import asyncio
import itertools
import math
import time

import attrs

from tests.platform.fixtures import (
    LONG_CALL,
    LONG_PROMPTS,
    Engine,
    ReceivedRequest,
    Relay,
    Response,
    running_relay,
    stream_script,
    write_response,
)
from tests.support import collect

# Users' bound: requests in any span of this length, in seconds, from this time after
# the limit was first named on.
SPAN_S = 4.0
STABLE_S = 3.0
LIMIT_SHARE = 1.5
EXTRA_REQUESTS = 5


@attrs.define
class ArrivalLog:
    """Records when requests reach each engine, as monotonic times in seconds."""

    arrivals_s: dict[str, list[float]] = attrs.field(factory=dict)

    async def script(
        self, engine: Engine, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.arrivals_s.setdefault(engine.engine_id, []).append(time.monotonic())
        await write_response(writer, request, body=engine.engine_id.encode())

    def most_in_span(self, engine_id: str, since_s: float) -> int:
        """Return the most requests that reached an engine within ``SPAN_S``."""
        times_s = [s for s in self.arrivals_s.get(engine_id, ()) if s >= since_s]
        return max(
            (sum(s <= other < s + SPAN_S for other in times_s) for s in times_s),
            default=0,
        )


def allowed_in_span(limit: float) -> float:
    return LIMIT_SHARE * limit * SPAN_S + EXTRA_REQUESTS


request_numbers = itertools.count(1)


async def lookup(relay: Relay, node: int = 0) -> Response:
    request_id = f"r{next(request_numbers)}"
    return await relay.call("/lookup/x", node=node, request_id=request_id)


async def send_evenly(relay: Relay, per_s: float, seconds: float) -> list[Response]:
    """Send requests to all nodes in turn; return the responses."""
    begin = time.monotonic()
    calls = []
    for number in range(int(per_s * seconds)):
        await asyncio.sleep(max(0.0, begin + number / per_s - time.monotonic()))
        calls.append(asyncio.create_task(lookup(relay, number % len(relay.nodes))))
    return await asyncio.gather(*calls)


async def test_nodes_together_keep_the_limit_that_an_engine_names():
    log = ArrivalLog()
    async with running_relay(log.script, log.script, node_count=3) as relay:
        limited = relay.engines[0]
        limited.rate_limit = "1"
        begin = time.monotonic()
        responses = await send_evenly(relay, per_s=30.0, seconds=8.0)
        assert all(response.status == 200 for response in responses)
        most = log.most_in_span(limited.engine_id, begin + STABLE_S)
        assert most <= allowed_in_span(1.0), most


async def test_requests_that_a_limit_leaves_no_room_for_are_refused_at_once():
    log = ArrivalLog()
    async with running_relay(log.script) as relay:
        relay.engines[0].rate_limit = "1"
        assert (await lookup(relay)).status == 200
        begin = time.monotonic()
        calls = [asyncio.create_task(lookup(relay)) for _ in range(20)]
        await asyncio.sleep(0.4)
        refused = [call.result() for call in calls if call.done()]
        assert len(refused) >= 18
        for response in refused:
            assert response.status == 503
            assert float(response.headers["retry-after"]) > 1.0
        served = [r for r in await asyncio.gather(*calls) if r.status == 200]
        assert served and time.monotonic() - begin < 2.0
        assert log.most_in_span("i-0", begin) <= allowed_in_span(1.0)


async def test_a_limit_ends_with_a_response_that_names_none():
    log = ArrivalLog()
    async with running_relay(log.script) as relay:
        engine = relay.engines[0]
        engine.rate_limit = "1"
        assert (await lookup(relay)).status == 200
        engine.rate_limit = None
        assert (await lookup(relay)).status == 200
        responses = await asyncio.gather(*(lookup(relay) for _ in range(20)))
        assert all(response.status == 200 for response in responses)


async def restart(relay: Relay, engine: Engine, born: int) -> None:
    """Write the entry of another incarnation, and wait until the node knows it."""
    entry = engine.store_entry("booking", born=born)
    relay.store.write(f"servers/{engine.engine_id}", entry)
    backends = relay.node.state.backends
    await relay.until(lambda: backends.get(engine.engine_id).server.started_ms == born)


async def test_a_new_incarnation_at_the_address_has_no_limit():
    log = ArrivalLog()
    async with running_relay(log.script) as relay:
        engine = relay.engines[0]
        engine.rate_limit = "0"
        assert (await lookup(relay)).status == 200
        assert (await lookup(relay)).status == 503
        engine.rate_limit = None
        await restart(relay, engine, math.ceil(1_000 * time.time()))
        assert (await lookup(relay)).status == 200


async def test_a_restart_that_is_learnt_late_does_not_end_the_limit():
    log = ArrivalLog()
    async with running_relay(log.script) as relay:
        engine = relay.engines[0]
        engine.rate_limit = "0"
        assert (await lookup(relay)).status == 200
        # The engine had started again, with the same id, before it named the limit.
        await restart(relay, engine, int(1_000 * (time.time() - 5)))
        responses = await asyncio.gather(*(lookup(relay) for _ in range(5)))
        assert {response.status for response in responses} == {503}
        assert len(engine.received) == 1


async def test_values_that_are_no_limit_are_ignored():
    log = ArrivalLog()
    async with running_relay(log.script) as relay:
        for value in ("nan", "-1", "soon", "inf", ""):
            relay.engines[0].rate_limit = value
            responses = await asyncio.gather(*(lookup(relay) for _ in range(5)))
            assert all(response.status == 200 for response in responses), value


async def test_an_engine_with_a_limit_helps_with_no_prompt():
    async with running_relay(
        *[stream_script(3)] * 5, service="models", document=LONG_PROMPTS
    ) as relay:
        limited = relay.engines[:2]
        now = relay.node.state.clock.monotonic()
        for engine in limited:
            server = relay.node.state.backends.get(engine.engine_id).server
            relay.node.state.rate_limits.record_named(server.incarnation, 50.0, now)
        reply = await relay.call("/chat/x", **LONG_CALL)
        assert reply.complete
        assert not any(engine.orders or engine.received for engine in limited)


def load_tests(loader, tests, pattern):
    return collect(globals())

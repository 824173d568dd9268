"""
Engines that name in their responses how many requests a second they take.

Covers the rule LIMIT: the limit holds for all nodes together, for one incarnation of an
engine, for as long as its responses name it.
"""

import asyncio
import itertools
import time

import attrs

from tests.platform.fixtures import (
    Engine,
    ReceivedRequest,
    Relay,
    Response,
    running_relay,
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


def load_tests(loader, tests, pattern):
    return collect(globals())

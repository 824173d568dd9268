"""
A request that crashes engines comes back while the nodes are restarted in turn.

See ``claim.txt``. Both runs send the same requests; with ``TROUBLE=0`` no node is
restarted.
"""

import asyncio
import collections
import itertools
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from kit_3 import (  # noqa: E402
    CRASHING_BODY,
    STABLE_WINDOW_S,
    Engine,
    Node,
    Record,
    configuration,
    route,
    run_case,
    running,
    running_store,
)

ZONES = {"z-a": "r-1", "z-b": "r-1"}
ENGINES_PER_ZONE = 3
NODES_PER_ZONE = 2
# How many times the rule allows the request to reach an engine in touch, later than the
# stable window after the third crash.
ALLOWED_RETRIES = 3
# Time between two of the client's requests: an engine is back within it.
PAUSE_S = 3.0
# Time between two of the other callers' bookings, and what one takes.
BOOKING_INTERVAL_S = 0.07
WORK_S = 0.2


class Caller:
    """The caller of the request that crashes engines."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.sent = {}

    async def send(self, node: Node) -> None:
        """Send the request to a node, as a new attempt."""
        request_id = f"crash{len(self.sent) + 1:02d}"
        self.sent[request_id] = (node, node.in_touch(time.monotonic()))
        await node.request(request_id, "a.example", "/book/seat", body=CRASHING_BODY)


async def send_harmless(
    nodes: "list[Node]", stopped: asyncio.Event, counts: collections.Counter
) -> None:
    """Send other callers' bookings to the nodes in touch, until stopped."""

    async def book(node: Node, number: int) -> None:
        reply = await node.request(
            f"other{number:04d}", "a.example", "/book/seat", body=b"seat %d" % number
        )
        counts[reply.status if reply else None] += 1

    async with asyncio.TaskGroup() as bookings:
        for number in itertools.count(1):
            if stopped.is_set():
                break
            node = nodes[number % len(nodes)]
            if node.in_touch(time.monotonic()):
                bookings.create_task(book(node, number))
            await asyncio.sleep(BOOKING_INTERVAL_S)


async def case(record: Record, folder: str | pathlib.Path, trouble: bool) -> bool:
    """Return whether the request reached engines too often."""
    async with running_store() as store:
        engines = [
            Engine("127.0.0.1", store, record, "booking", zone, work_s=WORK_S)
            for zone in ZONES
            for _ in range(ENGINES_PER_ZONE)
        ]
        nodes = [
            Node(f"front-{zone}-{number}", zone, ZONES, store, record, folder)
            for zone in ZONES
            for number in range(1, NODES_PER_ZONE + 1)
        ]
        routes = [route("book", "unsafe", "booking", maxAttempts=1)]
        store.write("op/config", configuration(7, routes, ["booking"]))
        async with running(nodes, engines):
            await asyncio.sleep(STABLE_WINDOW_S + 0.5)
            caller = Caller(record)
            stopped, counts = asyncio.Event(), collections.Counter()
            others = asyncio.create_task(send_harmless(nodes, stopped, counts))
            for node in nodes:
                await caller.send(node)
                await asyncio.sleep(PAUSE_S)
            for node in nodes:
                if trouble:
                    await node.stop()
                    await node.start()
                await asyncio.sleep(STABLE_WINDOW_S + 0.5)
                for _ in range(2):
                    await caller.send(node)
                    await asyncio.sleep(PAUSE_S)
            stopped.set()
            await others
        return judge(record, engines, caller, counts)


def judge(
    record: Record, engines: "list[Engine]", caller: Caller, counts: collections.Counter
) -> bool:
    """Return whether the rule was broken, from what the engines saw."""
    crashes = sorted(s for engine in engines for s in engine.crashes)
    arrivals = sorted(
        (at_s, request_id)
        for engine in engines
        for at_s, request_id, _ in engine.arrivals
        if request_id in caller.sent
    )
    for at_s, request_id in arrivals:
        node, in_touch = caller.sent[request_id]
        record.write(
            f"{at_s - record.started_s:.3f}: {request_id} reached an engine, sent by "
            f"{node.name}, in touch: {in_touch}"
        )
    record.conclude(
        f"the request was sent {len(caller.sent)} times, reached engines "
        f"{len(arrivals)} times and crashed {len(crashes)}; answers to the other "
        f"callers, by status: {dict(counts)}"
    )
    if len(crashes) < 3:
        return False
    late = [
        request_id
        for at_s, request_id in arrivals
        if at_s > crashes[2] + STABLE_WINDOW_S and caller.sent[request_id][1]
    ]
    record.conclude(
        f"later than {STABLE_WINDOW_S} s after the third crash: {len(late)}, "
        f"allowed: {ALLOWED_RETRIES}"
    )
    return len(late) > ALLOWED_RETRIES


if __name__ == "__main__":
    run_case(HERE, case)

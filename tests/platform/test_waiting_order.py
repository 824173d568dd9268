"""Requests that wait for an engine whose slots are all taken, in the order of ranks."""

import asyncio
import contextlib
import random
import time

import attrs

from tanagerkeel.queueing import CallerCost, KeptPlaces, WaitingRequest
from tanagerkeel.relay_entry._waiting_line import WaitingLine
from tests.platform.fixtures import (
    CHUNKED_HEADERS,
    chunk,
    configuration,
    event,
    response_head,
    route,
    running_relay,
)
from tests.support import collect

# What an engine takes: its slots, and the requests that it queues itself.
PLACES = 10


def _document(version: int = 2, urgent_rank: int = 0) -> dict:
    """Return a configuration with an urgent route and another one of rank 2."""
    times = {"timeoutMs": 20_000, "targetLatencyMs": 8_000, "targetGapMs": 2_000}
    return configuration(
        version,
        routes=[
            route("urgent", "stream", "models", priority=urgent_rank, **times),
            route("other", "stream", "models", priority=2, **times),
        ],
    )


@attrs.define
class _Gate:
    """An engine that answers one request each time it is opened."""

    _permits: asyncio.Semaphore = attrs.field(factory=lambda: asyncio.Semaphore(0))
    started: list[str] = attrs.field(factory=list)

    def open(self, count: int = 1) -> None:
        for _ in range(count):
            self._permits.release()

    async def script(self, engine, request, writer) -> None:
        self.started.append(request.headers["tanagerkeel-attempt-id"])
        await self._permits.acquire()
        writer.write(response_head(request, extra=CHUNKED_HEADERS))
        writer.write(chunk(event(1)) + b"0\r\n\r\n")
        await writer.drain()


@contextlib.asynccontextmanager
async def _full_engine(document: dict | None = None):
    """Run a node with one engine, all of whose places are taken, and yield both."""
    gate = _Gate()
    async with running_relay(
        gate.script, service="models", document=document or _document()
    ) as relay:
        calls = _Calls(relay)
        for number in range(PLACES):
            calls.send(f"first-{number}", "other")
        await relay.until(lambda: len(gate.started) == PLACES)
        try:
            yield relay, gate, calls
        finally:
            gate.open(1_000)
            await calls.gather()


@attrs.define
class _Calls:
    _relay: object
    _tasks: dict[str, asyncio.Task] = attrs.field(factory=dict)

    def send(self, request_id: str, route_name: str) -> None:
        self._tasks[request_id] = asyncio.create_task(
            self._relay.call(
                f"/{route_name}/x",
                method="POST",
                body=b"p" * len(request_id),
                headers=("Tanagerkeel-Model: m", "Tanagerkeel-Token-Count: 200,40"),
                request_id=request_id,
                deadline_ms=20_000,
            )
        )

    def cancel(self, request_id: str) -> None:
        self._tasks.pop(request_id).cancel()

    async def status(self, request_id: str) -> int:
        return (await self._tasks[request_id]).status

    async def gather(self) -> list:
        return await asyncio.gather(*self._tasks.values(), return_exceptions=True)


def _waiting(relay) -> dict[str, float]:
    """Return how many requests wait, by rank, as the node's metrics say."""
    text = relay.node._metrics.exposition().decode()
    lines = (x for x in text.splitlines() if x.startswith("tanagerkeel_relay_waiting{"))
    return {line.split('"')[1]: float(line.rsplit(" ", 1)[1]) for line in lines}


async def _send_and_wait(relay, calls, request_id, route_name):
    before = sum(_waiting(relay).values())
    calls.send(request_id, route_name)
    await relay.until(lambda: sum(_waiting(relay).values()) == before + 1)


async def test_an_urgent_request_waits_behind_others_that_came_first():
    async with _full_engine() as (relay, gate, calls):
        for number in range(3):
            await _send_and_wait(relay, calls, f"other-{number}", "other")
        await _send_and_wait(relay, calls, "urgent", "urgent")
        assert set(_waiting(relay)) == {"0", "1"}
        gate.open()
        await relay.until(lambda: len(gate.started) == PLACES + 1)
        assert gate.started[-1] == "urgent"
        gate.open(PLACES + 3)
        await relay.until(lambda: len(gate.started) == PLACES + 4)
        assert gate.started[-3:] == ["other-0", "other-1", "other-2"]
        assert await calls.status("other-2") == 200
        assert _waiting(relay) == {}


async def test_the_engine_is_not_told_the_rank():
    async with _full_engine() as (relay, gate, calls):
        calls.send("urgent", "urgent")
        gate.open(PLACES)
        await relay.until(lambda: len(gate.started) == PLACES + 1)
        name = "tanagerkeel-request-priority"
        ranks = {
            r.headers["tanagerkeel-attempt-id"]: r.headers.get(name)
            for r in relay.engines[0].received
        }
        assert (ranks["urgent"], ranks["first-0"]) == ("0", "1")


async def test_a_service_without_ranks_gets_lines_and_priorities():
    document = _document(urgent_rank=2)
    async with _full_engine(document) as (relay, gate, calls):
        calls.send("urgent", "urgent")
        await asyncio.sleep(0.1)
        assert _waiting(relay) == {}
        assert not relay.node.state.fleet_beliefs.enabled
        name = "tanagerkeel-request-priority"
        assert all(name not in r.headers for r in relay.engines[0].received)


async def test_a_caller_that_leaves_while_its_request_waits_keeps_its_turn():
    async with _full_engine() as (relay, gate, calls):
        await _send_and_wait(relay, calls, "gone", "urgent")
        await _send_and_wait(relay, calls, "stays", "other")
        calls.cancel("gone")
        await relay.until(lambda: sum(_waiting(relay).values()) == 1)
        gate.open()
        await relay.until(lambda: len(gate.started) == PLACES + 1)
        assert gate.started[-1] == "stays"


async def test_ranks_that_change_strand_the_requests_that_wait():
    async with _full_engine() as (relay, gate, calls):
        await _send_and_wait(relay, calls, "before", "urgent")
        relay.store.write("op/config", _document(version=9, urgent_rank=2))
        await relay.until(lambda: relay.node.state.configuration.version == 9)
        calls.send("after", "urgent")
        gate.open(PLACES + 2)
        assert await calls.status("before") == 200
        assert await calls.status("after") == 200
        assert sorted(gate.started[-2:]) == ["after", "before"]


async def test_a_stopping_node_keeps_requests_waiting_in_order_to_the_end():
    async with _full_engine() as (relay, gate, calls):
        await _send_and_wait(relay, calls, "waits", "other")
        stopping = asyncio.create_task(relay.stop())
        assert await calls.status("waits") == 503
        gate.open(PLACES)
        await stopping
        assert "waits" not in gate.started


async def test_an_engine_that_leaves_strands_the_requests_that_wait_for_it():
    async with _full_engine() as (relay, gate, calls):
        await _send_and_wait(relay, calls, "waits", "urgent")
        engine = relay.engines[0]
        relay.store.write(
            f"servers/{engine.engine_id}",
            engine.store_entry("models", state="draining"),
        )
        assert await calls.status("waits") == 503
        assert _waiting(relay) == {}


@attrs.define
class _OnePlace:
    """A line for a single place, which is freed after a request tried in vain."""

    line: WaitingLine = attrs.field(init=False)
    free_after: str | None = None
    free: int = 0
    started: list[str] = attrs.field(factory=list)
    _changes: int = 0
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.line = WaitingLine(
            time.monotonic,
            self._wait_for_change,
            lambda: self._changes,
            KeptPlaces(),
            random.Random(1),
            lambda: None,
        )

    async def _wait_for_change(self) -> None:
        await self._changed.wait()
        self._changed.clear()

    def change(self, freed: int = 0) -> None:
        self.free += freed
        self._changes += 1
        self._changed.set()

    async def request(self, name: str, rank: int) -> None:
        """Join the line, and try in turn until the place is free."""
        now = time.monotonic()
        request = WaitingRequest(
            name, "", rank, CallerCost(1.0, 0.5), 5.0, now, now + 10.0, now + 20.0
        )
        place = self.line.join(request, name)
        while not (self.line.may_try(place) and self._take(name)):
            self.line.start_waiting(place)
            await place.wait_turn()
        self.line.take(place)

    def _take(self, name: str) -> bool:
        if self.free:
            self.free -= 1
            self.started.append(name)
            return True
        if self.free_after == name:
            self.free_after = None
            asyncio.get_running_loop().call_soon(self.change, 1)
        return False


async def test_a_place_freed_between_two_tries_goes_to_the_less_urgent_one():
    place = _OnePlace()
    async with asyncio.timeout(5.0), asyncio.TaskGroup() as requests:
        for name, rank in (("urgent", 0), ("other", 1)):
            requests.create_task(place.request(name, rank))
        await asyncio.sleep(0.01)
        place.free_after = "urgent"
        place.change()
        await asyncio.sleep(0.05)
        assert place.started == ["urgent"]
        place.change(1)
    assert place.started == ["urgent", "other"]


def load_tests(loader, tests, pattern):
    return collect(globals())

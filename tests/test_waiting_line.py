"""Whose turn it is among the requests that wait at a node, without a network."""

import asyncio
import random
import unittest.mock

import attrs

from tanagerkeel.queueing import CallerCost, KeptPlaces, WaitingRequest
from tanagerkeel.relay_entry._waiting_line import (
    MAX_VAIN_TRIES,
    MIN_ROUND_INTERVAL_S,
    WaitingLine,
)
from tests.support import collect


@attrs.define
class _Changes:
    """Changes of state that a test brings about."""

    count: int = 0
    _waiters: list[asyncio.Future] = attrs.field(factory=list)

    def wait(self) -> asyncio.Future:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        return waiter

    async def happen(self) -> None:
        self.count += 1
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            waiter.set_result(None)
        await asyncio.sleep(2 * MIN_ROUND_INTERVAL_S)


@attrs.define
class _Fleet:
    """A line whose requests take one of the free places, or wait for their turn."""

    changes: _Changes = attrs.field(factory=_Changes)
    free: int = 0
    now: float = 0.0
    tries: list[str] = attrs.field(factory=list)
    placed: list[str] = attrs.field(factory=list)
    stopping: bool = False
    needs_two: set[str] = attrs.field(factory=set)
    line: WaitingLine = attrs.field(init=False)
    tasks: dict[str, asyncio.Task] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.line = WaitingLine(
            lambda: self.now,
            self.changes.wait,
            lambda: self.changes.count,
            KeptPlaces(),
            random.Random(1),
            lambda: None,
        )

    async def arrive(self, name: str, rank: int = 1, give_up_s: float = 20.0) -> None:
        request = WaitingRequest(
            name, "a", rank, CallerCost(1.0, 0.75), 50.0, self.now, 8.0, give_up_s
        )
        self.tasks[name] = asyncio.create_task(self._serve(request))
        for _ in range(20):
            await asyncio.sleep(0)

    async def _serve(self, request: WaitingRequest) -> bool:
        place = self.line.join(request, request.request_id)
        try:
            while place.turned_away is None:
                if self.line.may_try(place):
                    self.tries.append(request.request_id)
                    needed = 2 if request.request_id in self.needs_two else 1
                    if self.free >= needed:
                        self.free -= needed
                        self.line.take(place)
                        self.placed.append(request.request_id)
                        return True
                if self.stopping:
                    return False
                self.line.start_waiting(place)
                await place.wait_turn()
            return False
        finally:
            self.line.leave(place)

    async def free_places(self, count: int) -> None:
        self.free += count
        await self.changes.happen()


async def test_a_change_wakes_all_requests_and_not_those_that_it_serves():
    fleet = _Fleet()
    for number in range(30):
        await fleet.arrive(f"r{number}")
    fleet.tries.clear()
    await fleet.free_places(2)
    assert fleet.placed == ["r0", "r1"]
    assert fleet.tries == [f"r{n}" for n in range(2 + MAX_VAIN_TRIES)]


async def test_a_place_goes_to_whichever_request_wakes_first():
    fleet = _Fleet()
    await fleet.arrive("low", rank=5)
    await fleet.arrive("middle", rank=3)
    await fleet.arrive("urgent", rank=0)
    await fleet.free_places(1)
    await fleet.free_places(1)
    await fleet.free_places(1)
    assert fleet.placed == ["urgent", "middle", "low"]
    assert len(fleet.line) == 0


async def test_a_new_request_waits_behind_those_that_can_not_be_placed_now():
    fleet = _Fleet()
    await fleet.arrive("large")
    # What became free doesn't suffice for the large one, which has tried in vain.
    fleet.free = 1
    await fleet.arrive("small", rank=9)
    assert fleet.placed == ["small"]


async def test_a_request_that_ends_with_its_turn_blocks_all_behind_it():
    fleet = _Fleet()
    for name in ("first", "second", "third"):
        await fleet.arrive(name)
    fleet.tasks["first"].cancel()
    await fleet.free_places(1)
    assert fleet.placed == ["second"]
    # Also when it ends at the moment at which it is woken.
    fleet.free = 0
    waking = asyncio.create_task(fleet.changes.happen())
    await asyncio.sleep(0)
    fleet.tasks["third"].cancel()
    await waking
    await fleet.arrive("fourth")
    await fleet.free_places(1)
    assert fleet.placed == ["second", "fourth"]


async def test_work_that_can_not_be_done_in_time_waits_to_its_deadline():
    fleet = _Fleet()
    # The rate of the line becomes known: one place each 0.5 s.
    for number in range(40):
        await fleet.arrive(f"r{number}", give_up_s=60.0)
    for _ in range(30):
        fleet.now += 0.5
        await fleet.free_places(1)
    assert len(fleet.placed) == 30
    assert 80 < fleet.line.work_ms_per_s() < 130
    await fleet.arrive("hopeless", rank=9, give_up_s=fleet.now + 0.4)
    assert fleet.tasks["hopeless"].done()
    assert not await fleet.tasks["hopeless"]
    assert "r39" not in fleet.placed


async def test_only_a_few_requests_end_their_wait_after_each_change():
    # A node that stops refuses all that wait, 0.3 s before it ends.
    fleet = _Fleet()
    for number in range(100):
        await fleet.arrive(f"r{number}")
    fleet.stopping = True
    await fleet.changes.happen()
    assert len(fleet.line) == 0
    assert not any([await task for task in fleet.tasks.values()])


async def test_nothing_wakes_requests_after_an_error_in_the_decision_who_is_refused():
    fleet = _Fleet()
    for number in range(3):
        await fleet.arrive(f"r{number}")
    name = "tanagerkeel.relay_entry._waiting_line.choose_rejections"
    with unittest.mock.patch(name, side_effect=ZeroDivisionError):
        await fleet.changes.happen()
    await fleet.free_places(2)
    await fleet.free_places(1)
    assert fleet.placed == ["r0", "r1", "r2"]


async def test_a_request_that_could_not_join_blocks_the_line():
    fleet = _Fleet()
    name = "tanagerkeel.relay_entry._waiting_line.choose_rejections"
    with unittest.mock.patch(name, side_effect=ZeroDivisionError):
        await fleet.arrive("lost")
    assert len(fleet.line) == 0
    assert isinstance(fleet.tasks["lost"].exception(), ZeroDivisionError)
    fleet.free = 1
    await fleet.arrive("next")
    assert fleet.placed == ["next"]


async def test_requests_that_can_not_be_placed_block_all_behind_them():
    fleet = _Fleet(needs_two={f"large-{n}" for n in range(MAX_VAIN_TRIES + 2)})
    for number in range(MAX_VAIN_TRIES + 2):
        await fleet.arrive(f"large-{number}", rank=0)
    await fleet.arrive("small", rank=1)
    # One place is free, and each of the large ones needs two.
    for _ in range(3):
        await fleet.free_places(0 if fleet.free else 1)
    assert fleet.placed == ["small"]


def load_tests(loader, tests, pattern):
    return collect(globals())

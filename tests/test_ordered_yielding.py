"""Which of several nodes takes a free place for a request that has waited long."""

import types

from tanagerkeel.clock import ManualClock
from tanagerkeel.queueing import CallerCost, WaitingQueue, WaitingRequest
from tanagerkeel.relay_entry._fleet_beliefs import FleetBeliefs
from tanagerkeel.relay_entry._ordered_placement import OrderedPlacement
from tanagerkeel.relay_entry._waiting_line import WaitingPlace
from tests.support import collect

NODES = 10
RUN = types.SimpleNamespace(
    admitted=types.SimpleNamespace(service=types.SimpleNamespace(name="llm"))
)


def _promoted(number: int) -> WaitingRequest:
    """Return a request of rank 2 that counts as rank 1 after 6 s."""
    cost = CallerCost(1.0, 0.75)
    return WaitingRequest(f"r{number}", "a", 2, cost, 100.0, 0.0, 15.0 + number, 20.0)


def _node(number: int, others: dict[int, tuple], now: float) -> tuple:
    """Return a node's placement, and the place of its waiting request."""
    clock = ManualClock()
    clock.advance(now - clock.monotonic())
    beliefs = FleetBeliefs(f"node-{number}", enabled=True)
    for other, backlog in others.items():
        if other != number:
            beliefs.backlogs.update(f"node-{other}", {"llm": backlog}, now)
    state = types.SimpleNamespace(fleet_beliefs=beliefs, clock=clock)
    rules = types.SimpleNamespace(free_places=lambda run, now: 1)
    placement = OrderedPlacement(state, None, rules, lambda: None)
    return placement, WaitingPlace(_promoted(number), str(number))


def test_nodes_with_promoted_requests_all_leave_a_free_place_to_each_other():
    # Peers are told ranks with promotions; a node compared them with its own rank.
    now = 6.0
    backlogs = {}
    for number in range(NODES):
        queue = WaitingQueue()
        queue.push(_promoted(number), 0.0)
        backlogs[number] = queue.backlog(now)
    assert {work.rank for (work,) in backlogs.values()} == {1}
    takes = [
        number
        for number in range(NODES)
        for placement, place in (_node(number, backlogs, now),)
        if not placement._yields(RUN, place, now)
    ]
    assert takes == [0]


def load_tests(loader, tests, pattern):
    return collect(globals())

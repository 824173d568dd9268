"""Deferral of short requests in an overload, replayed."""

import copy
import heapq
import random

import attrs

from tanagerkeel.relay import (
    Assignment,
    BackendServer,
    Candidate,
    Demand,
    choose_placement,
    should_defer,
)
from tests.support import collect
from tests.test_pass_model import PROFILE

ENGINES = 6
SHORT_PROMPT = Demand(5_000, 1_376, 300.0, 250.0)
OBJECTIVE_S = 0.3
# After this time without a first event, callers leave, in seconds.
CALLER_TIMEOUT_S = 2.0
TICK_S = 0.05
SEED = 11
SERVERS = [
    BackendServer(f"e{n}", 1, "models", f"10.0.0.{n}:80", "zone-a", 8)
    for n in range(ENGINES)
]


@attrs.define
class _Request:
    arrived_s: float
    first_s: float | None = None
    refused: bool = False

    def demand(self, now):
        left_ms = 1_000 * (self.arrived_s + OBJECTIVE_S - now)
        return attrs.evolve(
            SHORT_PROMPT,
            objective_ms=left_ms if left_ms > 0 else 1_000 * OBJECTIVE_S,
            caller_timeout_ms=1_000 * (self.arrived_s + CALLER_TIMEOUT_S - now),
        )


def _arrivals(per_s, seconds):
    rng = random.Random(SEED)
    now, requests = rng.expovariate(per_s), []
    while now < seconds:
        requests.append(_Request(now))
        now += rng.expovariate(per_s)
    return requests


def _replay(requests, deferring):
    """Place requests as a node does, taking estimates as true."""
    assignments = {s.backend_id: [] for s in SERVERS}
    end_times, waiting, arriving = [], [], list(requests)
    now = 0.0
    while arriving or waiting:
        now += TICK_S
        while end_times and end_times[0][0] <= now:
            _, _, assignment = heapq.heappop(end_times)
            assignments[assignment.backend_id].remove(assignment)
        for on_engine in assignments.values():
            for assignment in on_engine:
                assignment.first_event_seen = (
                    assignment.first_event_seen or assignment.first_s <= now
                )
        while arriving and arriving[0].arrived_s <= now:
            waiting.append(arriving.pop(0))
        deferred = []
        for request in waiting:
            demand = request.demand(now)
            late = now > request.arrived_s + OBJECTIVE_S
            placement = choose_placement(
                [Candidate(s, PROFILE, assignments[s.backend_id]) for s in SERVERS],
                demand,
                now,
            )
            if placement is None and late:
                request.refused = True
            elif placement is None or (
                deferring and should_defer(placement, demand, late)
            ):
                deferred.append(request)
            else:
                expected = placement.estimate
                assignment = Assignment(
                    placement.candidate.server.backend_id,
                    SHORT_PROMPT.prompt_tokens,
                    SHORT_PROMPT.answer_tokens,
                    SHORT_PROMPT.gap_objective_ms,
                    now,
                    now + expected.first_ms / 1_000,
                    now + expected.end_ms / 1_000,
                )
                assignments[assignment.backend_id].append(assignment)
                heapq.heappush(
                    end_times, (assignment.end_s, id(assignment), assignment)
                )
                request.first_s = assignment.first_s
        waiting = deferred
    return requests


def _in_time(requests):
    delays_s = (r.first_s - r.arrived_s for r in requests if r.first_s is not None)
    return sum(delay_s <= OBJECTIVE_S for delay_s in delays_s)


def _answered(requests):
    return sum(r.first_s is not None for r in requests)


def test_in_an_overload_deferral_lets_more_be_in_time_and_no_fewer_be_answered():
    # Rates from about what the remaining slots can decode to a third more, as when a
    # third of the engines is lost.
    arrivals = [_arrivals(per_s, 8.0) for per_s in (28.0, 30.0, 32.0, 34.0, 36.0)]
    before = [
        _replay(copy.deepcopy(requests), deferring=False) for requests in arrivals
    ]
    after = [_replay(requests, deferring=True) for requests in arrivals]
    assert sum(map(_in_time, after)) > 1.3 * sum(map(_in_time, before))
    assert sum(map(_answered, after)) >= sum(map(_answered, before))


def test_below_the_capacity_all_requests_are_in_time():
    requests = _replay(_arrivals(18.0, 8.0), deferring=True)
    assert _in_time(requests) == len(requests)


def test_deferred_requests_are_sent_before_their_callers_leave():
    requests = _replay(_arrivals(32.0, 8.0), deferring=True)
    delays_s = [r.first_s - r.arrived_s for r in requests if r.first_s is not None]
    assert max(delays_s) < CALLER_TIMEOUT_S


def _placed(count, demand):
    assignments = [
        Assignment("e0", 5_000, 1_376, 250.0, -0.5, -0.4, 1.0, first_event_seen=True)
        for _ in range(count)
    ]
    return choose_placement([Candidate(SERVERS[0], PROFILE, assignments)], demand, 0.0)


def test_a_late_request_leaves_the_last_slots_to_others():
    assert should_defer(_placed(7, SHORT_PROMPT), SHORT_PROMPT, late=True)
    assert should_defer(_placed(6, SHORT_PROMPT), SHORT_PROMPT, late=True)
    assert not should_defer(_placed(5, SHORT_PROMPT), SHORT_PROMPT, late=True)
    # One that is not late takes them.
    assert not should_defer(_placed(7, SHORT_PROMPT), SHORT_PROMPT, late=False)
    leaving = attrs.evolve(SHORT_PROMPT, caller_timeout_ms=400.0)
    assert not should_defer(_placed(7, leaving), leaving, late=True)


def test_requests_with_long_prompts_and_of_plain_services_are_never_deferred():
    long_prompt = Demand(133_000, 688, 2_500.0, 1_000.0, 10_000.0)
    assert not should_defer(_placed(7, long_prompt), long_prompt, late=True)
    plain = Candidate(SERVERS[0], None, ())
    request = Demand(0, 0, 200.0, 0.0, average_call_ms=400.0)
    assert not should_defer(
        choose_placement([plain], request, 0.0), request, late=False
    )


def load_tests(loader, tests, pattern):
    return collect(globals())

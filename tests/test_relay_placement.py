"""Placement, replayed against the load patterns that it answers."""

import heapq
import random

import attrs

from tanagerkeel.relay import (
    BackendServer,
    Candidate,
    Demand,
    Work,
    choose,
    estimate,
    prefill_ms,
)
from tests.support import collect
from tests.test_pass_model import PROFILE

CHAT = Demand(5_000, 1_376, 300.0, 250.0)
PETITION = Demand(45_000, 817, 1_500.0, 600.0)
DOSSIER = Demand(133_000, 688, 2_500.0, 1_000.0)
ENGINES = 18
SEED = 7


def _server(number: int) -> BackendServer:
    return BackendServer(
        f"e{number}", 1, "models", f"10.0.0.{number}:80", f"zone-{number % 3}", 8
    )


SERVERS = [_server(n) for n in range(ENGINES)]


def _candidates(works: dict[str, list[Work]], **fields) -> list[Candidate]:
    return [
        Candidate(s, PROFILE, works.get(s.backend_id, ()), **fields) for s in SERVERS
    ]


def _works(placement, demand, now):
    expected = placement.estimate
    parts = len(placement.readers)
    return [
        Work(
            reader.server.backend_id,
            demand.prompt_tokens // parts,
            demand.answer_tokens if place == 0 else 0,
            demand.gap_objective_ms if place == 0 else 0.0,
            now,
            now + expected.first_ms / 1_000,
            now + expected.end_ms / 1_000,
        )
        for place, reader in enumerate(placement.readers)
    ]


@attrs.define
class _Replay:
    """Places an open load by estimates alone and counts what it costs."""

    works: dict[str, list[Work]] = attrs.field(factory=dict)
    late: dict[int, list[bool]] = attrs.field(factory=dict)
    shared: int = 0
    unplaced: int = 0

    def run(self, arrivals):
        ends = []
        for order, (now, demand) in enumerate(arrivals):
            while ends and ends[0][0] <= now:
                _, _, work = heapq.heappop(ends)
                self.works[work.backend_id].remove(work)
            self._start_due(now)
            placement = choose(_candidates(self.works), demand, now)
            if placement is None:
                self.unplaced += 1
                continue
            late = placement.estimate.first_ms > demand.objective_ms
            self.late.setdefault(demand.prompt_tokens, []).append(late)
            for place, work in enumerate(_works(placement, demand, now)):
                beside = self.works.setdefault(work.backend_id, [])
                if demand.prompt_tokens >= 100_000:
                    self.shared += any(w.gap_objective_ms == 250.0 for w in beside)
                beside.append(work)
                end = work.end_s if place == 0 or placement.reserves else work.first_s
                heapq.heappush(ends, (end, order * 16 + place, work))

    def _start_due(self, now):
        for works in self.works.values():
            for work in works:
                work.started = work.started or work.first_s <= now

    def share_late(self, demand):
        found = self.late[demand.prompt_tokens]
        return sum(found) / len(found)


def _arrivals(rates, seconds, seed=SEED):
    source = random.Random(seed)
    found = []
    for demand, per_s in rates:
        now = source.expovariate(per_s)
        while now < seconds:
            found.append((now, demand))
            now += source.expovariate(per_s)
    return sorted(found, key=lambda pair: pair[0])


def test_at_the_rated_load_nothing_is_late_and_lengths_stay_apart():
    replay = _Replay()
    replay.run(_arrivals([(CHAT, 19.2), (PETITION, 1.05), (DOSSIER, 0.88)], 120))
    assert replay.unplaced == 0
    assert replay.share_late(CHAT) == 0
    assert replay.share_late(PETITION) < 0.02
    assert replay.share_late(DOSSIER) < 0.05
    assert replay.shared == 0


def test_a_burst_of_dossiers_leaves_chats_in_time():
    # 2.8 times the usual rate of long prompts, as on the deployments' worst days.
    replay = _Replay()
    replay.run(_arrivals([(CHAT, 19.2), (PETITION, 1.4), (DOSSIER, 2.5)], 60))
    assert replay.share_late(CHAT) < 0.01
    assert replay.share_late(DOSSIER) < 0.25


def test_a_burst_of_chats_is_spread_before_it_is_late():
    replay = _Replay()
    replay.run(_arrivals([(CHAT, 60.0), (DOSSIER, 0.5)], 30))
    assert replay.unplaced == 0
    assert replay.share_late(CHAT) < 0.01


def test_parts_of_a_giant_prompt_leave_engines_that_read_others_in_time():
    # Parts are read ahead of whole prompts: on the grown sites dossiers that were to
    # begin within 1.6 s began after 4.2 s, as a giant's parts were put before them.
    giant = Demand(400_000, 688, 3_000.0, 1_000.0)
    reading = {
        s.backend_id: [
            Work(s.backend_id, 120_000, 688, 1_000.0, 0.0, 1.6, 2.4, due_s=3.0)
        ]
        for s in SERVERS[:8]
    }
    placement = choose(_candidates(reading), giant, 0.0)
    assert not {r.server.backend_id for r in placement.readers} & set(reading)


def test_a_part_waits_only_for_other_parts():
    whole = Candidate(SERVERS[0], PROFILE, [_reading("e0")])
    part = attrs.evolve(_reading("e0"), whole_tokens=400_000)
    joint = Candidate(SERVERS[0], PROFILE, [part])
    idle = Candidate(SERVERS[0], PROFILE)
    giant = Demand(400_000, 688, 3_000.0, 1_000.0)
    first_ms = [
        estimate(c, giant, 0.0, 8, holds_parts=True).first_ms
        for c in (idle, whole, joint)
    ]
    assert first_ms[1] < first_ms[0] + 100 < first_ms[2]


def test_a_long_prompt_is_read_by_idle_engines_within_its_objective():
    placement = choose(_candidates({}), DOSSIER, 0.0)
    assert len(placement.readers) >= 2
    assert not placement.reserves
    assert placement.estimate.first_ms < DOSSIER.objective_ms


def test_a_prompt_over_one_engines_memory_takes_several_with_reservations():
    huge = Demand(600_000, 688, 2_500.0, 1_000.0)
    placement = choose(_candidates({}), huge, 0.0)
    assert placement.reserves
    assert len(placement.readers) >= 3
    full = {s.backend_id: [_reading(s.backend_id, 200_000)] for s in SERVERS[2:]}
    later = attrs.evolve(huge, patience_ms=2_000.0)
    assert choose(_candidates(full), later, 0.0) is None


def test_what_no_engine_can_begin_in_time_is_not_placed():
    busy = {s.backend_id: [_reading(s.backend_id, 200_000, 0.0)] * 5 for s in SERVERS}
    demand = attrs.evolve(DOSSIER, patience_ms=1_500.0)
    assert choose(_candidates(busy), demand, 0.0) is None


def _reading(backend_id, tokens=133_000, now=0.0):
    return Work(backend_id, tokens, 688, 1_000.0, now, now + 2.0, now + 3.0)


def test_nodes_that_place_at_the_same_moment_spread_over_equal_engines():
    # Sixty engines and two nodes that don't know of each other's send yet, as on
    # the larger deployments: they may meet, but not as a rule.
    many = [Candidate(_server(n), PROFILE) for n in range(60)]
    for demand in (CHAT, PETITION):
        pairs = [
            (choose(many, demand, 0.0, f"a{n}"), choose(many, demand, 0.0, f"b{n}"))
            for n in range(200)
        ]
        met = sum(a.candidate is b.candidate for a, b in pairs)
        assert met < 0.3 * len(pairs)


def test_an_engines_last_slot_is_left_while_another_has_two():
    def writing(count):
        return [
            Work("e0", 5_000, 1_376, 250.0, -1.0, -0.9, 1.0, started=True)
            for _ in range(count)
        ]

    one_left = Candidate(SERVERS[0], PROFILE, writing(7))
    free = Candidate(SERVERS[1], PROFILE, near=False)
    assert choose([one_left, free], CHAT, 0.0).candidate is free
    assert choose([one_left], CHAT, 0.0).candidate is one_left


def test_an_engine_that_reads_a_long_prompt_is_no_place_for_a_chat():
    one = Candidate(SERVERS[0], PROFILE, [_reading("e0")])
    free = Candidate(SERVERS[1], PROFILE)
    for order in ([one, free], [free, one]):
        assert choose(order, CHAT, 0.0).candidate is free


def test_a_chat_beside_chats_costs_them_less_than_a_dossier_would():
    writing = [
        Work("e0", 5_000, 1_376, 250.0, -1.0, -0.9, 1.0, started=True) for _ in range(4)
    ]
    candidate = Candidate(SERVERS[0], PROFILE, writing)
    chat = estimate(candidate, CHAT, 0.0)
    dossier = estimate(candidate, DOSSIER, 0.0)
    assert chat.pause_ms < 250 < dossier.pause_ms
    assert chat.loss < 0.1 < 2 < dossier.loss


def test_a_failing_or_slow_engine_is_avoided_while_others_do_well():
    failing = Candidate(SERVERS[0], PROFILE, failing=0.4)
    slow = Candidate(SERVERS[1], PROFILE, pace=8.0)
    well = Candidate(SERVERS[2], PROFILE, near=False)
    assert choose([failing, slow, well], CHAT, 0.0).candidate is well
    assert choose([failing], CHAT, 0.0).candidate is failing


def test_full_engines_are_not_given_more():
    works = {
        s.backend_id: [
            Work(s.backend_id, 5_000, 1_376, 250.0, 0.0, 0.1, 1.5) for _ in range(10)
        ]
        for s in SERVERS
    }
    assert choose(_candidates(works), CHAT, 0.0) is None


def test_reading_time_grows_with_the_square_of_the_prompt():
    assert prefill_ms(PROFILE, 200_000) > 3 * prefill_ms(PROFILE, 100_000)


def load_tests(loader, tests, pattern):
    return collect(globals())

"""Replays of fleets of many nodes that learn late of each other's sends."""

import collections
import functools
import heapq
import itertools
import random

import attrs

from tanagerkeel.relay import (
    Assignment,
    BackendServer,
    Candidate,
    DecodeBatch,
    Demand,
    Prefill,
    RelayPlacement,
    choose_placement,
    estimate,
    longest_pass_ms,
)
from tests.support import collect
from tests.test_pass_model import PROFILE

SEED = 11
DOMAINS = 3
NODES_PER_DOMAIN = 43
ENGINES_PER_DOMAIN = 23
SLOTS = 6
ENGINE = attrs.evolve(PROFILE, slots=SLOTS)
# After these times, in seconds, a node knows of the sends of its failure domain, and of
# those of long prompts in another one that need not be known there at once.
NEAR_DELAY_S = 0.02
LONG_DELAY_S = 0.5
# Interval of the updates to the nodes of other failure domains, in seconds.
FAR_INTERVAL_S = 3.0
SETTLE_S = 0.04
OVERDUE_S = 1.5
SHORT = Demand(5_000, 1_376, 300.0, 250.0, caller_timeout_ms=2_000.0)
MEDIUM = Demand(45_000, 817, 1_500.0, 600.0, caller_timeout_ms=6_000.0)
LONG = Demand(133_000, 688, 2_500.0, 1_000.0, caller_timeout_ms=10_000.0)
# Time that a short request takes on an engine with few others, in seconds.
SHORT_S = 1.58
SERVERS = [
    BackendServer(f"e{n}", 1, "models", "", f"domain-{n % DOMAINS}", SLOTS)
    for n in range(DOMAINS * ENGINES_PER_DOMAIN)
]


@attrs.frozen
class _Node:
    number: int
    phase_s: float

    @property
    def domain(self) -> str:
        return f"domain-{self.number % DOMAINS}"


@attrs.define(eq=False)
class _Sent:
    """A request on one engine: what its node expected of it, and what is true."""

    node: _Node
    expected: Assignment
    first_s: float
    end_s: float
    long_prompt: bool
    known_everywhere: bool

    def known_until_s(self, observer: _Node, now: float) -> float:
        """Return up to what time an observer knows what became of it."""
        if observer is self.node:
            return now
        if observer.domain == self.node.domain or self.known_everywhere:
            return now - NEAR_DELAY_S
        phase_s = self.node.phase_s
        updates = (now - NEAR_DELAY_S - phase_s) // FAR_INTERVAL_S
        update_s = updates * FAR_INTERVAL_S + phase_s
        return max(update_s, now - LONG_DELAY_S) if self.long_prompt else update_s

    def as_known_by(self, observer: _Node, now: float) -> Assignment | None:
        until_s = self.known_until_s(observer, now)
        if not self.expected.sent_s <= until_s < self.end_s:
            return None
        if observer is not self.node and now >= self.expected.end_s + OVERDUE_S:
            return None
        return self._as_of(until_s)

    def as_is(self, now: float) -> Assignment | None:
        return self._as_of(now) if now < self.end_s else None

    def _as_of(self, time_s: float) -> Assignment:
        if time_s < self.first_s:
            return self.expected
        rest_s = self.expected.end_s - self.expected.first_s
        return attrs.evolve(
            self.expected,
            first_event_seen=True,
            first_s=self.first_s,
            end_s=self.first_s + rest_s,
        )


@attrs.frozen
class _Placed:
    """A placement, and what is true of it: times are in milliseconds."""

    placement: RelayPlacement
    demand: Demand
    believed: int
    running: int
    other_domain: bool
    first_ms: float

    @property
    def full(self) -> bool:
        return self.running >= SLOTS

    @property
    def late(self) -> bool:
        return self.first_ms > self.demand.objective_ms


@attrs.define
class _Fleet:
    """
    Nodes that place requests on engines, each by what it knows.

    :param many_senders: whether nodes count on sends that they learn of late.
    :param settles: whether long prompts are announced and checked before their send.
    """

    many_senders: bool
    settles: bool = attrs.field()

    @settles.default
    def _announce_if_many_senders(self) -> bool:
        return self.many_senders

    sent: dict[str, list[_Sent]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    placed: list[_Placed] = attrs.field(factory=list)
    unplaced: int = 0
    _settled: set[int] = attrs.field(factory=set)
    nodes: list[_Node] = attrs.field()

    @nodes.default
    def _make_nodes(self) -> list[_Node]:
        rng = random.Random(SEED)
        count = DOMAINS * NODES_PER_DOMAIN
        return [_Node(n, FAR_INTERVAL_S * rng.random()) for n in range(count)]

    def run(self, arrivals) -> list[_Placed]:
        """Place (time, node number, demand) in the order of their times."""
        events = [(now, order, *rest) for order, (now, *rest) in enumerate(arrivals)]
        heapq.heapify(events)
        announced: dict[int, list[_Sent]] = {}
        while events:
            now, order, number, demand = heapq.heappop(events)
            node = self.nodes[number]
            for sent in announced.get(order, ()):
                self.sent[sent.expected.backend_id].remove(sent)
            placement = self._choose(node, demand, now, f"r{order}")
            if placement is None:
                self.unplaced += 1
                continue
            self._record(node, placement, demand, now, announced.setdefault(order, []))
            settles = self.settles and placement.long_prompt
            if settles and order not in self._settled:
                self._settled.add(order)
                heapq.heappush(events, (now + SETTLE_S, order, number, demand))
                self.placed.pop()
        return self.placed

    def _choose(self, node, demand, now, request_id) -> RelayPlacement | None:
        demand = attrs.evolve(demand, many_senders=self.many_senders)
        candidates = (
            Candidate(
                server,
                ENGINE,
                self._on_engine(server, lambda sent: sent.as_known_by(node, now)),
                same_domain=server.failure_domain == node.domain,
            )
            for server in SERVERS
        )
        return choose_placement(candidates, demand, now, request_id)

    def _on_engine(self, server, view) -> list[Assignment]:
        views = map(view, self.sent[server.backend_id])
        return [assignment for assignment in views if assignment is not None]

    def _record(self, node, placement, demand, now, sent) -> None:
        parts = len(placement.participants)
        true = [
            estimate(
                attrs.evolve(
                    p, assignments=self._on_engine(p.server, lambda s: s.as_is(now))
                ),
                demand,
                now,
                parts,
                placement.needs_reservations,
            )
            for p in placement.participants
        ]
        first_ms = max(e.first_ms for e in true)
        end_ms = first_ms + true[0].end_ms - true[0].first_ms
        candidate = placement.candidate
        self.placed.append(
            _Placed(
                placement,
                demand,
                len(candidate.assignments),
                len(self._on_engine(candidate.server, lambda s: s.as_is(now))),
                not candidate.same_domain,
                first_ms,
            )
        )
        for index, participant in enumerate(placement.participants):
            lead = index == 0
            expected = Assignment(
                participant.server.backend_id,
                demand.prompt_tokens // parts,
                demand.answer_tokens if lead else 0,
                demand.gap_objective_ms if lead else 0.0,
                now,
                now + placement.estimate.first_ms / 1_000,
                now + placement.estimate.end_ms / 1_000,
                full_prompt_tokens=demand.prompt_tokens,
                due_s=now + demand.objective_ms / 1_000,
            )
            stays = lead or placement.needs_reservations
            sent.append(
                _Sent(
                    node,
                    expected,
                    now + first_ms / 1_000,
                    now + (end_ms if stays else first_ms) / 1_000,
                    placement.long_prompt,
                    placement.affects_other_domains,
                )
            )
            self.sent[participant.server.backend_id].append(sent[-1])
        self._drop_ended(now)

    def _drop_ended(self, now) -> None:
        for backend_id, sent in self.sent.items():
            if sent and sent[0].end_s < now - FAR_INTERVAL_S - NEAR_DELAY_S:
                self.sent[backend_id] = [
                    s for s in sent if s.end_s >= now - FAR_INTERVAL_S - NEAR_DELAY_S
                ]


def _arrivals(demand, per_s, seconds, domains=(1, 1, 1), seed=SEED):
    """Return arrivals at random nodes, whose domains have these weights."""
    rng = random.Random(seed)
    now = rng.expovariate(per_s)
    while now < seconds:
        (domain,) = rng.choices(range(DOMAINS), domains)
        yield now, DOMAINS * rng.randrange(NODES_PER_DOMAIN) + domain, demand
        now += rng.expovariate(per_s)


def _share(placed, predicate) -> float:
    return sum(map(predicate, placed)) / max(1, len(placed))


@functools.cache
def _short_after_start(many_senders, load, domains=(1, 1, 1)) -> list[_Placed]:
    """Return the placements of short requests once the fleet has filled."""
    per_s = load * DOMAINS * ENGINES_PER_DOMAIN * SLOTS / SHORT_S
    placed = _Fleet(many_senders).run(_arrivals(SHORT, per_s, 4, domains))
    return placed[len(placed) // 2 :]


def test_nodes_that_learn_late_of_each_other_do_not_fill_the_same_engines():
    # At 65 % of all slots, callers need a free slot: fewer than 2 in 100 get none.
    before = _short_after_start(False, 0.65)
    after = _short_after_start(True, 0.65)
    assert _share(before, lambda p: p.full) > 0.2
    assert _share(before, lambda p: p.late) > 0.05
    assert _share(after, lambda p: p.full) < 0.02
    assert _share(after, lambda p: p.late) < 0.02


def test_a_failure_domain_at_its_limit_finds_no_empty_engines_by_old_updates():
    # Half of all callers are in one failure domain, whose slots are nearly all taken;
    # those of the others look free, as their nodes' updates are seconds old.
    before = _short_after_start(False, 0.65, (1.5, 0.75, 0.75))
    after = _short_after_start(True, 0.65, (1.5, 0.75, 0.75))
    assert _share(before, lambda p: p.late) > 0.12
    # The users' objective is met by 95 of 100.
    assert _share(after, lambda p: p.late) < 0.05
    sent_away = [p for p in after if p.other_domain]
    assert sent_away
    assert _share(sent_away, lambda p: p.late) < 0.05


def test_requests_stay_in_their_failure_domain_while_it_has_slots():
    after = _short_after_start(True, 0.65)
    assert not any(p.other_domain for p in after)


def _long_pairs(seed):
    """Return short requests, and long prompts in pairs within 30 ms of each other."""
    per_s = 0.5 * DOMAINS * ENGINES_PER_DOMAIN * SLOTS / SHORT_S
    arrivals = list(_arrivals(SHORT, per_s, 3.2, seed=seed))
    rng = random.Random(seed)
    for index in range(12):
        now, domain = 1.2 + 0.16 * index, index % DOMAINS
        for node in rng.sample(range(NODES_PER_DOMAIN), 2):
            number = DOMAINS * node + domain
            arrivals.append((now + 0.03 * rng.random(), number, LONG))
    return sorted(arrivals, key=lambda arrival: arrival[0])


def _sharing(placed) -> int:
    """Count long prompts that share an engine with the one before them."""
    engines = [
        {c.server.backend_id for c in p.placement.participants}
        for p in placed
        if p.placement.long_prompt
    ]
    return sum(bool(one & other) for one, other in itertools.pairwise(engines))


def test_long_prompts_that_arrive_within_30_ms_take_different_engines():
    sharing, late = collections.Counter(), collections.Counter()
    for many_senders, seed in itertools.product((False, True), (0, 1)):
        placed = _Fleet(many_senders).run(_long_pairs(seed))
        sharing[many_senders] += _sharing(placed)
        late[many_senders] += sum(p.late for p in placed if p.placement.long_prompt)
    assert sharing[False] > 12
    assert sharing[True] < sharing[False] / 2
    assert late[True] <= late[False]


def _long_pauses(fleet) -> int:
    """Count answers that pause for longer than their objective at their beginning."""

    def pauses(first, on_engine) -> bool:
        ahead = [
            Prefill(
                other.as_is(first.first_s).tokens_left(first.first_s),
                other.expected.full_prompt_tokens,
            )
            for other in on_engine
            if other.expected.sent_s <= first.first_s < other.first_s
        ]
        batch = DecodeBatch(1, first.expected.prompt_tokens)
        pause_ms = longest_pass_ms(ENGINE, batch, ahead)
        return pause_ms > first.expected.gap_objective_ms > 0

    return sum(
        pauses(s, on_engine) for on_engine in fleet.sent.values() for s in on_engine
    )


def test_prompts_of_medium_length_within_half_a_second_do_not_pause_their_answers():
    paused, late = collections.Counter(), collections.Counter()
    for many_senders, seed in itertools.product((False, True), range(10)):
        rng = random.Random(seed)
        times = sorted(1.0 + 0.5 * rng.random() for _ in range(12))
        fleet = _Fleet(many_senders)
        placed = fleet.run(
            (
                now,
                DOMAINS * rng.randrange(NODES_PER_DOMAIN),
                attrs.evolve(MEDIUM, prompt_tokens=rng.randrange(30_000, 60_001)),
            )
            for now in times
        )
        paused[many_senders] += _long_pauses(fleet)
        late[many_senders] += sum(p.late for p in placed)
    # Of 120 prompts, on 23 engines of their failure domain.
    assert paused[False] > 6
    assert paused[True] <= 1
    assert late[True] == 0


def test_a_prompt_that_is_late_in_any_case_still_ends_by_its_deadline():
    # Neither 4 engines nor 10 begin within 2 s, but with 4 it ends after 10.7 s.
    very_long = Demand(
        700_000, 700, 2_000.0, 2_500.0, caller_timeout_ms=15_000.0, deadline_ms=8_000.0
    )
    engines = [Candidate(server, ENGINE) for server in SERVERS]
    before = choose_placement(engines, very_long, 0.0, "r1")
    demand = attrs.evolve(very_long, many_senders=True)
    after = choose_placement(engines, demand, 0.0, "r1")
    assert before.estimate.end_ms > very_long.deadline_ms
    assert after.estimate.end_ms < 0.75 * very_long.deadline_ms
    assert len(after.participants) > len(before.participants)


def test_a_prompt_behind_others_counts_the_answers_that_it_will_pause():
    # A third answer is decoded already, without an objective for its pauses.
    running = Assignment("e1", 5_000, 800, 0.0, -0.5, -0.4, 1.5, first_event_seen=True)
    first = Assignment("e1", 45_000, 800, 600.0, 0.0, 0.35, 1.5)
    second = Assignment("e1", 45_000, 800, 600.0, 0.1, 0.7, 1.9)
    demand = Demand(60_000, 800, 1_500.0, 600.0, caller_timeout_ms=6_000.0)

    def others_loss(many_senders, *assignments):
        candidate = Candidate(SERVERS[1], ENGINE, assignments)
        changed = attrs.evolve(demand, many_senders=many_senders)
        return estimate(candidate, changed, 0.1).others_loss

    assert others_loss(False, running, first, second) == 0
    assert others_loss(True, running, first, second) > 0
    assert others_loss(True, running) == 0


def test_what_many_senders_change_is_not_used_in_small_fleets():
    rng = random.Random(SEED)
    for prompt_tokens, taken in itertools.product((5_000, 45_000, 500_000), (0, 3, 5)):
        engines = [
            Candidate(
                server,
                ENGINE,
                [
                    Assignment(server.backend_id, 5_000, 900, 250.0, 0.0, 0.1, 9.0)
                    for _ in range(rng.randint(0, taken))
                ],
                same_domain=server.failure_domain == "domain-0",
            )
            for server in SERVERS
        ]
        demand = Demand(prompt_tokens, 800, 1_500.0, 600.0, 6_000.0)
        # A deadline alone changes nothing.
        with_deadline = attrs.evolve(demand, deadline_ms=1_000.0)
        assert choose_placement(engines, demand, 0.2, "r") == choose_placement(
            engines, with_deadline, 0.2, "r"
        )


def test_calls_of_plain_services_are_spread_as_before():
    calls = Demand(0, 0, 300.0, 0.0, 2_000.0, average_call_ms=20.0)
    servers = [Candidate(s, None) for s in SERVERS if s.failure_domain == "domain-0"]
    for request_id in ("r1", "r2", "r3"):
        before, after = (
            choose_placement(
                servers, attrs.evolve(calls, many_senders=m), 0.0, request_id
            )
            for m in (False, True)
        )
        assert before == after


def load_tests(loader, tests, pattern):
    return collect(globals())

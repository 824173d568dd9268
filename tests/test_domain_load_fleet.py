"""Uneven demand of failure domains, with and without summaries of their load."""

import random

import attrs

from tanagerkeel.relay import (
    Assignment,
    AssignmentTable,
    BackendServer,
    Candidate,
    Demand,
    DomainLoads,
    choose_placement,
    engine_loads,
)
from tests.support import collect
from tests.test_domain_load import PROFILE, load_of

SHORT_S = 1.6
DOMAINS = "abc"
ENGINES_PER_DOMAIN = 8
NODES_PER_DOMAIN = 12
TICK_S = 0.01
FAR_INTERVAL_S = 6.5
DEMAND = Demand(1_500, 200, 200.0, 500.0, 2_000.0, many_senders=True)


@attrs.define
class _Fleet:
    """Nodes of a failure domain share what they know; far ones hear by intervals."""

    summaries: bool
    rng: random.Random
    tables: dict = attrs.field(factory=lambda: {d: AssignmentTable() for d in DOMAINS})
    loads: dict = attrs.field(factory=lambda: {d: DomainLoads() for d in DOMAINS})
    running: dict = attrs.field(factory=dict)
    sent: int = 0
    late: int = 0
    full: int = 0
    overflowed: int = 0
    _sequence: int = 0

    def engines(self, domain):
        return [f"{domain}{number}" for number in range(ENGINES_PER_DOMAIN)]

    def ends_s(self, engine):
        work = (a for work in self.running.values() for a in work)
        return sorted(a.end_s for a in work if a.backend_id == engine)

    def tell(self, node, domains, now):
        self._sequence += 1
        for domain in domains:
            work = tuple(self.running.get(node, ()))
            self.tables[domain].update_peer(node, (1, self._sequence), work, now, 16.0)

    def summarize(self, domain, now):
        engines = [(engine, PROFILE) for engine in self.engines(domain)]
        loads = engine_loads(engines, self.tables[domain].by_backend(now), now)
        load = load_of(*loads, sent_ms=int(1_000 * now))
        for other in DOMAINS:
            if other != domain:
                self.loads[other].merge(f"{domain}-0", domain, load, now)

    def candidates(self, own, now):
        known = self.tables[own].by_backend(now)
        for domain in DOMAINS:
            age_s = self.loads[own].age_s(domain, now)
            for engine in self.engines(domain):
                found = self.loads[own].complete(
                    domain, engine, known.get(engine, ()), PROFILE, now
                )
                server = BackendServer(engine, 1, "llm", "10.0.0.1:80", domain, 6)
                yield Candidate(
                    server, PROFILE, found, same_domain=domain == own, load_age_s=age_s
                )

    def send(self, domain, now):
        node = f"{domain}-{self.rng.randrange(NODES_PER_DOMAIN)}"
        salt = str(self.sent)
        placement = choose_placement(self.candidates(domain, now), DEMAND, now, salt)
        self.sent += 1
        if placement is None:
            self.late += 1
            return
        engine = placement.candidate.server.backend_id
        ends_s = self.ends_s(engine)
        start_s = now
        if len(ends_s) >= PROFILE.slots:
            start_s = ends_s[-PROFILE.slots]
            others = (e for d in DOMAINS if d != engine[0] for e in self.engines(d))
            self.full += any(len(self.ends_s(e)) < PROFILE.slots for e in others)
        self.late += start_s - now > DEMAND.objective_ms / 1_000
        first_s = start_s + 0.1
        end_s = start_s + SHORT_S
        work = Assignment(engine, 1_500, 200, 500.0, now, first_s, end_s, True)
        self.running.setdefault(node, []).append(work)
        far = not placement.candidate.same_domain
        self.overflowed += far
        self.tell(node, DOMAINS if far else domain, now)

    def run(self, shares, seconds):
        slots = ENGINES_PER_DOMAIN * PROFILE.slots
        per_tick = {d: s * slots / SHORT_S * TICK_S for d, s in shares.items()}
        for tick in range(int(seconds / TICK_S)):
            now = tick * TICK_S
            for node, work in self.running.items():
                left = [a for a in work if a.end_s > now]
                if len(left) < len(work):
                    foreign = any(a.backend_id[0] != node[0] for a in work)
                    self.running[node] = left
                    self.tell(node, DOMAINS if foreign else node[0], now)
            far_ticks = int(FAR_INTERVAL_S / TICK_S)
            for index, node in enumerate(self.running):
                if tick % far_ticks == index * 17 % far_ticks:
                    self.tell(node, DOMAINS, now)
            if self.summaries and tick % 30 == 0:
                for domain in DOMAINS:
                    self.summarize(domain, now)
            for domain, mean in per_tick.items():
                if self.rng.random() < mean:
                    self.send(domain, now)
        return self


def test_with_summaries_uneven_demand_is_late_less_often_and_no_engine_overfilled():
    # The first failure domain has demand for 1.4 times its slots, all for 0.73.
    shares = {"a": 1.4, "b": 0.4, "c": 0.4}
    alone, told = (
        [_Fleet(summaries, random.Random(seed)).run(shares, 12.0) for seed in (1, 2, 3)]
        for summaries in (False, True)
    )
    assert [fleet.sent for fleet in told] == [fleet.sent for fleet in alone]
    assert sum(fleet.late for fleet in told) < sum(fleet.late for fleet in alone)
    assert sum(fleet.full for fleet in alone) > 0
    assert sum(fleet.full for fleet in told) == 0
    assert all(t.overflowed > a.overflowed for t, a in zip(told, alone, strict=True))


def load_tests(loader, tests, pattern):
    return collect(globals())

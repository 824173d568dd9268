"""Simulated fleets with crashing prompt sections, and with engines that name limits."""

import argparse
import itertools
import statistics
import sys

from tests import test_rate_limit_table as rate_limits
from tests import test_section_quarantine as sections

from bench._tables import Table

SECTION_SEEDS = 20
LIMIT_SEEDS = 10
NODE_COUNTS = (6, 30)
LIMITS_PER_S = (0.25, 1.0, 4.0, 50.0)
# Requests with the section a second, and the share of the updates that are lost.
SECTION_RUNS = ((4.0, 0.05), (4.0, 0.4), (50.0, 0.05))


def measure_sections(seed: int) -> Table:
    """Return the engines lost and the requests sent, for each fleet."""
    columns = (
        "nodes",
        "requests/s with the section",
        "updates lost",
        "engines lost, mean",
        "most",
        "late requests, most",
        "sound requests sent, least",
    )
    table = Table(f"Crashing section, {sections.RUN_S:.0f} s", columns)
    for nodes, (per_s, loss) in itertools.product(NODE_COUNTS, SECTION_RUNS):
        fleets = [
            sections.Fleet(seed + n, nodes, per_s, loss=loss).run()
            for n in range(SECTION_SEEDS)
        ]
        lost = [len(fleet.crashes_s["dead"]) for fleet in fleets]
        late = max(fleet.late_arrivals() for fleet in fleets)
        sent = min(fleet.served_share() for fleet in fleets)
        table.add(nodes, per_s, loss, statistics.mean(lost), max(lost), late, sent)
    return table


def measure_limits(seed: int) -> Table:
    """Return the most requests in a span and the used share, for each fleet."""
    columns = (
        "nodes",
        "limit/s",
        "requests at",
        "most in 4 s",
        "allowed",
        "without pacing",
        "share used",
    )
    table = Table(f"Engine with a limit, {rate_limits.RUN_S:.0f} s", columns)
    cases = itertools.product(NODE_COUNTS, LIMITS_PER_S, ((), (0,)))
    for nodes, limit, senders in cases:
        per_s = max(30.0, 4 * limit)
        fleets = [
            rate_limits.Fleet(seed + n, nodes, ((0.0, limit),), per_s, senders).run()
            for n in range(LIMIT_SEEDS)
        ]
        table.add(
            nodes,
            limit,
            "one node" if senders else "all nodes",
            max(fleet.most_in_span() for fleet in fleets),
            rate_limits.allowed_in_span(limit),
            per_s * rate_limits.SPAN_S,
            statistics.mean(fleet.used_share(limit) for fleet in fleets),
        )
    return table


def main() -> int:
    """Print all tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    for measure in (measure_sections, measure_limits):
        print(measure(options.seed).to_markdown())
    return 0


if __name__ == "__main__":
    sys.exit(main())

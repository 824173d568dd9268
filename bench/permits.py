"""Permits in simulation: grants, over-grants, and take-over after a grantor's death."""

import argparse
import pathlib
import statistics
import sys

import attrs
from tests.test_permit_shares import Simulation

from tanagerkeel import codec

RUN_S = 90.0
SEEDS = 60
# Limit of the engine, and share of the seconds in which something fails.
RUNS = ((1, 0.0), (2, 0.0), (4, 0.0), (2, 0.3), (4, 0.3), (2, 0.9), (4, 0.9))
SETTLE_S = 20.0
WAIT_S = 60.0


@attrs.frozen
class Row:
    """Figures of all seeds of one size."""

    limit: int
    faults: float
    runs: int
    granted: int
    dispatched: int
    most_running: int
    runs_over_limit: int


@attrs.frozen
class TakeOver:
    """Seconds from the new view to the first grant of the new grantor."""

    limit: int
    runs: int
    median_s: float
    worst_s: float
    not_within_wait: int


def measure(limit: int, faults: float, seed: int) -> Row:
    """Return what all seeds of one size gave."""
    runs = [
        Simulation(seed * 1_000 + i, limit, faults).run(RUN_S) for i in range(SEEDS)
    ]
    return Row(
        limit=limit,
        faults=faults,
        runs=len(runs),
        granted=sum(r.granted for r in runs),
        dispatched=sum(r.dispatched for r in runs),
        most_running=max(r.max_running for r in runs),
        runs_over_limit=sum(r.max_running > limit for r in runs),
    )


def take_over(limit: int, seed: int) -> TakeOver:
    """Kill the grantor, tell the rest, and wait for the first grant of the next."""
    found = []
    for index in range(SEEDS):
        simulation = Simulation(seed * 1_000 + index, limit, 0.0).run(SETTLE_S)
        first = next(iter(simulation.nodes.values())).believed_grantor
        simulation.nodes[first].dead = True
        rest = tuple(name for name in simulation.nodes if name != first)
        for name in rest:
            simulation.nodes[name].view = rest
        # What runs is over, so only the hand-over is waited for.
        simulation.running = 0
        before, started_s = simulation.granted, simulation.now
        while simulation.granted == before and simulation.now - started_s < WAIT_S:
            simulation.step()
            simulation.running = 0
        found.append(simulation.now - started_s)
    done = [seconds for seconds in found if seconds < WAIT_S]
    return TakeOver(
        limit=limit,
        runs=len(found),
        median_s=statistics.median(done),
        worst_s=max(done),
        not_within_wait=len(found) - len(done),
    )


def table(rows: list[Row] | list[TakeOver]) -> str:
    """Return the rows as a Markdown table."""
    names = [field.name for field in attrs.fields(type(rows[0]))]
    lines = [f"| {' | '.join(names)} |", "|" + " --- |" * len(names)]
    for row in rows:
        cells = (
            f"{value:.2f}" if isinstance(value, float) else str(value)
            for value in attrs.astuple(row)
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines)


def main() -> int:
    """Run every size and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=pathlib.Path)
    options = parser.parse_args()
    rows = [measure(limit, faults, options.seed) for limit, faults in RUNS]
    followed = [take_over(limit, options.seed) for limit in (2, 4)]
    print(f"{table(rows)}\n\n{table(followed)}")
    if options.output:
        options.output.write_bytes(codec.encode((*rows, *followed)))
    return int(any(row.runs_over_limit for row in rows))


if __name__ == "__main__":
    sys.exit(main())

"""Simulated permits: grants, runs over the limit, and takeover after a grantor dies."""

import argparse
import pathlib
import statistics
import sys

import attrs
from tests.test_permit_shares import Simulation

from tanagerkeel import codec

RUN_S = 90.0
SEED_COUNT = 60
# Limit of the engine, and share of the seconds in which a fault occurs.
RUNS = ((1, 0.0), (2, 0.0), (4, 0.0), (2, 0.3), (4, 0.3), (2, 0.9), (4, 0.9))
# Simulated time before the grantor is killed.
SETTLE_S = 20.0
TAKEOVER_TIMEOUT_S = 60.0


@attrs.frozen
class Row:
    """Results of all seeds for one limit and fault share."""

    limit: int
    faults: float
    runs: int
    granted: int
    dispatched: int
    most_running: int
    runs_over_limit: int


@attrs.frozen
class Takeover:
    """Time from the new membership view to the first grant of the new grantor."""

    limit: int
    runs: int
    median_s: float
    worst_s: float
    not_within_wait: int


def measure_grants(limit: int, faults: float, seed: int) -> Row:
    """Simulate all seeds for one limit and fault share, and return their results."""
    runs = [
        Simulation(seed * 1_000 + i, limit, faults).run(RUN_S)
        for i in range(SEED_COUNT)
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


def measure_takeover(limit: int, seed: int) -> Takeover:
    """
    Measure the takeover after the grantor's death.

    Kills the grantor, gives the survivors a view without it, and waits for the first
    grant of its successor.
    """
    times_s = []
    for index in range(SEED_COUNT):
        simulation = Simulation(seed * 1_000 + index, limit, 0.0).run(SETTLE_S)
        first = next(iter(simulation.nodes.values())).believed_grantor
        simulation.nodes[first].dead = True
        survivors = tuple(name for name in simulation.nodes if name != first)
        for name in survivors:
            simulation.nodes[name].view = survivors
        # No request is left running, so that only the takeover is measured.
        simulation.running = 0
        before, started_s = simulation.granted, simulation.now
        while (
            simulation.granted == before
            and simulation.now - started_s < TAKEOVER_TIMEOUT_S
        ):
            simulation.step()
            simulation.running = 0
        times_s.append(simulation.now - started_s)
    done = [seconds for seconds in times_s if seconds < TAKEOVER_TIMEOUT_S]
    return Takeover(
        limit=limit,
        runs=len(times_s),
        median_s=statistics.median(done),
        worst_s=max(done),
        not_within_wait=len(times_s) - len(done),
    )


def table(rows: list[Row] | list[Takeover]) -> str:
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
    """Run and print all simulations; return 1 if a run exceeded its limit."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=pathlib.Path)
    options = parser.parse_args()
    rows = [measure_grants(limit, faults, options.seed) for limit, faults in RUNS]
    takeovers = [measure_takeover(limit, options.seed) for limit in (2, 4)]
    print(f"{table(rows)}\n\n{table(takeovers)}")
    if options.output:
        options.output.write_bytes(codec.encode((*rows, *takeovers)))
    return int(any(row.runs_over_limit for row in rows))


if __name__ == "__main__":
    sys.exit(main())

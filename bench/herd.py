"""
Nodes that decide alone from late reports: how they choose an engine.

Six nodes send short prompts to twenty engines at 80% of what these can prefill.
Reports are taken every second and come late.
"""

import argparse
import json
import math
import pathlib
import random
from collections.abc import Callable

import attrs

from bench._engine_model import RATE, Fleet, Node, request_of
from bench._tables import Table
from tanagerkeel.fleet import BackendSnapshot

__all__ = ["main"]

ENGINES = 20
NODES = 6
LOAD = 0.8
LENGTH_S = 50.0
WARM_UP_S = 10.0
LAGS_S = (0.1, 1.0, 3.0)

Choose = Callable[[Fleet, Node, int], str]


@attrs.frozen
class Policy:
    """
    A way to choose.

    :param name: for the table.
    :param sample: how many random candidates; 0 for all.
    :param corrects: whether own dispatches correct the reports.
    :param drains: whether the report's tokens are taken to be prefilled since.
    """

    name: str
    sample: int
    corrects: bool = True
    drains: bool = True

    def choose(self, fleet: Fleet, node: Node) -> str:
        """Return the name of the chosen engine."""
        snapshots = tuple(node.table.snapshots(fleet.now_s))
        if self.sample:
            snapshots = node.random.sample(snapshots, self.sample)
        return min(snapshots, key=lambda s: self._ahead(fleet, node, s)).server.name

    def _ahead(self, fleet: Fleet, node: Node, snapshot: BackendSnapshot) -> float:
        if self.drains:
            return snapshot.urgent_tokens
        record = node.table._records[snapshot.server.name]
        return record.load.estimate(fleet.now_s, 0.0).urgent_tokens


POLICIES = (
    Policy("random engine", 1),
    Policy("best of all, report alone", 0, corrects=False, drains=False),
    Policy("best of 3, report alone", 3, corrects=False, drains=False),
    Policy("best of all, own dispatches", 0, drains=False),
    Policy("best of 3, own dispatches", 3, drains=False),
    Policy("best of all, own dispatches and progress", 0),
    Policy("best of 2, own dispatches and progress", 2),
    Policy("best of 3, own dispatches and progress", 3),
    Policy("best of 5, own dispatches and progress", 5),
)


def run(policy: Policy, lag_s: float, seed: int) -> list[float]:
    """Return the sorted times to the first token."""
    fleet = Fleet(ENGINES, NODES, lag_s, seed, corrects=policy.corrects)
    source = random.Random(f"{seed}/arrivals")
    now_s, number = 0.0, 0
    while now_s < LENGTH_S:
        tokens = int(math.exp(source.uniform(math.log(1_000), math.log(8_000))))
        now_s += source.expovariate(LOAD * ENGINES * RATE / 3_366)
        number += 1
        fleet.advance(now_s)
        index = source.randrange(NODES)
        name = policy.choose(fleet, fleet.nodes[index])
        fleet.dispatch(index, name, request_of(number, tokens, now_s))
    fleet.advance(now_s + 30)
    jobs = [j for j in fleet.finished if j.arrived_s > WARM_UP_S]
    return sorted(job.waited_s for job in jobs)


def main() -> None:
    """Run the comparison and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=pathlib.Path)
    options = parser.parse_args()
    columns = tuple(f"p{p}, lag {lag:g} s" for lag in LAGS_S for p in (50, 95, 99))
    table = Table("Time to the first token, in seconds", ("choice", *columns))
    for policy in POLICIES:
        row = []
        for lag_s in LAGS_S:
            waits = run(policy, lag_s, options.seed)
            row += [waits[int(len(waits) * p)] for p in (0.5, 0.95, 0.99)]
        table.add(policy.name, *row)
    print(table.markdown())
    if options.output is not None:
        options.output.write_text(json.dumps(table.plain()))


if __name__ == "__main__":
    main()

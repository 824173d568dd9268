"""
Herding: ways to choose an engine when nodes decide independently on stale reports.

Six nodes send short prompts to twenty simulated engines, at 80% of the load that these
can prefill. Load reports are taken every second and reach the nodes with a lag.
"""

import argparse
import json
import math
import pathlib
import random
from collections.abc import Callable

import attrs

from bench._engine_model import PREFILL_TOKENS_PER_S, Fleet, Node, synthetic_request
from bench._tables import Table
from tanagerkeel.fleet import BackendSnapshot

__all__ = ["main"]

ENGINES = 20
NODES = 6
# Share of the engines' prefill rate.
LOAD = 0.8
DURATION_S = 50.0
# Requests that arrive earlier are not counted.
WARM_UP_S = 10.0
# Ages of a load report when the nodes receive it.
LAGS_S = (0.1, 1.0, 3.0)

ChooseEngine = Callable[[Fleet, Node, int], str]


@attrs.frozen
class Policy:
    """
    A way to choose an engine: the shortest queue of a random sample.

    :param name: label in the table.
    :param sample: number of random candidates; 0 for all engines.
    :param tracks_dispatches: whether a node corrects reports by its own dispatches.
    :param assumes_progress: whether a node assumes that the engine has prefilled at its
        rate since the report.
    """

    name: str
    sample: int
    tracks_dispatches: bool = True
    assumes_progress: bool = True

    def choose(self, fleet: Fleet, node: Node) -> str:
        """Return the name of the chosen engine."""
        snapshots = tuple(node.table.snapshots(fleet.now_s))
        if self.sample:
            snapshots = node.random.sample(snapshots, self.sample)
        return min(
            snapshots, key=lambda s: self._queued_tokens(fleet, node, s)
        ).server.name

    def _queued_tokens(
        self, fleet: Fleet, node: Node, snapshot: BackendSnapshot
    ) -> float:
        if self.assumes_progress:
            return snapshot.urgent_tokens
        record = node.table._records[snapshot.server.name]
        return record.load.estimate(fleet.now_s, 0.0).urgent_tokens


POLICIES = (
    Policy("random engine", 1),
    Policy(
        "best of all, report alone", 0, tracks_dispatches=False, assumes_progress=False
    ),
    Policy(
        "best of 3, report alone", 3, tracks_dispatches=False, assumes_progress=False
    ),
    Policy("best of all, own dispatches", 0, assumes_progress=False),
    Policy("best of 3, own dispatches", 3, assumes_progress=False),
    Policy("best of all, own dispatches and progress", 0),
    Policy("best of 2, own dispatches and progress", 2),
    Policy("best of 3, own dispatches and progress", 3),
    Policy("best of 5, own dispatches and progress", 5),
)


def run(policy: Policy, lag_s: float, seed: int) -> list[float]:
    """Return the sorted times to the first token, in seconds."""
    fleet = Fleet(
        ENGINES, NODES, lag_s, seed, tracks_dispatches=policy.tracks_dispatches
    )
    source = random.Random(f"{seed}/arrivals")
    now_s, number = 0.0, 0
    while now_s < DURATION_S:
        tokens = int(math.exp(source.uniform(math.log(1_000), math.log(8_000))))
        now_s += source.expovariate(LOAD * ENGINES * PREFILL_TOKENS_PER_S / 3_366)
        number += 1
        fleet.advance(now_s)
        index = source.randrange(NODES)
        name = policy.choose(fleet, fleet.nodes[index])
        fleet.dispatch(index, name, synthetic_request(number, tokens, now_s))
    fleet.advance(now_s + 30)
    jobs = [j for j in fleet.prefilled if j.arrived_s > WARM_UP_S]
    return sorted(job.time_to_first_token_s for job in jobs)


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
    print(table.to_markdown())
    if options.output is not None:
        options.output.write_text(json.dumps(table.to_dict()))


if __name__ == "__main__":
    main()

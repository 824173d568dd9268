"""
Slowdown of short requests when long ones share the fleet.

Three nodes send short prompts to twenty simulated engines, first alone and then mixed
with long prompts. Without engine groups (the baseline), any engine takes any prompt,
with one priority for all or with short prompts first. With groups, routing sends long
prompts only to their own engines.
"""

import argparse
import json
import math
import pathlib
import random
from collections.abc import Callable, Iterator

import attrs

from bench._engine_model import PREFILL_TOKENS_PER_S, Fleet, synthetic_request
from bench._tables import Table
from tanagerkeel.fleet import BackendSnapshot
from tanagerkeel.requests import LengthClass, ModelRequest
from tanagerkeel.routing import Router, SinglePlan

__all__ = ["main"]

ENGINES = 20
NODES = 3
DURATION_S = 90.0
# Requests that arrive earlier are not counted.
WARM_UP_S = 30.0
# Time after the last arrival in which requests may still be served.
DRAIN_S = 120.0
REPORT_LAG_S = 1.0
# Loads are shares of the engines' prefill rate.
SHORT_LOAD = 0.3
LONG_LOADS = (0.2, 0.4, 0.55)
SHORT_MEAN_TOKENS = 3_366
LONG_MEAN_TOKENS = 70_000
# Target for the mean time between the tokens of a request.
MAX_BETWEEN_TOKENS_S = 0.065

ChooseEngine = Callable[[int, ModelRequest], tuple[str, int] | None]


def _random_length(source: random.Random, low: int, high: int) -> int:
    return int(math.exp(source.uniform(math.log(low), math.log(high))))


def workload(seed: int, long_load: float) -> Iterator[ModelRequest]:
    """Yield requests by arrival time; the short ones do not depend on ``long_load``."""
    short_random = random.Random(f"{seed}/short")
    long_random = random.Random(f"{seed}/long")
    short = _requests_of_class(
        short_random, SHORT_LOAD / SHORT_MEAN_TOKENS, 1_000, 8_000, 0
    )
    long = _requests_of_class(
        long_random, long_load / LONG_MEAN_TOKENS, 20_000, 180_000, 1
    )
    requests = [*short, *(long if long_load else ())]
    yield from sorted(requests, key=lambda r: r.received_s)


def _requests_of_class(
    source: random.Random, rate: float, low: int, high: int, kind: int
) -> Iterator[ModelRequest]:
    now_s, number = 0.0, 0
    while rate and now_s < DURATION_S:
        now_s += source.expovariate(rate * ENGINES * PREFILL_TOKENS_PER_S)
        number += 2
        yield synthetic_request(number + kind, _random_length(source, low, high), now_s)


@attrs.define
class Shared:
    """
    Without groups: the shortest queue of three random engines, for any prompt.

    :param fleet: the simulated engines and nodes.
    :param priorities: whether short prompts are prefilled first on an engine.
    """

    fleet: Fleet
    priorities: bool

    def choose(self, index: int, request: ModelRequest) -> tuple[str, int]:
        """Return the engine and the priority."""
        node = self.fleet.nodes[index]
        is_short = request.length_class is LengthClass.SHORT
        snapshots = tuple(node.table.snapshots(self.fleet.now_s))

        def queued_tokens(snapshot: BackendSnapshot) -> float:
            if is_short and self.priorities:
                return snapshot.urgent_tokens
            return snapshot.waiting_tokens

        best = min(node.random.sample(snapshots, 3), key=queued_tokens)
        return best.server.name, int(self.priorities and not is_short)


@attrs.define
class Grouped:
    """With groups: the router of the product."""

    fleet: Fleet
    routers: list[Router] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.routers = [Router(node.table, node.random) for node in self.fleet.nodes]

    def choose(self, index: int, request: ModelRequest) -> tuple[str, int] | None:
        """Return the engine and the priority, or None if the request has to wait."""
        plan = self.routers[index].plan(request, frozenset(), self.fleet.now_s)
        if isinstance(plan, SinglePlan):
            return plan.chosen.snapshot.server.name, plan.priority
        return None


def run(
    make_chooser: Callable[[Fleet], ChooseEngine], long_load: float, seed: int
) -> Fleet:
    """Run a workload and return the fleet with its results."""
    fleet = Fleet(ENGINES, NODES, REPORT_LAG_S, seed, decodes=True)
    choose = make_chooser(fleet)
    source = random.Random(f"{seed}/nodes")
    waiting: list[tuple[int, ModelRequest]] = []
    for request in workload(seed, long_load):
        fleet.advance(request.received_s)
        waiting.append((source.randrange(NODES), request))
        waiting = [p for p in waiting if not _try_dispatch(fleet, choose, p)]
    for _ in range(int(DRAIN_S)):
        fleet.advance(fleet.now_s + 1)
        waiting = [p for p in waiting if not _try_dispatch(fleet, choose, p)]
    return fleet


def _try_dispatch(
    fleet: Fleet, choose: ChooseEngine, pending: tuple[int, ModelRequest]
) -> bool:
    index, request = pending
    chosen = choose(index, request)
    if chosen is not None:
        name, priority = chosen
        fleet.dispatch(index, name, request, priority)
    return chosen is not None


def _times_to_first_token(fleet: Fleet, length_class: LengthClass) -> list[float]:
    return sorted(
        j.first_token_s - j.request.received_s
        for j in fleet.prefilled
        if j.request.length_class is length_class and j.request.received_s > WARM_UP_S
    )


def _share_within_target(fleet: Fleet) -> float:
    times = [
        j.between_tokens_s
        for j in fleet.prefilled
        if j.request.length_class is LengthClass.SHORT
        and j.request.received_s > WARM_UP_S
    ]
    return sum(t <= MAX_BETWEEN_TOKENS_S for t in times) / len(times)


def _quantile(values: list[float], part: float) -> float:
    return values[int(len(values) * part)] if values else math.nan


POLICIES: dict[str, Callable[[Fleet], ChooseEngine]] = {
    "shared, one priority": lambda fleet: Shared(fleet, False).choose,
    "shared, two priorities": lambda fleet: Shared(fleet, True).choose,
    "groups": lambda fleet: Grouped(fleet).choose,
}


def main() -> None:
    """Run the comparison and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=pathlib.Path)
    options = parser.parse_args()
    columns = ("choice", "short load", "long load", "short p50, s", "p95", "p99")
    more_columns = (
        "p95 over alone",
        "within 65 ms between tokens",
        "long p50, s",
        "long p95, s",
        "long finished",
    )
    table = Table("First tokens of short requests", (*columns, *more_columns))
    groups_alone = _times_to_first_token(
        run(POLICIES["groups"], 0.0, options.seed), LengthClass.SHORT
    )
    shared = POLICIES["shared, two priorities"]
    shared_alone = _times_to_first_token(
        run(shared, 0.0, options.seed), LengthClass.SHORT
    )
    best_alone = min(_quantile(groups_alone, 0.95), _quantile(shared_alone, 0.95))
    for name, values in (("groups", groups_alone), ("shared", shared_alone)):
        quantiles = [_quantile(values, p) for p in (0.5, 0.95, 0.99)]
        slowdown = _quantile(values, 0.95) / best_alone
        table.add(f"{name}, alone", SHORT_LOAD, 0.0, *quantiles, slowdown, *[""] * 4)
    for long_load in LONG_LOADS:
        for name, make_chooser in POLICIES.items():
            fleet = run(make_chooser, long_load, options.seed)
            short = _times_to_first_token(fleet, LengthClass.SHORT)
            long = _times_to_first_token(fleet, LengthClass.LONG)
            quantiles = [_quantile(short, p) for p in (0.5, 0.95, 0.99)]
            sent = sum(
                r.length_class is LengthClass.LONG and r.received_s > WARM_UP_S
                for r in workload(options.seed, long_load)
            )
            table.add(
                name,
                SHORT_LOAD,
                long_load,
                *quantiles,
                quantiles[1] / best_alone,
                f"{_share_within_target(fleet):.0%}",
                _quantile(long, 0.5),
                _quantile(long, 0.95),
                f"{len(long)} of {sent}",
            )
    print(table.to_markdown())
    if options.output is not None:
        options.output.write_text(json.dumps(table.to_dict()))


if __name__ == "__main__":
    main()

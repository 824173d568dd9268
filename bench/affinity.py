"""
Hits in the engines' prefix caches: no affinity, ours, and the best possible.

Six nodes send chats and documents of ten accounts to twenty engines at 60% of what
these can prefill without a cache. Chats grow by turns behind the account's system
prompt; documents are asked about several times. The best possible knows every cache
and sends each prompt where most of it is, whatever waits there.
"""

import argparse
import json
import pathlib
import random
from collections.abc import Callable, Iterator

import attrs
import xxhash

from bench._engine_model import RATE, Fleet, request_of
from bench._tables import Table
from tanagerkeel.fleet import BackendSnapshot
from tanagerkeel.requests import ModelRequest
from tanagerkeel.routing._affinity import PrefixAffinity
from tanagerkeel.routing._score import score_engine

__all__ = ["main"]

ENGINES = 20
NODES = 6
ACCOUNTS = 10
LOAD = 0.6
LENGTH_S = 50.0
WARM_UP_S = 10.0
LAG_S = 1.0
CACHE_BLOCKS = 1_200
BLOCK_TOKENS = 256
MAX_BLOCKS = 64
MEAN_TOKENS = 5_000
OPEN_TALKS = 600


@attrs.define
class Talk:
    """A chat or a document that is asked about again and again."""

    account: int
    name: str
    blocks: int
    turns: int
    growth: int
    system: int

    def request(self, number: int, now_s: float) -> ModelRequest:
        """Return its next request."""
        tokens = self.blocks * BLOCK_TOKENS + 100
        blocks = _chain(self, min(self.blocks, MAX_BLOCKS))
        self.blocks += self.growth
        self.turns -= 1
        return request_of(number, tokens, now_s, 100_000, blocks)


def _chain(talk: Talk, count: int) -> tuple[int, ...]:
    chain = xxhash.xxh64(f"account {talk.account}".encode())
    hashes = []
    for index in range(count):
        owner = "system" if index < talk.system else talk.name
        chain.update(f"{owner}/{index}".encode())
        hashes.append(chain.intdigest())
    return tuple(hashes)


def _new_talk(source: random.Random, number: int) -> Talk:
    account = min(int(source.expovariate(0.4)), ACCOUNTS - 1)
    name = f"talk-{number}"
    if source.random() < 0.2:
        return Talk(account, name, source.randint(35, 120), source.randint(1, 5), 0, 0)
    return Talk(account, name, source.randint(4, 8), source.randint(2, 10), 2, 3)


def workload(seed: int) -> Iterator[ModelRequest]:
    """Yield the requests in the order of their arrival."""
    source = random.Random(f"{seed}/talks")
    talks = [_new_talk(source, number) for number in range(OPEN_TALKS)]
    now_s, number = 0.0, OPEN_TALKS
    while now_s < LENGTH_S:
        now_s += source.expovariate(LOAD * ENGINES * RATE / MEAN_TOKENS)
        number += 1
        index = source.randrange(len(talks))
        yield talks[index].request(number, now_s)
        if not talks[index].turns:
            talks[index] = _new_talk(source, number)


@attrs.frozen
class Policy:
    """
    Best of three random engines and the preferred ones.

    :param name: for the table.
    :param key_blocks: leading blocks that choose the preferred engines.
    :param preferred: how many are preferred; 0 for no affinity.
    :param assumed: part of the prefix taken to be cached on the first one; half
        as much on each further one.
    """

    name: str
    key_blocks: int = 4
    preferred: int = 0
    assumed: float = 0.0

    def choose(self, fleet: Fleet, index: int, request: ModelRequest) -> str:
        """Return the name of the chosen engine."""
        node = fleet.nodes[index]
        snapshots = {s.server.name: s for s in node.table.snapshots(fleet.now_s)}
        affinity = PrefixAffinity(
            node.table, self.key_blocks, self.preferred, self.assumed
        )
        preferred = affinity.preferred(request, tuple(snapshots))
        names = {*node.random.sample(tuple(snapshots), 3), *preferred}

        def wait_s(name: str) -> float:
            cached = 0
            if self.preferred:
                cached = affinity.cached_tokens(request, name, preferred)
            return score_engine(snapshots[name], request, cached).first_token_s

        return min(sorted(names), key=wait_s)


def best_possible(fleet: Fleet, index: int, request: ModelRequest) -> str:
    """Return the engine with most of the prompt in its cache."""
    snapshots: tuple[BackendSnapshot, ...] = tuple(
        fleet.nodes[index].table.snapshots(fleet.now_s)
    )

    def order(snapshot: BackendSnapshot) -> tuple[float, float]:
        engine = fleet.engines[snapshot.server.name]
        return (-engine.hit_tokens(request), snapshot.urgent_tokens)

    return min(snapshots, key=order).server.name


Choose = Callable[[Fleet, int, ModelRequest], str]
POLICIES: dict[str, Choose] = {
    "no affinity": Policy("").choose,
    "key 1 block, 2 engines, assume all": Policy("", 1, 2, 1.0).choose,
    "key 4 blocks, 2 engines, assume none": Policy("", 4, 2, 0.0).choose,
    "key 4 blocks, 2 engines, assume half": Policy("", 4, 2, 0.5).choose,
    "key 4 blocks, 1 engine, assume all": Policy("", 4, 1, 1.0).choose,
    "key 4 blocks, 2 engines, assume all": Policy("", 4, 2, 1.0).choose,
    "key 4 blocks, 3 engines, assume all": Policy("", 4, 3, 1.0).choose,
    "best possible": best_possible,
}


def run(choose: Choose, seed: int) -> tuple[float, list[float]]:
    """Return the share of prompt tokens that was cached, and sorted waits."""
    fleet = Fleet(ENGINES, NODES, LAG_S, seed, CACHE_BLOCKS)
    source = random.Random(f"{seed}/nodes")
    for request in workload(seed):
        fleet.advance(request.received_s)
        index = source.randrange(NODES)
        fleet.dispatch(index, choose(fleet, index, request), request)
    fleet.advance(fleet.now_s + 30)
    jobs = [j for j in fleet.finished if j.arrived_s > WARM_UP_S]
    tokens = sum(j.request.prompt_tokens for j in jobs)
    hits = sum(j.cached for j in jobs) / tokens
    return hits, sorted(j.waited_s for j in jobs)


def main() -> None:
    """Run the comparison and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=pathlib.Path)
    options = parser.parse_args()
    columns = ("choice", "tokens cached", "p50 first token, s", "p95", "p99")
    table = Table("Prefix-cache hits", columns)
    for name, choose in POLICIES.items():
        hits, waits = run(choose, options.seed)
        quantiles = [waits[int(len(waits) * p)] for p in (0.5, 0.95, 0.99)]
        table.add(name, f"{hits:.0%}", *quantiles)
    print(table.markdown())
    if options.output is not None:
        options.output.write_text(json.dumps(table.plain()))


if __name__ == "__main__":
    main()

"""
Cost of nodes by size of the system, and the time until all nodes know of an event.

Real entry processes on loopback, in front of stand-ins in this process. Bytes are
those of messages between nodes with their length prefix, without TCP and IP headers.
"""

import argparse
import asyncio
import json
import pathlib
from collections.abc import Awaitable, Callable

from bench import _node_parts
from bench._node_parts import Options
from bench._tables import Table

__all__ = ["main"]

PARTS: dict[str, Callable[[Options], Awaitable[tuple[Table, ...]]]] = {
    "domain": _node_parts.domain,
    "engines": _node_parts.engines,
    "accounts": _node_parts.accounts,
    "configuration": _node_parts.configuration,
    "events": _node_parts.events,
}


def main() -> None:
    """Run the chosen parts and print their tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []])
    parser.add_argument("--seed", type=int, default=Options().seed)
    parser.add_argument("--seconds", type=float, default=Options().seconds)
    parser.add_argument("--trials", type=int, default=Options().trials)
    for name in ("nodes", "engines", "accounts", "kilobytes"):
        parser.add_argument(
            f"--{name}", type=int, nargs="+", default=getattr(Options(), name)
        )
    parser.add_argument("--output", type=pathlib.Path)
    given = parser.parse_args()
    options = Options(
        given.seed,
        given.seconds,
        tuple(given.nodes),
        tuple(given.engines),
        tuple(given.accounts),
        tuple(given.kilobytes),
        given.trials,
    )
    tables = []
    for name in given.parts or PARTS:
        for table in asyncio.run(PARTS[name](options)):
            print(table.to_markdown(), flush=True)
            tables.append(table.to_dict())
    if given.output is not None:
        given.output.write_text(json.dumps(tables, indent=2) + "\n")


if __name__ == "__main__":
    main()

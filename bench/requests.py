"""
Model requests from end to end: our entry nodes compared with the naive baseline.

Up to twenty stand-in engines over real HTTP; entry nodes and callers share a process.
A run is ``TIME_SCALE`` times as fast as what it models: engines are faster and
deadlines shorter by that factor. Results are in modelled seconds, so the overhead of
this machine counts ``TIME_SCALE`` times. Prompts are sent in full length.
"""

import argparse
import asyncio
import json
import pathlib
from collections.abc import Awaitable, Callable

from bench import _request_faults, _request_loads
from bench._tables import Table

__all__ = ["main"]

PARTS: dict[str, Callable[[int], Awaitable[tuple[Table, ...]]]] = {
    "first-token": _request_loads.first_token,
    "completion": _request_loads.completion,
    "fairness": _request_loads.fairness,
    "cold-start": _request_faults.cold_start,
    "poison": _request_faults.poison,
    "gang": _request_faults.gang,
    "overload": _request_loads.overload,
}


def main() -> None:
    """Run the chosen parts and print their tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=pathlib.Path)
    options = parser.parse_args()
    tables = []
    for name in options.parts or PARTS:
        for table in asyncio.run(PARTS[name](options.seed)):
            print(table.to_markdown(), flush=True)
            tables.append(table)
    if options.output is not None:
        rows = [table.to_dict() for table in tables]
        options.output.write_text(json.dumps({"seed": options.seed, "tables": rows}))


if __name__ == "__main__":
    main()

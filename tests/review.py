"""
Plays the cases of the independent reviews again, but for case 8, which is open.

``python -m tests.review`` plays each case five times, which takes about 16 minutes, so
that it isn't part of the default run. ``python -m tests.review --times 1 3 5`` plays
cases 3 and 5 once. The nodes need the packages of the deploy file's build in
``target/deps``. The scripts run in a copy, as they write their records beside them.
"""

import argparse
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Sequence

import attrs

__all__ = ["main"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
CASES = (1, 2, 3, 4, 5, 6, 7, 9)
DEFAULT_TIMES = 5
# What the scripts use of the checkout; they find it beside their own folder.
USED = ("deploy", "platform", "src", "target")
VERDICTS = {0: "held", 1: "broken", 2: "could not run"}


@attrs.frozen
class Play:
    """
    One play of a case.

    :param case: the case's number.
    :param number: which play of the case it is.
    :param verdict: what its script found.
    """

    case: int
    number: int
    verdict: str


def _copy_to(folder: pathlib.Path) -> pathlib.Path:
    """Return a copy of the review beside links to what its scripts use."""
    for name in USED:
        (folder / name).symlink_to(ROOT / name)
    return pathlib.Path(shutil.copytree(ROOT / "review", folder / "review"))


def _plays(cases: Sequence[int], times: int) -> Iterator[Play]:
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        review = _copy_to(pathlib.Path(folder))
        for case in cases:
            for number in range(1, times + 1):
                ended = subprocess.run(
                    ["sh", str(review / str(case) / "run.sh")],
                    env={**os.environ, "TROUBLE": "1"},
                    check=False,
                )
                verdict = VERDICTS.get(ended.returncode, f"exit {ended.returncode}")
                yield Play(case, number, verdict)


def main(arguments: Sequence[str] | None = None) -> int:
    """Play cases and print what was found; return 1 unless all held."""
    parser = argparse.ArgumentParser(prog="python -m tests.review")
    parser.add_argument("cases", nargs="*", type=int, choices=[*CASES, []])
    parser.add_argument("--times", type=int, default=DEFAULT_TIMES)
    options = parser.parse_args(arguments)
    all_held = True
    for play in _plays(options.cases or CASES, options.times):
        print(f"case {play.case}, play {play.number}: {play.verdict}", flush=True)
        all_held = all_held and play.verdict == "held"
    return 0 if all_held else 1


if __name__ == "__main__":
    sys.exit(main())

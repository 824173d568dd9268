"""Run benchmarks one after the other, each in its own process."""

import argparse
import pathlib
import subprocess
import sys
import time

HERE = pathlib.Path(__file__).parent
# Only modules with this text can be run; the others hold shared code.
MAIN = '__name__ == "__main__"'


def main() -> int:
    """Run the chosen benchmarks and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="benchmarks to run; default: all")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    failed = [name for name in options.names or _names() if _run(name, options.seed)]
    if failed:
        print(f"failed: {', '.join(failed)}")
    return 1 if failed else 0


def _names() -> list[str]:
    paths = sorted(HERE.glob("[a-z]*.py"))
    return [path.stem for path in paths if MAIN in path.read_text()]


def _run(name: str, seed: int) -> int:
    print(f"\n## bench.{name} --seed {seed}\n", flush=True)
    started = time.monotonic()
    command = [sys.executable, "-m", f"bench.{name}", "--seed", str(seed)]
    status = subprocess.run(command, check=False).returncode
    print(f"\n{time.monotonic() - started:.0f} s, exit status {status}", flush=True)
    return status


if __name__ == "__main__":
    sys.exit(main())

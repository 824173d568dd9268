"""Run the tests and print ``N passed, N failed`` as the last line.

Each module runs in its own process; those in ``ALONE`` run one at a time after the
others. Tests that ``KNOWN-RED.txt`` lists also run; their failures are printed but do
not fail the run.
"""

import argparse
import concurrent.futures
import contextlib
import io
import pathlib
import re
import time
import unittest

import attrs

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEFAULT_JOBS = 4
# Modules whose processes hold the memory of a crowd of clients.
ALONE = ("tests.platform.test_greedy_clients", "tests.test_greedy_callers")
TEST_NAME = re.compile(r"\btests(?:\.\w+)+\.test_\w+")


@attrs.frozen
class ModuleResult:
    """Result of one module; failures are pairs of test id and traceback."""

    module: str
    ran: int
    failures: tuple[tuple[str, str], ...]
    seconds: float


def run_module(module: str, only: tuple[str, ...] = ()) -> ModuleResult:
    """Run one test module and return its result.

    :param module: dotted name of the module.
    :param only: ids of the tests to run; all of the module when empty.
    """
    started = time.monotonic()
    stream = io.StringIO()
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    if only:
        suite = unittest.TestSuite(t for t in _flatten(suite) if t.id() in only)
    with contextlib.redirect_stdout(stream):
        result = unittest.TextTestRunner(stream=stream, verbosity=0).run(suite)
    failures = tuple(
        (case.id(), text) for case, text in result.failures + result.errors
    )
    seconds = time.monotonic() - started
    return ModuleResult(module, result.testsRun, failures, seconds)


def _flatten(suite):
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from _flatten(test)
        else:
            yield test


def _select_modules(patterns: list[str]) -> list[str]:
    paths = sorted((ROOT / "tests").rglob("test_*.py"))
    names = [".".join(p.relative_to(ROOT).with_suffix("").parts) for p in paths]
    if not patterns:
        return names
    return [n for n in names if any(pattern in n for pattern in patterns)]


def known_red_ids() -> set[str]:
    """Return the ids of the tests that ``KNOWN-RED.txt`` lists."""
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    return set(TEST_NAME.findall(path.read_text()))


def promise_test_ids() -> tuple[str, ...]:
    """Return the ids of the tests that ``docs/promises.md`` names."""
    path = ROOT / "docs" / "promises.md"
    return tuple(TEST_NAME.findall(path.read_text()))


def main() -> int:
    """Run the selected modules and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("patterns", nargs="*")
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("--promises", action="store_true")
    options = parser.parse_args()
    only = promise_test_ids() if options.promises else ()
    modules = _select_modules(options.patterns)
    if only:
        modules = [m for m in modules if any(t.startswith(m + ".") for t in only)]
    together = [module for module in modules if module not in ALONE]
    alone = [module for module in modules if module in ALONE]
    results = _run_modules(together, options.jobs, only)
    results += _run_modules(alone, 1, only)
    return _print_report(results)


def _run_modules(
    modules: list[str], jobs: int, only: tuple[str, ...]
) -> list[ModuleResult]:
    with concurrent.futures.ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        futures = [pool.submit(run_module, module, only) for module in modules]
        return [future.result() for future in futures]


def _print_report(results: list[ModuleResult]) -> int:
    known_ids = known_red_ids()
    ran = sum(result.ran for result in results)
    failures = [failure for result in results for failure in result.failures]
    for result in results:
        print(f"{result.module}: {result.ran} tests, {result.seconds:.1f} s")
    for test_id, text in failures:
        label = "KNOWN RED" if test_id in known_ids else "FAILED"
        print(f"\n{label} {test_id}\n{text}")
    unexpected = [test_id for test_id, _ in failures if test_id not in known_ids]
    if len(unexpected) < len(failures):
        print(f"{len(failures) - len(unexpected)} known red, listed in KNOWN-RED.txt")
    print(f"{ran - len(failures)} passed, {len(unexpected)} failed")
    return 1 if unexpected or not ran else 0

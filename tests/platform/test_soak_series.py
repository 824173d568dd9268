"""Runs of the soak test in which planned work comes in series, and injected faults."""

from tests.platform.test_soak import MUTANTS, SEED, run_soak
from tests.support import collect


def test_planned_work_in_series_costs_no_request_on_kept_connections():
    # The last run has as many nodes as poll watchers of the store.
    for seed, node_count in ((SEED, 3), (SEED + 1, 3), (SEED + 2, 5), (SEED, 20)):
        checker = run_soak(10.0, seed=seed, node_count=node_count, series_first=True)
        assert not checker.violations, (seed, node_count, checker.violations)
        assert checker.outcomes["200"] > 100, checker.outcomes


def test_requests_that_planned_work_costs_are_detected():
    for mutant, word in (
        ("stops_at_once.py", "LOST"),
        ("keeps_header_limits.py", "DENIED"),
        ("keeps_dropped_routes.py", "CONFIG"),
    ):
        # Some runs leave too few connections open for long enough.
        runs = (
            run_soak(
                10.0,
                str(MUTANTS / mutant),
                SEED + number,
                fault_rate=0.0,
                series_first=True,
            )
            for number in range(4)
        )
        found = (line for checker in runs for line in checker.violations)
        assert any(line.startswith(word) for line in found), mutant


def load_tests(loader, tests, pattern):
    return collect(globals())

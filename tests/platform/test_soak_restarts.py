"""Runs of the soak test in which nodes are restarted and replaced, and mutants."""

import pathlib

from tests.platform.test_soak import MUTANTS, SEED, run_soak
from tests.support import collect

LOSSY_NODE = str(pathlib.Path(__file__).parent / "lossy_node.py")


def test_no_revoked_key_runs_at_nodes_that_restart_while_the_store_returns():
    for seed, node_count in ((SEED, 3), (SEED + 1, 1), (SEED + 2, 18)):
        checker = run_soak(12.0, seed=seed, node_count=node_count, drills_first=True)
        assert not checker.violations, (seed, node_count, checker.violations)


def test_a_revoked_key_that_runs_at_nodes_that_restart_is_detected():
    program = str(MUTANTS / "confirms_young_eras.py")
    checker = run_soak(16.0, program, fault_rate=0.0, drills_first=True)
    assert any(line.startswith("CONFIG") for line in checker.violations), (
        checker.violations[:3]
    )


def test_a_request_that_crashes_engines_is_known_to_nodes_that_restart():
    for seed, program in ((SEED, None), (SEED + 1, LOSSY_NODE)):
        checker = run_soak(
            16.0, program, seed, fault_rate=0.0, node_count=4, poison_first=True
        )
        assert checker.poison.crashes_s, seed
        assert not checker.violations, (seed, program, checker.violations)


def test_a_request_that_crashes_engines_at_nodes_that_restart_is_detected():
    program = str(MUTANTS / "tells_quarantine_once.py")
    # Some runs restart too few nodes early enough.
    runs = (
        run_soak(
            24.0,
            program,
            SEED + number,
            fault_rate=0.0,
            node_count=4,
            poison_first=True,
        )
        for number in range(3)
    )
    found = [line for checker in runs for line in checker.violations]
    assert any(line.startswith("BUDGET") for line in found), found[:3]


def load_tests(loader, tests, pattern):
    return collect(globals())

"""Short runs of the soak test, and injected faults that it must detect."""

import asyncio
import pathlib
import tempfile

from tests.platform.soak import soak
from tests.support import collect

SEED = 4
SECONDS = 5.0
# Seeds that have failed before, with the cause.
FAILED_SEEDS = {
    19: "a fault that began as the run ended was in force while recovery was checked",
    125: "SIGHUP ended a node's process that had just been started",
    126: "an outgoing connection took a node's port while the node was down",
    128: "the same as 125",
    143: "the same as 125",
    423: "an engine that announced leaving was registered as another incarnation",
    530: "an engine that asked to be held off was registered as another incarnation",
    688: "a hold-off was forgotten with a restart that was learnt late",
    4: "a SIGHUP in the first 60 ms ended a process, which nothing started again",
}
MUTANTS = pathlib.Path(__file__).parent / "mutants"


def run_soak(seconds=SECONDS, program=None, seed=SEED, fault_rate=0.15, **faults):
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        # With a mutant, engines inject faults into their responses all the time, so
        # that the mutant's own fault shows.
        options = (
            {}
            if program is None
            else {"program": program, "base_fault_rate": fault_rate}
        )
        run = asyncio.run(
            soak(
                seed,
                seconds,
                pathlib.Path(folder),
                **options,
                **faults,
            )
        )
        return run.checker


def test_a_short_run_of_real_processes_keeps_every_promise():
    checker = run_soak()
    assert not checker.violations, checker.violations
    assert checker.outcomes["200"] > 20, checker.outcomes


def test_seeds_that_failed_once_keep_every_promise():
    for seed in FAILED_SEEDS:
        violations = run_soak(seed=seed).violations
        assert not violations, (seed, violations)


def test_a_request_that_runs_twice_is_detected():
    # Only an unsafe request whose response was lost shows the mutant, and other faults
    # leave some runs without one.
    program = str(MUTANTS / "repeats_everything.py")
    checker = run_soak(program=program, only_faulty_responses=True)
    assert any(line.startswith("TWICE") for line in checker.violations), (
        checker.violations[:3]
    )


def test_a_refusal_of_a_request_that_ran_is_detected():
    checker = run_soak(program=str(MUTANTS / "refuses_what_ran.py"), fault_rate=0.4)
    assert any(line.startswith("REFUSED") for line in checker.violations), (
        checker.violations[:3]
    )


def test_a_refusal_that_no_engine_has_stated_is_detected():
    program = str(MUTANTS / "passes_on_refusals.py")
    checker = run_soak(
        program=program,
        fault_rate=0.0,
        false_answer_rate=0.2,
        only_faulty_responses=True,
    )
    assert any(line.startswith("REFUSED") for line in checker.violations), (
        checker.violations[:3]
    )


def test_answers_that_say_something_false_break_no_promise():
    checker = run_soak(false_answer_rate=0.2, only_faulty_responses=True)
    assert not checker.violations, checker.violations
    assert checker.outcomes["502"] > 0, checker.outcomes


def test_a_gap_in_a_resumed_stream_is_detected():
    checker = run_soak(program=str(MUTANTS / "skips_events.py"), fault_rate=0.4)
    assert any(line.startswith(("ORDER", "MIXED")) for line in checker.violations), (
        checker.violations[:3]
    )


def test_a_broken_off_stream_that_is_complete_is_detected():
    # Only a stream that has neither a length nor chunks and is broken off shows the
    # mutant; at the usual rate some runs have none.
    program = str(MUTANTS / "completes_broken_streams.py")
    checker = run_soak(program=program, fault_rate=0.4)
    assert any(line.startswith("ORDER") for line in checker.violations), (
        checker.violations[:3]
    )


def test_requests_to_an_engine_that_announced_leaving_are_detected():
    checker = run_soak(
        program=str(MUTANTS / "ignores_leaving.py"), announces_first=True
    )
    assert any(line.startswith("DRAIN") for line in checker.violations), (
        checker.violations[:3]
    )


def test_requests_to_an_engine_that_is_to_be_held_off_are_detected():
    program = str(MUTANTS / "ignores_hold_offs.py")
    checker = run_soak(program=program, holds_off_first=True)
    assert any(line.startswith("BUDGET") for line in checker.violations), (
        checker.violations[:3]
    )


def test_requests_with_a_section_that_crashes_engines_are_detected():
    program = str(MUTANTS / "ignores_section_quarantine.py")
    checker = run_soak(seconds=12.0, program=program, crashes_first=True)
    assert any(line.startswith("BUDGET") for line in checker.violations), (
        checker.violations[:3]
    )


def test_a_section_that_crashes_engines_is_quarantined():
    checker = run_soak(seconds=8.0, crashes_first=True)
    assert checker.sections.crashes_s and not checker.violations, checker.violations


def test_requests_beyond_the_limit_that_an_engine_names_are_detected():
    for mutant in ("ignores_rate_limits.py", "keeps_limits_alone.py"):
        checker = run_soak(
            seconds=8.0, program=str(MUTANTS / mutant), limits_first=True
        )
        assert any(line.startswith("LIMIT") for line in checker.violations), (
            mutant,
            checker.violations[:3],
        )


def test_the_limit_that_an_engine_names_is_kept():
    checker = run_soak(seconds=8.0, limits_first=True)
    assert checker.limits.told_s and not checker.violations, checker.violations


def test_entries_that_change_while_the_store_returns_from_copies_are_known():
    checker = run_soak(seconds=12.0, eras_first=True)
    assert checker.drained and not checker.violations, checker.violations


def test_what_is_written_below_a_known_revision_and_not_read_is_detected():
    for mutant, word in (
        ("ignores_eras.py", "CONFIG"),
        ("trusts_revisions.py", "DRAIN"),
    ):
        checker = run_soak(
            seconds=12.0, program=str(MUTANTS / mutant), fault_rate=0.0, eras_first=True
        )
        assert any(line.startswith(word) for line in checker.violations), (
            mutant,
            checker.violations[:3],
        )


def test_engines_that_leave_get_no_request_while_calls_of_one_node_fail():
    checker = run_soak(seconds=18.0, removes_first=True)
    assert checker.leaving.checked and not checker.violations, checker.violations


def test_requests_to_an_engine_whose_entry_says_that_it_leaves_are_detected():
    for mutant in ("asks_no_peer.py", "ignores_hints.py"):
        checker = run_soak(
            seconds=8.0,
            program=str(MUTANTS / mutant),
            fault_rate=0.0,
            removes_first=True,
        )
        assert any(line.startswith("DRAIN") for line in checker.violations), (
            mutant,
            checker.violations[:3],
        )


def test_nodes_that_are_cut_off_from_all_engines_serve_first_tries():
    checker = run_soak(seconds=16.0, cuts_first=True)
    assert not checker.violations, checker.violations


def test_a_node_that_refuses_what_its_peers_could_serve_is_detected():
    program = str(MUTANTS / "forwards_nothing.py")
    checker = run_soak(seconds=8.0, program=program, fault_rate=0.0, cuts_first=True)
    assert any(line.startswith("RECOVER") for line in checker.violations), (
        checker.violations[:3]
    )


def test_requests_with_ranks_that_wait_go_in_order_and_are_not_lost():
    checker = run_soak(seconds=8.0, ranks_first=True)
    assert checker.ranks.waited > 20, checker.ranks.waited
    assert not checker.violations, checker.violations


def test_what_waits_out_of_order_or_is_lost_or_has_no_rank_is_detected():
    for mutant, word, seconds in (
        ("ignores_ranks.py", "PASSED", 6.0),
        ("loses_its_turn.py", "LOST", 6.0),
        ("tells_no_rank.py", "TOLD", 2.0),
    ):
        checker = run_soak(
            seconds=seconds,
            program=str(MUTANTS / mutant),
            fault_rate=0.0,
            ranks_first=True,
        )
        assert any(line.startswith(word) for line in checker.violations), (
            mutant,
            checker.violations[:3],
        )


def load_tests(loader, tests, pattern):
    return collect(globals())

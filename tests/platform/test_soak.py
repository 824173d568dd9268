"""A short seeded run of the soak, and faults put in on purpose that it must find."""

import asyncio
import pathlib
import tempfile

from tests.platform.soak import soak
from tests.support import collect

SEED = 4
SECONDS = 5.0
# Seeds that failed once, with the cause; each is played again.
FAILED_SEEDS = {
    19: "a fault that began as the run ended went on while recovery was looked at",
    125: "SIGHUP reached a node whose process had just been started",
    126: "an outgoing connection had taken a port while its node was down",
    128: "the same as 125",
    143: "the same as 125",
}
MUTANTS = pathlib.Path(__file__).parent / "mutants"


def _play(seconds=SECONDS, program=None, seed=SEED):
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        # A changed node meets spoilt answers all the time, so that its fault shows.
        options = {} if program is None else {"program": program, "always": 0.15}
        run = asyncio.run(soak(seed, seconds, pathlib.Path(folder), **options))
        return run.book


def test_a_short_run_of_real_processes_keeps_every_promise():
    book = _play()
    assert book.broken == []
    assert book.ended["200"] > 20


def test_seeds_that_failed_once_keep_every_promise():
    for seed in FAILED_SEEDS:
        assert _play(seed=seed).broken == [], seed


def test_a_second_run_of_what_may_run_once_is_found():
    book = _play(program=str(MUTANTS / "repeats_everything.py"))
    assert any(line.startswith("TWICE") for line in book.broken), book.broken[:3]


def test_a_refusal_of_what_has_run_is_found():
    book = _play(program=str(MUTANTS / "refuses_what_ran.py"))
    assert any(line.startswith("REFUSED") for line in book.broken), book.broken[:3]


def test_a_stream_joined_with_a_gap_is_found():
    book = _play(program=str(MUTANTS / "skips_events.py"))
    assert any(line.startswith(("ORDER", "MIXED")) for line in book.broken)


def load_tests(loader, tests, pattern):
    return collect(globals())

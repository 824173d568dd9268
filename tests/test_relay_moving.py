"""Answers beside the parts of very long prompts, replayed on the pass model."""

from tanagerkeel.relay import (
    BackendServer,
    Candidate,
    Demand,
    Work,
    estimate,
    pause_ahead_ms,
    worth_moving,
)
from tests.support import collect
from tests.test_pass_model import PROFILE

CHAT = Demand(5_000, 1_376, 300.0, 250.0)
PETITION = Demand(45_000, 817, 1_500.0, 600.0)
DOSSIER_TOKENS = 190_000
# The longest prompts of the deployments are read by up to ten engines.
GIANT_TOKENS = 600_000
READERS = 10


def _writing(tokens=5_000, gap_ms=250.0):
    return Work("e0", tokens, 1_376, gap_ms, -1.0, -0.9, 1.0, started=True)


def _part(now=0.0):
    return Work(
        "e0",
        GIANT_TOKENS // READERS,
        0,
        0.0,
        now,
        now + 2.8,
        now + 2.8,
        whole_tokens=GIANT_TOKENS,
    )


def _elsewhere(demand, works=()):
    server = BackendServer("e1", 1, "models", "10.0.0.1:80", "zone-a", 8)
    return estimate(Candidate(server, PROFILE, works), demand, 0.0)


def test_a_part_of_a_giant_prompt_pauses_all_answers_beside_it():
    assert pause_ahead_ms(PROFILE, [_writing()], 0.0) < 100
    # Longer than callers wait for an event.
    assert pause_ahead_ms(PROFILE, [_writing(), _part()], 0.0) > 2_000


def test_a_chat_goes_on_elsewhere_before_its_caller_notices():
    pause_ms = pause_ahead_ms(PROFILE, [_writing(), _part()], 0.0)
    elsewhere = _elsewhere(CHAT, [_writing()])
    assert worth_moving(pause_ms, CHAT.gap_objective_ms, 60.0, elsewhere)


def test_a_pause_that_is_in_time_moves_nothing():
    pause_ms = pause_ahead_ms(PROFILE, [_writing(), _writing()], 0.0)
    assert not worth_moving(pause_ms, 250.0, 60.0, _elsewhere(CHAT))


def test_what_takes_too_long_to_read_again_stays():
    pause_ms = pause_ahead_ms(PROFILE, [_writing(), _part()], 0.0)
    dossier = Demand(DOSSIER_TOKENS, 688, 3_000.0, 1_000.0)
    assert not worth_moving(pause_ms, 1_000.0, 60.0, _elsewhere(dossier))
    # A petition is read again within its longest pause, but not behind another one.
    assert worth_moving(pause_ms, 600.0, 60.0, _elsewhere(PETITION))
    behind = [Work("e1", 45_000, 817, 600.0, 0.0, 0.4, 1.4)]
    assert not worth_moving(pause_ms, 600.0, 60.0, _elsewhere(PETITION, behind))


def test_a_slow_engine_pauses_for_longer():
    works = [_writing(), _part()]
    normal = pause_ahead_ms(PROFILE, works, 0.0)
    assert pause_ahead_ms(PROFILE, works, 0.0, pace=2.0) == 2 * normal


def load_tests(loader, tests, pattern):
    return collect(globals())

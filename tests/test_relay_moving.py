"""Migration of answers from engines that prefill parts of very long prompts."""

from tanagerkeel.relay import (
    Assignment,
    BackendServer,
    Candidate,
    Demand,
    estimate,
    expected_pause_ms,
    should_migrate,
)
from tests.support import collect
from tests.test_pass_model import PROFILE

SHORT_PROMPT = Demand(5_000, 1_376, 300.0, 250.0)
MEDIUM_PROMPT = Demand(45_000, 817, 1_500.0, 600.0)
SLOW_PREFILL_TOKENS = 190_000
# The longest prompts of the deployments are prefilled by up to ten engines.
VERY_LONG_PROMPT_TOKENS = 600_000
PREFILL_ENGINES = 10


def _decoding(tokens=5_000, gap_ms=250.0):
    return Assignment(
        "e0", tokens, 1_376, gap_ms, -1.0, -0.9, 1.0, first_event_seen=True
    )


def _prefill_part(now=0.0):
    return Assignment(
        "e0",
        VERY_LONG_PROMPT_TOKENS // PREFILL_ENGINES,
        0,
        0.0,
        now,
        now + 2.8,
        now + 2.8,
        full_prompt_tokens=VERY_LONG_PROMPT_TOKENS,
    )


def _estimate_elsewhere(demand, assignments=()):
    server = BackendServer("e1", 1, "models", "10.0.0.1:80", "zone-a", 8)
    return estimate(Candidate(server, PROFILE, assignments), demand, 0.0)


def test_a_part_of_a_very_long_prompt_pauses_all_answers_on_its_engine():
    assert expected_pause_ms(PROFILE, [_decoding()], 0.0) < 100
    # Longer than callers wait for an event.
    assert expected_pause_ms(PROFILE, [_decoding(), _prefill_part()], 0.0) > 2_000


def test_the_answer_to_a_short_prompt_is_migrated_within_its_gap_objective():
    pause_ms = expected_pause_ms(PROFILE, [_decoding(), _prefill_part()], 0.0)
    elsewhere = _estimate_elsewhere(SHORT_PROMPT, [_decoding()])
    assert should_migrate(pause_ms, SHORT_PROMPT.gap_objective_ms, 60.0, elsewhere)


def test_a_pause_within_the_gap_objective_migrates_nothing():
    pause_ms = expected_pause_ms(PROFILE, [_decoding(), _decoding()], 0.0)
    assert not should_migrate(pause_ms, 250.0, 60.0, _estimate_elsewhere(SHORT_PROMPT))


def test_an_answer_stays_if_its_prompt_takes_too_long_to_prefill_again():
    pause_ms = expected_pause_ms(PROFILE, [_decoding(), _prefill_part()], 0.0)
    slow_prompt = Demand(SLOW_PREFILL_TOKENS, 688, 3_000.0, 1_000.0)
    assert not should_migrate(pause_ms, 1_000.0, 60.0, _estimate_elsewhere(slow_prompt))
    # A medium prompt is prefilled again within its gap objective, but not if another
    # one is prefilled there first.
    assert should_migrate(pause_ms, 600.0, 60.0, _estimate_elsewhere(MEDIUM_PROMPT))
    behind = [Assignment("e1", 45_000, 817, 600.0, 0.0, 0.4, 1.4)]
    assert not should_migrate(
        pause_ms, 600.0, 60.0, _estimate_elsewhere(MEDIUM_PROMPT, behind)
    )


def test_expected_pauses_grow_with_the_latency_of_the_engine():
    assignments = [_decoding(), _prefill_part()]
    normal = expected_pause_ms(PROFILE, assignments, 0.0)
    assert expected_pause_ms(PROFILE, assignments, 0.0, latency_ratio=2.0) == 2 * normal


def load_tests(loader, tests, pattern):
    return collect(globals())

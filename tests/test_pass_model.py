"""The pass model of an engine, against the figures of the deployments."""

from tanagerkeel.relay import (
    DecodeBatch,
    EngineProfile,
    Prefill,
    decode_ms,
    longest_pass_ms,
    prefill_ms,
)
from tests.support import collect

# The engine of the deployments' configuration.
PROFILE = EngineProfile(
    slots=8,
    memory_tokens=232_000,
    steps_per_pass=43,
    step_ms=1.02,
    step_ms_per_sequence=0.00452,
    step_ms_per_k_context=0.00431,
    prefill_tokens_per_ms=206.0,
    ms_per_million_pairs=0.138,
    chunk_tokens=2_048,
    hop_ms=0.075,
)


def test_prefill_takes_as_long_as_in_the_deployments():
    assert 25 < prefill_ms(PROFILE, 5_000) < 30
    assert 340 < prefill_ms(PROFILE, 45_000) < 400
    assert 1_800 < prefill_ms(PROFILE, 133_000) < 2_000
    assert 27_000 < prefill_ms(PROFILE, 600_000) < 29_000


def test_equal_parts_share_the_pairs_of_the_full_prompt():
    whole = prefill_ms(PROFILE, 133_000)
    halves = prefill_ms(PROFILE, 133_000, parts=2)
    assert abs(halves - whole / 2) < 2
    assert prefill_ms(PROFILE, 0) == 0


def test_a_pass_takes_all_its_steps_and_longer_with_a_prefill():
    batch = DecodeBatch(4, 20_000)
    without_ms = longest_pass_ms(PROFILE, batch)
    assert 43 * 1.02 < without_ms < 60
    short_ms = longest_pass_ms(PROFILE, batch, [Prefill(5_000, 5_000)])
    assert without_ms + 20 < short_ms < 100
    # Over the gap objective of 250 ms for short prompts; limited by the chunks that
    # fit into one pass.
    long_ms = longest_pass_ms(PROFILE, batch, [Prefill(133_000, 133_000)])
    assert 1_000 < long_ms < 1_800
    # The last tokens of a prompt form pairs with all before them.
    assert longest_pass_ms(PROFILE, batch, [Prefill(600_000, 600_000)]) > 3 * long_ms
    rest = [Prefill(10_000, 133_000)]
    assert longest_pass_ms(PROFILE, batch, rest) < long_ms / 3


def test_a_pass_without_decoding_is_one_step():
    # The last chunk of 2,048 tokens: 10 ms, and 37 ms for the pairs with all before.
    assert (
        45 < longest_pass_ms(PROFILE, DecodeBatch(), [Prefill(133_000, 133_000)]) < 50
    )


def test_a_prompt_on_several_engines_adds_a_hop_to_each_step():
    one = decode_ms(PROFILE, 100, DecodeBatch(1, 50_000))
    several = decode_ms(PROFILE, 100, DecodeBatch(1, 50_000), parts=3)
    assert abs(several - one - 7.5) < 1e-6


def load_tests(loader, tests, pattern):
    return collect(globals())

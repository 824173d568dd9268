"""
Whether an answer that is being decoded should be migrated to another engine.

It is decided from the expected pause on its engine, the objective for pauses, and the
estimate for the other engine.

Load pattern: a prompt of several hundred thousand tokens is prefilled in parts by up to
ten engines. Each engine prefills its part in one pass, so that every answer on it
pauses for seconds. Another engine prefills a short prompt again within some tens of
milliseconds, and continues its answer without a pause that the caller would notice.
"""

from collections.abc import Sequence

from tanagerkeel.relay._assignments import Assignment
from tanagerkeel.relay._configuration import EngineProfile
from tanagerkeel.relay._estimate import Estimate, decode_batch_of, prefills_of
from tanagerkeel.relay._pass_model import longest_pass_ms

__all__ = ["expected_pause_ms", "should_migrate"]

# Minimum ratio of the expected pause to the objective that justifies a second prefill
# of the prompt; smaller ones are within the error of the estimates.
MIN_PAUSE_RATIO = 1.5
# Share of the objective within which the other engine has to continue the answer.
RESUME_SHARE = 0.9


def expected_pause_ms(
    profile: EngineProfile,
    assignments: Sequence[Assignment],
    now: float,
    latency_ratio: float = 1.0,
) -> float:
    """
    Return the longest pause expected for answers on an engine, in milliseconds.

    :param profile: the engine.
    :param assignments: all that is assigned to it.
    :param now: monotonic time, in seconds.
    :param latency_ratio: measured over expected time of the engine; 1 is as expected.
    """
    return latency_ratio * longest_pass_ms(
        profile, decode_batch_of(assignments), prefills_of(assignments, now)
    )


def should_migrate(
    pause_ms: float, gap_objective_ms: float, since_ms: float, elsewhere: Estimate
) -> bool:
    """
    Return whether an answer should be migrated to another engine.

    :param pause_ms: longest pause expected on its engine, in milliseconds.
    :param gap_objective_ms: objective for the longest pause between its events, in
        milliseconds.
    :param since_ms: time since its last event, in milliseconds.
    :param elsewhere: what is expected on the other engine.
    """
    if pause_ms < MIN_PAUSE_RATIO * gap_objective_ms:
        return False
    return since_ms + elsewhere.first_ms < RESUME_SHARE * gap_objective_ms

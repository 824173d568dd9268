"""
Whether an answer that is being written should go on at another engine.

Load pattern: a prompt of several hundred thousand tokens is read in parts by up to ten
engines, and a part fits into one pass, so that every answer written there pauses for
seconds. A short prompt is read anew within some tens of milliseconds elsewhere, so that
its answer goes on without a pause that its caller would notice.
"""

from collections.abc import Sequence

from tanagerkeel.relay._configuration import EngineProfile
from tanagerkeel.relay._estimate import Estimate, reading_at, writing_at
from tanagerkeel.relay._ledger import Work
from tanagerkeel.relay._pass_model import pass_ms

__all__ = ["pause_ahead_ms", "worth_moving"]

# A pause that is expected to be so many times as long as the objective is worth a
# second reading of the prompt; shorter ones are within the error of the estimates.
MOVE_FROM = 1.5
# Share of the objective within which the answer is to go on at the other engine.
MOVE_WITHIN = 0.9


def pause_ahead_ms(
    profile: EngineProfile, works: Sequence[Work], now: float, pace: float = 1.0
) -> float:
    """
    Return the longest pause that answers on an engine are about to have.

    :param profile: the engine.
    :param works: all that runs there.
    :param now: monotonic time, in seconds.
    :param pace: how much slower the engine is than expected.
    """
    return pace * pass_ms(profile, writing_at(works), reading_at(works, now))


def worth_moving(
    pause_ms: float, gap_objective_ms: float, since_ms: float, elsewhere: Estimate
) -> bool:
    """
    Return whether an answer should go on at another engine.

    :param pause_ms: longest pause that is ahead of it where it is.
    :param gap_objective_ms: longest pause between its events that is in time.
    :param since_ms: time since its last event.
    :param elsewhere: what is expected at the other engine.
    """
    if pause_ms < MOVE_FROM * gap_objective_ms:
        return False
    return since_ms + elsewhere.first_ms < MOVE_WITHIN * gap_objective_ms

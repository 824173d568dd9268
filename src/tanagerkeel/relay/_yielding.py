"""
Which short requests wait at their node although an engine would queue them.

Load pattern: a failure domain is lost in a burst of short prompts, and all slots of the
engines that are left are taken. An engine serves its queue in the order of arrival, so
that once what it holds is late, each request that comes is late as well. What would be
late anyway waits at its node instead, and slots that get free go to those that can
still be in time.
"""

from tanagerkeel.relay._estimate import Demand
from tanagerkeel.relay._placement import LONG_TOKENS, Placement

__all__ = ["yields"]

# A late request takes a slot when so many others are left on its engine.
SPARE_SLOTS = 2
# A late request no longer waits when its caller leaves within this time after the
# expected first event, in milliseconds: estimates under load are off by some hundreds.
LAST_CALL_MS = 400.0


def yields(placement: Placement, demand: Demand, late: bool) -> bool:
    """
    Return whether a request that has not begun should wait for a better place.

    :param placement: the best place now.
    :param demand: the request.
    :param late: whether its objective has passed.
    """
    profile = placement.candidate.profile
    if profile is None or demand.prompt_tokens >= LONG_TOKENS:
        return False
    first_ms = placement.estimate.first_ms
    if first_ms + LAST_CALL_MS >= demand.patience_ms:
        return False
    if not late:
        return first_ms > demand.objective_ms
    left = profile.slots - len(placement.candidate.works) - 1
    return left < SPARE_SLOTS

"""
Which short requests wait at their node although an engine would queue them.

It is decided from the best placement, the latency objective, and the time that the
caller still waits.

Load pattern: a failure domain is lost during a burst of short prompts, and all slots of
the remaining engines are taken. An engine serves its queue in order of arrival, so that
once its queued requests are late, each request that follows is late as well. Requests
that would be late anyway therefore wait at their node, and free slots go to those that
can still meet their objective.
"""

from tanagerkeel.relay._estimate import LONG_PROMPT_TOKENS, Demand
from tanagerkeel.relay._placement import RelayPlacement

__all__ = ["should_defer"]

# A late request takes a slot only if this many others stay free on its engine.
SPARE_SLOTS = 2
# A request is no longer deferred if its caller stops waiting within this time after the
# expected first event, in milliseconds: estimates under load are off by some hundreds.
TIMEOUT_MARGIN_MS = 400.0


def should_defer(placement: RelayPlacement, demand: Demand, late: bool) -> bool:
    """
    Return whether a request that has not been sent should wait for a better placement.

    :param placement: the best placement now.
    :param demand: what the request needs.
    :param late: whether it has missed its latency objective already.
    """
    profile = placement.candidate.profile
    if profile is None or demand.prompt_tokens >= LONG_PROMPT_TOKENS:
        return False
    first_ms = placement.estimate.first_ms
    if first_ms + TIMEOUT_MARGIN_MS >= demand.caller_timeout_ms:
        return False
    if not late:
        return first_ms > demand.objective_ms
    slots_left = profile.slots - len(placement.candidate.assignments) - 1
    return slots_left < SPARE_SLOTS

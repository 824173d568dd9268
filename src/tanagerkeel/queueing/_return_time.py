"""
When a caller that is refused should come back.

Load pattern: a burst of which many are refused at one moment. If all were told the same
time they would come back as the same burst, so their returns are spread over the time
in which that many can be served.
"""

import random

from tanagerkeel.queueing._feasibility import expected_wait_s
from tanagerkeel.queueing._waiting_request import WaitingRequest

__all__ = ["HONOURED_SHARE", "RETURN_SHARE", "bounded_s", "retry_after_s"]

# A caller honours at most this share of the time it has left.
HONOURED_SHARE = 1 / 3
# Share of the work per second that is left to callers who return; the rest is for new
# requests.
RETURN_SHARE = 0.5
# A refused caller that returned sooner would cost a request and find the same queue.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 60.0
# Time over which returns are spread while the rate is unknown.
UNKNOWN_SPREAD_S = 1.0


def bounded_s(wait_s: float, shortest_s: float, longest_s: float) -> float:
    """Return a time within bounds; the longest wins where they cross."""
    return min(longest_s, max(shortest_s, wait_s))


def retry_after_s(
    request: WaitingRequest,
    ahead_ms: float,
    refused_ms: float,
    work_ms_per_s: float,
    now: float,
    rng: random.Random,
    is_kept: bool = False,
) -> float | None:
    """
    Return the time after which a refused caller should return, in seconds.

    It is at most ``HONOURED_SHARE`` of the time that the caller has left.

    :param request: what is refused.
    :param ahead_ms: work that would be served before it if it joined the queue again
        now, in engine milliseconds.
    :param refused_ms: work of all requests that are refused at this moment, itself
        among them.
    :param work_ms_per_s: rate of the queue, in engine milliseconds a second; 0 while it
        is unknown.
    :param now: monotonic time, in seconds.
    :param rng: source of randomness.
    :param is_kept: whether a place is kept for the caller.
    :returns: None when no retry helps: too little time is left, or the wait is longer
        than the caller has and no place is kept.
    """
    longest_s = min(MAX_RETRY_AFTER_S, HONOURED_SHARE * (request.give_up_s - now))
    if longest_s < MIN_RETRY_AFTER_S:
        return None
    wait_s = expected_wait_s(ahead_ms, work_ms_per_s)
    if not is_kept and now + wait_s > request.last_start_s:
        return None
    spread_s = _spread_s(refused_ms, work_ms_per_s)
    # The spread is kept where the wait exceeds what a caller honours: who returns
    # before its turn waits for the rest of the time.
    earliest_s = bounded_s(
        min(wait_s, longest_s - spread_s), MIN_RETRY_AFTER_S, longest_s
    )
    latest_s = min(longest_s, earliest_s + spread_s)
    return rng.uniform(earliest_s, latest_s)


def _spread_s(refused_ms: float, work_ms_per_s: float) -> float:
    if work_ms_per_s <= 0.0:
        return UNKNOWN_SPREAD_S
    return expected_wait_s(refused_ms, RETURN_SHARE * work_ms_per_s)

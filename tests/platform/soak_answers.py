"""Answers of the soak test's engines that say something false, or nothing."""

import random
from collections.abc import Mapping

from tests.platform import fixtures

__all__ = ["FALSE_ANSWERS", "write_false_answer"]

# Kinds of faults in which an engine has run the request.
FALSE_ANSWERS = ("unstated", "invalid_status")
# Statuses that promise "not run"; these answers don't state it.
UNSTATED_STATUSES = (408, 429, 503)
INVALID_STATUSES = ("000", "099", "101", "600", "999")


async def write_false_answer(
    request: fixtures.ReceivedRequest,
    writer,
    rng: random.Random,
    fault_rates: Mapping[str, float],
) -> bool:
    """
    Answer a request that has run with a false answer, or return False.

    :param fault_rates: share of answers with each fault. ``unstated`` refuses the
        request without the statement that it has not run, ``invalid_status`` has a
        status that HTTP doesn't define for a final answer.
    """
    if rng.random() < fault_rates["unstated"]:
        status = rng.choice(UNSTATED_STATUSES)
        await fixtures.write_response(writer, request, status, b"ran, and then failed")
        return True
    if rng.random() < fault_rates["invalid_status"]:
        status = rng.choice(INVALID_STATUSES)
        head = fixtures.response_head(request, 200, length=0)
        writer.write(head.replace(b" 200 ", f" {status} ".encode(), 1))
        await writer.drain()
        return True
    return False

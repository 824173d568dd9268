"""A node with an injected fault: some requests whose turn it is are lost."""

import itertools

from tanagerkeel.relay_entry._waiting_line import WaitingLine
from tests.platform.mutants.start import start

# One in so many looks for a place loses the request whose turn it is.
LOOKS = 10
_original_wake = WaitingLine._wake_in_order
_looks = itertools.count(1)


async def _wake_and_lose(line):
    first = next(line.queue.in_order(line._clock()), None)
    if next(_looks) % LOOKS == 0 and first is not None and len(line) > 1:
        line.queue.remove(first)
        del line._places[first]
    await _original_wake(line)


WaitingLine._wake_in_order = _wake_and_lose
start()

"""Processing of long texts without starving the event loop's other tasks."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

__all__ = ["run_cooperatively"]

# Longest text, in characters or bytes, that is processed without pausing first. Up to
# this size, one call blocks the event loop for a few milliseconds at most.
MAX_UNPAUSED_SIZE = 262_144
PAUSE_S = 0.005
T = TypeVar("T")


async def run_cooperatively(
    size: int, function: Callable[..., T], *arguments: object
) -> T:
    """
    Call a function that processes a text; pause first if the text is long.

    The pause lets other tasks run between two calls that block the event loop. The
    function runs in the event loop and not in a thread: the libraries hold the GIL,
    so a thread would block the loop too, and again each time it gets the GIL back.

    :param size: length of the text, in characters or bytes.
    :param function: called with the arguments.
    :param arguments: positional arguments of the function.
    :returns: what the function returns.
    """
    if size > MAX_UNPAUSED_SIZE:
        await asyncio.sleep(PAUSE_S)
    return function(*arguments)

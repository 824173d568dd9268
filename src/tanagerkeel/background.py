"""Clean-up that goes on after its request has been answered."""

import asyncio
from collections.abc import Coroutine

import attrs

from tanagerkeel.events import LogEvent, log

__all__ = ["Background"]


@attrs.define
class Background:
    """Owns short tasks that nobody waits for."""

    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def __len__(self) -> int:
        return len(self._tasks)

    def start(
        self, name: str, work: Coroutine[None, None, None], bound_s: float
    ) -> None:
        """
        Start clean-up that no cancelled request takes with it.

        :param name: what it does, for the log.
        :param work: the clean-up.
        :param bound_s: longest time that it may take, in seconds.
        """
        task = asyncio.create_task(_bounded(name, work, bound_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self) -> None:
        """Wait until nothing runs."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))


async def _bounded(
    name: str, work: Coroutine[None, None, None], bound_s: float
) -> None:
    try:
        async with asyncio.timeout(bound_s):
            await work
    except Exception as error:  # nobody waits for the result
        log(LogEvent.TASK_FAILED, task=name, error=repr(error))

"""Clean-up tasks that may outlast the request that started them."""

import asyncio
from collections.abc import Coroutine

import attrs

from tanagerkeel.events import LogEvent, log

__all__ = ["BackgroundTasks"]


@attrs.define
class BackgroundTasks:
    """Runs short tasks whose results are not awaited."""

    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    def __len__(self) -> int:
        return len(self._tasks)

    def start(
        self, name: str, work: Coroutine[None, None, None], timeout_s: float
    ) -> None:
        """
        Start a task that is not cancelled along with its request.

        :param name: description for the log.
        :param work: coroutine to run; its exceptions are logged.
        :param timeout_s: time after which the task is cancelled, in seconds.
        """
        task = asyncio.create_task(_run_with_timeout(name, work, timeout_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self) -> None:
        """Wait until all tasks have ended."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))


async def _run_with_timeout(
    name: str, work: Coroutine[None, None, None], timeout_s: float
) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await work
    except Exception as error:  # no caller awaits the task
        log(LogEvent.TASK_FAILED, task=name, error=repr(error))

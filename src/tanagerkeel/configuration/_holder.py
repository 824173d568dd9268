"""The configuration in force on one node."""

import asyncio

import attrs

from tanagerkeel.configuration._catalog import Catalog
from tanagerkeel.configuration._document import Configuration
from tanagerkeel.events import LogEvent, log

__all__ = ["ConfigurationHolder"]


@attrs.define
class ConfigurationHolder:
    """
    Holds the configuration with the highest revision that this node has seen.

    Older revisions are never adopted. Each adopted configuration is put on the
    queue of every subscriber.
    """

    _current: Catalog | None = None
    _subscribers: list["asyncio.Queue[Catalog]"] = attrs.field(factory=list)

    @property
    def current(self) -> Catalog | None:
        """The configuration in force, or None before the first one."""
        return self._current

    @property
    def revision(self) -> int:
        """The revision in force; 0 before the first one."""
        return self._current.revision if self._current is not None else 0

    def adopt(self, revision: int, configuration: Configuration) -> bool:
        """
        Put a configuration in force if its revision is higher than the current one.

        :returns: whether it was adopted.
        """
        if revision <= self.revision:
            return False
        self._current = Catalog(revision, configuration)
        log(LogEvent.CONFIGURATION_ADOPTED, revision=revision)
        for queue in self._subscribers:
            _put_latest(queue, self._current)
        return True

    def subscribe(self) -> "asyncio.Queue[Catalog]":
        """Return a queue that holds the newest configuration not yet taken."""
        queue: asyncio.Queue[Catalog] = asyncio.Queue(maxsize=1)
        if self._current is not None:
            queue.put_nowait(self._current)
        self._subscribers.append(queue)
        return queue


def _put_latest(queue: "asyncio.Queue[Catalog]", catalog: Catalog) -> None:
    # A slow subscriber needs only the newest configuration.
    if queue.full():
        queue.get_nowait()
    queue.put_nowait(catalog)

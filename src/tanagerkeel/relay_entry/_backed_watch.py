"""
A watch of the platform's store that a second call backs when its answer is overdue.

An open connection may fall silent for good while new ones work. Its call ends only at
its time-out, which has to leave time for a slow store. A second call also confirms the
configuration on request, which the watch does only when it ends.
"""

import asyncio
from collections.abc import Iterable

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.gateways.platform import Changes, PlatformUnavailable, WatchedStore
from tanagerkeel.relay_entry._confirmation import ConfirmationRequests

__all__ = ["BackedWatch", "TimedChanges"]

# How long after the end of its wait a watch is backed by a second call, in seconds.
# Longer than the answer of a store that is not slow takes.
OVERDUE_S = 0.3


@attrs.frozen
class TimedChanges:
    """
    Changes, and when the store had no others.

    :param changes: the changes.
    :param confirmed_s: boot-clock time up to which they are complete, in seconds.
    """

    changes: Changes
    confirmed_s: float


@attrs.define
class BackedWatch:
    """
    Watches the store; the first of the watch and its backing call to be answered wins.

    :param store: calls to the platform.
    :param clock: source of time.
    :param confirmations: requests for a confirmation.
    """

    _store: WatchedStore
    _clock: Clock
    _confirmations: ConfirmationRequests

    async def changes(self, prefix: str, after: int, wait_ms: int) -> TimedChanges:
        """
        Return the changes after a revision, once there are any or the wait has ended.

        :param prefix: prefix of the keys.
        :param after: return the changes after this revision.
        :param wait_ms: longest wait, in milliseconds.
        :raises HistoryLost: when the store no longer has the changes after ``after``.
        :raises PlatformUnavailable: when neither call is answered.
        """
        calls = [asyncio.ensure_future(self._call(prefix, after, wait_ms))]
        try:
            # A call that doesn't wait is answered at once or times out soon.
            if wait_ms and not await self._ends_in_time(calls[0], wait_ms):
                calls.append(asyncio.ensure_future(self._call(prefix, after, 0)))
            return await _first_answer(calls)
        finally:
            for call in calls:
                call.cancel()

    async def _ends_in_time(self, watch: asyncio.Future, wait_ms: int) -> bool:
        """Return whether no second call is needed until a watch ends."""
        wanted = asyncio.ensure_future(self._confirmations.wait_until_wanted())
        try:
            await asyncio.wait(
                (watch, wanted),
                timeout=wait_ms / 1_000 + OVERDUE_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            wanted.cancel()
        return watch.done() or self._store.watch_arriving

    async def _call(self, prefix: str, after: int, wait_ms: int) -> TimedChanges:
        sent_s = self._clock.boottime()
        if not wait_ms:
            self._confirmations.accept()
        changes = await self._store.changes(prefix, after, wait_ms)
        wait_s = wait_ms / 1_000
        if changes.events or self._clock.boottime() - sent_s < wait_s:
            return TimedChanges(changes, sent_s)
        # The store reported no change up to the end of the requested wait.
        return TimedChanges(changes, sent_s + wait_s)


async def _first_answer(calls: Iterable[asyncio.Future]) -> TimedChanges:
    """Return the first answer; raise as the last call did if none is answered."""
    pending = set(calls)
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        failed = {
            call for call in done if isinstance(call.exception(), PlatformUnavailable)
        }
        for call in done - failed or (failed if not pending else ()):
            return call.result()

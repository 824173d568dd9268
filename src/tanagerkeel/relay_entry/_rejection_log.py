"""Logs the entries of the platform's store that a node can't use."""

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.events import LogEvent, log

__all__ = ["RejectionLog"]

# Shortest time between two lines, in seconds. Another writer may write an entry that
# can't be read again and again.
INTERVAL_S = 1.0
# Longest key and reason in a line, in characters; a reason may quote the value.
MAX_TEXT = 200


@attrs.define
class RejectionLog:
    """
    Logs rejected entries, at most one line a second.

    :param clock: source of time.
    """

    _clock: Clock
    _next_s: float = float("-inf")
    _left_out: int = 0

    def record(self, key: str, revision: int, error: Exception) -> None:
        """
        Record that an entry was rejected.

        :param key: the entry's key.
        :param revision: the store's revision of the entry.
        :param error: what is wrong with it.
        """
        now = self._clock.monotonic()
        if now < self._next_s:
            self._left_out += 1
            return
        log(
            LogEvent.STORE_ENTRY_REJECTED,
            key=_printable(key),
            revision=revision,
            reason=_printable(f"{type(error).__name__}: {error}"),
            left_out=self._left_out,
        )
        self._next_s = now + INTERVAL_S
        self._left_out = 0


def _printable(text: str) -> str:
    # Lone surrogates, which JSON may hold, can't be written to the log.
    return text[:MAX_TEXT].encode("ascii", "backslashreplace").decode()

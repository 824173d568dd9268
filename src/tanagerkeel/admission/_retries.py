"""Retry budget over a sliding window."""

import collections

import attrs

__all__ = ["ModelRetryBudget"]

WINDOW_S = 60.0
# The window moves in steps of this size.
SLOT_S = 5.0
# Retries per first attempt.
RETRY_RATIO = 0.1
# Retries per window that are allowed whatever the number of first attempts.
MIN_RETRIES = 5


@attrs.define
class _Slot:
    started_s: float
    first_attempts: int = 0
    retries: int = 0


@attrs.define
class ModelRetryBudget:
    """
    Limits the retries of one model's requests, in a sliding window.

    The limit is a fraction of the first attempts.

    :param ratio: retries allowed per first attempt.
    :param min_retries: retries that are always allowed in a window.
    """

    _ratio: float = RETRY_RATIO
    _min_retries: int = MIN_RETRIES
    _slots: "collections.deque[_Slot]" = attrs.field(factory=collections.deque)
    # Monotonic time at which a retry was charged for each death of a backend server.
    _death_times_s: dict[str, float] = attrs.field(factory=dict)

    def record_first_attempt(self, now: float) -> None:
        """Record a request's first attempt, at monotonic time ``now``."""
        self._slot(now).first_attempts += 1

    def try_acquire(self, now: float, death_id: str | None = None) -> bool:
        """
        Spend one retry if the budget allows it; return whether it may be made.

        :param now: monotonic time, in seconds.
        :param death_id: identifies the death of a backend server, if the attempt is
            known to have failed because of one; name and incarnation of the server.
            All retries after the same death are charged as one: their number is
            limited to the requests that ran on that server, so they can't grow into
            a retry storm.
        """
        slot = self._slot(now)
        if death_id is not None and death_id in self._death_times_s:
            return True
        if self._retries() + 1 > max(
            self._min_retries, self._ratio * self._first_attempts()
        ):
            return False
        slot.retries += 1
        if death_id is not None:
            self._death_times_s[death_id] = now
        return True

    def retry_after_s(self, now: float) -> float:
        """Return the time until the oldest retry leaves the window, in seconds."""
        oldest = next((s for s in self._slots if s.retries), None)
        if oldest is None:
            return 0.0
        return max(0.0, oldest.started_s + SLOT_S + WINDOW_S - now)

    def _first_attempts(self) -> int:
        return sum(slot.first_attempts for slot in self._slots)

    def _retries(self) -> int:
        return sum(slot.retries for slot in self._slots)

    def _slot(self, now: float) -> _Slot:
        while self._slots and self._slots[0].started_s + SLOT_S + WINDOW_S <= now:
            self._slots.popleft()
        if self._death_times_s:
            oldest = now - WINDOW_S
            self._death_times_s = {
                d: s for d, s in self._death_times_s.items() if s > oldest
            }
        if not self._slots or self._slots[-1].started_s + SLOT_S <= now:
            self._slots.append(_Slot(now))
        return self._slots[-1]

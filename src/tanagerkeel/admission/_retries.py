"""How often failed attempts may be repeated."""

import collections

import attrs

__all__ = ["RetryBudget"]

WINDOW_S = 60.0
SLOT_S = 5.0
SHARE = 0.1
FLOOR = 10


@attrs.define
class _Slot:
    started_s: float
    first_tries: int = 0
    retries: int = 0


@attrs.define
class RetryBudget:
    """
    Bounds the retries of one pool by its first tries in a sliding window.

    :param share: retries allowed for each first try.
    :param floor: retries always allowed in a window.
    """

    _share: float = SHARE
    _floor: int = FLOOR
    _slots: "collections.deque[_Slot]" = attrs.field(factory=collections.deque)

    def first_try(self, now: float) -> None:
        """Count a request's first attempt."""
        self._slot(now).first_tries += 1

    def take(self, now: float) -> bool:
        """Count a retry if one is left; return whether it may be made."""
        slot = self._slot(now)
        if self._retries() + 1 > max(self._floor, self._share * self._first_tries()):
            return False
        slot.retries += 1
        return True

    def retry_after_s(self, now: float) -> float:
        """Return when the oldest counts leave the window, in seconds."""
        oldest = next((s for s in self._slots if s.retries), None)
        if oldest is None:
            return 0.0
        return max(0.0, oldest.started_s + SLOT_S + WINDOW_S - now)

    def _first_tries(self) -> int:
        return sum(slot.first_tries for slot in self._slots)

    def _retries(self) -> int:
        return sum(slot.retries for slot in self._slots)

    def _slot(self, now: float) -> _Slot:
        while self._slots and self._slots[0].started_s + SLOT_S + WINDOW_S <= now:
            self._slots.popleft()
        if not self._slots or self._slots[-1].started_s + SLOT_S <= now:
            self._slots.append(_Slot(now))
        return self._slots[-1]

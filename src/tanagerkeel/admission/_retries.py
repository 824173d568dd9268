"""How often failed attempts may be repeated."""

import collections

import attrs

__all__ = ["RetryBudget"]

WINDOW_S = 60.0
SLOT_S = 5.0
SHARE = 0.1
FLOOR = 5


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
    # When each death of a backend server was counted.
    _deaths_s: dict[str, float] = attrs.field(factory=dict)

    def first_try(self, now: float) -> None:
        """Count a request's first attempt."""
        self._slot(now).first_tries += 1

    def take(self, now: float, death: str | None = None) -> bool:
        """
        Count a retry if one is left; return whether it may be made.

        :param now: monotonic time, in seconds.
        :param death: the life of a backend server that proved to have ended while the
            request ran there. The requests that it broke off are no storm of retries:
            there are at most as many as ran at once, and all together count as one.
        """
        slot = self._slot(now)
        if death is not None and death in self._deaths_s:
            return True
        if self._retries() + 1 > max(self._floor, self._share * self._first_tries()):
            return False
        slot.retries += 1
        if death is not None:
            self._deaths_s[death] = now
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
        if self._deaths_s:
            oldest = now - WINDOW_S
            self._deaths_s = {d: s for d, s in self._deaths_s.items() if s > oldest}
        if not self._slots or self._slots[-1].started_s + SLOT_S <= now:
            self._slots.append(_Slot(now))
        return self._slots[-1]

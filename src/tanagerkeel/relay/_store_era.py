"""
The era of the platform's store, which tells whether it returned from an older copy.

The store may lose its latest acknowledged writes and return from a copy that is some
seconds old. Its revisions then go back and are given out again. It names its era in
every answer; the era grows each time.
"""

import enum

import attrs

__all__ = ["EraChange", "StoreEra"]

# An era is sent to other nodes as a 64-bit number.
MAX_ERA = 2**63 - 1


class EraChange(enum.Enum):
    """What the era of an answer says about the answers before it."""

    SAME = "the same era"
    NEWER = "the store has returned from an older copy"
    OLDER = "the answer was given before the store returned"
    UNREADABLE = "the era is not a number"


@attrs.define
class StoreEra:
    """The newest era that any answer of the store has named."""

    _current: int | None = None
    _answered: bool = False

    @property
    def current(self) -> int:
        """The newest era; 0 before an answer named one."""
        return self._current or 0

    def observe(self, value: str | None) -> EraChange:
        """
        Record the era of an answer.

        Any higher number counts as newer, as a node may miss several eras.

        :param value: what the answer names as its era; None if it names none, which
            counts as the same era.
        """
        era = _parse(value)
        if era is None:
            self._answered = True
            return EraChange.SAME if value is None else EraChange.UNREADABLE
        # An era that is named for the first time is newer than answers without one.
        first = self._current is None and not self._answered
        self._answered = True
        if first or era == self._current:
            self._current = era
            return EraChange.SAME
        if era < self.current:
            return EraChange.OLDER
        self._current = era
        return EraChange.NEWER


def _parse(value: str | None) -> int | None:
    text = "" if value is None else value.strip()
    # str.isdigit() also accepts digits outside ASCII.
    if not (text.isascii() and text.isdigit()):
        return None
    # A longer number is not worth converting.
    era = int(text) if len(text) <= len(str(MAX_ERA)) else MAX_ERA + 1
    return era if era <= MAX_ERA else None

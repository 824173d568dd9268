"""Observes the era in the answers of the platform's store, and logs what it says."""

import attrs

from tanagerkeel.events import LogEvent, log
from tanagerkeel.relay import EraChange, StoreEra

__all__ = ["EraObserver"]

# Limit of an era's value in the log.
MAX_LOGGED_CHARACTERS = 80


@attrs.define
class EraObserver:
    """The newest era of the store, from all answers that one node received."""

    _era: StoreEra = attrs.field(factory=StoreEra)
    _unreadable_logged: bool = False

    @property
    def current(self) -> int:
        """The newest era that an answer has named; 0 before that."""
        return self._era.current

    def observe(self, value: str | None) -> None:
        """
        Record the era of an answer.

        :param value: what the answer names as its era; None if it names none.
        """
        before = self._era.current
        match self._era.observe(value):
            case EraChange.NEWER:
                log(LogEvent.STORE_ERA_CHANGED, era=self._era.current, before=before)
            case EraChange.OLDER:
                log(LogEvent.STORE_ANSWER_OUTDATED, era=value, current=before)
            case EraChange.UNREADABLE if not self._unreadable_logged:
                self._unreadable_logged = True
                log(LogEvent.STORE_ERA_IGNORED, value=value[:MAX_LOGGED_CHARACTERS])

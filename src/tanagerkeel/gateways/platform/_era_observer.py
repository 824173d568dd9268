"""Observes the era in the answers of the platform's store, and logs what it says."""

from collections.abc import Callable

import attrs

from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.platform._protocol import PlatformUnavailable
from tanagerkeel.relay import EraChange, StoreEra

__all__ = ["EraObserver"]

# Limit of an era's value in the log.
MAX_LOGGED_CHARACTERS = 80


@attrs.define
class EraObserver:
    """The newest era of the store, from all answers that one node received."""

    _era: StoreEra = attrs.field(factory=StoreEra)
    _unreadable_logged: bool = False
    _listeners: list[Callable[[], None]] = attrs.field(factory=list)

    @property
    def current(self) -> int:
        """The newest era that an answer has named; 0 before that."""
        return self._era.current

    def add_listener(self, on_new_era: Callable[[], None]) -> None:
        """Add a callback for when an answer names a newer era."""
        self._listeners.append(on_new_era)

    def observe(self, value: str | None) -> None:
        """
        Record the era of an answer.

        :param value: what the answer names as its era; None if it names none.
        :raises PlatformUnavailable: when the answer must be dropped, as it was given
            before the store returned from an older copy.
        """
        before = self._era.current
        match self._era.observe(value):
            case EraChange.NEWER:
                log(LogEvent.STORE_ERA_CHANGED, era=self._era.current, before=before)
                for on_new_era in self._listeners:
                    on_new_era()
            case EraChange.OLDER:
                log(LogEvent.STORE_ANSWER_OUTDATED, era=value, current=before)
                raise PlatformUnavailable(f"answer of era {value}, but it is {before}")
            case EraChange.UNREADABLE if not self._unreadable_logged:
                self._unreadable_logged = True
                log(LogEvent.STORE_ERA_IGNORED, value=value[:MAX_LOGGED_CHARACTERS])

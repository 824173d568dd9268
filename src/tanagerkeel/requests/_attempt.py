"""States of a request's attempts, and whether its work was executed."""

import enum
import uuid

import attrs

from tanagerkeel.errors import Ran

__all__ = ["AttemptRecord", "AttemptState", "AttemptTransitionError", "ran_of"]


class AttemptState(enum.StrEnum):
    """
    State of an attempt.

    ``PLANNED`` attempts have not been sent. ``NOT_STARTED`` means that the backend
    server reported that it did not start the work, or that no connection to it could
    be established.
    """

    PLANNED = "planned"
    SENT = "sent"
    ACCEPTED = "accepted"
    FINISHED = "finished"
    FAILED = "failed"
    NOT_STARTED = "not started"


_NEXT_STATES = {
    AttemptState.PLANNED: {AttemptState.SENT},
    AttemptState.SENT: {
        AttemptState.ACCEPTED,
        AttemptState.FAILED,
        AttemptState.NOT_STARTED,
    },
    AttemptState.ACCEPTED: {AttemptState.FINISHED, AttemptState.FAILED},
    AttemptState.FINISHED: set(),
    AttemptState.FAILED: set(),
    AttemptState.NOT_STARTED: set(),
}


class AttemptTransitionError(RuntimeError):
    """The requested state can't follow the attempt's current state."""


@attrs.define
class AttemptRecord:
    """
    One attempt to run a request on one backend server.

    :param backend: name of the backend server.
    :param attempt_id: unique id that the backend server echoes in its answer.
    """

    backend: str
    attempt_id: str = attrs.field(factory=lambda: uuid.uuid4().hex)
    _state: AttemptState = AttemptState.PLANNED

    @property
    def state(self) -> AttemptState:
        """The current state."""
        return self._state

    def transition_to(self, state: AttemptState) -> None:
        """
        Change to ``state``.

        :raises AttemptTransitionError: when it can't follow the current state.
        """
        if state not in _NEXT_STATES[self._state]:
            raise AttemptTransitionError(f"can't change from {self._state} to {state}")
        self._state = state


def ran_of(attempts: list[AttemptRecord]) -> Ran:
    """
    Return whether a request's work was executed, from the states of its attempts.

    ``NO`` is returned only if each attempt was never sent, never got a connection, or
    was reported by the backend server as not started.
    """
    states = {attempt.state for attempt in attempts}
    if AttemptState.FINISHED in states:
        return Ran.YES
    if states <= {AttemptState.PLANNED, AttemptState.NOT_STARTED}:
        return Ran.NO
    return Ran.UNKNOWN

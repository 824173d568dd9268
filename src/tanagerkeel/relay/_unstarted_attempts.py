"""Which attempts run on each backend server without a first event yet."""

from collections.abc import Iterator

import attrs

__all__ = ["UnstartedAttempts"]

# Id and start time of a backend server, which identify one run of its process.
Incarnation = tuple[str, int]


@attrs.define
class _Attempt:
    incarnation: Incarnation
    sections: tuple[str, ...]
    sent_s: float


@attrs.define
class UnstartedAttempts:
    """
    This node's attempts whose answer has not begun, by the incarnation that runs them.

    When a backend server crashes, only such an attempt can be the cause: one whose
    answer has begun has shown that its prompt can be answered.
    """

    _attempts: dict[str, _Attempt] = attrs.field(factory=dict)

    def add(
        self,
        incarnation: Incarnation,
        attempt_id: str,
        sections: tuple[str, ...],
        sent_s: float,
    ) -> None:
        """
        Record that an attempt was sent.

        :param incarnation: the backend server that runs it, as far as is known.
        :param attempt_id: unique id of the attempt.
        :param sections: the shared sections of the request's prompt.
        :param sent_s: when it was sent; monotonic, in seconds.
        """
        self._attempts[attempt_id] = _Attempt(incarnation, sections, sent_s)

    def discard(self, attempt_id: str) -> None:
        """Forget an attempt whose answer has begun, or that has ended."""
        self._attempts.pop(attempt_id, None)

    def carry_over(
        self, known: Incarnation, new: Incarnation, started_s: float
    ) -> None:
        """
        Attribute attempts to a new incarnation that was sent them before it was known.

        :param known: the incarnation that was known until now.
        :param new: the one that replaced it, with the same id.
        :param started_s: when the new one started; monotonic, in seconds.
        """
        for attempt in self._attempts.values():
            if attempt.incarnation == known and attempt.sent_s >= started_s:
                attempt.incarnation = new

    def sections_of(self, incarnation: Incarnation) -> Iterator[tuple[str, ...]]:
        """Yield the shared sections of each attempt on a backend server."""
        return (
            attempt.sections
            for attempt in self._attempts.values()
            if attempt.incarnation == incarnation
        )

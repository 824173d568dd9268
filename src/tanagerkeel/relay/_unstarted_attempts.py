"""Which attempts run on each backend server without a first event yet."""

from collections.abc import Iterator

import attrs

__all__ = ["UnstartedAttempts"]

# Id and start time of a backend server, which identify one run of its process.
Incarnation = tuple[str, int]


@attrs.define
class UnstartedAttempts:
    """
    This node's attempts whose answer has not begun, by the incarnation that runs them.

    When a backend server crashes, only such an attempt can be the cause: one whose
    answer has begun has shown that its prompt can be answered.
    """

    _sections: dict[Incarnation, dict[str, tuple[str, ...]]] = attrs.field(factory=dict)

    def add(
        self, incarnation: Incarnation, attempt_id: str, sections: tuple[str, ...]
    ) -> None:
        """
        Record that an attempt was sent.

        :param incarnation: the backend server that runs it.
        :param attempt_id: unique id of the attempt.
        :param sections: the shared sections of the request's prompt.
        """
        self._sections.setdefault(incarnation, {})[attempt_id] = sections

    def discard(self, incarnation: Incarnation, attempt_id: str) -> None:
        """Forget an attempt whose answer has begun, or that has ended."""
        attempts = self._sections.get(incarnation, {})
        attempts.pop(attempt_id, None)
        if not attempts:
            self._sections.pop(incarnation, None)

    def sections_of(self, incarnation: Incarnation) -> Iterator[tuple[str, ...]]:
        """Yield the shared sections of each attempt on a backend server."""
        yield from self._sections.get(incarnation, {}).values()

"""Human-readable explanations of how recent requests were handled."""

import collections

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.errors import ResultCode, TanagerkeelError

__all__ = ["ExplanationLog"]

MAX_REQUESTS = 2_000
MAX_LINES_PER_REQUEST = 40


@attrs.define
class ExplanationLog:
    """
    Decisions made for the most recent requests, in bounded memory.

    :param clock: source of the monotonic time at the start of each line.
    """

    _clock: Clock
    _lines: "collections.OrderedDict[str, list[str]]" = attrs.field(
        factory=collections.OrderedDict
    )

    def note(self, request_id: str, text: str) -> None:
        """
        Add a line to an explanation that has fewer than ``MAX_LINES_PER_REQUEST``.

        :param request_id: id of the request that the line is about.
        :param text: a sentence; never keys, prompts or answers.
        """
        lines = self._lines.setdefault(request_id, [])
        if len(lines) < MAX_LINES_PER_REQUEST:
            lines.append(f"{self._clock.monotonic():.3f} s: {text}")
        while len(self._lines) > MAX_REQUESTS:
            self._lines.popitem(last=False)

    def explain(self, request_id: str) -> str:
        """
        Return the lines of a request's explanation, each ended by a newline.

        :raises TanagerkeelError: EXPLANATION_NOT_FOUND when there is none.
        """
        lines = self._lines.get(request_id)
        if lines is None:
            raise TanagerkeelError(ResultCode.EXPLANATION_NOT_FOUND)
        return "\n".join(lines) + "\n"

"""
Hold-offs: how long backend servers asked this node to send them nothing.

Answers the load in which a backend server is full and more requests, each of which it
must reject, keep it from recovering. After a hold-off, requests return one by one
instead of all at once.
"""

import email.utils
import re

import attrs

__all__ = ["HoldOffTable", "parse_retry_after"]

SECONDS = re.compile(r"\d+(\.\d+)?")
# For this time after a hold-off, in seconds, requests are sent at most once per
# interval, so that those that waited for its end don't arrive together.
RETURN_S = 1.0
RETURN_INTERVAL_S = 0.1


def parse_retry_after(value: str, wall_s: float) -> float | None:
    """
    Return the delay that a Retry-After header asks for, in seconds.

    :param value: a number of seconds, with or without a fraction, or an HTTP date.
    :param wall_s: the current Unix time, in seconds, for a date.
    :returns: 0 for a date in the past; None for any other text.
    """
    if SECONDS.fullmatch(value):
        return float(value)
    try:
        date = email.utils.parsedate_to_datetime(value)
        return max(0.0, date.timestamp() - wall_s)
    except (ValueError, OverflowError):
        return None


@attrs.define
class HoldOffTable:
    """
    The hold-offs of backend servers, by their incarnations; times are monotonic.

    An incarnation is the id and the start time of a backend server. A hold-off is only
    ever extended, and another incarnation is not affected.
    """

    _ends_s: dict[tuple[str, int], float] = attrs.field(factory=dict)
    # When each hold-off was last asked for.
    _asked_s: dict[tuple[str, int], float] = attrs.field(factory=dict)
    _next_sends_s: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def extend(self, incarnation: tuple[str, int], end_s: float, now: float) -> bool:
        """Hold an incarnation off until ``end_s``; return whether it wasn't before."""
        self._remove_ended(now)
        known_s = self._ends_s.get(incarnation, 0.0)
        self._ends_s[incarnation] = max(known_s, end_s)
        self._asked_s[incarnation] = now
        return known_s <= now

    def carry_over(
        self, known: tuple[str, int], new: tuple[str, int], started_s: float
    ) -> None:
        """
        Keep a hold-off that a new incarnation asked for before it was known.

        A response names the id of its backend server only, so until the entry of the
        new incarnation arrives, its hold-off counts for the one that is known.

        :param known: the incarnation that was known until now.
        :param new: the one that replaced it, with the same id.
        :param started_s: when the new one started. Earlier hold-offs are not its own.
        """
        if self._asked_s.get(known, float("-inf")) < started_s:
            return
        for times_s in (self._ends_s, self._asked_s, self._next_sends_s):
            if known in times_s:
                times_s[new] = max(times_s[known], times_s.get(new, 0.0))

    def next_send_s(self, incarnation: tuple[str, int], now: float) -> float:
        """Return the earliest time of a request to an incarnation, in seconds."""
        end_s = self._ends_s.get(incarnation)
        if end_s is None or now >= end_s + RETURN_S:
            return now
        return max(now, end_s, self._next_sends_s.get(incarnation, 0.0))

    def record_send(self, incarnation: tuple[str, int], now: float) -> None:
        """Record that a request is sent to an incarnation."""
        if incarnation in self._ends_s:
            self._next_sends_s[incarnation] = now + RETURN_INTERVAL_S

    def _remove_ended(self, now: float) -> None:
        ended = [key for key, end_s in self._ends_s.items() if now >= end_s + RETURN_S]
        for key in ended:
            del self._ends_s[key], self._asked_s[key]
            self._next_sends_s.pop(key, None)

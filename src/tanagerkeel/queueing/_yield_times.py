"""
For how long a waiting request has left free places to requests of other nodes.

Load pattern: that of ``should_yield()``, which gets these times. A request may wait for
seconds while no place is free; only the time in which one was free counts.
"""

import attrs

__all__ = ["YieldTimes"]


@attrs.define
class YieldTimes:
    """The times of one waiting request; monotonic, in seconds."""

    _free_since_s: float | None = None
    # Total of the spans in which places were free that have ended.
    _ended_s: float = 0.0

    def record_free(self, now: float) -> None:
        """Record that the request could be placed now."""
        if self._free_since_s is None:
            self._free_since_s = now

    def record_none_free(self, now: float) -> None:
        """Record that the request can't be placed now."""
        self._ended_s += self.free_for_s(now)
        self._free_since_s = None

    def free_for_s(self, now: float) -> float:
        """Return for how long a place has been free without a break."""
        return 0.0 if self._free_since_s is None else now - self._free_since_s

    def waited_s(self, now: float) -> float:
        """Return for how long it has left free places to others in all."""
        return self._ended_s + self.free_for_s(now)

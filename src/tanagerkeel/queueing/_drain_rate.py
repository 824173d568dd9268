"""
How fast a queue is served while it has a backlog.

Load pattern: a queue that is empty most of the time and fills in bursts. What starts
while nothing waits says how much arrives, not how much the backend servers can take, so
only the time with a backlog is measured.
"""

import math

import attrs

__all__ = ["DrainRate", "RateMeter"]

# Decay time of the rate.
HORIZON_S = 5.0
# A backlog must last for this time before its own rate is used.
MIN_BACKLOG_S = 1.0
# Keeps the rate finite right after the first amount.
MIN_ELAPSED_S = 0.5


@attrs.define
class RateMeter:
    """
    A rate per second in which older amounts count exponentially less.

    :param horizon_s: time in which an amount decays to 1/e, in seconds.
    """

    _horizon_s: float
    _decayed_amount: float = 0.0
    _first_s: float | None = None
    _updated_s: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Record an amount at monotonic time ``now``, in seconds."""
        if self._first_s is None:
            self._first_s = now
        self._decay(now)
        self._decayed_amount += amount

    def rate(self, now: float) -> float:
        """Return the rate per second at ``now``; 0 before the first amount."""
        if self._first_s is None:
            return 0.0
        self._decay(now)
        # A new meter has not yet covered its whole horizon.
        elapsed_s = max(now - self._first_s, MIN_ELAPSED_S)
        covered_s = self._horizon_s * -math.expm1(-elapsed_s / self._horizon_s)
        return self._decayed_amount / covered_s

    def _decay(self, now: float) -> None:
        self._decayed_amount *= math.exp((self._updated_s - now) / self._horizon_s)
        self._updated_s = now


@attrs.define
class DrainRate:
    """
    Work per second that a queue gets while it has a backlog.

    Work is counted in any unit as it was estimated, for example in engine
    milliseconds. An error that all estimates share is therefore in the rate too, and a
    wait that is computed from both is free of it.
    """

    # Work that started since the queue was last empty; None without a backlog.
    _meter: RateMeter | None = None
    _backlog_since_s: float = 0.0
    # The rate when the queue last became empty.
    _last_per_s: float = 0.0

    def record_backlog(self, now: float) -> None:
        """Record that a request begins to wait in a queue that was empty."""
        self._meter = RateMeter(HORIZON_S)
        self._backlog_since_s = now

    def record_started(self, work_ms: float, now: float, waiting: int) -> None:
        """
        Record that a request left the queue to run.

        :param work_ms: its estimated work, in the unit of the rate.
        :param now: monotonic time, in seconds.
        :param waiting: number of requests that still wait.
        """
        if self._meter is None:
            self.record_backlog(now)
        self._meter.add(work_ms, now)
        if not waiting:
            self._last_per_s = self.per_s(now)
            self._meter = None

    def per_s(self, now: float) -> float:
        """Return the work per second at ``now``; 0 while it is unknown."""
        if self._meter is None or now - self._backlog_since_s < MIN_BACKLOG_S:
            return self._last_per_s
        return self._meter.rate(now)

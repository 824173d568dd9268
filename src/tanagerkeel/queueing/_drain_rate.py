"""
How fast a queue is served while it has a backlog.

Load pattern: a queue that is empty most of the time and fills in bursts. What starts
while nothing waits says how much arrives, not how much the backend servers can take, so
only the time with a backlog is measured. At a node where requests seldom start, a rate
over a short time falls to a fraction between two starts, so it is taken over a longer
time there.
"""

import math

import attrs

__all__ = ["DrainRate", "RateMeter"]

# Decay times of the rate: the first one that covers enough starts is used.
HORIZONS_S = (5.0, 30.0)
# With 8 starts in a horizon, the standard deviation of the rate is a quarter of it.
MIN_STARTS = 8
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

    def amount(self, now: float) -> float:
        """Return the decayed sum of the amounts at ``now``."""
        self._decay(now)
        return self._decayed_amount

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
class _Measurement:
    """Work and number of starts over one horizon."""

    work: RateMeter
    starts: RateMeter

    @classmethod
    def over(cls, horizon_s: float) -> "_Measurement":
        return cls(RateMeter(horizon_s), RateMeter(horizon_s))


@attrs.define
class DrainRate:
    """
    Work per second that a queue gets while it has a backlog.

    Work is counted in any unit as it was estimated, for example in engine
    milliseconds. An error that all estimates share is therefore in the rate too, and a
    wait that is computed from both is free of it.

    :param min_starts: starts that a rate must rest on; without them, the rate of the
        backlog before is used. 0 uses the shortest horizon at all times.
    """

    _min_starts: int = MIN_STARTS
    # What started since the queue was last empty; none without a backlog.
    _measurements: tuple[_Measurement, ...] = ()
    _backlog_since_s: float = 0.0
    # The rate when the queue last became empty.
    _last_per_s: float = 0.0

    def record_backlog(self, now: float) -> None:
        """Record that a request begins to wait in a queue that was empty."""
        self._measurements = tuple(map(_Measurement.over, HORIZONS_S))
        self._backlog_since_s = now

    def record_started(self, work_ms: float, now: float, waiting: int) -> None:
        """
        Record that a request left the queue to run.

        :param work_ms: its estimated work, in the unit of the rate.
        :param now: monotonic time, in seconds.
        :param waiting: number of requests that still wait.
        """
        if not self._measurements:
            self.record_backlog(now)
        for measurement in self._measurements:
            measurement.work.add(work_ms, now)
            measurement.starts.add(1.0, now)
        if not waiting:
            self._last_per_s = self.per_s(now)
            self._measurements = ()

    def per_s(self, now: float) -> float:
        """Return the work per second at ``now``; 0 while it is unknown."""
        if now - self._backlog_since_s < MIN_BACKLOG_S:
            return self._last_per_s
        for measurement in self._measurements:
            if measurement.starts.amount(now) >= self._min_starts:
                return measurement.work.rate(now)
        return self._last_per_s

"""Exponentially decayed rates."""

import math

import attrs

__all__ = ["RateMeter"]

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

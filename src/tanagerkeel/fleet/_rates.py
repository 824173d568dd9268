"""Prefill and decode rates of a backend server, from samples and its reports."""

import math

import attrs

__all__ = ["RateEstimate"]

# In tokens per second.
MIN_RATE = 10.0
# Least weight of a new sample in the moving average.
SAMPLE_WEIGHT = 0.2
# With this many recent samples, their average weighs as much as the reported rate.
EQUAL_WEIGHT_SAMPLES = 5.0
SAMPLE_HALF_LIFE_S = 60.0


@attrs.define
class RateEstimate:
    """
    A rate from this node's samples and the backend server's reports; never zero.

    The weight of the samples halves each ``SAMPLE_HALF_LIFE_S`` without a new one.

    :param default: the rate before the first report or sample, in tokens per second.
    """

    _default: float
    _reported: float = 0.0
    _measured: float = 0.0
    _samples: float = 0.0
    _sampled_s: float = 0.0

    def record_report(self, rate: float) -> None:
        """Record the rate that the backend server reports, in tokens per second."""
        if rate > 0 and math.isfinite(rate):
            self._reported = rate

    def record_sample(self, rate: float, now: float) -> None:
        """Record a rate that this node measured, in tokens per second."""
        if not (rate > 0 and math.isfinite(rate)):
            return
        count = self._samples_at(now)
        weight = max(SAMPLE_WEIGHT, 1 / (count + 1))
        self._measured += weight * (rate - self._measured)
        self._samples = count + 1
        self._sampled_s = now

    def reset(self) -> None:
        """Drop the samples, because the backend server has restarted."""
        self._measured = 0.0
        self._samples = 0.0

    def value(self, now: float) -> float:
        """Return the rate in tokens per second, at least ``MIN_RATE``."""
        samples = self._samples_at(now)
        weight = samples / (samples + EQUAL_WEIGHT_SAMPLES)
        fallback = self._reported or self._measured or self._default
        return max(MIN_RATE, weight * self._measured + (1 - weight) * fallback)

    def _samples_at(self, now: float) -> float:
        age_s = max(0.0, now - self._sampled_s)
        return self._samples * 0.5 ** (age_s / SAMPLE_HALF_LIFE_S)

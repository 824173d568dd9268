"""
Decide which engines are slower than their peers, from their times to first token.

The time expected for the work ahead of an answer serves as a control variate, as in
"Sequential A/B Testing Using Pre-Experiment Data" (E. Stenberg, 2019), equation (14):
the time that an answer took is compared with what the peers take for the same work.
"""

import math

import attrs

__all__ = ["PeerBaseline", "SlowMeter"]

# Weights of a new answer in the moving averages of one engine and of all its peers.
AVERAGE_WEIGHT = 0.1
BASELINE_WEIGHT = 1 / 1_000
MIN_BASELINE_SAMPLES = 50
MIN_SAMPLES = 5
# Residuals are clipped: one long wait behind unknown work is no evidence of slowness.
CLIP_DEVIATIONS = 2.0
MIN_CLIP = math.log(2.0)
# An engine is slow if its average residual exceeds this many standard deviations and
# the logarithm of this factor.
SLOW_DEVIATIONS = 0.8
MIN_SLOW = math.log(1.2)
MIN_VARIANCE = 1e-4


@attrs.define
class PeerBaseline:
    """
    Moving averages and covariances of the work and the time of all peers' answers.

    Work (in tokens) and time (in seconds) enter as natural logarithms.
    """

    _samples: int = 0
    _work: float = 0.0
    _time: float = 0.0
    _work_work: float = 0.0
    _work_time: float = 0.0
    _time_time: float = 0.0

    @property
    def is_known(self) -> bool:
        """Whether there were enough answers for a comparison."""
        return self._samples >= MIN_BASELINE_SAMPLES

    @property
    def deviation(self) -> float:
        """Standard deviation of the part of the time that the work does not explain."""
        variance = self._time_time - self._slope * self._work_time
        return math.sqrt(max(MIN_VARIANCE, variance))

    @property
    def _slope(self) -> float:
        return self._work_time / self._work_work if self._work_work > 0 else 0.0

    def add(self, tokens: float, seconds: float) -> None:
        """
        Record one answer.

        :param tokens: prompt tokens to prefill until its first token.
        :param seconds: time to its first token.
        """
        self._samples += 1
        weight = max(BASELINE_WEIGHT, 1 / self._samples)
        work, time = math.log(tokens), math.log(seconds)
        work_delta, time_delta = work - self._work, time - self._time
        self._work += weight * work_delta
        self._time += weight * time_delta
        keep = 1 - weight
        self._work_work = keep * (self._work_work + weight * work_delta**2)
        self._work_time = keep * (self._work_time + weight * work_delta * time_delta)
        self._time_time = keep * (self._time_time + weight * time_delta**2)

    def residual(self, tokens: float, seconds: float) -> float:
        """Return the clipped logarithm of an answer's time over the expected time."""
        expected_log = self._time + self._slope * (math.log(tokens) - self._work)
        bound = max(MIN_CLIP, CLIP_DEVIATIONS * self.deviation)
        return max(-bound, min(bound, math.log(seconds) - expected_log))


@attrs.define
class SlowMeter:
    """The slowness of one engine, as a moving average of residuals."""

    _average: float = 0.0
    _samples: int = 0

    def add(self, residual: float, deviation: float) -> float:
        """
        Record one answer and return the slowness; from 1 on the engine is too slow.

        :param residual: logarithm of its time over the expected time.
        :param deviation: standard deviation of the residuals of all peers.
        """
        self._samples += 1
        self._average += AVERAGE_WEIGHT * (residual - self._average)
        if self._samples < MIN_SAMPLES:
            return 0.0
        return self._average / max(MIN_SLOW, SLOW_DEVIATIONS * deviation)

    def reset(self) -> None:
        """Drop all samples."""
        self._average = 0.0
        self._samples = 0

"""
Detection of slow engines: sequential tests compared with moving averages.

Twenty simulated engines answer prompts of different lengths. Some of the work queued
ahead of a prompt is unknown to the node that measures. Most detectors use the expected
time of an answer as a control variate. Each detector sees every answer, and its
threshold is swept. The table gives the mean number of answers until a slow engine is
found, at one rate of false ejections; and the rate of false ejections on a healthy
fleet, at one detection time.
"""

import argparse
import itertools
import json
import math
import pathlib
import random
from collections.abc import Callable, Iterator

import attrs

from bench._tables import Table
from tanagerkeel.fleet._slow import PeerBaseline, SlowMeter

ENGINES = 20
# Answers of all engines that fill the baseline before the measurement.
HISTORY_ANSWERS = 400
HEALTHY_ANSWERS = 20_000
TRIALS = 30
# A trial ends after this many answers of the slow engine.
MAX_DETECTION_ANSWERS = 150
PREFILL_TOKENS_PER_S = 10_000.0
OVERHEAD_S = 0.03
# False ejections per answer.
MAX_FALSE_RATE = 1 / 10_000
# Mean answers until an engine that is slow by a factor of 2 is found.
DETECTION_TARGET_ANSWERS = 12.0
SLOW_FACTORS = (1.5, 2.0, 4.0)
WINDOW_ANSWERS = 40
# Variance of the mixing distribution of the sequential test.
MIXING_VARIANCE = 0.5
TOLERATED_LOG_SLOWDOWN = math.log(1.2)
BASELINE_WEIGHT = 1 / 1_000
# Residuals are clipped to this many standard deviations.
CLIP_DEVIATIONS = 2.0
# An ejection lasts for the time of this many answers of one engine.
EJECTED_ANSWERS = 40


@attrs.frozen
class Setting:
    """
    How much prompt lengths and the times of answers vary.

    :param name: label in the table.
    :param long_share: fraction of prompts that are long.
    :param noise: standard deviation of the logarithm of the time of an answer.
    :param unreported_share: fraction of answers behind queued work that the node does
        not know of.
    """

    name: str
    long_share: float
    noise: float
    unreported_share: float


SETTINGS = (
    Setting("short, quiet", 0.0, 0.15, 0.05),
    Setting("short, noisy", 0.0, 0.4, 0.15),
    Setting("mixed, quiet", 0.3, 0.15, 0.05),
    Setting("mixed, noisy", 0.3, 0.4, 0.15),
)


@attrs.frozen
class Sample:
    """
    One answer.

    :param engine: index of the engine.
    :param expected: natural logarithm of the expected time in seconds.
    :param observed: natural logarithm of the observed time in seconds.
    """

    engine: int
    expected: float
    observed: float

    @property
    def tokens_and_seconds(self) -> tuple[float, float]:
        """The expected work in tokens and the observed time in seconds."""
        return math.exp(self.expected) * PREFILL_TOKENS_PER_S, math.exp(self.observed)


def samples(
    setting: Setting, source: random.Random, slow_factor: float = 1.0
) -> Iterator[Sample]:
    """Yield answers; engine 0 is ``slow`` times as slow as the others."""
    speeds = [math.exp(source.gauss(0, 0.05)) for _ in range(ENGINES)]
    speeds[0] /= slow_factor
    while True:
        engine = source.randrange(ENGINES)
        is_long = source.random() < setting.long_share
        low, high = (9_000, 100_000) if is_long else (1_000, 8_000)
        tokens = math.exp(source.uniform(math.log(low), math.log(high)))
        queued_tokens = source.expovariate(1 / 4_000) if source.random() < 0.4 else 0.0
        unreported_tokens = 0.0
        if source.random() < setting.unreported_share:
            unreported_tokens = source.expovariate(1 / 8_000)
        noise = math.exp(source.gauss(0, setting.noise))
        rate = PREFILL_TOKENS_PER_S * speeds[engine]
        observed_s = (
            OVERHEAD_S + (tokens + queued_tokens + unreported_tokens) / rate * noise
        )
        expected_s = OVERHEAD_S + (tokens + queued_tokens) / PREFILL_TOKENS_PER_S
        yield Sample(engine, math.log(expected_s), math.log(observed_s))


@attrs.define
class Baseline:
    """
    Moving moments of the logarithms of expected and observed times of all engines.

    :param peers: the product's baseline over the same answers.
    """

    mean_expected: float = 0.0
    mean_observed: float = 0.0
    variance_expected: float = 0.0
    covariance: float = 0.0
    variance_observed: float = 0.0
    count: int = 0
    peers: PeerBaseline = attrs.field(factory=PeerBaseline)

    def add(self, sample: Sample) -> None:
        """Add one answer."""
        self.peers.add(*sample.tokens_and_seconds)
        self.count += 1
        weight = max(BASELINE_WEIGHT, 1 / self.count)
        delta_expected, delta_observed = (
            sample.expected - self.mean_expected,
            sample.observed - self.mean_observed,
        )
        self.mean_expected += weight * delta_expected
        self.mean_observed += weight * delta_observed
        decay = 1 - weight
        self.variance_expected = decay * (
            self.variance_expected + weight * delta_expected * delta_expected
        )
        self.covariance = decay * (
            self.covariance + weight * delta_expected * delta_observed
        )
        self.variance_observed = decay * (
            self.variance_observed + weight * delta_observed * delta_observed
        )

    def slope(self, with_variate: bool) -> float:
        """Return the coefficient of the control variate; 0 without one."""
        return (
            self.covariance / self.variance_expected
            if with_variate and self.variance_expected > 0
            else 0.0
        )

    def variance(self, with_variate: bool) -> float:
        """Return the residual variance of the observed values."""
        return max(
            1e-3, self.variance_observed - self.slope(with_variate) * self.covariance
        )

    def residual(self, sample: Sample, with_variate: bool) -> float:
        """Return an answer's observed value minus the prediction."""
        slope = self.slope(with_variate)
        return (
            sample.observed
            - self.mean_observed
            - slope * (sample.expected - self.mean_expected)
        )

    def clipped(self, sample: Sample) -> float:
        """Return the residual with the control variate, clipped."""
        bound = CLIP_DEVIATIONS * math.sqrt(self.variance(True))
        return max(-bound, min(bound, self.residual(sample, True)))


@attrs.define
class MovingAverage:
    """An exponentially weighted moving average of the residual."""

    with_variate: bool
    weight: float
    clips: bool = False
    value: float = 0.0
    count: int = 0

    def update(self, sample: Sample, baseline: Baseline) -> float:
        """Return the statistic after one answer."""
        self.count += 1
        residual = baseline.residual(sample, self.with_variate)
        if self.clips:
            residual = baseline.clipped(sample)
        self.value += self.weight * (residual - self.value)
        return self.value


@attrs.define
class SequentialTest:
    """
    The mixture sequential probability ratio test (mSPRT), restarted each window.

    :param window: number of answers in a window.
    """

    with_variate: bool
    window: int = WINDOW_ANSWERS
    clips: bool = False
    total: float = 0.0
    count: int = 0

    def update(self, sample: Sample, baseline: Baseline) -> float:
        """Return the logarithm of the ratio after one answer."""
        if self.count >= self.window:
            self.total, self.count = 0.0, 0
        self.count += 1
        residual = baseline.residual(sample, self.with_variate)
        if self.clips:
            residual = baseline.clipped(sample)
        self.total += residual
        delta = self.total / self.count - TOLERATED_LOG_SLOWDOWN
        if delta <= 0:
            return 0.0
        n, variance = self.count, baseline.variance(self.with_variate)
        spread = variance + n * MIXING_VARIANCE
        return 0.5 * math.log(variance / spread) + (
            n * delta
        ) ** 2 * MIXING_VARIANCE / (2 * variance * spread)


@attrs.define
class StaggeredTests:
    """Two sequential tests half a window apart; the larger ratio counts."""

    with_variate: bool
    window: int = WINDOW_ANSWERS
    clips: bool = False
    first: SequentialTest = attrs.field(init=False)
    second: SequentialTest = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.first = SequentialTest(self.with_variate, self.window, self.clips)
        self.second = SequentialTest(self.with_variate, self.window, self.clips)
        self.second.count = self.window // 2

    def update(self, sample: Sample, baseline: Baseline) -> float:
        """Return the logarithm of the larger ratio after one answer."""
        return max(
            self.first.update(sample, baseline), self.second.update(sample, baseline)
        )


@attrs.define
class ProductDetector:
    """The detector that the product uses."""

    meter: SlowMeter = attrs.field(factory=SlowMeter)

    def update(self, sample: Sample, baseline: Baseline) -> float:
        """Return the slowness after one answer; 0 without a baseline."""
        peers = baseline.peers
        if not peers.is_known:
            return 0.0
        residual = peers.residual(*sample.tokens_and_seconds)
        return self.meter.add(residual, peers.deviation)


DETECTORS: dict[str, Callable[[], object]] = {
    "EWMA, weight 0.2, no variate": lambda: MovingAverage(False, 0.2),
    "EWMA, weight 0.1": lambda: MovingAverage(True, 0.1),
    "EWMA, weight 0.1, clipped": lambda: MovingAverage(True, 0.1, True),
    "EWMA, as built": ProductDetector,
    "mSPRT": lambda: SequentialTest(True),
    "mSPRT, clipped": lambda: SequentialTest(True, clips=True),
    "mSPRT, two windows, clipped": lambda: StaggeredTests(True, clips=True),
}
THRESHOLDS = {
    "EWMA": [0.1 + 0.025 * i for i in range(80)],
    "mSPRT": [0.5 + 0.5 * i for i in range(80)],
}


def false_rates(setting: Setting, name: str, seed: int) -> list[float]:
    """Return false ejections per answer on a healthy fleet, by threshold."""
    thresholds = _thresholds(name)
    counts = [0] * len(thresholds)
    source = random.Random(f"{seed}/{setting.name}/healthy")
    baseline = Baseline()
    ejected_until = [[0] * ENGINES for _ in thresholds]
    detectors = [DETECTORS[name]() for _ in range(ENGINES)]
    stream = samples(setting, source)
    for sample in itertools.islice(stream, HISTORY_ANSWERS):
        baseline.add(sample)
    answers = itertools.islice(stream, HEALTHY_ANSWERS)
    for number, sample in enumerate(answers):
        value = detectors[sample.engine].update(sample, baseline)
        baseline.add(sample)
        for index, threshold in enumerate(thresholds):
            is_above = value > threshold
            if is_above and number >= ejected_until[index][sample.engine]:
                counts[index] += 1
                until = number + EJECTED_ANSWERS * ENGINES
                ejected_until[index][sample.engine] = until
    return [count / HEALTHY_ANSWERS for count in counts]


def detection_times(
    setting: Setting, name: str, slow_factor: float, seed: int
) -> list[float]:
    """Return the mean answers of a slow engine until it is found, by threshold."""
    thresholds = _thresholds(name)
    totals = [0.0] * len(thresholds)
    for trial in range(TRIALS):
        source = random.Random(f"{seed}/{setting.name}/{slow_factor}/{trial}")
        baseline = Baseline()
        detector = DETECTORS[name]()
        for sample in itertools.islice(samples(setting, source), HISTORY_ANSWERS):
            baseline.add(sample)
            if sample.engine == 0:
                detector.update(sample, baseline)
        values = _slow_values(setting, source, slow_factor, detector, baseline)
        peaks = list(itertools.accumulate(values, max))
        for index, threshold in enumerate(thresholds):
            found = next((n for n, p in enumerate(peaks, 1) if p > threshold), None)
            totals[index] += found or MAX_DETECTION_ANSWERS
    return [total / TRIALS for total in totals]


def _slow_values(
    setting: Setting,
    source: random.Random,
    slow_factor: float,
    detector: object,
    baseline: Baseline,
) -> Iterator[float]:
    count = 0
    for sample in samples(setting, source, slow_factor):
        if sample.engine == 0:
            yield detector.update(sample, baseline)
            count += 1
            if count == MAX_DETECTION_ANSWERS:
                return
        baseline.add(sample)


def _thresholds(name: str) -> list[float]:
    return THRESHOLDS[name.partition(",")[0]]


def _value_at_target(target: float, keys: list[float], values: list[float]) -> float:
    """Return the value where the falling ``keys`` first reach the target."""
    for key, value in zip(keys, values, strict=True):
        if key <= target:
            return value
    return math.nan


def compare(seed: int) -> Table:
    """Compare all detectors in all settings and return the table."""
    columns = ("setting", "detector", "threshold")
    detection_columns = tuple(f"answers to find {f:g}×" for f in SLOW_FACTORS)
    last = f"false per 10,000 when 2× is found in {DETECTION_TARGET_ANSWERS:g}"
    title = f"Slow engines at one false ejection in {1 / MAX_FALSE_RATE:,.0f} answers"
    table = Table(title, (*columns, *detection_columns, last))
    for setting, name in itertools.product(SETTINGS, DETECTORS):
        rates = false_rates(setting, name, seed)
        times = {f: detection_times(setting, name, f, seed) for f in SLOW_FACTORS}
        at_rate = [
            _value_at_target(MAX_FALSE_RATE, rates, times[f]) for f in SLOW_FACTORS
        ]
        reversed_times = times[2.0][::-1]
        false = _value_at_target(DETECTION_TARGET_ANSWERS, reversed_times, rates[::-1])
        threshold = _value_at_target(MAX_FALSE_RATE, rates, _thresholds(name))
        table.add(setting.name, name, threshold, *at_rate, false * 10_000)
    return table


def main() -> None:
    """Run the comparison and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--output", type=pathlib.Path)
    options = parser.parse_args()
    table = compare(options.seed)
    print(table.to_markdown())
    if options.output is not None:
        options.output.write_text(json.dumps(table.to_dict()))


if __name__ == "__main__":
    main()

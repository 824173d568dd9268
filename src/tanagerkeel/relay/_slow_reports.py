"""
Backend servers that are slower than expected, as several nodes measured them.

Load pattern: 60 to 129 nodes, each of which sends a request in a second or two to one
of dozens of engines. When an engine turns slow, each node finds out by a slow request
of its own, a minute later than the first one. A node alone has one or two samples of
an engine, too few to tell a slow engine from a chance; all together have enough.

Each node reports what it measured of an engine that it finds slow, or that a peer
reports as slow: reports of slow samples alone would make engines seem slow by
selection. What is reported is relative to the median of all engines that the node
measured: a node whose own link or VM is slow measures each engine as slow, which says
something about the node. The combined ratio is the median of at least two nodes,
weighted by samples up to a limit, so that no single node decides.
"""

import collections
import itertools
import statistics
from collections.abc import Iterable, Iterator

import attrs

__all__ = ["MAX_SLOW_REPORTS", "SlowReport", "SlowReports"]

# A backend server is reported as slow from this ratio of measured to expected time.
SLOW_RATIO = 1.5
# How long a measurement counts, in seconds. Its weight against 1 falls linearly, so
# that an engine that all avoid gets some requests again, which measure it.
VALID_S = 20.0
# Age at which a measurement has half the weight of a new one, in seconds: an engine
# that has turned slow must not count as sound while earlier measurements are valid.
HALF_LIFE_S = 4.0
# Number of samples, of all nodes together, from which an engine counts as slow.
MIN_SAMPLES = 3
# Number of nodes that must have measured it, this one included.
MIN_NODES = 2
# Number of samples of one node that count at most.
MAX_NODE_SAMPLES = 8
# Number of backend servers of which a node needs measurements to know how slow it is
# itself.
MIN_BASELINE_SERVERS = 4
# Weight of the newest sample in a node's moving average.
SAMPLE_WEIGHT = 0.25
# Ratios are limited to the range from 1 / this to this.
MAX_RATIO = 20.0
# Maximum number of reports in an update, and limit of the length of an id in a report,
# in bytes.
MAX_SLOW_REPORTS = 16
MAX_ID_BYTES = 64
# Limit of measured incarnations; the one that was measured longest ago is dropped.
MAX_MEASURED = 1_024

# Id and start time of a backend server, which identify one run of its process.
Incarnation = tuple[str, int]


@attrs.frozen
class SlowReport:
    """
    What a node measured of one incarnation of a backend server, as sent to peers.

    :param backend_id: the backend server.
    :param started_ms: Unix time of its start, in milliseconds.
    :param ratio_percent: measured over expected time relative to the median of all
        backend servers that the node measured, in percent.
    :param samples: number of measurements.
    :param age_ms: age of the newest one, in milliseconds.
    """

    backend_id: str
    started_ms: int
    ratio_percent: int
    samples: int
    age_ms: int


@attrs.frozen
class _Measurement:
    """
    What one node measured of one incarnation.

    :param ratio: measured over expected time; of peers, relative to their median.
    :param samples: number of samples since the last pause of ``VALID_S``.
    :param measured_s: time of the newest one; monotonic, in seconds.
    """

    ratio: float
    samples: int
    measured_s: float

    @property
    def counted_samples(self) -> int:
        return min(self.samples, MAX_NODE_SAMPLES)

    def is_valid(self, now: float) -> bool:
        return now - self.measured_s < VALID_S

    def weight(self, now: float) -> float:
        return self.counted_samples * 0.5 ** ((now - self.measured_s) / HALF_LIFE_S)

    def faded(self, now: float) -> float:
        """Return the ratio, which approaches 1 with its age."""
        share = 1.0 - max(0.0, now - self.measured_s) / VALID_S
        return 1.0 + (self.ratio - 1.0) * share


def _limit(ratio: float) -> float:
    return min(MAX_RATIO, max(1.0 / MAX_RATIO, ratio))


@attrs.define
class SlowReports:
    """
    What this node and its peers measured; times are monotonic, in seconds.

    A peer of an older build reports nothing. A new incarnation of a backend server
    starts without measurements.
    """

    # This node's measurements, the one of the longest ago first.
    _own: "collections.OrderedDict[Incarnation, _Measurement]" = attrs.field(
        factory=collections.OrderedDict
    )
    # Median of this node's ratios; 1 while it has measured too few backend servers.
    _baseline: float = 1.0
    # The peers' measurements by incarnation, and then by peer.
    _peers: dict[Incarnation, dict[str, _Measurement]] = attrs.field(factory=dict)
    # What each peer's newest update reported.
    _reported: dict[str, tuple[Incarnation, ...]] = attrs.field(factory=dict)

    def record(self, incarnation: Incarnation, ratio: float, now: float) -> None:
        """
        Record a measurement of this node.

        :param incarnation: id and start time of the backend server.
        :param ratio: measured over expected time to the first event.
        """
        sample = _limit(ratio)
        known = self._own.get(incarnation)
        if known is None or not known.is_valid(now):
            known = _Measurement(sample, 0, now)
        average = known.ratio + SAMPLE_WEIGHT * (sample - known.ratio)
        self._own[incarnation] = _Measurement(average, known.samples + 1, now)
        self._own.move_to_end(incarnation)
        self._drop_old(now)
        ratios = [m.ratio for m in self._own.values()]
        enough = len(ratios) >= MIN_BASELINE_SERVERS
        self._baseline = max(1.0, statistics.median(ratios)) if enough else 1.0

    def own_samples(self, incarnation: Incarnation, now: float) -> int:
        """Return how many valid samples this node has of an incarnation."""
        own = self._own.get(incarnation)
        return own.samples if own is not None and own.is_valid(now) else 0

    def reports(self, now: float) -> tuple[SlowReport, ...]:
        """Return what to report to peers, the newest measurement of slow ones first."""
        told = sorted(
            (
                (relative < SLOW_RATIO, -own.measured_s, incarnation, relative, own)
                for incarnation, own, relative in self._valid_own(now)
                if relative >= SLOW_RATIO or self._reported_slow(incarnation, now)
            ),
            key=lambda entry: entry[:3],
        )
        return tuple(
            SlowReport(
                *incarnation,
                round(100 * relative),
                own.counted_samples,
                int(1_000 * (now - own.measured_s)),
            )
            for _, _, incarnation, relative, own in told[:MAX_SLOW_REPORTS]
        )

    def merge(self, node: str, reports: Iterable[SlowReport], now: float) -> None:
        """
        Replace what a peer has reported.

        :param node: the peer's id.
        :param reports: all that its newest update reports.
        """
        self.remove(node)
        incarnations = []
        for report in tuple(reports)[:MAX_SLOW_REPORTS]:
            if report.samples <= 0 or report.ratio_percent <= 0:
                continue
            incarnation = (report.backend_id, report.started_ms)
            measured_s = now - max(0, report.age_ms) / 1_000
            self._peers.setdefault(incarnation, {})[node] = _Measurement(
                _limit(report.ratio_percent / 100), report.samples, measured_s
            )
            incarnations.append(incarnation)
        if incarnations:
            self._reported[node] = tuple(incarnations)

    def remove(self, node: str) -> None:
        """Remove a peer that is gone, with all that it reported."""
        for incarnation in self._reported.pop(node, ()):
            by_node = self._peers.get(incarnation, {})
            by_node.pop(node, None)
            if not by_node:
                self._peers.pop(incarnation, None)

    def ratio(
        self,
        incarnation: Incarnation,
        own_ratio: float,
        own_samples: int,
        now: float,
    ) -> float:
        """
        Return the ratio of measured to expected time that all nodes together found.

        :param incarnation: id and start time of the backend server.
        :param own_ratio: the moving average of this node.
        :param own_samples: number of this node's recent samples; see ``own_samples()``.
        :returns: ``own_ratio`` unless peers have measured it and the samples suffice.
        """
        by_node = self._peers.get(incarnation)
        if by_node is None:
            return own_ratio
        found = [m for m in by_node.values() if m.is_valid(now)]
        if not found:
            return own_ratio
        measured = [(m.faded(now), m.weight(now)) for m in found]
        samples = sum(m.counted_samples for m in found)
        own = self._own.get(incarnation)
        if own is not None and own_samples > 0:
            measured.append((own_ratio / self._baseline, own.weight(now)))
            samples += min(own_samples, MAX_NODE_SAMPLES)
        if len(measured) < MIN_NODES or samples < MIN_SAMPLES:
            return own_ratio
        return self._baseline * _weighted_median(measured)

    def _valid_own(
        self, now: float
    ) -> Iterator[tuple[Incarnation, _Measurement, float]]:
        for incarnation, own in self._own.items():
            if own.is_valid(now) and len(incarnation[0].encode()) <= MAX_ID_BYTES:
                yield incarnation, own, own.ratio / self._baseline

    def _reported_slow(self, incarnation: Incarnation, now: float) -> bool:
        return any(
            m.ratio >= SLOW_RATIO and m.is_valid(now)
            for m in self._peers.get(incarnation, {}).values()
        )

    def _drop_old(self, now: float) -> None:
        while self._own:
            incarnation, oldest = next(iter(self._own.items()))
            if oldest.is_valid(now) and len(self._own) <= MAX_MEASURED:
                return
            del self._own[incarnation]


def _weighted_median(measured: list[tuple[float, float]]) -> float:
    """Return the lower median of values by their weights."""
    values = sorted(measured)
    passed = itertools.accumulate(weight for _, weight in values)
    half = sum(weight for _, weight in values) / 2
    return next(
        (v for (v, _), p in zip(values, passed, strict=True) if p >= half),
        values[-1][0],
    )

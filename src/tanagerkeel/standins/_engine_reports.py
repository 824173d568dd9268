"""Load reports of a stand-in engine that are out of date on purpose."""

import collections

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.gateways.engines import LoadReport

__all__ = ["LaggedReports"]


@attrs.frozen
class _RecordedReport:
    recorded_s: float
    report: LoadReport


@attrs.define
class LaggedReports:
    """
    A history of load reports, from which an old one can be returned.

    :param clock: source of time.
    """

    _clock: Clock
    _history: collections.deque[_RecordedReport] = attrs.field(
        factory=collections.deque
    )

    def record(self, report: LoadReport, lag_s: float) -> None:
        """Add the current load, and drop reports older than ``lag_s`` needs."""
        now = self._clock.monotonic()
        self._history.append(_RecordedReport(now, report))
        while len(self._history) > 1 and self._history[1].recorded_s <= now - lag_s:
            self._history.popleft()

    def latest(self, lag_s: float) -> LoadReport:
        """Return the load as it was ``lag_s`` seconds ago, or the oldest known."""
        now = self._clock.monotonic()
        old = [r for r in self._history if r.recorded_s <= now - lag_s]
        recorded = old[-1] if old else self._history[0]
        age_s = max(lag_s if old else now - recorded.recorded_s, 0.0)
        return attrs.evolve(recorded.report, age_ms=int(age_s * 1_000))

    def clear(self) -> None:
        """Drop all reports, as a restart does."""
        self._history.clear()

"""Reports of a load run by class of prompts, and their tables."""

import collections
from collections.abc import Iterator

import attrs
from hdrh.histogram import HdrHistogram

__all__ = [
    "ClassReport",
    "Latency",
    "LoadReport",
    "ClassRecorder",
    "render_comparison",
    "render_table",
]

# Range of the histograms: 1 microsecond to 1 hour.
LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000


@attrs.frozen
class Latency:
    """
    Percentiles of a latency, in milliseconds, and the histogram behind them.

    :param count: number of recorded values.
    :param histogram: HDR histogram in microseconds, in its encoded text form.
    """

    count: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float
    histogram: str = attrs.field(default="", repr=False)


@attrs.frozen
class ClassReport:
    """
    Results of one class of prompts.

    :param name: name of the class in the workload.
    :param sent: number of requests sent.
    :param finished: number of complete answers received.
    :param results: number of requests without a complete answer, by result code,
        ``no answer`` or ``incomplete``.
    :param mismatched: number of complete answers with an unexpected text.
    :param first_token: from the planned time of sending to the first token.
    :param between_tokens: between successive tokens.
    :param whole: from the planned time of sending to the end of the answer.
    """

    name: str
    sent: int
    finished: int
    results: dict[str, int]
    mismatched: int
    first_token: Latency
    between_tokens: Latency
    whole: Latency


@attrs.frozen
class LoadReport:
    """
    Results of a load run.

    :param seed: the workload's seed.
    :param duration_s: how long requests were sent, in seconds.
    :param rate: planned mean of requests per second.
    :param late_ms: delays of sending against the planned times.
    :param classes: results of each class of prompts.
    :param finished_by_account: number of complete answers by client account.
    """

    seed: int
    duration_s: float
    rate: float
    late_ms: Latency
    classes: tuple[ClassReport, ...]
    finished_by_account: dict[str, int]


@attrs.define
class LatencyHistogram:
    """An HDR histogram of latencies, recorded in seconds."""

    _histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
    )

    def record(self, seconds: float) -> None:
        """Record a latency, raised to the lowest value the histogram holds."""
        self._histogram.record_value(max(LOWEST_US, round(seconds * US_PER_S)))

    def latency(self) -> Latency:
        """Return the percentiles and the encoded histogram."""
        inner = self._histogram

        def percentile_ms(percentile: float) -> float:
            return inner.get_value_at_percentile(percentile) / US_PER_MS

        return Latency(
            count=inner.get_total_count(),
            p50_ms=percentile_ms(50),
            p95_ms=percentile_ms(95),
            p99_ms=percentile_ms(99),
            max_ms=inner.get_max_value() / US_PER_MS,
            histogram=inner.encode().decode(),
        )


@attrs.define
class ClassRecorder:
    """
    Collects the results of one class during a run.

    :param name: name of the class in the workload.
    """

    name: str
    sent: int = 0
    finished: int = 0
    mismatched: int = 0
    results: collections.Counter[str] = attrs.field(factory=collections.Counter)
    first_token: LatencyHistogram = attrs.field(factory=LatencyHistogram)
    between_tokens: LatencyHistogram = attrs.field(factory=LatencyHistogram)
    whole: LatencyHistogram = attrs.field(factory=LatencyHistogram)

    def report(self) -> ClassReport:
        """Return the results so far."""
        return ClassReport(
            name=self.name,
            sent=self.sent,
            finished=self.finished,
            results=dict(sorted(self.results.items())),
            mismatched=self.mismatched,
            first_token=self.first_token.latency(),
            between_tokens=self.between_tokens.latency(),
            whole=self.whole.latency(),
        )


def render_table(report: LoadReport) -> str:
    """Return a report as a Markdown table."""
    return "\n".join(_table_lines(report)) + "\n"


def render_comparison(before: LoadReport, after: LoadReport) -> str:
    """Return a Markdown table of the classes that both reports hold."""
    return "\n".join(_comparison_lines(before, after)) + "\n"


def _table_lines(report: LoadReport) -> Iterator[str]:
    yield (
        "| class | sent | finished | others | first token p50/p95/p99 ms "
        "| between tokens p50/p95/p99 ms | whole p50/p95 ms |"
    )
    yield "| --- | --- | --- | --- | --- | --- | --- |"
    for class_report in report.classes:
        others = ", ".join(
            f"{code} {count}" for code, count in class_report.results.items()
        )
        first, between, whole = (
            class_report.first_token,
            class_report.between_tokens,
            class_report.whole,
        )
        yield (
            f"| {class_report.name} | {class_report.sent} "
            f"| {class_report.finished} | {others or '-'} "
            f"| {_format_percentiles(first)} | {_format_percentiles(between)} "
            f"| {whole.p50_ms:.0f}/{whole.p95_ms:.0f} |"
        )


def _comparison_lines(before: LoadReport, after: LoadReport) -> Iterator[str]:
    yield "| class | measure | before | after | ratio |"
    yield "| --- | --- | --- | --- | --- |"
    after_by_name = {class_report.name: class_report for class_report in after.classes}
    for old in before.classes:
        new = after_by_name.get(old.name)
        if new is None:
            continue
        yield _comparison_row(old.name, "finished", old.finished, new.finished)
        for measure in ("first_token", "between_tokens", "whole"):
            before_latency, after_latency = getattr(old, measure), getattr(new, measure)
            for percentile in ("p50_ms", "p95_ms", "p99_ms"):
                label = f"{measure.replace('_', ' ')} {percentile.replace('_', ' ')}"
                yield _comparison_row(
                    old.name,
                    label,
                    getattr(before_latency, percentile),
                    getattr(after_latency, percentile),
                )


def _comparison_row(
    name: str, label: str, before_value: float, after_value: float
) -> str:
    ratio = f"{after_value / before_value:.2f}" if before_value else "-"
    return f"| {name} | {label} | {before_value:.6g} | {after_value:.6g} | {ratio} |"


def _format_percentiles(latency: Latency) -> str:
    return f"{latency.p50_ms:.0f}/{latency.p95_ms:.0f}/{latency.p99_ms:.0f}"

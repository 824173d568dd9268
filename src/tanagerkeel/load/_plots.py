"""Plots of load reports; needs the ``plots`` extra (matplotlib)."""

import pathlib
from collections.abc import Iterable

from hdrh.histogram import HdrHistogram

from tanagerkeel.load._report import US_PER_MS, LoadReport

__all__ = ["draw_plots"]

PERCENTILES = (1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9)
SIZE_INCHES = (7.0, 4.0)
MEASURES = ("first_token", "between_tokens", "whole")


def draw_plots(
    reports: Iterable[tuple[str, LoadReport]], directory: pathlib.Path
) -> tuple[pathlib.Path, ...]:
    """
    Plot the latencies of reports against their percentiles.

    :param reports: pairs of a label and a report, which share the plots.
    :param directory: existing directory to write the PNG files to.
    :returns: paths of the files, one for each measure.
    """
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as pyplot

    labelled_reports = list(reports)
    files = []
    for measure in MEASURES:
        figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
        for label, report in labelled_reports:
            for class_report in report.classes:
                latency = getattr(class_report, measure)
                if latency.count:
                    values = _percentile_values_ms(latency.histogram)
                    axes.plot(
                        PERCENTILES,
                        values,
                        marker=".",
                        label=f"{label} {class_report.name}",
                    )
        axes.set_xlabel("percentile")
        axes.set_ylabel(f"{measure.replace('_', ' ')}, ms")
        axes.set_yscale("log")
        axes.grid(alpha=0.3)
        axes.legend()
        path = directory / f"{measure}.png"
        figure.tight_layout()
        figure.savefig(path)
        pyplot.close(figure)
        files.append(path)
    return tuple(files)


def _percentile_values_ms(histogram: str) -> list[float]:
    decoded = HdrHistogram.decode(histogram.encode())
    return [decoded.get_value_at_percentile(p) / US_PER_MS for p in PERCENTILES]

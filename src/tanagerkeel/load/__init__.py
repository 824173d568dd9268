"""Load generator: open-loop requests to entry nodes, and reports by prompt class."""

from tanagerkeel.load._arrivals import Arrival, arrivals, prompt_text
from tanagerkeel.load._driver import run_workload
from tanagerkeel.load._report import (
    ClassReport,
    LoadReport,
    render_comparison,
    render_table,
)
from tanagerkeel.load._workload import (
    LengthMix,
    LoadAccount,
    TimedFault,
    Workload,
    parse_workload,
)

__all__ = [
    "Arrival",
    "ClassReport",
    "LengthMix",
    "LoadAccount",
    "LoadReport",
    "TimedFault",
    "Workload",
    "arrivals",
    "render_comparison",
    "parse_workload",
    "prompt_text",
    "run_workload",
    "render_table",
]

"""``tanagerkeel-load``: sends workloads and compares reports."""

import asyncio
import pathlib
from typing import Annotated

import attrs
import typer

from tanagerkeel import codec
from tanagerkeel.cli._console import exit_on_error
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.load import (
    LoadReport,
    Workload,
    parse_workload,
    render_comparison,
    render_table,
    run_workload,
)

__all__ = ["main"]

app = typer.Typer(no_args_is_help=True, help="Send load to entry nodes.")

WorkloadArgument = Annotated[pathlib.Path, typer.Argument(help="Workload in JSON.")]
ReportArgument = Annotated[pathlib.Path, typer.Argument(help="Report in JSON.")]


@app.command("run")
def run_command(
    workload: WorkloadArgument,
    entry: Annotated[
        list[str] | None,
        typer.Option(help="IP:PORT of an entry node, in place of the workload's."),
    ] = None,
    output: Annotated[
        pathlib.Path | None, typer.Option(help="Write the report to this file.")
    ] = None,
) -> None:
    """Send a workload, print a table, and write the report as JSON."""
    planned = _read_workload(workload, entry)
    report = asyncio.run(run_workload(planned, lambda line: typer.echo(line, err=True)))
    typer.echo(render_table(report), nl=False)
    if output is not None:
        output.write_bytes(codec.encode(report))


@app.command()
def check(workload: WorkloadArgument) -> None:
    """Check a workload and print every problem with its path."""
    planned = _read_workload(workload, None)
    typer.echo(f"valid: about {planned.rate * planned.duration_s:.0f} requests")


@app.command("compare")
def compare_command(before: ReportArgument, after: ReportArgument) -> None:
    """Print two reports side by side."""
    typer.echo(render_comparison(_read_report(before), _read_report(after)), nl=False)


@app.command()
def report(
    reports: Annotated[list[pathlib.Path], typer.Argument(help="Reports in JSON.")],
    plots: Annotated[
        pathlib.Path | None, typer.Option(help="Write PNG plots to this directory.")
    ] = None,
) -> None:
    """Print reports as tables, and plot them when a directory is given."""
    labelled_reports = [(path.stem, _read_report(path)) for path in reports]
    for label, loaded in labelled_reports:
        typer.echo(f"{label}\n\n{render_table(loaded)}")
    if plots is not None:
        # Imported here since only this command needs the plotting library.
        from tanagerkeel.load._plots import draw_plots

        plots.mkdir(parents=True, exist_ok=True)
        for path in draw_plots(labelled_reports, plots):
            typer.echo(str(path))


def _read_workload(path: pathlib.Path, entries: list[str] | None) -> Workload:
    with exit_on_error():
        workload = parse_workload(_read(path))
    if entries:
        return attrs.evolve(workload, entries=tuple(entries))
    return workload


def _read_report(path: pathlib.Path) -> LoadReport:
    with exit_on_error():
        try:
            return codec.decode(_read(path), LoadReport)
        except codec.InvalidValue as error:
            raise TanagerkeelError(ResultCode.WORKLOAD_INVALID, str(error)) from error


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        raise TanagerkeelError(ResultCode.WORKLOAD_INVALID, str(error)) from error


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()

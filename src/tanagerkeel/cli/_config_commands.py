"""``tanagerkeel config``: print, check, compare and submit configurations."""

import json
import pathlib
from typing import Annotated

import typer

from tanagerkeel import codec
from tanagerkeel.cli._console import exit_on_error, open_submitter, run_async
from tanagerkeel.cli._submission import AcceptedSubmission
from tanagerkeel.configuration import Configuration, diff, parse, render
from tanagerkeel.errors import ResultCode, TanagerkeelError

__all__ = ["PlatformOption", "config", "print_accepted"]

config = typer.Typer(no_args_is_help=True, help="The fleet's configuration.")

FileArgument = Annotated[
    pathlib.Path,
    typer.Argument(help="JSON file with a configuration; - for standard input."),
]
PlatformOption = Annotated[
    str,
    typer.Option(help="IP:PORT of the platform.", envvar="TANAGERKEEL_PLATFORM"),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


@config.command("print")
def print_command(platform: PlatformOption) -> None:
    """Print the accepted configuration; its revision goes to standard error."""
    revision, configuration = run_async(_read_current(platform))
    typer.echo(f"revision {revision}", err=True)
    typer.echo(render(configuration), nl=False)


@config.command()
def check(file: FileArgument) -> None:
    """Check a configuration and print every problem with its path."""
    configuration = _read_file(file)
    typer.echo(
        f"valid: {len(configuration.client_accounts)} client accounts, "
        f"{len(configuration.models)} models, "
        f"{len(configuration.failure_domains)} failure domains, "
        f"{len(configuration.backend_servers)} backend servers"
    )


@config.command("diff")
def diff_command(
    file: FileArgument, platform: PlatformOption, as_json: JsonOption = False
) -> None:
    """Print how a configuration differs from the accepted one."""
    after = _read_file(file)
    revision, before = run_async(_read_current(platform))
    differences = diff(before, after)
    if as_json:
        output = {"revision": revision, "differences": codec.unstructure(differences)}
        typer.echo(json.dumps(output, indent=2))
        return
    typer.echo(f"against revision {revision}")
    for difference in differences:
        typer.echo(str(difference))


@config.command()
def submit(
    file: FileArgument,
    platform: PlatformOption,
    base: Annotated[
        int | None,
        typer.Option(
            help="The revision that was reviewed; refused if another is in force."
        ),
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Submit a configuration and wait until it is known to be accepted."""
    print_accepted(run_async(_submit(_read_file(file), platform, base)), as_json)


def print_accepted(accepted: AcceptedSubmission, as_json: bool) -> None:
    """Print the outcome of a submission."""
    if as_json:
        typer.echo(json.dumps(codec.unstructure(accepted)))
        return
    suffix = ", already replaced by a later one" if accepted.superseded else ""
    typer.echo(f"accepted, revision {accepted.revision}{suffix}")


async def _read_current(platform: str) -> tuple[int, Configuration]:
    async with open_submitter(platform) as submitter:
        return await submitter.current()


async def _submit(
    configuration: Configuration, platform: str, base: int | None
) -> AcceptedSubmission:
    async with open_submitter(platform) as submitter:
        return await submitter.submit(configuration, base)


def _read_file(file: pathlib.Path) -> Configuration:
    with exit_on_error():
        if str(file) == "-":
            return parse(typer.get_text_stream("stdin").read())
        try:
            data = file.read_bytes()
        except OSError as error:
            raise TanagerkeelError(
                ResultCode.CONFIGURATION_INVALID, str(error)
            ) from error
        return parse(data)

"""``tanagerkeel domain`` and ``backend``: change one failure domain or server."""

from collections.abc import Callable
from typing import Annotated

import attrs
import typer

from tanagerkeel.cli._config_commands import PlatformOption, print_accepted
from tanagerkeel.cli._console import open_submitter, run_async
from tanagerkeel.cli._submission import AcceptedSubmission
from tanagerkeel.configuration import Configuration
from tanagerkeel.errors import ResultCode, TanagerkeelError

__all__ = ["backend", "domain"]

domain = typer.Typer(no_args_is_help=True, help="Failure domains.")
backend = typer.Typer(no_args_is_help=True, help="Backend servers.")

NameArgument = Annotated[str, typer.Argument(help="Name in the configuration.")]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


@domain.command("out")
def domain_out(
    name: NameArgument, platform: PlatformOption, as_json: JsonOption = False
) -> None:
    """Take a failure domain out: no new work; running work finishes."""
    _edit(
        platform, as_json, lambda c: _set_fields(c, "failure_domains", name, out=True)
    )


@domain.command("in")
def domain_in(
    name: NameArgument, platform: PlatformOption, as_json: JsonOption = False
) -> None:
    """Put a failure domain back into service."""
    _edit(
        platform, as_json, lambda c: _set_fields(c, "failure_domains", name, out=False)
    )


@backend.command("leave")
def backend_leave(
    name: NameArgument, platform: PlatformOption, as_json: JsonOption = False
) -> None:
    """Take a backend server out: no new work; running work finishes."""
    _edit(
        platform,
        as_json,
        lambda c: _set_fields(c, "backend_servers", name, leaving=True),
    )


@backend.command("return")
def backend_return(
    name: NameArgument, platform: PlatformOption, as_json: JsonOption = False
) -> None:
    """Put a backend server back into service."""
    _edit(
        platform,
        as_json,
        lambda c: _set_fields(c, "backend_servers", name, leaving=False),
    )


def _edit(
    platform: str, as_json: bool, change: Callable[[Configuration], Configuration]
) -> None:
    async def edit() -> AcceptedSubmission:
        async with open_submitter(platform) as submitter:
            return await submitter.edit(change)

    print_accepted(run_async(edit()), as_json)


def _set_fields(
    configuration: Configuration, collection: str, name: str, **values: bool
) -> Configuration:
    items = getattr(configuration, collection)
    if all(item.name != name for item in items):
        raise TanagerkeelError(
            ResultCode.CONFIGURATION_INVALID, f"{collection} has no {name!r}"
        )
    changed = tuple(
        attrs.evolve(item, **values) if item.name == name else item for item in items
    )
    return attrs.evolve(configuration, **{collection: changed})

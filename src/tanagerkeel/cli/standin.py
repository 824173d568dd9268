"""``tanagerkeel-standin``: stand-ins for outside systems, and a demonstration."""

import asyncio
import contextlib
import pathlib
import signal
import sys
from typing import Annotated

import eliot
import typer

from tanagerkeel import codec
from tanagerkeel.addresses import split_address
from tanagerkeel.cli._demo import run_demo
from tanagerkeel.cli._demo_system import DemoPorts, DemoSystem
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.events import LogEvent, log
from tanagerkeel.standins import (
    EngineFaults,
    EngineProfile,
    EngineStandIn,
    PlatformFaults,
    PlatformStandIn,
    ServiceFaults,
    ServiceStandIn,
    StandIn,
    serve_standin,
)

__all__ = ["main"]

EXIT_BAD_OPTIONS = 2
DEFAULT_HOST = "127.0.0.1"

app = typer.Typer(no_args_is_help=True, help="Stand-ins for outside systems.")
ListenOption = Annotated[str, typer.Option(help="IP:PORT to listen on.")]
FaultsOption = Annotated[
    pathlib.Path | None,
    typer.Option(help="JSON file with the faults to set at the start."),
]
ProfileOption = Annotated[
    pathlib.Path | None,
    typer.Option(help="JSON file with the rates and sizes of the engine."),
]
VerboseOption = Annotated[
    bool, typer.Option("--verbose", help="Write the log to standard error.")
]
LogOption = Annotated[
    pathlib.Path | None, typer.Option("--log-file", help="Write the log to a file.")
]


@app.command()
def engine(
    listen: ListenOption,
    faults: FaultsOption = None,
    profile: ProfileOption = None,
    verbose: VerboseOption = False,
    log_file: LogOption = None,
) -> None:
    """Run a stand-in engine until interrupted."""
    _configure_logging(verbose, log_file)
    engine_profile = _read(profile, EngineProfile)
    standin = EngineStandIn(engine_profile, faults=_read(faults, EngineFaults))
    _run_standin(standin, "engine", listen)


@app.command()
def service(
    listen: ListenOption,
    faults: FaultsOption = None,
    verbose: VerboseOption = False,
    log_file: LogOption = None,
) -> None:
    """Run a stand-in plain service until interrupted."""
    _configure_logging(verbose, log_file)
    standin = ServiceStandIn(faults=_read(faults, ServiceFaults))
    _run_standin(standin, "service", listen)


@app.command()
def platform(
    listen: ListenOption,
    faults: FaultsOption = None,
    verbose: VerboseOption = False,
    log_file: LogOption = None,
) -> None:
    """Run a stand-in platform until interrupted."""
    _configure_logging(verbose, log_file)
    standin = PlatformStandIn(faults=_read(faults, PlatformFaults))
    _run_standin(standin, "platform", listen)


@app.command()
def demo(
    serve: Annotated[
        bool, typer.Option("--serve", help="Stay up and print calls to try.")
    ] = False,
    callers: Annotated[int, typer.Option(help="Port for callers.")] = 8080,
    operators: Annotated[int, typer.Option(help="Port for operators.")] = 8081,
    platform_port: Annotated[int, typer.Option(help="Port of the platform.")] = 9000,
    service_port: Annotated[int, typer.Option(help="Port of the service.")] = 9010,
    engine_ports: Annotated[
        int, typer.Option(help="Port of the first of three engines.")
    ] = 9001,
    verbose: VerboseOption = False,
    log_file: LogOption = None,
) -> None:
    """Run a small system in one process, send requests, and print the results."""
    _configure_logging(verbose, log_file)
    ports = DemoPorts(callers, operators, platform_port, service_port, engine_ports)
    try:
        if serve:
            asyncio.run(_serve_demo(ports))
            return
        passed = asyncio.run(run_demo())
    except TanagerkeelError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_BAD_OPTIONS)
    raise typer.Exit(0 if passed else 1)


def _configure_logging(verbose: bool, log_file: pathlib.Path | None) -> None:
    if log_file is not None:
        eliot.to_file(log_file.open("a"))
    if verbose:
        eliot.to_file(sys.stderr)


def _read(path: pathlib.Path | None, kind: type) -> object:
    if path is None:
        return kind()
    try:
        return codec.decode(path.read_bytes(), kind)
    except OSError as error:
        _exit_with_error(TanagerkeelError(ResultCode.SETTINGS_UNREADABLE, str(error)))
    except codec.InvalidValue as error:
        _exit_with_error(TanagerkeelError(ResultCode.SETTINGS_INVALID, str(error)))


def _run_standin(standin: StandIn, kind: str, listen: str) -> None:
    try:
        host, port = split_address(listen)
    except ValueError as error:
        _exit_with_error(
            TanagerkeelError(ResultCode.SETTINGS_INVALID, f"--listen: {error}")
        )
    try:
        asyncio.run(_serve(standin, kind, host, port))
    except TanagerkeelError as error:
        _exit_with_error(error)


def _exit_with_error(error: TanagerkeelError) -> None:
    typer.echo(str(error), err=True)
    raise typer.Exit(EXIT_BAD_OPTIONS)


async def _serve(standin: StandIn, kind: str, host: str, port: int) -> None:
    server = await serve_standin(standin, host, port)
    log(LogEvent.STANDIN_STARTED, kind=kind, address=server.address)
    typer.echo(f"{kind} stand-in listens on {server.address}")
    await _wait_for_signal()
    await server.stop(grace_s=0)


async def _serve_demo(ports: DemoPorts) -> None:
    async with DemoSystem.running(DEFAULT_HOST, ports) as system:
        typer.echo(system.example_commands())
        await _wait_for_signal()


async def _wait_for_signal() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        with contextlib.suppress(NotImplementedError):
            loop.add_signal_handler(number, stop.set)
    await stop.wait()


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()

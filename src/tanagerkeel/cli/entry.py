"""``tanagerkeel-entry``: runs one entry node."""

import asyncio
import gc
import os
import pathlib
import signal
import sys
from typing import Annotated

import eliot
import typer

from tanagerkeel.entry import EntryNode, EntrySettings, load_settings
from tanagerkeel.errors import TanagerkeelError

__all__ = ["main"]

EXIT_BAD_SETTINGS = 2
EXIT_SECOND_SIGNAL = 130


def main() -> None:
    """Run the command line."""
    typer.run(_run)


def _run(
    settings: Annotated[pathlib.Path, typer.Option(help="JSON file with settings.")],
) -> None:
    """Serve callers until SIGTERM, then drain; a second signal ends at once."""
    eliot.to_file(sys.stderr)
    try:
        asyncio.run(_serve(load_settings(settings)))
    except TanagerkeelError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(EXIT_BAD_SETTINGS)


async def _serve(settings: EntrySettings) -> None:
    node = EntryNode(settings)
    stop = asyncio.Event()

    def on_signal() -> None:
        if stop.is_set():
            # A second signal ends the process without waiting for running requests.
            os._exit(EXIT_SECOND_SIGNAL)
        stop.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await node.start()
    # Objects made at start-up live as long as the process. Freezing them keeps the
    # garbage collector from scanning them again, which would block the event loop.
    gc.collect()
    gc.freeze()
    await stop.wait()
    await node.stop()


if __name__ == "__main__":
    main()

"""Helpers shared by the commands: exit codes, errors, and calls to nodes."""

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator, Coroutine, Iterator
from typing import Any, TypeVar

import aiohttp
import typer

from tanagerkeel.cli._submission import Submitter
from tanagerkeel.clock import SystemClock
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.gateways.http_client import WholeResponse
from tanagerkeel.gateways.platform import HttpPlatformGateway

__all__ = ["ExitCode", "exit_on_error", "fetch", "open_submitter", "run_async"]

T = TypeVar("T")
FETCH_TIMEOUT_S = 5.0
HTTP_NOT_FOUND = 404


class ExitCode(enum.IntEnum):
    """Exit codes of the commands; ``docs/operators/commands.md`` explains them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6


_EXIT_CODES = {
    ResultCode.CONFIGURATION_INVALID: ExitCode.INVALID,
    ResultCode.SETTINGS_INVALID: ExitCode.INVALID,
    ResultCode.SETTINGS_UNREADABLE: ExitCode.INVALID,
    ResultCode.WORKLOAD_INVALID: ExitCode.INVALID,
    ResultCode.CONFIGURATION_CONFLICT: ExitCode.CONFLICT,
    ResultCode.PLATFORM_UNAVAILABLE: ExitCode.UNAVAILABLE,
    ResultCode.PEER_UNREACHABLE: ExitCode.UNAVAILABLE,
    ResultCode.SUBMISSION_UNKNOWN: ExitCode.UNKNOWN,
}


@contextlib.contextmanager
def exit_on_error() -> Iterator[None]:
    """Print a TanagerkeelError to standard error and exit with its exit code."""
    try:
        yield
    except TanagerkeelError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(_EXIT_CODES.get(error.result, ExitCode.FAILED))


def run_async(body: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine; a TanagerkeelError ends the command as in exit_on_error."""
    with exit_on_error():
        return asyncio.run(body)


@contextlib.asynccontextmanager
async def open_submitter(platform: str) -> AsyncIterator[Submitter]:
    """Yield a submitter for the platform at ``IP:PORT``."""
    async with aiohttp.ClientSession(response_class=WholeResponse) as session:
        yield Submitter(HttpPlatformGateway(session, platform), SystemClock())


async def fetch(address: str, path: str) -> bytes | None:
    """
    Return the body of a node's answer; None when the status is 404.

    :param address: ``IP:PORT`` of the node's operators' address.
    :param path: path of the request.
    :raises TanagerkeelError: PEER_UNREACHABLE when the node did not answer.
    """
    timeout = aiohttp.ClientTimeout(total=FETCH_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(
                timeout=timeout, response_class=WholeResponse
            ) as session,
            session.get(f"http://{address}{path}") as response,
        ):
            body = await response.read()
            return body if response.status != HTTP_NOT_FOUND else None
    except (TimeoutError, aiohttp.ClientError) as error:
        raise TanagerkeelError(
            ResultCode.PEER_UNREACHABLE, f"{address}: {error!r}"
        ) from error

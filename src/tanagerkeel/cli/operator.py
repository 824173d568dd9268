"""``tanagerkeel``: the commands of operators."""

import asyncio
import json
from typing import Annotated

import typer

from tanagerkeel import codec
from tanagerkeel.cli._config_commands import config
from tanagerkeel.cli._console import fetch, run_async
from tanagerkeel.cli._fleet_commands import backend, domain
from tanagerkeel.configuration import hash_key
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.gateways.callers import NodeStatus

__all__ = ["main"]

app = typer.Typer(no_args_is_help=True, help="Operate a tanagerkeel fleet.")
keys = typer.Typer(no_args_is_help=True, help="Bearer keys of client accounts.")
app.add_typer(config, name="config")
app.add_typer(domain, name="domain")
app.add_typer(backend, name="backend")
app.add_typer(keys, name="keys")

NodesOption = Annotated[
    list[str], typer.Option("--node", help="IP:PORT of a node's operators' address.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


@keys.command("hash")
def hash_command(
    key: Annotated[str, typer.Argument(help="The key; prompted for when absent.")] = "",
) -> None:
    """Print the digest of a bearer key for ``key_digests`` of the configuration."""
    typer.echo(hash_key(key or typer.prompt("key", hide_input=True)))


@app.command()
def status(node: NodesOption, as_json: JsonOption = False) -> None:
    """Print the configuration revision, members and backend servers of nodes."""
    statuses = run_async(_fetch_statuses(node))
    if as_json:
        typer.echo(json.dumps(codec.unstructure(statuses), indent=2))
        return
    for node_status in statuses:
        _print_status(node_status)


@app.command()
def explain(
    request_id: Annotated[str, typer.Argument(help="Id of the request.")],
    node: NodesOption,
) -> None:
    """Print how a request was handled, from the nodes that know it."""
    found = run_async(_fetch_explanations(node, request_id))
    for address, text in found.items():
        typer.echo(f"{address}:\n{text}")


async def _fetch_statuses(addresses: list[str]) -> tuple[NodeStatus, ...]:
    bodies = await asyncio.gather(*(fetch(a, "/status") for a in addresses))
    return tuple(
        codec.decode(body, NodeStatus, lenient=True) for body in bodies if body
    )


async def _fetch_explanations(addresses: list[str], request_id: str) -> dict[str, str]:
    bodies = await asyncio.gather(
        *(fetch(a, f"/explain/{request_id}") for a in addresses)
    )
    pairs = zip(addresses, bodies, strict=True)
    found = {address: body.decode() for address, body in pairs if body}
    if not found:
        raise TanagerkeelError(ResultCode.EXPLANATION_NOT_FOUND, request_id)
    return found


def _print_status(status: NodeStatus) -> None:
    ready = "ready" if status.ready else "not ready"
    typer.echo(
        f"{status.node_id} in {status.failure_domain}: {ready}, "
        f"configuration revision {status.revision}"
    )
    for member in status.members:
        typer.echo(f"  node {member}")
    for server in status.backends:
        ejected = ", ejected as slow" if server.ejected else ""
        typer.echo(
            f"  backend server {server.name}: {server.state}, "
            f"{server.running} running, {server.waiting_tokens} tokens waiting"
            f"{ejected}"
        )


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()

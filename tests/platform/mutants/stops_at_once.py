"""A node with an injected fault: it stops without finishing open requests."""

from tanagerkeel.gateways.http_server import HttpServer
from tests.platform.mutants.start import start

stop = HttpServer.stop


async def stop_at_once(server: HttpServer, timeout_s: float) -> None:
    """Stop a server within a moment, whatever it has begun."""
    await stop(server, 0.0)


HttpServer.stop = stop_at_once
start()

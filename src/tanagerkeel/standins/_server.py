"""Serves stand-ins over HTTP, and holds what their protocols share."""

from typing import Any, Protocol

import attrs
import falcon
import falcon.asgi

from tanagerkeel import codec
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.http_server import ABORT_EXTENSION, HttpServer

__all__ = [
    "FaultsResource",
    "StandIn",
    "abort_connection",
    "send_json",
    "serve_standin",
]


class StandIn(Protocol):
    """What :func:`serve_standin` needs from a stand-in."""

    def app(self) -> object:
        """Return the ASGI application."""

    def attach_server(self, server: HttpServer) -> None:
        """Set the server that a crash or an outage suspends."""


async def serve_standin(standin: StandIn, host: str, port: int) -> HttpServer:
    """
    Serve a stand-in; during a crash or an outage its connections are refused.

    :param standin: an engine, a plain service or a platform.
    :param host: IP address to listen on.
    :param port: port; 0 lets the system choose.
    """
    server = HttpServer(standin.app(), host, port)
    standin.attach_server(server)
    await server.start()
    return server


async def abort_connection(request: falcon.asgi.Request) -> None:
    """
    Abort the connection of a request without an answer.

    :raises falcon.HTTPServiceUnavailable: always, so that the responder ends.
    """
    await request.stream.exhaust()
    request.scope["extensions"][ABORT_EXTENSION]()
    raise falcon.HTTPServiceUnavailable()


def send_json(response: falcon.asgi.Response, value: object) -> None:
    """Set the body of ``response`` to a typed value as JSON."""
    response.content_type = falcon.MEDIA_JSON
    response.data = codec.encode(value)


@attrs.frozen
class FaultsResource:
    """
    ``GET /faults`` and ``PUT /faults`` of a stand-in.

    :param standin: the stand-in, with ``faults`` and ``async set_faults``.
    :param faults_type: attrs class of its faults.
    """

    _standin: Any
    _faults_type: type

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Send the faults in force."""
        send_json(response, self._standin.faults)

    async def on_put(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        """Replace the faults; absent fields get their defaults."""
        try:
            faults = codec.decode(await request.stream.read(), self._faults_type)
        except codec.InvalidValue as error:
            raise falcon.HTTPBadRequest(description=str(error))
        await self._standin.set_faults(faults)
        log(LogEvent.FAULTS_SET, kind=self._faults_type.__name__)
        send_json(response, faults)

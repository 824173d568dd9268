"""An HTTP server on uvicorn that runs inside the caller's event loop."""

import asyncio
import contextlib
import logging
import select
import socket
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import uvicorn
from eliot.stdlib import EliotHandler

from tanagerkeel.early_listener import BACKLOG, bind_tcp
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.gateways.client_limits import (
    ConnectionLimit,
    MemoryBudget,
    ProcessLimits,
    TurnedAway,
)
from tanagerkeel.gateways.client_protocol import ClientGate, ClientProtocol
from tanagerkeel.gateways.http_protocol import ABORT_EXTENSION, HeaderPolicy

__all__ = ["ABORT_EXTENSION", "HeaderPolicy", "HttpServer"]

# How many connections are accepted in one turn of the event loop. Those beyond the
# limit are closed in the next turns, and hold descriptors until then.
ACCEPTED_PER_TURN = 16
# Turns of the event loop in which connections that were accepted are set up, and in
# which a stopping server accepts those that wait.
SETUP_TURNS = 3
MAX_ACCEPT_TURNS = BACKLOG // ACCEPTED_PER_TURN
SERVER_LOGGER = logging.getLogger("uvicorn")
# Longest time between two requests on a connection.
KEEP_ALIVE_S = 30
MAX_CONNECTIONS = 10_000


def _log_through_eliot() -> None:
    if not SERVER_LOGGER.handlers:
        SERVER_LOGGER.addHandler(EliotHandler())
        SERVER_LOGGER.propagate = False


class _Server(uvicorn.Server):
    def __init__(self, config: uvicorn.Config, listening: socket.socket) -> None:
        super().__init__(config)
        self._listening = listening
        self._exit_requested = asyncio.Event()

    def request_exit(self, force: bool = False) -> None:
        """
        Stop serving.

        :param force: whether open connections are not waited for.
        """
        self.force_exit = self.force_exit or force
        self.should_exit = True
        self._exit_requested.set()

    async def main_loop(self) -> None:
        # uvicorn's own loop wakes ten times a second. A node has four servers, whose
        # wake-ups were nearly half of those of a node with a request a second.
        await self.on_tick(0)
        await self._exit_requested.wait()
        # Connections that wait to be accepted would be reset.
        for _ in range(MAX_ACCEPT_TURNS):
            if not _has_waiting_connections(self._listening):
                break
            await asyncio.sleep(0)
        for _ in range(SETUP_TURNS):
            await asyncio.sleep(0)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        # The process handles signals itself, once for all its servers.
        yield


@attrs.define
class HttpServer:
    """
    Serves one ASGI application on one address.

    :param application: called for each request.
    :param host: IP address to listen on.
    :param port: port to listen on; 0 lets the system choose.
    :param headers: limits on requests, and the responses to requests beyond them.
    :param listening: a socket that listens on the address already, if any.
    :param memory: budget for what clients send, shared by the servers of a process.
    :param max_connections: how many connections may be open.
    :param on_turned_away: called for each client that is turned away.
    """

    _application: Any
    _host: str
    _port: int
    _headers: HeaderPolicy = HeaderPolicy()
    _keep_alive_s: float = KEEP_ALIVE_S
    _server: _Server | None = None
    _tasks: list[asyncio.Task] = attrs.field(factory=list)
    _placeholder: socket.socket | None = None
    _listening: socket.socket | None = attrs.field(default=None, kw_only=True)
    _memory: MemoryBudget = attrs.field(
        factory=lambda: ProcessLimits().budget(), kw_only=True
    )
    _max_connections: int = attrs.field(default=MAX_CONNECTIONS, kw_only=True)
    _on_turned_away: Callable[[TurnedAway], None] = attrs.field(
        default=lambda cause: None, kw_only=True
    )
    _gate: ClientGate = attrs.field(init=False)

    @_gate.default
    def _make_gate(self) -> ClientGate:
        return ClientGate(
            self._headers,
            ConnectionLimit(self._max_connections),
            self._memory,
            self._on_turned_away,
        )

    @property
    def address(self) -> str:
        """The ``IP:PORT`` that the server listens on."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """
        Start listening and serving.

        :raises TanagerkeelError: ADDRESS_IN_USE if the address can't be bound.
        """
        _log_through_eliot()
        listening, self._listening = self._listening, None
        if listening is None:
            listening = _bind(self._host, self._port)
            listening.listen(BACKLOG)
        self._port = listening.getsockname()[1]
        config = uvicorn.Config(
            self._application,
            http=self._create_protocol,
            lifespan="off",
            access_log=False,
            log_config=None,
            timeout_keep_alive=self._keep_alive_s,
            date_header=False,
            proxy_headers=False,
            server_header=False,
            backlog=ACCEPTED_PER_TURN,
        )
        server = _Server(config, listening)
        task = asyncio.create_task(server.serve([listening]))
        self._server = server
        self._tasks.append(task)
        while not server.started and not task.done():
            await asyncio.sleep(0.001)
        if server.started and listening.fileno() >= 0:
            # The event loop has set the queue's length to what it accepts in a turn.
            listening.listen(BACKLOG)

    def set_limits(self, headers: HeaderPolicy, keep_alive_s: float) -> None:
        """
        Set the limits of new connections, and of open ones from their next request on.

        :param headers: limits on requests.
        :param keep_alive_s: longest time between two requests, in seconds.
        """
        self._gate.policy = headers
        self._keep_alive_s = keep_alive_s
        if self._server is not None:
            self._server.config.timeout_keep_alive = keep_alive_s
            for connection in list(self._server.server_state.connections):
                connection.set_limits(headers, keep_alive_s)

    def _create_protocol(self, **options: Any) -> ClientProtocol:
        return ClientProtocol(self._gate, **options)

    async def stop(self, grace_s: float | None = None) -> None:
        """
        Stop listening and wait until the open requests have ended.

        :param grace_s: cancel them after this time, in seconds; None waits for them
            without a limit.
        """
        self._release_placeholder()
        server, self._server = self._server, None
        if server is not None:
            server.config.timeout_graceful_shutdown = grace_s
            server.request_exit()
        await asyncio.gather(*self._tasks)
        self._tasks.clear()

    async def suspend(self) -> None:
        """Abort every connection and refuse new ones, as a crashed process does."""
        if self._server is None:
            return
        server, self._server = self._server, None
        for listener in server.servers:
            listener.close()
        for connection in list(server.server_state.connections):
            connection.transport.abort()
        # Keeps the port reserved while nothing listens on it.
        self._placeholder = _bind(self._host, self._port)
        server.request_exit(force=True)

    async def resume(self) -> None:
        """Serve again on the same port after :meth:`suspend`."""
        if self._placeholder is None:
            return
        self._release_placeholder()
        await self.start()

    def _release_placeholder(self) -> None:
        if self._placeholder is not None:
            self._placeholder.close()
            self._placeholder = None


def _has_waiting_connections(listening: socket.socket) -> bool:
    if listening.fileno() < 0:
        return False
    poller = select.poll()
    poller.register(listening, select.POLLIN)
    return bool(poller.poll(0))


def _bind(host: str, port: int) -> socket.socket:
    try:
        return bind_tcp(host, port)
    except OSError as error:
        raise TanagerkeelError(
            ResultCode.ADDRESS_IN_USE, f"{host}:{port}: {error.strerror}"
        ) from error

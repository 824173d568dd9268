"""The stand-in for a plain service whose operations must not run twice."""

import collections

import attrs
import falcon
import falcon.asgi
import xxhash

from tanagerkeel.clock import Clock, SystemClock
from tanagerkeel.gateways.http_server import HttpServer
from tanagerkeel.standins._faults import ServiceFaults
from tanagerkeel.standins._server import FaultsResource, abort_connection, send_json

__all__ = ["Execution", "ServiceStandIn"]

ATTEMPT_HEADER = "X-Attempt-Id"
IDEMPOTENCY_HEADER = "Idempotency-Key"
RAN_HEADER = "X-Ran"
OTHER_ATTEMPT_ID = "another-attempt"


@attrs.frozen
class Execution:
    """
    One execution of an operation, sent as its reply.

    :param operation: name of the operation.
    :param confirmation: number of the execution, from 1.
    :param body_digest: xxh64 of the request body, in hex.
    """

    operation: str
    confirmation: int
    body_digest: str


@attrs.define
class ServiceStandIn:
    """
    One instance of a plain service; it counts its executions.

    :param clock: source of time.
    :param faults: the faults in force; :meth:`set_faults` replaces them.
    :param executions_by_body: number of executions by request body.
    :param executions_by_key: number of executions by Idempotency-Key.
    """

    _clock: Clock = attrs.field(factory=SystemClock)
    _faults: ServiceFaults = ServiceFaults()
    _server: HttpServer | None = attrs.field(default=None, init=False)
    _last_execution_by_key: dict[str, Execution] = attrs.field(factory=dict, init=False)
    _last_confirmation: int = attrs.field(default=0, init=False)
    executions_by_body: collections.Counter[bytes] = attrs.field(
        factory=collections.Counter, init=False
    )
    executions_by_key: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )

    @property
    def faults(self) -> ServiceFaults:
        """The faults in force."""
        return self._faults

    def app(self) -> falcon.asgi.App:
        """Return the ASGI application that serves the operations."""
        app = falcon.asgi.App()
        app.add_route("/faults", FaultsResource(self, ServiceFaults))
        app.add_route("/executions", _Executions(self))
        app.add_route("/{operation}", _Operations(self))
        # No CancelOnDisconnect: an execution that has begun runs to its end, even
        # when its caller has closed the connection.
        return app

    def attach_server(self, server: HttpServer) -> None:
        """Set the server that a crash suspends."""
        self._server = server

    async def set_faults(self, faults: ServiceFaults) -> None:
        """Replace the faults."""
        self._faults = faults

    async def crash(self) -> None:
        """Abort every connection and refuse new ones until :meth:`restart`."""
        await self._server.suspend()

    async def restart(self) -> None:
        """Serve again after :meth:`crash`."""
        await self._server.resume()

    async def execute(self, operation: str, body: bytes, key: str) -> Execution:
        """Execute an operation; a service that deduplicates replays a known key."""
        if self._faults.deduplicates and key in self._last_execution_by_key:
            return self._last_execution_by_key[key]
        self._last_confirmation += 1
        self.executions_by_body[body] += 1
        if key:
            self.executions_by_key[key] += 1
        digest = xxhash.xxh64_hexdigest(body)
        execution = Execution(operation, self._last_confirmation, digest)
        # Stored before the wait, so that a duplicate that arrives during it is not
        # executed.
        self._last_execution_by_key[key] = execution
        if self._faults.delay_ms:
            await self._clock.sleep(self._faults.delay_ms / 1_000)
        return execution

    def consume_fault(self, fault: str) -> bool:
        """
        Return whether a fault with a count occurs now, and decrement its count.

        :param fault: name of a field of :class:`ServiceFaults`.
        """
        left = getattr(self._faults, fault)
        if left == 0:
            return False
        self._faults = attrs.evolve(self._faults, **{fault: left - 1})
        return True


@attrs.frozen
class _Operations:
    _service: ServiceStandIn

    async def on_post(
        self,
        request: falcon.asgi.Request,
        response: falcon.asgi.Response,
        operation: str,
    ) -> None:
        body = await request.stream.read()
        attempt_id = request.get_header(ATTEMPT_HEADER) or ""
        if self._service.consume_fault("crossed_replies"):
            attempt_id = OTHER_ATTEMPT_ID
        response.set_header(ATTEMPT_HEADER, attempt_id)
        if self._service.consume_fault("refusals"):
            response.status = falcon.HTTP_SERVICE_UNAVAILABLE
            response.set_header(RAN_HEADER, "no")
            response.text = "overloaded"
            return
        key = request.get_header(IDEMPOTENCY_HEADER) or ""
        execution = await self._service.execute(operation, body, key)
        if self._service.consume_fault("lost_replies"):
            await abort_connection(request)
        send_json(response, execution)


@attrs.frozen
class _Executions:
    _service: ServiceStandIn

    async def on_get(
        self, request: falcon.asgi.Request, response: falcon.asgi.Response
    ) -> None:
        send_json(response, dict(self._service.executions_by_key))

"""An entry node: starts and stops its servers and background tasks."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import attrs

from tanagerkeel.addresses import split_address
from tanagerkeel.clock import Clock, SystemClock
from tanagerkeel.configuration import Catalog, ConfigurationHolder
from tanagerkeel.entry._claims_task import Claims
from tanagerkeel.entry._configuration_task import ConfigurationTask
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._control import Control
from tanagerkeel.entry._domain_lease import DomainLease
from tanagerkeel.entry._explanations import ExplanationLog
from tanagerkeel.entry._forward_intake import ForwardIntake
from tanagerkeel.entry._forwarder import Forwarder
from tanagerkeel.entry._metrics import Metrics
from tanagerkeel.entry._model_runner import ModelRunner
from tanagerkeel.entry._observations import ObservationTask
from tanagerkeel.entry._orders_task import OrdersTask
from tanagerkeel.entry._permits_task import Permits
from tanagerkeel.entry._reaper_task import ReaperTask
from tanagerkeel.entry._service_runner import ServiceRunner
from tanagerkeel.entry._settings import EntrySettings
from tanagerkeel.entry._tracing import LogSpanExporter, Tracing
from tanagerkeel.errors import ResultCode, TanagerkeelError
from tanagerkeel.events import LogEvent, log
from tanagerkeel.fleet import (
    BackendSnapshot,
    FleetTable,
    PermitSource,
    UnlimitedPermits,
)
from tanagerkeel.gateways.callers import (
    BackendStatus,
    NodeStatus,
    header_policy,
    make_callers_app,
    make_operators_app,
)
from tanagerkeel.gateways.client_limits import MemoryBudget
from tanagerkeel.gateways.engines import EngineGateway, HttpEngineGateway
from tanagerkeel.gateways.forward import (
    ForwardedCall,
    ForwardedModelRequest,
    ForwardReply,
    ForwardSigner,
    ForwardVerifier,
    HttpForwardGateway,
    make_forward_app,
)
from tanagerkeel.gateways.http_client import WholeResponse
from tanagerkeel.gateways.http_server import HeaderPolicy, HttpServer
from tanagerkeel.gateways.peers import KeyRing, NngPeerBus, PeerCounters
from tanagerkeel.gateways.platform import HttpPlatformGateway
from tanagerkeel.gateways.services import HttpServiceGateway, ServiceReply
from tanagerkeel.membership import MembershipHolder, NodeInfo, View
from tanagerkeel.quarantine import Quarantine
from tanagerkeel.requests import AnswerChunk, ModelRequest, ServiceRequest
from tanagerkeel.routing import Router

__all__ = ["EntryNode"]

# Wait before a failed task is restarted; also the Retry-After without configuration.
RESTART_DELAY_S = 0.5
MS_PER_S = 1_000
# Shares of the descriptors for connections of callers, of other nodes that forward
# requests, and of operators. The rest is for outgoing ones.
CALLERS_SHARE = 0.625
FORWARDS_SHARE = 0.125
OPERATORS_SHARE = 0.03125
# Longest body that is read of operators.
MAX_OPERATORS_BODY_BYTES = 65_536


@attrs.define
class EntryNode:
    """
    One entry node, the handler of its HTTP applications.

    :param settings: the node's settings.
    :param clock: clock that all parts of the node use.
    """

    _settings: EntrySettings
    _clock: Clock = attrs.field(factory=SystemClock)
    _context: NodeContext | None = None
    _models: ModelRunner | None = None
    _services: ServiceRunner | None = None
    _metrics: Metrics = attrs.field(factory=Metrics)
    _client_memory: MemoryBudget = attrs.field(init=False)
    _callers: HttpServer | None = None
    _operators: HttpServer | None = None
    _bus: NngPeerBus | None = None
    _control: Control | None = None
    _forward: HttpServer | None = None
    _forwarder: Forwarder | None = None
    _intake: ForwardIntake | None = None
    _permits: Permits | None = None
    _lease: DomainLease | None = None
    _tasks: list[asyncio.Task] = attrs.field(factory=list)
    _session: aiohttp.ClientSession | None = None
    _stopping: bool = False

    @_client_memory.default
    def _make_client_memory(self) -> MemoryBudget:
        return self._settings.limits.process.budget()

    @property
    def callers_address(self) -> str:
        """The ``IP:PORT`` that callers connect to."""
        return self._callers.address

    @property
    def operators_address(self) -> str:
        """The ``IP:PORT`` that operators connect to."""
        return self._operators.address

    @property
    def context(self) -> NodeContext:
        """The node's gateways, state and instrumentation."""
        return self._context

    def catalog(self) -> Catalog:
        """
        Return the configuration in force.

        :raises TanagerkeelError: NO_CONFIGURATION.
        """
        current = self._context.configuration.current
        if current is None:
            raise TanagerkeelError(
                ResultCode.NO_CONFIGURATION, retry_after_s=RESTART_DELAY_S
            )
        return current

    def answer(self, request: ModelRequest) -> AsyncIterator[AnswerChunk]:
        """Yield the answer; its last chunk is an ``AnswerEnd``."""
        return self._forwarder.answer(request)

    async def call(self, request: ServiceRequest) -> ServiceReply:
        """Execute a call of a plain service."""
        return await self._forwarder.call(request)

    def answer_forwarded_model(
        self, forwarded: ForwardedModelRequest
    ) -> AsyncIterator[AnswerChunk]:
        """Yield the answer to a request that another failure domain forwarded."""
        return self._require_intake().answer(forwarded)

    async def answer_forwarded_call(self, forwarded: ForwardedCall) -> ForwardReply:
        """Execute a call that another failure domain forwarded."""
        return await self._require_intake().call(forwarded)

    def ready(self) -> bool:
        """Return whether the load balancer may send callers here."""
        return not self._stopping and self._context.configuration.current is not None

    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return self._context.metrics.exposition()

    def status(self) -> NodeStatus:
        """Return the node's view of nodes, backend servers and configuration."""
        context = self._context
        return NodeStatus(
            node_id=self._settings.node_id,
            failure_domain=self._settings.failure_domain,
            ready=self.ready(),
            revision=context.configuration.revision,
            members=tuple(n.node_id for n in context.members.view.nodes),
            backends=tuple(map(_status_of, context.fleet.snapshots(self._now()))),
        )

    def explain(self, request_id: str) -> str:
        """Return a text that describes how a request was handled."""
        return self._context.explanations.explain(request_id)

    async def start(self) -> None:
        """
        Start the servers and the background tasks.

        :raises TanagerkeelError: ADDRESS_IN_USE.
        """
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            auto_decompress=False,
            response_class=WholeResponse,
        )
        metrics = self._metrics
        if self._settings.control:
            self._bus = self._make_bus(metrics)
            await self._bus.start(self._settings.peers_listen)
            await self._start_forward()
        self._context = self._make_context(metrics)
        router = Router(self._context.fleet, self._context.random)
        self._models = ModelRunner(self._context, router)
        self._services = ServiceRunner(self._context)
        self._start_control()
        limits = self._settings.limits
        self._callers = self._make_server(
            make_callers_app(self, self._clock, limits.max_body_bytes),
            self._settings.callers_listen,
            CALLERS_SHARE,
            header_policy(limits.max_header_bytes, limits.max_body_bytes),
        )
        self._operators = self._make_server(
            make_operators_app(self),
            self._settings.operators_listen,
            OPERATORS_SHARE,
            HeaderPolicy(max_body_bytes=MAX_OPERATORS_BODY_BYTES),
        )
        await self._callers.start()
        await self._operators.start()
        self._start_tasks()
        log(
            LogEvent.ENTRY_STARTED,
            node_id=self._settings.node_id,
            callers=self.callers_address,
            operators=self.operators_address,
            peers=self._context.members.own.peers_address,
        )

    async def stop(self) -> None:
        """Finish all requests, then stop the background tasks and the servers."""
        self._stopping = True
        log(LogEvent.ENTRY_STOPPING, node_id=self._settings.node_id)
        if self._control is not None:
            await self._control.begin_stop()
        if self._permits is not None:
            await self._permits.hand_over()
        # The load balancer sends callers here until it next checks the readiness.
        await self._clock.sleep(self._settings.drain_delay_s)
        await self._callers.stop()
        if self._forward is not None:
            await self._forward.stop()
        await self._models.drain()
        await self._services.drain()
        await self._context.claims.drain()
        if self._control is not None:
            await self._control.end_stop()
        if self._lease is not None:
            await self._lease.end()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._operators.stop(grace_s=1)
        if self._bus is not None:
            await self._bus.stop()
        await self._session.close()
        log(LogEvent.ENTRY_STOPPED, node_id=self._settings.node_id)

    def _require_intake(self) -> ForwardIntake:
        if self._intake is None:
            raise TanagerkeelError(ResultCode.NO_CONFIGURATION)
        return self._intake

    async def _start_forward(self) -> None:
        limits = self._settings.limits
        verifier = ForwardVerifier(self._key_ring(), random.Random())
        app = make_forward_app(
            self, verifier, lambda: self._forward.address, limits.max_body_bytes
        )
        self._forward = self._make_server(
            app, self._settings.forward_listen, FORWARDS_SHARE
        )
        await self._forward.start()

    def _start_control(self) -> None:
        configuration = ConfigurationTask(self._context)
        self._spawn("configuration", configuration.run)
        domains = None
        gateway = None
        if self._settings.control:
            self._control = Control(self._context, configuration)
            domains = self._control.domains
            signer = ForwardSigner(
                self._settings.node_id, self._key_ring(), random.Random()
            )
            gateway = HttpForwardGateway(self._session, signer)
        self._forwarder = Forwarder(
            self._context, self._models, self._services, domains, gateway
        )
        self._intake = ForwardIntake(self._context, self._forwarder)

    def _key_ring(self) -> KeyRing:
        keys = self._settings.signing_keys
        secrets = {key.key_id: bytes.fromhex(key.secret) for key in keys}
        return KeyRing(secrets, keys[0].key_id)

    def _now(self) -> float:
        return self._clock.monotonic()

    def _make_bus(self, metrics: Metrics) -> NngPeerBus:
        counters = PeerCounters(
            metrics.peer_bytes, metrics.peer_messages, metrics.peer_dropped
        )
        return NngPeerBus(self._key_ring(), self._clock, random.Random(), counters)

    def _make_context(self, metrics: Metrics) -> NodeContext:
        settings = self._settings
        platform = HttpPlatformGateway(self._session, settings.platform)
        members = self._make_members()
        engines = HttpEngineGateway(self._session)
        configuration = ConfigurationHolder()
        fleet = FleetTable(settings.failure_domain)
        return NodeContext(
            settings=settings,
            clock=self._clock,
            random=random.Random(),
            engines=engines,
            services=HttpServiceGateway(self._session),
            platform=platform,
            configuration=configuration,
            fleet=fleet,
            members=members,
            permits=self._make_permits(fleet, engines, configuration, members),
            claims=Claims(platform, self._bus, members, self._clock),
            quarantine=Quarantine(),
            bus=self._bus,
            metrics=metrics,
            explanations=ExplanationLog(self._clock),
            tracing=Tracing(
                settings.node_id, LogSpanExporter() if settings.trace_log else None
            ),
        )

    def _make_permits(
        self,
        fleet: FleetTable,
        engines: EngineGateway,
        configuration: ConfigurationHolder,
        members: MembershipHolder,
    ) -> PermitSource:
        if self._bus is None:
            return UnlimitedPermits()
        self._permits = Permits(
            fleet, engines, configuration, self._bus, members, self._clock
        )
        return self._permits

    def _make_members(self) -> MembershipHolder:
        settings = self._settings
        own = NodeInfo(
            node_id=settings.node_id,
            failure_domain=settings.failure_domain,
            peers_address=self._bus.address if self._bus else settings.peers_listen,
            forward_address=(
                self._forward.address if self._forward else settings.forward_listen
            ),
            incarnation=int(self._clock.wall() * MS_PER_S),
        )
        return MembershipHolder(own, View((own,)))

    def _make_server(
        self,
        application: object,
        address: str,
        connections_share: float,
        policy: HeaderPolicy = HeaderPolicy(),  # noqa: B008 - immutable
    ) -> HttpServer:
        host, port = split_address(address)
        turned_away = self._metrics.clients_turned_away
        return HttpServer(
            application,
            host,
            port,
            policy,
            memory=self._client_memory,
            max_connections=self._settings.limits.process.connections(
                connections_share
            ),
            on_turned_away=lambda cause: turned_away.labels(cause.value).inc(),
        )

    def _start_tasks(self) -> None:
        context = self._context
        self._spawn("observations", ObservationTask(context).run)
        self._spawn("claims", context.claims.run)
        if self._permits is not None:
            self._spawn("permits", self._permits.run)
        if self._settings.control:
            self._start_orders(context)
        if self._control is not None:
            for name, run in self._control.tasks.items():
                self._spawn(name, run)

    def _start_orders(self, context: NodeContext) -> None:
        self._lease = DomainLease(context.platform, context.members, self._clock)
        self._spawn("lease", self._lease.run)
        self._spawn("orders", OrdersTask(context, self._lease).run)
        self._spawn("reaper", ReaperTask(context, self._lease).run)

    def _spawn(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        task = asyncio.create_task(_run_with_restarts(name, run), name=name)
        self._tasks.append(task)


def _status_of(snapshot: BackendSnapshot) -> BackendStatus:
    return BackendStatus(
        name=snapshot.server.name,
        state=snapshot.state.value,
        running=snapshot.running,
        waiting_tokens=int(snapshot.waiting_tokens),
        ejected=snapshot.ejected,
    )


async def _run_with_restarts(name: str, run: Callable[[], Awaitable[None]]) -> None:
    while True:
        try:
            await run()
        except Exception as error:  # a failed task is restarted
            log(LogEvent.TASK_FAILED, task=name, error=repr(error))
        await asyncio.sleep(RESTART_DELAY_S)

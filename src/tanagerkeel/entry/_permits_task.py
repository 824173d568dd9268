"""Acquires permits for this node, and grants those of some backend servers."""

import asyncio
import math
import uuid
from collections.abc import Coroutine

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.configuration import BackendServer, ConfigurationHolder
from tanagerkeel.entry._permit_messages import (
    PermitAnswer,
    ReleasePermit,
    RequestPermit,
    RequestShare,
    ReturnShare,
    ShareAnswer,
)
from tanagerkeel.events import LogEvent, log
from tanagerkeel.fleet import (
    BackendState,
    FleetTable,
    Grantor,
    Permit,
    PermitPolicy,
    SeenNodes,
    ShareLender,
    concurrency_limit,
)
from tanagerkeel.gateways.engines import BackendFailed, BackendRefused, EngineGateway
from tanagerkeel.gateways.peers import PeerBus, PeerUnreachable, Received
from tanagerkeel.membership import MembershipHolder, NodeInfo

__all__ = ["Permits"]

# Interval at which the shares and load of a managed backend server are refreshed.
REFRESH_INTERVAL_S = 0.5
SHARE_TIMEOUT_S = 0.5
# Delay of the load report after a release, so that one report covers several.
RECOUNT_DELAY_S = 0.02
# A backend server is no longer managed after this time without permit requests.
IDLE_TIMEOUT_S = 10.0
MAX_QUEUED_MESSAGES = 1_000
# A backend server that can take more requests at once needs no permits.
MAX_CONCURRENCY = 64


@attrs.define
class _ManagedBackend:
    """
    A backend server whose permits this node grants.

    :param grantor: counts its permits.
    :param limit: number of concurrent requests that it can take.
    :param warm_level: from its last load report, 0 to 1.
    :param requested_s: when a permit was last requested.
    :param refreshed_s: when the last refresh asked for its load report.
    """

    grantor: Grantor
    limit: int = 0
    warm_level: float = 0.0
    requested_s: float = 0.0
    refreshed_s: float = -math.inf
    refresh_task: asyncio.Task | None = None
    recount_task: asyncio.Task | None = None

    def cancel(self) -> None:
        """Cancel the tasks that run for it."""
        for task in (self.refresh_task, self.recount_task):
            if task is not None:
                task.cancel()


@attrs.define
class Permits:
    """
    Requests permits from grantors, and is the grantor of some backend servers.

    The grantor of a backend server is the node that rendezvous hashing ranks first
    among those that are not stopping.

    :param fleet: state of the backend servers.
    :param engines: calls to engines, for their load reports.
    :param configuration: the configuration in force.
    :param bus: messages between nodes.
    :param members: the node's view of which nodes are alive.
    :param clock: clock of the node.
    :param policy: lifetimes of permits and shares.
    """

    _fleet: FleetTable
    _engines: EngineGateway
    _configuration: ConfigurationHolder
    _bus: PeerBus
    _members: MembershipHolder
    _clock: Clock
    _policy: PermitPolicy = PermitPolicy()
    _started_s: float = attrs.field(init=False)
    _seen: SeenNodes = attrs.field(init=False)
    _lender: ShareLender = attrs.field(init=False)
    _managed: dict[str, _ManagedBackend] = attrs.field(factory=dict, init=False)
    _grantor_addresses: dict[str, str] = attrs.field(factory=dict, init=False)
    _inbox: "asyncio.Queue[Received]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_MESSAGES), init=False
    )
    _answer_tasks: set[asyncio.Task] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        self._started_s = self._clock.monotonic()
        self._seen = SeenNodes(self._policy)
        own = self._members.own.node_id
        self._lender = ShareLender(own, self._policy, self._seen, self._started_s)
        for cls in (RequestPermit, ReleasePermit, RequestShare, ReturnShare):
            self._bus.subscribe(cls, self._inbox)

    async def acquire(self, backend: str, timeout_s: float) -> Permit | None:
        """
        Return a permit, or None when the backend server can take no more requests now.

        :param backend: name of the backend server.
        :param timeout_s: maximum wait for the grantor's answer, in seconds.
        """
        # Counted from before the request, so that the permit expires here before it
        # expires at the grantor.
        expires_s = self._clock.monotonic() + self._policy.permit_ttl_s
        permit = Permit(uuid.uuid4().hex, backend, expires_s)
        grantor = self._grantor_of(backend)
        if grantor.node_id == self._members.own.node_id:
            granted = await self._try_grant(backend, permit.permit_id, timeout_s)
        else:
            granted = await self._request_permit(grantor, permit, timeout_s)
        if not granted or self._clock.monotonic() >= expires_s:
            return None
        self._grantor_addresses[permit.permit_id] = grantor.peers_address
        return permit

    async def release(self, permit: Permit) -> None:
        """Return a permit to its grantor when its request has ended."""
        address = self._grantor_addresses.pop(permit.permit_id, None)
        if address == self._members.own.peers_address:
            self._release(permit.backend, permit.permit_id)
        elif address is not None:
            message = ReleasePermit(permit.backend, permit.permit_id)
            await self._bus.send(address, message)

    async def run(self) -> None:
        """Answer messages and refresh managed backends until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._serve_messages())
                group.create_task(self._refresh_managed())
        finally:
            for managed in self._managed.values():
                managed.cancel()

    async def hand_over(self) -> None:
        """
        Stop granting permits, and return all shares.

        The next grantor then need not wait until the shares expire.
        """
        for backend, managed in self._managed.items():
            managed.grantor.drop_shares()
            for node in self._others():
                await self._bus.send(node.peers_address, ReturnShare(backend))
        self._managed.clear()

    def _grantor_of(self, backend: str) -> NodeInfo:
        ranked = self._members.view.ranked(f"grantor/{backend}")
        return next((n for n in ranked if not n.stopping), ranked[0])

    def _others(self) -> tuple[NodeInfo, ...]:
        own = self._members.own.node_id
        return tuple(n for n in self._members.view.nodes if n.node_id != own)

    def _server(self, backend: str) -> BackendServer | None:
        catalog = self._configuration.current
        return catalog.backends.get(backend) if catalog is not None else None

    async def _request_permit(
        self, grantor: NodeInfo, permit: Permit, timeout_s: float
    ) -> bool:
        request = RequestPermit(permit.backend, permit.permit_id)
        try:
            answer = await self._bus.call(
                grantor.peers_address, request, PermitAnswer, timeout_s
            )
        except PeerUnreachable:
            return False
        return answer.granted

    async def _try_grant(self, backend: str, permit_id: str, timeout_s: float) -> bool:
        server = self._server(backend)
        own = self._members.own.node_id
        if server is None or self._grantor_of(backend).node_id != own:
            return False
        managed = self._manage(backend)
        managed.requested_s = self._clock.monotonic()
        if managed.requested_s - managed.refreshed_s >= 2 * REFRESH_INTERVAL_S:
            await asyncio.wait(
                {self._start_refresh(server, managed)}, timeout=timeout_s
            )
        granted = managed.grantor.grant(
            permit_id, managed.limit, self._clock.monotonic()
        )
        event = LogEvent.PERMIT_GRANTED if granted else LogEvent.PERMIT_REFUSED
        log(event, backend=backend, permit_id=permit_id)
        return granted

    def _manage(self, backend: str) -> _ManagedBackend:
        managed = self._managed.get(backend)
        if managed is None:
            log(LogEvent.GRANTOR_CHANGED, backend=backend)
            managed = self._managed[backend] = _ManagedBackend(
                Grantor(self._policy, self._started_s)
            )
        return managed

    def _release(self, backend: str, permit_id: str) -> None:
        managed = self._managed.get(backend)
        server = self._server(backend)
        if managed is None or server is None:
            return
        managed.grantor.release(permit_id, self._clock.monotonic())
        # The freed permit is granted again only after a load report measured after
        # this release.
        if managed.recount_task is None or managed.recount_task.done():
            managed.recount_task = asyncio.create_task(self._recount(server, managed))

    async def _recount(self, server: BackendServer, managed: _ManagedBackend) -> None:
        await self._clock.sleep(RECOUNT_DELAY_S)
        await self._read_load(server, managed)

    def _start_refresh(
        self, server: BackendServer, managed: _ManagedBackend
    ) -> asyncio.Task:
        if managed.refresh_task is None or managed.refresh_task.done():
            managed.refresh_task = asyncio.create_task(self._refresh(server, managed))
        return managed.refresh_task

    async def _refresh(self, server: BackendServer, managed: _ManagedBackend) -> None:
        managed.limit = self._limit_of(server, managed)
        await asyncio.gather(
            self._borrow_own(server, managed),
            *(self._borrow(node, server, managed) for node in self._others()),
        )
        # Read after the shares: the report must not be older than they are.
        requested_s = self._clock.monotonic()
        await self._read_load(server, managed)
        managed.refreshed_s = requested_s

    def _limit_of(self, server: BackendServer, managed: _ManagedBackend) -> int:
        snapshots = self._fleet.snapshots(self._clock.monotonic())
        states = (s.state for s in snapshots if s.server.name == server.name)
        state = next(states, BackendState.UNKNOWN)
        return min(
            MAX_CONCURRENCY, concurrency_limit(server, state, managed.warm_level)
        )

    async def _read_load(self, server: BackendServer, managed: _ManagedBackend) -> None:
        requested_s = self._clock.monotonic()
        try:
            report = await self._engines.load_report(server.address)
        except (BackendFailed, BackendRefused):
            return
        measured_s = requested_s - report.age_ms / 1_000
        managed.grantor.record_report(report.running, measured_s)
        managed.warm_level = report.warm_level

    async def _borrow_own(
        self, server: BackendServer, managed: _ManagedBackend
    ) -> None:
        own = self._members.own.node_id
        now = self._clock.monotonic()
        grantor = self._grantor_of(server.name).node_id
        count = self._lender.lend(server.name, managed.limit, own, grantor, now)
        managed.grantor.record_share(own, count, now)

    async def _borrow(
        self, node: NodeInfo, server: BackendServer, managed: _ManagedBackend
    ) -> None:
        requested_s = self._clock.monotonic()
        request = RequestShare(server.name, managed.limit)
        try:
            answer = await self._bus.call(
                node.peers_address, request, ShareAnswer, SHARE_TIMEOUT_S
            )
        except PeerUnreachable:
            return
        managed.grantor.record_share(node.node_id, answer.count, requested_s)

    async def _refresh_managed(self) -> None:
        while True:
            now = self._clock.monotonic()
            names = tuple(n.node_id for n in self._members.view.nodes)
            self._seen.update(names, now)
            self._drop_lost_and_idle()
            for backend, managed in self._managed.items():
                server = self._server(backend)
                in_use = now - managed.requested_s < IDLE_TIMEOUT_S
                if in_use and now - managed.refreshed_s >= REFRESH_INTERVAL_S:
                    self._start_refresh(server, managed)
            await self._clock.sleep(REFRESH_INTERVAL_S / 2)

    def _drop_lost_and_idle(self) -> None:
        own = self._members.own.node_id
        oldest_s = self._clock.monotonic() - IDLE_TIMEOUT_S
        for backend, managed in tuple(self._managed.items()):
            if self._grantor_of(backend).node_id != own:
                # The grants stay: they still count if this node becomes the grantor
                # again.
                managed.grantor.drop_shares()
            if managed.requested_s < oldest_s:
                del self._managed[backend]

    async def _serve_messages(self) -> None:
        while True:
            received = await self._inbox.get()
            match received.message:
                case RequestPermit():
                    self._start_answer(self._answer_permit(received))
                case ReleasePermit(backend=backend, permit_id=permit_id):
                    self._release(backend, permit_id)
                case RequestShare():
                    await self._answer_share(received)
                case ReturnShare(backend=backend):
                    borrower = self._node_id_of(received.sender)
                    now = self._clock.monotonic()
                    self._lender.record_return(backend, borrower, now)

    def _start_answer(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._answer_tasks.add(task)
        task.add_done_callback(self._answer_tasks.discard)

    async def _answer_permit(self, received: Received[RequestPermit]) -> None:
        request = received.message
        granted = await self._try_grant(
            request.backend, request.permit_id, SHARE_TIMEOUT_S
        )
        await self._bus.reply(received, PermitAnswer(granted))

    async def _answer_share(self, received: Received[RequestShare]) -> None:
        request = received.message
        count = self._lender.lend(
            request.backend,
            request.limit,
            self._node_id_of(received.sender),
            self._grantor_of(request.backend).node_id,
            self._clock.monotonic(),
        )
        await self._bus.reply(received, ShareAnswer(count))

    def _node_id_of(self, address: str) -> str:
        nodes = self._members.view.nodes
        return next((n.node_id for n in nodes if n.peers_address == address), "")

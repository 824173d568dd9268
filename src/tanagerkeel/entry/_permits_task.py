"""Permits of this node, and the grantors that it is."""

import asyncio
import math
import uuid
from collections.abc import Coroutine

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.configuration import BackendServer, ConfigurationHolder
from tanagerkeel.entry._permit_messages import (
    PermitAnswer,
    PermitAsk,
    PermitRelease,
    ShareAnswer,
    ShareAsk,
    ShareReturn,
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

NEWS_S = 0.5
SHARE_TIMEOUT_S = 0.5
# Ends that come close together are counted at once.
RECOUNT_S = 0.02
DEMAND_S = 10.0
MAX_MESSAGES = 1_000
# A backend server that bears more needs no permits.
MAX_LIMIT = 64


@attrs.define
class _Seat:
    """One backend server that this node grants for."""

    grantor: Grantor
    limit: int = 0
    warm_level: float = 0.0
    asked_s: float = 0.0
    refreshed_s: float = -math.inf
    refreshing: asyncio.Task | None = None
    counting: asyncio.Task | None = None

    def cancel(self) -> None:
        """End what goes on for it."""
        for task in (self.refreshing, self.counting):
            if task is not None:
                task.cancel()


@attrs.define
class Permits:
    """
    Asks the grantor of a backend server, and is the grantor of some.

    :param fleet: what is known of the backend servers.
    :param engines: calls to engines.
    :param configuration: the configuration in force.
    :param bus: messages between nodes.
    :param members: the nodes believed to be alive.
    :param clock: source of time.
    :param policy: times of the permits.
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
    _seats: dict[str, _Seat] = attrs.field(factory=dict, init=False)
    _granted_by: dict[str, str] = attrs.field(factory=dict, init=False)
    _inbox: "asyncio.Queue[Received]" = attrs.field(
        factory=lambda: asyncio.Queue(MAX_MESSAGES), init=False
    )
    _answering: set[asyncio.Task] = attrs.field(factory=set, init=False)

    def __attrs_post_init__(self) -> None:
        self._started_s = self._clock.monotonic()
        self._seen = SeenNodes(self._policy)
        own = self._members.own.node_id
        self._lender = ShareLender(own, self._policy, self._seen, self._started_s)
        for cls in (PermitAsk, PermitRelease, ShareAsk, ShareReturn):
            self._bus.subscribe(cls, self._inbox)

    async def acquire(self, backend: str, timeout_s: float) -> Permit | None:
        """
        Return a permit, or None when the backend server bears no more now.

        :param backend: name of the backend server.
        :param timeout_s: longest wait for the grantor's answer, in seconds.
        """
        # Counted from before the question, so that it lapses here first.
        expires_s = self._clock.monotonic() + self._policy.permit_ttl_s
        permit = Permit(uuid.uuid4().hex, backend, expires_s)
        grantor = self._grantor_of(backend)
        if grantor.node_id == self._members.own.node_id:
            granted = await self._decide(backend, permit.permit_id, timeout_s)
        else:
            granted = await self._ask(grantor, permit, timeout_s)
        if not granted or self._clock.monotonic() >= expires_s:
            return None
        self._granted_by[permit.permit_id] = grantor.peers_address
        return permit

    async def release(self, permit: Permit) -> None:
        """Give a permit back when its request has ended."""
        address = self._granted_by.pop(permit.permit_id, None)
        if address == self._members.own.peers_address:
            self._release(permit.backend, permit.permit_id)
        elif address is not None:
            message = PermitRelease(permit.backend, permit.permit_id)
            await self._bus.send(address, message)

    async def run(self) -> None:
        """Serve until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._serve())
                group.create_task(self._watch_nodes())
        finally:
            for seat in self._seats.values():
                seat.cancel()

    async def hand_over(self) -> None:
        """Grant no more, so that the next grantor need not wait for long."""
        for backend, seat in self._seats.items():
            seat.grantor.drop_shares()
            for node in self._others():
                await self._bus.send(node.peers_address, ShareReturn(backend))
        self._seats.clear()

    def _grantor_of(self, backend: str) -> NodeInfo:
        ranked = self._members.view.ranked(f"grantor/{backend}")
        return next((n for n in ranked if not n.stopping), ranked[0])

    def _others(self) -> tuple[NodeInfo, ...]:
        own = self._members.own.node_id
        return tuple(n for n in self._members.view.nodes if n.node_id != own)

    def _server(self, backend: str) -> BackendServer | None:
        catalog = self._configuration.current
        return catalog.backends.get(backend) if catalog is not None else None

    async def _ask(self, grantor: NodeInfo, permit: Permit, timeout_s: float) -> bool:
        ask = PermitAsk(permit.backend, permit.permit_id)
        try:
            answer = await self._bus.call(
                grantor.peers_address, ask, PermitAnswer, timeout_s
            )
        except PeerUnreachable:
            return False
        return answer.granted

    async def _decide(self, backend: str, permit_id: str, timeout_s: float) -> bool:
        server = self._server(backend)
        own = self._members.own.node_id
        if server is None or self._grantor_of(backend).node_id != own:
            return False
        seat = self._seat(backend)
        seat.asked_s = self._clock.monotonic()
        if seat.asked_s - seat.refreshed_s >= 2 * NEWS_S:
            await asyncio.wait({self._refresh(server, seat)}, timeout=timeout_s)
        granted = seat.grantor.grant(permit_id, seat.limit, self._clock.monotonic())
        event = LogEvent.PERMIT_GRANTED if granted else LogEvent.PERMIT_REFUSED
        log(event, backend=backend, permit_id=permit_id)
        return granted

    def _seat(self, backend: str) -> _Seat:
        seat = self._seats.get(backend)
        if seat is None:
            log(LogEvent.GRANTOR_CHANGED, backend=backend)
            seat = self._seats[backend] = _Seat(Grantor(self._policy, self._started_s))
        return seat

    def _release(self, backend: str, permit_id: str) -> None:
        seat = self._seats.get(backend)
        server = self._server(backend)
        if seat is None or server is None:
            return
        seat.grantor.release(permit_id, self._clock.monotonic())
        # The next request waits for a report from after this end.
        if seat.counting is None or seat.counting.done():
            seat.counting = asyncio.create_task(self._count_again(server, seat))

    async def _count_again(self, server: BackendServer, seat: _Seat) -> None:
        await self._clock.sleep(RECOUNT_S)
        await self._load(server, seat)

    def _refresh(self, server: BackendServer, seat: _Seat) -> asyncio.Task:
        if seat.refreshing is None or seat.refreshing.done():
            seat.refreshing = asyncio.create_task(self._take_news(server, seat))
        return seat.refreshing

    async def _take_news(self, server: BackendServer, seat: _Seat) -> None:
        seat.limit = self._limit_of(server, seat)
        await asyncio.gather(
            self._borrow_own(server, seat),
            *(self._borrow(node, server, seat) for node in self._others()),
        )
        # After the shares: the report must not be older than they are.
        asked_s = self._clock.monotonic()
        await self._load(server, seat)
        seat.refreshed_s = asked_s

    def _limit_of(self, server: BackendServer, seat: _Seat) -> int:
        snapshots = self._fleet.snapshots(self._clock.monotonic())
        states = (s.state for s in snapshots if s.server.name == server.name)
        state = next(states, BackendState.UNKNOWN)
        return min(MAX_LIMIT, concurrency_limit(server, state, seat.warm_level))

    async def _load(self, server: BackendServer, seat: _Seat) -> None:
        asked_s = self._clock.monotonic()
        try:
            report = await self._engines.load_report(server.address)
        except (BackendFailed, BackendRefused):
            return
        measured_s = asked_s - report.age_ms / 1_000
        seat.grantor.record_report(report.running, measured_s)
        seat.warm_level = report.warm_level

    async def _borrow_own(self, server: BackendServer, seat: _Seat) -> None:
        own = self._members.own.node_id
        now = self._clock.monotonic()
        grantor = self._grantor_of(server.name).node_id
        count = self._lender.lend(server.name, seat.limit, own, grantor, now)
        seat.grantor.record_share(own, count, now)

    async def _borrow(self, node: NodeInfo, server: BackendServer, seat: _Seat) -> None:
        asked_s = self._clock.monotonic()
        ask = ShareAsk(server.name, seat.limit)
        try:
            answer = await self._bus.call(
                node.peers_address, ask, ShareAnswer, SHARE_TIMEOUT_S
            )
        except PeerUnreachable:
            return
        seat.grantor.record_share(node.node_id, answer.count, asked_s)

    async def _watch_nodes(self) -> None:
        while True:
            now = self._clock.monotonic()
            names = tuple(n.node_id for n in self._members.view.nodes)
            self._seen.update(names, now)
            self._drop_seats()
            for backend, seat in self._seats.items():
                server = self._server(backend)
                wanted = now - seat.asked_s < DEMAND_S
                if wanted and now - seat.refreshed_s >= NEWS_S:
                    self._refresh(server, seat)
            await self._clock.sleep(NEWS_S / 2)

    def _drop_seats(self) -> None:
        own = self._members.own.node_id
        oldest_s = self._clock.monotonic() - DEMAND_S
        for backend, seat in tuple(self._seats.items()):
            if self._grantor_of(backend).node_id != own:
                # What it granted a moment ago still counts if it comes back.
                seat.grantor.drop_shares()
            if seat.asked_s < oldest_s:
                del self._seats[backend]

    async def _serve(self) -> None:
        while True:
            received = await self._inbox.get()
            match received.message:
                case PermitAsk():
                    self._spawn(self._answer_permit(received))
                case PermitRelease(backend=backend, permit_id=permit_id):
                    self._release(backend, permit_id)
                case ShareAsk():
                    await self._answer_share(received)
                case ShareReturn(backend=backend):
                    borrower = self._node_id_of(received.sender)
                    now = self._clock.monotonic()
                    self._lender.record_return(backend, borrower, now)

    def _spawn(self, body: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(body)
        self._answering.add(task)
        task.add_done_callback(self._answering.discard)

    async def _answer_permit(self, received: Received[PermitAsk]) -> None:
        ask = received.message
        granted = await self._decide(ask.backend, ask.permit_id, SHARE_TIMEOUT_S)
        await self._bus.reply(received, PermitAnswer(granted))

    async def _answer_share(self, received: Received[ShareAsk]) -> None:
        ask = received.message
        count = self._lender.lend(
            ask.backend,
            ask.limit,
            self._node_id_of(received.sender),
            self._grantor_of(ask.backend).node_id,
            self._clock.monotonic(),
        )
        await self._bus.reply(received, ShareAnswer(count))

    def _node_id_of(self, address: str) -> str:
        nodes = self._members.view.nodes
        return next((n.node_id for n in nodes if n.peers_address == address), "")

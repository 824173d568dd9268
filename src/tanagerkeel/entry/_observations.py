"""Polls the load of engines, and shares it with other nodes in a byte budget."""

import asyncio

import attrs

from tanagerkeel import codec
from tanagerkeel.configuration import BackendKind, BackendServer
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.events import LogEvent, log
from tanagerkeel.fleet import (
    LoadUpdate,
    LoadUpdateReader,
    LoadUpdateWriter,
    MetadataQuery,
    backend_number,
)
from tanagerkeel.gateways.engines import BackendFailed, BackendRefused
from tanagerkeel.gateways.peers import Received
from tanagerkeel.gateways.platform import PlatformUnavailable
from tanagerkeel.membership import NodeInfo

__all__ = ["ByteBudget", "ObservationTask"]

LOOP_INTERVAL_S = 0.5
POLL_INTERVAL_S = 2.0
CACHE_POLL_INTERVAL_S = 5.0
VM_LIST_INTERVAL_S = 15.0
# Token bucket for the bytes of updates, counted over all receivers.
UPDATE_BYTES_PER_S = 400.0
UPDATE_BURST_BYTES = 4_000.0
# Signature, addresses and sequence numbers of each message.
MESSAGE_OVERHEAD_BYTES = 75
MAX_QUEUED_MESSAGES = 256
BACKEND_PURPOSE = "backend"


@attrs.define
class ByteBudget:
    """
    Token bucket that limits the bytes sent; times are monotonic, in seconds.

    :param bytes_per_s: average rate.
    :param burst_bytes: maximum unused bytes that accumulate.
    """

    _bytes_per_s: float
    _burst_bytes: float
    _balance: float = 0.0
    _refilled_s: float | None = None

    def may_send(self, now: float) -> bool:
        """Refill the budget, and return whether anything may be sent now."""
        if self._refilled_s is not None:
            earned = (now - self._refilled_s) * self._bytes_per_s
            self._balance = min(self._burst_bytes, self._balance + earned)
        self._refilled_s = now
        return self._balance >= 0.0

    def spend(self, size: int) -> None:
        """Deduct bytes that were sent; the last message may overdraw the budget."""
        self._balance -= size


@attrs.define
class ObservationTask:
    """
    Polls this node's engines, and exchanges load updates with the other nodes.

    Each engine is polled by one node of its failure domain, chosen by rendezvous
    hashing. The nodes read the platform's VM list in turn.

    :param context: the node's gateways and state.
    """

    _context: NodeContext
    _writer: LoadUpdateWriter = attrs.field(factory=LoadUpdateWriter)
    _reader: LoadUpdateReader = attrs.field(factory=LoadUpdateReader)
    _inbox: asyncio.Queue = attrs.field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_MESSAGES)
    )
    _budget: ByteBudget = attrs.field(
        factory=lambda: ByteBudget(UPDATE_BYTES_PER_S, UPDATE_BURST_BYTES)
    )
    _polled_s: dict[str, float] = attrs.field(factory=dict)
    _cache_polled_s: dict[str, float] = attrs.field(factory=dict)
    _polls: dict[str, asyncio.Task] = attrs.field(factory=dict)
    _synced_addresses: set[str] = attrs.field(factory=set)
    _vm_slot: int = -1

    def __attrs_post_init__(self) -> None:
        if self._context.bus is not None:
            self._context.bus.subscribe(LoadUpdate, self._inbox)
            self._context.bus.subscribe(MetadataQuery, self._inbox)

    async def run(self) -> None:
        """Poll engines and exchange updates until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._apply_configurations())
                group.create_task(self._poll_engines())
                group.create_task(self._receive_messages())
                group.create_task(self._run_vm_listing())
        finally:
            for poll in self._polls.values():
                poll.cancel()

    async def _apply_configurations(self) -> None:
        changes = self._context.configuration.subscribe()
        while True:
            self._context.fleet.configure(await changes.get())

    async def _poll_engines(self) -> None:
        while True:
            now = self._context.clock.monotonic()
            polled = self._polled_engines()
            self._writer.retain_only({backend_number(s.name) for s in polled})
            for server in polled:
                if (
                    now - self._polled_s.get(server.name, -POLL_INTERVAL_S)
                    >= POLL_INTERVAL_S
                ):
                    self._start_poll(server, now)
            await self._send_to_new_nodes()
            if self._budget.may_send(now):
                await self._broadcast(self._writer.take_changed(now))
            await self._context.clock.sleep(LOOP_INTERVAL_S)

    async def _send_to_new_nodes(self) -> None:
        if self._context.bus is None:
            return
        addresses = {n.peers_address for n in self._others()}
        for address in sorted(addresses - self._synced_addresses):
            await self._context.bus.send(address, self._writer.full_update())
        self._synced_addresses = addresses

    def _others(self) -> tuple[NodeInfo, ...]:
        nodes = self._context.members.view.nodes
        return tuple(n for n in nodes if n.node_id != self._own.node_id)

    def _polled_engines(self) -> tuple[BackendServer, ...]:
        return tuple(
            server
            for server in self._engines()
            if self._poller_of(server.name).node_id == self._own.node_id
        )

    @property
    def _own(self) -> NodeInfo:
        return self._context.members.own

    def _engines(self) -> tuple[BackendServer, ...]:
        return tuple(s for s in self._backends() if s.kind is BackendKind.ENGINE)

    def _backends(self) -> tuple[BackendServer, ...]:
        catalog = self._context.configuration.current
        if catalog is None:
            return ()
        return catalog.backends_in(self._context.settings.failure_domain)

    def _poller_of(self, name: str) -> NodeInfo:
        ranked = self._context.members.view.ranked(f"observe/{name}")
        return next((n for n in ranked if not n.stopping), ranked[0])

    def _start_poll(self, server: BackendServer, now: float) -> None:
        # Each poll runs as a task, so that an engine that hangs does not delay others.
        if server.name in self._polls:
            return
        self._polled_s[server.name] = now
        poll = asyncio.create_task(self._poll(server))
        self._polls[server.name] = poll
        poll.add_done_callback(lambda _: self._polls.pop(server.name, None))

    async def _poll(self, server: BackendServer) -> None:
        context = self._context
        number = backend_number(server.name)
        try:
            report = await context.engines.load_report(server.address)
        except (BackendFailed, BackendRefused) as error:
            log(LogEvent.BACKEND_UNREACHABLE, backend=server.name, error=error.reason)
            context.fleet.record_unreachable(server.name, context.clock.monotonic())
            self._writer.record_unreachable(number)
        else:
            self._record_report(server.name, report)
            self._writer.record_report(number, report)
        await self._broadcast(self._writer.take_immediate(context.clock.monotonic()))
        await self._poll_cache(server)

    def _record_report(self, name: str, report: object) -> None:
        fleet = self._context.fleet
        fleet.record_report(name, report, self._context.clock.monotonic())

    async def _poll_cache(self, server: BackendServer) -> None:
        # Not shared with other nodes: the events of one engine alone would exceed
        # the budget, and they only correct an estimate.
        context = self._context
        now = context.clock.monotonic()
        if (
            now - self._cache_polled_s.get(server.name, -CACHE_POLL_INTERVAL_S)
            < CACHE_POLL_INTERVAL_S
        ):
            return
        self._cache_polled_s[server.name] = now
        after = context.fleet.last_cache_sequence(server.name)
        try:
            batch = await context.engines.cache_events(server.address, after)
        except (BackendFailed, BackendRefused):
            # The next poll of its load finds out whether the engine is gone.
            return
        context.fleet.record_cache_events(server.name, batch, context.clock.monotonic())

    async def _broadcast(self, update: LoadUpdate | None) -> None:
        if update is None or self._context.bus is None:
            return
        others = self._others()
        size = MESSAGE_OVERHEAD_BYTES + len(codec.pack_compact(update))
        self._budget.spend(size * len(others))
        for node in others:
            await self._context.bus.send(node.peers_address, update)

    async def _receive_messages(self) -> None:
        while True:
            received = await self._inbox.get()
            match received.message:
                case LoadUpdate():
                    await self._apply_update(received)
                case MetadataQuery() as query:
                    answer = self._writer.answer(query)
                    await self._context.bus.send(received.sender, answer)

    async def _apply_update(self, received: Received[LoadUpdate]) -> None:
        context = self._context
        update = received.message
        names = {backend_number(s.name): s.name for s in self._backends()}
        reports, query = self._reader.read(received.sender, update)
        for item in reports:
            if item.backend in names:
                self._record_report(names[item.backend], item.report)
        for number in update.unreachable:
            if number in names:
                context.fleet.record_unreachable(
                    names[number], context.clock.monotonic()
                )
        self._mark_leaving(set(update.leaving) & names.keys(), names)
        if query is not None:
            await context.bus.send(received.sender, query)
        addresses = {n.peers_address for n in context.members.view.nodes}
        self._reader.retain_only(addresses | {received.sender})

    def _mark_leaving(self, numbers: set[int], names: dict[int, str]) -> None:
        for number in numbers:
            self._context.fleet.mark_leaving(names[number])

    async def _run_vm_listing(self) -> None:
        while True:
            await self._context.clock.sleep(LOOP_INTERVAL_S)
            slot = int(self._context.clock.wall() // VM_LIST_INTERVAL_S)
            if slot == self._vm_slot:
                continue
            self._vm_slot = slot
            # A different node reads the list each time, because it is as long as the
            # whole fleet.
            lister = self._context.members.view.ranked(f"vms/{slot}")[0]
            if lister == self._own:
                await self._list_vms()

    async def _list_vms(self) -> None:
        try:
            vms = await self._context.platform.list_vms()
        except PlatformUnavailable:
            # The presence task logs the outage.
            return
        leaving_hosts = {
            v.address for v in vms if v.leaving and v.purpose == BACKEND_PURPOSE
        }
        names = {backend_number(s.name): s.name for s in self._backends()}
        numbers = {
            backend_number(server.name)
            for server in self._backends()
            if server.address.rpartition(":")[0] in leaving_hosts
        }
        self._mark_leaving(numbers, names)
        if numbers:
            await self._broadcast(LoadUpdate(leaving=tuple(sorted(numbers))))

"""Probe other nodes, answer their probes, and maintain the membership view."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import attrs

from tanagerkeel.entry._context import NodeContext
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.peers import PeerUnreachable, Received
from tanagerkeel.membership import (
    Announcement,
    IndirectProbe,
    IndirectReply,
    MemberStatus,
    MemberUpdate,
    NodeInfo,
    Probe,
    ProbeReply,
    StateExchange,
    StateReply,
    Swim,
    SwimTiming,
    Usage,
    View,
)

__all__ = ["MembershipTask"]

MAX_QUEUED_MESSAGES = 256
INDIRECT_PROBERS = 2
# Interval at which seeds and dead nodes are contacted while other nodes are known.
REJOIN_INTERVAL_S = 5.0
# The whole state is exchanged once the views have differed for this time.
MAX_DISAGREEMENT_S = 3.0
EXCHANGE_TIMEOUT_S = 1.0
# Without contact for this time, the view counts as stale.
STALE_TIMEOUT_S = 10.0

_STATUS_EVENTS = {
    MemberStatus.ALIVE: LogEvent.MEMBER_JOINED,
    MemberStatus.SUSPECT: LogEvent.MEMBER_SUSPECTED,
    MemberStatus.DEAD: LogEvent.MEMBER_DEAD,
    MemberStatus.LEFT: LogEvent.MEMBER_LEFT,
}


def _no_usage() -> Usage:
    return Usage()


def _ignore(*arguments: object) -> None:
    return None


@attrs.define
class MembershipTask:
    """
    Runs the membership protocol of one node.

    :param context: the node's gateways and state.
    :param timing: intervals and timeouts of the protocol.
    :param usage: returns the usage of the heaviest client accounts, which each probe
        and its reply carry.
    :param on_usage: called with the id of another node and the usage it reports.
    :param on_revision: called with the address and the configuration revision of a
        node.
    """

    _context: NodeContext
    _timing: SwimTiming = SwimTiming()
    usage: Callable[[], Usage] = _no_usage
    on_usage: Callable[[str, Usage], None] = _ignore
    on_revision: Callable[[str, int], None] = _ignore
    _swim: Swim = attrs.field(init=False)
    _inbox: asyncio.Queue = attrs.field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_MESSAGES)
    )
    _seeds: set[str] = attrs.field(factory=set)
    _probes: set[asyncio.Task] = attrs.field(factory=set)
    # Monotonic times of the last contact with the platform or another node, and of the
    # last time at which the views agreed or the state was exchanged.
    _last_contact_s: float = attrs.field(init=False)
    _reconciled_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        context = self._context
        self._swim = Swim(context.members.own, context.random, self._timing)
        self._seeds = set(context.settings.peers)
        self._last_contact_s = context.clock.monotonic()
        for cls in (Probe, IndirectProbe, StateExchange, Announcement):
            context.bus.subscribe(cls, self._inbox)

    async def run(self) -> None:
        """Probe, answer and rejoin until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._answer_all())
            group.create_task(self._probe_all())
            group.create_task(self._rejoin_all())

    def record_contact(self) -> None:
        """Note that the platform or another node has just been in contact."""
        self._last_contact_s = self._context.clock.monotonic()

    def set_seeds(self, addresses: set[str]) -> None:
        """Set the addresses at which nodes of this failure domain may be reached."""
        self._seeds = addresses | set(self._context.settings.peers)

    async def announce_stopping(self) -> None:
        """Announce to every node directly that this one accepts no new work."""
        await self._announce(self._swim.mark_stopping())

    async def leave(self) -> None:
        """Announce to every node directly that this one leaves."""
        await self._announce(self._swim.leave())

    async def _announce(self, update: MemberUpdate) -> None:
        self._publish()
        for node in self._others():
            await self._context.bus.send(node.peers_address, Announcement((update,)))

    async def _probe_all(self) -> None:
        clock = self._context.clock
        while True:
            await clock.sleep(self._timing.period_s)
            self._swim.tick(clock.monotonic())
            self._publish()
            target = self._swim.next_target()
            if target is not None:
                self._spawn(self._probe(target))

    def _spawn(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    async def _probe(self, target: NodeInfo) -> None:
        if await self._probe_directly(target):
            return
        probers = self._swim.indirect_probers(target, INDIRECT_PROBERS)
        answers = await asyncio.gather(
            *(self._probe_through(prober, target) for prober in probers)
        )
        if not any(answers):
            now = self._context.clock.monotonic()
            suspicion = self._swim.record_probe_failure(target, now)
            self._publish()
            if suspicion is not None:
                announcement = Announcement((suspicion,))
                await self._context.bus.send(target.peers_address, announcement)

    async def _probe_directly(self, target: NodeInfo) -> bool:
        try:
            reply = await self._context.bus.call(
                target.peers_address,
                Probe(**self._gossip(target.node_id)),
                ProbeReply,
                self._timing.probe_timeout_s,
            )
        except PeerUnreachable:
            return False
        await self._receive_gossip(target.peers_address, reply)
        await self._reconcile(target, reply.digest)
        return True

    async def _probe_through(self, prober: NodeInfo, target: NodeInfo) -> bool:
        try:
            reply = await self._context.bus.call(
                prober.peers_address,
                IndirectProbe(target.peers_address),
                IndirectReply,
                self._timing.indirect_timeout_s,
            )
        except PeerUnreachable:
            return False
        return reply.alive

    async def _reconcile(self, target: NodeInfo, digest: int) -> None:
        # Updates may get lost; if the views still differ after a while, the whole state
        # is exchanged.
        now = self._context.clock.monotonic()
        if digest == self._context.members.view.digest:
            self._reconciled_s = now
        elif now - self._reconciled_s > MAX_DISAGREEMENT_S:
            self._reconciled_s = now
            await self._exchange(target.peers_address)

    async def _exchange(self, address: str) -> None:
        try:
            reply = await self._context.bus.call(
                address,
                StateExchange(self._swim.state()),
                StateReply,
                EXCHANGE_TIMEOUT_S,
            )
        except PeerUnreachable:
            return
        await self._receive_updates(reply.updates)

    async def _rejoin_all(self) -> None:
        context = self._context
        while True:
            for address in self._rejoin_addresses():
                await self._exchange(address)
            silent_s = context.clock.monotonic() - self._last_contact_s
            self._set_stale(silent_s > STALE_TIMEOUT_S)
            joined = len(context.members.view.nodes) > 1
            await context.clock.sleep(
                REJOIN_INTERVAL_S if joined else self._timing.period_s
            )

    def _rejoin_addresses(self) -> tuple[str, ...]:
        # One seed and one dead node at a time is enough to rejoin after a partition, at
        # little cost.
        known = {n.peers_address for n in self._context.members.view.nodes}
        seeds = sorted(self._seeds - known)
        dead = [n.peers_address for n in self._swim.dead_nodes()]
        choice = self._context.random.choice
        return tuple(choice(addresses) for addresses in (seeds, dead) if addresses)

    def _set_stale(self, stale: bool) -> None:
        members = self._context.members
        if stale and not members.stale:
            log(LogEvent.MEMBERSHIP_STALE, node_id=members.own.node_id)
        members.stale = stale

    async def _answer_all(self) -> None:
        while True:
            received = await self._inbox.get()
            match received.message:
                case Probe():
                    await self._answer_probe(received)
                case IndirectProbe():
                    self._spawn(self._answer_indirect(received))
                case StateExchange(updates=updates):
                    await self._receive_updates(updates)
                    state = StateReply(self._swim.state())
                    await self._context.bus.reply(received, state)
                case Announcement(updates=updates):
                    await self._receive_updates(updates)

    async def _answer_probe(self, received: Received[Probe]) -> None:
        await self._receive_gossip(received.sender, received.message)
        node = self._node_at(received.sender)
        reply = ProbeReply(**self._gossip(node.node_id if node else ""))
        await self._context.bus.reply(received, reply)

    async def _answer_indirect(self, received: Received[IndirectProbe]) -> None:
        alive = False
        with contextlib.suppress(PeerUnreachable):
            await self._context.bus.call(
                received.message.target,
                Probe(self._context.configuration.revision, 0),
                ProbeReply,
                self._timing.probe_timeout_s,
            )
            alive = True
        await self._context.bus.reply(received, IndirectReply(alive))

    def _gossip(self, target: str) -> dict[str, object]:
        return {
            "revision": self._context.configuration.revision,
            "digest": self._context.members.view.digest,
            "updates": self._swim.take_updates(target),
            "usage": self.usage(),
        }

    async def _receive_gossip(self, sender: str, gossip: Probe | ProbeReply) -> None:
        await self._receive_updates(gossip.updates)
        node = self._node_at(sender)
        if node is not None and gossip.digest:
            self._context.members.reported_digests[node.node_id] = gossip.digest
            self.on_usage(node.node_id, gossip.usage)
        self.on_revision(sender, gossip.revision)

    async def _receive_updates(self, updates: tuple[MemberUpdate, ...]) -> None:
        self.record_contact()
        self._swim.receive(updates, self._context.clock.monotonic())
        self._publish()
        refutation = self._swim.take_refutation()
        if refutation is not None:
            await self._announce(refutation)

    def _publish(self) -> None:
        members = self._context.members
        members.own = self._swim.own
        nodes = self._swim.view.nodes
        if nodes != members.view.nodes:
            members.view = View(nodes, members.view.remote_nodes)
            names = {node.node_id for node in nodes}
            members.reported_digests = {
                name: digest
                for name, digest in members.reported_digests.items()
                if name in names
            }
        for change in self._swim.take_changes():
            log(_STATUS_EVENTS[change.status], node_id=change.info.node_id)

    def _others(self) -> tuple[NodeInfo, ...]:
        members = self._context.members
        return tuple(n for n in members.view.nodes if n.node_id != members.own.node_id)

    def _node_at(self, address: str) -> NodeInfo | None:
        return next((n for n in self._others() if n.peers_address == address), None)

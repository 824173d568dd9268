"""Probe other nodes, answer their probes, and keep the view."""

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

QUEUE_MESSAGES = 256
INDIRECT_PROBERS = 2
REJOIN_S = 5.0
EXCHANGE_S = 3.0
EXCHANGE_TIMEOUT_S = 1.0
STALE_S = 10.0

_EVENTS = {
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
    :param timing: times of the protocol.
    :param usage: the heaviest client accounts to tell with each probe.
    :param on_usage: takes the id and heaviest client accounts of another node.
    :param on_revision: takes the address and configuration revision of a node.
    """

    _context: NodeContext
    _timing: SwimTiming = SwimTiming()
    usage: Callable[[], Usage] = _no_usage
    on_usage: Callable[[str, Usage], None] = _ignore
    on_revision: Callable[[str, int], None] = _ignore
    _swim: Swim = attrs.field(init=False)
    _inbox: asyncio.Queue = attrs.field(factory=lambda: asyncio.Queue(QUEUE_MESSAGES))
    _seeds: set[str] = attrs.field(factory=set)
    _probes: set[asyncio.Task] = attrs.field(factory=set)
    _heard_s: float = attrs.field(init=False)
    _exchanged_s: float = 0.0

    def __attrs_post_init__(self) -> None:
        context = self._context
        self._swim = Swim(context.members.own, context.random, self._timing)
        self._seeds = set(context.settings.peers)
        self._heard_s = context.clock.monotonic()
        for cls in (Probe, IndirectProbe, StateExchange, Announcement):
            context.bus.subscribe(cls, self._inbox)

    async def run(self) -> None:
        """Probe, answer and rejoin until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._answer_all())
            group.create_task(self._probe_all())
            group.create_task(self._rejoin_all())

    def heard(self) -> None:
        """Take in that the platform or another node was just heard."""
        self._heard_s = self._context.clock.monotonic()

    def learn_seeds(self, addresses: set[str]) -> None:
        """Take over where nodes of this failure domain may be found."""
        self._seeds = addresses | set(self._context.settings.peers)

    async def announce_stopping(self) -> None:
        """Tell every node at once that this one takes no new work."""
        await self._announce(self._swim.mark_stopping())

    async def leave(self) -> None:
        """Tell every node at once that this one goes away."""
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

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
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
                told = Announcement((suspicion,))
                await self._context.bus.send(target.peers_address, told)

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
        await self._take_gossip(target.peers_address, reply)
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
        # Deltas may get lost; what they don't settle soon is exchanged whole.
        now = self._context.clock.monotonic()
        if digest == self._context.members.view.digest:
            self._exchanged_s = now
        elif now - self._exchanged_s > EXCHANGE_S:
            self._exchanged_s = now
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
        await self._receive(reply.updates)

    async def _rejoin_all(self) -> None:
        context = self._context
        while True:
            for address in self._absent():
                await self._exchange(address)
            stale_s = context.clock.monotonic() - self._heard_s
            self._set_stale(stale_s > STALE_S)
            joined = len(context.members.view.nodes) > 1
            await context.clock.sleep(REJOIN_S if joined else self._timing.period_s)

    def _absent(self) -> tuple[str, ...]:
        # One seed and one dead node a turn: enough to heal, and it costs little.
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
                    await self._receive(updates)
                    state = StateReply(self._swim.state())
                    await self._context.bus.reply(received, state)
                case Announcement(updates=updates):
                    await self._receive(updates)

    async def _answer_probe(self, received: Received[Probe]) -> None:
        await self._take_gossip(received.sender, received.message)
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

    async def _take_gossip(self, sender: str, gossip: Probe | ProbeReply) -> None:
        await self._receive(gossip.updates)
        node = self._node_at(sender)
        if node is not None and gossip.digest:
            self._context.members.reported_digests[node.node_id] = gossip.digest
            self.on_usage(node.node_id, gossip.usage)
        self.on_revision(sender, gossip.revision)

    async def _receive(self, updates: tuple[MemberUpdate, ...]) -> None:
        self.heard()
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
            log(_EVENTS[change.status], node_id=change.info.node_id)

    def _others(self) -> tuple[NodeInfo, ...]:
        members = self._context.members
        return tuple(n for n in members.view.nodes if n.node_id != members.own.node_id)

    def _node_at(self, address: str) -> NodeInfo | None:
        return next((n for n in self._others() if n.peers_address == address), None)

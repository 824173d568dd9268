"""Failure detection and dissemination of updates, after the SWIM protocol."""

import math
import random

import attrs

from tanagerkeel.membership._messages import MemberStatus, MemberUpdate
from tanagerkeel.membership._view import NodeInfo, View

__all__ = ["Swim", "SwimTiming"]

# Each update is sent this many times log2 of the number of nodes.
SENDS_FACTOR = 2
MAX_UPDATES_PER_MESSAGE = 4
MAX_MEMBERS = 256


@attrs.frozen
class SwimTiming:
    """
    Timing of the protocol, in seconds.

    :param period_s: interval between two probes.
    :param probe_timeout_s: timeout of a direct probe.
    :param indirect_timeout_s: timeout of an indirect probe.
    :param suspicion_timeout_s: time that a suspected node has to refute the suspicion
        before it is declared dead.
    :param dead_retention_s: time after which a node that died or left is removed.
    :param pause_threshold_s: a longer gap between two ticks means that this process
        was paused.
    """

    period_s: float = 1.0
    probe_timeout_s: float = 0.5
    indirect_timeout_s: float = 1.0
    suspicion_timeout_s: float = 2.0
    dead_retention_s: float = 300.0
    pause_threshold_s: float = 2.5


@attrs.define
class _Member:
    update: MemberUpdate
    # Monotonic time of the last update, or of the end of a pause of this process.
    since_s: float


@attrs.define
class _Outgoing:
    update: MemberUpdate
    sends: int = 0


@attrs.define
class Swim:
    """
    One node's membership table of its failure domain; it does no I/O.

    Updates for one node are totally ordered, and the higher one takes precedence; so
    the order in which they arrive doesn't matter. Only a node itself raises its
    incarnation and update number, which is how it refutes that it is dead. Times are
    monotonic, in seconds.

    :param own: this node.
    :param random: chooses probe targets and nodes for indirect probes.
    :param timing: timing of the protocol.
    """

    _own: NodeInfo
    _random: random.Random
    _timing: SwimTiming = SwimTiming()
    _members: dict[str, _Member] = attrs.field(factory=dict)
    _probe_order: list[str] = attrs.field(factory=list)
    _outgoing: dict[str, _Outgoing] = attrs.field(factory=dict)
    _changes: list[MemberUpdate] = attrs.field(factory=list)
    _left: bool = False
    _refuted: bool = False
    _last_tick_s: float | None = None

    @property
    def own(self) -> NodeInfo:
        """This node as it is announced to others."""
        return self._own

    @property
    def view(self) -> View:
        """The nodes considered alive: this node, and the alive and suspected ones."""
        alive = [m.update.info for m in self._members.values() if _is_in_view(m)]
        return View(tuple(sorted([*alive, self._own])))

    def tick(self, now: float) -> None:
        """
        Declare overdue suspected nodes dead, and remove expired entries.

        Nodes that died or left are removed after ``dead_retention_s``.

        A process that was paused could not receive refutations in the meantime, so
        after a pause all these times start again.
        """
        before_s = self._last_tick_s
        self._last_tick_s = now
        if before_s is not None and now - before_s > self._timing.pause_threshold_s:
            for member in self._members.values():
                member.since_s = now
            return
        for name, member in tuple(self._members.items()):
            age_s = now - member.since_s
            match member.update.status:
                case MemberStatus.SUSPECT if age_s > self._timing.suspicion_timeout_s:
                    dead = attrs.evolve(member.update, status=MemberStatus.DEAD)
                    self._merge(dead, now)
                case MemberStatus.DEAD | MemberStatus.LEFT:
                    if age_s > self._timing.dead_retention_s:
                        del self._members[name]

    def next_target(self) -> NodeInfo | None:
        """Return the node to probe next, round-robin in a shuffled order, or None."""
        for _ in range(2):
            while self._probe_order:
                member = self._members.get(self._probe_order.pop())
                if member is not None and _is_in_view(member):
                    return member.update.info
            self._probe_order = [n for n, m in self._members.items() if _is_in_view(m)]
            self._random.shuffle(self._probe_order)
        return None

    def indirect_probers(self, target: NodeInfo, count: int) -> tuple[NodeInfo, ...]:
        """Return up to ``count`` random nodes to probe ``target`` indirectly."""
        others = [n for n in self.view.nodes if n not in (target, self._own)]
        return tuple(self._random.sample(others, min(count, len(others))))

    def dead_nodes(self) -> tuple[NodeInfo, ...]:
        """Return the nodes declared dead, which may only be behind a partition."""
        members = self._members.values()
        return tuple(
            m.update.info for m in members if m.update.status is MemberStatus.DEAD
        )

    def record_probe_failure(self, target: NodeInfo, now: float) -> MemberUpdate | None:
        """
        Record that a node answered neither a direct nor an indirect probe.

        :returns: the suspicion, to be sent to the node so that it can refute it at
            once; None when the node wasn't considered alive.
        """
        member = self._members.get(target.node_id)
        if member is None or member.update.status is not MemberStatus.ALIVE:
            return None
        suspect = attrs.evolve(member.update, status=MemberStatus.SUSPECT)
        self._merge(suspect, now)
        return suspect

    def receive(self, updates: tuple[MemberUpdate, ...], now: float) -> None:
        """Merge updates that another node has sent."""
        for update in updates:
            if update.info.failure_domain != self._own.failure_domain:
                continue
            if update.info.node_id == self._own.node_id:
                self._refute(update)
            else:
                self._merge(update, now)

    def take_updates(self, target: str = "") -> tuple[MemberUpdate, ...]:
        """
        Return the updates to piggyback on a message, and count them as sent.

        Those sent least often come first.

        :param target: id of the receiver; if this node considers it suspected, dead
            or left, the update that says so is always included, so that the receiver
            can refute it.
        """
        chosen = sorted(self._outgoing.values(), key=lambda o: o.sends)[
            :MAX_UPDATES_PER_MESSAGE
        ]
        limit = SENDS_FACTOR * math.ceil(math.log2(len(self._members) + 2))
        for outgoing in chosen:
            outgoing.sends += 1
            if outgoing.sends >= limit:
                del self._outgoing[outgoing.update.info.node_id]
        updates = tuple(outgoing.update for outgoing in chosen)
        member = self._members.get(target)
        if member is None or member.update.status is MemberStatus.ALIVE:
            return updates
        return updates if member.update in updates else (member.update, *updates)

    def state(self) -> tuple[MemberUpdate, ...]:
        """Return the latest update of every known node, this node included."""
        return (self._own_update(), *(m.update for m in self._members.values()))

    def mark_stopping(self) -> MemberUpdate:
        """Mark this node as accepting no new work, and return the update to send."""
        return self._update_own(attrs.evolve(self._own, stopping=True))

    def leave(self) -> MemberUpdate:
        """Mark this node as leaving on purpose, and return the update to send."""
        self._left = True
        return self._update_own(self._own)

    def take_changes(self) -> tuple[MemberUpdate, ...]:
        """Return the updates that changed a status since the last call."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def take_refutation(self) -> MemberUpdate | None:
        """Return a refutation to send to all nodes, once after each; else None."""
        refuted, self._refuted = self._refuted, False
        return self._own_update() if refuted else None

    def _own_update(self) -> MemberUpdate:
        status = MemberStatus.LEFT if self._left else MemberStatus.ALIVE
        return MemberUpdate(self._own, status)

    def _update_own(self, info: NodeInfo) -> MemberUpdate:
        self._own = attrs.evolve(info, update_number=info.update_number + 1)
        update = self._own_update()
        self._outgoing[self._own.node_id] = _Outgoing(update)
        return update

    def _refute(self, update: MemberUpdate) -> None:
        if update.precedence <= self._own_update().precedence:
            return
        # A higher incarnation than this node's is from an earlier start, before the
        # VM's clock was set back.
        info = update.info
        own_info = attrs.evolve(
            self._own, incarnation=info.incarnation, update_number=info.update_number
        )
        self._update_own(own_info)
        self._refuted = True

    def _merge(self, update: MemberUpdate, now: float) -> None:
        name = update.info.node_id
        member = self._members.get(name)
        if member is None:
            # A node that isn't in the table needs no entry once it is dead or has left.
            is_in_view = update.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
            if not is_in_view or len(self._members) >= MAX_MEMBERS:
                return
        elif update.precedence <= member.update.precedence:
            return
        self._members[name] = _Member(update, now)
        self._outgoing[name] = _Outgoing(update)
        if member is None or member.update.status is not update.status:
            self._changes.append(update)


def _is_in_view(member: _Member) -> bool:
    return member.update.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)

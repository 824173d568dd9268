"""
Sends the load of this failure domain's engines to nodes of others, and reads theirs.

It runs only where the settings count on many senders.
"""

import attrs

from tanagerkeel import codec
from tanagerkeel.events import LogEvent, log
from tanagerkeel.relay import (
    DomainLoad,
    EngineLoad,
    LoadIntervals,
    LoadSender,
    engine_loads,
    load_intervals,
    told_domains,
)
from tanagerkeel.relay_entry._peer_update_task import PeerUpdateTask
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["LOAD_KIND", "DomainLoadTask"]

# Number of the kind of datagrams.
LOAD_KIND = 5
# A node that wakes up later than this, in seconds, was stopped for a time, and first
# reads what has arrived meanwhile.
MAX_LATE_S = 0.25


@attrs.define(eq=False)
class DomainLoadTask:
    """
    Sends the summary of this failure domain while this node is the one to do so.

    :param state: the node's state.
    :param peer_updates: sends and receives the datagrams.
    """

    _state: RelayState
    _peer_updates: PeerUpdateTask
    _sender: LoadSender = attrs.field(init=False)
    _started_s: float = attrs.field(init=False)
    # When this node started; a later start has a higher number.
    _session: int = attrs.field(init=False)
    # When the next step is due, and the newest summary sent.
    _due_s: float = float("inf")
    _last: DomainLoad | None = None
    _last_s: float = float("-inf")
    _sends: bool = False

    def __attrs_post_init__(self) -> None:
        settings, clock = self._state.settings, self._state.clock
        self._started_s = clock.monotonic()
        self._session = int(clock.wall() * 1_000)
        self._sender = LoadSender(
            settings.node_id, settings.failure_domain, self._started_s
        )
        self._peer_updates.register_handler(LOAD_KIND, self._on_load)

    async def run(self) -> None:
        """Send summaries until cancelled."""
        while True:
            wait_s = self.step()
            self._due_s = self._state.clock.monotonic() + wait_s
            await self._state.clock.sleep(wait_s)

    def step(self) -> float:
        """Send a summary if one is due; return the time to the next step in seconds."""
        now = self._state.clock.monotonic()
        domains = self._state.peers.domains
        intervals = load_intervals(len(set(domains.values())))
        if not self._takes_part(domains):
            self._record_sends(False, 0, 0)
            return intervals.takeover_s
        if now - self._due_s > MAX_LATE_S:
            return intervals.busy_s
        own_domain = self._state.settings.failure_domain
        near = [node for node, domain in domains.items() if domain == own_domain]
        heard = 1 + sum(self._state.assignments.hears(node, now) for node in near)
        due_s = self._sender.due_s(near, heard, intervals.takeover_s, now)
        sends = due_s is not None and due_s <= now
        self._record_sends(sends, len(near), heard)
        if sends:
            self._send(intervals, heard, domains, now)
            return intervals.busy_s
        # Silence of the sender is noticed when it is due, other changes a little later.
        wait_s = intervals.takeover_s if due_s is None else due_s - now
        return min(intervals.takeover_s, max(intervals.busy_s, wait_s))

    def _takes_part(self, domains: dict[str, str]) -> bool:
        """Return whether the fleet is one in which summaries are sent."""
        nodes = len(self._state.peers.others) + 1
        others = set(domains.values()) - {self._state.settings.failure_domain}
        return bool(others) and self._state.settings.placement.many_senders(nodes)

    def _send(
        self,
        intervals: LoadIntervals,
        heard: int,
        domains: dict[str, str],
        now: float,
    ) -> None:
        load = DomainLoad.of(
            self._own_loads(now),
            self._session,
            int(1_000 * (now - self._started_s)),
            heard,
            int(1_000 * intervals.valid_s),
        )
        # The next step would be due half an interval too late.
        quiet_until_s = self._last_s + intervals.quiet_s - intervals.busy_s / 2
        if load.same_load(self._last) and now < quiet_until_s:
            return
        own_domain = self._state.settings.failure_domain
        told = told_domains(domains.values(), own_domain)
        others = self._state.peers.others
        far = [p for p in others if p.failure_domain in told]
        if self._peer_updates.send_to_each(far, LOAD_KIND, load):
            # One of these nodes sends when this one is silent.
            near = [p for p in others if p.failure_domain == own_domain]
            self._peer_updates.send_to_each(near, LOAD_KIND, load.without_engines)
            self._last, self._last_s = load, now

    def _own_loads(self, now: float) -> tuple[EngineLoad, ...]:
        configuration = self._state.configuration
        if configuration is None:
            return ()
        profiles = {s.name: s.engine for s in configuration.services if s.engine}
        own_domain = self._state.settings.failure_domain
        engines = (
            (record.server.backend_id, profiles[record.server.service])
            for record in self._state.backends
            if record.server.failure_domain == own_domain
            and record.server.service in profiles
        )
        return engine_loads(engines, self._state.assignments.by_backend(now), now)

    def _record_sends(self, sends: bool, nodes: int, heard: int) -> None:
        if sends != self._sends:
            self._sends = sends
            log(
                LogEvent.DOMAIN_LOAD_SENDER_CHANGED,
                sends=sends,
                nodes=nodes,
                heard=heard,
            )

    def _on_load(self, sender: str, payload: bytes) -> None:
        peer = self._state.peers.get(sender)
        if peer is None or not self._takes_part(self._state.peers.domains):
            return
        load = codec.unpack_compact(payload, DomainLoad)
        if not load.within_bounds:
            raise codec.InvalidValue(("a summary of a domain's load exceeds bounds",))
        now = self._state.clock.monotonic()
        loads = self._state.fleet_beliefs.domain_loads
        domain = peer.failure_domain
        if domain != self._state.settings.failure_domain:
            loads.merge(sender, domain, load, now)
            return
        delay_s = loads.take(sender, load, now)
        if delay_s is not None:
            self._sender.record(sender, load.heard, now - delay_s)

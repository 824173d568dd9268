"""What one node believes: configuration, backend servers, peers, running work."""

import asyncio
from collections.abc import Callable, Container

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.events import LogEvent, log
from tanagerkeel.quarantine import Quarantine
from tanagerkeel.relay import (
    PEER_SILENCE_S,
    BackendServer,
    BackendTable,
    CallerLimits,
    ColdShares,
    Ledger,
    Mishap,
    RelayConfiguration,
    RetryShare,
)
from tanagerkeel.relay_entry._facts import (
    BackendFact,
    BackendGoneFact,
    ConfigurationFact,
    DomainInFact,
    DomainOutFact,
    Fact,
)
from tanagerkeel.relay_entry._peers import PeerTable
from tanagerkeel.relay_entry._settings import RelaySettings

__all__ = ["RelayState"]

# A configuration counts as unconfirmed so long before the bound on revoked keys, in
# seconds. The bound runs to when a caller sends, which is before the node decides, so
# the margin covers only a difference in the pace of clocks.
CONFIRM_MARGIN_S = 0.2
# Weight of the newest answer in the usual time of a plain service.
USUAL_WEIGHT = 0.1
# Until a plain service has answered, in milliseconds.
USUAL_MS = 50.0


@attrs.define
class RelayState:
    """
    All that a node's decisions rest on.

    :param settings: the node's settings.
    :param clock: source of time.
    :param configuration: the configuration in force; None before the first.
    :param confirmed_s: boot time at which the platform last confirmed it.
    :param backends: the backend servers.
    :param peers: the other nodes.
    :param ledger: what runs where.
    :param quarantine: requests that bring down backend servers.
    :param stopping: whether the node is about to stop.
    :param on_limits: called with the bounds on callers that come into force.
    :param on_cut: called with a failure domain that is found to be cut off.
    :param on_long_work: called with the engines that begin to read long prompts.
    """

    settings: RelaySettings
    clock: Clock
    configuration: RelayConfiguration | None = None
    confirmed_s: float = float("-inf")
    backends: BackendTable = attrs.field(factory=BackendTable)
    ledger: Ledger = attrs.field(factory=Ledger)
    quarantine: Quarantine = attrs.field(factory=Quarantine)
    stopping: bool = False
    on_limits: Callable[[CallerLimits], None] | None = None
    on_cut: Callable[[str], None] | None = None
    on_long_work: Callable[[Container[str]], None] | None = None
    peers: PeerTable = attrs.field()
    cold_shares: ColdShares = attrs.field()
    _retry_shares: dict[str, RetryShare] = attrs.field(factory=dict)
    _usual_ms: dict[str, float] = attrs.field(factory=dict)
    # When each peer told of its retries, and how many of each service.
    _heard_retries: dict[str, tuple[float, dict[str, int]]] = attrs.field(factory=dict)
    _changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    # Failure domains that were found suspected or cut off, with the losses then.
    _domains_lost: dict[str, int] = attrs.field(factory=dict)
    _domains_cut: set[str] = attrs.field(factory=set)
    _look: asyncio.Event = attrs.field(factory=asyncio.Event)

    @peers.default
    def _no_peers(self) -> PeerTable:
        return PeerTable(self.settings.node_id)

    @cold_shares.default
    def _no_shares(self) -> ColdShares:
        return ColdShares(self.settings.node_id)

    @property
    def ready(self) -> bool:
        """Whether the balancer may send callers here."""
        return (
            not self.stopping
            and self.configuration is not None
            and self.confirmed
            and not self.cut_off
        )

    @property
    def cut_off(self) -> bool:
        """Whether no backend server of any service can be reached from here."""
        now = self.clock.monotonic()
        services = {b.server.service for b in self.backends}
        lost = [self.backends.out_of_reach(name, now) for name in services]
        return bool(lost) and all(lost)

    @property
    def confirmed_age_s(self) -> float:
        """Age of the platform's last word on the configuration, in seconds."""
        return self.clock.boottime() - self.confirmed_s

    @property
    def confirmed(self) -> bool:
        """Whether the keys in force are known well enough to let requests in."""
        bounds = self.settings.bounds
        if not bounds.strict_revoke:
            return True
        return self.confirmed_age_s < bounds.revoke_ms / 1_000 - CONFIRM_MARGIN_S

    def changed(self) -> None:
        """Wake whoever waits for a change of what runs or could run."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_changed(self, longest_s: float) -> None:
        """Wait for a change, at most so many seconds."""
        event = self._changed
        try:
            async with asyncio.timeout(longest_s):
                await event.wait()
        except TimeoutError:
            # Time has passed, which changes the estimates.
            return

    def take_retry(self, service: str) -> bool:
        """Count a send beyond a request's first, if the shared bound leaves one."""
        now = self.clock.monotonic()
        nodes = self.peers.sharing(now)
        heard = {
            node: retries.get(service, 0)
            for node, (heard_s, retries) in self._heard_retries.items()
            if now - heard_s <= PEER_SILENCE_S and node in nodes
        }
        return self.retry_share(service).take(now, len(nodes), heard)

    def heard_retries(self, node: str, retries: dict[str, int]) -> None:
        """Take in what a peer has used of the shared extra."""
        self._heard_retries[node] = (self.clock.monotonic(), retries)

    def used_retries(self) -> dict[str, int]:
        """Return what this node has used of the shared extra, by service."""
        now = self.clock.monotonic()
        used = {name: s.used_extra(now) for name, s in self._retry_shares.items()}
        return {name: count for name, count in used.items() if count}

    def retry_share(self, service: str) -> RetryShare:
        """Return this node's share of a service's retries."""
        share = self._retry_shares.get(service)
        if share is None:
            bounds = self.settings.bounds
            share = RetryShare(
                bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
            )
            self._retry_shares[service] = share
        return share

    def usual_ms(self, service: str) -> float:
        """Return how long a call of a plain service usually takes."""
        return self._usual_ms.get(service, USUAL_MS)

    def measured(self, service: str, took_ms: float) -> None:
        """Take in how long a call of a plain service took."""
        usual = self.usual_ms(service)
        self._usual_ms[service] = usual + USUAL_WEIGHT * (took_ms - usual)

    def learn(self, fact: Fact, revision: int) -> None:
        """
        Take in what the platform's store tells.

        :param fact: the decoded entry.
        :param revision: the store's revision of it.
        """
        match fact:
            case ConfigurationFact():
                self._adopt(fact.configuration, revision)
            case BackendFact():
                self._put_backend(fact.server, revision)
            case BackendGoneFact():
                if self.backends.remove(fact.backend_id, self.clock.monotonic()):
                    self._backend_gone(fact.backend_id, "its entry is gone")
            case DomainOutFact():
                if fact.failure_domain not in self.backends.domains_out:
                    log(LogEvent.DOMAIN_TAKEN_OUT, domain=fact.failure_domain)
                self.backends.take_domain_out(fact.failure_domain)
            case DomainInFact():
                self._take_domain_in(fact.failure_domain)
        self.changed()

    def keep_only(self, backend_ids: set[str], domains_out: set[str]) -> None:
        """Take in which backend servers and closed failure domains there are in all."""
        now = self.clock.monotonic()
        for name in self.backends.keep_only(backend_ids, now):
            self._backend_gone(name, "it is missing in the listing")
        for domain in self.backends.domains_out - domains_out:
            self._take_domain_in(domain)
        self.changed()

    def expire(self) -> None:
        """Drop backend servers whose entries stayed away after an outage."""
        for name in self.backends.expire(self.clock.monotonic()):
            self._backend_gone(name, "its entry did not come back")

    def failed(self, server: BackendServer, mishap: Mishap, request_id: str) -> None:
        """Take in that a send to a backend server failed."""
        now = self.clock.monotonic()
        belief = self.backends.get(server.backend_id)
        shunned = belief is not None and belief.shunned_until_s > now
        self.backends.failed(server, mishap, now)
        self._judge_reach(server.failure_domain, now)
        # A look at one that is shunned already changes nothing that is believed.
        if belief is not None and belief.shunned_until_s > now and not shunned:
            log(
                LogEvent.BACKEND_SHUNNED,
                request=request_id,
                backend=server.backend_id,
                reason=mishap.value,
                failures=belief.failures,
                for_s=round(belief.shunned_until_s - now, 2),
            )

    def told_gone(self, sender: str, backend_id: str) -> None:
        """
        Take in a peer's word that nothing listens at a backend server's address.

        It counts from a peer of this node's or the backend server's failure domain:
        between others there may be a cut that this node's way doesn't cross.
        """
        peer = self.peers.get(sender)
        belief = self.backends.get(backend_id)
        if peer is None or belief is None:
            return
        ways = (self.settings.failure_domain, belief.server.failure_domain)
        if peer.failure_domain in ways:
            self.backends.told_gone(backend_id, self.clock.monotonic())

    def heard(self, server: BackendServer) -> None:
        """Take in that bytes arrived from a backend server."""
        now = self.clock.monotonic()
        self.backends.heard(server, now)
        if server.failure_domain in self._domains_lost:
            self._judge_reach(server.failure_domain, now)

    def reached(self, server: BackendServer) -> None:
        """Take in that a connection to a backend server came up."""
        now = self.clock.monotonic()
        self.backends.reached(server, now)
        self._judge_reach(server.failure_domain, now)
        self.changed()

    @property
    def domains_lost(self) -> tuple[str, ...]:
        """Failure domains that may be cut off from here."""
        return tuple(self._domains_lost)

    async def wait_lost(self, longest_s: float) -> None:
        """Wait until another failure domain may be cut off, at most so many seconds."""
        self._look.clear()
        try:
            async with asyncio.timeout(longest_s):
                await self._look.wait()
        except TimeoutError:
            # It is time to look at what was lost before.
            return

    def _judge_reach(self, domain: str, now: float) -> None:
        before = self._domains_lost.get(domain, 0)
        losses = self.backends.domain_losses(domain, now)
        if not self.backends.domain_suspected(domain, now):
            self._domains_cut.discard(domain)
            if self._domains_lost.pop(domain, None) is not None:
                log(LogEvent.DOMAIN_REACHED, domain=domain)
            return
        self._domains_lost[domain] = losses
        if before == 0:
            log(LogEvent.DOMAIN_SUSPECTED, domain=domain, losses=losses)
            self._look.set()
        if not self.backends.domain_cut_off(domain, now):
            self._domains_cut.discard(domain)
            return
        if domain not in self._domains_cut:
            self._domains_cut.add(domain)
            log(LogEvent.DOMAIN_CUT_OFF, domain=domain, losses=losses)
        if before < losses and self.on_cut is not None:
            self.on_cut(domain)

    def _adopt(self, new: RelayConfiguration, revision: int) -> None:
        old = self.configuration
        if old is not None and new.version <= old.version:
            if new.version < old.version:
                log(
                    LogEvent.CONFIGURATION_OLDER_IGNORED,
                    version=new.version,
                    in_force=old.version,
                )
            return
        self.configuration = new
        if self.on_limits is not None and (old is None or old.limits != new.limits):
            self.on_limits(new.limits)
        log(
            LogEvent.CONFIGURATION_ADOPTED,
            version=new.version,
            before=old.version if old else None,
            revision=revision,
            routes=len(new.routes),
        )

    def _put_backend(self, server: BackendServer, revision: int) -> None:
        known = self.backends.get(server.backend_id)
        if not self.backends.put(server, revision, self.clock.monotonic()):
            return
        if known is not None and not known.server.same_life(server):
            self.quarantine.died(
                server.backend_id, self.clock.monotonic(), str(known.server.born_ms)
            )
        log(
            LogEvent.BACKEND_LEARNT,
            backend=server.backend_id,
            service=server.service,
            domain=server.failure_domain,
            state=server.state.value,
            cold_ms=server.cold_ms,
            born=server.born_ms,
            revision=revision,
        )

    def _backend_gone(self, backend_id: str, reason: str) -> None:
        log(LogEvent.BACKEND_GONE, backend=backend_id, reason=reason)
        self.cold_shares.forget(backend_id)

    def _take_domain_in(self, domain: str) -> None:
        if domain not in self.backends.domains_out:
            return
        services = self.configuration.services if self.configuration else ()
        cold_s = max((s.cold_s for s in services if s.cold_per_s), default=0.0)
        self.backends.take_domain_in(domain, self.clock.monotonic() + cold_s)
        log(LogEvent.DOMAIN_TAKEN_IN, domain=domain, cold_s=cold_s)

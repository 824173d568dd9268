"""State of one node: configuration, backend servers, peers and running work."""

import asyncio
import math
from collections.abc import Callable, Container, Iterable

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.events import LogEvent, log
from tanagerkeel.quarantine import Quarantine
from tanagerkeel.relay import (
    PEER_TIMEOUT_S,
    AssignmentTable,
    BackendRecord,
    BackendServer,
    BackendTable,
    CallerLimits,
    ColdStartLimiter,
    RateLimitTable,
    RelayConfiguration,
    ReplyHead,
    SectionQuarantine,
    SendFailure,
    SharedRetryBudget,
    UnstartedAttempts,
    parse_rate_limit,
    parse_retry_after,
)
from tanagerkeel.relay_entry._confirmation import ConfirmationRequests
from tanagerkeel.relay_entry._fleet_beliefs import FleetBeliefs
from tanagerkeel.relay_entry._peers import Peer, PeerReport, PeerTable
from tanagerkeel.relay_entry._settings import RelaySettings
from tanagerkeel.relay_entry._store_updates import (
    BackendRemoval,
    BackendUpdate,
    ConfigurationUpdate,
    DomainRestored,
    DomainTakenOut,
    StoreUpdate,
)

__all__ = ["RelayState"]

# Time between the moment at which a configuration counts as unconfirmed and the end of
# the bound on revoked keys or on older versions, in seconds. The bounds apply to when a
# caller sends, which is before the node decides, so the margin only has to cover clock
# drift.
CONFIRM_MARGIN_S = 0.2
# How long operators and backend servers take to write again what the store has lost, in
# seconds.
REWRITE_S = 2.0
# Weight of the newest call in the moving average of a plain service's call times.
CALL_TIME_WEIGHT = 0.1
# Assumed call time of a plain service that has not answered yet, in milliseconds.
INITIAL_CALL_MS = 50.0
# Status by which a backend server rejects a request, with an optional Retry-After.
UNAVAILABLE_STATUS = 503
# Limit of a header value in the log.
MAX_LOGGED_CHARACTERS = 80


@attrs.define
class RelayState:
    """
    The state on which a node's decisions depend.

    :param settings: the node's settings; replaced when they are reloaded.
    :param clock: source of time.
    :param configuration: the configuration in force; None before the first.
    :param confirmed_s: boot-clock time of the store's last confirmation of it, in
        seconds.
    :param confirmations: requests for a confirmation of it.
    :param backends: the backend servers, and which of them may get work.
    :param assignments: work that runs on backend servers, of this node and its peers.
    :param quarantine: requests that are suspected of crashing backend servers.
    :param unstarted: attempts of this node whose answers have not begun.
    :param rate_limits: limits on requests per second that backend servers name.
    :param section_quarantine: prompt sections that crash backend servers.
    :param informed: whether the node has asked its peers what they know of requests
        that crash backend servers, since it started.
    :param stopping: whether the node has begun to stop.
    :param refuse_waiting_s: monotonic time from which requests that still wait for a
        backend server are refused, in seconds: the node stops soon after.
    :param on_caller_limits: called with the limits on callers that come into force.
    :param on_domain_cut_off: called with a failure domain that is found to be cut off.
    :param on_long_prefill: called with the ids of engines to which a peer has just sent
        a long prompt.
    :param peers: the nodes whose keys are in the store.
    :param cold_limiter: limits this node's sends to cold backend servers.
    :param fleet_beliefs: what waits at peers, and which backend servers they find slow.
    :param change_count: how often tasks that wait for a change have been woken.
    """

    settings: RelaySettings
    clock: Clock
    configuration: RelayConfiguration | None = None
    confirmed_s: float = float("-inf")
    confirmations: ConfirmationRequests = attrs.field(factory=ConfirmationRequests)
    backends: BackendTable = attrs.field(factory=BackendTable)
    assignments: AssignmentTable = attrs.field(factory=AssignmentTable)
    quarantine: Quarantine = attrs.field()
    unstarted: UnstartedAttempts = attrs.field(factory=UnstartedAttempts)
    informed: bool = True
    stopping: bool = False
    refuse_waiting_s: float = float("inf")
    on_caller_limits: Callable[[CallerLimits], None] | None = None
    on_domain_cut_off: Callable[[str], None] | None = None
    on_long_prefill: Callable[[Container[str]], None] | None = None
    peers: PeerTable = attrs.field()
    cold_limiter: ColdStartLimiter = attrs.field()
    section_quarantine: SectionQuarantine = attrs.field()
    rate_limits: RateLimitTable = attrs.field()
    fleet_beliefs: FleetBeliefs = attrs.field()
    change_count: int = 0
    _retry_budgets: dict[str, SharedRetryBudget] = attrs.field(factory=dict)
    _average_call_ms: dict[str, float] = attrs.field(factory=dict)
    _peer_reports: dict[str, PeerReport] = attrs.field(factory=dict)
    # When any node of a failure domain was last heard, by the domain's name.
    _domain_heard_s: dict[str, float] = attrs.field(factory=dict)
    # Services of which each peer reaches no backend server.
    _peer_unreachable: dict[str, frozenset[str]] = attrs.field(factory=dict)
    # Incarnations whose Retry-After, or rate limit, could not be read.
    _unread_retry_after: set[tuple[str, int]] = attrs.field(factory=set)
    _unread_rate_limit: set[tuple[str, int]] = attrs.field(factory=set)
    _change_event: asyncio.Event = attrs.field(factory=asyncio.Event)
    # Boot-clock time at which the operator has written again what a copy of the store
    # lacked, in seconds.
    _rewritten_s: float = float("-inf")
    # Whether the next listing is the first one of a new era of the store.
    _copy_listed: bool = False
    # Failure domains that are out of service although that listing didn't say so.
    _missing_domains: set[str] = attrs.field(factory=set)
    # Failure domains that may be cut off, with their losses at the last change.
    _suspected_domains: dict[str, int] = attrs.field(factory=dict)
    _cut_off_domains: set[str] = attrs.field(factory=set)
    _domain_suspected_event: asyncio.Event = attrs.field(factory=asyncio.Event)

    @peers.default
    def _default_peers(self) -> PeerTable:
        return PeerTable(self.settings.node_id)

    @cold_limiter.default
    def _default_cold_limiter(self) -> ColdStartLimiter:
        return ColdStartLimiter(self.settings.node_id)

    @quarantine.default
    def _default_quarantine(self) -> Quarantine:
        return Quarantine(node_id=self.settings.node_id)

    @section_quarantine.default
    def _default_section_quarantine(self) -> SectionQuarantine:
        return SectionQuarantine(self.settings.node_id)

    @rate_limits.default
    def _default_rate_limits(self) -> RateLimitTable:
        return RateLimitTable(self.settings.node_id)

    @fleet_beliefs.default
    def _default_fleet_beliefs(self) -> FleetBeliefs:
        return FleetBeliefs(self.settings.node_id)

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send callers to this node."""
        return (
            not self.stopping
            and self.configuration is not None
            and self.confirmed
            and self.informed
            and not self.isolated
        )

    @property
    def isolated(self) -> bool:
        """Whether no backend server can be reached from here or by way of a peer."""
        services = {b.server.service for b in self.backends}
        unreachable = self.unreachable_services()
        return (
            bool(services)
            and len(unreachable) == len(services)
            and not any(map(self.peers_that_reach, services))
        )

    def unreachable_services(self) -> tuple[str, ...]:
        """Return the services of which this node reaches no backend server."""
        now = self.clock.monotonic()
        services = sorted({b.server.service for b in self.backends})
        return tuple(s for s in services if self.out_of_reach(s, now))

    def out_of_reach(self, service: str, now: float) -> bool:
        """Return whether this node can begin no request to a service."""
        return self.backends.service_unreachable(
            service, now
        ) or self.backends.new_connections_fail(service, now)

    def record_peer_reach(self, node: str, unreachable: Iterable[str]) -> None:
        """
        Record which backend servers a peer reaches.

        :param node: the peer's id.
        :param unreachable: services of which it reaches no backend server.
        """
        self._peer_unreachable[node] = frozenset(unreachable)

    def peers_that_reach(self, service: str) -> tuple[Peer, ...]:
        """Return the peers that take forwarded requests and reach a service."""
        now = self.clock.monotonic()
        return tuple(
            peer
            for peer in self.peers.others
            if peer.forward_address
            and self._hears(peer.node_id, now)
            and service not in self._peer_unreachable.get(peer.node_id, ())
        )

    def _hears(self, node: str, now: float) -> bool:
        """
        Return whether a peer's newest update is valid.

        In a large fleet, updates from other failure domains are valid for longer than
        a network partition may stay unnoticed: the nodes that share a limit would then
        count on peers that no longer hear them. So some node of the peer's failure
        domain must have been heard recently.
        """
        report = self._peer_reports.get(node)
        if report is None or now - report.received_s > report.valid_s:
            return False
        peer = self.peers.get(node)
        if peer is None:
            return now - report.received_s <= PEER_TIMEOUT_S
        domain = peer.failure_domain
        # A failure domain of few nodes is heard less often.
        timeout_s = report.valid_s / max(1, self.peers.domain_size(domain))
        heard_s = self._domain_heard_s.get(domain, report.received_s)
        return now - heard_s <= max(PEER_TIMEOUT_S, timeout_s)

    @property
    def confirmed_age_s(self) -> float:
        """Time since the store last confirmed the configuration, in seconds."""
        return self.clock.boottime() - self.confirmed_s

    @property
    def confirmed(self) -> bool:
        """Whether callers' keys were confirmed recently enough to admit requests."""
        bounds = self.settings.bounds
        if not bounds.strict_revoke:
            return True
        return self.confirmed_age_s < bounds.revoke_ms / 1_000 - CONFIRM_MARGIN_S

    @property
    def current(self) -> bool:
        """
        Whether the configuration was confirmed recently enough to refuse for good.

        Otherwise a newer version may have been in force for too long.
        """
        bound_s = self.settings.bounds.config_ms / 1_000
        return self.confirmed_age_s < bound_s - CONFIRM_MARGIN_S

    async def request_confirmation(self, max_wait_s: float) -> None:
        """
        Wait until the configuration is current, if the store can confirm it in time.

        :param max_wait_s: longest wait, in seconds.
        """
        if self.current or self.backends.store_unreachable:
            return
        if (self.confirmable_in_s or 0.0) < max_wait_s:
            await self.confirmations.request(max_wait_s)

    @property
    def confirmable_in_s(self) -> float | None:
        """
        Time until a confirmation counts again after the store's return from a copy.

        None if one has counted since then, in seconds otherwise.
        """
        if self.confirmed_s >= self._rewritten_s:
            return None
        return max(0.0, self._rewritten_s - self.clock.boottime())

    @property
    def confirmed_in_era(self) -> bool:
        """Whether a confirmation has counted in the store's current era."""
        return math.isfinite(self.confirmed_s) and self.confirmable_in_s is None

    def await_rewrite(self) -> None:
        """Let confirmations count only once the operator has had time to write."""
        self._rewritten_s = self.clock.boottime() + REWRITE_S

    def record_rewritten(self) -> None:
        """Record that this node has applied what the operator has written again."""
        self._rewritten_s = float("-inf")

    def record_confirmation(self, confirmed_s: float) -> None:
        """
        Record that the store confirmed the configuration in force.

        An older copy of the store may lack a revocation that this node has not read, so
        that confirmations count only once the operator has had time to write it again.

        :param confirmed_s: boot-clock time of the confirmation, in seconds.
        """
        if confirmed_s >= self._rewritten_s:
            self.confirmed_s = max(self.confirmed_s, confirmed_s)
            if self.current:
                self.confirmations.confirm()

    def notify_changed(self) -> None:
        """Wake the tasks that wait for a change of running work or of capacity."""
        self.change_count += 1
        self._change_event.set()
        self._change_event = asyncio.Event()

    async def wait_for_change(self, max_wait_s: float) -> None:
        """Wait for a change, at most ``max_wait_s`` seconds."""
        change = self._change_event
        try:
            async with asyncio.timeout(max_wait_s):
                await change.wait()
        except TimeoutError:
            # The callers estimate again in any case, as estimates depend on the time.
            return

    def acquire_retry(self, service: str) -> bool:
        """
        Count a retry of a service if its shared retry budget allows one more.

        :returns: whether the retry is allowed.
        """
        now = self.clock.monotonic()
        nodes = self.peers.possible_senders(now)
        possible = frozenset(nodes)
        reported = {
            node: report.retries.get(service, 0)
            for node, report in self._peer_reports.items()
            if node in possible and self._hears(node, now)
        }
        return self.retry_budget(service).try_acquire(now, len(nodes), reported)

    def record_peer_retries(
        self, node: str, retries: dict[str, int], valid_s: float = PEER_TIMEOUT_S
    ) -> None:
        """
        Record how much a peer has used of the extra of the shared retry budgets.

        :param node: the peer's id.
        :param retries: how many retries it has taken from the extra, by service.
        :param valid_s: time for which the report is valid, in seconds.
        """
        now = self.clock.monotonic()
        self._peer_reports[node] = PeerReport(now, valid_s, retries)
        peer = self.peers.get(node)
        if peer is not None:
            self._domain_heard_s[peer.failure_domain] = now

    def used_retry_extra(self) -> dict[str, int]:
        """Return how many retries this node has taken from the extra, by service."""
        now = self.clock.monotonic()
        used = {name: b.used_extra(now) for name, b in self._retry_budgets.items()}
        return {name: count for name, count in used.items() if count}

    def retry_budget(self, service: str) -> SharedRetryBudget:
        """Return the retry budget of a service, creating it if needed."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = SharedRetryBudget(
                bounds.retry_ratio, bounds.retry_extra, bounds.retry_window_s
            )
            self._retry_budgets[service] = budget
        return budget

    def average_call_ms(self, service: str) -> float:
        """Return the moving average of a plain service's call times."""
        return self._average_call_ms.get(service, INITIAL_CALL_MS)

    def record_call_time(self, service: str, took_ms: float) -> None:
        """Add the time of a call of a plain service to its moving average."""
        average = self.average_call_ms(service)
        self._average_call_ms[service] = average + CALL_TIME_WEIGHT * (
            took_ms - average
        )

    def apply(self, update: StoreUpdate, revision: int, source: str = "store") -> None:
        """
        Apply a change of the platform's store.

        :param update: the decoded change.
        :param revision: the store's revision of the change.
        :param source: the way by which this node got to know, for the log.
        """
        match update:
            case ConfigurationUpdate():
                self._adopt_configuration(update.configuration, revision)
            case BackendUpdate():
                self._put_backend(update.server, revision, source)
            case BackendRemoval():
                self._remove_backend(update.backend_id, source)
            case DomainTakenOut():
                if update.failure_domain not in self.backends.domains_out:
                    log(LogEvent.DOMAIN_TAKEN_OUT, domain=update.failure_domain)
                self.backends.take_domain_out(update.failure_domain)
                self._missing_domains.discard(update.failure_domain)
            case DomainRestored():
                self._restore_domain(update.failure_domain)
        self.notify_changed()

    def begin_store_era(self) -> None:
        """Record that the store has returned from an older copy, before its listing."""
        self.backends.begin_store_era(self.clock.monotonic())
        self.await_rewrite()
        self._copy_listed = True

    def keep_only(self, backend_ids: set[str], domains_out: set[str]) -> None:
        """
        Drop what is missing in a full listing of the store.

        :param backend_ids: all backend servers in the listing.
        :param domains_out: all failure domains that are out of service in the listing.
        """
        now = self.clock.monotonic()
        for name in self.backends.keep_only(backend_ids, now):
            self._on_backend_removed(
                name, "its entry is missing in the listing", source="listing"
            )
        for record in self.backends:
            if record.missing_since_s == now:
                self._log_missing(record, "listing")
        missing = self.backends.domains_out - domains_out
        if self._copy_listed:
            # The copy may be older than the operator's write; see expire().
            self._missing_domains |= missing
        else:
            for domain in missing:
                self._restore_domain(domain)
        self._copy_listed = False
        self.notify_changed()

    def expire(self) -> None:
        """Drop what did not come back after an outage or a new era of the store."""
        now = self.clock.monotonic()
        missing_since_s = {
            record.server.backend_id: record.missing_since_s for record in self.backends
        }
        for name in self.backends.expire(now):
            self._on_backend_removed(
                name,
                "its entry did not come back after an outage",
                missing_s=round(now - missing_since_s[name], 3),
            )
        if self._missing_domains and not self.backends.may_reregister(now):
            for domain in tuple(self._missing_domains):
                self._restore_domain(domain)

    def record_failure(
        self, server: BackendServer, failure: SendFailure, request_id: str
    ) -> None:
        """
        Record that a send to a backend server failed.

        :param server: the backend server that was sent to.
        :param failure: the kind of failure.
        :param request_id: the request, for the log; empty for a probe.
        """
        now = self.clock.monotonic()
        record = self.backends.get(server.backend_id)
        was_in_backoff = record is not None and record.backoff_until_s > now
        self.backends.record_failure(server, failure, now)
        self._update_reachability(server.failure_domain, now)
        # A failed probe of a backend server that is in back-off isn't logged again.
        if record is not None and record.backoff_until_s > now and not was_in_backoff:
            log(
                LogEvent.BACKEND_SHUNNED,
                request=request_id,
                backend=server.backend_id,
                reason=failure.value,
                failures=record.failures,
                for_s=round(record.backoff_until_s - now, 2),
            )

    def record_head(
        self,
        server: BackendServer,
        head: ReplyHead,
        sent_s: float,
        request_id: str | None = None,
        peer: str | None = None,
    ) -> bool:
        """
        Record what the head of a response says about its backend server.

        That is whether it leaves, how many requests per second it takes, and whether it
        asked to be sent nothing for a time.

        :param server: the backend server that was sent to. If the response names
            another one, that has taken over the address.
        :param head: status and headers.
        :param sent_s: monotonic time at which the request was sent, in seconds.
        :param request_id: the request, for the log; None for an order.
        :param peer: the node that passed the response on, for the log, if any.
        :returns: whether it asked to be sent nothing.
        """
        if head.instance_id is not None and head.instance_id != server.backend_id:
            record = self.backends.get(head.instance_id)
            if record is None or record.server.address != server.address:
                return False
            server = record.server
        if head.leaving:
            self.record_leaving(server.incarnation, request_id, peer)
        self._record_rate_limit(server, head.rate_limit, sent_s)
        if head.status == UNAVAILABLE_STATUS and head.retry_after is not None:
            return self._hold_off(server, head.retry_after)
        return False

    def _hold_off(self, server: BackendServer, retry_after: str) -> bool:
        for_s = parse_retry_after(retry_after, self.clock.wall())
        if for_s is None:
            if server.incarnation not in self._unread_retry_after:
                self._unread_retry_after.add(server.incarnation)
                log(
                    LogEvent.RETRY_AFTER_IGNORED,
                    backend=server.backend_id,
                    value=retry_after[:MAX_LOGGED_CHARACTERS],
                )
            return False
        for_s = min(for_s, self.settings.bounds.longest_hold_off_s)
        if for_s <= 0:
            return False
        if self.backends.hold_off(server, for_s, self.clock.monotonic()):
            log(
                LogEvent.BACKEND_HELD_OFF,
                backend=server.backend_id,
                service=server.service,
                for_s=round(for_s, 2),
            )
        return True

    def _record_rate_limit(
        self, server: BackendServer, value: str | None, sent_s: float
    ) -> None:
        if value is None:
            if self.rate_limits.record_not_named(server.incarnation, sent_s):
                self._log_rate_limit(server, None)
                self.notify_changed()
            return
        per_s = parse_rate_limit(value)
        if per_s is None:
            if server.incarnation not in self._unread_rate_limit:
                self._unread_rate_limit.add(server.incarnation)
                log(
                    LogEvent.RATE_LIMIT_IGNORED,
                    backend=server.backend_id,
                    value=value[:MAX_LOGGED_CHARACTERS],
                )
            return
        now = self.clock.monotonic()
        if self.rate_limits.record_named(server.incarnation, per_s, now):
            self._log_rate_limit(server, per_s)

    def _log_rate_limit(self, server: BackendServer, per_s: float | None) -> None:
        log(
            LogEvent.BACKEND_RATE_LIMITED,
            backend=server.backend_id,
            service=server.service,
            per_s=per_s,
        )

    def next_send_s(self, server: BackendServer, now: float) -> float:
        """
        Return the earliest time of a request to a backend server, in seconds.

        Its hold-off and the rate that it named both have to allow it.
        """
        held_off_until_s = self.backends.next_send_s(server, now)
        if self.rate_limits.limit(server.incarnation) is None:
            return held_off_until_s
        limited_until_s = self.rate_limits.next_send_s(
            server.incarnation, *self._pacing_nodes(now), now
        )
        return max(held_off_until_s, limited_until_s)

    def record_send(self, server: BackendServer) -> bool:
        """Record a send; return whether the peers must know of it at once."""
        now = self.clock.monotonic()
        self.backends.record_send(server, now)
        if self.rate_limits.limit(server.incarnation) is None:
            return False
        return self.rate_limits.record_send(
            server.incarnation, *self._pacing_nodes(now), now
        )

    def _pacing_nodes(self, now: float) -> tuple[int, int]:
        """Return how many nodes this one hears, itself included, and of how many."""
        nodes = frozenset(self.peers.possible_senders(now))
        heard = sum(
            node in nodes and self._hears(node, now) for node in self._peer_reports
        )
        return 1 + heard, len(nodes)

    def record_leaving(
        self,
        incarnation: tuple[str, int],
        request_id: str | None = None,
        peer: str | None = None,
    ) -> None:
        """
        Record that a backend server announced in a response that it leaves.

        :param incarnation: its id and start time; its entry may be unknown here.
        :param request_id: the request, for the log; None for an order.
        :param peer: the node that passed the response on, for the log, if any.
        """
        if not self.backends.record_leaving(incarnation):
            return
        backend_id, started_ms = incarnation
        record = self.backends.get(backend_id)
        log(
            LogEvent.BACKEND_LEAVING,
            backend=backend_id,
            service=None if record is None else record.server.service,
            born=started_ms,
            request=request_id,
            peer=peer,
        )
        self.notify_changed()

    def record_crash(self, server: BackendServer) -> None:
        """
        Record that a backend server has ended, and suspect what ran there.

        One that announced its end, or whose entry is gone, has not crashed.
        """
        self._record_end(server, self.backends.is_expected_to_run(server))

    def _record_end(self, server: BackendServer, was_expected_to_run: bool) -> None:
        if self.backends.is_leaving(server):
            return
        now = self.clock.monotonic()
        for fingerprint in self.quarantine.record_death(
            server.backend_id, now, str(server.started_ms)
        ):
            log(
                LogEvent.REQUEST_QUARANTINED,
                fingerprint=fingerprint,
                backend=server.backend_id,
            )
        if not was_expected_to_run:
            return
        crash = f"{server.backend_id} {server.started_ms}"
        attempts = self.unstarted.sections_of(server.incarnation)
        for section in self.section_quarantine.record_crash(attempts, crash, now):
            log(
                LogEvent.SECTION_QUARANTINED, section=section, backend=server.backend_id
            )
        # Requests that wait may have a section that is quarantined now.
        self.notify_changed()

    def record_gone_report(self, sender: str, backend_id: str) -> None:
        """
        Record a peer's report that a backend server is gone from its address.

        A report counts only from a peer in this node's or in the backend server's
        failure domain: the path of another peer may cross a network partition that
        the path of this node doesn't.
        """
        peer = self.peers.get(sender)
        record = self.backends.get(backend_id)
        if peer is None or record is None:
            return
        trusted_domains = (self.settings.failure_domain, record.server.failure_domain)
        if peer.failure_domain in trusted_domains:
            self.backends.record_gone_report(backend_id, self.clock.monotonic())

    def record_data(self, server: BackendServer) -> None:
        """Record that data arrived from a backend server."""
        now = self.clock.monotonic()
        self.backends.record_data(server, now)
        if server.failure_domain in self._suspected_domains:
            self._update_reachability(server.failure_domain, now)

    def record_connection(self, server: BackendServer) -> None:
        """Record that a connection to a backend server was established."""
        now = self.clock.monotonic()
        self.backends.record_connection(server, now)
        self._update_reachability(server.failure_domain, now)
        self.notify_changed()

    @property
    def suspected_domains(self) -> tuple[str, ...]:
        """Failure domains that may be cut off from this node."""
        return tuple(self._suspected_domains)

    async def wait_for_suspected_domain(self, max_wait_s: float) -> None:
        """
        Wait until another failure domain may be cut off.

        :param max_wait_s: longest wait, in seconds.
        """
        self._domain_suspected_event.clear()
        try:
            async with asyncio.timeout(max_wait_s):
                await self._domain_suspected_event.wait()
        except TimeoutError:
            # The caller probes the domains that were suspected before.
            return

    def _update_reachability(self, domain: str, now: float) -> None:
        before = self._suspected_domains.get(domain, 0)
        losses = self.backends.domain_losses(domain, now)
        if not self.backends.domain_suspected(domain, now):
            self._cut_off_domains.discard(domain)
            if self._suspected_domains.pop(domain, None) is not None:
                log(LogEvent.DOMAIN_REACHED, domain=domain)
            return
        self._suspected_domains[domain] = losses
        if before == 0:
            log(LogEvent.DOMAIN_SUSPECTED, domain=domain, losses=losses)
            self._domain_suspected_event.set()
        if not self.backends.domain_cut_off(domain, now):
            self._cut_off_domains.discard(domain)
            return
        if domain not in self._cut_off_domains:
            self._cut_off_domains.add(domain)
            log(LogEvent.DOMAIN_CUT_OFF, domain=domain, losses=losses)
        if before < losses and self.on_domain_cut_off is not None:
            self.on_domain_cut_off(domain)

    def _adopt_configuration(self, new: RelayConfiguration, revision: int) -> None:
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
        if self.on_caller_limits is not None and (
            old is None or old.limits != new.limits
        ):
            self.on_caller_limits(new.limits)
        log(
            LogEvent.CONFIGURATION_ADOPTED,
            version=new.version,
            before=old.version if old else None,
            revision=revision,
            routes=len(new.routes),
        )

    def _put_backend(self, server: BackendServer, revision: int, source: str) -> None:
        record = self.backends.get(server.backend_id)
        replaced = record.server if record is not None else None
        was_expected = replaced is not None and self.backends.is_expected_to_run(
            replaced
        )
        if not self.backends.put(server, revision, self.clock.monotonic()):
            return
        if replaced is not None and not replaced.same_incarnation(server):
            started_s = self._monotonic_start_s(server)
            # What it was sent before it was known can't have ended the former one.
            self.unstarted.carry_over(
                replaced.incarnation, server.incarnation, started_s
            )
            self.quarantine.carry_over(
                server.backend_id,
                str(replaced.started_ms),
                str(server.started_ms),
                started_s,
            )
            self._record_end(replaced, was_expected)
            self.backends.carry_over_hold_off(replaced, server, started_s)
            self.rate_limits.carry_over(
                replaced.incarnation, server.incarnation, started_s
            )
        log(
            LogEvent.BACKEND_LEARNT,
            backend=server.backend_id,
            service=server.service,
            domain=server.failure_domain,
            # It stays draining when an older copy of the store says that it is ready.
            state=self.backends.get(server.backend_id).server.state.value,
            cold_ms=server.cold_ms,
            born=server.started_ms,
            revision=revision,
            source=source,
        )

    def _monotonic_start_s(self, server: BackendServer) -> float:
        """Return the monotonic time at which a backend server started, in seconds."""
        age_s = self.clock.wall() - server.started_ms / 1_000
        return self.clock.monotonic() - age_s

    def _remove_backend(self, backend_id: str, source: str) -> None:
        """Remove a backend server whose entry is gone, or note that it is missing."""
        now = self.clock.monotonic()
        record = self.backends.get(backend_id)
        was_missing = record is not None and record.missing_since_s is not None
        if self.backends.remove(backend_id, now):
            self._on_backend_removed(backend_id, "its entry was deleted", source=source)
        elif record is not None and not was_missing:
            self._log_missing(record, source)

    def _log_missing(self, record: BackendRecord, source: str) -> None:
        recovered_s = self.clock.monotonic() - self.backends.store_recovered_s
        log(
            LogEvent.BACKEND_ENTRY_MISSING,
            backend=record.server.backend_id,
            service=record.server.service,
            revision=record.revision,
            store_unreachable=self.backends.store_unreachable,
            recovered_s=round(recovered_s, 3) if recovered_s < math.inf else None,
            source=source,
        )

    def _on_backend_removed(
        self, backend_id: str, reason: str, **fields: object
    ) -> None:
        log(LogEvent.BACKEND_GONE, backend=backend_id, reason=reason, **fields)
        self.cold_limiter.remove(backend_id)

    def _restore_domain(self, domain: str) -> None:
        self._missing_domains.discard(domain)
        if domain not in self.backends.domains_out:
            return
        services = self.configuration.services if self.configuration else ()
        cold_s = max((s.cold_s for s in services if s.cold_per_s), default=0.0)
        self.backends.restore_domain(domain, self.clock.monotonic() + cold_s)
        log(LogEvent.DOMAIN_TAKEN_IN, domain=domain, cold_s=cold_s)

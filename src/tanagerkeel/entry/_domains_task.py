"""Exchange summaries with other failure domains."""

import asyncio
import collections
from collections.abc import Callable

import attrs

from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._presence_task import decode_nodes, node_key_prefix
from tanagerkeel.gateways.peers import PeerUnreachable, Received
from tanagerkeel.gateways.platform import PlatformUnavailable
from tanagerkeel.membership import (
    DomainSummary,
    HeavyAccount,
    ModelCapacity,
    NodeInfo,
    ReceivedSummary,
    SummaryAnswer,
    SummaryQuery,
    SummaryTable,
    SuspectRequest,
    model_number,
)

__all__ = ["DomainsTask"]

SUMMARY_INTERVAL_S = 2.0
LOOP_INTERVAL_S = 0.5
# While another failure domain is silent, its node keys are listed in the platform at
# intervals that double from the minimum to the maximum.
MIN_LIST_INTERVAL_S = 1.0
MAX_LIST_INTERVAL_S = 30.0
# Minimum interval at which summaries of another failure domain are passed on to all
# nodes of this one.
SHARE_INTERVAL_S = 30.0
QUERY_TIMEOUT_S = 0.5
# How long a summary from the responsible node is cached, and how long its absence.
CACHE_TTL_S = 2.0
NEGATIVE_CACHE_TTL_S = 0.5
MAX_SUSPECTS_PER_SUMMARY = 2
# Each suspect request is queued this many times, since a summary may get lost.
SENDS_PER_SUSPECT = 2
MAX_QUEUED_SUSPECTS = 64
MAX_ACCOUNTS_PER_SUMMARY = 4
# In tenths of a second, as the message holds it.
MAX_WAIT_TENTHS = 60_000
TENTHS_PER_S = 10
MAX_QUEUED_MESSAGES = 256


@attrs.define
class _AddressSearch:
    # Monotonic time of the next search.
    due_s: float
    interval_s: float = MIN_LIST_INTERVAL_S


@attrs.frozen
class _CachedSummary:
    received: ReceivedSummary | None
    # Monotonic time.
    expires_s: float


def _ignore(*arguments: object) -> None:
    return None


def _no_usage() -> tuple[HeavyAccount, ...]:
    return ()


@attrs.define
class DomainsTask:
    """
    Sends, receives and looks up summaries of failure domains.

    For each other failure domain, one node of this one is responsible: it sends
    summaries there, and stores those that it receives. It is chosen by rendezvous hash,
    so that the work is spread over the nodes and every node knows which one to query.
    Every ``SHARE_INTERVAL_S`` it passes on a received summary to all nodes of this
    failure domain, so that a node that becomes responsible knows where to send.

    :param context: the node's gateways and state.
    :param on_suspect: called with each suspect request that another failure domain
        reports.
    :param on_revision: called with the address and the configuration revision of the
        sender of each summary.
    :param usage: returns the usage of this failure domain's heaviest client accounts.
    """

    _context: NodeContext
    on_suspect: Callable[[SuspectRequest], None] = _ignore
    on_revision: Callable[[str, int], None] = _ignore
    usage: Callable[[], tuple[HeavyAccount, ...]] = _no_usage
    summaries: SummaryTable = attrs.field(factory=SummaryTable)
    _inbox: asyncio.Queue = attrs.field(
        factory=lambda: asyncio.Queue(MAX_QUEUED_MESSAGES)
    )
    # These are keyed by the name of the other failure domain; times are monotonic.
    _searches: dict[str, _AddressSearch] = attrs.field(factory=dict)
    _sent_s: dict[str, float] = attrs.field(factory=dict)
    _cache: dict[str, _CachedSummary] = attrs.field(factory=dict)
    _shared_s: dict[str, float] = attrs.field(factory=dict)
    _suspects: dict[str, "collections.deque[SuspectRequest]"] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        for cls in (DomainSummary, SummaryQuery):
            self._context.bus.subscribe(cls, self._inbox)

    async def run(self) -> None:
        """Send summaries, store received ones and answer queries until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_all())
            group.create_task(self._answer_all())

    async def look_up(self, domain: str) -> ReceivedSummary | None:
        """Return the latest summary of another failure domain, if one is known."""
        now = self._context.clock.monotonic()
        responsible = self._responsible_node(domain)
        if responsible == self._context.members.own:
            return self.summaries.get(domain, now)
        cached = self._cache.get(domain)
        if cached is not None and now < cached.expires_s:
            return cached.received
        received = await self._query(responsible, domain)
        ttl_s = CACHE_TTL_S if received is not None else NEGATIVE_CACHE_TTL_S
        self._cache[domain] = _CachedSummary(received, now + ttl_s)
        return received

    def queue_suspect(self, suspect: SuspectRequest) -> None:
        """Queue a suspect request for the summaries to all other failure domains."""
        for domain in self._other_domains():
            queue = self._suspects.setdefault(
                domain, collections.deque(maxlen=MAX_QUEUED_SUSPECTS)
            )
            queue.extend([suspect] * SENDS_PER_SUSPECT)

    async def _query(
        self, responsible: NodeInfo, domain: str
    ) -> ReceivedSummary | None:
        now = self._context.clock.monotonic()
        try:
            answer = await self._context.bus.call(
                responsible.peers_address,
                SummaryQuery(domain),
                SummaryAnswer,
                QUERY_TIMEOUT_S,
            )
        except PeerUnreachable:
            # The summary last shared with all nodes may not have expired yet.
            return self.summaries.get(domain, now)
        if answer.summary is None:
            return self.summaries.get(domain, now)
        return ReceivedSummary(answer.summary, answer.forward_addresses)

    def _responsible_node(self, domain: str) -> NodeInfo:
        return self._context.members.view.ranked(f"domain/{domain}")[0]

    def _other_domains(self) -> tuple[str, ...]:
        catalog = self._context.configuration.current
        own = self._context.settings.failure_domain
        return tuple(d for d in catalog.domains if d != own) if catalog else ()

    async def _send_all(self) -> None:
        while True:
            now = self._context.clock.monotonic()
            for domain in self._other_domains():
                due = (
                    now - self._sent_s.get(domain, -SUMMARY_INTERVAL_S)
                    >= SUMMARY_INTERVAL_S
                )
                if due and self._responsible_node(domain) == self._context.members.own:
                    await self._send(domain)
            await self._context.clock.sleep(LOOP_INTERVAL_S)

    async def _send(self, domain: str) -> None:
        now = self._context.clock.monotonic()
        addresses = self.summaries.peers_addresses(domain)
        if self.summaries.is_silent(domain, now):
            # The nodes heard from last may be gone, so choose any of the known ones.
            addresses += await self._find_addresses(domain)
            addresses = addresses and (self._context.random.choice(addresses),)
        else:
            self._searches.pop(domain, None)
        for address in addresses[:1]:
            self._sent_s[domain] = now
            await self._context.bus.send(address, self._summary(domain))

    async def _find_addresses(self, domain: str) -> tuple[str, ...]:
        now = self._context.clock.monotonic()
        search = self._searches.setdefault(domain, _AddressSearch(now))
        if now < search.due_s:
            return ()
        search.due_s = now + search.interval_s
        search.interval_s = min(MAX_LIST_INTERVAL_S, 2 * search.interval_s)
        try:
            entries = await self._context.platform.list(node_key_prefix(domain))
        except PlatformUnavailable:
            return ()
        return tuple(node.peers_address for node in decode_nodes(entries))

    def _summary(self, receiver: str) -> DomainSummary:
        members = self._context.members
        accepting = [n for n in members.view.nodes if not n.stopping] or [members.own]
        queue = self._suspects.get(receiver, ())
        count = min(len(queue), MAX_SUSPECTS_PER_SUMMARY)
        return DomainSummary(
            domain=self._context.settings.failure_domain,
            revision=self._context.configuration.revision,
            peers_address=members.own.peers_address,
            forward_address=self._context.random.choice(accepting).forward_address,
            model_capacities=self._model_capacities(),
            usage=self.usage()[:MAX_ACCOUNTS_PER_SUMMARY],
            suspects=tuple(queue.popleft() for _ in range(count)),
        )

    def _model_capacities(self) -> tuple[ModelCapacity, ...]:
        waits_by_model: dict[str, list[float]] = {}
        for snapshot in self._context.fleet.snapshots(self._context.clock.monotonic()):
            if not snapshot.accepts_work or snapshot.ejected:
                continue
            wait_s = snapshot.urgent_tokens / max(1.0, snapshot.prefill_rate)
            for model in snapshot.server.models:
                waits_by_model.setdefault(model, []).append(wait_s)
        return tuple(
            ModelCapacity(
                model_number(model),
                len(waits_s),
                min(MAX_WAIT_TENTHS, round(min(waits_s) * TENTHS_PER_S)),
            )
            for model, waits_s in sorted(waits_by_model.items())
        )

    async def _answer_all(self) -> None:
        while True:
            received = await self._inbox.get()
            match received.message:
                case DomainSummary():
                    await self._process_summary(received)
                case SummaryQuery(domain=domain):
                    now = self._context.clock.monotonic()
                    stored = self.summaries.get(domain, now)
                    answer = SummaryAnswer()
                    if stored is not None:
                        answer = SummaryAnswer(stored.summary, stored.forward_addresses)
                    await self._context.bus.reply(received, answer)

    async def _process_summary(self, received: Received[DomainSummary]) -> None:
        summary = received.message
        self.summaries.store(summary, self._context.clock.monotonic())
        self.on_revision(received.sender, summary.revision)
        for suspect in summary.suspects:
            self.on_suspect(suspect)
        view = self._context.members.view
        if received.sender in {n.peers_address for n in view.nodes}:
            return
        responsible = self._responsible_node(summary.domain)
        if responsible != self._context.members.own:
            await self._context.bus.send(responsible.peers_address, summary)
            return
        await self._share_summary(summary)

    async def _share_summary(self, summary: DomainSummary) -> None:
        now = self._context.clock.monotonic()
        if (
            now - self._shared_s.get(summary.domain, -SHARE_INTERVAL_S)
            < SHARE_INTERVAL_S
        ):
            return
        self._shared_s[summary.domain] = now
        for node in self._context.members.view.nodes:
            if node != self._context.members.own:
                await self._context.bus.send(node.peers_address, summary)

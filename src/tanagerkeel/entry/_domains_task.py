"""Tell other failure domains of this one, and keep what they tell."""

import asyncio
import collections
from collections.abc import Callable

import attrs

from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._presence_task import node_prefix, nodes_in
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

SUMMARY_S = 2.0
TURN_S = 0.5
# Node keys of another failure domain are listed only while it is quiet, and ever
# more seldom.
LIST_MIN_S = 1.0
LIST_MAX_S = 30.0
SHARE_S = 30.0
QUERY_TIMEOUT_S = 0.5
CACHE_S = 2.0
CACHE_NOTHING_S = 0.5
SUSPECTS_IN_SUMMARY = 2
# Each suspect goes out this often, since a summary may get lost.
SUSPECT_SENDS = 2
MAX_SUSPECTS = 64
HEAVY_IN_SUMMARY = 4
MAX_WAIT_TENTHS = 60_000
TENTHS_PER_S = 10
QUEUE_MESSAGES = 256


@attrs.define
class _Search:
    due_s: float
    interval_s: float = LIST_MIN_S


@attrs.frozen
class _Cached:
    received: ReceivedSummary | None
    until_s: float


def _ignore(*arguments: object) -> None:
    return None


def _no_usage() -> tuple[HeavyAccount, ...]:
    return ()


@attrs.define
class DomainsTask:
    """
    For each other failure domain one node here sends and keeps summaries.

    It is chosen by rendezvous hash for each of them, so the work is spread over
    the nodes, and a node that needs a summary knows whom to ask. Seldom a summary
    goes to all nodes here, so that a successor knows whom to send to.

    :param context: the node's gateways and state.
    :param on_suspect: takes a suspect of another failure domain.
    :param on_revision: takes the address and configuration revision of a node.
    :param usage: returns this failure domain's heaviest client accounts.
    """

    _context: NodeContext
    on_suspect: Callable[[SuspectRequest], None] = _ignore
    on_revision: Callable[[str, int], None] = _ignore
    usage: Callable[[], tuple[HeavyAccount, ...]] = _no_usage
    summaries: SummaryTable = attrs.field(factory=SummaryTable)
    _inbox: asyncio.Queue = attrs.field(factory=lambda: asyncio.Queue(QUEUE_MESSAGES))
    _searches: dict[str, _Search] = attrs.field(factory=dict)
    _sent_s: dict[str, float] = attrs.field(factory=dict)
    _cache: dict[str, _Cached] = attrs.field(factory=dict)
    _shared_s: dict[str, float] = attrs.field(factory=dict)
    _suspects: dict[str, "collections.deque[SuspectRequest]"] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        for cls in (DomainSummary, SummaryQuery):
            self._context.bus.subscribe(cls, self._inbox)

    async def run(self) -> None:
        """Send, keep and answer until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._send_all())
            group.create_task(self._answer_all())

    async def look_up(self, domain: str) -> ReceivedSummary | None:
        """Return what this failure domain lately heard of another one."""
        now = self._context.clock.monotonic()
        keeper = self._keeper(domain)
        if keeper == self._context.members.own:
            return self.summaries.get(domain, now)
        cached = self._cache.get(domain)
        if cached is not None and now < cached.until_s:
            return cached.received
        received = await self._ask(keeper, domain)
        ttl_s = CACHE_S if received is not None else CACHE_NOTHING_S
        self._cache[domain] = _Cached(received, now + ttl_s)
        return received

    def tell_suspect(self, suspect: SuspectRequest) -> None:
        """Take in what the other failure domains are to learn."""
        for domain in self._others():
            queue = self._suspects.setdefault(
                domain, collections.deque(maxlen=MAX_SUSPECTS)
            )
            queue.extend([suspect] * SUSPECT_SENDS)

    async def _ask(self, keeper: NodeInfo, domain: str) -> ReceivedSummary | None:
        now = self._context.clock.monotonic()
        try:
            answer = await self._context.bus.call(
                keeper.peers_address,
                SummaryQuery(domain),
                SummaryAnswer,
                QUERY_TIMEOUT_S,
            )
        except PeerUnreachable:
            # What was last shared with all nodes may still do.
            return self.summaries.get(domain, now)
        if answer.summary is None:
            return self.summaries.get(domain, now)
        return ReceivedSummary(answer.summary, answer.forward_addresses)

    def _keeper(self, domain: str) -> NodeInfo:
        return self._context.members.view.ranked(f"domain/{domain}")[0]

    def _others(self) -> tuple[str, ...]:
        catalog = self._context.configuration.current
        own = self._context.settings.failure_domain
        return tuple(d for d in catalog.domains if d != own) if catalog else ()

    async def _send_all(self) -> None:
        while True:
            now = self._context.clock.monotonic()
            for domain in self._others():
                due = now - self._sent_s.get(domain, -SUMMARY_S) >= SUMMARY_S
                if due and self._keeper(domain) == self._context.members.own:
                    await self._send(domain)
            await self._context.clock.sleep(TURN_S)

    async def _send(self, domain: str) -> None:
        now = self._context.clock.monotonic()
        addresses = self.summaries.peers_addresses(domain)
        if self.summaries.is_silent(domain, now):
            # Whoever was heard last may be gone: any other one may know more.
            addresses += await self._find(domain)
            addresses = addresses and (self._context.random.choice(addresses),)
        else:
            self._searches.pop(domain, None)
        for address in addresses[:1]:
            self._sent_s[domain] = now
            await self._context.bus.send(address, self._summary(domain))

    async def _find(self, domain: str) -> tuple[str, ...]:
        now = self._context.clock.monotonic()
        search = self._searches.setdefault(domain, _Search(now))
        if now < search.due_s:
            return ()
        search.due_s = now + search.interval_s
        search.interval_s = min(LIST_MAX_S, 2 * search.interval_s)
        try:
            entries = await self._context.platform.list(node_prefix(domain))
        except PlatformUnavailable:
            return ()
        return tuple(node.peers_address for node in nodes_in(entries))

    def _summary(self, receiver: str) -> DomainSummary:
        members = self._context.members
        takers = [n for n in members.view.nodes if not n.stopping] or [members.own]
        queue = self._suspects.get(receiver, ())
        count = min(len(queue), SUSPECTS_IN_SUMMARY)
        return DomainSummary(
            domain=self._context.settings.failure_domain,
            revision=self._context.configuration.revision,
            peers_address=members.own.peers_address,
            forward_address=self._context.random.choice(takers).forward_address,
            model_capacities=self._model_capacities(),
            usage=self.usage()[:HEAVY_IN_SUMMARY],
            suspects=tuple(queue.popleft() for _ in range(count)),
        )

    def _model_capacities(self) -> tuple[ModelCapacity, ...]:
        waits: dict[str, list[float]] = {}
        for snapshot in self._context.fleet.snapshots(self._context.clock.monotonic()):
            if not snapshot.accepts_work or snapshot.ejected:
                continue
            wait_s = snapshot.urgent_tokens / max(1.0, snapshot.prefill_rate)
            for model in snapshot.server.models:
                waits.setdefault(model, []).append(wait_s)
        return tuple(
            ModelCapacity(
                model_number(model),
                len(found),
                min(MAX_WAIT_TENTHS, round(min(found) * TENTHS_PER_S)),
            )
            for model, found in sorted(waits.items())
        )

    async def _answer_all(self) -> None:
        while True:
            received = await self._inbox.get()
            match received.message:
                case DomainSummary():
                    await self._take(received)
                case SummaryQuery(domain=domain):
                    now = self._context.clock.monotonic()
                    stored = self.summaries.get(domain, now)
                    answer = SummaryAnswer()
                    if stored is not None:
                        answer = SummaryAnswer(stored.summary, stored.forward_addresses)
                    await self._context.bus.reply(received, answer)

    async def _take(self, received: Received[DomainSummary]) -> None:
        summary = received.message
        self.summaries.store(summary, self._context.clock.monotonic())
        self.on_revision(received.sender, summary.revision)
        for suspect in summary.suspects:
            self.on_suspect(suspect)
        view = self._context.members.view
        if received.sender in {n.peers_address for n in view.nodes}:
            return
        keeper = self._keeper(summary.domain)
        if keeper != self._context.members.own:
            await self._context.bus.send(keeper.peers_address, summary)
            return
        await self._share(summary)

    async def _share(self, summary: DomainSummary) -> None:
        now = self._context.clock.monotonic()
        if now - self._shared_s.get(summary.domain, -SHARE_S) < SHARE_S:
            return
        self._shared_s[summary.domain] = now
        for node in self._context.members.view.nodes:
            if node != self._context.members.own:
                await self._context.bus.send(node.peers_address, summary)

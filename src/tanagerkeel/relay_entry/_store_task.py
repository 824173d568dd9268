"""Follows the platform's store: one listing, then one watch over all keys."""

import math
import random

import attrs

from tanagerkeel import codec
from tanagerkeel.backoff import full_jitter_s
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.platform import (
    Changes,
    Entry,
    HistoryLost,
    Listing,
    PlatformUnavailable,
    WatchedStore,
)
from tanagerkeel.relay import Batch, watchers
from tanagerkeel.relay_entry._facts import (
    BackendFact,
    DomainOutFact,
    StoreDecoder,
    UnreadableEntry,
)
from tanagerkeel.relay_entry._follow import Follow, StoreAnswer
from tanagerkeel.relay_entry._peers import Peer, node_of_key
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["StoreTask"]

# Everything: the operators' keys, the backend servers' and the nodes' own.
ALL_KEYS = ""
# A watch confirms the configuration when it ends, and keys may be used only while
# that is young: less than half of the usual bound on revoked keys, so that an outage
# leaves more than half of it. Each call has its price.
WATCH_MS = 2_200
# The same for a node that watches for others, whose word is older by the time between
# two questions. There are few such nodes.
SHARED_WATCH_MS = 1_000
# After a change so much of the bound on backend servers that leave passes until the
# next call, so that changes in quick succession cost one call together.
GATHER_SHARE = 0.3
# The same for a node that watches for others.
SHARED_GATHER_SHARE = 0.1
# A node that follows asks so often, in seconds; watchers tell it of changes besides.
ASK_S = 0.8
# A watcher whose own confirmation is older has lost the store, in seconds: more than
# a whole watch, the pause after a change, and a slow answer.
MAX_ANSWER_AGE_S = 2.5
# A node that no watcher answers watches by itself for this time, in seconds.
DIRECT_S = 5.0
# While the watchers answer that they have lost the store, a node that follows tries it
# so often by itself, in seconds: the store may turn away some nodes and not others.
TRY_AGAIN_S = 2.5
# First and longest bound of the pause after a failed call, in seconds. The platform
# counts refused calls too; a configuration must be in force two seconds after.
RETRY_BASE_S = 0.1
RETRY_LONGEST_S = 0.5


@attrs.define
class StoreTask:
    """
    Keeps the node's beliefs in step with the platform's store.

    :param store: calls to the platform.
    :param decoder: reads the store's entries.
    :param state: the node's beliefs.
    :param random: source of randomness.
    :param follow: questions to other nodes.
    """

    _store: WatchedStore
    _decoder: StoreDecoder
    _state: RelayState
    _random: random.Random
    _follow: Follow
    _direct_until_s: float = 0.0
    _try_again_s: float = 0.0
    _failures: int = 0
    # None before the first call has ended.
    _reachable: bool | None = None
    _gather: bool = False

    @property
    def _shares(self) -> bool:
        """Whether this node watches for others."""
        return len(self._state.peers.domains) > len(self._watchers)

    @property
    def _gather_s(self) -> float:
        share = SHARED_GATHER_SHARE if self._shares else GATHER_SHARE
        return share * self._state.settings.bounds.drain_ms / 1_000

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                if self._follows:
                    await self.follow()
                    continue
                await self.step(SHARED_WATCH_MS if self._shares else WATCH_MS)
                if self._gather:
                    await self._state.clock.sleep(self._gather_s)
            except PlatformUnavailable as error:
                self._lost(error)
                await self._state.clock.sleep(
                    full_jitter_s(
                        self._failures, self._random, RETRY_BASE_S, RETRY_LONGEST_S
                    )
                )

    @property
    def _follows(self) -> bool:
        now = self._state.clock.monotonic()
        if self._follow.revision is None or now < self._direct_until_s:
            return False
        return self._state.settings.node_id not in self._watchers

    @property
    def _watchers(self) -> tuple[str, ...]:
        settings = self._state.settings
        # This node's own key may not be there yet, or no more.
        nodes = {**self._state.peers.domains, settings.node_id: settings.failure_domain}
        return watchers(nodes, settings.failure_domain)

    async def follow(self) -> None:
        """Ask the watchers once, and try the store directly if they don't know."""
        answered = False
        for name in self._watchers:
            peer = self._state.peers.get(name)
            if peer is None:
                continue
            asked_s = self._state.clock.boottime()
            answer = await self._follow.ask(peer, self._follow.revision)
            if answer is None:
                continue
            answered = True
            if 0 <= answer.age_ms < MAX_ANSWER_AGE_S * 1_000:
                await self._take_answer(answer, asked_s)
                await self._follow.wait_hint(ASK_S)
                return
        now = self._state.clock.monotonic()
        if answered and now < self._try_again_s:
            # They have lost the store, and so had this node lately.
            self._state.backends.store_lost()
            await self._follow.wait_hint(ASK_S)
            return
        self._try_again_s = now + TRY_AGAIN_S
        log(
            LogEvent.WATCHERS_SILENT,
            watchers=list(self._watchers),
            answered=answered,
            confirmed_age_s=self._confirmed_age(),
        )
        await self.step(wait_ms=0)
        self._direct_until_s = self._state.clock.monotonic() + DIRECT_S

    async def _take_answer(self, answer: StoreAnswer, asked_s: float) -> None:
        if answer.revision > self._follow.revision:
            events = self._unpack(answer) if answer.told else None
            if events is None:
                # Too much for a datagram: one call brings it.
                await self.step(wait_ms=0)
                return
            for event in events:
                self._take_event(event, answer.revision)
            self._follow.revision = answer.revision
        self._reached()
        confirmed_s = asked_s - answer.age_ms / 1_000
        self._state.confirmed_s = max(self._state.confirmed_s, confirmed_s)
        self._state.expire()

    def _unpack(self, answer: StoreAnswer) -> list[Entry | str] | None:
        try:
            events = map(self._follow.values.unpack, answer.events)
            return [
                key if value is None else Entry(key, value, revision)
                for key, value, revision in events
            ]
        except ValueError as error:
            log(LogEvent.PEER_MESSAGE_DROPPED, sender="watcher", reason=str(error))
            return None

    async def step(self, wait_ms: int = WATCH_MS) -> None:
        """
        Make one call and take in its answer.

        :param wait_ms: how long the store may wait for a change, in milliseconds.
        """
        asked_s = self._state.clock.boottime()
        try:
            if self._follow.revision is None:
                self._take_listing(await self._store.list_all(ALL_KEYS))
            else:
                asked_s += await self._take_changes(self._follow.revision, wait_ms)
        except HistoryLost:
            log(
                LogEvent.PLATFORM_UNREACHABLE,
                reason="the history was dropped, listing again",
                revision=self._follow.revision,
            )
            self._follow.revision = None
            return
        self._reached()
        self._state.confirmed_s = max(self._state.confirmed_s, asked_s)
        self._state.expire()

    async def _take_changes(self, after: int, wait_ms: int) -> float:
        """Return how long after the start of the call nothing had changed yet."""
        asked_s = self._state.clock.boottime()
        changes = await self._store.changes(ALL_KEYS, after, wait_ms)
        for event in changes.events:
            self._take_event(event, changes.revision)
        self._remember(after, changes)
        waited_s = self._state.clock.boottime() - asked_s
        self._gather = bool(changes.events)
        if changes.events or waited_s < wait_ms / 1_000:
            return 0.0
        # The store had nothing new until the wait that it was asked for was over.
        return wait_ms / 1_000

    def _remember(self, after: int, changes: Changes) -> None:
        self._follow.revision = changes.revision
        if not changes.events:
            return
        events = (
            (event.key, event.value, event.revision)
            if isinstance(event, Entry)
            else (event, None, changes.revision)
            for event in changes.events
        )
        values = self._follow.values
        if self._state.settings.node_id not in self._watchers:
            for event in events:
                values.see(event)
            return
        told = tuple(map(values.pack, events))
        self._follow.log.add(Batch(after, changes.revision, told))
        self._follow.tell_changed(changes.revision)

    def _reached(self) -> None:
        self._state.backends.store_back(self._state.clock.monotonic())
        if not self._reachable:
            log(
                LogEvent.PLATFORM_REACHABLE,
                revision=self._follow.revision,
                failures=self._failures,
            )
        self._reachable = True
        self._failures = 0

    def _lost(self, error: PlatformUnavailable) -> None:
        self._failures += 1
        self._state.backends.store_lost()
        if self._reachable is not False:
            log(
                LogEvent.PLATFORM_UNREACHABLE,
                reason=error.reason,
                revision=self._follow.revision,
                confirmed_age_s=self._confirmed_age(),
            )
        self._reachable = False

    def _confirmed_age(self) -> float | None:
        age_s = self._state.confirmed_age_s
        return round(age_s, 3) if math.isfinite(age_s) else None

    def _take_listing(self, listing: Listing) -> None:
        backends: set[str] = set()
        domains: set[str] = set()
        nodes: set[str] = set()
        for entry in listing.entries:
            self._follow.values.see((entry.key, entry.value, entry.revision))
            match self._take_entry(entry):
                case BackendFact() as fact:
                    backends.add(fact.server.backend_id)
                case DomainOutFact() as fact:
                    domains.add(fact.failure_domain)
                case str() as node_id:
                    nodes.add(node_id)
        self._state.keep_only(backends, domains)
        for gone in set(self._state.peers.names()) - nodes:
            self._peer_gone(gone)
        self._follow.revision = listing.revision
        self._follow.log.forget()

    def _take_event(self, event: Entry | str, revision: int) -> None:
        if isinstance(event, Entry):
            self._take_entry(event)
            return
        node_id = node_of_key(event)
        if node_id is not None:
            self._peer_gone(node_id)
            return
        fact = self._decoder.deleted(event)
        if fact is not None:
            self._state.learn(fact, revision)

    def _take_entry(self, entry: Entry) -> object:
        node_id = node_of_key(entry.key)
        try:
            if node_id is not None:
                return self._take_peer(codec.decode(entry.value, Peer, lenient=True))
            fact = self._decoder.written(entry.key, entry.value)
        except (UnreadableEntry, codec.InvalidValue) as error:
            log(
                LogEvent.STORE_ENTRY_REJECTED,
                key=entry.key,
                revision=entry.revision,
                reason=str(error),
            )
            return None
        if fact is not None:
            self._state.learn(fact, entry.revision)
        return fact

    def _take_peer(self, peer: Peer) -> str:
        if self._state.peers.put(peer) and peer.node_id != self._state.settings.node_id:
            log(
                LogEvent.PEER_LEARNT,
                peer=peer.node_id,
                domain=peer.failure_domain,
                started_ms=peer.started_ms,
            )
        return peer.node_id

    def _peer_gone(self, node_id: str) -> None:
        if self._state.peers.remove(node_id, self._state.clock.monotonic()):
            self._state.ledger.forget(node_id)
            log(LogEvent.PEER_GONE, peer=node_id, reason="its key is gone")

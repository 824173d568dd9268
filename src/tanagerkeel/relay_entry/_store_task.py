"""
Mirrors the platform's store: one listing, then watch calls over all keys.

When the store has returned from an older copy, its revisions no longer tell what this
node has seen, so that it lists the store again.

In a large fleet only some nodes, the watchers, call the store. The others poll the
watchers of their failure domain over datagrams and call the store when these fail.

A node whose own calls fail asks its peers: for the changes that they have seen, and
whether the store was away for them too.
"""

import asyncio
import itertools
import math
import random
from collections.abc import Coroutine, Iterator

import attrs

from tanagerkeel.backoff import full_jitter_s
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.platform import (
    Changes,
    HistoryLost,
    Listing,
    PlatformUnavailable,
    StoreEntry,
    WatchedStore,
)
from tanagerkeel.relay import SMALL_FLEET_NODES, StorePosition, watchers
from tanagerkeel.relay_entry._backed_watch import BackedWatch, TimedChanges
from tanagerkeel.relay_entry._peers import Peer, decode_peer, node_id_from_key
from tanagerkeel.relay_entry._rejection_log import RejectionLog
from tanagerkeel.relay_entry._settled_era import SETTLED_ERA_KEY, SettledEra
from tanagerkeel.relay_entry._state import RelayState
from tanagerkeel.relay_entry._store_updates import (
    BackendUpdate,
    DomainTakenOut,
    StoreDecoder,
)
from tanagerkeel.relay_entry._watcher_exchange import StoreAnswer, WatcherExchange

__all__ = ["StoreTask"]

# Prefix of all keys: the operators', the backend servers' and the nodes' own.
ALL_KEYS = ""
# Longest wait of one watch call, in milliseconds. The configuration is confirmed when
# the call ends, and callers' keys are accepted only for a bounded time after that.
# This is less than half of the default bound, so that more than half of it is left
# when an outage begins. Shorter waits cost more calls, which the platform counts.
WATCH_MS = 2_200
# The same on a watcher that other nodes poll: their state is older by up to one
# polling interval. There are few watchers, so the extra calls are cheap.
WATCHER_WATCH_MS = 1_000
# Pause between a call that returned changes and the next call, as a share of the bound
# ``drain_ms``. Changes in quick succession then arrive in one call.
BATCH_DELAY_SHARE = 0.3
# The same on a watcher that other nodes poll.
WATCHER_BATCH_DELAY_SHARE = 0.1
# Time between two polls of the watchers, in seconds; a watcher's hint ends it early.
POLL_INTERVAL_S = 0.8
# A watcher whose last confirmation is older than this, in seconds, counts as cut off
# from the store. Longer than a full watch call, the pause after a change and a slow
# answer together.
MAX_ANSWER_AGE_S = 2.5
# How long a node watches the store itself after its watchers failed, in seconds.
DIRECT_WATCH_S = 5.0
# While the watchers answer but can't reach the store, a polling node calls the store
# itself at this interval, in seconds: the store may refuse some nodes and not others.
STORE_RETRY_S = 2.5
# How long an open watch may lack a change of which a peer has sent a hint, in seconds;
# its connection then counts as silent. Longer than the response of a slow store takes.
HINT_PATIENCE_S = 0.5
# How many peers a node asks, one after the other, while its own calls fail, and the
# time between two rounds of a small fleet, in seconds.
MAX_ASKED_PEERS = 3
ASK_INTERVAL_S = 0.4
# Upper bound of the random pause after a failed call, in seconds: for the first
# failure, and its maximum after further ones. Long enough to limit calls, as the
# platform counts refused ones too; short enough for a configuration to be in force two
# seconds after an outage.
RETRY_BASE_S = 0.1
RETRY_MAX_S = 0.5


class _EraEnded(Exception):
    """A new era of the store has begun: this node's revision has no meaning in it."""


@attrs.define
class StoreTask:
    """
    Keeps the node's state in step with the platform's store.

    :param store: calls to the platform.
    :param decoder: decodes the store's entries.
    :param state: the node's state, to which changes are applied.
    :param random: source of the jitter between retries.
    :param exchange: polls the watchers, or answers polls if this node is one.
    :param settled_era: what the store's key says of its era.
    """

    _store: WatchedStore
    _decoder: StoreDecoder
    _state: RelayState
    _random: random.Random
    _exchange: WatcherExchange
    _settled_era: SettledEra = attrs.field(factory=SettledEra)
    _watch_until_s: float = 0.0
    _next_store_try_s: float = 0.0
    _failures: int = 0
    # Whether the last call succeeded; None before the first call has ended.
    _reachable: bool | None = None
    _delay_next_call: bool = False
    _in_gap: asyncio.Event = attrs.field(factory=asyncio.Event)
    _era_changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    _backed_watch: BackedWatch = attrs.field()
    _rejections: RejectionLog = attrs.field()

    @_backed_watch.default
    def _make_backed_watch(self) -> BackedWatch:
        return BackedWatch(self._store, self._state.clock, self._state.confirmations)

    @_rejections.default
    def _make_rejections(self) -> RejectionLog:
        return RejectionLog(self._state.clock)

    def __attrs_post_init__(self) -> None:
        self._store.add_era_listener(self._on_new_era)

    def _on_new_era(self) -> None:
        self._era_changed.set()
        self._exchange.end_wait()

    @property
    def _position(self) -> StorePosition:
        return self._exchange.position

    @property
    def _lists_next(self) -> bool:
        """Whether the next call has to list the store."""
        return self._position.revision is None or self._position.era != self._store.era

    @property
    def _watches_for_others(self) -> bool:
        """Whether other nodes poll this one, provided that it is a watcher."""
        return len(self._state.peers.domains) > len(self._watchers)

    @property
    def _batch_delay_s(self) -> float:
        share = (
            WATCHER_BATCH_DELAY_SHARE if self._watches_for_others else BATCH_DELAY_SHARE
        )
        return share * self._state.settings.bounds.drain_ms / 1_000

    @property
    def _wait_ms(self) -> int:
        if self._failures or self._state.confirmations.wanted:
            # A short call shows sooner whether the store can be reached again.
            return 0
        wait_ms = WATCHER_WATCH_MS if self._watches_for_others else WATCH_MS
        if self._delay_next_call:
            # After a longer time without an answer, a cut counts as an outage.
            delay_ms = math.ceil(1_000 * self._batch_delay_s)
            wait_ms = min(wait_ms, max(0, WATCH_MS - delay_ms))
        confirmable_in_s = self._state.confirmable_in_s
        if confirmable_in_s is None:
            return wait_ms
        # Nodes refuse callers' keys that aren't confirmed in time, and a call confirms
        # them only at its end.
        return min(wait_ms, math.ceil(1_000 * confirmable_in_s))

    async def run(self) -> None:
        """Mirror the store until cancelled."""
        while True:
            try:
                if self._polls_watchers:
                    await self.poll_watchers()
                    continue
                await self.call_store(self._wait_ms)
                if self._delay_next_call:
                    await self._wait_unless_wanted(
                        self._state.clock.sleep(self._batch_delay_s)
                    )
            except PlatformUnavailable as error:
                self._record_failure(error)
                await self._state.clock.sleep(
                    full_jitter_s(
                        self._failures, self._random, RETRY_BASE_S, RETRY_MAX_S
                    )
                )

    async def _wait_unless_wanted(self, wait: Coroutine[None, None, None]) -> None:
        """Wait until something ends or a confirmation is requested."""
        waits = (
            asyncio.ensure_future(wait),
            asyncio.ensure_future(self._state.confirmations.wait_until_wanted()),
        )
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for each in waits:
                each.cancel()

    @property
    def _polls_watchers(self) -> bool:
        now = self._state.clock.monotonic()
        if self._lists_next or now < self._watch_until_s:
            return False
        return self._state.settings.node_id not in self._watchers

    @property
    def _watchers(self) -> tuple[str, ...]:
        settings = self._state.settings
        # This node's own key may not be in the store yet, or may have lapsed.
        nodes = {**self._state.peers.domains, settings.node_id: settings.failure_domain}
        return watchers(nodes, settings.failure_domain)

    async def poll_watchers(self) -> None:
        """Poll the watchers once; call the store if none has a current answer."""
        any_answer = False
        outdated = None
        for name in self._watchers:
            peer = self._state.peers.get(name)
            if peer is None:
                continue
            sent_s = self._state.clock.boottime()
            answer = await self._query(peer)
            if answer is None or answer.era < self._position.era:
                # A watcher that doesn't know of the new era knows nothing of use.
                continue
            if answer.era > self._position.era:
                # The answer itself can't be used: changes are missing in it.
                self._position.lose()
                await self.call_store(wait_ms=0)
                return
            if answer.is_part:
                # Its changes can't be decoded.
                await self.call_store(wait_ms=0)
                return
            any_answer = True
            if not self._is_usable(answer):
                continue
            if self._exchange.precedes_hint(answer.era, answer.revision):
                # The other watcher may have the change that a hint has named.
                outdated = outdated or (answer, sent_s, name)
                continue
            await self._apply_answer(answer, sent_s, name)
            await self._wait_for_next_poll()
            return
        if outdated is not None:
            await self._apply_answer(*outdated)
            await self._wait_for_next_poll()
            return
        now = self._state.clock.monotonic()
        if any_answer and now < self._next_store_try_s:
            # The watchers can't reach the store, and this node has called it within
            # ``STORE_RETRY_S``.
            self._mark_store_unreachable()
            await self._wait_for_next_poll()
            return
        self._next_store_try_s = now + STORE_RETRY_S
        log(
            LogEvent.WATCHERS_SILENT,
            watchers=list(self._watchers),
            answered=any_answer,
            confirmed_age_s=self._rounded_confirmed_age_s(),
        )
        await self.call_store(wait_ms=0)
        self._watch_until_s = self._state.clock.monotonic() + DIRECT_WATCH_S

    def _is_usable(self, answer: StoreAnswer) -> bool:
        """Return whether a watcher that gave an answer has contact with the store."""
        if 0 <= answer.age_ms < MAX_ANSWER_AGE_S * 1_000:
            return True
        # While no confirmation counts, none of the watcher's may count either.
        return (
            (self._state.confirmable_in_s or 0.0) > 0
            and answer.contact is not None
            and answer.contact.age_s < MAX_ANSWER_AGE_S
        )

    async def _wait_for_next_poll(self) -> None:
        """Wait for a hint, a request for a confirmation, or the time of a poll."""
        confirmations = self._state.confirmations
        if confirmations.wanted:
            # The poll that has just ended was made on request.
            if self._state.current:
                confirmations.accept()
            else:
                await self.call_store(wait_ms=0)
        await self._wait_unless_wanted(self._exchange.wait_for_hint(POLL_INTERVAL_S))

    async def _query(self, peer: Peer) -> StoreAnswer | None:
        """
        Query a node again and again while it sends parts of what it has.

        :returns: the last answer, which is a part only if that can't be applied; None
            if none came in time.
        """
        while True:
            revision = self._position.revision
            answer = await self._exchange.query(peer, revision)
            if (
                answer is None
                or not answer.is_part
                or answer.era != self._position.era
                or self._position.revision != revision
                or not self._apply_changes(answer, peer.node_id)
            ):
                return answer

    async def ask_in_gaps(self) -> None:
        """Ask peers in gaps of this node's own contact, until cancelled."""
        while True:
            await self._in_gap.wait()
            self._in_gap.clear()
            while self._peers_may_know_more:
                await self._ask_peers()
                await self._state.clock.sleep(self._ask_interval_s)

    @property
    def _peers_may_know_more(self) -> bool:
        backends = self._state.backends
        now = self._state.clock.monotonic()
        return backends.store_unreachable or backends.needs_peer_contact(now)

    @property
    def _ask_interval_s(self) -> float:
        small = len(self._state.peers.others) < SMALL_FLEET_NODES
        return ASK_INTERVAL_S if small else POLL_INTERVAL_S

    async def _ask_peers(self) -> None:
        """
        Take from a peer what this node's own calls did not tell.

        Otherwise it would go on by old entries, and keep those that have ended,
        although the store has turned away this node alone.
        """
        for peer in itertools.islice(self._peers_to_ask(), MAX_ASKED_PEERS):
            if self._lists_next:
                # This node has no revision that a peer could go on from.
                return
            sent_s = self._state.clock.boottime()
            answer = await self._query(peer)
            if answer is None or self._lists_next or answer.era != self._position.era:
                continue
            self._record_peer_contact(peer, answer)
            if self._apply_changes(answer, peer.node_id) and answer.age_ms >= 0:
                self._record_confirmation(sent_s - answer.age_ms / 1_000)
            self._state.expire()
            if not self._state.backends.needs_peer_contact(
                self._state.clock.monotonic()
            ):
                return

    def _peers_to_ask(self) -> Iterator[Peer]:
        """Yield the nodes that watch the store, of the own failure domain first."""
        nodes = self._state.peers.domains
        own_domain = self._state.settings.failure_domain
        others = sorted(set(nodes.values()) - {own_domain})
        self._random.shuffle(others)
        asked = {self._state.settings.node_id}
        for domain in (own_domain, *others):
            names = sorted(set(watchers(nodes, domain)) - asked)
            self._random.shuffle(names)
            asked |= set(names)
            yield from filter(None, map(self._state.peers.get, names))

    def _record_peer_contact(self, peer: Peer, answer: StoreAnswer) -> None:
        now = self._state.clock.monotonic()
        contact = answer.contact
        if contact is not None and self._state.backends.record_peer_contact(
            contact, now
        ):
            log(
                LogEvent.STORE_OUTAGE_RULED_OUT,
                peer=peer.node_id,
                unbroken_s=round(contact.unbroken_s, 3),
                age_s=round(contact.age_s, 3),
            )

    def _apply_changes(self, answer: StoreAnswer, sender: str) -> bool:
        """
        Apply the changes that another node sent.

        :param sender: the node's id.
        :returns: whether this node now has all changes up to the answer's revision.
        """
        if answer.revision < self._position.revision:
            return False
        if answer.revision == self._position.revision:
            return True
        changes = self._decode_changes(answer) if answer.complete else None
        if changes is None:
            # The sender no longer has all changes, they exceed one datagram, or they
            # can't be decoded.
            return False
        for change in changes:
            self._apply_change(change, answer.revision, f"node {sender}")
        self._position.advance(answer.revision, answer.changes)
        return True

    async def _apply_answer(
        self, answer: StoreAnswer, sent_s: float, watcher: str
    ) -> None:
        if answer.revision > self._position.revision and not self._apply_changes(
            answer, watcher
        ):
            await self.call_store(wait_ms=0)
            return
        self._record_success()
        if answer.age_ms >= 0:
            self._record_confirmation(sent_s - answer.age_ms / 1_000)
        self._state.expire()

    def _decode_changes(self, answer: StoreAnswer) -> list[StoreEntry | str] | None:
        try:
            changes = map(self._position.large_values.decode, answer.changes)
            return [
                key if value is None else StoreEntry(key, value, revision)
                for key, value, revision in changes
            ]
        except ValueError as error:
            log(LogEvent.PEER_MESSAGE_DROPPED, sender="watcher", reason=str(error))
            return None

    async def call_store(self, wait_ms: int = WATCH_MS) -> None:
        """
        List the store, or fetch its changes once there was a listing, and apply them.

        :param wait_ms: how long the store may wait for a change, in milliseconds.
        :raises PlatformUnavailable: when the call fails.
        """
        confirmed_s = self._state.clock.boottime()
        try:
            if self._lists_next:
                self._state.confirmations.accept()
                self._apply_listing(await self._store.list_all(ALL_KEYS))
            else:
                confirmed_s = await self._fetch_changes(
                    self._position.revision, wait_ms
                )
        except _EraEnded:
            return
        except HistoryLost:
            log(
                LogEvent.PLATFORM_UNREACHABLE,
                reason="the store dropped its change history; listing again",
                revision=self._position.revision,
            )
            self._position.lose()
            return
        self._record_success()
        self._record_confirmation(confirmed_s)
        self._state.expire()

    def _record_confirmation(self, confirmed_s: float) -> None:
        """
        Record that the store has confirmed the state, which is applied up to here.

        :param confirmed_s: boot-clock time of the confirmation, in seconds.
        """
        state = self._state
        counted = state.confirmed_in_era
        waits = state.confirmable_in_s is not None
        by_key = waits and self._settled_era.covers(self._position)
        if by_key:
            state.record_rewritten()
        state.record_confirmation(confirmed_s)
        if not state.confirmed_in_era:
            return
        if not self._settled_era.names(self._position.era):
            self._settled_era.outdated.set()
        if counted:
            return
        log(
            LogEvent.STORE_ERA_SETTLED,
            era=self._position.era,
            revision=self._position.revision,
            version=state.configuration.version if state.configuration else None,
            by="key" if by_key else "time",
        )

    async def _fetch_changes(self, after: int, wait_ms: int) -> float:
        """
        Fetch changes and apply them.

        :returns: boot-clock time up to which the state is confirmed, in seconds.
        :raises _EraEnded: when the changes belong to another era than ``after``.
        """
        answer = await self._watch(after, wait_ms)
        changes = answer.changes
        if changes.era != self._position.era:
            raise _EraEnded
        # Otherwise a peer has sent these changes meanwhile, and maybe later ones.
        if self._position.revision == after or (
            changes.revision > self._position.revision
        ):
            for change in changes.events:
                self._apply_change(change, changes.revision, "watch")
            self._record_changes(changes)
        self._delay_next_call = bool(changes.events)
        return answer.confirmed_s

    async def _watch(self, after: int, wait_ms: int) -> TimedChanges:
        """
        Watch for changes.

        :raises _EraEnded: when another call finds that a new era has begun.
        :raises PlatformUnavailable: when the call fails, or when a peer has a change
            that it should have returned by now.
        """
        # The caller has just checked that the era is the listing's.
        self._era_changed.clear()
        watch = asyncio.ensure_future(
            self._backed_watch.changes(ALL_KEYS, after, wait_ms)
        )
        era_change = asyncio.ensure_future(self._era_changed.wait())
        behind = asyncio.ensure_future(
            self._exchange.wait_until_behind(HINT_PATIENCE_S)
        )
        calls = (watch, era_change, behind)
        try:
            await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            if behind.done() and self._store.watch_arriving:
                # The change is on its way, and the call ends if no more of it comes.
                await asyncio.wait(
                    (watch, era_change), return_when=asyncio.FIRST_COMPLETED
                )
            if era_change.done():
                raise _EraEnded
            if watch.done():
                return watch.result()
            self._exchange.forget_hints()
            raise PlatformUnavailable(
                f"no response {HINT_PATIENCE_S} s after a peer's hint of a change"
            )
        finally:
            for call in calls:
                call.cancel()

    def _record_changes(self, changes: Changes) -> None:
        """Record the new revision and values; on a watcher, also for other nodes."""
        if changes.revision < self._position.revision:
            # The store has less than this node; what is written next is read again.
            self._position.begin(changes.revision, changes.era)
            return
        if not changes.events:
            self._position.advance(changes.revision, ())
            return
        store_changes = (
            (change.key, change.value, change.revision)
            if isinstance(change, StoreEntry)
            else (change, None, changes.revision)
            for change in changes.events
        )
        values = self._position.large_values
        if self._state.settings.node_id not in self._watchers:
            for change in store_changes:
                values.store(change)
            self._position.advance(changes.revision, None)
            return
        encoded = tuple(map(values.encode, store_changes))
        self._position.advance(changes.revision, encoded)
        self._exchange.send_hints(changes.revision)

    def _record_success(self) -> None:
        for node_id in self._state.peers.expired(self._state.clock.monotonic()):
            self._remove_peer(node_id)
        self._state.backends.mark_store_reachable(self._state.clock.monotonic())
        if self._peers_may_know_more:
            self._in_gap.set()
        if not self._reachable:
            log(
                LogEvent.PLATFORM_REACHABLE,
                revision=self._position.revision,
                failures=self._failures,
            )
        self._reachable = True
        self._failures = 0

    def _record_failure(self, error: PlatformUnavailable) -> None:
        self._failures += 1
        self._mark_store_unreachable()
        if self._reachable is not False:
            log(
                LogEvent.PLATFORM_UNREACHABLE,
                reason=error.reason,
                revision=self._position.revision,
                confirmed_age_s=self._rounded_confirmed_age_s(),
            )
        self._reachable = False

    def _mark_store_unreachable(self) -> None:
        self._state.backends.mark_store_unreachable(self._state.clock.monotonic())
        self._in_gap.set()

    def _rounded_confirmed_age_s(self) -> float | None:
        age_s = self._state.confirmed_age_s
        return round(age_s, 3) if math.isfinite(age_s) else None

    def _apply_listing(self, listing: Listing) -> None:
        if self._position.era is None:
            # The store may have returned from an older copy before this process began.
            self._state.await_rewrite()
        elif self._position.era != listing.era:
            self._state.begin_store_era()
            # They may have revisions that are given out again for other values.
            self._position.large_values.clear()
        backends: set[str] = set()
        domains: set[str] = set()
        nodes: set[str] = set()
        self._settled_era.forget()
        for entry in listing.entries:
            self._position.large_values.store((entry.key, entry.value, entry.revision))
            match self._apply_entry(entry, "listing"):
                case BackendUpdate() as update:
                    backends.add(update.server.backend_id)
                case DomainTakenOut() as update:
                    domains.add(update.failure_domain)
                case str() as node_id:
                    nodes.add(node_id)
        self._state.keep_only(backends, domains)
        for missing in set(self._state.peers.ids()) - nodes:
            self._on_peer_key_gone(missing)
        self._position.begin(listing.revision, listing.era)
        self._exchange.forget_hints()
        confirmable_in_s = self._state.confirmable_in_s
        if confirmable_in_s is not None and not self._settled_era.covers(
            self._position
        ):
            log(
                LogEvent.STORE_ERA_UNSETTLED,
                era=listing.era,
                revision=listing.revision,
                confirmable_in_s=round(confirmable_in_s, 3),
            )

    def _apply_change(
        self, change: StoreEntry | str, revision: int, source: str
    ) -> None:
        if isinstance(change, StoreEntry):
            self._apply_entry(change, source)
            return
        if change == SETTLED_ERA_KEY:
            self._settled_era.forget()
            return
        node_id = node_id_from_key(change)
        if node_id is not None:
            self._on_peer_key_gone(node_id)
            return
        try:
            update = self._decoder.decode_deleted(change)
            if update is not None:
                self._state.apply(update, revision, source)
        except Exception as error:
            self._rejections.record(change, revision, error)

    def _apply_entry(self, entry: StoreEntry, source: str) -> object:
        """
        Apply an entry; return what it says, or None if it can't be used.

        Whatever its bytes are, it costs nothing but itself: an error would end the
        task, which would meet the same entry again after each restart.
        """
        node_id = node_id_from_key(entry.key)
        try:
            if entry.key == SETTLED_ERA_KEY:
                self._settled_era.apply(entry)
                return None
            if node_id is not None:
                return self._apply_peer(decode_peer(node_id, entry.value))
            update = self._decoder.decode_written(entry.key, entry.value)
            if update is not None:
                self._state.apply(update, entry.revision, source)
        except Exception as error:
            self._rejections.record(entry.key, entry.revision, error)
            return None
        return update

    def _apply_peer(self, peer: Peer) -> str:
        if self._state.peers.put(peer) and peer.node_id != self._state.settings.node_id:
            log(
                LogEvent.PEER_LEARNT,
                peer=peer.node_id,
                domain=peer.failure_domain,
                started_ms=peer.started_ms,
            )
        return peer.node_id

    def _on_peer_key_gone(self, node_id: str) -> None:
        now = self._state.clock.monotonic()
        if self._state.backends.may_reregister(now):
            self._state.peers.mark_missing(node_id, now)
        else:
            self._remove_peer(node_id)

    def _remove_peer(self, node_id: str) -> None:
        if self._state.peers.remove(node_id, self._state.clock.monotonic()):
            self._state.assignments.remove_peer(node_id)
            self._state.fleet_beliefs.remove_peer(node_id)
            log(
                LogEvent.PEER_GONE,
                peer=node_id,
                reason="its key was removed from the store",
            )

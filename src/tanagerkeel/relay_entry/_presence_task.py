"""The node's entry in the platform's store, and the key that signs datagrams."""

import asyncio
import contextlib
import random
import secrets

import attrs

from tanagerkeel import codec
from tanagerkeel.backoff import full_jitter_s
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.frames import KeyRing
from tanagerkeel.gateways.platform import (
    ABSENT,
    CompareFailed,
    LeaseLapsed,
    PlatformUnavailable,
    WatchedStore,
)
from tanagerkeel.relay_entry._peers import NODE_KEY_PREFIX, Peer
from tanagerkeel.relay_entry._signing_keys import SigningKeys
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["RelayPresenceTask"]

# Store key of the secret that all nodes sign their datagrams with.
NEWS_KEY = "tanagerkeel/news-key"
SECRET_BYTES = 32
# Time to live of the node's lease, in milliseconds. Peers detect a failed node when
# its lease has lapsed.
LEASE_MS = 6_000
# Interval of renewals, in seconds: a third of the lease, so that two may be lost.
RENEW_INTERVAL_S = 2.0
# Upper bound of the random pause after a failed call, in seconds: for the first
# failure, and its maximum after further ones.
RETRY_BASE_S = 0.2
RETRY_MAX_S = 2.0
# Pause between attempts while the platform doesn't answer, in seconds. The platform
# counts the failed calls of all nodes, and a lease that lapses is replaced after the
# outage.
OUTAGE_RETRY_S = 4.0
# Interval at which a node checks whether the platform answers again, in seconds.
OUTAGE_POLL_S = 0.1
# When the store has returned from an older copy, all nodes announce themselves again,
# at random times: at this mean rate, as the store limits writes.
ANNOUNCEMENTS_PER_S = 150.0


@attrs.frozen
class _OwnEntry:
    """
    The node's entry, as it was last written.

    :param lease_id: the lease that it is bound to. In another era of the store, the id
        may be that of another node's lease.
    :param revision: its revision.
    :param era: the era of the store in which it was written.
    """

    lease_id: int
    revision: int
    era: int


@attrs.define
class RelayPresenceTask:
    """
    Keeps the node's entry in the store, bound to a lease, while the node runs.

    :param store: calls to the platform.
    :param state: the node's state.
    :param random: source of the jitter between retries.
    """

    _store: WatchedStore
    _state: RelayState
    _random: random.Random
    _entry: _OwnEntry | None = None
    _era_changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    _signing_keys: SigningKeys = attrs.field(factory=SigningKeys)
    # The era of the store in which the signing key was read or written.
    _key_era: int | None = None
    _failures: int = 0

    def __attrs_post_init__(self) -> None:
        self._store.add_era_listener(self._era_changed.set)

    @property
    def keys(self) -> KeyRing | None:
        """The key ring that signs datagrams; None until it was read from the store."""
        return self._signing_keys.ring(self._state.clock.monotonic())

    @property
    def _key(self) -> str:
        """The store's key of the node's entry."""
        return NODE_KEY_PREFIX + self._state.settings.node_id

    async def run(self) -> None:
        """Keep the node's entry until cancelled."""
        while True:
            self._era_changed.clear()
            try:
                pause_s = await self.step()
                self._failures = 0
            except PlatformUnavailable:
                # The store task logs the outage.
                self._failures += 1
                await self._wait_for_platform()
                pause_s = full_jitter_s(
                    self._failures, self._random, RETRY_BASE_S, RETRY_MAX_S
                )
            await self._pause(pause_s)

    async def _pause(self, pause_s: float) -> None:
        """Wait until the next step is due, or announce the node soon in a new era."""
        sleep = asyncio.ensure_future(self._state.clock.sleep(pause_s))
        era_change = asyncio.ensure_future(self._era_changed.wait())
        try:
            await asyncio.wait((sleep, era_change), return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleep.cancel()
            era_change.cancel()
        if self._era_changed.is_set():
            spread_s = len(self._state.peers.ids()) / ANNOUNCEMENTS_PER_S
            await self._state.clock.sleep(self._random.uniform(0.0, spread_s))

    async def step(self) -> float:
        """
        Load the signing key, announce the node or renew its lease, as needed.

        :returns: the time until the next step, in seconds.
        :raises PlatformUnavailable: when a call fails.
        """
        if self._key_era != self._store.era or self.keys is None:
            await self._load_or_write_key()
        # After an outage, the watch finds a new era before a lease of the old one is
        # renewed, which may be another node's now.
        await self._wait_for_platform()
        entry = self._entry
        if entry is None or entry.era != self._store.era:
            await self._announce()
        elif not await self._store.keep_alive(entry.lease_id):
            log(LogEvent.LEASE_LAPSED, lease=entry.lease_id)
            self._entry = None
        eras = (self._key_era, self._entry.era if self._entry else None)
        if eras != (self._store.era, self._store.era):
            return 0.0
        return RENEW_INTERVAL_S

    async def leave(self) -> None:
        """
        Delete the node's entry; its lease then lapses by itself.

        The lease is not revoked: if the store has returned from an older copy and this
        node has not noticed, the id may be that of another node's lease by now.

        :raises PlatformUnavailable: when the call fails.
        """
        entry, self._entry = self._entry, None
        if entry is None:
            return
        with contextlib.suppress(CompareFailed):
            await self._store.remove(self._key, entry.revision)

    async def _wait_for_platform(self) -> None:
        """
        Wait for the end of an outage, at most ``OUTAGE_RETRY_S`` seconds.

        The tasks that watch the store notice the end; this one makes no calls.
        """
        until_s = self._state.clock.monotonic() + OUTAGE_RETRY_S
        while self._state.backends.store_unreachable:
            if self._state.clock.monotonic() >= until_s:
                return
            await self._state.clock.sleep(OUTAGE_POLL_S)

    async def _announce(self) -> None:
        settings = self._state.settings
        peer = Peer(
            node_id=settings.node_id,
            failure_domain=settings.failure_domain,
            news_address=settings.news_listen,
            started_ms=int(self._state.clock.wall() * 1_000),
            forward_address=settings.forward_listen,
            signs_own_responses=True,
        )
        era = self._store.era
        lease = await self._store.grant(LEASE_MS)
        try:
            revision = await self._store.put(
                self._key, codec.encode(peer), lease_id=lease.lease_id
            )
        except LeaseLapsed as error:
            raise PlatformUnavailable(
                "the new lease lapsed before the node's entry was written"
            ) from error
        self._entry = _OwnEntry(lease.lease_id, revision, era)

    async def _load_or_write_key(self) -> None:
        """
        Adopt the store's signing key, or write this node's if the store has none.

        After the store has returned from a copy without the key, the first node to
        write its own decides for all.
        """
        era = self._store.era
        entry = await self._store.get(NEWS_KEY)
        secret = self._signing_keys.newest if entry is None else entry.value
        if entry is None:
            secret = secret or secrets.token_bytes(SECRET_BYTES)
            try:
                await self._store.put(NEWS_KEY, secret, ABSENT)
            except CompareFailed:
                # Another node was faster: the next step reads its key.
                return
        self._key_era = era
        if self._signing_keys.adopt(secret, self._state.clock.monotonic()):
            log(LogEvent.SIGNING_KEY_ADOPTED, key_id=self._signing_keys.newest_id)

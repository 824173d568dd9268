"""The node's entry in the platform's store, and the key that signs datagrams."""

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
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["RelayPresenceTask"]

# Store key of the secret that all nodes sign their datagrams with.
NEWS_KEY = "tanagerkeel/news-key"
NEWS_KEY_ID = 1
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
    _lease_id: int | None = None
    _keys: KeyRing | None = None
    _failures: int = 0

    @property
    def keys(self) -> KeyRing | None:
        """The key ring that signs datagrams; None until it was read from the store."""
        return self._keys

    async def run(self) -> None:
        """Keep the node's entry until cancelled."""
        while True:
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
            await self._state.clock.sleep(pause_s)

    async def step(self) -> float:
        """
        Load the signing key, announce the node or renew its lease, as needed.

        :returns: the time until the next step, in seconds.
        :raises PlatformUnavailable: when a call fails.
        """
        if self._keys is None:
            self._keys = await self._load_or_create_key()
        if self._lease_id is None:
            await self._announce()
        elif not await self._store.keep_alive(self._lease_id):
            log(LogEvent.LEASE_LAPSED, lease=self._lease_id)
            self._lease_id = None
            return 0.0
        return RENEW_INTERVAL_S

    async def leave(self) -> None:
        """
        Revoke the node's lease, which removes its entry.

        :raises PlatformUnavailable: when the call fails.
        """
        if self._lease_id is None:
            return
        lease_id, self._lease_id = self._lease_id, None
        await self._store.revoke(lease_id)

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
        )
        lease = await self._store.grant(LEASE_MS)
        key = NODE_KEY_PREFIX + settings.node_id
        try:
            await self._store.put(key, codec.encode(peer), lease_id=lease.lease_id)
        except LeaseLapsed as error:
            raise PlatformUnavailable(
                "the new lease lapsed before the node's entry was written"
            ) from error
        self._lease_id = lease.lease_id

    async def _load_or_create_key(self) -> KeyRing:
        entry = await self._store.get(NEWS_KEY)
        if entry is not None:
            return KeyRing({NEWS_KEY_ID: entry.value}, NEWS_KEY_ID)
        secret = secrets.token_bytes(SECRET_BYTES)
        try:
            await self._store.put(NEWS_KEY, secret, ABSENT)
        except CompareFailed:
            return await self._load_or_create_key()
        return KeyRing({NEWS_KEY_ID: secret}, NEWS_KEY_ID)

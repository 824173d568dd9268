"""The node's own key in the platform's store, and the key that signs news."""

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

__all__ = ["PresenceTask"]

RING_KEY = "tanagerkeel/news-key"
RING_KEY_ID = 1
SECRET_BYTES = 32
# A node that died is known to be gone after this time, in milliseconds.
LEASE_MS = 6_000
# A third of the lease: two renewals may be lost.
KEEP_S = 2.0
# First and longest bound of the pause after a failed call, in seconds.
RETRY_BASE_S = 0.2
RETRY_LONGEST_S = 2.0
# While the platform is away, a node tries it so often, in seconds: the calls of many
# nodes are priced, and a lease that lapsed is made good once it is back.
AWAY_RETRY_S = 4.0
# How often a node looks whether it is known to be back, in seconds.
LOOK_S = 0.1


@attrs.define
class PresenceTask:
    """
    Tells the other nodes of this one for as long as it lives.

    :param store: calls to the platform.
    :param state: the node's beliefs.
    :param random: source of randomness.
    """

    _store: WatchedStore
    _state: RelayState
    _random: random.Random
    _lease_id: int | None = None
    _keys: KeyRing | None = None
    _failures: int = 0

    @property
    def keys(self) -> KeyRing | None:
        """The key that signs news; None until it is known."""
        return self._keys

    async def run(self) -> None:
        """Keep the node's key until cancelled."""
        while True:
            try:
                pause_s = await self.step()
                self._failures = 0
            except PlatformUnavailable:
                # The store task logs that the platform is away.
                self._failures += 1
                await self._wait_for_platform()
                pause_s = full_jitter_s(
                    self._failures, self._random, RETRY_BASE_S, RETRY_LONGEST_S
                )
            await self._state.clock.sleep(pause_s)

    async def step(self) -> float:
        """Do what is due and return the time until something is due again."""
        if self._keys is None:
            self._keys = await self._agree_on_key()
        if self._lease_id is None:
            await self._announce()
        elif not await self._store.keep_alive(self._lease_id):
            log(LogEvent.LEASE_LAPSED, lease=self._lease_id)
            self._lease_id = None
            return 0.0
        return KEEP_S

    async def leave(self) -> None:
        """Take the node's key away."""
        if self._lease_id is None:
            return
        lease_id, self._lease_id = self._lease_id, None
        await self._store.revoke(lease_id)

    async def _wait_for_platform(self) -> None:
        """Leave a platform that is away to those that watch it."""
        until_s = self._state.clock.monotonic() + AWAY_RETRY_S
        while self._state.backends.store_away:
            if self._state.clock.monotonic() >= until_s:
                return
            await self._state.clock.sleep(LOOK_S)

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
            raise PlatformUnavailable("the new lease has lapsed already") from error
        self._lease_id = lease.lease_id

    async def _agree_on_key(self) -> KeyRing:
        entry = await self._store.get(RING_KEY)
        if entry is not None:
            return KeyRing({RING_KEY_ID: entry.value}, RING_KEY_ID)
        secret = secrets.token_bytes(SECRET_BYTES)
        try:
            await self._store.put(RING_KEY, secret, ABSENT)
        except CompareFailed:
            return await self._agree_on_key()
        return KeyRing({RING_KEY_ID: secret}, RING_KEY_ID)

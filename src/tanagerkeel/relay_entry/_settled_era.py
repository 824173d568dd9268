"""
Whether the store's current era is settled, as a key in the store says.

After a return from an older copy, operators have ``REWRITE_S`` to write again what the
copy lacks. A process that starts later can't tell how long ago that was. The first node
to know that the time is over writes the number of the era under a key without a lease.
A copy can only hold the number of an earlier era, so that the key says nothing after
the next return.
"""

import asyncio
import random

import attrs

from tanagerkeel import codec
from tanagerkeel.backoff import full_jitter_s
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.platform import (
    ABSENT,
    CompareFailed,
    PlatformUnavailable,
    StoreEntry,
    WatchedStore,
)
from tanagerkeel.relay import StorePosition
from tanagerkeel.relay_entry._state import RelayState

__all__ = ["SETTLED_ERA_KEY", "SettledEra", "SettledEraTask"]

SETTLED_ERA_KEY = "tanagerkeel/settled-era"
# Mean rate at which the nodes that find the key outdated write it, as the store limits
# writes; the first write is known to the others before most of them are due.
WRITES_PER_S = 150.0
# Time in which a node reads what it has written, in seconds.
READ_BACK_S = 0.5
# Upper bound of the random pause after a failed call, in seconds: for the first
# failure, and its maximum after further ones.
RETRY_BASE_S = 0.2
RETRY_MAX_S = 2.0


@attrs.define
class SettledEra:
    """
    The era that the store's key names, as this node has read it.

    :param revision: the key's revision; :data:`ABSENT` without the key.
    :param outdated: set when confirmations count in an era that the key doesn't name.
    """

    revision: int = ABSENT
    outdated: asyncio.Event = attrs.field(factory=asyncio.Event)
    _era: int | None = None

    def apply(self, entry: StoreEntry) -> None:
        """
        Record the key's entry.

        :raises InvalidValue: when its value is not a number.
        """
        self.revision = entry.revision
        self._era = None
        self._era = codec.decode(entry.value, int)

    def forget(self) -> None:
        """Record that the store doesn't hold the key."""
        self.revision = ABSENT
        self._era = None

    def names(self, era: int | None) -> bool:
        """Return whether the key names an era."""
        return era is not None and self._era == era

    def covers(self, position: StorePosition) -> bool:
        """
        Return whether all that was written before the key has been applied.

        The pages of a listing are no snapshot: the key may have been written after the
        page that holds the configuration was read.
        """
        return (
            self.names(position.era)
            and position.revision is not None
            and self.revision <= position.revision
        )


@attrs.define
class SettledEraTask:
    """
    Writes the key once confirmations count for this node in the era.

    :param store: calls to the platform.
    :param state: the node's state.
    :param position: what this node has applied of the store.
    :param settled_era: what this node has read of the key.
    :param random: source of the delay of a write.
    """

    _store: WatchedStore
    _state: RelayState
    _position: StorePosition
    _settled_era: SettledEra
    _random: random.Random
    _failures: int = 0

    @property
    def _is_due(self) -> bool:
        return (
            self._position.revision is not None
            and self._state.confirmed_in_era
            and not self._settled_era.names(self._position.era)
        )

    async def run(self) -> None:
        """Keep the key up to date until cancelled."""
        while True:
            await self._settled_era.outdated.wait()
            spread_s = len(self._state.peers.ids()) / WRITES_PER_S
            await self._state.clock.sleep(self._random.uniform(0.0, spread_s))
            if self._is_due:
                await self._write()
                await self._state.clock.sleep(READ_BACK_S)
            self._settled_era.outdated.clear()

    async def _write(self) -> None:
        era, expected = self._position.era, self._settled_era.revision
        try:
            await self._store.put(SETTLED_ERA_KEY, codec.encode(era), expected)
        except CompareFailed:
            # Another node was faster.
            return
        except PlatformUnavailable:
            # The store task logs the outage.
            self._failures += 1
            await self._state.clock.sleep(
                full_jitter_s(self._failures, self._random, RETRY_BASE_S, RETRY_MAX_S)
            )
            return
        self._failures = 0
        log(LogEvent.STORE_ERA_SETTLED_WRITTEN, era=era)

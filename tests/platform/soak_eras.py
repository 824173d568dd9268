"""The owners of the store's entries in the soak test, and returns from older copies."""

import asyncio
import collections
import json
import random
import time
from collections.abc import Callable

import attrs

from tests.platform.fixtures import MemoryStore, StoreCopy

# Interval between two copies, and how long they are kept, in seconds.
COPY_INTERVAL_S = 0.25
COPY_RETENTION_S = 11.0
# Ages of the copies that the store returns from, and how long it is away, in seconds.
COPY_AGES_S = (1.0, 3.0, 10.0)
AWAY_S = (0.2, 2.0)
# The owners have written all again within this time after a return, in seconds.
REWRITE_S = 0.5
# The same in drills, in seconds; nodes allow two seconds.
DRILL_REWRITE_S = 1.8
# Prefixes of the keys of operators and backend servers.
OWNED_PREFIXES = ("op/", "servers/")


@attrs.define
class Owners:
    """
    Operators and backend servers, who write again what the store has lost.

    :param store: the store.
    :param rng: source of the ages of copies and of delays.
    :param entries: what the owners have written last, by key.
    """

    store: MemoryStore
    rng: random.Random
    entries: dict[str, object] = attrs.field(factory=dict)
    _copies: "collections.deque[tuple[float, StoreCopy]]" = attrs.field(
        factory=collections.deque
    )
    _returning: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    def write(self, key: str, value: object) -> None:
        self.entries[key] = value
        self.store.write(key, value)

    def delete(self, key: str) -> None:
        self.entries.pop(key, None)
        self.store.delete(key)

    async def keep_copies(self) -> None:
        """Copy the store again and again, until cancelled."""
        while True:
            now = time.monotonic()
            self._copies.append((now, self.store.copy()))
            while self._copies[0][0] < now - COPY_RETENTION_S:
                self._copies.popleft()
            await asyncio.sleep(COPY_INTERVAL_S)

    def write_servers_again(self, times: int) -> None:
        """Write the entries of all ready servers again, so that revisions grow."""
        for _ in range(times):
            for key, entry in self.entries.items():
                if key.startswith("servers/") and entry["state"] == "ready":
                    self.write(key, {**entry, "sequence": entry["sequence"] + 1})

    async def return_from_copy(
        self,
        on_return: Callable[[], None] = lambda: None,
        rewrite_s: float = REWRITE_S,
        copy: StoreCopy | None = None,
    ) -> None:
        """
        Take the store away, bring an older copy back, and write the rest again.

        :param on_return: called when the store is back and no node has called it yet.
        :param rewrite_s: within what time the rest is written, in seconds.
        :param copy: the copy; None for one of the usual ages.
        """
        async with self._returning:
            copied_s = time.monotonic() - self.rng.choice(COPY_AGES_S)
            self.store.down = True
            await asyncio.sleep(self.rng.uniform(*AWAY_S))
            if copy is None:
                copy = next(copy for at_s, copy in self._copies if at_s >= copied_s)
            self.store.restore(copy)
            # Later copies are of writes that are lost.
            kept = [pair for pair in self._copies if pair[0] <= copied_s]
            self._copies = collections.deque([*kept, (copied_s, copy)])
            on_return()
            self.store.down = False
            await asyncio.sleep(self.rng.uniform(0.0, rewrite_s))
            self._write_again()

    def _write_again(self) -> None:
        keys = list(self.entries)
        self.rng.shuffle(keys)
        for key in keys:
            value = self.entries[key]
            if self.store.value(key) != json.dumps(value).encode():
                self.store.write(key, value)
        for key in self.store.keys():
            if key.startswith(OWNED_PREFIXES) and key not in self.entries:
                self.store.delete(key)

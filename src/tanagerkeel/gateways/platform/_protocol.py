"""Interfaces of the platform's key-value store and VM list."""

from collections.abc import Callable
from typing import Protocol

import attrs

__all__ = [
    "ABSENT",
    "Changes",
    "CompareFailed",
    "HistoryLost",
    "Lease",
    "LeaseLapsed",
    "Listing",
    "PlatformGateway",
    "PlatformUnavailable",
    "StoreEntry",
    "VirtualMachine",
    "WatchedStore",
]

# Passed as the expected revision of a key that must not exist yet.
ABSENT = 0


@attrs.frozen
class StoreEntry:
    """
    A key of the store with its value.

    :param key: full key, with its prefix.
    :param value: up to a megabyte.
    :param revision: revision of the key's last change; revisions grow with each
        change of any key.
    """

    key: str
    value: bytes = attrs.field(repr=False)
    revision: int


@attrs.frozen
class Listing:
    """
    All entries under a prefix.

    :param entries: the entries; read page by page, those on later pages may be
        newer than ``revision``.
    :param revision: revision after which to watch for changes.
    :param era: era of the store in which all entries were read.
    """

    entries: tuple[StoreEntry, ...]
    revision: int
    era: int = 0


@attrs.frozen
class Changes:
    """
    Changes under a prefix, in the order in which they were made.

    :param events: for each change the entry as it was written, or the key that was
        deleted.
    :param revision: revision after which to watch for further changes.
    :param era: era of the store to which the changes belong.
    """

    events: tuple["StoreEntry | str", ...]
    revision: int
    era: int = 0


@attrs.frozen
class Lease:
    """
    A lease; keys bound to it are deleted when it lapses.

    :param lease_id: unique id, growing with each grant.
    :param ttl_ms: time after which it lapses unless it is renewed, in milliseconds.
    """

    lease_id: int
    ttl_ms: int


@attrs.frozen
class VirtualMachine:
    """
    A VM in the platform's list, which may be out of date.

    :param address: its IP address.
    :param failure_domain: name of its failure domain.
    :param leaving: whether the platform is about to stop it.
    :param purpose: ``entry`` or ``backend``.
    """

    address: str
    failure_domain: str
    leaving: bool = False
    purpose: str = "entry"


@attrs.define(auto_exc=True)
class CompareFailed(Exception):
    """
    A compare-and-swap found another revision than the expected one.

    :param revision: the revision found; :data:`ABSENT` when the key doesn't exist.
    """

    revision: int


@attrs.define(auto_exc=True)
class HistoryLost(Exception):
    """The store no longer has the changes after a revision: list again."""


@attrs.define(auto_exc=True)
class LeaseLapsed(Exception):
    """The lease that a write was to be bound to has ended."""


@attrs.define(auto_exc=True)
class PlatformUnavailable(Exception):
    """
    The platform did not answer, or not with a valid reply.

    :param reason: description of the failure.
    :param sent: False only if the call provably was not sent; otherwise a write may
        have taken effect.
    """

    reason: str
    sent: bool = True


class PlatformGateway(Protocol):
    """
    Calls to the platform.

    The platform's load is counted in calls; a waiting watch counts as one. Every
    method may raise :class:`PlatformUnavailable`.
    """

    async def get(self, key: str) -> StoreEntry | None:
        """Return a key's entry, or None when it is absent."""

    async def list(self, prefix: str) -> tuple[StoreEntry, ...]:
        """Return the entries whose keys start with ``prefix``, ordered by key."""

    async def put(
        self, key: str, value: bytes, expected: int | None = None, lease_id: int = 0
    ) -> int:
        """
        Write a value and return the new revision.

        :param expected: the revision that the key must have; :data:`ABSENT` to
            create it; None to write regardless of the revision.
        :param lease_id: lease that the key is bound to; 0 for none.
        :raises CompareFailed: when the key has another revision.
        """

    async def delete(self, key: str, expected: int | None = None) -> None:
        """
        Delete a key; no effect when it is absent.

        :param expected: the revision that the key must have; None for any.
        :raises CompareFailed: when the key has another revision.
        """

    async def watch(self, key: str, after: int, wait_ms: int) -> StoreEntry | None:
        """
        Wait until a key's revision is above ``after`` and return its entry.

        Returns None when nothing changed within ``wait_ms``.
        """

    async def grant(self, ttl_ms: int) -> Lease:
        """Grant a lease with the given time to live."""

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False when it has lapsed."""

    async def revoke(self, lease_id: int) -> None:
        """End a lease; the keys bound to it are deleted."""

    async def list_vms(self) -> tuple[VirtualMachine, ...]:
        """Return the list of running and leaving VMs; it may be out of date."""


class WatchedStore(Protocol):
    """
    Calls to a platform that can watch all keys under a prefix.

    The store may return from an older copy: a new era begins, in which what was written
    last is gone, and revisions and lease ids are given out again. An answer that was
    given before that and arrives later is dropped.

    Every coroutine may raise :class:`PlatformUnavailable`.
    """

    @property
    def era(self) -> int:
        """The newest era that an answer has named; 0 before that."""

    @property
    def watch_arriving(self) -> bool:
        """Whether the answer to a watch has begun to arrive and has not ended."""

    def add_era_listener(self, on_new_era: Callable[[], None]) -> None:
        """Add a callback for when an answer names a newer era."""

    async def list_all(self, prefix: str) -> Listing:
        """
        Return the entries whose keys start with ``prefix``.

        They are the latest ones; a stale read is not allowed.
        """

    async def changes(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """
        Wait until something changes under a prefix and return the changes.

        :param after: return the changes after this revision.
        :param wait_ms: longest wait, in milliseconds; then the result has no events.
        :raises HistoryLost: when the store no longer has the changes after ``after``.
        """

    async def put(
        self, key: str, value: bytes, expected: int | None = None, lease_id: int = 0
    ) -> int:
        """
        Write a value and return the new revision.

        :param expected: the revision that the key must have; None for any.
        :param lease_id: lease that the key is bound to; 0 for none.
        :raises CompareFailed: when the key has another revision.
        :raises LeaseLapsed: when the lease has ended.
        """

    async def remove(self, key: str, expected: int) -> None:
        """
        Delete a key that has the expected revision.

        :raises CompareFailed: when it has another revision, or doesn't exist.
        """

    async def get(self, key: str) -> StoreEntry | None:
        """Return a key's entry, or None when it is absent."""

    async def grant(self, ttl_ms: int) -> Lease:
        """Grant a lease with the given time to live."""

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False when it has lapsed."""

"""The interface that the rest of the system sees of the platform."""

from typing import Protocol

import attrs

__all__ = [
    "ABSENT",
    "Changes",
    "CompareFailed",
    "Entry",
    "HistoryLost",
    "Lease",
    "LeaseLapsed",
    "Listing",
    "PlatformGateway",
    "PlatformUnavailable",
    "VirtualMachine",
    "WatchedStore",
]

# The expected revision of a key that must not exist yet.
ABSENT = 0


@attrs.frozen
class Entry:
    """
    A key with its value.

    :param key: the key.
    :param value: up to a megabyte.
    :param revision: of its last change; grows over all keys.
    """

    key: str
    value: bytes = attrs.field(repr=False)
    revision: int


@attrs.frozen
class Listing:
    """
    All entries under a prefix.

    :param entries: the entries; those on later pages may be newer.
    :param revision: the revision from which changes are to be watched.
    """

    entries: tuple[Entry, ...]
    revision: int


@attrs.frozen
class Changes:
    """
    What changed under a prefix, in order.

    :param events: each an entry as it was written, or the key of a deleted one.
    :param revision: the revision from which to watch on.
    """

    events: tuple["Entry | str", ...]
    revision: int


@attrs.frozen
class Lease:
    """
    A lease; keys bound to it vanish when it lapses.

    :param lease_id: unique id, growing with each grant.
    :param ttl_ms: time to live, in milliseconds.
    """

    lease_id: int
    ttl_ms: int


@attrs.frozen
class VirtualMachine:
    """
    A VM in the platform's lagging list.

    :param address: its IP number.
    :param failure_domain: name of its failure domain.
    :param leaving: whether it is going away.
    :param purpose: ``entry`` or ``backend``.
    """

    address: str
    failure_domain: str
    leaving: bool = False
    purpose: str = "entry"


@attrs.define(auto_exc=True)
class CompareFailed(Exception):
    """
    A compare-and-swap found another revision.

    :param revision: the revision found; :data:`ABSENT` when there is none.
    """

    revision: int


@attrs.define(auto_exc=True)
class HistoryLost(Exception):
    """The changes after a revision are no longer kept: list again."""


@attrs.define(auto_exc=True)
class LeaseLapsed(Exception):
    """The lease that a write names has ended."""


@attrs.define(auto_exc=True)
class PlatformUnavailable(Exception):
    """
    The platform did not answer.

    :param sent: False only if the call provably never left this node; a write
        may have taken effect otherwise.
    """

    reason: str
    sent: bool = True


class PlatformGateway(Protocol):
    """
    Calls to the platform; each one counts, a waiting watch as one.

    Every method raises :class:`PlatformUnavailable`.
    """

    async def get(self, key: str) -> Entry | None:
        """Return a key's entry, or None when it is absent."""

    async def list(self, prefix: str) -> tuple[Entry, ...]:
        """Return the entries whose keys start with ``prefix``, by key."""

    async def put(
        self, key: str, value: bytes, expected: int | None = None, lease_id: int = 0
    ) -> int:
        """
        Write a value and return the new revision.

        :param expected: the revision that the key must have; :data:`ABSENT` to
            create it; None to write whatever there is.
        :param lease_id: lease that the key is bound to; 0 for none.
        :raises CompareFailed: when the key has another revision.
        """

    async def delete(self, key: str, expected: int | None = None) -> None:
        """
        Delete a key; without effect when it is absent.

        :raises CompareFailed: when the key has another revision.
        """

    async def watch(self, key: str, after: int, wait_ms: int) -> Entry | None:
        """
        Wait until a key's revision is above ``after`` and return its entry.

        Returns None when nothing changed within ``wait_ms``.
        """

    async def grant(self, ttl_ms: int) -> Lease:
        """Grant a lease."""

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; False when it has lapsed."""

    async def revoke(self, lease_id: int) -> None:
        """End a lease."""

    async def list_vms(self) -> tuple[VirtualMachine, ...]:
        """Return the lagging list of live and leaving VMs."""


class WatchedStore(Protocol):
    """
    The calls to a platform whose whole content under a prefix is watched.

    Every method raises :class:`PlatformUnavailable`.
    """

    async def list_all(self, prefix: str) -> Listing:
        """Return the entries whose keys start with ``prefix``, not stale."""

    async def changes(self, prefix: str, after: int, wait_ms: int) -> Changes:
        """
        Wait until something changes under a prefix and return it.

        :param after: revision that was seen last.
        :param wait_ms: longest wait, in milliseconds; no events come after it.
        :raises HistoryLost: when the changes after ``after`` are gone.
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

    async def get(self, key: str) -> Entry | None:
        """Return a key's entry, or None when it is absent."""

    async def grant(self, ttl_ms: int) -> Lease:
        """Grant a lease."""

    async def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; False when it has lapsed."""

    async def revoke(self, lease_id: int) -> None:
        """End a lease; its keys vanish."""

"""The state of a stand-in platform: keys, leases and the list of VMs."""

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.gateways.platform import ABSENT, Lease, StoreEntry, VirtualMachine

__all__ = ["PlatformStore", "Snapshot"]


@attrs.frozen
class _LeaseState:
    lease: Lease
    expires_s: float


@attrs.frozen
class _VmList:
    visible_s: float
    vms: tuple[VirtualMachine, ...]


@attrs.frozen
class Snapshot:
    """
    A copy of all keys at one moment.

    :param entries: every entry.
    :param revision: the highest revision assigned so far.
    """

    entries: tuple[StoreEntry, ...]
    revision: int


@attrs.define
class PlatformStore:
    """
    Keys with revisions, leases that expire, and a VM list that lags.

    :param clock: source of time.
    """

    _clock: Clock
    _entries: dict[str, StoreEntry] = attrs.field(factory=dict)
    _lease_ids_by_key: dict[str, int] = attrs.field(factory=dict)
    _leases: dict[int, _LeaseState] = attrs.field(factory=dict)
    _vm_lists: list[_VmList] = attrs.field(factory=list)
    _revision: int = ABSENT
    _last_lease_id: int = 0

    def get(self, key: str) -> StoreEntry | None:
        """Return a key's entry, or None."""
        self._expire_leases()
        return self._entries.get(key)

    def list(self, prefix: str) -> tuple[StoreEntry, ...]:
        """Return the entries whose keys start with ``prefix``, by key."""
        self._expire_leases()
        keys = sorted(key for key in self._entries if key.startswith(prefix))
        return tuple(self._entries[key] for key in keys)

    def put(
        self, key: str, value: bytes, expected: int | None, lease_id: int
    ) -> int | None:
        """
        Write a value and return its revision.

        :param expected: revision that the key must have, 0 if it must not
            exist; None for any.
        :param lease_id: the key is deleted when this lease ends; 0 for no lease.
        :returns: None when the compare failed or the lease has expired.
        """
        self._expire_leases()
        if not self._revision_matches(key, expected):
            return None
        if lease_id and lease_id not in self._leases:
            return None
        self._revision += 1
        self._entries[key] = StoreEntry(key, value, self._revision)
        self._lease_ids_by_key.pop(key, None)
        if lease_id:
            self._lease_ids_by_key[key] = lease_id
        return self._revision

    def delete(self, key: str, expected: int | None) -> bool:
        """Delete a key; return False when the compare failed."""
        self._expire_leases()
        if key in self._entries and not self._revision_matches(key, expected):
            return False
        self._remove(key)
        return True

    def grant(self, ttl_ms: int) -> Lease:
        """Grant a lease."""
        self._last_lease_id += 1
        lease = Lease(self._last_lease_id, ttl_ms)
        self._renew(lease)
        return lease

    def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False when it has expired."""
        self._expire_leases()
        found = self._leases.get(lease_id)
        if found is None:
            return False
        self._renew(found.lease)
        return True

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete the keys bound to it."""
        self._leases.pop(lease_id, None)
        bound = [
            key
            for key, bound_id in self._lease_ids_by_key.items()
            if bound_id == lease_id
        ]
        for key in bound:
            self._remove(key)

    def list_vms(self) -> tuple[VirtualMachine, ...]:
        """Return the newest list of VMs that has become visible."""
        now = self._clock.monotonic()
        visible = [vm_list for vm_list in self._vm_lists if vm_list.visible_s <= now]
        return visible[-1].vms if visible else ()

    def set_vms(self, vms: tuple[VirtualMachine, ...], lag_s: float) -> None:
        """Set the VMs; the list shows them after ``lag_s`` seconds."""
        self._vm_lists.append(_VmList(self._clock.monotonic() + lag_s, vms))

    def snapshot(self) -> Snapshot:
        """Return a copy of the keys."""
        self._expire_leases()
        return Snapshot(tuple(self._entries.values()), self._revision)

    def restore(self, snapshot: Snapshot) -> None:
        """Return to older keys and revisions; all leases are dropped."""
        self._entries = {entry.key: entry for entry in snapshot.entries}
        self._revision = snapshot.revision
        self._leases.clear()
        self._lease_ids_by_key.clear()

    def _revision_matches(self, key: str, expected: int | None) -> bool:
        found = self._entries.get(key)
        revision = found.revision if found is not None else ABSENT
        return expected is None or expected == revision

    def _renew(self, lease: Lease) -> None:
        expires_s = self._clock.monotonic() + lease.ttl_ms / 1_000
        self._leases[lease.lease_id] = _LeaseState(lease, expires_s)

    def _remove(self, key: str) -> None:
        self._lease_ids_by_key.pop(key, None)
        if self._entries.pop(key, None) is not None:
            self._revision += 1

    def _expire_leases(self) -> None:
        now = self._clock.monotonic()
        expired = [i for i, state in self._leases.items() if state.expires_s <= now]
        for lease_id in expired:
            self.revoke(lease_id)

"""A stand-in for the platform's key-value service and its list of VMs."""

import asyncio
import collections

import attrs

from tanagerkeel.clock import Clock, SystemClock
from tanagerkeel.gateways.callers import CancelOnDisconnect
from tanagerkeel.gateways.http_server import HttpServer
from tanagerkeel.gateways.platform import Lease, StoreEntry, VirtualMachine
from tanagerkeel.standins._faults import PlatformFaults, PlatformOutage
from tanagerkeel.standins._platform_http import make_platform_app
from tanagerkeel.standins._platform_store import PlatformStore, Snapshot

__all__ = ["PlatformStandIn"]


@attrs.define
class PlatformStandIn:
    """
    One stand-in platform; all its state is in memory.

    :param clock: source of time for leases, delays and lags.
    :param faults: the faults in force; :meth:`set_faults` replaces them.
    :param calls: number of calls by kind, such as ``get`` or ``put``.
    """

    _clock: Clock = attrs.field(factory=SystemClock)
    _faults: PlatformFaults = PlatformFaults()
    _store: PlatformStore = attrs.field(init=False)
    _changed: asyncio.Condition = attrs.field(factory=asyncio.Condition, init=False)
    _server: HttpServer | None = attrs.field(default=None, init=False)
    _outage_end_task: asyncio.Task | None = attrs.field(default=None, init=False)
    calls: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )

    def __attrs_post_init__(self) -> None:
        self._store = PlatformStore(self._clock)

    @property
    def faults(self) -> PlatformFaults:
        """The faults in force."""
        return self._faults

    def app(self) -> CancelOnDisconnect:
        """Return the ASGI application that serves the platform's protocol."""
        return CancelOnDisconnect(make_platform_app(self))

    def attach_server(self, server: HttpServer) -> None:
        """Set the server that an outage suspends."""
        self._server = server

    async def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults; an outage begins or ends with this call."""
        if self._outage_end_task is not None:
            self._outage_end_task.cancel()
            self._outage_end_task = None
        self._faults = faults
        if faults.outage is not PlatformOutage.NONE and faults.outage_ms:
            self._outage_end_task = asyncio.create_task(self._end_outage())
        await self._notify_watchers()
        if self._server is None:
            return
        if faults.outage is PlatformOutage.REFUSED:
            await self._server.suspend()
        else:
            await self._server.resume()

    def get(self, key: str) -> StoreEntry | None:
        """Return a key's entry, or None."""
        return self._store.get(key)

    def list(self, prefix: str) -> tuple[StoreEntry, ...]:
        """Return the entries whose keys start with ``prefix``, by key."""
        return self._store.list(prefix)

    async def put(
        self, key: str, value: bytes, expected: int | None = None, lease_id: int = 0
    ) -> int | None:
        """
        Write a value and return its revision.

        :param expected: revision that the key must have, 0 if it must not
            exist; None for any.
        :param lease_id: the key is deleted when this lease ends; 0 for no lease.
        :returns: None when the compare failed or the lease has expired.
        """
        revision = self._store.put(key, value, expected, lease_id)
        await self._notify_watchers()
        return revision

    def delete(self, key: str, expected: int | None = None) -> bool:
        """Delete a key; return False when the compare failed."""
        return self._store.delete(key, expected)

    async def watch(self, key: str, after: int, wait_s: float) -> StoreEntry | None:
        """
        Wait until a key's revision is above ``after``, and return its entry.

        :param wait_s: longest wait, in seconds.
        :returns: None when that time has passed or an outage has begun.
        """

        def has_newer() -> bool:
            found = self._store.get(key)
            return found is not None and found.revision > after

        def wait_is_over() -> bool:
            return has_newer() or self._faults.outage is not PlatformOutage.NONE

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(wait_is_over)
        except TimeoutError:
            return None
        return self._store.get(key) if has_newer() else None

    def grant(self, ttl_ms: int) -> Lease:
        """Grant a lease."""
        return self._store.grant(ttl_ms)

    def keep_alive(self, lease_id: int) -> bool:
        """Renew a lease; return False when it has expired."""
        return self._store.keep_alive(lease_id)

    def revoke(self, lease_id: int) -> None:
        """End a lease and delete the keys bound to it."""
        self._store.revoke(lease_id)

    def list_vms(self) -> tuple[VirtualMachine, ...]:
        """Return the list of VMs, which lags behind :meth:`set_vms`."""
        return self._store.list_vms()

    def set_vms(self, vms: tuple[VirtualMachine, ...]) -> None:
        """Set the VMs; the list shows them after the lag."""
        self._store.set_vms(vms, self._faults.vm_lag_ms / 1_000)

    def snapshot(self) -> Snapshot:
        """Return the keys as they are, for :meth:`restore`."""
        return self._store.snapshot()

    async def restore(self, snapshot: Snapshot) -> None:
        """Return to older keys and revisions, as a restored backup does."""
        self._store.restore(snapshot)
        await self._notify_watchers()

    def consume_lost_reply(self) -> bool:
        """Return whether to drop the reply of the current write, and count it."""
        left = self._faults.lost_replies
        if left == 0:
            return False
        self._faults = attrs.evolve(self._faults, lost_replies=left - 1)
        return True

    async def apply_delay(self) -> None:
        """Wait for the delay that the faults set."""
        if self._faults.delay_ms:
            await self._clock.sleep(self._faults.delay_ms / 1_000)

    async def _notify_watchers(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _end_outage(self) -> None:
        await self._clock.sleep(self._faults.outage_ms / 1_000)
        self._outage_end_task = None
        faults = attrs.evolve(self._faults, outage=PlatformOutage.NONE, outage_ms=0)
        await self.set_faults(faults)

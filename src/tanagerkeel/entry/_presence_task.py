"""Register this node at the platform, and find other nodes there."""

import asyncio

import attrs

from tanagerkeel import codec
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._membership_task import MembershipTask
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.platform import CompareFailed, PlatformUnavailable, StoreEntry
from tanagerkeel.membership import NodeInfo

__all__ = ["PresenceTask", "decode_nodes", "node_key_prefix"]

LEASE_TTL_MS = 60_000
KEEP_ALIVE_INTERVAL_S = 20.0
# The size of the list grows with the number of nodes, so it is read seldom.
LIST_INTERVAL_S = 60.0
MIN_LIST_INTERVAL_S = 1.0
LOOP_INTERVAL_S = 1.0


def node_key_prefix(failure_domain: str) -> str:
    """Return the key prefix of a failure domain's nodes."""
    return f"nodes/{failure_domain}/"


@attrs.define
class PresenceTask:
    """
    Keeps the node's own key alive and reads the keys of its failure domain's nodes.

    :param context: the node's gateways and state.
    :param membership: receives the addresses of the nodes that are found.
    """

    _context: NodeContext
    _membership: MembershipTask
    _lease_id: int = 0
    # What the key holds; None until it is written under the current lease.
    _written_info: NodeInfo | None = None
    _renewed_s: float = 0.0
    _listed_s: float = float("-inf")
    _alone_interval_s: float = MIN_LIST_INTERVAL_S
    _reachable: bool = True

    async def run(self) -> None:
        """Renew the own key and read the others until cancelled."""
        while True:
            try:
                await self._run_once()
            except PlatformUnavailable as error:
                self._record_reachability(False, error.reason)
            await self._context.clock.sleep(LOOP_INTERVAL_S)

    async def end(self) -> None:
        """Remove the node's key."""
        if not self._lease_id:
            return
        try:
            async with asyncio.timeout(LOOP_INTERVAL_S):
                await self._context.platform.revoke(self._lease_id)
        except (PlatformUnavailable, TimeoutError) as error:
            # The lease expires by itself.
            log(LogEvent.PLATFORM_UNREACHABLE, error=repr(error))

    async def _run_once(self) -> None:
        now = self._context.clock.monotonic()
        if now - self._renewed_s >= KEEP_ALIVE_INTERVAL_S or self._written_info is None:
            await self._renew_key()
            self._renewed_s = now
            self._record_reachability(True)
        if not self._context.members.is_alone:
            self._alone_interval_s = MIN_LIST_INTERVAL_S
        if now - self._listed_s >= self._list_interval_s():
            await self._list_nodes()
            self._listed_s = now
            self._alone_interval_s = min(LIST_INTERVAL_S, 2 * self._alone_interval_s)
            self._record_reachability(True)

    def _list_interval_s(self) -> float:
        # While this node knows no other one, the interval starts short and doubles.
        return (
            self._alone_interval_s
            if self._context.members.is_alone
            else LIST_INTERVAL_S
        )

    async def _renew_key(self) -> None:
        platform = self._context.platform
        own = self._context.members.own
        if not self._lease_id or not await platform.keep_alive(self._lease_id):
            self._lease_id = (await platform.grant(LEASE_TTL_MS)).lease_id
            self._written_info = None
        if self._written_info is None:
            key = node_key_prefix(own.failure_domain) + own.node_id
            value = codec.pack_compact(own)
            try:
                await platform.put(key, value, lease_id=self._lease_id)
            except CompareFailed:
                # The lease expired between the two calls.
                self._lease_id = 0
            else:
                self._written_info = own

    async def _list_nodes(self) -> None:
        domain = self._context.settings.failure_domain
        entries = await self._context.platform.list(node_key_prefix(domain))
        nodes = decode_nodes(entries)
        self._membership.set_seeds(
            {n.peers_address for n in nodes} - {self._context.bus.address}
        )

    def _record_reachability(self, reachable: bool, reason: str = "") -> None:
        if reachable:
            self._membership.record_contact()
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            log(LogEvent.PLATFORM_REACHABLE)
        else:
            log(LogEvent.PLATFORM_UNREACHABLE, error=reason)


def decode_nodes(entries: tuple[StoreEntry, ...]) -> tuple[NodeInfo, ...]:
    """Decode nodes from entries of the platform's store; malformed ones are skipped."""
    nodes = []
    for entry in entries:
        try:
            nodes.append(codec.unpack_compact(entry.value, NodeInfo))
        except codec.InvalidValue as error:
            log(LogEvent.PEER_MESSAGE_DROPPED, reason="malformed", error=str(error))
    return tuple(nodes)

"""Tell the platform of this node, and find others through it."""

import asyncio

import attrs

from tanagerkeel import codec
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._membership_task import MembershipTask
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.platform import CompareFailed, PlatformUnavailable, StoreEntry
from tanagerkeel.membership import NodeInfo

__all__ = ["PresenceTask", "node_prefix", "nodes_in"]

LEASE_TTL_MS = 60_000
KEEP_ALIVE_S = 20.0
# The list costs bytes in proportion to the failure domain, so it is read seldom.
LIST_S = 60.0
LIST_ALONE_MIN_S = 1.0
TURN_S = 1.0


def node_prefix(failure_domain: str) -> str:
    """Return the prefix of the keys of a failure domain's nodes."""
    return f"nodes/{failure_domain}/"


@attrs.define
class PresenceTask:
    """
    Keeps the node's own key alive and reads those of its failure domain.

    :param context: the node's gateways and state.
    :param membership: is told where nodes may be found.
    """

    _context: NodeContext
    _membership: MembershipTask
    _lease_id: int = 0
    _written: NodeInfo | None = None
    _kept_s: float = 0.0
    _listed_s: float = float("-inf")
    _alone_s: float = LIST_ALONE_MIN_S
    _reachable: bool = True

    async def run(self) -> None:
        """Renew and read until cancelled."""
        while True:
            try:
                await self._turn()
            except PlatformUnavailable as error:
                self._note_reachable(False, error.reason)
            await self._context.clock.sleep(TURN_S)

    async def end(self) -> None:
        """Remove the node's key."""
        if not self._lease_id:
            return
        try:
            async with asyncio.timeout(TURN_S):
                await self._context.platform.revoke(self._lease_id)
        except (PlatformUnavailable, TimeoutError) as error:
            # The lease lapses by itself.
            log(LogEvent.PLATFORM_UNREACHABLE, error=repr(error))

    async def _turn(self) -> None:
        now = self._context.clock.monotonic()
        if now - self._kept_s >= KEEP_ALIVE_S or self._written is None:
            await self._keep()
            self._kept_s = now
            self._note_reachable(True)
        if not self._context.members.is_alone:
            self._alone_s = LIST_ALONE_MIN_S
        if now - self._listed_s >= self._list_interval_s():
            await self._list()
            self._listed_s = now
            self._alone_s = min(LIST_S, 2 * self._alone_s)
            self._note_reachable(True)

    def _list_interval_s(self) -> float:
        # A node that finds nobody looks again soon, and then ever more seldom.
        return self._alone_s if self._context.members.is_alone else LIST_S

    async def _keep(self) -> None:
        platform = self._context.platform
        own = self._context.members.own
        if not self._lease_id or not await platform.keep_alive(self._lease_id):
            self._lease_id = (await platform.grant(LEASE_TTL_MS)).lease_id
            self._written = None
        if self._written is None:
            key = node_prefix(own.failure_domain) + own.node_id
            value = codec.pack_compact(own)
            try:
                await platform.put(key, value, lease_id=self._lease_id)
            except CompareFailed:
                # The lease lapsed between the two calls.
                self._lease_id = 0
            else:
                self._written = own

    async def _list(self) -> None:
        domain = self._context.settings.failure_domain
        entries = await self._context.platform.list(node_prefix(domain))
        nodes = nodes_in(entries)
        self._membership.learn_seeds(
            {n.peers_address for n in nodes} - {self._context.bus.address}
        )

    def _note_reachable(self, reachable: bool, reason: str = "") -> None:
        if reachable:
            self._membership.heard()
        if reachable == self._reachable:
            return
        self._reachable = reachable
        if reachable:
            log(LogEvent.PLATFORM_REACHABLE)
        else:
            log(LogEvent.PLATFORM_UNREACHABLE, error=reason)


def nodes_in(entries: tuple[StoreEntry, ...]) -> tuple[NodeInfo, ...]:
    """Return the nodes that keys of the platform's service tell of."""
    found = []
    for entry in entries:
        try:
            found.append(codec.unpack_compact(entry.value, NodeInfo))
        except codec.InvalidValue as error:
            log(LogEvent.PEER_MESSAGE_DROPPED, reason="malformed", error=str(error))
    return tuple(found)

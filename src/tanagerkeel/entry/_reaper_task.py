"""Frees engine memory whose allocation is overdue."""

import attrs

from tanagerkeel.configuration import BackendServer
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._domain_lease import DomainLease
from tanagerkeel.entry._orders_task import domain_engines
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.engines import BackendFailed, BackendRefused
from tanagerkeel.orders import overdue_allocations

__all__ = ["ReaperTask"]

# Time in which every engine is checked once.
REAP_INTERVAL_S = 10.0


@attrs.define
class ReaperTask:
    """
    Frees overdue allocations, engine by engine, while this node holds the lease.

    :param context: the node's gateways and state.
    :param lease: the failure domain's lease.
    """

    _context: NodeContext
    _lease: DomainLease

    async def run(self) -> None:
        """Free overdue allocations until cancelled."""
        while True:
            engines = domain_engines(self._context)
            for server in engines:
                if self._lease.term is not None:
                    await self.reap(server)
                # Calls are spread over the interval to avoid bursts.
                await self._context.clock.sleep(REAP_INTERVAL_S / len(engines))
            if not engines:
                await self._context.clock.sleep(REAP_INTERVAL_S)

    async def reap(self, server: BackendServer) -> None:
        """Free the overdue allocations of one engine."""
        engines = self._context.engines
        alive = {node.node_id for node in self._context.members.view.nodes}
        try:
            for item in overdue_allocations(
                await engines.allocations(server.address), alive
            ):
                await engines.free(server.address, item.allocation_id)
                log(
                    LogEvent.ALLOCATION_REAPED,
                    backend=server.name,
                    kind=item.kind,
                    owner=item.owner,
                    request_id=item.request_id,
                    tokens=item.tokens,
                )
        except (BackendFailed, BackendRefused):
            # The next check of this engine tries again.
            return

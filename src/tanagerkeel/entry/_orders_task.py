"""Bring the engines of a failure domain to what the configuration wants."""

import asyncio

import attrs

from tanagerkeel.configuration import BackendKind, BackendServer, Catalog
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._domain_lease import DomainLease
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.engines import BackendFailed, BackendRefused
from tanagerkeel.gateways.platform import PlatformUnavailable
from tanagerkeel.orders import (
    DueOrder,
    EngineState,
    OrderBudget,
    OrderKind,
    Tenure,
    desired_order,
    order_kind,
    orders_due,
)

__all__ = ["OrdersTask", "engines_of"]

INTERVAL_S = 10.0
TURN_S = 1.0
MAX_CALLS = 8


def engines_of(context: NodeContext) -> tuple[BackendServer, ...]:
    """Return the engines of this node's failure domain."""
    catalog = context.configuration.current
    if catalog is None:
        return ()
    servers = catalog.backends_in(context.settings.failure_domain)
    return tuple(s for s in servers if s.kind is BackendKind.ENGINE)


@attrs.define
class OrdersTask:
    """
    Gives orders while this node holds the failure domain's lease.

    :param context: the node's gateways and state.
    :param lease: the failure domain's lease.
    """

    _context: NodeContext
    _lease: DomainLease
    _budget: OrderBudget | None = None
    _budget_of: int = 0
    _looked_s: float = float("-inf")
    _revision: int = 0
    _unfinished: bool = False

    async def run(self) -> None:
        """Give orders until cancelled."""
        while True:
            tenure = self._lease.tenure
            if tenure is not None and self._is_due(tenure):
                await self.turn(tenure)
            await self._context.clock.sleep(TURN_S)

    async def turn(self, tenure: Tenure) -> None:
        """Look at every engine and give the orders that are due."""
        context = self._context
        self._start_tenure(tenure)
        catalog = context.configuration.current
        self._looked_s = context.clock.monotonic()
        self._revision = catalog.revision
        states = await self._engine_states(catalog)
        now = context.clock.monotonic()
        for state in states:
            if order_kind(state.desired, state.report) is OrderKind.NONE:
                self._budget.release(state.server.name)
        due = list(orders_due(states, tenure.fencing))
        # What the budget or the wait held back is looked at again soon.
        self._unfinished = bool(due)
        for item in due:
            if self._may_send(item, tenure, len(catalog.domains), now):
                await self._send(item)

    def _is_due(self, tenure: Tenure) -> bool:
        catalog = self._context.configuration.current
        if catalog is None:
            return False
        now = self._context.clock.monotonic()
        fresh = self._budget_of == tenure.fencing and self._revision == catalog.revision
        return not fresh or self._unfinished or now - self._looked_s >= INTERVAL_S

    def _start_tenure(self, tenure: Tenure) -> None:
        if self._budget is None or self._budget_of != tenure.fencing:
            self._budget = OrderBudget(self._lease.policy, tenure.since_s)
            self._budget_of = tenure.fencing

    async def _engine_states(self, catalog: Catalog) -> tuple[EngineState, ...]:
        slots = asyncio.Semaphore(MAX_CALLS)

        async def look(server: BackendServer) -> EngineState | None:
            async with slots:
                try:
                    report = await self._context.engines.load_report(server.address)
                except (BackendFailed, BackendRefused):
                    return None
            return EngineState(server, desired_order(server, catalog), report)

        engines = [s for s in engines_of(self._context) if not s.leaving]
        found = await asyncio.gather(*map(look, engines))
        return tuple(s for s in found if s is not None and not s.report.leaving)

    def _may_send(
        self, due: DueOrder, tenure: Tenure, domains: int, now: float
    ) -> bool:
        server = due.engine.server
        # An order of the holder before may still come to an engine that would
        # obey it after ours.
        if not server.checks_fencing and not tenure.earlier_orders_settled(
            now, self._lease.policy
        ):
            return False
        return self._budget.try_acquire(server.name, due.kind, domains, now)

    async def _send(self, due: DueOrder) -> None:
        context = self._context
        server = due.engine.server
        # Looked at again for each order: this process may have been paused.
        tenure = self._lease.tenure
        if tenure is None or tenure.fencing != due.order.fencing:
            return
        try:
            result = await context.engines.send_order(server.address, due.order)
        except (BackendFailed, BackendRefused) as error:
            # Whether it obeys shows in its next report.
            log(LogEvent.ORDER_REFUSED, backend=server.name, error=error.reason)
            return
        if result.accepted:
            log(
                LogEvent.ORDER_SENT,
                backend=server.name,
                fencing=due.order.fencing,
                version=due.order.version,
                role=due.order.role,
            )
            return
        log(LogEvent.ORDER_REFUSED, backend=server.name, fencing=result.fencing)
        if result.fencing > due.order.fencing:
            await self._step_down(result.fencing)

    async def _step_down(self, seen: int) -> None:
        # Somebody with a later number gives orders here.
        try:
            await self._lease.step_down(seen)
        except PlatformUnavailable:
            # It lapses by itself.
            pass

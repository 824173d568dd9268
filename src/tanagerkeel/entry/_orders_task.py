"""Give orders that bring a failure domain's engines to their desired state."""

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
    LeadershipTerm,
    OrderBudget,
    OrderKind,
    desired_state,
    order_kind,
    orders_due,
)

__all__ = ["OrdersTask", "domain_engines"]

# Interval at which all engines are checked while nothing has changed.
FULL_CHECK_INTERVAL_S = 10.0
POLL_INTERVAL_S = 1.0
MAX_CONCURRENT_CALLS = 8


def domain_engines(context: NodeContext) -> tuple[BackendServer, ...]:
    """Return the engines of this node's failure domain."""
    catalog = context.configuration.current
    if catalog is None:
        return ()
    servers = catalog.backends_in(context.settings.failure_domain)
    return tuple(s for s in servers if s.kind is BackendKind.ENGINE)


@attrs.define
class OrdersTask:
    """
    Gives orders to engines while this node holds the failure domain's lease.

    :param context: the node's gateways and state.
    :param lease: the failure domain's lease.
    """

    _context: NodeContext
    _lease: DomainLease
    _budget: OrderBudget | None = None
    # Fencing token of the term that the budget belongs to.
    _budget_fencing: int = 0
    # Monotonic time of the last check, and the configuration revision it applied.
    _checked_s: float = float("-inf")
    _revision: int = 0
    _orders_pending: bool = False

    async def run(self) -> None:
        """Give orders until cancelled."""
        while True:
            term = self._lease.term
            if term is not None and self._is_due(term):
                await self.run_once(term)
            await self._context.clock.sleep(POLL_INTERVAL_S)

    async def run_once(self, term: LeadershipTerm) -> None:
        """Check the state of every engine and send the orders that are due."""
        context = self._context
        self._start_term(term)
        catalog = context.configuration.current
        self._checked_s = context.clock.monotonic()
        self._revision = catalog.revision
        states = await self._engine_states(catalog)
        now = context.clock.monotonic()
        for state in states:
            if order_kind(state.desired, state.report) is OrderKind.NONE:
                self._budget.release(state.server.name)
        due = list(orders_due(states, term.fencing))
        # Orders that the budget or the wait after an election holds back are tried
        # again at the next poll.
        self._orders_pending = bool(due)
        for item in due:
            if self._may_send(item, term, len(catalog.domains), now):
                await self._send(item)

    def _is_due(self, term: LeadershipTerm) -> bool:
        catalog = self._context.configuration.current
        if catalog is None:
            return False
        now = self._context.clock.monotonic()
        up_to_date = (
            self._budget_fencing == term.fencing and self._revision == catalog.revision
        )
        return (
            not up_to_date
            or self._orders_pending
            or now - self._checked_s >= FULL_CHECK_INTERVAL_S
        )

    def _start_term(self, term: LeadershipTerm) -> None:
        if self._budget is None or self._budget_fencing != term.fencing:
            self._budget = OrderBudget(self._lease.policy, term.since_s)
            self._budget_fencing = term.fencing

    async def _engine_states(self, catalog: Catalog) -> tuple[EngineState, ...]:
        slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def fetch_state(server: BackendServer) -> EngineState | None:
            async with slots:
                try:
                    report = await self._context.engines.load_report(server.address)
                except (BackendFailed, BackendRefused):
                    return None
            return EngineState(server, desired_state(server, catalog), report)

        engines = [s for s in domain_engines(self._context) if not s.leaving]
        found = await asyncio.gather(*map(fetch_state, engines))
        return tuple(s for s in found if s is not None and not s.report.leaving)

    def _may_send(
        self, due: DueOrder, term: LeadershipTerm, domains: int, now: float
    ) -> bool:
        server = due.engine.server
        # An engine that doesn't check fencing tokens would still obey a late order of
        # the previous holder, after ours.
        if not server.checks_fencing and not term.earlier_orders_settled(
            now, self._lease.policy
        ):
            return False
        return self._budget.try_acquire(server.name, due.kind, domains, now)

    async def _send(self, due: DueOrder) -> None:
        context = self._context
        server = due.engine.server
        # Checked again for each order, since this process may have been paused.
        term = self._lease.term
        if term is None or term.fencing != due.order.fencing:
            return
        try:
            result = await context.engines.send_order(server.address, due.order)
        except (BackendFailed, BackendRefused) as error:
            # The next report shows whether the engine has applied the order.
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

    async def _step_down(self, seen_fencing: int) -> None:
        # A node with a higher fencing token gives orders in this failure domain.
        try:
            await self._lease.step_down(seen_fencing)
        except PlatformUnavailable:
            # The lease expires by itself.
            pass

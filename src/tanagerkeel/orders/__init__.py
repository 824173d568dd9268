"""Engine orders: desired engine state, who may order it, and overdue memory."""

from tanagerkeel.orders._budget import OrderBudget
from tanagerkeel.orders._desired import (
    DueOrder,
    EngineState,
    OrderKind,
    desired_state,
    order_kind,
    orders_due,
)
from tanagerkeel.orders._leadership_term import LeadershipTerm, OrderPolicy
from tanagerkeel.orders._reaping import overdue_allocations

__all__ = [
    "DueOrder",
    "EngineState",
    "LeadershipTerm",
    "OrderBudget",
    "OrderKind",
    "OrderPolicy",
    "desired_state",
    "order_kind",
    "orders_due",
    "overdue_allocations",
]

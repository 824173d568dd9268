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
from tanagerkeel.orders._reaping import overdue_allocations
from tanagerkeel.orders._tenure import OrderPolicy, Tenure

__all__ = [
    "DueOrder",
    "EngineState",
    "OrderBudget",
    "OrderKind",
    "OrderPolicy",
    "Tenure",
    "desired_state",
    "order_kind",
    "orders_due",
    "overdue_allocations",
]

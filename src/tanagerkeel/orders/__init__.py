"""Engine orders: desired engine state, who may order it, and overdue memory."""

from tanagerkeel.orders._budget import OrderBudget
from tanagerkeel.orders._desired import (
    DueOrder,
    EngineCondition,
    OrderKind,
    order_kind,
    orders_due,
    wanted,
)
from tanagerkeel.orders._reaping import overdue
from tanagerkeel.orders._tenure import OrderPolicy, Tenure

__all__ = [
    "DueOrder",
    "EngineCondition",
    "OrderBudget",
    "OrderKind",
    "OrderPolicy",
    "Tenure",
    "order_kind",
    "orders_due",
    "overdue",
    "wanted",
]

"""Desired state of engines, and the orders that bring them to it."""

import enum
from collections.abc import Iterator

import attrs

from tanagerkeel.configuration import BackendServer, Catalog, EngineOrderSpec
from tanagerkeel.gateways.engines import EngineOrder, LoadReport

__all__ = [
    "DueOrder",
    "EngineState",
    "OrderKind",
    "desired_state",
    "order_kind",
    "orders_due",
]


class OrderKind(enum.StrEnum):
    """
    What an order costs.

    ``NONE`` when the engine is in its desired state, ``ROLE`` when only its role
    changes, ``WEIGHTS`` when it has to load model weights from the weight store.
    """

    NONE = "none"
    ROLE = "role"
    WEIGHTS = "weights"


@attrs.frozen
class EngineState:
    """
    Desired and reported state of an engine.

    :param server: its entry in the configuration.
    :param desired: desired state.
    :param report: state that the engine last reported.
    """

    server: BackendServer
    desired: EngineOrderSpec
    report: LoadReport


@attrs.frozen
class DueOrder:
    """
    An order to send to an engine.

    :param engine: desired and reported state of the engine.
    :param kind: what the order costs.
    :param order: the message to the engine.
    """

    engine: EngineState
    kind: OrderKind
    order: EngineOrder


def desired_state(server: BackendServer, catalog: Catalog) -> EngineOrderSpec:
    """
    Return the desired state of an engine.

    If the engine's own entry sets no version, the version is that of the first of its
    models that the catalog holds.
    """
    if server.order.version:
        return server.order
    models = (catalog.models.get(name) for name in server.models)
    version = next((model.version for model in models if model is not None), "")
    return attrs.evolve(server.order, version=version)


def order_kind(desired: EngineOrderSpec, report: LoadReport) -> OrderKind:
    """
    Return the kind of order that brings an engine to the desired state.

    An empty version or list of adapters in ``desired`` leaves the engine's as it is.
    """
    version_differs = bool(desired.version) and desired.version != report.version
    adapters_differ = bool(desired.adapters) and set(desired.adapters) != set(
        report.adapters
    )
    if version_differs or adapters_differ:
        return OrderKind.WEIGHTS
    return OrderKind.ROLE if desired.role != report.role else OrderKind.NONE


def orders_due(engines: tuple[EngineState, ...], fencing: int) -> Iterator[DueOrder]:
    """Yield an order for each engine that isn't in its desired state."""
    for engine in engines:
        kind = order_kind(engine.desired, engine.report)
        if kind is OrderKind.NONE:
            continue
        order = EngineOrder(
            fencing=fencing,
            version=engine.desired.version or engine.report.version,
            adapters=engine.desired.adapters or engine.report.adapters,
            role=engine.desired.role,
        )
        yield DueOrder(engine, kind, order)

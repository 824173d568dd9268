"""When the holder of a failure domain's lease may give orders."""

import attrs

__all__ = ["LeadershipTerm", "OrderPolicy"]


@attrs.frozen
class OrderPolicy:
    """
    Times and limits of engine orders; times are in seconds.

    :param lease_ttl_s: time after its last renewal at which the lease expires.
    :param stop_margin_s: time before the lease expires, by the holder's own clock, from
        which the holder gives no more orders.
    :param max_order_s: time within which an order has reached its engine and taken
        effect.
    :param max_concurrent_loads: weight loads at the same time in a failure domain.
    :param fleet_loads_per_s: weight loads per second that the weight store can serve to
        the whole fleet; each failure domain has an equal share.
    """

    lease_ttl_s: float = 15.0
    stop_margin_s: float = 5.0
    max_order_s: float = 60.0
    max_concurrent_loads: int = 2
    fleet_loads_per_s: float = 2.0


@attrs.frozen
class LeadershipTerm:
    """
    One unbroken period of holding the lease; times are monotonic, in seconds.

    :param fencing: fencing token, which is higher for each later term.
    :param since_s: time at which the term began.
    :param renewed_s: time at which the last successful renewal was requested.
    """

    fencing: int
    since_s: float
    renewed_s: float

    def is_held(self, now: float, policy: OrderPolicy) -> bool:
        """Return whether the holder may still give orders."""
        return now < self.renewed_s + policy.lease_ttl_s - policy.stop_margin_s

    def earlier_orders_settled(self, now: float, policy: OrderPolicy) -> bool:
        """Return whether all orders of the previous holder have taken effect."""
        return now >= self.since_s + policy.max_order_s

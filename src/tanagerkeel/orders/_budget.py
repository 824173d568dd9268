"""Rate limit of the orders that the holder of a lease gives."""

import attrs

from tanagerkeel.orders._desired import OrderKind
from tanagerkeel.orders._leadership_term import OrderPolicy

__all__ = ["OrderBudget"]


@attrs.define
class OrderBudget:
    """
    Token bucket for weight loads, and a record of the orders in progress.

    The bucket refills with the failure domain's share of the weight store's capacity.
    It starts empty, since how much the previous holder has used isn't known.

    :param policy: times and limits.
    :param refilled_s: monotonic time at which it starts to refill, in seconds.
    """

    _policy: OrderPolicy
    _refilled_s: float
    _available_loads: float = 0.0
    # Monotonic time until which each engine may still carry out its order.
    _busy_until_s: dict[str, float] = attrs.field(factory=dict)
    _loading: set[str] = attrs.field(factory=set)

    def try_acquire(
        self, backend: str, kind: OrderKind, domains: int, now: float
    ) -> bool:
        """
        Return whether an engine may be given an order now; if so, count it.

        An engine that may still be carrying out an order gets no other.

        :param backend: name of the engine.
        :param kind: what the order costs; only weight loads are limited.
        :param domains: number of failure domains that share the weight store.
        :param now: monotonic time in seconds.
        """
        self._refill(domains, now)
        if backend in self._busy_until_s:
            return False
        if kind is OrderKind.WEIGHTS:
            if (
                self._available_loads < 1.0
                or len(self._loading) >= self._policy.max_concurrent_loads
            ):
                return False
            self._available_loads -= 1.0
            self._loading.add(backend)
        self._busy_until_s[backend] = now + self._policy.max_order_s
        return True

    def release(self, backend: str) -> None:
        """Record that an engine is in its desired state."""
        self._busy_until_s.pop(backend, None)
        self._loading.discard(backend)

    def _refill(self, domains: int, now: float) -> None:
        rate = self._policy.fleet_loads_per_s / max(1, domains)
        earned = (now - self._refilled_s) * rate
        self._available_loads = min(
            self._policy.max_concurrent_loads, self._available_loads + earned
        )
        self._refilled_s = now
        self._busy_until_s = {b: t for b, t in self._busy_until_s.items() if t > now}
        self._loading &= self._busy_until_s.keys()

"""The soak test's engine that names how many requests a second it takes."""

import time

import attrs

__all__ = ["LIMIT_VALUE", "LimitChecker"]

# The Server-Limit of the engine's responses, in requests per second.
LIMIT_VALUE = "2"
# Users' bound on the requests in any span of this length, in seconds, from this time
# after the limit was first named on; it counts those of nodes that passed the limit on
# at least this long before.
SPAN_S = 4.0
STABLE_S = 3.0
TOLD_S = 0.5
ALLOWED = 1.5 * float(LIMIT_VALUE) * SPAN_S + 5


@attrs.define
class LimitChecker:
    """
    Counts requests that reach an engine with a limit; times are monotonic, in seconds.

    :param named_s: when each engine, by its id, first named its limit.
    :param told_s: when a client first received the limit of an engine through a node,
        by node and engine.
    :param disrupted_s: when each node was last restarted, frozen or reloaded.
    """

    named_s: dict[str, float] = attrs.field(factory=dict)
    told_s: dict[tuple[str, str], float] = attrs.field(factory=dict)
    disrupted_s: dict[str, float] = attrs.field(factory=dict)
    _arrivals_s: dict[str, list[float]] = attrs.field(factory=dict)

    def record_named(self, engine_id: str) -> None:
        self.named_s.setdefault(engine_id, time.monotonic())

    def record_told(self, node: str, engine_id: str) -> None:
        self.told_s.setdefault((node, engine_id), time.monotonic())

    def record_disruption(self, node: str) -> None:
        self.disrupted_s[node] = time.monotonic()
        for key in [key for key in self.told_s if key[0] == node]:
            del self.told_s[key]

    def record_end(self, engine_id: str) -> None:
        """Forget the limit of an engine that names none any more."""
        self.named_s.pop(engine_id, None)
        self._arrivals_s.pop(engine_id, None)
        for key in [key for key in self.told_s if key[1] == engine_id]:
            del self.told_s[key]

    def record_arrival(self, node: str, engine_id: str) -> bool:
        """Count a request from a node; return whether the bound is exceeded."""
        now = time.monotonic()
        named_s = self.named_s.get(engine_id, float("inf"))
        told_s = self.told_s.get((node, engine_id), float("inf"))
        in_touch = now - self.disrupted_s.get(node, 0.0) > STABLE_S
        if now < named_s + STABLE_S or now < told_s + TOLD_S or not in_touch:
            return False
        arrivals_s = self._arrivals_s.setdefault(engine_id, [])
        arrivals_s.append(now)
        return sum(now - s < SPAN_S for s in arrivals_s) > ALLOWED

"""
How long a slow engine is ejected, and how many engines may be ejected at the same time.

The fraction of engines with the same models that may be ejected is bounded, so that
a slowdown of the whole fleet does not take its capacity away.
"""

import attrs

__all__ = ["Ejections"]

EJECTION_S = 60.0
MAX_EJECTION_S = 600.0
# After this time without an ejection, the next one has the shortest duration again.
EJECTION_RESET_S = 900.0
MAX_EJECTED_FRACTION = 0.2


@attrs.frozen
class _Ejection:
    until_s: float
    duration_s: float


@attrs.define
class Ejections:
    """
    The engines that get no new work because they are slow; times are monotonic.

    An ejected engine gets work again after its ejection. The duration doubles each
    time the engine is found slow again, up to ``MAX_EJECTION_S``.
    """

    _ejected: dict[str, _Ejection] = attrs.field(factory=dict)

    def is_ejected(self, name: str, now: float) -> bool:
        """Return whether an engine is ejected."""
        ejection = self._ejected.get(name)
        return ejection is not None and now < ejection.until_s

    def eject(self, name: str, peers: tuple[str, ...], now: float) -> bool:
        """
        Eject an engine unless too many of its peers are ejected already.

        :param name: name of the engine.
        :param peers: names of all engines that serve the same models, including it.
        :param now: this node's monotonic time, in seconds.
        :returns: whether it was ejected.
        """
        ejected_others = sum(
            self.is_ejected(peer, now) for peer in peers if peer != name
        )
        if ejected_others + 1 > int(len(peers) * MAX_EJECTED_FRACTION):
            return False
        duration_s = self._next_duration_s(name, now)
        self._ejected[name] = _Ejection(now + duration_s, duration_s)
        return True

    def retain_only(self, names: set[str]) -> None:
        """Drop the ejections of all other engines."""
        kept = {n: e for n, e in self._ejected.items() if n in names}
        self._ejected = kept

    def _next_duration_s(self, name: str, now: float) -> float:
        last = self._ejected.get(name)
        if last is None or now - last.until_s > EJECTION_RESET_S:
            return EJECTION_S
        return min(MAX_EJECTION_S, 2 * last.duration_s)

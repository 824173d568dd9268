"""The soak test's engines that leave, and which nodes are told so in time."""

import collections
import contextlib
import time
from collections.abc import Iterable, Iterator

import attrs

__all__ = ["STABLE_S", "LeavingChecker"]

# Latest arrival at an engine after the store has accepted that it leaves, in seconds.
DRAIN_BOUND_S = 2.0
# How long a node, or the store, has to be without a disruption before bounds in time
# hold for it, in seconds.
STABLE_S = 3.0
# Things that may be disrupted, besides the store: a node's process, its way to the
# store, and its way to the engines.
STORE = ("store", "")


@attrs.define
class LeavingChecker:
    """
    Checks that no request reaches an engine long after the store says that it leaves.

    It counts for requests of a node whose process and ways to the engines are stable,
    if the node or any other one has had a stable way to the store since before the
    acceptance: a node that started later knows nothing of the time before. Times are
    monotonic, in seconds.

    :param accepted_s: when the store accepted that each engine leaves, by its id.
    :param checked: how many requests were sent while an engine had to get none.
    """

    accepted_s: dict[str, float] = attrs.field(factory=dict)
    checked: int = 0
    _disruptions: "collections.Counter[tuple[str, str]]" = attrs.field(
        factory=collections.Counter
    )
    _ended_s: dict[tuple[str, str], float] = attrs.field(factory=dict)

    @contextlib.contextmanager
    def disruption(self, kind: str, node: str = "") -> Iterator[None]:
        """Record that something is disrupted while the context lasts."""
        self._disruptions[kind, node] += 1
        try:
            yield
        finally:
            self._disruptions[kind, node] -= 1
            self.record_disruption(kind, node)

    def record_disruption(self, kind: str, node: str = "") -> None:
        """Record a disruption that ends now."""
        self._ended_s[kind, node] = time.monotonic()

    def record_accepted(self, engine_id: str) -> None:
        """Record that the store, if it is stable, accepts that an engine leaves."""
        now = time.monotonic()
        if self._stable(STORE, now):
            self.accepted_s[engine_id] = now

    def is_late(self, node: str, nodes: Iterable[str], engine_id: str) -> bool:
        """
        Return whether a request that reaches an engine now breaks the bound.

        :param node: the node that the request was sent to.
        :param nodes: all nodes.
        """
        now = time.monotonic()
        due = {
            name: accepted_s
            for name, accepted_s in self.accepted_s.items()
            if now > accepted_s + DRAIN_BOUND_S
            and self._in_touch(node, nodes, accepted_s, now)
        }
        self.checked += bool(due)
        return engine_id in due

    def _in_touch(
        self, node: str, nodes: Iterable[str], accepted_s: float, now: float
    ) -> bool:
        own = (STORE, ("process", node), ("engines", node))
        return all(self._stable(key, now) for key in own) and any(
            self._stable(("process", name), accepted_s)
            and self._stable(("calls", name), accepted_s)
            for name in nodes
        )

    def _stable(self, key: tuple[str, str], since_s: float) -> bool:
        """Return whether something was stable at a moment and has been since."""
        ended_s = self._ended_s.get(key, float("-inf"))
        return not self._disruptions[key] and since_s > ended_s + STABLE_S

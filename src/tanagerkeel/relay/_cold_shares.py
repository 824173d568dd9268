"""
Which nodes may use a cold backend server, and how often.

Load pattern: many nodes meet a backend server that has just come back and see it as
free. The bound on its requests holds over all nodes, in touch or not, so that only
its first nodes in rendezvous order use it, each at a fixed rate.
"""

import collections
import math

import attrs

from tanagerkeel.rendezvous import rendezvous

__all__ = ["ColdShares"]

WINDOW_S = 1.0
# Share of the bound that is used: views of who lives may differ for a while.
MARGIN = 0.6


@attrs.define
class ColdShares:
    """
    Counts what this node sends to cold backend servers.

    :param node: this node's id.
    """

    _node: str
    _sends: dict[str, "collections.deque[float]"] = attrs.field(factory=dict)

    def allowance(self, backend_id: str, per_s: float, nodes: tuple[str, ...]) -> float:
        """
        Return how many requests a second this node may send.

        :param backend_id: the cold backend server.
        :param per_s: requests a second that it bears.
        :param nodes: all nodes that may be alive, this one included.
        """
        usable = per_s * MARGIN
        if usable >= len(nodes):
            return math.floor(usable / max(1, len(nodes)))
        owners = rendezvous(backend_id, nodes)[: math.floor(usable)]
        return 1.0 if self._node in owners else 0.0

    def open(
        self, backend_id: str, per_s: float, nodes: tuple[str, ...], now: float
    ) -> bool:
        """Return whether this node may send one request now."""
        sends = self._sends.get(backend_id)
        if sends is None:
            return self.allowance(backend_id, per_s, nodes) >= 1
        while sends and sends[0] <= now - WINDOW_S:
            sends.popleft()
        return len(sends) + 1 <= self.allowance(backend_id, per_s, nodes)

    def sent(self, backend_id: str, now: float) -> None:
        """Count one request."""
        self._sends.setdefault(backend_id, collections.deque()).append(now)

    def forget(self, backend_id: str) -> None:
        """Forget a backend server that is gone."""
        self._sends.pop(backend_id, None)

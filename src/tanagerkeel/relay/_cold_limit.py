"""
Whether this node may send a request to a cold backend server.

It is decided from the server's limit on requests per second over all nodes, from the
nodes that may be alive, and from what this node sent within the last second.

Load pattern: a backend server has just come back and all nodes see it as free at the
same time. Its limit holds over all nodes, also when they can't communicate. Each node
therefore gets a fixed rate. If the limit leaves less than one request a second for each
node, only the first nodes in the server's rendezvous order send to it.
"""

import collections
import math

import attrs

from tanagerkeel.rendezvous import rendezvous

__all__ = ["ColdStartLimiter"]

# Length of the sliding window in which sends are counted, in seconds.
WINDOW_S = 1.0
# Share of the limit that is used: nodes may disagree for a while on which nodes are
# alive.
USED_SHARE = 0.6


@attrs.define
class ColdStartLimiter:
    """
    Limits the rate at which this node sends to cold backend servers.

    :param node: this node's id.
    """

    _node: str
    _sends: dict[str, "collections.deque[float]"] = attrs.field(factory=dict)

    def allowance(self, backend_id: str, per_s: float, nodes: tuple[str, ...]) -> float:
        """
        Return how many requests per second this node may send.

        :param backend_id: the cold backend server.
        :param per_s: requests per second that it can take from all nodes.
        :param nodes: all nodes that may be alive, this one included.
        """
        usable = per_s * USED_SHARE
        if usable >= len(nodes):
            return math.floor(usable / max(1, len(nodes)))
        owners = rendezvous(backend_id, nodes)[: math.floor(usable)]
        return 1.0 if self._node in owners else 0.0

    def allows(
        self, backend_id: str, per_s: float, nodes: tuple[str, ...], now: float
    ) -> bool:
        """
        Return whether this node may send one request now.

        :param backend_id: the cold backend server.
        :param per_s: requests per second that it can take from all nodes.
        :param nodes: all nodes that may be alive, this one included.
        :param now: monotonic time, in seconds.
        """
        sends = self._sends.get(backend_id)
        if sends is None:
            return self.allowance(backend_id, per_s, nodes) >= 1
        while sends and sends[0] <= now - WINDOW_S:
            sends.popleft()
        return len(sends) + 1 <= self.allowance(backend_id, per_s, nodes)

    def record_send(self, backend_id: str, now: float) -> None:
        """Count a request that is sent."""
        self._sends.setdefault(backend_id, collections.deque()).append(now)

    def remove(self, backend_id: str) -> None:
        """Drop the counts of a backend server that is gone."""
        self._sends.pop(backend_id, None)

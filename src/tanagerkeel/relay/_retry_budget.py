"""
Whether this node may make a retry, within a limit on the retries of all nodes.

It is decided from the requests and retries of this node in the current window, the
number of nodes, and what the other nodes reported of their retries.

Load pattern: many requests fail at once, on a few nodes or on all. The limit applies to
all nodes together. It is the sum of a fixed share of the requests and an extra. On each
node, the share is taken of the requests of its own callers. The extra is shared: each
node reports how much of it it has used, so that a few nodes may use most of it. A node
that has not reported counts as having used an equal part, and each node can always use
its equal part.
"""

import collections
from collections.abc import Mapping

import attrs

__all__ = ["SharedRetryBudget"]

# Share of the limit that is used: reports of other nodes' retries take some
# milliseconds to arrive, and nodes may disagree on how many of them are alive.
USED_SHARE = 0.6


@attrs.define
class SharedRetryBudget:
    """
    Limits the retries of one node for one service.

    A retry is any send of a request after its first.

    :param ratio: retries allowed for each request in the window.
    :param extra: retries allowed in the window in addition, over all nodes together.
    :param window_s: length of the sliding window, in seconds.
    """

    _ratio: float
    _extra: float
    _window_s: float
    _requests: "collections.deque[float]" = attrs.field(factory=collections.deque)
    _retries: "collections.deque[float]" = attrs.field(factory=collections.deque)

    def record_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def used_extra(self, now: float) -> int:
        """Return how many retries this node has taken from the extra in the window."""
        self._expire(now)
        return max(0, len(self._retries) - int(self._own_share()))

    def try_acquire(self, now: float, nodes: int, reported: Mapping[str, int]) -> bool:
        """
        Count a retry and return True if the limit allows one more; else return False.

        :param now: monotonic time, in seconds.
        :param nodes: number of nodes that may send, this one included.
        :param reported: how many retries other nodes took from the extra according to
            their current reports, by the node's id.
        """
        self._expire(now)
        extra = USED_SHARE * self._extra
        equal_part = extra / max(1, nodes)
        silent = max(0, nodes - 1 - len(reported))
        left = extra - sum(reported.values()) - silent * equal_part
        allowed = self._own_share() + max(1.0, equal_part, left)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _own_share(self) -> float:
        return USED_SHARE * self._ratio * len(self._requests)

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()

"""
How much of the retries that all nodes may make together this node may make.

Load pattern: many requests fail at once, on every node. The bound holds over all
nodes, which don't ask each other, so each keeps to a share of it: a part of what its
own callers sent, and an equal part of the fixed extra.
"""

import collections
import math

import attrs

__all__ = ["RetryShare"]

# Share of the bound that is used: nodes may differ in how many they believe to live.
MARGIN = 0.7


@attrs.define
class RetryShare:
    """
    Bounds the sends beyond the first of each request, for one service on one node.

    :param ratio: sends allowed for each request, over all nodes.
    :param extra: sends allowed beside those in each window, over all nodes.
    :param window_s: length of the window, in seconds.
    """

    _ratio: float
    _extra: float
    _window_s: float
    _requests: "collections.deque[float]" = attrs.field(factory=collections.deque)
    _repeats: "collections.deque[float]" = attrs.field(factory=collections.deque)

    def count_request(self, now: float) -> None:
        """Take in a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def take(self, now: float, nodes: int) -> bool:
        """
        Count a send beyond a request's first, if one is left.

        :param now: monotonic time, in seconds.
        :param nodes: nodes that share the extra.
        """
        self._expire(now)
        fixed = math.floor(MARGIN * self._extra / max(1, nodes))
        allowed = MARGIN * self._ratio * len(self._requests) + max(1, fixed)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window_s:
                times.popleft()

"""
How many of the retries that all nodes may make together this node may make.

Load pattern: many requests fail at once, on a few nodes or on all. The bound holds
over all nodes and has a part for each request and a fixed extra. The first part stays
with the node whose callers sent the requests. Of the extra each node tells what it
has used, so that a few nodes may use most of it; a node that isn't heard counts with
an equal part of it, and a node always has its own equal part.
"""

import collections
from collections.abc import Mapping

import attrs

__all__ = ["RetryShare"]

# Share of the bound that is used: the word of other nodes' retries is on its way for
# some milliseconds, and nodes may differ in how many they believe to live.
MARGIN = 0.6


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

    def used_extra(self, now: float) -> int:
        """Return how much of the extra this node has used in the window."""
        self._expire(now)
        return max(0, len(self._repeats) - int(self._own_part()))

    def take(self, now: float, nodes: int, heard: Mapping[str, int]) -> bool:
        """
        Count a send beyond a request's first, if one is left.

        :param now: monotonic time, in seconds.
        :param nodes: nodes that may send, this one included.
        :param heard: what other nodes lately said that they used of the extra.
        """
        self._expire(now)
        extra = MARGIN * self._extra
        equal = extra / max(1, nodes)
        silent = max(0, nodes - 1 - len(heard))
        left = extra - sum(heard.values()) - silent * equal
        allowed = self._own_part() + max(1.0, equal, left)
        if len(self._repeats) + 1 > allowed:
            return False
        self._repeats.append(now)
        return True

    def _own_part(self) -> float:
        return MARGIN * self._ratio * len(self._requests)

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window_s:
                times.popleft()

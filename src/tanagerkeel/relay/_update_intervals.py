"""
How often a node repeats its update to peers, by the size of the fleet.

Load pattern: a large fleet in steady state, in which each node serves a request a
second or fewer. Repeats to all peers at a fixed interval make each node read a number
of them that grows with the fleet: 50 to 100 a second at 195 nodes, computed. So the
nodes of other failure domains, which use this node's engines only when they lack their
own, get repeats at intervals that grow with the fleet, and each update says how long it
is valid.
"""

import attrs

from tanagerkeel.relay._assignments import PEER_TIMEOUT_S
from tanagerkeel.relay._fleet_size import SMALL_FLEET_NODES

__all__ = ["UpdateIntervals", "read_interval_s", "repeat_intervals"]

# Interval of updates while the node runs anything, in seconds.
REPEAT_INTERVAL_S = 2.0
# The same for a node that runs nothing.
IDLE_REPEAT_INTERVAL_S = 4.0
# Number of repeats that a node reads from all other failure domains, a second.
FAR_REPEATS_PER_S = 20.0
# Shortest time between two reads of datagrams in a large fleet, in seconds for each
# node and in all. In the longest one a failure domain of 39 nodes begins less than one
# request, so that placement rarely misses one.
READ_INTERVAL_PER_NODE_S = 0.000_15
MAX_READ_INTERVAL_S = 0.03
# Number of intervals for which an update is valid: one repeat may be lost.
VALID_INTERVALS = 2.5


@attrs.frozen
class UpdateIntervals:
    """
    When a node sends its next updates, in seconds.

    :param near_s: time to the next one for the nodes of its own failure domain.
    :param far_s: time to the next one for all nodes.
    """

    near_s: float
    far_s: float

    @property
    def valid_s(self) -> float:
        """How long an update to all nodes is valid without another one, in seconds."""
        if self.far_s == self.near_s:
            return PEER_TIMEOUT_S
        return max(PEER_TIMEOUT_S, VALID_INTERVALS * self.far_s)


def repeat_intervals(
    nodes: int, running: bool, has_facts: bool, sent_to_all: int
) -> UpdateIntervals:
    """
    Return the intervals of a node's next updates.

    :param nodes: number of nodes in the fleet.
    :param running: whether the node runs anything.
    :param has_facts: whether the last update held anything but running work, such as
        retries or suspects; every node acts on it, so it is repeated to all as often as
        in a small fleet.
    :param sent_to_all: number of updates that the node has sent to all since its start.
        The first intervals are short, as peers that start at the same time may not know
        each other yet.
    """
    near_s = REPEAT_INTERVAL_S if running else IDLE_REPEAT_INTERVAL_S
    if nodes <= SMALL_FLEET_NODES or has_facts:
        return UpdateIntervals(near_s, near_s)
    first_intervals_s = near_s * 2.0 ** min(sent_to_all, 16)
    far_s = min(nodes / FAR_REPEATS_PER_S, first_intervals_s)
    return UpdateIntervals(near_s, max(near_s, far_s))


def read_interval_s(nodes: int, rate_limited: bool) -> float:
    """
    Return the shortest time between two reads of datagrams, in seconds.

    :param nodes: number of nodes in the fleet.
    :param rate_limited: whether a backend server limits its rate: nodes pace their
        sends to it by reports that have to arrive within some milliseconds.
    """
    if nodes <= SMALL_FLEET_NODES or rate_limited:
        return 0.0
    return min(MAX_READ_INTERVAL_S, READ_INTERVAL_PER_NODE_S * nodes)

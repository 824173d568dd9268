"""
Which peer a node forwards a request to when it reaches no backend server itself.

Load pattern: most nodes of a failure domain lose their way to the backend servers at
the same moment, and forward all that they get. The nodes that are left over there would
be swamped if nearness alone counted.
"""

import random
from collections.abc import Iterable

import attrs

__all__ = ["PeerCandidate", "choose_peer"]

# How many more running requests a peer of the own failure domain may have than one of
# another domain. Bytes between failure domains are priced, and slower by a millisecond.
OTHER_DOMAIN_PENALTY = 4
# Nodes that choose at the same moment, with the same reports, don't all choose the same
# peer: a random number up to this is added to each peer's load.
LOAD_JITTER = 2.0


@attrs.frozen
class PeerCandidate:
    """
    A peer that may reach the backend servers of a service.

    :param node_id: its id.
    :param same_domain: whether it is in this node's failure domain.
    :param running: how many requests it runs, according to its newest report.
    :param forwarded: how many requests this node has forwarded to it that still run.
    """

    node_id: str
    same_domain: bool
    running: int
    forwarded: int


def choose_peer(
    candidates: Iterable[PeerCandidate], rng: random.Random
) -> PeerCandidate | None:
    """
    Return the peer with the least load, rather one of the own failure domain.

    :returns: None if there is no candidate.
    """

    def load(candidate: PeerCandidate) -> float:
        # Forwarded requests are in the peer's report, too, once it has arrived.
        running = max(candidate.running, candidate.forwarded)
        penalty = 0 if candidate.same_domain else OTHER_DOMAIN_PENALTY
        return running + penalty + rng.uniform(0.0, LOAD_JITTER)

    return min(candidates, key=load, default=None)

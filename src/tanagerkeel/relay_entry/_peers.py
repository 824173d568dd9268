"""The other nodes, as their lease-bound keys in the platform's store tell."""

import attrs

__all__ = ["NODE_KEY_PREFIX", "Peer", "PeerTable", "node_of_key"]

NODE_KEY_PREFIX = "tanagerkeel/nodes/"
# A node whose key vanished may still send for a while: it counts in shared bounds
# for this time, in seconds, longer than its lease and any window of a bound.
LINGER_S = 12.0


def node_of_key(key: str) -> str | None:
    """Return the node whose key this is; None for any other key."""
    if not key.startswith(NODE_KEY_PREFIX):
        return None
    return key.removeprefix(NODE_KEY_PREFIX) or None


@attrs.frozen
class Peer:
    """
    A node as its key in the store describes it.

    :param node_id: unique name.
    :param failure_domain: its failure domain.
    :param news_address: ``IP:PORT`` where it takes datagrams.
    :param started_ms: wall-clock time of its start, in milliseconds.
    """

    node_id: str
    failure_domain: str
    news_address: str
    started_ms: int


@attrs.define
class PeerTable:
    """
    The nodes that are alive, and those that may be.

    :param own_id: this node's id.
    """

    _own_id: str
    _peers: dict[str, Peer] = attrs.field(factory=dict)
    _gone_s: dict[str, float] = attrs.field(factory=dict)

    @property
    def others(self) -> tuple[Peer, ...]:
        """All other nodes whose keys are there."""
        return tuple(p for p in self._peers.values() if p.node_id != self._own_id)

    @property
    def domains(self) -> dict[str, str]:
        """The failure domain of each node whose key is there, by the node's id."""
        return {p.node_id: p.failure_domain for p in self._peers.values()}

    def get(self, node_id: str) -> Peer | None:
        """Return a node by its id."""
        return self._peers.get(node_id)

    def put(self, peer: Peer) -> bool:
        """Take in a node's key; return whether it is new or has changed."""
        changed = self._peers.get(peer.node_id) != peer
        self._peers[peer.node_id] = peer
        self._gone_s.pop(peer.node_id, None)
        return changed

    def remove(self, node_id: str, now: float) -> bool:
        """Take in that a node's key is gone; return whether it was there."""
        if self._peers.pop(node_id, None) is None:
            return False
        self._gone_s[node_id] = now
        return True

    def names(self) -> tuple[str, ...]:
        """Return the ids of all nodes whose keys are there."""
        return tuple(self._peers)

    def sharing(self, now: float) -> tuple[str, ...]:
        """Return the ids of all nodes that may send, this one included."""
        self._gone_s = {n: s for n, s in self._gone_s.items() if now - s < LINGER_S}
        return tuple(sorted({self._own_id, *self._peers, *self._gone_s}))

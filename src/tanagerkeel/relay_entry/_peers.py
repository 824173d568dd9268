"""The nodes of the fleet, from their lease-bound keys in the platform's store."""

import collections

import attrs

from tanagerkeel import codec
from tanagerkeel.addresses import split_address

__all__ = [
    "NODE_KEY_PREFIX",
    "Peer",
    "PeerReport",
    "PeerTable",
    "decode_peer",
    "node_id_from_key",
]

NODE_KEY_PREFIX = "tanagerkeel/nodes/"
# How long a node whose key is missing after an outage of the store, or in an older copy
# of it, is kept, in seconds. Such nodes announce themselves again within this time.
MISSING_RETENTION_S = 6.0
# A node whose key was removed may still send requests. For this time, in seconds, it
# counts as a node in the limits that nodes share; the time is longer than the lease of
# its key and than the window of any such limit.
REMOVED_RETENTION_S = 12.0


def node_id_from_key(key: str) -> str | None:
    """Return the id of the node whose key this is; None for any other key."""
    if not key.startswith(NODE_KEY_PREFIX):
        return None
    return key.removeprefix(NODE_KEY_PREFIX) or None


@attrs.frozen
class Peer:
    """
    A node, as described by the value of its key in the store.

    :param node_id: unique name.
    :param failure_domain: where it runs; its peers there may get updates first.
    :param news_address: ``IP:PORT`` where it receives peers' datagrams.
    :param started_ms: wall-clock time of its start, in milliseconds.
    :param forward_address: ``IP:PORT`` where it takes forwarded requests; empty if it
        takes none.
    :param signs_own_responses: whether it signs what it says itself about a forwarded
        request; builds up to commit d56ce1e don't.
    """

    node_id: str
    failure_domain: str
    news_address: str
    started_ms: int
    forward_address: str = ""
    signs_own_responses: bool = False


def decode_peer(node_id: str, value: bytes) -> Peer:
    """
    Decode the value of a node's key.

    :param node_id: the id in the key.
    :raises InvalidValue: when the value doesn't describe a node.
    :raises ValueError: when it names another node, or an address that can't be used.
    """
    peer = codec.decode(value, Peer, lenient=True)
    if peer.node_id != node_id:
        raise ValueError(f"the entry of {node_id!r} names {peer.node_id!r}")
    split_address(peer.news_address)
    if peer.forward_address:
        split_address(peer.forward_address)
    return peer


@attrs.frozen
class PeerReport:
    """
    A peer's newest report of its retries.

    :param received_s: monotonic time of its arrival, in seconds.
    :param valid_s: time for which it is valid, in seconds.
    :param retries: retries that the peer has taken from the extra, by service.
    """

    received_s: float
    valid_s: float
    retries: dict[str, int]


@attrs.define
class PeerTable:
    """
    The nodes whose keys are in the store, and those whose keys were just removed.

    :param own_id: this node's id.
    """

    _own_id: str
    _peers: dict[str, Peer] = attrs.field(factory=dict)
    _removed_s: dict[str, float] = attrs.field(factory=dict)
    _missing_s: dict[str, float] = attrs.field(factory=dict)
    _domain_sizes: "collections.Counter[str]" = attrs.field(factory=collections.Counter)

    @property
    def others(self) -> tuple[Peer, ...]:
        """All other nodes whose keys are in the store."""
        return tuple(p for p in self._peers.values() if p.node_id != self._own_id)

    @property
    def domains(self) -> dict[str, str]:
        """Failure domain of each node whose key is in the store, by the node's id."""
        return {p.node_id: p.failure_domain for p in self._peers.values()}

    def get(self, node_id: str) -> Peer | None:
        """Return a node by its id; None if its key is not in the store."""
        return self._peers.get(node_id)

    def domain_size(self, domain: str) -> int:
        """Return how many nodes whose keys are in the store a failure domain has."""
        return self._domain_sizes[domain]

    def put(self, peer: Peer) -> bool:
        """Add or replace a node; return whether it is new or has changed."""
        known = self._peers.get(peer.node_id)
        changed = known != peer
        if known is not None:
            self._domain_sizes[known.failure_domain] -= 1
        self._domain_sizes[peer.failure_domain] += 1
        self._peers[peer.node_id] = peer
        self._removed_s.pop(peer.node_id, None)
        self._missing_s.pop(peer.node_id, None)
        return changed

    def mark_missing(self, node_id: str, now: float) -> None:
        """Record that a node's key is missing, although the node may still run."""
        if node_id in self._peers:
            self._missing_s.setdefault(node_id, now)

    def expired(self, now: float) -> tuple[str, ...]:
        """Return the nodes whose keys have been missing for too long."""
        return tuple(
            node_id
            for node_id, missing_s in self._missing_s.items()
            if now - missing_s >= MISSING_RETENTION_S
        )

    def remove(self, node_id: str, now: float) -> bool:
        """Remove a node whose key is gone; return whether the table held it."""
        peer = self._peers.pop(node_id, None)
        if peer is None:
            return False
        self._domain_sizes[peer.failure_domain] -= 1
        self._missing_s.pop(node_id, None)
        self._removed_s[node_id] = now
        return True

    def ids(self) -> tuple[str, ...]:
        """Return the ids of all nodes whose keys are in the store."""
        return tuple(self._peers)

    def possible_senders(self, now: float) -> tuple[str, ...]:
        """Return the ids of all nodes that may send requests, this one included."""
        self._removed_s = {
            n: s for n, s in self._removed_s.items() if now - s < REMOVED_RETENTION_S
        }
        return tuple(sorted({self._own_id, *self._peers, *self._removed_s}))

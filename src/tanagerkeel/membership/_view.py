"""The nodes that are considered alive."""

import attrs
import xxhash

from tanagerkeel.rendezvous import rendezvous

__all__ = ["MembershipHolder", "NodeInfo", "View"]


@attrs.frozen(order=True)
class NodeInfo:
    """
    Identity, addresses and state of a node, as sent to other nodes.

    :param node_id: unique name.
    :param failure_domain: name of its failure domain.
    :param peers_address: ``IP:PORT`` for messages between nodes.
    :param forward_address: ``IP:PORT`` for forwarded requests.
    :param incarnation: time of the node's start in milliseconds since the epoch;
        never lower than that of an earlier start that other nodes still know.
    :param stopping: whether it accepts no new work.
    :param update_number: raised by the node whenever it refutes a suspicion or
        announces that it stops or leaves; orders the updates of one incarnation.
    """

    node_id: str
    failure_domain: str
    peers_address: str
    forward_address: str
    incarnation: int = 0
    stopping: bool = False
    update_number: int = 0


@attrs.frozen
class View:
    """
    The nodes that are considered alive, including this node.

    :param nodes: the nodes of this node's failure domain, ordered by id.
    :param remote_nodes: known nodes of other failure domains.
    """

    nodes: tuple[NodeInfo, ...]
    remote_nodes: tuple[NodeInfo, ...] = ()

    @property
    def digest(self) -> int:
        """Hash of ``nodes``; equal on nodes with the same view of the domain."""
        parts = (f"{n.node_id}:{n.incarnation}:{n.update_number}" for n in self.nodes)
        return xxhash.xxh32_intdigest(",".join(parts).encode())

    def ranked(self, key: str) -> tuple[NodeInfo, ...]:
        """Return the domain's nodes in the rendezvous order of ``key``."""
        by_id = {node.node_id: node for node in self.nodes}
        return tuple(by_id[name] for name in rendezvous(key, tuple(by_id)))


@attrs.define
class MembershipHolder:
    """
    The current view of one node; only the membership task changes it.

    :param own: this node.
    :param view: the nodes that are considered alive.
    :param stale: whether the view is too old to rely on, since neither the platform
        nor a peer has answered recently; the node then forwards nothing.
    :param reported_digests: digest that each peer last reported for its view, by
        node id.
    """

    own: NodeInfo
    view: View
    stale: bool = False
    reported_digests: dict[str, int] = attrs.field(factory=dict)

    @property
    def views_agree(self) -> bool:
        """Whether no peer's last reported view differs from this node's."""
        digest = self.view.digest
        peers = (n.node_id for n in self.view.nodes if n.node_id != self.own.node_id)
        return all(self.reported_digests.get(name, digest) == digest for name in peers)

    @property
    def is_alone(self) -> bool:
        """Whether no other node of the failure domain is considered alive."""
        return len(self.view.nodes) == 1

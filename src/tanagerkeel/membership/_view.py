"""The nodes that one node believes to be alive."""

import attrs
import xxhash

from tanagerkeel.rendezvous import rendezvous

__all__ = ["MembershipHolder", "NodeInfo", "View"]


@attrs.frozen(order=True)
class NodeInfo:
    """
    A node as others know it.

    :param node_id: unique name.
    :param failure_domain: name of its failure domain.
    :param peers_address: ``IP:PORT`` for messages between nodes.
    :param forward_address: ``IP:PORT`` for forwarded requests.
    :param incarnation: grows with each start, in milliseconds since the epoch.
    :param stopping: whether it takes no new work.
    :param refutations: how often it told that it is alive after all, or stopping.
    """

    node_id: str
    failure_domain: str
    peers_address: str
    forward_address: str
    incarnation: int = 0
    stopping: bool = False
    refutations: int = 0


@attrs.frozen
class View:
    """
    Nodes believed to be alive, this one included, ordered by id.

    :param nodes: the nodes of this node's failure domain.
    :param others: nodes known of other failure domains.
    """

    nodes: tuple[NodeInfo, ...]
    others: tuple[NodeInfo, ...] = ()

    @property
    def digest(self) -> int:
        """A number that is the same on nodes with the same view of the domain."""
        parts = (f"{n.node_id}:{n.incarnation}:{n.refutations}" for n in self.nodes)
        return xxhash.xxh32_intdigest(",".join(parts).encode())

    def ranked(self, key: str) -> tuple[NodeInfo, ...]:
        """Return the domain's nodes in the rendezvous order of ``key``."""
        by_id = {node.node_id: node for node in self.nodes}
        return tuple(by_id[name] for name in rendezvous(key, tuple(by_id)))


@attrs.define
class MembershipHolder:
    """
    The view in force on one node; the membership task alone changes it.

    :param own: this node.
    :param view: the nodes believed to be alive.
    :param stale: whether neither the platform nor any peer was heard for a while;
        the node then forwards nothing.
    :param reported: the view's digest that each peer last told.
    """

    own: NodeInfo
    view: View
    stale: bool = False
    reported: dict[str, int] = attrs.field(factory=dict)

    @property
    def views_agree(self) -> bool:
        """Whether every peer last told the same view as this node's."""
        digest = self.view.digest
        peers = (n.node_id for n in self.view.nodes if n.node_id != self.own.node_id)
        return all(self.reported.get(name, digest) == digest for name in peers)

    @property
    def is_alone(self) -> bool:
        """Whether no other node of the failure domain is believed alive."""
        return len(self.view.nodes) == 1

"""Status documents of a node, for operators."""

import attrs

__all__ = ["BackendStatus", "NodeStatus"]


@attrs.frozen
class BackendStatus:
    """
    The state of a backend server, as a node knows it.

    :param name: name in the configuration.
    :param state: value of a ``BackendState``.
    :param running: number of requests that run on it.
    :param waiting_tokens: prompt tokens that wait for prefill.
    :param ejected: whether it gets no requests because it is too slow.
    """

    name: str
    state: str
    running: int
    waiting_tokens: int
    ejected: bool


@attrs.frozen
class NodeStatus:
    """
    The state of a node and of the backend servers that it knows.

    :param node_id: id of the node, as in its settings.
    :param failure_domain: the failure domain that the node belongs to.
    :param ready: whether the load balancer may send callers to the node.
    :param revision: revision of the configuration in force; 0 for none.
    :param members: ids of the nodes of its failure domain that it considers alive.
    :param backends: the backend servers of its failure domain.
    """

    node_id: str
    failure_domain: str
    ready: bool
    revision: int
    members: tuple[str, ...] = ()
    backends: tuple[BackendStatus, ...] = ()

"""
Which node of a failure domain sends the summary of its engines' load, to whom and when.

Load pattern: a fleet of hundreds of small nodes. Each reads only some summaries a
second, and the sender is found without messages, also while nodes die and start.
"""

from collections.abc import Iterable

import attrs

from tanagerkeel.rendezvous import rendezvous

__all__ = ["LoadIntervals", "LoadSender", "load_intervals", "told_domains"]

# Time between summaries while the load changes, in seconds. A request of 1.6 s is then
# unknown for a tenth of its time, on average.
BUSY_INTERVAL_S = 0.3
# The same while nothing changes.
QUIET_INTERVAL_S = 0.6
# Number of other failure domains that a failure domain tells its load, so that a node
# of a large fleet doesn't read more. One that lacks engines needs a few with room.
MAX_TOLD_DOMAINS = 4
# Number of failure domains, its own included, whose summaries a node reads at these
# intervals; with more, the intervals grow.
DOMAINS_AT_FULL_RATE = 3
# Number of longest intervals for which a summary is valid: one may be lost.
VALID_INTERVALS = 2.5
# Number of longest intervals without a summary after which the next node sends.
TAKEOVER_INTERVALS = 2.1
# A node sends beside one that is ahead of it if that one counts the work of fewer than
# this share of the nodes that it hears itself: as after a start, or behind a cut.
MIN_HEARD_SHARE = 0.9


@attrs.frozen
class LoadIntervals:
    """
    Times between summaries, in seconds.

    :param busy_s: while the load changes.
    :param quiet_s: while it doesn't.
    """

    busy_s: float
    quiet_s: float

    @property
    def valid_s(self) -> float:
        """How long a summary is valid, in seconds."""
        return VALID_INTERVALS * self.quiet_s

    @property
    def takeover_s(self) -> float:
        """Silence of the sender after which the next node sends, in seconds."""
        return TAKEOVER_INTERVALS * self.quiet_s


def load_intervals(domains: int) -> LoadIntervals:
    """
    Return the times between summaries.

    :param domains: number of failure domains that have nodes.
    """
    read = min(domains - 1, MAX_TOLD_DOMAINS) + 1
    factor = max(1.0, read / DOMAINS_AT_FULL_RATE)
    return LoadIntervals(factor * BUSY_INTERVAL_S, factor * QUIET_INTERVAL_S)


def told_domains(domains: Iterable[str], own: str) -> tuple[str, ...]:
    """
    Return the failure domains to whose nodes a failure domain tells its load.

    They follow it in an order that is the same for all, so that each failure domain is
    told by as many as it tells.

    :param domains: the failure domains that have nodes.
    :param own: the failure domain that tells its load.
    """
    ring = rendezvous("load", tuple({*domains, own}))
    place = ring.index(own)
    return (ring[place + 1 :] + ring[:place])[:MAX_TOLD_DOMAINS]


@attrs.define
class LoadSender:
    """
    Decides whether this node sends the summary of its failure domain.

    The nodes of the failure domain are in rendezvous order, and the first one sends.
    The next one sends after a time without a summary of the first, the one after it
    after twice that time, and so on. A node that hears less than half of its failure
    domain doesn't send: it is cut off, or has just started.

    :param node: this node's id.
    :param domain: its failure domain.
    :param started_s: when it began to listen; monotonic, in seconds.
    """

    _node: str
    _domain: str
    _started_s: float
    # When each node of the failure domain sent its newest summary, and how many nodes
    # it had heard.
    _sent: dict[str, tuple[float, int]] = attrs.field(factory=dict)

    def record(self, sender: str, heard: int, now: float) -> None:
        """
        Record a summary of another node of this failure domain.

        :param sender: the node that sent it.
        :param heard: number of nodes whose work it counts.
        :param now: monotonic time, in seconds.
        """
        self._sent[sender] = (now, heard)

    def due_s(
        self, nodes: Iterable[str], heard: int, takeover_s: float, now: float
    ) -> float | None:
        """
        Return when this node has to send, if it hears no summary; None for not at all.

        A time that has passed says that it is the sender.

        :param nodes: the nodes of the failure domain whose keys are in the store.
        :param heard: how many of them this node hears, itself included.
        :param takeover_s: silence after which the next node sends, in seconds.
        :param now: monotonic time, in seconds.
        """
        order = rendezvous(f"load {self._domain}", tuple({*nodes, self._node}))
        self._sent = {node: sent for node, sent in self._sent.items() if node in order}
        if 2 * heard < len(order):
            return None
        rank = order.index(self._node)
        if rank == 0:
            return now
        ahead = (self._sent.get(node) for node in order[:rank])
        times_s = (
            sent[0] for sent in ahead if sent and sent[1] >= MIN_HEARD_SHARE * heard
        )
        return max(times_s, default=self._started_s) + rank * takeover_s

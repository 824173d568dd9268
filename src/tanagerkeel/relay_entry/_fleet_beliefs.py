"""What the nodes of a fleet tell each other about waiting work and slow servers."""

from collections.abc import Callable, Iterable, Mapping

import attrs

from tanagerkeel.queueing import (
    BacklogReport,
    KeptPlace,
    KeptPlaces,
    PeerBacklogs,
    RankedWork,
    backlog_reports,
)
from tanagerkeel.relay import BackendRecord, DomainLoads, SlowReport, SlowReports

__all__ = ["FleetBeliefs"]

# Returns what waits at this node at a monotonic time, by the name of the service.
OwnBacklog = Callable[[float], Mapping[str, Iterable[RankedWork]]]


def _no_backlog(_now: float) -> Mapping[str, Iterable[RankedWork]]:
    return {}


@attrs.define
class FleetBeliefs:
    """
    What waits at peers, and which backend servers are slow; nothing unless enabled.

    :param node: this node's id.
    :param enabled: whether anything is told to peers, or taken from their updates.
    :param shares_slow: whether that includes which backend servers are slow.
    :param own_backlog: what waits at this node for a place.
    :param backlogs: what waits at the peers of this failure domain.
    :param slow: measurements of backend servers, of this node and its peers.
    :param kept_places: places kept for callers that any node refused.
    :param domain_loads: load of other failure domains' engines, as reported.
    """

    _node: str
    enabled: bool = False
    shares_slow: bool = False
    own_backlog: OwnBacklog = _no_backlog
    backlogs: PeerBacklogs = attrs.field()
    slow: SlowReports = attrs.field(factory=SlowReports)
    kept_places: KeptPlaces = attrs.field(factory=KeptPlaces)
    domain_loads: DomainLoads = attrs.field(factory=DomainLoads)
    # Services and ranks of the backlog in the last update.
    _told: frozenset[tuple[str, int]] = frozenset()
    # Whether that update said that one of them ended.
    _told_end: bool = False

    @backlogs.default
    def _default_backlogs(self) -> PeerBacklogs:
        return PeerBacklogs(self._node)

    @property
    def has_backlog(self) -> bool:
        """Whether the last update reported a backlog."""
        return bool(self._told)

    @property
    def repeat_soon(self) -> bool:
        """
        Whether the last update should be repeated soon.

        It said that requests of some rank no longer wait. A peer that missed it leaves
        places free for them.
        """
        return self._told_end

    def backlog_is_news(self, now: float) -> bool:
        """Return whether a backlog or a rank began or ended since the last update."""
        return self._told != _ranks(self._backlogs(now))

    def take_backlogs(self, now: float) -> tuple[BacklogReport, ...]:
        """Return what waits at this node for the update that is sent now."""
        reports = self._backlogs(now)
        ranks = _ranks(reports)
        self._told, self._told_end = ranks, bool(self._told - ranks)
        return reports

    def slow_reports(self, now: float) -> tuple[SlowReport, ...]:
        """Return what this node reports of slow backend servers."""
        return self.slow.reports(now) if self.shares_slow else ()

    def merge(
        self,
        node: str,
        backlogs: Iterable[BacklogReport],
        slow_servers: Iterable[SlowReport],
        kept_places: Iterable[KeptPlace],
        now: float,
    ) -> None:
        """
        Replace what a peer told by its newest update.

        :param node: the peer's id.
        :param backlogs: what waits there and could take a place here.
        :param slow_servers: what it measured.
        :param kept_places: places that it keeps, or that were claimed there.
        :param now: monotonic time, in seconds.
        """
        if self.shares_slow:
            self.slow.merge(node, slow_servers, now)
        if self.enabled:
            self.backlogs.merge(node, backlogs, now)
            self.kept_places.merge(kept_places, now)

    def remove_peer(self, node: str) -> None:
        """Remove a peer that is gone, with all that it told."""
        self.backlogs.remove(node)
        self.slow.remove(node)
        self.domain_loads.remove_sender(node)

    def record_ratio(
        self, incarnation: tuple[str, int], ratio: float, now: float
    ) -> None:
        """Record measured over expected time to the first event of an own request."""
        if self.shares_slow:
            self.slow.record(incarnation, ratio, now)

    def latency_ratio(self, record: BackendRecord, now: float) -> float:
        """Return measured over expected time of a backend server, as all found it."""
        if not self.shares_slow:
            return record.latency_ratio
        incarnation = record.server.incarnation
        samples = self.slow.own_samples(incarnation, now)
        return self.slow.ratio(incarnation, record.latency_ratio, samples, now)

    def _backlogs(self, now: float) -> tuple[BacklogReport, ...]:
        return backlog_reports(self.own_backlog(now), now) if self.enabled else ()


def _ranks(reports: tuple[BacklogReport, ...]) -> frozenset[tuple[str, int]]:
    return frozenset((report.service, report.rank) for report in reports)

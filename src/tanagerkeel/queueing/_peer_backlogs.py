"""
What waits at the other nodes of a failure domain, and when a request lets it go first.

Load pattern: 60 to 129 nodes with a few requests each, whose bursts exceed the engines.
Each node sees one or two waiting requests of its own, so its own queue orders nothing:
the node that looks first takes a free place, and urgent requests of other nodes wait
behind it.

No node decides for another one. Each orders its own request among the reported ones by
effective rank, due time and a hash of the node, and takes the place unless as many
requests as there are free places come first. A report never makes a peer's request
look more urgent than it is: delays move its due time back. So the first request of all
never yields to one that waits, and what a node doesn't know makes it go, as if it were
alone. Only a report of a request that no longer waits, or can't use the place, leaves
it free. So a place that stays free goes to the next request after the time in which the
first one would have taken it, to the one after that after twice this time, and so on:
not all nodes give up at once.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Protocol

import attrs
import xxhash

from tanagerkeel.queueing._waiting_request import LOWEST_RANK, WaitingRequest

__all__ = [
    "BACKLOG_VALID_S",
    "MAX_BACKLOGS",
    "BacklogReport",
    "PeerBacklogs",
    "RankedWork",
    "backlog_reports",
    "should_yield",
]

# How long a report counts, in seconds: nodes with a backlog repeat their updates every
# 2 s, and the report of an end that was lost must not leave a place free for longer.
BACKLOG_VALID_S = 2.5
# Maximum number of reports in an update, and limit of the length of a service's name in
# a report, in bytes.
MAX_BACKLOGS = 16
MAX_SERVICE_BYTES = 64
# Limits of reported numbers: a count, work in milliseconds, and a due time in
# milliseconds from now. All fit into 4 bytes.
MAX_COUNT = 65_535
MAX_WORK_MS = 2**31 - 1
MAX_DUE_MS = 3_600_000
# Share of the time that a request has left for which it leaves places free at most, and
# the same in seconds. The rest is for its own wait for a place.
YIELD_SHARE = 0.5
MAX_YIELD_S = 10.0
# Time in which a node takes a free place and its peers learn of it, in seconds: nodes
# look for one every 0.05 s at the least and read updates every 0.03 s.
TAKE_S = 0.12
# A request with less time left than this, in seconds, takes the place: a node that is
# late misses one look.
LAST_CHANCE_S = 0.1


class RankedWork(Protocol):
    """What waits at a node for a service with one effective rank."""

    rank: int
    count: int
    work_ms: float
    oldest_due_s: float


@attrs.frozen
class BacklogReport:
    """
    What waits at a node for a service with one effective rank, as sent to its peers.

    :param service: name of the service.
    :param rank: effective rank; 0 is the most urgent.
    :param count: number of requests.
    :param work_ms: time that idle backend servers would spend on them, in milliseconds.
    :param oldest_due_ms: when the first of them is due, in milliseconds from now;
        negative if it is late.
    """

    service: str
    rank: int
    count: int
    work_ms: int
    oldest_due_ms: int


def backlog_reports(
    backlogs: Mapping[str, Iterable[RankedWork]], now: float
) -> tuple[BacklogReport, ...]:
    """
    Return what a node reports of its waiting requests, the most urgent first.

    :param backlogs: what waits, by the name of the service.
    :param now: monotonic time, in seconds.
    :returns: at most ``MAX_BACKLOGS`` reports.
    """
    ordered = sorted(
        (
            (work.rank, work.oldest_due_s, service, work)
            for service, works in backlogs.items()
            if len(service.encode()) <= MAX_SERVICE_BYTES
            for work in works
            if work.count > 0
        ),
        key=lambda entry: entry[:3],
    )
    return tuple(
        BacklogReport(
            service,
            rank,
            min(work.count, MAX_COUNT),
            int(min(work.work_ms, MAX_WORK_MS)),
            # Rounded up, so that no peer takes it for more urgent than it is.
            math.ceil(max(-MAX_DUE_MS, min(MAX_DUE_MS, 1_000 * (due_s - now)))),
        )
        for rank, due_s, service, work in ordered[:MAX_BACKLOGS]
    )


@attrs.frozen
class _ReceivedWork:
    rank: int
    count: int
    work_ms: float
    oldest_due_s: float


@attrs.frozen
class _NodeBacklog:
    """What waits at one peer for one service, while the report is valid."""

    node: str
    received_s: float
    valid_s: float
    works: tuple[RankedWork, ...]

    def is_valid(self, now: float) -> bool:
        return now - self.received_s <= self.valid_s


@attrs.define
class PeerBacklogs:
    """
    The newest report of each peer of the own failure domain.

    A peer of an older build reports nothing, which is the same as nothing waiting.

    :param node: this node's id.
    """

    _node: str
    # By service, and then by peer.
    _services: dict[str, dict[str, _NodeBacklog]] = attrs.field(factory=dict)

    @property
    def node(self) -> str:
        """This node's id."""
        return self._node

    def update(
        self,
        node: str,
        service_backlogs: Mapping[str, tuple[RankedWork, ...]],
        received_s: float,
        valid_s: float = BACKLOG_VALID_S,
    ) -> None:
        """
        Replace all that waits at a peer.

        :param node: the peer's id.
        :param service_backlogs: what waits there, by the name of the service.
        :param received_s: monotonic time of the report's arrival, in seconds.
        :param valid_s: time for which the report counts, in seconds.
        """
        self.remove(node)
        for service, works in service_backlogs.items():
            if works:
                self._services.setdefault(service, {})[node] = _NodeBacklog(
                    node, received_s, min(valid_s, BACKLOG_VALID_S), tuple(works)
                )

    def merge(
        self, node: str, reports: Iterable[BacklogReport], received_s: float
    ) -> None:
        """
        Replace all that waits at a peer by the reports in its update.

        :param node: the peer's id.
        :param reports: what it sent; values out of range are left out.
        :param received_s: monotonic time of the update's arrival, in seconds.
        """
        by_service: dict[str, tuple[RankedWork, ...]] = {}
        for report in tuple(reports)[:MAX_BACKLOGS]:
            if not 0 <= report.rank <= LOWEST_RANK or report.count <= 0:
                continue
            due_s = received_s + report.oldest_due_ms / 1_000
            if report.oldest_due_ms >= MAX_DUE_MS:
                # It was cut: without an objective, two nodes must not both seem first.
                due_s = math.inf
            work = _ReceivedWork(report.rank, report.count, report.work_ms, due_s)
            known = by_service.get(report.service, ())
            by_service[report.service] = (*known, work)
        self.update(node, by_service, received_s)

    def remove(self, node: str) -> None:
        """Remove a peer that is gone, with all that waits there."""
        for service in tuple(self._services):
            self._services[service].pop(node, None)
            if not self._services[service]:
                del self._services[service]

    def age_s(self, node: str, service: str, now: float) -> float | None:
        """Return the age of a peer's report, in seconds; None without a valid one."""
        known = self._services.get(service, {}).get(node)
        if known is None or not known.is_valid(now):
            return None
        return now - known.received_s

    def waiting(self, service: str, now: float) -> Iterator[tuple[str, RankedWork]]:
        """Yield what waits at peers for a service, with the peer's id."""
        for backlog in self._services.get(service, {}).values():
            if backlog.is_valid(now):
                for work in backlog.works:
                    yield backlog.node, work


def should_yield(
    request: WaitingRequest,
    free_places: int,
    peers: PeerBacklogs,
    service: str,
    waited_s: float,
    now: float,
    rank: int | None = None,
    free_for_s: float = 0.0,
) -> bool:
    """
    Return whether a request leaves a free place to more urgent ones at other nodes.

    :param request: this node's request that could take the place.
    :param free_places: number of requests that could be placed now, as this node sees.
    :param peers: what waits at the peers of its failure domain.
    :param service: name of the service.
    :param waited_s: for how long the request has left free places to others in all, in
        seconds; see ``YieldTimes``.
    :param now: monotonic time, in seconds.
    :param rank: the request's effective rank; None if that is its rank.
    :param free_for_s: for how long this node has seen a free place without a break, in
        seconds.
    """
    if free_places <= 0 or not _may_wait(request, waited_s, now):
        return False
    own_rank = request.rank if rank is None else rank
    ahead = _count_ahead(request, own_rank, peers, service, now)
    # If those ahead could take the place, they would have done so one after the other.
    return free_for_s < TAKE_S * (ahead - free_places + 1)


def _count_ahead(
    request: WaitingRequest,
    own_rank: int,
    peers: PeerBacklogs,
    service: str,
    now: float,
) -> int:
    """Return how many requests that wait at peers go before one of this node."""
    own_due = (request.due_s, _tie(service, peers.node))
    ahead = 0
    for node, work in peers.waiting(service, now):
        if work.rank < own_rank:
            ahead += work.count
        elif work.rank == own_rank and now <= work.oldest_due_s:
            # Of the others of this rank at the peer, the due time isn't known, and what
            # is late anyway doesn't make another request late.
            ahead += (work.oldest_due_s, _tie(service, node)) < own_due
    return ahead


def _may_wait(request: WaitingRequest, waited_s: float, now: float) -> bool:
    """Return whether a request has enough time left to yield."""
    late = now > request.latest_start_s
    # What is late already is only lost when its caller gives up.
    latest_s = math.inf if late else request.latest_start_s
    left_s = min(latest_s, request.last_start_s) - now
    bound_s = min(MAX_YIELD_S, YIELD_SHARE * (left_s + waited_s))
    return left_s > LAST_CHANCE_S and waited_s < bound_s


def _tie(service: str, node: str) -> tuple[int, str]:
    """Return the order of nodes whose requests have the same rank and due time."""
    return xxhash.xxh32_intdigest(f"{service} {node}".encode()), node

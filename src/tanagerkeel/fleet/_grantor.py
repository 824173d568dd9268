"""
Which node may grant how many permits for a backend server with a low limit.

The grantor of a backend server is the first node in the rendezvous order for it that
is not stopping; the other nodes request permits from the grantor.

The concurrency limit is divided into shares, one for each node that was seen recently;
a share may be empty. A node lends its share to the grantor according to its own view
of the members, and to one node at a time. So two grantors whose views differ, as after
a partition, never grant more than the limit in total.
"""

import attrs

from tanagerkeel.rendezvous import rendezvous

__all__ = ["Grantor", "PermitPolicy", "SeenNodes", "ShareLender"]


@attrs.frozen
class PermitPolicy:
    """
    Durations that permits and shares are valid, in seconds.

    :param permit_ttl_s: time after the request for a permit in which it allows a
        dispatch.
    :param max_transit_s: maximum time from a dispatch to its arrival at the
        backend server.
    :param lend_ttl_s: time after the request for a share in which the borrower may
        grant permits from it.
    :param lend_delay_s: time after its start during which a node lends nothing.
    :param node_retention_s: time after which a node that is no longer seen loses its
        share.
    :param max_report_age_s: with an older report no permit is granted.
    """

    permit_ttl_s: float = 1.0
    max_transit_s: float = 1.0
    lend_ttl_s: float = 3.0
    lend_delay_s: float = 5.0
    node_retention_s: float = 30.0
    max_report_age_s: float = 5.0

    @property
    def grant_lifetime_s(self) -> float:
        """Time after a grant in which its request can arrive at the backend server."""
        return self.permit_ttl_s + self.max_transit_s


@attrs.define
class SeenNodes:
    """
    The nodes of the failure domain that were seen recently.

    :param policy: how long a node counts after it was last seen.
    """

    _policy: PermitPolicy
    _seen_s: dict[str, float] = attrs.field(factory=dict)

    def update(self, names: tuple[str, ...], now: float) -> None:
        """Record which nodes are alive according to the membership view."""
        limit_s = now - self._policy.node_retention_s
        kept = {name: at for name, at in self._seen_s.items() if at > limit_s}
        self._seen_s = kept | dict.fromkeys(names, now)

    def share(self, node: str, backend: str, limit: int) -> int:
        """
        Return how many permits of a backend server a node may lend.

        Rendezvous hashing assigns each unit of the limit to one node, so that a node
        that joins or leaves moves no unit between two other nodes.
        """
        names = tuple(self._seen_s)
        owners = (rendezvous(f"{backend}/{unit}", names)[:1] for unit in range(limit))
        return sum(owner == (node,) for owner in owners)


@attrs.frozen
class _Loan:
    borrower: str
    until_s: float


@attrs.define
class ShareLender:
    """
    Lends the shares of one node, each to one grantor at a time.

    :param node: id of the node that lends.
    :param policy: validity of shares and permits.
    :param seen: the recently seen nodes, among which the limit is divided.
    :param started_s: monotonic time of the node's start, in seconds.
    """

    _node: str
    _policy: PermitPolicy
    _seen: SeenNodes
    _started_s: float
    _loans: dict[str, _Loan] = attrs.field(factory=dict)

    def lend(
        self, backend: str, limit: int, borrower: str, grantor: str, now: float
    ) -> int:
        """
        Return how many permits a borrower may grant from this node's share.

        :param borrower: id of the node that requests the share.
        :param grantor: id of the grantor according to this node's own view.
        """
        # Before a restart this node may have lent its share to another node.
        if borrower != grantor or now - self._started_s < self._policy.lend_delay_s:
            return 0
        loan = self._loans.get(backend)
        if loan is not None and loan.borrower != borrower and now < loan.until_s:
            return 0
        until_s = now + self._policy.lend_ttl_s + self._policy.grant_lifetime_s
        self._loans[backend] = _Loan(borrower, until_s)
        return self._seen.share(self._node, backend, limit)

    def record_return(self, backend: str, borrower: str, now: float) -> None:
        """Record that a borrower grants no more permits from this node's share."""
        loan = self._loans.get(backend)
        if loan is not None and loan.borrower == borrower:
            until_s = min(loan.until_s, now + self._policy.grant_lifetime_s)
            self._loans[backend] = _Loan(borrower, until_s)


@attrs.frozen
class _BorrowedShare:
    count: int
    since_s: float
    expires_s: float


@attrs.define
class Grantor:
    """
    Grants permits for one backend server; times are monotonic, in seconds.

    The number of running requests comes only from the backend server's own reports,
    since a node that was paused or partitioned cannot report the end of its requests.
    A permit counts in addition to the report until a report is certain to include its
    request.

    :param policy: validity of shares and permits.
    :param started_s: the node's start; grants from before it are unknown.
    """

    _policy: PermitPolicy
    _started_s: float
    _borrowed: dict[str, _BorrowedShare] = attrs.field(factory=dict)
    # By permit id, the time from which on a report accounts for the request.
    _granted: dict[str, float] = attrs.field(factory=dict)
    _running: int = 0
    _measured_s: float | None = None

    def record_share(self, lender: str, count: int, requested_s: float) -> None:
        """
        Record the share that a node lends.

        :param lender: id of the node.
        :param count: number of permits in its share.
        :param requested_s: when it was requested; the lender counts its validity from a
            later time.
        """
        before = self._borrowed.get(lender)
        is_renewal = before is not None and requested_s < before.expires_s
        since_s = before.since_s if is_renewal else requested_s
        if is_renewal and count > before.count:
            since_s = requested_s
        expires_s = requested_s + self._policy.lend_ttl_s
        self._borrowed[lender] = _BorrowedShare(count, since_s, expires_s)

    def record_report(self, running: int, measured_s: float) -> None:
        """
        Record a report of the backend server; an older one changes nothing.

        :param running: number of running requests.
        :param measured_s: lower bound of the time at which it was measured.
        """
        if self._measured_s is not None and measured_s < self._measured_s:
            return
        self._running = running
        self._measured_s = measured_s
        self._granted = {p: at for p, at in self._granted.items() if at > measured_s}

    def grant(self, permit_id: str, limit: int, now: float) -> bool:
        """
        Grant a permit, or refuse it.

        :param permit_id: id of the permit; it is counted once, however often it is
            requested.
        :param limit: concurrency limit of the backend server.
        """
        if permit_id in self._granted:
            return True
        if not self._has_fresh_report(now):
            return False
        if self._running + len(self._granted) >= self.effective_limit(limit, now):
            return False
        self._granted[permit_id] = now + self._policy.grant_lifetime_s
        return True

    def effective_limit(self, limit: int, now: float) -> int:
        """Return how many requests may run according to the borrowed shares."""
        # The previous borrower of a share may have granted permits until just before
        # this one borrowed it. The report must have been measured after those requests
        # arrived at the backend server.
        shares = (
            share.count
            for share in self._borrowed.values()
            if now < share.expires_s and share.since_s <= self._measured_s
        )
        return min(limit, sum(shares))

    def release(self, permit_id: str, now: float) -> None:
        """
        Record that the request of a permit has ended.

        The permit counts until a report that was measured after this time arrives,
        since the backend server may count a request until just after its last output.
        """
        until_s = self._granted.get(permit_id)
        if until_s is not None:
            self._granted[permit_id] = min(until_s, now)

    def drop_shares(self) -> None:
        """Drop all borrowed shares; grants nothing until shares are borrowed again."""
        self._borrowed.clear()

    def _has_fresh_report(self, now: float) -> bool:
        if self._measured_s is None:
            return False
        oldest_s = max(
            now - self._policy.max_report_age_s,
            self._started_s + self._policy.grant_lifetime_s,
        )
        return self._measured_s >= oldest_s

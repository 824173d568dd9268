"""
Who may grant how many permits for a backend server that bears only a little.

The limit is divided into shares, one or none for each node that was seen. A node
lends its share to the grantor that its own view names, to one at a time. So two
grantors with different views never grant more than the limit between them.
"""

import attrs

from tanagerkeel.rendezvous import rendezvous

__all__ = ["Grantor", "PermitPolicy", "SeenNodes", "ShareLender"]


@attrs.frozen
class PermitPolicy:
    """
    Times of the permits, in seconds.

    :param permit_ttl_s: a permit lapses for a dispatch so long after it was asked.
    :param flight_s: longest way of a dispatched request to its backend server.
    :param lend_ttl_s: a lent share lapses so long after it was asked.
    :param join_s: a node lends nothing so long after its start.
    :param forget_s: how long a node that vanished keeps its share.
    :param max_report_age_s: on older reports nothing is granted.
    """

    permit_ttl_s: float = 1.0
    flight_s: float = 1.0
    lend_ttl_s: float = 3.0
    join_s: float = 5.0
    forget_s: float = 30.0
    max_report_age_s: float = 5.0

    @property
    def reach_s(self) -> float:
        """How long after a grant a request can still reach its backend server."""
        return self.permit_ttl_s + self.flight_s


@attrs.define
class SeenNodes:
    """
    The nodes of the failure domain that were seen of late.

    :param policy: times of the permits.
    """

    _policy: PermitPolicy
    _seen_s: dict[str, float] = attrs.field(factory=dict)

    def observe(self, names: tuple[str, ...], now: float) -> None:
        """Take in which nodes are believed to be alive."""
        limit_s = now - self._policy.forget_s
        kept = {name: at for name, at in self._seen_s.items() if at > limit_s}
        self._seen_s = kept | dict.fromkeys(names, now)

    def share(self, node: str, backend: str, limit: int) -> int:
        """
        Return how many permits of a backend server are a node's to lend.

        Each unit of the limit belongs to one node by rendezvous hash, so that a
        node which comes or goes moves no unit between two others.
        """
        names = tuple(self._seen_s)
        owners = (rendezvous(f"{backend}/{unit}", names)[:1] for unit in range(limit))
        return sum(owner == (node,) for owner in owners)


@attrs.frozen
class _Lent:
    borrower: str
    until_s: float


@attrs.define
class ShareLender:
    """
    Lends one node's shares, each to one grantor at a time.

    :param node: id of the node.
    :param policy: times of the permits.
    :param seen: the nodes that were seen.
    :param started_s: monotonic time of the node's start, in seconds.
    """

    _node: str
    _policy: PermitPolicy
    _seen: SeenNodes
    _started_s: float
    _lent: dict[str, _Lent] = attrs.field(factory=dict)

    def lend(
        self, backend: str, limit: int, borrower: str, grantor: str, now: float
    ) -> int:
        """
        Return how many permits a borrower may grant from this node's share.

        :param borrower: id of the node that asks.
        :param grantor: id of the grantor by this node's own view.
        """
        # Before its end the process may have lent to somebody else.
        if borrower != grantor or now - self._started_s < self._policy.join_s:
            return 0
        lent = self._lent.get(backend)
        if lent is not None and lent.borrower != borrower and now < lent.until_s:
            return 0
        until_s = now + self._policy.lend_ttl_s + self._policy.reach_s
        self._lent[backend] = _Lent(borrower, until_s)
        return self._seen.share(self._node, backend, limit)

    def take_back(self, backend: str, borrower: str, now: float) -> None:
        """Take in a borrower's word that it grants no more."""
        lent = self._lent.get(backend)
        if lent is not None and lent.borrower == borrower:
            until_s = min(lent.until_s, now + self._policy.reach_s)
            self._lent[backend] = _Lent(borrower, until_s)


@attrs.frozen
class _Borrowed:
    count: int
    since_s: float
    expires_s: float


@attrs.define
class Grantor:
    """
    Grants permits for one backend server; times are monotonic, in seconds.

    What runs is known from the backend server's own reports alone, for a node that
    was paused or cut off can't tell. A permit counts beside the report for as long
    as its request may not have been in it.

    :param policy: times of the permits.
    :param started_s: the node's start; what it granted before is forgotten.
    """

    _policy: PermitPolicy
    _started_s: float
    _borrowed: dict[str, _Borrowed] = attrs.field(factory=dict)
    _granted: dict[str, float] = attrs.field(factory=dict)
    _running: int = 0
    _measured_s: float | None = None

    def take_share(self, lender: str, count: int, asked_s: float) -> None:
        """
        Take in what a node lends.

        :param asked_s: when it was asked; the node itself counts from later on.
        """
        before = self._borrowed.get(lender)
        unbroken = before is not None and asked_s < before.expires_s
        since_s = before.since_s if unbroken else asked_s
        if unbroken and count > before.count:
            since_s = asked_s
        expires_s = asked_s + self._policy.lend_ttl_s
        self._borrowed[lender] = _Borrowed(count, since_s, expires_s)

    def take_report(self, running: int, measured_s: float) -> None:
        """
        Take in a backend server's report.

        :param running: requests that run.
        :param measured_s: no later than when it was measured.
        """
        if self._measured_s is not None and measured_s < self._measured_s:
            return
        self._running = running
        self._measured_s = measured_s
        self._granted = {p: at for p, at in self._granted.items() if at > measured_s}

    def grant(self, permit_id: str, limit: int, now: float) -> bool:
        """
        Grant a permit, or refuse it.

        :param limit: concurrent requests that the backend server bears.
        """
        if permit_id in self._granted:
            return True
        if not self._has_fresh_report(now):
            return False
        if self._running + len(self._granted) >= self.usable(limit, now):
            return False
        self._granted[permit_id] = now + self._policy.reach_s
        return True

    def usable(self, limit: int, now: float) -> int:
        """Return how many requests may run by the shares that are borrowed."""
        # A lender's last borrower may have granted until just before; the report
        # must have been measured after all that reached the backend server.
        shares = (
            share.count
            for share in self._borrowed.values()
            if now < share.expires_s and share.since_s <= self._measured_s
        )
        return min(limit, sum(shares))

    def release(self, permit_id: str, now: float) -> None:
        """
        Take in that a permit's request has ended.

        It counts until a report from after this: the backend server may be a moment
        behind the last thing that it sent.
        """
        until_s = self._granted.get(permit_id)
        if until_s is not None:
            self._granted[permit_id] = min(until_s, now)

    def stop(self) -> None:
        """Grant no more until shares are borrowed again."""
        self._borrowed.clear()

    def _has_fresh_report(self, now: float) -> bool:
        if self._measured_s is None:
            return False
        oldest_s = max(
            now - self._policy.max_report_age_s,
            self._started_s + self._policy.reach_s,
        )
        return self._measured_s >= oldest_s

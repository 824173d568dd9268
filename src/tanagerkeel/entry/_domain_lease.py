"""The lease of the one node that gives orders to a failure domain's engines."""

import asyncio
import contextlib

import attrs

from tanagerkeel.clock import Clock
from tanagerkeel.events import LogEvent, log
from tanagerkeel.gateways.platform import (
    ABSENT,
    CompareFailed,
    PlatformGateway,
    PlatformUnavailable,
)
from tanagerkeel.membership import MembershipHolder
from tanagerkeel.orders import LeadershipTerm, OrderPolicy

__all__ = ["DomainLease"]

RENEWALS_PER_TTL = 3
# Only this many nodes, the first in rendezvous order, try to acquire a free lease.
MAX_CANDIDATES = 2
MS_PER_S = 1_000
REVOKE_TIMEOUT_S = 1.0


@attrs.define
class DomainLease:
    """
    Acquires and renews the lease of a failure domain.

    The holder writes a key that the platform removes when the lease expires. The key's
    revision serves as the fencing token of the term.

    :param platform: calls to the platform.
    :param members: the node's view of which nodes are alive.
    :param clock: source of time.
    :param policy: lease duration and the margins around it.
    """

    _platform: PlatformGateway
    _members: MembershipHolder
    _clock: Clock
    policy: OrderPolicy = OrderPolicy()
    _term: LeadershipTerm | None = attrs.field(default=None, init=False)
    _lease_id: int = attrs.field(default=0, init=False)
    # Revision at which this node wrote the key.
    _key_revision: int = attrs.field(default=ABSENT, init=False)
    # Highest fencing token of another holder that an engine has reported.
    _seen_fencing: int = attrs.field(default=ABSENT, init=False)

    @property
    def term(self) -> LeadershipTerm | None:
        """The current term; None when this node may not give orders."""
        term = self._term
        if term is None:
            return None
        held = term.is_held(self._clock.monotonic(), self.policy)
        return term if held else None

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            try:
                await self.run_once()
            except PlatformUnavailable:
                # The next iteration renews the lease, or finds that it has expired by
                # this node's clock.
                pass
            await self._clock.sleep(self.policy.lease_ttl_s / RENEWALS_PER_TTL)

    async def run_once(self) -> None:
        """
        Renew the lease, or acquire it when it is free.

        :raises PlatformUnavailable: when the platform doesn't answer.
        """
        if self._term is not None:
            await self._renew()
        elif self._is_candidate():
            await self._acquire()

    async def step_down(self, seen_fencing: int = ABSENT) -> None:
        """
        Give up the lease.

        :param seen_fencing: fencing token of a later term that an engine has
            reported.
        :raises PlatformUnavailable: when the platform doesn't answer; the lease then
            expires.
        """
        self._seen_fencing = max(self._seen_fencing, seen_fencing)
        lease_id, self._lease_id = self._lease_id, 0
        if self._term is not None:
            self._term = None
            log(LogEvent.ORDERER_STEPPED_DOWN, domain=self._domain)
        if lease_id:
            await self._platform.revoke(lease_id)

    async def end(self) -> None:
        """Give up the lease when this node stops as planned."""
        with contextlib.suppress(PlatformUnavailable, TimeoutError):
            async with asyncio.timeout(REVOKE_TIMEOUT_S):
                await self.step_down()

    @property
    def _domain(self) -> str:
        return self._members.own.failure_domain

    @property
    def _key(self) -> str:
        return f"orders/{self._domain}"

    def _is_candidate(self) -> bool:
        own = self._members.own.node_id
        ranked = self._members.view.ranked(self._key)
        accepting = [n.node_id for n in ranked if not n.stopping]
        return own in accepting[:MAX_CANDIDATES]

    async def _renew(self) -> None:
        requested_s = self._clock.monotonic()
        if not self._term.is_held(requested_s, self.policy):
            # The lease may have expired while this process was paused or cut off, and
            # another node may hold it.
            await self.step_down()
        elif await self._extend():
            self._term = attrs.evolve(self._term, renewed_s=requested_s)
        else:
            await self.step_down()

    async def _extend(self) -> bool:
        if not await self._platform.keep_alive(self._lease_id):
            return False
        # A platform that was restored from a snapshot may know the lease but lack the
        # key.
        entry = await self._platform.get(self._key)
        return entry is not None and entry.revision == self._key_revision

    async def _acquire(self) -> None:
        if await self._platform.get(self._key) is not None:
            return
        requested_s = self._clock.monotonic()
        lease = await self._platform.grant(int(self.policy.lease_ttl_s * MS_PER_S))
        self._lease_id = lease.lease_id
        owner = self._members.own.node_id.encode()
        try:
            self._key_revision = await self._platform.put(
                self._key, owner, ABSENT, lease.lease_id
            )
        except (CompareFailed, PlatformUnavailable):
            # If only the reply was lost, the key exists: revoking its lease removes it.
            await self.step_down()
            return
        now = self._clock.monotonic()
        # The revision is below a token that engines have seen only when the platform
        # was restored from a snapshot; they would refuse orders with such a token.
        fencing = max(self._key_revision, self._seen_fencing + 1)
        self._term = LeadershipTerm(fencing, now, requested_s)
        log(LogEvent.ORDERER_ELECTED, domain=self._domain, fencing=fencing)

"""The lease of the one node that orders a failure domain's engines."""

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
from tanagerkeel.orders import OrderPolicy, Tenure

__all__ = ["DomainLease"]

RENEWALS_PER_TTL = 3
# So many nodes, by rendezvous hash, look whether the lease is free.
CANDIDATES = 2
MS_PER_S = 1_000
STOP_S = 1.0


@attrs.define
class DomainLease:
    """
    Takes and renews the lease of a failure domain.

    :param platform: the platform's service.
    :param members: the nodes believed to be alive.
    :param clock: source of time.
    :param policy: times of the lease.
    """

    _platform: PlatformGateway
    _members: MembershipHolder
    _clock: Clock
    policy: OrderPolicy = OrderPolicy()
    _tenure: Tenure | None = attrs.field(default=None, init=False)
    _lease_id: int = attrs.field(default=0, init=False)
    _revision: int = attrs.field(default=ABSENT, init=False)
    _seen: int = attrs.field(default=ABSENT, init=False)

    @property
    def tenure(self) -> Tenure | None:
        """The present tenure; None when this node may not give orders."""
        tenure = self._tenure
        if tenure is None:
            return None
        held = tenure.is_held(self._clock.monotonic(), self.policy)
        return tenure if held else None

    async def run(self) -> None:
        """Take and renew the lease until cancelled."""
        while True:
            try:
                await self.turn()
            except PlatformUnavailable:
                # The lease goes on by itself, or lapses by this node's clock.
                pass
            await self._clock.sleep(self.policy.lease_ttl_s / RENEWALS_PER_TTL)

    async def turn(self) -> None:
        """
        Renew the lease, or take it when it is free.

        :raises PlatformUnavailable: when the platform doesn't answer.
        """
        if self._tenure is not None:
            await self._renew()
        elif self._is_candidate():
            await self._take()

    async def step_down(self, seen: int = ABSENT) -> None:
        """
        Give the lease up.

        :param seen: fencing number that an engine has seen.
        :raises PlatformUnavailable: when the platform doesn't answer; the lease then
            lapses.
        """
        self._seen = max(self._seen, seen)
        lease_id, self._lease_id = self._lease_id, 0
        if self._tenure is not None:
            self._tenure = None
            log(LogEvent.ORDERER_STEPPED_DOWN, domain=self._domain)
        if lease_id:
            await self._platform.revoke(lease_id)

    async def end(self) -> None:
        """Give the lease up at a planned stop."""
        with contextlib.suppress(PlatformUnavailable, TimeoutError):
            async with asyncio.timeout(STOP_S):
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
        able = [n.node_id for n in ranked if not n.stopping]
        return own in able[:CANDIDATES]

    async def _renew(self) -> None:
        asked_s = self._clock.monotonic()
        if not self._tenure.is_held(asked_s, self.policy):
            # Paused or cut off for long: another node may hold it by now.
            await self.step_down()
        elif await self._is_alive():
            self._tenure = attrs.evolve(self._tenure, renewed_s=asked_s)
        else:
            await self.step_down()

    async def _is_alive(self) -> bool:
        if not await self._platform.keep_alive(self._lease_id):
            return False
        # A platform that went back may know the lease and not the key.
        entry = await self._platform.get(self._key)
        return entry is not None and entry.revision == self._revision

    async def _take(self) -> None:
        if await self._platform.get(self._key) is not None:
            return
        asked_s = self._clock.monotonic()
        lease = await self._platform.grant(int(self.policy.lease_ttl_s * MS_PER_S))
        self._lease_id = lease.lease_id
        owner = self._members.own.node_id.encode()
        try:
            self._revision = await self._platform.put(
                self._key, owner, ABSENT, lease.lease_id
            )
        except (CompareFailed, PlatformUnavailable):
            # After a lost reply the key may stand: it goes with its lease.
            await self.step_down()
            return
        now = self._clock.monotonic()
        # Below a number that engines have seen only when the platform went back.
        fencing = max(self._revision, self._seen + 1)
        self._tenure = Tenure(fencing, now, asked_s)
        log(LogEvent.ORDERER_ELECTED, domain=self._domain, fencing=fencing)

"""A platform gateway in memory, with faults that tests set."""

import asyncio

import attrs

from tanagerkeel.clock import Clock, SystemClock
from tanagerkeel.gateways.platform import ABSENT, CompareFailed, PlatformUnavailable
from tanagerkeel.standins import PlatformStandIn


@attrs.define
class MemoryPlatform:
    """
    The ``PlatformGateway`` of one node, to a stand-in in the same process.

    :param store: the stand-in, shared by the nodes.
    :param clock: not used by the calls, which sleep in real time.
    :param down: whether every call fails as not sent.
    :param lose_replies: number of next writes that take effect without a reply.
    :param lose_writes: number of next writes that are lost; the caller can't tell
        them from those that lost the reply.
    :param before_put: coroutine function called with the key before the next write,
        to interleave other calls; reset when called.
    :param delay_s: delay between each call and its effect, in seconds.
    """

    store: PlatformStandIn = attrs.field(factory=PlatformStandIn)
    clock: Clock = attrs.field(factory=SystemClock)
    down: bool = False
    lose_replies: int = 0
    lose_writes: int = 0
    before_put: object = None
    delay_s: float = 0.0

    async def get(self, key):
        await self._call("get")
        return self.store.get(key)

    async def list(self, prefix):
        await self._call("list")
        return self.store.list(prefix)

    async def put(self, key, value, expected=None, lease_id=0):
        if self.before_put is not None:
            hook, self.before_put = self.before_put, None
            await hook(key)
        await self._call("put")
        if self._use_fault("lose_writes"):
            raise PlatformUnavailable("the write was lost")
        revision = await self.store.put(key, value, expected, lease_id)
        if self._use_fault("lose_replies"):
            raise PlatformUnavailable("the reply was lost")
        if revision is None:
            found = self.store.get(key)
            raise CompareFailed(found.revision if found else ABSENT)
        return revision

    async def delete(self, key, expected=None):
        await self._call("delete")
        if not self.store.delete(key, expected):
            raise CompareFailed(self.store.get(key).revision)

    async def grant(self, ttl_ms):
        await self._call("grant")
        return self.store.grant(ttl_ms)

    async def keep_alive(self, lease_id):
        await self._call("keep_alive")
        return self.store.keep_alive(lease_id)

    async def revoke(self, lease_id):
        await self._call("revoke")
        self.store.revoke(lease_id)

    async def list_vms(self):
        await self._call("vms")
        return self.store.list_vms()

    async def _call(self, kind):
        if self.down:
            raise PlatformUnavailable("down", sent=False)
        self.store.calls[kind] += 1
        # Lets other tasks run between a call and its effect, even without a delay.
        await asyncio.sleep(self.delay_s)

    def _use_fault(self, fault):
        left = getattr(self, fault)
        if left:
            setattr(self, fault, left - 1)
        return left > 0

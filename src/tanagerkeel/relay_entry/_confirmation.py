"""Requests for a confirmation of the configuration by the platform's store."""

import asyncio

import attrs

__all__ = ["ConfirmationRequests"]


@attrs.define
class ConfirmationRequests:
    """
    Passes requests for a confirmation on to the task that mirrors the store.

    Any number of requests for one confirmation lead to one call.
    """

    _wanted: asyncio.Event = attrs.field(factory=asyncio.Event)
    _confirmed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def wanted(self) -> bool:
        """Whether one is requested and no call for it has begun."""
        return self._wanted.is_set()

    async def request(self, max_wait_s: float) -> None:
        """
        Request a confirmation and wait for it.

        :param max_wait_s: longest wait, in seconds.
        """
        self._wanted.set()
        confirmed = self._confirmed
        try:
            async with asyncio.timeout(max_wait_s):
                await confirmed.wait()
        except TimeoutError:
            # The caller finds that the configuration isn't confirmed.
            return

    async def wait_until_wanted(self) -> None:
        """Wait until a confirmation is requested."""
        await self._wanted.wait()

    def accept(self) -> None:
        """Record that a call begins whose answer is a confirmation."""
        self._wanted.clear()

    def confirm(self) -> None:
        """Wake those who wait for a confirmation."""
        self._confirmed.set()
        self._confirmed = asyncio.Event()

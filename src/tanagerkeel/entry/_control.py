"""The tasks through which entry nodes coordinate."""

from collections.abc import Awaitable, Callable

import attrs

from tanagerkeel.entry._configuration_task import ConfigurationTask
from tanagerkeel.entry._context import NodeContext
from tanagerkeel.entry._domains_task import DomainsTask
from tanagerkeel.entry._membership_task import MembershipTask
from tanagerkeel.entry._presence_task import PresenceTask
from tanagerkeel.entry._quarantine_task import QuarantineTask
from tanagerkeel.entry._usage_exchange import UsageExchange

__all__ = ["Control"]


@attrs.define
class Control:
    """
    Creates and connects a node's membership task and the tasks that build on it.

    :param context: the node's gateways and state.
    :param configuration: receives the revisions that peers report.
    """

    _context: NodeContext
    _configuration: ConfigurationTask
    membership: MembershipTask = attrs.field(init=False)
    presence: PresenceTask = attrs.field(init=False)
    domains: DomainsTask = attrs.field(init=False)
    quarantine: QuarantineTask = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.membership = MembershipTask(
            self._context, on_revision=self._configuration.record_peer_revision
        )
        self.presence = PresenceTask(self._context, self.membership)
        self.domains = DomainsTask(
            self._context, on_revision=self._configuration.record_remote_revision
        )
        self.quarantine = QuarantineTask(self._context, self.domains.queue_suspect)
        self.domains.on_suspect = self.quarantine.merge_remote
        usage = UsageExchange(self._context, self.domains.summaries)
        self.domains.usage = usage.for_summary
        self.membership.usage = usage.for_probe
        self.membership.on_usage = usage.record_usage

    @property
    def tasks(self) -> dict[str, Callable[[], Awaitable[None]]]:
        """The coroutine function of each task, by task name."""
        return {
            "membership": self.membership.run,
            "presence": self.presence.run,
            "domains": self.domains.run,
            "news": self.quarantine.run,
        }

    async def begin_stop(self) -> None:
        """Announce that this node accepts no new work."""
        await self.membership.announce_stopping()

    async def end_stop(self) -> None:
        """Leave the membership and remove this node's key from the platform."""
        await self.membership.leave()
        await self.presence.end()

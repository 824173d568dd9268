"""Detection of whether a stream broke because its backend server died."""

import asyncio

import attrs

from tanagerkeel.entry._context import NodeContext
from tanagerkeel.events import LogEvent, log
from tanagerkeel.fleet import BackendSnapshot
from tanagerkeel.gateways.engines import BackendFailed, BackendRefused

__all__ = ["DeathDetector"]

PROBE_TIMEOUT_S = 1.0


@attrs.frozen
class _ServerProcess:
    backend: str
    incarnation: str


@attrs.define
class DeathDetector:
    """
    Probes a backend server to see whether its process has ended since a snapshot.

    Streams of one server process that break at the same time share one probe.

    :param context: the node's gateways, state and instruments.
    """

    _context: NodeContext
    _probes: dict[_ServerProcess, "asyncio.Task[bool]"] = attrs.field(factory=dict)

    async def has_died(self, snapshot: BackendSnapshot) -> bool:
        """
        Return whether a backend server died since the snapshot.

        Only a refused connection or a new incarnation counts as a death; silence does
        not, as the network may be partitioned. A death is recorded in the fleet table
        and in the quarantine.
        """
        process = _ServerProcess(snapshot.server.name, snapshot.incarnation)
        probe = self._probes.get(process)
        if probe is None:
            probe = asyncio.create_task(self._probe(snapshot))
            self._probes[process] = probe
            probe.add_done_callback(lambda _: self._probes.pop(process, None))
        return await asyncio.shield(probe)

    async def _probe(self, snapshot: BackendSnapshot) -> bool:
        context = self._context
        name = snapshot.server.name
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                report = await context.engines.load_report(snapshot.server.address)
        except BackendFailed as error:
            if not error.connection_refused:
                return False
        except (BackendRefused, TimeoutError):
            return False
        else:
            context.fleet.record_report(name, report, context.clock.monotonic())
            if report.incarnation == snapshot.incarnation or not snapshot.incarnation:
                return False
        now = context.clock.monotonic()
        context.fleet.record_unreachable(name, now)
        log(LogEvent.BACKEND_UNREACHABLE, backend=name, error="died")
        quarantined = context.quarantine.record_death(name, now, snapshot.incarnation)
        for fingerprint in quarantined:
            log(LogEvent.REQUEST_QUARANTINED, fingerprint=fingerprint, backend=name)
        return True

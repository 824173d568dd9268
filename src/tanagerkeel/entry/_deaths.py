"""Find out whether a broken stream means that its backend server died."""

import asyncio

import attrs

from tanagerkeel.entry._context import NodeContext
from tanagerkeel.events import LogEvent, log
from tanagerkeel.fleet import BackendSnapshot
from tanagerkeel.gateways.engines import BackendFailed, BackendRefused

__all__ = ["DeathWatch"]

PROBE_TIMEOUT_S = 1.0


@attrs.frozen
class _Life:
    backend: str
    incarnation: str


@attrs.define
class DeathWatch:
    """
    Asks a backend server whether it is still the one that it was.

    Streams that break at the same time share one question.

    :param context: the node's gateways, state and instruments.
    """

    _context: NodeContext
    _probes: dict[_Life, "asyncio.Task[bool]"] = attrs.field(factory=dict)

    async def died(self, snapshot: BackendSnapshot) -> bool:
        """
        Return whether a backend server died since the snapshot.

        Silence is no proof: only a refused connection or a new incarnation is.
        """
        life = _Life(snapshot.server.name, snapshot.incarnation)
        probe = self._probes.get(life)
        if probe is None:
            probe = asyncio.create_task(self._probe(snapshot))
            self._probes[life] = probe
            probe.add_done_callback(lambda _: self._probes.pop(life, None))
        return await asyncio.shield(probe)

    async def _probe(self, snapshot: BackendSnapshot) -> bool:
        context = self._context
        name = snapshot.server.name
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                report = await context.engines.load(snapshot.server.address)
        except BackendFailed as error:
            if not error.refused:
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
        lost = context.quarantine.record_death(name, now, snapshot.incarnation)
        for fingerprint in lost:
            log(LogEvent.REQUEST_QUARANTINED, fingerprint=fingerprint, backend=name)
        return True

"""
The state and estimated load of the backend servers in a node's failure domain.

Combines late and repeated load reports of several nodes, failed polls, cache events and
this node's own dispatches into one snapshot of each backend server for routing.
"""

import math
from collections.abc import Iterator

import attrs

from tanagerkeel.configuration import BackendServer, Catalog
from tanagerkeel.events import LogEvent, log
from tanagerkeel.fleet._load import Dispatch, DispatchProgress, Load, LoadEstimate
from tanagerkeel.fleet._prefixes import PrefixIndex
from tanagerkeel.fleet._rates import RateEstimate
from tanagerkeel.fleet._slow_detector import SlowEngineDetector
from tanagerkeel.fleet._snapshot import BackendSnapshot, BackendState
from tanagerkeel.fleet._state import BackendLifecycle, LeavingSource
from tanagerkeel.gateways.engines import CacheEventBatch, LoadReport

__all__ = ["FleetTable"]

# In tokens per second, until the first report or sample.
DEFAULT_PREFILL_RATE = 10_000.0
DEFAULT_DECODE_RATE = 30.0
# With fewer tokens, network latency dominates the time of prefill.
MIN_SAMPLE_TOKENS = 512
MIN_SAMPLE_S = 0.001
# A snapshot is reused for this time, unless its backend server's record changes.
SNAPSHOT_REUSE_S = 0.01
# After this many consecutive samples that took this many times the expected time, the
# engine is cold again.
SLOW_SAMPLES = 3
SLOW_FACTOR = 4.0
# Network latency alone can add up to this time, so it is not slow prefill.
MIN_SLOW_EXCESS_S = 0.5


@attrs.define
class _Record:
    server: BackendServer
    state: BackendState = BackendState.UNKNOWN
    lifecycle: BackendLifecycle = attrs.field(factory=BackendLifecycle)
    load: LoadEstimate = attrs.field(factory=LoadEstimate)
    prefixes: PrefixIndex = attrs.field(factory=PrefixIndex)
    prefill: RateEstimate = attrs.field(
        factory=lambda: RateEstimate(DEFAULT_PREFILL_RATE)
    )
    decode: RateEstimate = attrs.field(
        factory=lambda: RateEstimate(DEFAULT_DECODE_RATE)
    )
    slow_samples: int = 0
    snapshot: BackendSnapshot | None = None
    snapshot_s: float = -math.inf


@attrs.define
class FleetTable:
    """
    The backend servers of one failure domain; used only on the node's event loop.

    Times are this node's monotonic time, in seconds.

    :param failure_domain: name of the failure domain.
    """

    _failure_domain: str
    _records: dict[str, _Record] = attrs.field(factory=dict)
    _slow_detector: SlowEngineDetector = attrs.field(factory=SlowEngineDetector)

    @property
    def open_dispatches(self) -> int:
        """Number of this node's dispatches that have not ended."""
        return sum(record.load.open_count for record in self._records.values())

    def configure(self, catalog: Catalog) -> None:
        """Set the backend servers, and which of them are leaving."""
        servers = catalog.backends_in(self._failure_domain)
        domain = catalog.domains.get(self._failure_domain)
        domain_out = domain is not None and domain.out
        kept = {s.name: self._records.get(s.name) or _Record(s) for s in servers}
        for server in servers:
            record = kept[server.name]
            if record.server.address != server.address:
                record = kept[server.name] = _Record(server)
            record.server = server
            record.snapshot = None
            record.lifecycle.set_leaving(LeavingSource.CONFIGURATION, server.leaving)
            record.lifecycle.set_leaving(LeavingSource.FAILURE_DOMAIN, domain_out)
        self._records = kept
        self._slow_detector.configure(servers)

    def record_report(self, backend: str, report: LoadReport, now: float) -> None:
        """
        Record an engine's load report, polled by this node or another one.

        Reports may arrive late and out of order. A report changes nothing if it was
        measured before the last one, or is of an incarnation that has been replaced.
        """
        record = self._get_for_update(backend)
        if record is None or record.lifecycle.is_retired(report.incarnation):
            return
        measured_s = now - max(0, report.age_ms) / 1_000
        if report.incarnation != record.lifecycle.incarnation:
            _reset_incarnation(record, report.incarnation)
            self._slow_detector.reset(backend)
        elif measured_s < record.load.measured_s:
            return
        record.lifecycle.record_report(
            report.incarnation, report.warm_level, report.leaving, now
        )
        record.load.record_report(report, measured_s)
        record.prefill.record_report(report.prefill_rate)
        record.decode.record_report(report.decode_rate)
        self._update_state(record, now)

    def record_unreachable(self, backend: str, now: float) -> None:
        """Record that a backend server doesn't answer."""
        record = self._get_for_update(backend)
        if record is not None:
            record.lifecycle.record_unreachable(now)
            self._update_state(record, now)

    def mark_leaving(
        self, backend: str, source: LeavingSource = LeavingSource.VM_LIST
    ) -> None:
        """Record that a source marks a backend server as leaving."""
        record = self._get_for_update(backend)
        if record is not None:
            record.lifecycle.set_leaving(source, True)

    def clear_leaving(
        self, backend: str, source: LeavingSource = LeavingSource.VM_LIST
    ) -> None:
        """Record that a source no longer marks a backend server as leaving."""
        record = self._get_for_update(backend)
        if record is not None:
            record.lifecycle.set_leaving(source, False)

    def record_cache_events(
        self, backend: str, batch: CacheEventBatch, now: float
    ) -> None:
        """Record cache events of an engine; a gap drops its cached prefixes."""
        record = self._get_for_update(backend)
        if record is None or record.lifecycle.is_retired(batch.incarnation):
            return
        if record.prefixes.record_events(batch):
            log(LogEvent.CACHE_EVENTS_GAP, backend=backend)

    def last_cache_sequence(self, backend: str) -> int:
        """Return the sequence number of the last recorded cache event; 0 before."""
        record = self._records.get(backend)
        return record.prefixes.sequence if record is not None else 0

    def record_dispatch(self, dispatch: Dispatch) -> None:
        """Record that this node dispatches a request."""
        record = self._get_for_update(dispatch.backend)
        if record is None:
            return
        load = _estimate_load(record, dispatch.sent_s)
        cached = record.prefixes.cached_tokens(dispatch.blocks)
        record.load.record_dispatch(
            DispatchProgress(
                dispatch=dispatch,
                uncached_tokens=max(1, dispatch.prompt_tokens - cached),
                ahead_tokens=(
                    load.urgent_tokens if dispatch.urgent else load.waiting_tokens
                ),
            )
        )

    def record_first_token(self, backend: str, attempt_id: str, now: float) -> None:
        """Record that an attempt's first token arrived."""
        record = self._get_for_update(backend)
        progress = record.load.record_first_token(attempt_id, now) if record else None
        if progress is None:
            return
        record.prefixes.add(progress.dispatch.blocks)
        self._sample_prefill(record, progress, now)
        if record.state is BackendState.WARM:
            tokens = progress.ahead_tokens + progress.uncached_tokens
            waited_s = now - progress.dispatch.sent_s
            self._slow_detector.record_answer(
                backend, progress.dispatch.urgent, tokens, waited_s, now
            )

    def record_end(self, backend: str, attempt_id: str, now: float) -> None:
        """Record that an attempt ended, whether it succeeded or not."""
        record = self._get_for_update(backend)
        if record is not None:
            record.load.record_end(attempt_id, now)

    def cached_tokens(self, backend: str, blocks: tuple[int, ...]) -> int:
        """Return how many tokens of a prompt's prefix are probably cached."""
        record = self._records.get(backend)
        return record.prefixes.cached_tokens(blocks) if record is not None else 0

    def snapshots(self, now: float) -> Iterator[BackendSnapshot]:
        """Yield the estimated state and load of every backend server."""
        for record in self._records.values():
            age_s = now - record.snapshot_s
            if record.snapshot is None or not 0 <= age_s < SNAPSHOT_REUSE_S:
                self._update_state(record, now)
                is_ejected = self._slow_detector.is_ejected(record.server.name, now)
                record.snapshot = _create_snapshot(record, now, is_ejected)
                record.snapshot_s = now
            yield record.snapshot

    def _get_for_update(self, backend: str) -> _Record | None:
        record = self._records.get(backend)
        if record is not None:
            record.snapshot = None
        return record

    def _sample_prefill(
        self, record: _Record, progress: DispatchProgress, now: float
    ) -> None:
        tokens = progress.ahead_tokens + progress.uncached_tokens
        if tokens < MIN_SAMPLE_TOKENS:
            return
        waited_s = now - progress.dispatch.sent_s
        rate = tokens / max(MIN_SAMPLE_S, waited_s)
        expected_s = tokens / record.prefill.value(now)
        is_slow = waited_s > max(
            SLOW_FACTOR * expected_s, expected_s + MIN_SLOW_EXCESS_S
        )
        # Short requests overtake long ones, so the wait of a long request doesn't show
        # sudden slowness.
        if progress.dispatch.urgent and record.state is BackendState.WARM:
            record.slow_samples = record.slow_samples + 1 if is_slow else 0
        record.prefill.record_sample(rate, now)
        if record.slow_samples >= SLOW_SAMPLES:
            record.slow_samples = 0
            record.lifecycle.record_slowdown(now)
            self._update_state(record, now)

    def _update_state(self, record: _Record, now: float) -> None:
        before = record.state
        after = record.lifecycle.state(now)
        if before is after:
            return
        record.state = after
        name = record.server.name
        log(LogEvent.BACKEND_STATE_CHANGED, backend=name, before=before, after=after)
        if before is BackendState.WARM and after in _COLD_STATES:
            log(LogEvent.BACKEND_COLD_AGAIN, backend=name)


_COLD_STATES = (BackendState.COLD, BackendState.WARMING)


def _reset_incarnation(record: _Record, incarnation: str) -> None:
    record.load.clear_report()
    record.prefixes.set_incarnation(incarnation)
    record.prefill.reset()
    record.decode.reset()
    record.slow_samples = 0


def _estimate_load(record: _Record, now: float) -> Load:
    return record.load.estimate(now, record.prefill.value(now))


def _create_snapshot(record: _Record, now: float, ejected: bool) -> BackendSnapshot:
    load = _estimate_load(record, now)
    report = record.load.report
    memory = report.memory_tokens if report is not None else 0
    memory_tokens = memory or record.server.memory_tokens
    return BackendSnapshot(
        server=record.server,
        state=record.state,
        incarnation=record.lifecycle.incarnation,
        urgent_tokens=load.urgent_tokens,
        waiting_tokens=load.waiting_tokens,
        running=load.running,
        own_long_requests=load.own_long_requests,
        free_memory_tokens=max(0, memory_tokens - load.memory_used_tokens),
        prefill_rate=record.prefill.value(now),
        decode_rate=record.decode.value(now),
        ejected=ejected,
        warm_level=record.lifecycle.warm_level,
        memory_tokens=memory_tokens,
    )

"""
Messages with which a node tells other nodes the load of the engines that it polls.

Metrics that change all the time are sent in coarse units, and only after a considerable
change or once ``REFRESH_S`` has passed. Metadata that seldom changes is sent once for
each change, and again on request.
"""

import attrs
import xxhash

from tanagerkeel.gateways.engines import LoadReport
from tanagerkeel.gateways.peers import peer_message

__all__ = [
    "EngineMetadata",
    "EngineMetrics",
    "LoadUpdate",
    "LoadUpdateReader",
    "LoadUpdateWriter",
    "MetadataQuery",
    "ReceivedReport",
    "backend_number",
]

WAITING_UNIT_TOKENS = 64
MEMORY_UNIT_TOKENS = 1_024
PREFILL_UNIT_RATE = 100.0
DECODE_UNIT_RATE = 0.5
WARM_UNITS = 100
AGE_UNIT_MS = 100
# Epochs of the metadata start again from 0 after this many.
EPOCH_COUNT = 100
# A smaller relative change of a metric is not sent before the next refresh.
MIN_RELATIVE_CHANGE = 0.2
REFRESH_S = 10.0


def backend_number(name: str) -> int:
    """Return the short id of a backend server in messages: the hash of its name."""
    return xxhash.xxh32_intdigest(name.encode())


@attrs.frozen
class EngineMetrics:
    """
    The frequently changing part of an engine's load report, in coarse units.

    :param backend: number of the engine.
    :param epoch: epoch of the engine's metadata when the report was measured.
    :param age: age of the report, in tenths of a second.
    :param warm: warm level, in hundredths.
    :param running: number of running requests.
    :param waiting: waiting prompt tokens, in units of 64.
    :param memory: KV cache memory in use, in units of 1,024 tokens.
    :param prefill: prefill rate, in units of 100 tokens per second.
    :param decode: decode rate, in units of half a token per second.
    """

    backend: int
    epoch: int
    age: int
    warm: int
    running: int
    waiting: int
    memory: int
    prefill: int
    decode: int


@attrs.frozen
class EngineMetadata:
    """
    The seldom changing part of an engine's load report.

    :param backend: number of the engine.
    :param epoch: counts the changes of the metadata, modulo ``EPOCH_COUNT``.
    :param report: a load report in which the metrics are 0.
    """

    backend: int
    epoch: int
    report: LoadReport


@peer_message(60)
@attrs.frozen
class LoadUpdate:
    """
    Load of the engines that the sender polls.

    :param metrics: metrics that changed.
    :param metadata: metadata that changed, or was requested.
    :param unreachable: numbers of engines that don't answer.
    :param leaving: numbers of backend servers whose VM is leaving.
    """

    metrics: tuple[EngineMetrics, ...] = ()
    metadata: tuple[EngineMetadata, ...] = ()
    unreachable: tuple[int, ...] = ()
    leaving: tuple[int, ...] = ()


@peer_message(61)
@attrs.frozen
class MetadataQuery:
    """
    Requests metadata that was not received, from the node that polls the engines.

    :param backends: numbers of the engines.
    """

    backends: tuple[int, ...]


@attrs.define
class _EngineRecord:
    metadata: LoadReport
    epoch: int
    sent_metrics: EngineMetrics | None = None
    sent_s: float = 0.0
    reachable: bool = True


@attrs.define
class LoadUpdateWriter:
    """Holds the load that this node polled, and tracks what is still to be sent."""

    _records: dict[int, _EngineRecord] = attrs.field(factory=dict)
    _metrics: dict[int, EngineMetrics] = attrs.field(factory=dict)
    _pending_metadata: set[int] = attrs.field(factory=set)
    _pending_unreachable: set[int] = attrs.field(factory=set)

    def record_report(self, backend: int, report: LoadReport) -> None:
        """Record a load report of an engine."""
        metadata = _metadata_of(report)
        record = self._records.get(backend)
        if record is None:
            record = self._records[backend] = _EngineRecord(metadata, epoch=0)
            self._pending_metadata.add(backend)
        elif record.metadata != metadata:
            record.metadata = metadata
            record.epoch = (record.epoch + 1) % EPOCH_COUNT
            self._pending_metadata.add(backend)
        if not record.reachable:
            record.reachable = True
            record.sent_metrics = None
        self._pending_unreachable.discard(backend)
        self._metrics[backend] = _metrics_of(backend, record.epoch, report)

    def record_unreachable(self, backend: int) -> None:
        """Record that an engine doesn't answer."""
        record = self._records.get(backend)
        if record is None or record.reachable:
            self._records.setdefault(
                backend, _EngineRecord(LoadReport(""), 0)
            ).reachable = False
            self._pending_unreachable.add(backend)
        self._metrics.pop(backend, None)

    def retain_only(self, backends: set[int]) -> None:
        """Drop engines that this node no longer polls."""
        for backend in self._records.keys() - backends:
            del self._records[backend]
            self._metrics.pop(backend, None)
        self._pending_metadata &= backends
        self._pending_unreachable &= backends

    def take_immediate(self, now: float) -> LoadUpdate | None:
        """
        Return what must be sent without delay, or None.

        This is changed metadata, as of an engine that is leaving, and the numbers of
        engines that stopped answering.
        """
        if not self._pending_metadata and not self._pending_unreachable:
            return None
        metadata = tuple(map(self._metadata, sorted(self._pending_metadata)))
        metrics = tuple(self._take_metrics(self._pending_metadata, now))
        unreachable = tuple(sorted(self._pending_unreachable))
        self._pending_metadata.clear()
        self._pending_unreachable.clear()
        return LoadUpdate(metrics, metadata, unreachable)

    def take_changed(self, now: float) -> LoadUpdate | None:
        """Return metrics that changed considerably or need a refresh, or None."""
        changed = {
            backend
            for backend, metrics in self._metrics.items()
            if self._needs_update(backend, metrics, now)
        }
        metrics = tuple(self._take_metrics(changed, now))
        return LoadUpdate(metrics) if metrics else None

    def full_update(self) -> LoadUpdate:
        """Return the state of all engines, for a node that has just joined."""
        return self.answer(MetadataQuery(tuple(self._records)))

    def answer(self, query: MetadataQuery) -> LoadUpdate:
        """Return the requested metadata and the metrics that belong to it."""
        known = [b for b in query.backends if b in self._records]
        unreachable = tuple(b for b in known if not self._records[b].reachable)
        reachable = [b for b in known if b not in unreachable]
        metrics = tuple(self._metrics[b] for b in reachable if b in self._metrics)
        return LoadUpdate(metrics, tuple(map(self._metadata, reachable)), unreachable)

    def _metadata(self, backend: int) -> EngineMetadata:
        record = self._records[backend]
        return EngineMetadata(backend, record.epoch, record.metadata)

    def _take_metrics(self, backends: set[int], now: float) -> list[EngineMetrics]:
        taken = []
        for backend in sorted(backends & self._metrics.keys()):
            metrics = self._metrics[backend]
            record = self._records[backend]
            record.sent_metrics = metrics
            record.sent_s = now
            taken.append(metrics)
        return taken

    def _needs_update(self, backend: int, metrics: EngineMetrics, now: float) -> bool:
        record = self._records[backend]
        if record.sent_metrics is None or now - record.sent_s >= REFRESH_S:
            return True
        # With the floor of 5 units, a change by 1 unit alone is not sent.
        return any(
            abs(new - old) > MIN_RELATIVE_CHANGE * max(new, old, 5)
            for new, old in zip(
                _compared_values(metrics),
                _compared_values(record.sent_metrics),
                strict=True,
            )
        )


@attrs.frozen
class ReceivedReport:
    """
    A load report received from another node.

    :param backend: number of the engine.
    :param report: the report, with metrics rounded to their units.
    """

    backend: int
    report: LoadReport


@attrs.define
class LoadUpdateReader:
    """Restores the load reports from the messages of other nodes."""

    _metadata: dict[tuple[str, int], EngineMetadata] = attrs.field(factory=dict)

    def read(
        self, sender: str, update: LoadUpdate
    ) -> tuple[tuple[ReceivedReport, ...], MetadataQuery | None]:
        """
        Return the reports in a message, and a query for missing metadata or None.

        :param sender: address of the node that sent the message.
        :param update: the message.
        """
        for metadata in update.metadata:
            self._metadata[(sender, metadata.backend)] = metadata
        reports = []
        missing = []
        for metrics in update.metrics:
            metadata = self._metadata.get((sender, metrics.backend))
            if metadata is None or metadata.epoch != metrics.epoch:
                missing.append(metrics.backend)
                continue
            reports.append(ReceivedReport(metrics.backend, _report(metadata, metrics)))
        query = MetadataQuery(tuple(missing)) if missing else None
        return tuple(reports), query

    def retain_only(self, senders: set[str]) -> None:
        """Drop the metadata of all other senders."""
        kept = {k: m for k, m in self._metadata.items() if k[0] in senders}
        self._metadata = kept


def _metadata_of(report: LoadReport) -> LoadReport:
    return attrs.evolve(
        report,
        age_ms=0,
        warm_level=0.0,
        running=0,
        waiting_tokens=0,
        memory_used_tokens=0,
        prefill_rate=0.0,
        decode_rate=0.0,
    )


def _metrics_of(backend: int, epoch: int, report: LoadReport) -> EngineMetrics:
    return EngineMetrics(
        backend=backend,
        epoch=epoch,
        age=round(report.age_ms / AGE_UNIT_MS),
        warm=round(report.warm_level * WARM_UNITS),
        running=report.running,
        waiting=round(report.waiting_tokens / WAITING_UNIT_TOKENS),
        memory=round(report.memory_used_tokens / MEMORY_UNIT_TOKENS),
        prefill=round(report.prefill_rate / PREFILL_UNIT_RATE),
        decode=round(report.decode_rate / DECODE_UNIT_RATE),
    )


def _compared_values(metrics: EngineMetrics) -> tuple[int, ...]:
    return (
        metrics.warm,
        metrics.running,
        metrics.waiting,
        metrics.memory,
        metrics.prefill,
        metrics.decode,
    )


def _report(metadata: EngineMetadata, metrics: EngineMetrics) -> LoadReport:
    return attrs.evolve(
        metadata.report,
        age_ms=metrics.age * AGE_UNIT_MS,
        warm_level=metrics.warm / WARM_UNITS,
        running=metrics.running,
        waiting_tokens=metrics.waiting * WAITING_UNIT_TOKENS,
        memory_used_tokens=metrics.memory * MEMORY_UNIT_TOKENS,
        prefill_rate=metrics.prefill * PREFILL_UNIT_RATE,
        decode_rate=metrics.decode * DECODE_UNIT_RATE,
    )

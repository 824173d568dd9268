"""Tracing of requests with OpenTelemetry spans and W3C trace context."""

import contextlib
from collections.abc import Iterator, Sequence

import attrs
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from tanagerkeel.events import LogEvent, log

__all__ = ["LogSpanExporter", "OpenSpan", "Tracing"]

TRACEPARENT_HEADER = "traceparent"
NS_PER_MS = 1_000_000


@attrs.frozen
class OpenSpan:
    """
    An open span.

    :param span: the span of OpenTelemetry.
    :param traceparent: W3C trace context to send along with calls made in this span.
    """

    span: trace.Span
    traceparent: str


class LogSpanExporter(SpanExporter):
    """Writes each ended span to the log, because the VMs keep no files."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write one log event per span."""
        for span in spans:
            log(LogEvent.SPAN_ENDED, **_fields(span))
        return SpanExportResult.SUCCESS


def _fields(span: ReadableSpan) -> dict[str, object]:
    context = span.get_span_context()
    parent = span.parent
    return {
        "trace_id": trace.format_trace_id(context.trace_id),
        "span_id": trace.format_span_id(context.span_id),
        "parent_id": trace.format_span_id(parent.span_id) if parent else "",
        "name": span.name,
        "start_ms": span.start_time // NS_PER_MS,
        "duration_ms": (span.end_time - span.start_time) / NS_PER_MS,
        "attributes": dict(span.attributes),
    }


@attrs.define
class Tracing:
    """
    Creates the spans of one node.

    :param node_id: id of the node, an attribute of the spans' resource.
    :param exporter: receives ended spans; None to export none.
    """

    _node_id: str
    _exporter: SpanExporter | None = None
    _tracer: trace.Tracer = attrs.field(init=False)
    _propagator: TraceContextTextMapPropagator = attrs.field(
        factory=TraceContextTextMapPropagator
    )

    def __attrs_post_init__(self) -> None:
        resource = Resource({"service.name": "tanagerkeel", "node": self._node_id})
        provider = TracerProvider(resource=resource, shutdown_on_exit=False)
        if self._exporter is not None:
            provider.add_span_processor(SimpleSpanProcessor(self._exporter))
        self._tracer = provider.get_tracer("tanagerkeel")

    @contextlib.contextmanager
    def span(
        self, name: str, traceparent: str, **attributes: str | int | float
    ) -> Iterator[OpenSpan]:
        """
        Open a span for one step of a request.

        :param name: name of the span.
        :param traceparent: W3C trace context of the parent span, or empty.
        :param attributes: plain values; never keys, prompts or answers.
        """
        parent = self._propagator.extract({TRACEPARENT_HEADER: traceparent})
        span = self._tracer.start_span(name, context=parent, attributes=attributes)
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, trace.set_span_in_context(span))
        try:
            yield OpenSpan(span, carrier.get(TRACEPARENT_HEADER, ""))
        except BaseException as error:
            span.set_attribute("error.type", type(error).__name__)
            raise
        finally:
            span.end()

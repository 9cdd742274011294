"""Exports trace spans with the OpenTelemetry SDK.

Imported only if tracing is enabled.
"""

from __future__ import annotations

import importlib
import time
from types import MappingProxyType

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    ConsoleSpanExporter,
    SpanExporter,
)
from opentelemetry.trace import SpanContext, SpanKind, TraceFlags

from figlane.clock import current_time
from figlane.entities.outbox import RecordSpan
from figlane.entities.span import Hop, Span
from figlane.settings import TracingSettings

# Imported on use, because it is installed only with the extra ``otlp``.
_OTLP_MODULE = 'opentelemetry.exporter.otlp.proto.http.trace_exporter'
_NANOSECONDS_PER_SECOND = 1_000_000_000
_HEX_BASE = 16
_KIND_BY_HOP = MappingProxyType(
    {Hop.ENTRY: SpanKind.SERVER, Hop.EXIT: SpanKind.CLIENT},
)


class SpanRecorder:
    """Converts finished spans to SDK spans and exports them in batches."""

    __slots__ = ('_processor', '_resource')

    def __init__(self, node_id: str, exporter: SpanExporter) -> None:
        """Start the batch processor of the SDK, which runs its own thread.

        The thread blocks between batches.

        :param node_id: id of this node.
        :param exporter: destination of the spans.
        """
        self._processor = BatchSpanProcessor(exporter)
        self._resource = Resource(
            {'service.name': 'figlane-node', 'service.instance.id': node_id},
        )

    def record(self, row: RecordSpan) -> None:
        """Queue a finished span for export.

        :param row: the outbox row with the span.
        """
        self._processor.on_end(self._to_sdk_span(row.span))

    def close(self) -> None:
        """Export the queued spans and stop the batch processor."""
        self._processor.shutdown()

    def _to_sdk_span(self, span: Span) -> ReadableSpan:
        # Span times are seconds since boot; the SDK expects Unix time.
        offset = time.time() - current_time()
        parent = None
        if span.parent_id:
            parent = _to_span_context(span.context.trace_id, span.parent_id)
        return ReadableSpan(
            name=f'figlane.{span.hop.value}',
            context=_to_span_context(
                span.context.trace_id, span.context.span_id
            ),
            parent=parent,
            resource=self._resource,
            attributes={**span.attributes, 'figlane.outcome': span.outcome},
            kind=_KIND_BY_HOP[span.hop],
            start_time=int(
                (span.started_at + offset) * _NANOSECONDS_PER_SECOND
            ),
            end_time=int((span.ended_at + offset) * _NANOSECONDS_PER_SECOND),
        )


def make_exporter(settings: TracingSettings) -> SpanExporter:
    """Create the span exporter that the settings select.

    :param settings: tracing settings whose ``exporter`` is not ``none``.
    :return: the exporter.
    """
    if settings.exporter == 'console':
        return ConsoleSpanExporter()
    otlp = importlib.import_module(_OTLP_MODULE)
    return otlp.OTLPSpanExporter(endpoint=settings.endpoint)


def _to_span_context(trace_id: str, span_id: str) -> SpanContext:
    return SpanContext(
        int(trace_id, _HEX_BASE),
        int(span_id, _HEX_BASE),
        is_remote=False,
        trace_flags=TraceFlags(TraceFlags.SAMPLED),
    )

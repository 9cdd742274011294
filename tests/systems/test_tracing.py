"""Tests of trace spans, with the in-memory exporter of the SDK."""

from __future__ import annotations

import random
import subprocess
import sys
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from figlane.entities.call import Call
from figlane.entities.execution import Execution
from figlane.entities.http import Answer, Request
from figlane.entities.outbox import RecordSpan
from figlane.entities.span import TraceContext, Tracing, parse_trace_parent
from figlane.entities.world import Identity, World
from figlane.errors import ErrorKind, Refusal
from figlane.systems.tracing import (
    begin_entry_span,
    begin_exit_span,
    end_entry_span,
    end_exit_span,
)
from figlane.telemetry.span_recorder import SpanRecorder

_REQUEST = Request('GET', '/', ())
_CALLER = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'


class ChainTest(unittest.TestCase):
    """Trace context over the hops of a call."""

    def test_span_chain(self) -> None:
        """Spans of a call and its child form one chain of parents."""
        world = _world(Tracing(is_on=True))
        parent = _CALLER
        for number in range(2):
            parent = _trace_hops(world, f'call-{number}', parent)
        spans = _export(world)
        self.assertEqual(len(spans), 4)
        trace_ids = {f'{span.context.trace_id:032x}' for span in spans}
        self.assertEqual(trace_ids, {_CALLER[3:35]})
        by_parent = {span.parent.span_id: span for span in spans}
        parent_span_id = int(_CALLER[36:52], 16)
        for name in ('entry', 'exit', 'entry', 'exit'):
            span = by_parent[parent_span_id]
            self.assertEqual(span.name, f'figlane.{name}')
            parent_span_id = span.context.span_id
        self.assertEqual(f'{parent_span_id:016x}', parent[36:52])

    def test_new_trace(self) -> None:
        """A call without a trace context starts one, sampled by the ratio."""
        for ratio, expected in ((1.0, 2), (0, 0)):
            world = _world(Tracing(is_on=True, ratio=ratio))
            self.assertTrue(_trace_hops(world, 'call', ''))
            self.assertEqual(len(_export(world)), expected)

    def test_unsampled_caller(self) -> None:
        """The caller's decision not to sample applies to every hop."""
        world = _world(Tracing(is_on=True))
        passed = _trace_hops(world, 'call', f'{_CALLER[:-2]}00')
        self.assertTrue(passed.endswith('-00'))
        self.assertEqual(_export(world), [])

    def test_tracing_off(self) -> None:
        """With tracing off, a valid header is forwarded unchanged.

        A malformed one is dropped.
        """
        world = _world(Tracing())
        self.assertEqual(_trace_hops(world, 'call', _CALLER), _CALLER)
        self.assertEqual(_trace_hops(world, 'call', 'x\r\nkey: y'), '')
        self.assertEqual(world.outbox, [])

    def test_refusal_outcome(self) -> None:
        """The span of a refused call has the error kind as its outcome."""
        world = _world(Tracing(is_on=True))
        call = Call('call', 'dues', _REQUEST, 0, trace_parent=_CALLER)
        begin_entry_span(world, call, 1)
        call.outcome = Refusal(ErrorKind.OVERLOADED)
        end_entry_span(world, call, 2)
        span = _export(world)[0]
        self.assertEqual(span.attributes['figlane.outcome'], 'overloaded')
        self.assertEqual(span.end_time - span.start_time, 1_000_000_000)


class HeaderTest(unittest.TestCase):
    """The ``traceparent`` header."""

    def test_malformed(self) -> None:
        """Headers that W3C Trace Context calls invalid are rejected.

        Additional fields are accepted for later versions only.
        """
        for header in (
            '',
            'x',
            _CALLER.upper(),
            f'{_CALLER}-00',
            f'ff{_CALLER[2:]}',
            f'00-{"0" * 32}{_CALLER[35:]}',
            f'{_CALLER[:36]}{"0" * 16}-01',
            _CALLER[:-1],
            f'{_CALLER}\n',
        ):
            with self.subTest(header):
                self.assertIsNone(parse_trace_parent(header))
        self.assertTrue(parse_trace_parent(f'01{_CALLER[2:]}-more'))

    @settings(derandomize=True, deadline=None)
    @given(
        st.integers(1, 2**128 - 1),
        st.integers(1, 2**64 - 1),
        st.booleans(),
    )
    def test_round_trip(
        self,
        trace: int,
        span: int,
        is_sampled: bool,
    ) -> None:
        """A formatted header parses to the same trace context.

        :param trace: trace id as a number.
        :param span: span id as a number.
        :param is_sampled: the sampled flag.
        """
        context = TraceContext(f'{trace:032x}', f'{span:016x}', is_sampled)
        self.assertEqual(parse_trace_parent(context.header()), context)

    @settings(derandomize=True, deadline=None)
    @given(st.text())
    def test_any_text(self, header: str) -> None:
        """Arbitrary text raises no exception.

        :param header: the value of the header.
        """
        parse_trace_parent(header)


class ImportTest(unittest.TestCase):
    """Imports of a node without tracing."""

    def test_sdk_is_not_imported(self) -> None:
        """Importing the node's modules does not import OpenTelemetry."""
        code = (
            'import sys, figlane.composition; '
            'sys.exit(any("opentelemetry" in name for name in sys.modules))'
        )
        done = subprocess.run((sys.executable, '-c', code), check=False)
        self.assertEqual(done.returncode, 0)


def _world(tracing: Tracing) -> World:
    return World(
        Identity('node-a', 'domain-a', 1),
        random.Random(1),
        tracing=tracing,
    )


def _trace_hops(world: World, call_id: str, trace_parent: str) -> str:
    call = Call(call_id, 'dues', _REQUEST, 0, trace_parent=trace_parent)
    begin_entry_span(world, call, 1)
    execution = Execution(
        call_id,
        attempt=1,
        entry_node_id='node-a',
        service_id='dues',
        organisation_id='',
        importance=1,
        idempotent=True,
        depth=0,
        deadline=9,
        retries_left=1,
        request=_REQUEST,
        queued_at=1,
        trace_parent=call.trace_parent,
    )
    begin_exit_span(world, execution, 2)
    execution.outcome = Answer(200, ())
    call.outcome = execution.outcome
    end_exit_span(world, execution, 3)
    end_entry_span(world, call, 4)
    return execution.trace_parent


def _export(world: World) -> list[ReadableSpan]:
    exporter = InMemorySpanExporter()
    recorder = SpanRecorder('node-a', exporter)
    for row in world.outbox:
        assert isinstance(row, RecordSpan)
        recorder.record(row)
    recorder.close()
    return list(exporter.get_finished_spans())

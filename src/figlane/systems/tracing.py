"""Creates a trace span for each hop of a call and queues it for export."""

from __future__ import annotations

from figlane.entities.call import Call
from figlane.entities.execution import Execution
from figlane.entities.http import Answer
from figlane.entities.outbox import RecordSpan
from figlane.entities.span import (
    Hop,
    Span,
    TraceContext,
    parse_trace_parent,
)
from figlane.entities.world import World
from figlane.errors import Refusal

_TRACE_BITS = 128
_SPAN_BITS = 64


def begin_entry_span(world: World, call: Call, now: float) -> None:
    """Begin the span of a call at its entry node.

    A malformed ``traceparent`` is dropped, even if tracing is off.

    :param world: the tables.
    :param call: a call that has just arrived.
    :param now: the present time in seconds.
    """
    caller = parse_trace_parent(call.trace_parent)
    if not world.tracing.is_on:
        call.trace_parent = caller.header() if caller else ''
        return
    call.span = _begin(world, Hop.ENTRY, caller, now)
    call.trace_parent = call.span.context.header()


def end_entry_span(world: World, call: Call, now: float) -> None:
    """End the entry span of a finished call and queue it for export.

    :param world: the tables.
    :param call: the call.
    :param now: the present time in seconds.
    """
    if call.span is None:
        return
    call.span.attributes = {
        'figlane.call': call.id,
        'figlane.service': call.service_id,
        'figlane.organisation': call.organisation_id,
        'figlane.attempts': str(call.attempt),
    }
    _end(world, call.span, call.outcome, now)
    call.span = None


def begin_exit_span(world: World, execution: Execution, now: float) -> None:
    """Begin the span of an execution when it is offered to its exit node.

    :param world: the tables.
    :param execution: an execution that has just been offered.
    :param now: the present time in seconds.
    """
    if not world.tracing.is_on:
        return
    entry = parse_trace_parent(execution.trace_parent)
    execution.span = _begin(world, Hop.EXIT, entry, now)
    execution.trace_parent = execution.span.context.header()


def end_exit_span(world: World, execution: Execution, now: float) -> None:
    """End the exit span of an execution and queue it for export.

    :param world: the tables.
    :param execution: the execution.
    :param now: the present time in seconds.
    """
    if execution.span is None:
        return
    execution.span.attributes = {
        'figlane.call': execution.id,
        'figlane.service': execution.service_id,
        'figlane.organisation': execution.organisation_id,
        'figlane.backend_server': execution.backend_server_id,
    }
    _end(world, execution.span, execution.outcome, now)
    execution.span = None


def _begin(
    world: World,
    hop: Hop,
    parent: TraceContext | None,
    now: float,
) -> Span:
    span_id = f'{world.random.getrandbits(_SPAN_BITS) or 1:016x}'
    if parent is not None:
        context = TraceContext(parent.trace_id, span_id, parent.is_sampled)
        return Span(context, hop, now, parent.span_id)
    trace_id = f'{world.random.getrandbits(_TRACE_BITS) or 1:032x}'
    is_sampled = world.random.random() < world.tracing.ratio
    return Span(TraceContext(trace_id, span_id, is_sampled), hop, now)


def _end(
    world: World,
    span: Span,
    outcome: Answer | Refusal | object,
    now: float,
) -> None:
    if not span.context.is_sampled:
        return
    span.ended_at = now
    if isinstance(outcome, Answer):
        span.outcome = str(outcome.status)
    if isinstance(outcome, Refusal):
        span.outcome = outcome.kind.value
    world.outbox.append(RecordSpan(span))

"""Measures the processor time per call with tracing off and on.

``python -m tools.trace_cost`` alternates between rounds with tracing off, on
without sampling, and on with all calls sampled. It prints microseconds of
processor time per call, which has a span at the entry node and one at the
exit node.
"""

from __future__ import annotations

import random
import statistics
import sys
import time

from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from figlane.entities.call import Call
from figlane.entities.execution import Execution
from figlane.entities.http import Answer, Request
from figlane.entities.span import Tracing
from figlane.entities.world import Identity, World
from figlane.systems.tracing import (
    begin_entry_span,
    begin_exit_span,
    end_entry_span,
    end_exit_span,
)
from figlane.telemetry.span_recorder import SpanRecorder

_ROUNDS = 9
_CALLS = 2000
_US_PER_SECOND = 1_000_000
_OK = 200
_ANSWER = Answer(_OK, ())
_REQUEST = Request('GET', '/', ())


def main() -> None:
    """Print the median and the range of the rounds for each case."""
    cases = (Tracing(), Tracing(is_on=True, ratio=0), Tracing(is_on=True))
    costs: list[list[float]] = [[] for _ in cases]
    for _ in range(_ROUNDS):
        for number, tracing in enumerate(cases):
            costs[number].append(_cost_per_call(tracing))
    titles = ('off', 'on, nothing sampled', 'on, all sampled')
    for title, rounds in zip(titles, costs, strict=True):
        sys.stdout.write(
            f'{title:20} median {statistics.median(rounds):7.2f} us a call, '
            f'{min(rounds):.2f} to {max(rounds):.2f}\n',
        )


def _cost_per_call(tracing: Tracing) -> float:
    world = World(
        Identity('node-a', 'domain-a', 1),
        random.Random(1),
        tracing=tracing,
    )
    recorder = SpanRecorder('node-a', InMemorySpanExporter())
    started_at = time.process_time()
    for _ in range(_CALLS):
        _simulate_call(world)
        for row in world.outbox:
            recorder.record(row)
        world.outbox.clear()
    recorder.close()
    return (time.process_time() - started_at) / _CALLS * _US_PER_SECOND


def _simulate_call(world: World) -> None:
    call = Call('call', 'dues', _REQUEST, 0)
    begin_entry_span(world, call, 1)
    execution = Execution(
        'call',
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
    execution.outcome = _ANSWER
    end_exit_span(world, execution, 3)
    call.outcome = _ANSWER
    end_entry_span(world, call, 4)


if __name__ == '__main__':
    main()

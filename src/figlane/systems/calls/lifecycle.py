"""Completes calls and replies to their callers.

Each caller gets exactly one outcome. A refusal says that the call did not run
only if no earlier attempt may have run.
"""

from __future__ import annotations

from figlane.entities.call import Call, CallPhase
from figlane.entities.http import Answer, StreamedAnswer
from figlane.entities.messages import CallCancel
from figlane.entities.outbox import AnswerCaller, LogDecision
from figlane.entities.world import World
from figlane.errors import ErrorKind, ExecutionStatus, Refusal
from figlane.registry import RunCondition
from figlane.systems.calls.durations import record_duration
from figlane.systems.calls.refused_calls import record_refused_call
from figlane.systems.calls.retry_hints import with_retry_after
from figlane.systems.links.messages import send_message
from figlane.systems.registry import Stage, system
from figlane.systems.tracing import end_entry_span

Outcome = Answer | Refusal | StreamedAnswer

# Seconds in log events are rounded to milliseconds.
_SECONDS_DECIMALS = 3
# Lowest HTTP status code of a server error.
_MIN_SERVER_ERROR_STATUS = 500


def finish_call(
    world: World,
    call: Call,
    outcome: Outcome,
) -> None:
    """Set the outcome of a call and move it to ``FINISHED``.

    A call that has already finished keeps its first outcome.

    :param world: the tables.
    :param call: a call of this node.
    :param outcome: the answer or refusal for its caller.
    """
    if call.phase is CallPhase.FINISHED:
        return
    call.outcome = _outcome_after_earlier_attempts(call, outcome)
    world.calls.move(call, CallPhase.FINISHED)


def cancel_attempt(world: World, call: Call) -> None:
    """Send a cancellation to the exit node of the current attempt.

    :param world: the tables.
    :param call: a call in phase ``SENT``.
    """
    if call.phase is CallPhase.SENT:
        send_message(world, call.node_id, CallCancel(call.id, call.attempt))


def current_call(
    world: World,
    sender: str,
    call_id: str,
    attempt: int,
) -> Call | None:
    """Find the call that a reply about an attempt belongs to.

    :param world: the tables.
    :param sender: the node that sent the reply.
    :param call_id: id of the call.
    :param attempt: number of the attempt.
    :return: the call; None if it no longer waits for any reply (counted as
        late) or waits for another attempt or node (counted as crossed).
    """
    call = world.calls.get(call_id)
    if call is None or call.phase is not CallPhase.SENT:
        world.counters['call.late'] += 1
        return None
    if call.attempt != attempt or call.node_id != sender:
        world.counters['call.crossed'] += 1
        return None
    return call


@system(Stage.COMPLETION, RunCondition('calls', CallPhase.FINISHED))
def answer_callers(world: World, now: float) -> None:
    """Reply to the callers of finished calls and remove the calls.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for call in world.calls.in_phase(CallPhase.FINISHED):
        world.calls.remove(call.id)
        _detach_from_parent(world, call)
        if isinstance(call.outcome, Refusal):
            call.outcome = with_retry_after(world, call, call.outcome, now)
        _record_outcome(world, call, now)
        record_duration(world, call, now)
        _log_refusal(world, call, now)
        record_refused_call(world, call, now)
        end_entry_span(world, call, now)
        world.outbox.append(AnswerCaller(call.id, call.outcome))


def _log_refusal(world: World, call: Call, now: float) -> None:
    refusal = call.outcome
    if not isinstance(refusal, Refusal):
        return
    event = LogDecision(
        'call_refused',
        {
            'request': call.id,
            'kind': refusal.kind.value,
            'outcome': refusal.answer.execution_status.value,
            'reason': refusal.detail,
            'service': call.service_id,
            'route': call.route.name if call.route else '',
            'organisation': call.organisation_id,
            'importance': call.importance,
            'attempts': call.attempt,
            'tried_nodes': sorted(call.tried_node_ids),
            'seconds': round(now - call.arrived_at, _SECONDS_DECIMALS),
            'seconds_left': round(call.deadline - now, _SECONDS_DECIMALS),
            'retry_after': refusal.retry_after,
            'configuration': world.ingress.version,
        },
    )
    world.outbox.append(event)


def _outcome_after_earlier_attempts(call: Call, outcome: Outcome) -> Outcome:
    if not isinstance(outcome, Refusal) or not call.may_have_run:
        return outcome
    if outcome.answer.execution_status is not ExecutionStatus.NOT_RUN:
        return outcome
    detail = (
        f'an earlier attempt may have run; last error: {outcome.kind.value}'
    )
    return Refusal(ErrorKind.OUTCOME_UNKNOWN, detail)


def _detach_from_parent(world: World, call: Call) -> None:
    parent = world.executions.get(call.parent_id)
    if parent is None:
        return
    parent.child_call_ids.discard(call.id)
    if _is_success(call.outcome):
        parent.open_child_keys.discard(call.child_key)


def _is_success(outcome: Outcome | None) -> bool:
    if isinstance(outcome, StreamedAnswer):
        return True
    return (
        isinstance(outcome, Answer)
        and outcome.status < _MIN_SERVER_ERROR_STATUS
    )


def _record_outcome(world: World, call: Call, now: float) -> None:
    outcome = 'answered'
    if isinstance(call.outcome, Refusal):
        outcome = call.outcome.kind.value
    route = call.route.name if call.route else ''
    labels = (call.service_id, route, call.organisation_id, outcome)
    world.latencies.count(labels)
    world.latencies.add('whole', call.service_id, now - call.arrived_at)
    if isinstance(call.outcome, Refusal):
        kind = call.outcome.kind.value
        world.counters[f'call.refused.{kind}'] += 1
        return
    world.counters['call.answered'] += 1

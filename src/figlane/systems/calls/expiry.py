"""Expiry of calls, executions and ledger entries."""

from __future__ import annotations

from figlane.entities.call import Call, CallPhase
from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.outbox import CancelOnBackend
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import RunCondition
from figlane.systems.admission.execution import end_execution
from figlane.systems.admission.ledger import remove_expired_execution
from figlane.systems.admission.run_limits import answered_by
from figlane.systems.calls.lifecycle import cancel_attempt, finish_call
from figlane.systems.links.handshake import abort_handshake
from figlane.systems.registry import Stage, system


@system(Stage.EXPIRY, RunCondition('calls'))
def expire_calls(world: World, now: float) -> None:
    """Refuse calls past their deadline and route those that have waited.

    A call that waits for a backoff or for a node's ledger epoch is routed when
    the wait ends. A call that was sent may have run, and its outcome is
    unknown; it is due before its deadline if this node stops before.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for call in world.calls.pop_due(now):
        _expire_call(world, call, now)


def _expire_call(world: World, call: Call, now: float) -> None:
    if call.phase is CallPhase.WAITING and now < call.deadline:
        abort_handshake(world, call)
        world.calls.schedule(call, call.deadline)
        world.calls.move(call, CallPhase.ROUTABLE)
        return
    if call.phase is CallPhase.SENT:
        cancel_attempt(world, call)
        detail = f'no answer from {call.node_id} by the deadline'
        if now < call.deadline:
            detail = f'no answer from {call.node_id} before this node stops'
        finish_call(world, call, Refusal(ErrorKind.OUTCOME_UNKNOWN, detail))
        return
    detail = f'the deadline passed while the call was {call.phase.value}'
    if call.is_in_handshake:
        detail = f'{detail} for the ledger epoch of {call.node_id}'
    elif call.last_refusal is not None:
        detail = f'{detail}, last refused as {call.last_refusal.kind.value}'
    finish_call(world, call, Refusal(ErrorKind.DEADLINE_EXCEEDED, detail))


@system(Stage.EXPIRY, RunCondition('executions'))
def expire_executions(world: World, now: float) -> None:
    """End executions past their deadline and remove expired ledger entries.

    An execution that is running may have taken effect, and its outcome is
    unknown; one that is queued has not run. A running one is ended later if
    time is reserved for the answer that the server gives at the deadline, and
    before its deadline if this node stops before.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for execution in world.executions.pop_due(now):
        _expire_execution(world, execution, now)


def _expire_execution(world: World, execution: Execution, now: float) -> None:
    if execution.phase is ExecutionPhase.RECORDED:
        remove_expired_execution(world, execution)
        return
    ends_at = answered_by(world, execution)
    if execution.phase is ExecutionPhase.RUNNING and now < ends_at:
        world.executions.schedule(execution, ends_at)
        return
    if execution.phase is ExecutionPhase.CLAIMING:
        outcome = Refusal(
            ErrorKind.UNREACHABLE,
            'the witness of the idempotency key did not answer',
        )
    elif execution.phase is ExecutionPhase.QUEUED:
        waited = now - execution.queued_at
        detail = f'the deadline passed after {waited:.3f} s in the queue'
        outcome = Refusal(ErrorKind.DEADLINE_EXCEEDED, detail)
    else:
        world.outbox.append(CancelOnBackend(execution.id))
        detail = 'the deadline passed while the backend server ran the call'
        if now < execution.deadline:
            detail = (
                'the exit node stops while the backend server runs the call'
            )
        outcome = Refusal(ErrorKind.OUTCOME_UNKNOWN, detail)
    end_execution(world, execution, outcome, now)

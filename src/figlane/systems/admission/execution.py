"""Handles call requests at the exit node and reports their outcomes."""

from __future__ import annotations

import zlib

from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.http import Answer, StreamedAnswer
from figlane.entities.inbox import BackendFinished, PeerMessage
from figlane.entities.link_messages import CallState, CallStatus, Pong
from figlane.entities.messages import (
    CallAnswer,
    CallCancel,
    CallRefusal,
    CallRequest,
    Load,
)
from figlane.entities.outbox import CancelOnBackend
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import RunCondition
from figlane.systems.admission.ledger import (
    block_attempt,
    ledger_epoch,
    register_attempt,
    retain_execution,
    set_outcome,
)
from figlane.systems.calls.lifecycle import cancel_attempt, finish_call
from figlane.systems.links.messages import send_message
from figlane.systems.links.rows import get_link
from figlane.systems.registry import (
    Stage,
    execution_observers,
    inbox_handlers,
    peer_handlers,
    system,
)

_ENDED = frozenset((ExecutionPhase.ANSWERED, ExecutionPhase.RECORDED))


@peer_handlers.register(CallRequest)
def handle_request(world: World, row: PeerMessage, now: float) -> None:
    """Queue an attempt, or resend the recorded outcome of a repeated call.

    A request with another ledger epoch is not run, since a previous process of
    this node may have run the call and its ledger is lost. The sender receives
    the status ``LOST`` and the present epoch.

    :param world: the tables.
    :param row: the request with its body.
    :param now: the present time in seconds.
    """
    message: CallRequest = row.message
    get_link(world, row.sender).address = message.reply_address
    if message.epoch != ledger_epoch(world):
        _refuse_epoch(world, row, now)
        return
    known = register_attempt(world, row, now)
    if known is not None:
        send_outcome(world, known)


def _refuse_epoch(world: World, row: PeerMessage, now: float) -> None:
    message: CallRequest = row.message
    world.counters['execution.wrong-epoch'] += 1
    epoch = ledger_epoch(world)
    lost = CallStatus(message.call_id, message.attempt, CallState.LOST, epoch)
    send_message(world, row.sender, lost)
    send_message(world, row.sender, Pong(0, now, epoch))


@inbox_handlers.register(BackendFinished)
def handle_finished(world: World, row: BackendFinished, now: float) -> None:
    """End an execution with the outcome from the backend server.

    Outcomes of executions that no longer run are counted as late.

    :param world: the tables.
    :param row: the outcome.
    :param now: the present time in seconds.
    """
    execution = world.executions.get(row.execution_id)
    if execution is None or execution.phase is not ExecutionPhase.RUNNING:
        world.counters['execution.late'] += 1
        return
    end_execution(world, execution, row.outcome, now)


@peer_handlers.register(CallCancel)
def handle_cancel(world: World, row: PeerMessage, now: float) -> None:
    """Cancel an attempt whose entry node no longer waits for it.

    If the request has not arrived yet, a ledger entry keeps it from running
    later.

    :param world: the tables.
    :param row: the cancellation.
    :param now: the present time in seconds.
    """
    message: CallCancel = row.message
    execution = world.executions.get(message.call_id)
    if execution is None:
        execution = block_attempt(
            world, message.call_id, message.attempt, '', now
        )
    if execution.phase in _ENDED or message.attempt < execution.attempt:
        return
    world.counters['execution.cancelled'] += 1
    if execution.phase is ExecutionPhase.RUNNING:
        world.outbox.append(CancelOnBackend(execution.id))
    end_execution(world, execution, Refusal(ErrorKind.CANCELLED), now)


def end_execution(
    world: World,
    execution: Execution,
    outcome: Answer | Refusal | StreamedAnswer,
    now: float,
) -> None:
    """End an execution; its outcome is sent in the same tick.

    If the outcome is a refusal, its open child calls are cancelled.

    :param world: the tables.
    :param execution: a queued or running execution.
    :param outcome: the answer, or the refusal.
    :param now: the present time in seconds.
    """
    for observe in execution_observers.by_key.values():
        observe(world, execution, outcome, now)
    set_outcome(world, execution, outcome, now)
    if isinstance(outcome, Refusal):
        _cancel_children(world, execution)


def _cancel_children(world: World, execution: Execution) -> None:
    for call_id in tuple(execution.child_call_ids):
        call = world.calls.get(call_id)
        if call is None:
            continue
        cancel_attempt(world, call)
        finish_call(world, call, Refusal(ErrorKind.CANCELLED))


@system(Stage.EXECUTION, RunCondition('executions', ExecutionPhase.ANSWERED))
def report_executions(world: World, now: float) -> None:
    """Send the outcomes of ended executions to their entry nodes.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    for execution in world.executions.in_phase(ExecutionPhase.ANSWERED):
        send_outcome(world, execution)
        retain_execution(world, execution)


def send_outcome(world: World, execution: Execution) -> None:
    """Send the outcome of an execution to its entry node.

    The unused retries are returned with the first send only.

    :param world: the tables.
    :param execution: an ended execution.
    """
    retries = execution.retries_left
    execution.retries_left = 0
    if not execution.entry_node_id:
        return
    outcome = execution.outcome
    if isinstance(outcome, Refusal):
        send_message(
            world,
            execution.entry_node_id,
            CallRefusal(
                call_id=execution.id,
                attempt=execution.attempt,
                kind=outcome.kind.value,
                detail=outcome.detail,
                retries_left=retries,
                load=current_load(world),
                has_reached=outcome.has_reached,
            ),
        )
        return
    if outcome is None:
        return
    send_message(
        world,
        execution.entry_node_id,
        CallAnswer(
            call_id=execution.id,
            attempt=execution.attempt,
            status=outcome.status,
            headers=outcome.headers,
            length=len(outcome.body),
            checksum=zlib.crc32(outcome.body),
            retries_left=retries,
            load=current_load(world),
            queue_seconds=execution.started_at - execution.queued_at,
            backend_seconds=execution.ended_at - execution.started_at,
        ),
        outcome.body,
    )


def current_load(world: World) -> Load:
    """Compute the load that this node reports to other nodes.

    :param world: the tables.
    :return: running and queued executions, the concurrency limit and the
        fraction of calls that the backend server itself refuses.
    """
    limit = 0
    refused_part: float = 0
    for backend in world.backend_servers.by_id.values():
        limit += backend.limit
        refused_part = max(refused_part, backend.refused_part)
    count = world.executions.count
    outstanding = count(ExecutionPhase.RUNNING) + count(ExecutionPhase.QUEUED)
    return Load(outstanding, limit, refused_part)

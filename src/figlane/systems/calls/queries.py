"""Resolves attempts in doubt by querying their exit node.

An exit node that does not know the attempt blocks it in its ledger, so that a
delayed request does not run after the query was answered.
"""

from __future__ import annotations

from figlane.entities.call import Call
from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.inbox import PeerMessage
from figlane.entities.link import PeerSendFailed
from figlane.entities.link_messages import CallQuery, CallState, CallStatus
from figlane.entities.messages import CallRequest
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.systems.admission.execution import end_execution, send_outcome
from figlane.systems.admission.ledger import (
    attach_attempt,
    block_attempt,
    did_not_run,
    ledger_epoch,
)
from figlane.systems.calls.lifecycle import cancel_attempt, current_call
from figlane.systems.calls.retries import retry_or_finish, return_retries
from figlane.systems.links.messages import send_message
from figlane.systems.registry import (
    inbox_handlers,
    peer_handlers,
    send_failure_handlers,
)

_MS_PER_SECOND = 1000
_NOT_STARTED = frozenset(
    (ExecutionPhase.KEYED, ExecutionPhase.CLAIMING, ExecutionPhase.QUEUED)
)


def query_attempt(world: World, call: Call, now: float) -> None:
    """Query the exit node for the state of the current attempt of a call.

    :param world: the tables.
    :param call: a call in phase ``SENT``.
    :param now: the present time in seconds.
    """
    _send_query(world, call, now)


def withdraw_attempt(world: World, call: Call, now: float) -> None:
    """Ask the exit node to refuse the current attempt if it does not run yet.

    :param world: the tables.
    :param call: a call in phase ``SENT``.
    :param now: the present time in seconds.
    """
    _send_query(world, call, now, withdraws=True)


def _send_query(
    world: World, call: Call, now: float, *, withdraws: bool = False
) -> None:
    call.last_sent_at = now
    world.counters['call.queried'] += 1
    budget_ms = (call.deadline - now) * _MS_PER_SECOND
    query = CallQuery(
        call.id, call.attempt, call.node_epoch, budget_ms, withdraws
    )
    send_message(world, call.node_id, query)


def give_up_attempt(world: World, call: Call, detail: str, now: float) -> None:
    """Give up an attempt in doubt: cancel it, then retry or end the call.

    :param world: the tables.
    :param call: a call in phase ``SENT``.
    :param detail: why the state of the attempt cannot be resolved.
    :param now: the present time in seconds.
    """
    world.counters['call.lost'] += 1
    cancel_attempt(world, call)
    refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN, detail)
    retry_or_finish(world, call, refusal, now)


@peer_handlers.register(CallQuery)
def handle_query(world: World, row: PeerMessage, now: float) -> None:
    """Reply with the state of an attempt and block it if it is unknown.

    A query that withdraws the attempt keeps it from running, unless it runs.

    If the attempt is unknown and the query is for another ledger epoch, the
    reply is ``LOST``.

    :param world: the tables.
    :param row: the query.
    :param now: the present time in seconds.
    """
    query: CallQuery = row.message
    known = world.executions.get(query.call_id)
    if known is not None and query.attempt < known.attempt:
        return
    if known is None or _refused_earlier_attempt(known, query):
        _block_unseen_attempt(world, row, now)
        return
    attach_attempt(known, row.sender, query.attempt)
    if query.withdraws and known.phase in _NOT_STARTED:
        withdrawn = Refusal(ErrorKind.DRAINING, 'the entry node has withdrawn')
        end_execution(world, known, withdrawn, now)
    elif known.phase is ExecutionPhase.RECORDED:
        send_outcome(world, known)
    elif known.phase is not ExecutionPhase.ANSWERED:
        _send_status(world, row, CallState.RUNNING)


def _refused_earlier_attempt(known: Execution, query: CallQuery) -> bool:
    return did_not_run(known) and known.attempt < query.attempt


def _block_unseen_attempt(world: World, row: PeerMessage, now: float) -> None:
    query: CallQuery = row.message
    if query.epoch != ledger_epoch(world):
        _send_status(world, row, CallState.LOST)
        return
    deadline = now + query.budget_ms / _MS_PER_SECOND
    blocked = block_attempt(
        world, query.call_id, query.attempt, row.sender, deadline
    )
    refusal = Refusal(
        ErrorKind.UNREACHABLE, 'the request did not reach the exit node'
    )
    end_execution(world, blocked, refusal, now)


def _send_status(world: World, row: PeerMessage, state: CallState) -> None:
    query: CallQuery = row.message
    epoch = ledger_epoch(world)
    status = CallStatus(query.call_id, query.attempt, state, epoch)
    send_message(world, row.sender, status)


@peer_handlers.register(CallStatus)
def handle_status(world: World, row: PeerMessage, now: float) -> None:
    """Keep waiting for a running attempt; give up one whose state is lost.

    :param world: the tables.
    :param row: the status reply.
    :param now: the present time in seconds.
    """
    status: CallStatus = row.message
    call = current_call(world, row.sender, status.call_id, status.attempt)
    if call is None:
        return
    if status.state is CallState.LOST:
        give_up_attempt(world, call, 'the node cannot tell', now)
        return
    call.node_epoch = status.epoch


@inbox_handlers.register(PeerSendFailed)
def handle_send_failed(world: World, row: PeerSendFailed, now: float) -> None:
    """Count messages that could not be sent and dispatch them by type.

    :param world: the tables.
    :param row: the message.
    :param now: the present time in seconds.
    """
    world.counters['peer.send-failed'] += 1
    message_type = type(row.message)
    if message_type in send_failure_handlers.by_key:
        send_failure_handlers.find(message_type)(world, row, now)


@send_failure_handlers.register(CallRequest)
def handle_call_not_sent(world: World, row: PeerSendFailed, now: float) -> None:
    """Retry a call whose request never left this node, or end it.

    :param world: the tables.
    :param row: the request.
    :param now: the present time in seconds.
    """
    message: CallRequest = row.message
    call = current_call(world, row.node_id, message.call_id, message.attempt)
    if call is None:
        return
    return_retries(world, call, message.retries_left)
    refusal = Refusal(ErrorKind.UNREACHABLE, 'the request was not sent')
    retry_or_finish(world, call, refusal, now)

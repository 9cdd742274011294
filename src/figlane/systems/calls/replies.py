"""Handles replies to attempts, and callers that disconnect."""

from __future__ import annotations

import zlib

from figlane.entities.call import Call
from figlane.entities.http import Answer
from figlane.entities.inbox import CallerDisconnected, PeerMessage
from figlane.entities.messages import CallAnswer, CallRefusal, Load
from figlane.entities.outbox import LogDecision
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal, parse_error_kind
from figlane.systems.calls.lifecycle import (
    cancel_attempt,
    current_call,
    finish_call,
)
from figlane.systems.calls.retries import retry_or_finish, return_retries
from figlane.systems.registry import inbox_handlers, peer_handlers

# Seconds in log events are rounded to milliseconds.
_SECONDS_DECIMALS = 3


@peer_handlers.register(CallAnswer)
def handle_answer(world: World, row: PeerMessage, now: float) -> None:
    """Complete a call with the answer to its current attempt.

    An answer whose body does not match its length and checksum is handled as
    an attempt of unknown outcome.

    :param world: the tables.
    :param row: the answer and its body.
    :param now: the present time in seconds.
    """
    answer: CallAnswer = row.message
    call = _update_load_and_find_call(world, row.sender, answer, now)
    if call is None:
        return
    return_retries(world, call, answer.retries_left)
    if _is_corrupted(answer, row.body):
        world.counters['call.damaged'] += 1
        corrupted = Refusal(
            ErrorKind.OUTCOME_UNKNOWN,
            'the answer body does not match its length or checksum',
        )
        retry_or_finish(world, call, corrupted, now)
        return
    _log_late_answer(world, call, answer, now)
    finish_call(
        world,
        call,
        Answer(answer.status, answer.headers, row.body),
    )


def _log_late_answer(
    world: World,
    call: Call,
    answer: CallAnswer,
    now: float,
) -> None:
    elapsed = now - call.arrived_at
    if call.route is None or elapsed <= call.route.target_latency:
        return
    world.outbox.append(
        LogDecision(
            'call_late',
            {
                'request': call.id,
                'status': answer.status,
                'service': call.service_id,
                'route': call.route.name,
                'organisation': call.organisation_id,
                'node': call.node_id,
                'attempts': call.attempt,
                'seconds': round(elapsed, _SECONDS_DECIMALS),
                'target': call.route.target_latency,
                'queue_seconds': round(answer.queue_seconds, _SECONDS_DECIMALS),
                'backend_seconds': round(
                    answer.backend_seconds, _SECONDS_DECIMALS
                ),
            },
        ),
    )


def _is_corrupted(answer: CallAnswer, body: bytes) -> bool:
    return len(body) != answer.length or zlib.crc32(body) != answer.checksum


@peer_handlers.register(CallRefusal)
def handle_refusal(world: World, row: PeerMessage, now: float) -> None:
    """Retry a refused call if its error kind allows it, or finish it.

    :param world: the tables.
    :param row: the refusal.
    :param now: the present time in seconds.
    """
    message: CallRefusal = row.message
    call = _update_load_and_find_call(world, row.sender, message, now)
    if call is None:
        return
    return_retries(world, call, message.retries_left)
    refusal = Refusal(
        parse_error_kind(message.kind),
        message.detail,
        has_reached=message.has_reached,
    )
    retry_or_finish(world, call, refusal, now)


def _update_load_and_find_call(
    world: World,
    sender: str,
    message: CallAnswer | CallRefusal,
    now: float,
) -> Call | None:
    _update_member_load(world, sender, message.load, now)
    return current_call(world, sender, message.call_id, message.attempt)


def _update_member_load(
    world: World, node_id: str, load: Load, now: float
) -> None:
    member = world.members.get(node_id)
    if member is None:
        return
    member.outstanding = load.outstanding
    member.limit = load.limit
    member.refused_part = load.refused_part
    member.load_reported_at = now


@inbox_handlers.register(CallerDisconnected)
def handle_caller_disconnected(
    world: World, row: CallerDisconnected, now: float
) -> None:
    """Cancel the call of a caller that disconnected.

    :param world: the tables.
    :param row: the id of the call.
    :param now: the present time in seconds.
    """
    call = world.calls.get(row.call_id)
    if call is None:
        return
    cancel_attempt(world, call)
    finish_call(world, call, Refusal(ErrorKind.CANCELLED))

"""Ledger of calls at the exit node, for deduplication and idempotency keys."""

from __future__ import annotations

from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.http import Answer, Request, StreamedAnswer
from figlane.entities.inbox import PeerMessage
from figlane.entities.messages import CallRequest
from figlane.entities.world import World
from figlane.errors import ErrorKind, ExecutionStatus, Refusal
from figlane.systems.links.rows import get_link, message_delay
from figlane.systems.tracing import begin_exit_span, end_exit_span

# Time for which an entry is kept after the end or the deadline of its
# execution, whichever is later. Duplicates cannot arrive after that: one that
# is delayed beyond its own budget is refused, and connection time-outs of 3 s
# bound how long bytes are in transit.
RECORD_SECONDS = 20.0
# The same for an execution with an idempotency key.
KEY_RECORD_SECONDS = 600.0
# Bound on the bodies of answers that are kept for duplicates; the oldest are
# evicted first.
MAX_KEPT_BYTES = 4_194_304

_EPOCH_BITS = 63
_MS_PER_SECOND = 1000
_ENDED = frozenset((ExecutionPhase.ANSWERED, ExecutionPhase.RECORDED))


def ledger_epoch(world: World) -> int:
    """Return the epoch of this ledger, drawn at random once per process start.

    :param world: the tables.
    :return: the epoch, never 0.
    """
    if not world.ledger.epoch:
        world.ledger.epoch = world.random.getrandbits(_EPOCH_BITS) or 1
    return world.ledger.epoch


def register_attempt(
    world: World, row: PeerMessage, now: float
) -> Execution | None:
    """Create an execution for a new attempt, or deduplicate it.

    :param world: the tables.
    :param row: the request with its body.
    :param now: the present time in seconds.
    :return: the entry whose recorded outcome must be sent again, or None.
    """
    message: CallRequest = row.message
    known = world.executions.get(message.call_id)
    if known is None or _may_rerun(known, message):
        insert_execution(world, _build_execution(world, row, now), now)
        return None
    world.counters['execution.repeated'] += 1
    return attach_attempt(
        known,
        row.sender,
        message.attempt,
        message.retries_left,
    )


def attach_attempt(
    known: Execution,
    sender: str,
    attempt: int,
    retries: int = 0,
) -> Execution | None:
    """Attach an attempt to the existing execution of its call.

    The outcome is sent to the sender of the latest attempt. Attempts older
    than the one attached are ignored.

    :param known: the existing ledger entry.
    :param sender: the node that waits for the attempt.
    :param attempt: the attempt's number.
    :param retries: the retries that the attempt carries.
    :return: the entry if its outcome is already recorded, else None.
    """
    if attempt < known.attempt:
        return None
    if attempt > known.attempt:
        known.attempt = attempt
        known.retries_left += retries
    known.entry_node_id = sender
    return known if known.phase is ExecutionPhase.RECORDED else None


def insert_execution(world: World, execution: Execution, now: float) -> None:
    """Insert an execution and refuse it if it must not run.

    It must not run after its deadline, or if the idempotency key was used.

    :param world: the tables.
    :param execution: a new execution.
    :param now: the present time in seconds.
    """
    world.counters['execution.offered'] += 1
    outcome = _outcome_on_arrival(world, execution, now)
    begin_exit_span(world, execution, now)
    world.executions.insert(execution)
    if outcome is not None:
        set_outcome(world, execution, outcome, now)
        return
    if execution.ledger_key:
        world.ledger.execution_by_key[execution.ledger_key] = execution.id
        world.executions.move(execution, ExecutionPhase.KEYED)
    world.executions.schedule(execution, execution.deadline)


def _outcome_on_arrival(
    world: World,
    execution: Execution,
    now: float,
) -> Answer | Refusal | None:
    if execution.deadline <= now:
        return Refusal(
            ErrorKind.DEADLINE_EXCEEDED, 'the deadline passed in transit'
        )
    return keyed_outcome(world, execution.ledger_key)


def keyed_outcome(world: World, key: str) -> Answer | Refusal | None:
    """Return the outcome of an earlier call with the same idempotency key.

    :param world: the tables.
    :param key: digest of service, organisation and key; may be empty.
    :return: the outcome, or None if the call may run.
    """
    if key in world.ledger.witnessed_by_key:
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, 'the key was used elsewhere')
    known = world.executions.get(world.ledger.execution_by_key.get(key, ''))
    if known is None or did_not_run(known):
        return None
    if known.phase not in _ENDED:
        return Refusal(ErrorKind.STILL_RUNNING)
    world.counters['execution.key-repeated'] += 1
    return known.outcome


def did_not_run(execution: Execution) -> bool:
    """Tell whether the outcome guarantees that the call did not run.

    :param execution: an execution of this ledger.
    :return: True if the call may run again without being executed twice.
    """
    outcome = execution.outcome
    if not isinstance(outcome, Refusal):
        return False
    return outcome.answer.execution_status is ExecutionStatus.NOT_RUN


def _may_rerun(known: Execution, message: CallRequest) -> bool:
    if message.attempt <= known.attempt:
        return False
    if known.phase is not ExecutionPhase.RECORDED:
        return False
    if did_not_run(known):
        return True
    return known.idempotent and isinstance(known.outcome, Refusal)


def set_outcome(
    world: World,
    execution: Execution,
    outcome: Answer | Refusal | StreamedAnswer,
    now: float,
) -> None:
    """Set the outcome of an execution and the expiry of its entry.

    The outcome is sent to the entry node in the same tick.

    :param world: the tables.
    :param execution: an execution without outcome.
    :param outcome: the answer, or the refusal.
    :param now: the present time in seconds.
    """
    execution.outcome = outcome
    execution.ended_at = now
    end_exit_span(world, execution, now)
    world.execution_by_token.pop(execution.context_token, None)
    world.executions.move(execution, ExecutionPhase.ANSWERED)
    lifetime = RECORD_SECONDS
    if execution.ledger_key:
        lifetime = KEY_RECORD_SECONDS
    world.executions.schedule(
        execution, max(now, execution.deadline) + lifetime
    )


def retain_execution(world: World, execution: Execution) -> None:
    """Keep an execution to answer duplicates, within ``MAX_KEPT_BYTES``.

    :param world: the tables.
    :param execution: an execution whose outcome has been sent.
    """
    world.executions.move(execution, ExecutionPhase.RECORDED)
    execution.retries_left = 0
    execution.open_child_keys.clear()
    execution.request = Request(execution.request.method, '', ())
    outcome = execution.outcome
    if not isinstance(outcome, Answer) or not outcome.body:
        return
    ledger = world.ledger
    ledger.kept_answers.append((execution.id, len(outcome.body)))
    ledger.kept_bytes += len(outcome.body)
    while ledger.kept_bytes > MAX_KEPT_BYTES:
        _evict_oldest_answer(world)


def _evict_oldest_answer(world: World) -> None:
    execution_id, size = world.ledger.kept_answers.popleft()
    world.ledger.kept_bytes -= size
    execution = world.executions.get(execution_id)
    if execution is None or execution.phase is not ExecutionPhase.RECORDED:
        return
    if isinstance(execution.outcome, Answer):
        world.counters['ledger.answer-dropped'] += 1
        execution.outcome = Refusal(
            ErrorKind.OUTCOME_UNKNOWN,
            'the call ran, but its answer was evicted from the ledger',
        )


def remove_expired_execution(world: World, execution: Execution) -> None:
    """Remove an expired entry and its idempotency key.

    :param world: the tables.
    :param execution: a recorded execution.
    """
    world.executions.remove(execution.id)
    by_key = world.ledger.execution_by_key
    if by_key.get(execution.ledger_key) == execution.id:
        by_key.pop(execution.ledger_key)


def block_attempt(
    world: World,
    call_id: str,
    attempt: int,
    entry_node_id: str,
    deadline: float,
) -> Execution:
    """Insert an entry that keeps an attempt from running if it arrives later.

    It is used if a cancellation or a query arrives before the request.

    :param world: the tables.
    :param call_id: the id of the call.
    :param attempt: the attempt to block; later attempts may run.
    :param entry_node_id: the node that sent the cancellation or query.
    :param deadline: the call's deadline in seconds.
    :return: the entry, without outcome.
    """
    world.counters['execution.barred'] += 1
    blocked = Execution(
        id=call_id,
        attempt=attempt,
        entry_node_id=entry_node_id,
        service_id='',
        organisation_id='',
        importance=0,
        idempotent=False,
        depth=0,
        deadline=deadline,
        retries_left=0,
        request=Request('', '', ()),
        queued_at=0,
    )
    world.executions.insert(blocked)
    return blocked


def _build_execution(world: World, row: PeerMessage, now: float) -> Execution:
    message: CallRequest = row.message
    budget = message.budget_ms / _MS_PER_SECOND
    link = get_link(world, row.sender)
    delay = message_delay(link, message.sent_at, message.sender_epoch, now)
    return Execution(
        id=message.call_id,
        attempt=message.attempt,
        entry_node_id=row.sender,
        service_id=message.service_id,
        organisation_id=message.organisation_id,
        importance=message.importance,
        idempotent=message.idempotent,
        depth=message.depth,
        deadline=now + budget - delay,
        retries_left=message.retries_left,
        request=Request(
            message.method,
            message.target,
            message.headers,
            row.body,
        ),
        queued_at=now,
        trace_parent=message.trace_parent,
        ledger_key=message.idempotency_key,
        answer_seconds=message.answer_ms / _MS_PER_SECOND,
    )

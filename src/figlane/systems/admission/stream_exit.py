"""Relays streamed answers from the backend server to the entry node."""

from __future__ import annotations

from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.http import StreamedAnswer
from figlane.entities.inbox import (
    BackendChunk,
    BackendStreamEnded,
    BackendStreamStarted,
    PeerMessage,
)
from figlane.entities.outbox import PauseBackend, ResumeBackend
from figlane.entities.stream import OutgoingStream, StreamPhase
from figlane.entities.stream_messages import (
    StreamChunk,
    StreamCredit,
    StreamCut,
    StreamEnd,
    StreamHead,
)
from figlane.entities.world import World
from figlane.errors import ErrorKind, Refusal
from figlane.registry import RunCondition
from figlane.systems.admission.execution import end_execution
from figlane.systems.admission.ledger import retain_execution
from figlane.systems.links.messages import send_message
from figlane.systems.registry import (
    Stage,
    inbox_handlers,
    peer_handlers,
    system,
)

# Outcome that the ledger keeps for a call whose answer was streamed.
_STREAMED = Refusal(ErrorKind.OUTCOME_UNKNOWN, 'the answer was streamed')


@inbox_handlers.register(BackendStreamStarted)
def handle_stream_started(
    world: World, row: BackendStreamStarted, now: float
) -> None:
    """Start a streamed answer to the entry node.

    :param world: the tables.
    :param row: status and headers of the answer.
    :param now: the present time in seconds.
    """
    execution = _running_execution(world, row.execution_id)
    if execution is None:
        return
    world.counters['stream.begun'] += 1
    world.outgoing_streams.insert(
        OutgoingStream(
            execution.id, execution.attempt, execution.entry_node_id
        ),
    )
    send_message(
        world,
        execution.entry_node_id,
        StreamHead(execution.id, execution.attempt, row.status, row.headers),
    )


@inbox_handlers.register(BackendChunk)
def handle_backend_chunk(world: World, row: BackendChunk, now: float) -> None:
    """Relay a chunk and pause the backend server if the window is full.

    :param world: the tables.
    :param row: the chunk.
    :param now: the present time in seconds.
    """
    stream = world.outgoing_streams.get(row.execution_id)
    if stream is None:
        return
    send_message(
        world,
        stream.entry_node_id,
        StreamChunk(stream.id, stream.attempt, stream.sent),
        row.chunk,
    )
    stream.sent += len(row.chunk)
    if stream.is_full and stream.phase is StreamPhase.FLOWING:
        world.outgoing_streams.move(stream, StreamPhase.PAUSED)
        world.counters['stream.paused'] += 1
        world.outbox.append(PauseBackend(stream.id))


@peer_handlers.register(StreamCredit)
def handle_credit(world: World, row: PeerMessage, now: float) -> None:
    """Resume the backend server once the caller has consumed enough bytes.

    :param world: the tables.
    :param row: the total of bytes that the caller has consumed.
    :param now: the present time in seconds.
    """
    credit: StreamCredit = row.message
    stream = world.outgoing_streams.get(credit.call_id)
    if stream is None or stream.attempt != credit.attempt:
        return
    stream.consumed = max(stream.consumed, credit.consumed)
    if stream.phase is StreamPhase.PAUSED and not stream.is_full:
        world.outgoing_streams.move(stream, StreamPhase.FLOWING)
        world.outbox.append(ResumeBackend(stream.id))


@inbox_handlers.register(BackendStreamEnded)
def handle_stream_ended(
    world: World, row: BackendStreamEnded, now: float
) -> None:
    """Complete a streamed answer.

    The ledger does not keep streamed answers: a duplicate of the call is
    refused with an unknown outcome.

    :param world: the tables.
    :param row: length and checksum of the answer.
    :param now: the present time in seconds.
    """
    execution = _running_execution(world, row.execution_id)
    if execution is None or row.execution_id not in world.outgoing_streams:
        return
    world.outgoing_streams.remove(execution.id)
    send_message(
        world,
        execution.entry_node_id,
        StreamEnd(
            execution.id,
            execution.attempt,
            row.length,
            row.checksum,
            execution.retries_left,
        ),
    )
    execution.retries_left = 0
    end_execution(world, execution, StreamedAnswer(), now)
    execution.outcome = _STREAMED
    retain_execution(world, execution)


@system(Stage.ADMISSION, RunCondition('executions', ExecutionPhase.ANSWERED))
def abort_ended_streams(world: World, now: float) -> None:
    """Abort the streams of executions that ended before their answer did.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    if not world.outgoing_streams.by_id:
        return
    for execution in world.executions.in_phase(ExecutionPhase.ANSWERED):
        stream = world.outgoing_streams.remove(execution.id)
        if stream is None:
            continue
        world.counters['stream.cut'] += 1
        cut = StreamCut(
            stream.id,
            stream.attempt,
            'the execution ended before its answer was complete',
        )
        send_message(world, stream.entry_node_id, cut)


def _running_execution(world: World, execution_id: str) -> Execution | None:
    execution = world.executions.get(execution_id)
    if execution is None or execution.phase is not ExecutionPhase.RUNNING:
        return None
    return execution

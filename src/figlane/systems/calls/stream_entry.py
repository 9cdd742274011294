"""Relays streamed answers from the exit node to the caller.

An answer is delivered in full, or aborted so that the caller notices it.
"""

from __future__ import annotations

import zlib

from figlane.entities.call import Call, CallPhase
from figlane.entities.http import StreamedAnswer
from figlane.entities.inbox import CallerConsumedBytes, PeerMessage
from figlane.entities.outbox import SendCallerChunk, StartCallerStream
from figlane.entities.stream import IncomingStream
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
from figlane.systems.calls.lifecycle import (
    cancel_attempt,
    current_call,
    finish_call,
)
from figlane.systems.calls.retries import return_retries
from figlane.systems.links.messages import send_message
from figlane.systems.registry import (
    Stage,
    inbox_handlers,
    peer_handlers,
    system,
)

StreamMessage = StreamHead | StreamChunk | StreamEnd | StreamCut


@peer_handlers.register(StreamHead)
def handle_head(world: World, row: PeerMessage, now: float) -> None:
    """Start a streamed answer to the caller.

    Bytes that were sent to the caller cannot be recalled. A second head, such
    as that of another attempt, therefore aborts the answer.

    :param world: the tables.
    :param row: status and headers of the answer.
    :param now: the present time in seconds.
    """
    head: StreamHead = row.message
    call = _current_call(world, row)
    if call is None:
        return
    if call.id in world.incoming_streams:
        _abort(world, call, 'a second answer head was received')
        return
    world.incoming_streams.insert(
        IncomingStream(call.id, head.attempt, row.sender),
    )
    world.outbox.append(StartCallerStream(call.id, head.status, head.headers))


@peer_handlers.register(StreamChunk)
def handle_chunk(world: World, row: PeerMessage, now: float) -> None:
    """Relay a chunk to the caller; a gap in the offsets aborts the answer.

    :param world: the tables.
    :param row: the bytes and their offset.
    :param now: the present time in seconds.
    """
    call = _current_call(world, row)
    stream = _current_stream(world, row)
    if call is None or stream is None:
        return
    if row.message.offset != stream.received:
        _abort(world, call, 'a chunk of the answer was lost')
        return
    stream.received += len(row.body)
    stream.checksum = zlib.crc32(row.body, stream.checksum)
    world.outbox.append(SendCallerChunk(call.id, row.body))


@peer_handlers.register(StreamEnd)
def handle_end(world: World, row: PeerMessage, now: float) -> None:
    """Complete the answer if its length and checksum match.

    :param world: the tables.
    :param row: length and checksum of the answer.
    :param now: the present time in seconds.
    """
    end: StreamEnd = row.message
    call = _current_call(world, row)
    stream = _current_stream(world, row)
    if call is None or stream is None:
        return
    return_retries(world, call, end.retries_left)
    expected = (end.length, end.checksum)
    if (stream.received, stream.checksum) != expected:
        _abort(world, call, 'length or checksum of the answer does not match')
        return
    finish_call(world, call, StreamedAnswer())


@peer_handlers.register(StreamCut)
def handle_cut(world: World, row: PeerMessage, now: float) -> None:
    """Abort the answer, so that the caller sees that it is truncated.

    :param world: the tables.
    :param row: the reason for the abort.
    :param now: the present time in seconds.
    """
    call = _current_call(world, row)
    if call is not None:
        _abort(world, call, row.message.reason)


@inbox_handlers.register(CallerConsumedBytes)
def handle_caller_consumed(
    world: World, row: CallerConsumedBytes, now: float
) -> None:
    """Send flow-control credit to the exit node.

    :param world: the tables.
    :param row: the total of bytes that the caller has consumed.
    :param now: the present time in seconds.
    """
    stream = world.incoming_streams.get(row.call_id)
    if stream is None:
        return
    credit = StreamCredit(stream.id, stream.attempt, row.total)
    send_message(world, stream.node_id, credit)


@system(Stage.STREAMING, RunCondition('calls', CallPhase.FINISHED))
def remove_finished_streams(world: World, now: float) -> None:
    """Remove the streams of finished calls.

    :param world: the tables.
    :param now: the present time in seconds.
    """
    if not world.incoming_streams.by_id:
        return
    for call in world.calls.in_phase(CallPhase.FINISHED):
        world.incoming_streams.remove(call.id)


def _current_call(world: World, row: PeerMessage) -> Call | None:
    message: StreamMessage = row.message
    return current_call(world, row.sender, message.call_id, message.attempt)


def _current_stream(world: World, row: PeerMessage) -> IncomingStream | None:
    stream = world.incoming_streams.get(row.message.call_id)
    if stream is None or stream.attempt != row.message.attempt:
        return None
    return stream


def _abort(world: World, call: Call, reason: str) -> None:
    world.counters['stream.cut'] += 1
    cancel_attempt(world, call)
    finish_call(world, call, Refusal(ErrorKind.OUTCOME_UNKNOWN, reason))

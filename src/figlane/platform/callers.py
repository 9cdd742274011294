"""Turns HTTP requests of callers on this VM into calls and answers them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from figlane.adapters.hop_by_hop import end_to_end_headers
from figlane.adapters.http_connection import CutOffRequest, ServerConnection
from figlane.adapters.request_reader import HttpRequest
from figlane.clock import current_time
from figlane.entities.call import Call
from figlane.entities.cut_off import RequestCutOff
from figlane.entities.http import Answer, Headers, Request, StreamedAnswer
from figlane.entities.inbox import (
    CallArrived,
    CallerConsumedBytes,
    CallerDisconnected,
)
from figlane.entities.outbox import (
    AnswerCaller,
    SendCallerChunk,
    StartCallerStream,
)
from figlane.entities.table import NEVER
from figlane.errors import ErrorKind, ExecutionStatus, Refusal
from figlane.platform import headers as names
from figlane.platform.configuration import hash_key

_MS_PER_SECOND = 1000
# On the platform, status 503 guarantees that the request has not run and will
# not run. The other statuses from 500 on guarantee nothing.
_NOT_RUN_STATUS = 503
_FIRST_SERVER_ERROR = 500
# Bytes sent to a caller between two flow control reports to the exit node.
_REPORT_INTERVAL_BYTES = 131_072
_JSON_HEADER = (b'content-type', b'application/json')


class _AnswerStream:
    """State of an answer that is streamed to a caller.

    ``chunks`` wait while the write buffer of the connection ``caller`` is full.
    ``taken`` counts the bytes written to it and ``reported`` those last
    reported to the exit node. ``is_ended`` is set once no more chunks come.
    """

    __slots__ = ('caller', 'chunks', 'is_ended', 'reported', 'taken')

    def __init__(self, connection: ServerConnection) -> None:
        self.caller = connection
        self.chunks: deque[bytes] = deque()
        self.is_ended = False
        self.taken = 0
        self.reported = 0


class CallerHandler:
    """Handles requests to the entry address and answers to their callers."""

    __slots__ = (
        '_connection_by_call_id',
        '_caller_service',
        '_deliver',
        '_stream_by_call_id',
    )

    def __init__(
        self,
        caller_service: str,
        deliver: Callable[[Any], None],
    ) -> None:
        """Create a handler without open calls.

        :param caller_service: the service on this VM; a request header names
            it to backend servers as the origin of the request.
        :param deliver: receives an inbox row for each request.
        """
        self._caller_service = (
            names.CALLER_SERVICE,
            caller_service.encode(),
        )
        self._deliver = deliver
        self._connection_by_call_id: dict[str, ServerConnection] = {}
        self._stream_by_call_id: dict[str, _AnswerStream] = {}

    def on_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        """Start a call for a request, or refuse a malformed request.

        :param connection: the caller's connection.
        :param request: the request.
        """
        call = self._parse_call(request)
        if isinstance(call, Refusal):
            _respond_refusal(connection, call)
            return
        if call.id in self._connection_by_call_id:
            duplicate = Refusal(
                ErrorKind.BAD_REQUEST,
                'another open request has the same figlane-request-id',
            )
            _respond_refusal(connection, duplicate)
            return
        connection.call_id = call.id
        self._connection_by_call_id[call.id] = connection
        self._deliver(CallArrived(call))

    def on_disconnect(self, connection: ServerConnection) -> None:
        """Cancel the call of a caller that has disconnected.

        :param connection: the caller's connection.
        """
        self._connection_by_call_id.pop(connection.call_id, None)
        self._stream_by_call_id.pop(connection.call_id, None)
        self._deliver(CallerDisconnected(connection.call_id))

    def report_cut_off(self, row: CutOffRequest) -> None:
        """Report a request that the server has cut off.

        :param row: its headers, and why it was cut off.
        """
        request_id = dict(row.headers).get(names.REQUEST_ID, b'')
        self._deliver(
            RequestCutOff(
                request_id.decode('latin-1'),
                row.seconds,
                row.reason,
                row.is_partial,
            ),
        )

    def answer(self, row: AnswerCaller) -> None:
        """Send a caller the outcome of its call.

        A streamed answer ends once all chunks are sent. If it failed, the
        connection is aborted, so that the caller sees an incomplete answer.

        :param row: the outcome of the call.
        """
        connection = self._connection_by_call_id.pop(row.call_id, None)
        if connection is None:
            return
        stream = self._stream_by_call_id.get(row.call_id)
        if isinstance(row.outcome, StreamedAnswer) and stream is not None:
            stream.is_ended = True
            self._flush_stream(row.call_id, stream)
        elif stream is not None:
            self._stream_by_call_id.pop(row.call_id)
            connection.abort_response()
        elif isinstance(row.outcome, Answer):
            answer = row.outcome
            connection.respond(answer.status, answer.headers, answer.body)
        elif isinstance(row.outcome, Refusal):
            _respond_refusal(connection, row.outcome)

    def begin_stream(self, row: StartCallerStream) -> None:
        """Send status and headers of a streamed answer.

        :param row: its status and headers.
        """
        connection = self._connection_by_call_id.get(row.call_id)
        if connection is None:
            return
        connection.begin_chunks(row.status, row.headers)
        self._stream_by_call_id[row.call_id] = _AnswerStream(connection)

    def send_chunk(self, row: SendCallerChunk) -> None:
        """Send or buffer the next chunk of a streamed answer.

        :param row: the chunk.
        """
        stream = self._stream_by_call_id.get(row.call_id)
        if stream is not None:
            stream.chunks.append(row.chunk)
            self._flush_stream(row.call_id, stream)

    def _flush_stream(self, call_id: str, stream: _AnswerStream) -> None:
        connection = stream.caller
        while stream.chunks and not connection.is_congested:
            chunk = stream.chunks.popleft()
            connection.send_chunk(chunk)
            stream.taken += len(chunk)
        if stream.taken - stream.reported >= _REPORT_INTERVAL_BYTES:
            stream.reported = stream.taken
            self._deliver(CallerConsumedBytes(call_id, stream.taken))
        if stream.chunks and not connection.is_disconnected:
            connection.on_writable = lambda: self._flush_stream(call_id, stream)
        elif stream.is_ended and call_id in self._stream_by_call_id:
            self._stream_by_call_id.pop(call_id)
            connection.end_chunks()

    def _parse_call(self, request: HttpRequest) -> Call | Refusal:
        value_by_name = dict(request.headers)
        request_id = value_by_name.get(names.REQUEST_ID, b'')
        if not request_id:
            return Refusal(
                ErrorKind.BAD_REQUEST,
                'the figlane-request-id header is missing',
            )
        host = value_by_name.get(b'host', b'').decode('latin-1').lower()
        key = value_by_name.get(names.API_KEY, b'')
        return Call(
            id=request_id.decode('latin-1'),
            service_id='',
            request=Request(
                request.method,
                request.target,
                (*_forwarded_headers(request.headers), self._caller_service),
                request.body,
            ),
            arrived_at=current_time(),
            host=host.partition(':')[0] or '-',
            caller_timeout=_parse_caller_timeout(
                value_by_name.get(names.DEADLINE_MS, b'')
            ),
            key_hash=hash_key(key),
        )


def _forwarded_headers(headers: Headers) -> Headers:
    return tuple(
        [
            header
            for header in end_to_end_headers(headers)
            if header[0] not in names.NOT_FORWARDED
        ]
    )


def _parse_caller_timeout(value: bytes) -> float:
    try:
        return float(value) / _MS_PER_SECOND
    except ValueError:
        return NEVER


def _respond_refusal(connection: ServerConnection, refusal: Refusal) -> None:
    answer = refusal.answer
    headers = [_JSON_HEADER]
    if refusal.retry_after is not None:
        text = b'%.3f' % refusal.retry_after
        headers.append((names.RETRY_AFTER, text))
    body = msgspec.json.encode(
        {
            'kind': refusal.kind.value,
            'title': answer.title,
            'detail': refusal.detail,
            'outcome': answer.execution_status.value,
        },
    )
    status = answer.status
    is_not_run = answer.execution_status is ExecutionStatus.NOT_RUN
    if is_not_run and status >= _FIRST_SERVER_ERROR:
        status = _NOT_RUN_STATUS
    connection.respond(status, tuple(headers), body)

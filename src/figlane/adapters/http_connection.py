"""Connections of callers to an HTTP server that uses callbacks."""

from __future__ import annotations

import asyncio
import functools
import http
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol, cast

from figlane.adapters.request_reader import HttpRequest, RequestReader
from figlane.entities.cut_off import CutOffReason
from figlane.entities.http import Headers
from figlane.entities.ingress import CallerLimits

# Maximum number of requests of a connection that wait for an answer: the open
# one and those pipelined behind it.
_MAX_UNANSWERED = 17
# Time within which the event loop reads what has arrived before a time-out, in
# seconds. After a pause of the process, timers run first.
_LATE_READ_SECONDS = 0.01
# Write buffer size, in bytes, above which a connection counts as congested.
_WRITE_HIGH_WATER_BYTES = 262_144
_BODILESS_STATUSES = frozenset((204, 304))
_REQUEST_TIMEOUT = 408
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class RequestHandler(Protocol):
    """Request handler of an HTTP server."""

    def on_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        """Handle a request; respond through ``connection``, now or later.

        :param connection: the connection, which has one open request at a time.
        :param request: the request.
        """

    def on_disconnect(self, connection: ServerConnection) -> None:
        """Handle a caller that disconnected before its response was complete.

        :param connection: the connection.
        """


@dataclass(slots=True)
class CutOffRequest:
    """Request of a connection that the server closes before the response.

    ``headers`` are those received so far. ``seconds`` is the time since the
    request was read, or, with ``is_partial``, since its first bytes were.
    """

    headers: Headers
    seconds: float
    reason: CutOffReason
    is_partial: bool = False


ReportCutOff = Callable[[CutOffRequest], None]


class ServerState:
    """State shared by all connections of a server.

    ``reads`` counts the connections that were accepted and the times that
    bytes were read.
    """

    __slots__ = (
        'connections',
        'handler',
        'is_closing',
        'limits',
        'loop',
        'reads',
        'report_cut_off',
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handler: RequestHandler,
        report_cut_off: ReportCutOff,
    ) -> None:
        """Create the state of a server without connections.

        :param loop: the event loop.
        :param handler: handles the requests.
        :param report_cut_off: receives each request that is cut off.
        """
        self.report_cut_off = report_cut_off
        self.loop = loop
        self.handler = handler
        self.limits = CallerLimits()
        self.is_closing = False
        self.reads = 0
        self.connections: set[ServerConnection] = set()


class ServerConnection(asyncio.Protocol):
    """Server side of one HTTP connection."""

    __slots__ = (
        '_deadline',
        '_has_open_request',
        '_is_congested',
        '_has_head_timeout',
        '_is_overdue',
        '_open_headers',
        '_opened_at',
        '_pipelined',
        '_reader',
        '_receiving_since',
        '_should_close',
        '_state',
        '_timer',
        '_transport',
        'on_writable',
        'call_id',
    )

    def __init__(self, state: ServerState) -> None:
        """Create a connection that is not established yet.

        :param state: state shared with the server's other connections.
        """
        self._state = state
        self._transport: asyncio.Transport | None = None
        self._reader = RequestReader(self, state.limits)
        self._pipelined: deque[HttpRequest] = deque()
        self._open_headers: Headers = ()
        self._opened_at: float = 0
        self._receiving_since: float = 0
        self._has_open_request = False
        self._has_head_timeout = False
        self._should_close = False
        self._deadline: float = 0
        self._is_overdue = False
        self._timer: asyncio.TimerHandle | None = None
        self._is_congested = False
        self.on_writable: Callable[[], None] | None = None
        self.call_id = ''

    @property
    def is_congested(self) -> bool:
        """Whether the write buffer exceeds its high-water mark.

        :return: True until ``on_writable`` is called.
        """
        return self._is_congested

    @property
    def is_disconnected(self) -> bool:
        """Whether the connection is closed.

        :return: True if nothing can be sent any more.
        """
        return self._transport is None

    @property
    def is_busy(self) -> bool:
        """Whether a request is open or half received, or an answer is unsent.

        :return: True if closing the connection would cut a request off.
        """
        transport = self._transport
        if transport is None:
            return False
        is_open = self._has_open_request or self._reader.is_receiving
        return is_open or transport.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the idle time-out for the first request.

        :param transport: the connection's transport.
        """
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(_WRITE_HIGH_WATER_BYTES)
        self._state.connections.add(self)
        self._state.reads += 1
        self._start_timeout(self._state.limits.idle_seconds)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler if a request was still open.

        :param exc: the error, or None after a regular close.
        """
        self._transport = None
        self._cancel_timer()
        self._state.connections.discard(self)
        self._pipelined.clear()
        if self._has_open_request:
            self._has_open_request = False
            self._state.handler.on_disconnect(self)
        self._notify_writer()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and start the time-out of a partial request.

        :param data: the bytes.
        """
        self._state.reads += 1
        if not self._reader.is_receiving:
            self._receiving_since = self._state.loop.time()
        self._reader.feed(data)
        self._dispatch_next()
        if not self._has_open_request:
            self._start_receive_timeout()

    def pause_writing(self) -> None:
        """Mark the connection as congested."""
        self._is_congested = True

    def resume_writing(self) -> None:
        """Clear the congestion mark and notify the waiting writer."""
        self._is_congested = False
        self._notify_writer()

    def on_continue(self) -> None:
        """Send ``100 Continue``, so that the caller sends the body."""
        self._write(_CONTINUE)

    def on_complete_request(self, row: HttpRequest) -> None:
        """Dispatch a complete request, or queue it behind the open one.

        A server that closes queues each request until all bytes read with it
        are parsed, since the last answer of a connection differs. The
        connection is aborted if too many requests are pipelined.

        :param row: the request.
        """
        row.received_at = self._state.loop.time()
        self._receiving_since = row.received_at
        if self._transport is None or self._transport.is_closing():
            closed = CutOffReason.CONNECTION_CLOSED
            self._report(row.headers, row.received_at, closed)
            return
        if not (self._has_open_request or self._state.is_closing):
            self._dispatch(row)
            return
        self._pipelined.append(row)
        unanswered = len(self._pipelined) + self._has_open_request
        if unanswered > _MAX_UNANSWERED:
            self.report_cut_off(CutOffReason.TOO_MANY_PIPELINED)
            self._transport.abort()

    def on_reject(self, status: int) -> None:
        """Close the connection after an invalid or slow request.

        The status is sent unless a response to an earlier request is open. A
        server that closes answers the whole requests before it first.

        :param status: HTTP status code of the error.
        """
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        has_unanswered = self._has_open_request or bool(self._pipelined)
        if self._state.is_closing and has_unanswered:
            self._report_partial(CutOffReason.REJECTED)
            if self._pipelined:
                self._pipelined[-1].closes = True
            else:
                self._should_close = True
            return
        self._report_unanswered(CutOffReason.REJECTED)
        self._report_partial(CutOffReason.REJECTED)
        if not has_unanswered:
            self._should_close = True
            lines = self._response_head(status, ())
            lines.append(b'content-length: 0\r\n\r\n')
            transport.write(b'\r\n'.join(lines))
        transport.close()

    def respond(
        self,
        status: int,
        headers: Headers,
        body: bytes = b'',
    ) -> None:
        """Send a complete response to the open request.

        :param status: HTTP status code.
        :param headers: end-to-end headers.
        :param body: response body.
        """
        lines = self._response_head(status, headers)
        if status not in _BODILESS_STATUSES:
            lines.append(b'content-length: %d' % len(body))
        lines.append(b'')
        lines.append(body)
        self._write(b'\r\n'.join(lines))
        self._end_response()

    def begin_chunks(self, status: int, headers: Headers) -> None:
        """Start a response with chunked transfer encoding.

        :param status: HTTP status code.
        :param headers: end-to-end headers.
        """
        lines = self._response_head(status, headers)
        lines.append(b'transfer-encoding: chunked\r\n\r\n')
        self._write(b'\r\n'.join(lines))

    def send_chunk(self, chunk: bytes) -> None:
        """Send a chunk of a chunked response.

        :param chunk: the bytes, at least one.
        """
        self._write(b'%x\r\n%b\r\n' % (len(chunk), chunk))

    def end_chunks(self) -> None:
        """Send the last chunk, which completes the response."""
        self._write(b'0\r\n\r\n')
        self._end_response()

    def write_raw(self, content: bytes) -> None:
        """Send bytes unchanged, for responses that this class cannot encode.

        :param content: the bytes.
        """
        self._write(content)

    def finish_and_close(self) -> None:
        """Complete a response that is delimited by the connection's close."""
        self._should_close = True
        self._end_response()

    def abort_response(self) -> None:
        """Abort the connection, which truncates an open response."""
        self._report_received(CutOffReason.ANSWER_ABORTED)
        self._has_open_request = False
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is open."""
        if not self._has_open_request and self._transport is not None:
            self._transport.close()

    def report_cut_off(self, reason: CutOffReason) -> None:
        """Report what is cut off if the connection is closed now.

        :param reason: why it is closed.
        """
        transport = self._transport
        if transport is None:
            return
        is_unsent = transport.get_write_buffer_size() > 0
        if is_unsent and not self._has_open_request:
            self._report(self._open_headers, self._opened_at, reason)
        self._report_received(reason)

    def _has_further_request(self) -> bool:
        return bool(self._pipelined) or self._reader.is_receiving

    def _report_received(self, reason: CutOffReason) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._report_unanswered(reason)
        if self._reader.is_receiving:
            self._report_partial(reason)

    def _report_unanswered(self, reason: CutOffReason) -> None:
        if self._has_open_request:
            self._report(self._open_headers, self._opened_at, reason)
        for request in self._pipelined:
            self._report(request.headers, request.received_at, reason)

    def _report_partial(self, reason: CutOffReason) -> None:
        headers = self._reader.received_headers
        seconds = self._state.loop.time() - self._receiving_since
        row = CutOffRequest(headers, seconds, reason, is_partial=True)
        self._state.report_cut_off(row)

    def _report(
        self, headers: Headers, opened_at: float, reason: CutOffReason
    ) -> None:
        seconds = self._state.loop.time() - opened_at
        self._state.report_cut_off(CutOffRequest(headers, seconds, reason))

    def _dispatch(self, request: HttpRequest) -> None:
        self._has_open_request = True
        self._open_headers = request.headers
        self._opened_at = request.received_at
        self._has_head_timeout = False
        self._should_close = request.closes
        self._reader.limits = self._state.limits
        self._state.handler.on_request(self, request)

    def _dispatch_next(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._pipelined and not self._has_open_request:
            self._dispatch(self._pipelined.popleft())

    def _response_head(self, status: int, headers: Headers) -> list[bytes]:
        lines = [b'HTTP/1.1 %d %b' % (status, _reason_phrase(status))]
        lines.extend([name + b': ' + content for name, content in headers])
        if self._state.is_closing and not self._has_further_request():
            self._should_close = True
        if self._should_close:
            lines.append(b'connection: close')
        return lines

    def _end_response(self) -> None:
        self._has_open_request = False
        self.on_writable = None
        if self._transport is None:
            return
        if self._should_close:
            self._report_received(CutOffReason.CONNECTION_CLOSED)
            self._transport.close()
            return
        self._dispatch_next()
        if not self._has_open_request:
            self._start_timeout(self._state.limits.idle_seconds)

    def _write(self, content: bytes) -> None:
        if self._transport is not None:
            self._transport.write(content)

    def _notify_writer(self) -> None:
        callback = self.on_writable
        self.on_writable = None
        if callback is not None:
            callback()

    def _start_receive_timeout(self) -> None:
        # Limits the time until the rest of the headers or of the body arrives.
        reader = self._reader
        if reader.is_in_head:
            if not self._has_head_timeout:
                self._has_head_timeout = True
                self._start_timeout(reader.limits.head_seconds)
            return
        self._has_head_timeout = False
        if reader.is_in_body:
            self._start_timeout(reader.limits.idle_seconds)

    def _start_timeout(self, seconds: float) -> None:
        # A timer that fires before the new deadline is kept and rearmed when it
        # fires, because most waits end long before their deadline.
        self._deadline = self._state.loop.time() + seconds
        self._is_overdue = False
        if self._timer is None or self._timer.when() > self._deadline:
            self._cancel_timer()
            self._set_timer()

    def _set_timer(self) -> None:
        self._timer = self._state.loop.call_at(self._deadline, self._on_timeout)

    def _on_timeout(self) -> None:
        self._timer = None
        if self._has_open_request:
            return
        if self._state.loop.time() < self._deadline:
            self._set_timer()
            return
        if not self._is_overdue:
            self._is_overdue = True
            self._timer = self._state.loop.call_later(
                _LATE_READ_SECONDS, self._on_timeout
            )
            return
        if self._reader.is_receiving:
            self.on_reject(_REQUEST_TIMEOUT)
            return
        self.close_if_idle()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


@functools.cache
def _reason_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b'Status'

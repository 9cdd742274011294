"""uvicorn protocol with receive limits and disconnect notification."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from figlane.entities.cut_off import CutOffReason, RequestCutOff

# Key of the connection's protocol in the ASGI scope of each request.
SCOPE_KEY = 'figlane.connection'

# Maximum size of a request's headers in bytes; larger ones get status 431.
MAX_HEAD_BYTES = 32_768
# Time-out for receiving a complete request, in seconds. It also limits the wait
# for the first request of a connection.
RECEIVE_TIMEOUT_SECONDS = 30.0
# Time within which a request is received whose headers a stop finds incomplete,
# in seconds.
_LAST_RECEIVE_SECONDS = 1.0

_HEAD_TOO_LARGE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'figlane-outcome: not-run\r\n'
    b'content-length: 0\r\n'
    b'connection: close\r\n'
    b'\r\n'
)


ReportCutOff = Callable[[RequestCutOff], None]


def _do_nothing() -> None:
    """Default disconnect callback; does nothing."""


class CallerProtocol(HttpToolsProtocol):
    """Closes connections with slow requests or oversized headers.

    The callback of ``begin_call`` is called if the caller disconnects before
    its response is complete.
    """

    def __init__(
        self, report_cut_off: ReportCutOff, *arguments: Any, **named: Any
    ) -> None:
        """Create the protocol of one connection.

        :param report_cut_off: receives each request that is cut off.
        :param arguments: positional arguments of uvicorn's protocol.
        :param named: keyword arguments of uvicorn's protocol.
        """
        super().__init__(*arguments, **named)
        self._report_cut_off = report_cut_off
        self._on_disconnect: Callable[[], None] = _do_nothing
        self._call_id = ''
        self._has_open_call = False
        self._opened_at: float = 0
        self._receiving_since: float = 0
        self._is_receiving = False
        self._head_bytes = 0
        self._is_in_head = False
        self._is_last = False
        self._receive_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the receive time-out for the first request.

        :param transport: the connection's transport.
        """
        super().connection_made(transport)
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Call the disconnect callback if a response is incomplete.

        :param exc: the error, or None after a regular close.
        """
        self._cancel_timer()
        cycle = self.cycle
        super().connection_lost(exc)
        if cycle is not None and not cycle.response_complete:
            self._on_disconnect()

    def begin_call(
        self, call_id: str, on_disconnect: Callable[[], None]
    ) -> None:
        """Note the call of the open request.

        :param call_id: id of the call.
        :param on_disconnect: called if the caller disconnects before its
            response is complete.
        """
        self._call_id = call_id
        self._has_open_call = True
        self._opened_at = self.loop.time()
        self._on_disconnect = on_disconnect

    def report_cut_off(self, reason: CutOffReason) -> None:
        """Report what is cut off if the connection is closed now.

        :param reason: why it is closed.
        """
        is_unsent = self.transport.get_write_buffer_size() > 0
        if self._has_open_call or (is_unsent and self._call_id):
            seconds = self.loop.time() - self._opened_at
            row = RequestCutOff(self._call_id, seconds, reason)
            self._report_cut_off(row)
        if self._is_receiving:
            self._report_partial(reason)

    def shutdown(self) -> None:
        """Close the connection, or let it close after the open response.

        A request whose headers have been received in part is awaited shortly.
        """
        is_idle = self.cycle is None or self.cycle.response_complete
        if is_idle and self._is_in_head:
            self._is_last = True
            self._cancel_timer()
            self._receive_timer = self.loop.call_later(
                _LAST_RECEIVE_SECONDS, self._abort_last_request
            )
            return
        if is_idle and self._is_receiving:
            self._report_partial(CutOffReason.PROCESS_ENDS)
        super().shutdown()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and enforce the limit on header size.

        :param data: the bytes.
        """
        was_closing = self.transport.is_closing()
        super().data_received(data)
        if self.transport.is_closing() and not was_closing:
            self._report_rejected()
            return
        if not self._is_in_head:
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._report_rejected()
            self.transport.write(_HEAD_TOO_LARGE)
            self.transport.close()

    def on_message_begin(self) -> None:
        """Start the receive time-out and the count of header bytes."""
        super().on_message_begin()
        self.scope[SCOPE_KEY] = self
        self._is_in_head = True
        self._is_receiving = True
        self._receiving_since = self.loop.time()
        self._head_bytes = 0
        self._start_timer()

    def on_headers_complete(self) -> None:
        """Stop counting header bytes."""
        self._is_in_head = False
        super().on_headers_complete()
        if self._is_last:
            self.cycle.keep_alive = False

    def on_message_complete(self) -> None:
        """Stop the receive time-out after a complete request."""
        self._cancel_timer()
        self._is_receiving = False
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Remove the disconnect callback after a complete response."""
        self._on_disconnect = _do_nothing
        self._has_open_call = False
        if self.transport.is_closing():
            self._report_behind_response()
        super().on_response_complete()

    def abort_response(self) -> None:
        """Abort the connection, which truncates an open response."""
        self.report_cut_off(CutOffReason.ANSWER_ABORTED)
        self.transport.abort()

    def _report_behind_response(self) -> None:
        # The response closes the connection, whatever was received behind it.
        for _ in self.pipeline:
            self._report_partial(CutOffReason.CONNECTION_CLOSED)

    def _report_rejected(self) -> None:
        if self._has_open_call:
            self.report_cut_off(CutOffReason.REJECTED)
        elif self._is_receiving:
            self._report_partial(CutOffReason.REJECTED)

    def _report_partial(self, reason: CutOffReason) -> None:
        # The request has no id yet: it becomes a call once it is complete.
        seconds = self.loop.time() - self._receiving_since
        self._report_cut_off(RequestCutOff('', seconds, reason, True))

    def _abort_slow_request(self) -> None:
        self._report_rejected()
        self.transport.abort()

    def _abort_last_request(self) -> None:
        self.report_cut_off(CutOffReason.PROCESS_ENDS)
        self.transport.abort()

    def _start_timer(self) -> None:
        if self._receive_timer is None:
            self._receive_timer = self.loop.call_later(
                RECEIVE_TIMEOUT_SECONDS,
                self._abort_slow_request,
            )

    def _cancel_timer(self) -> None:
        if self._receive_timer is not None:
            self._receive_timer.cancel()
            self._receive_timer = None

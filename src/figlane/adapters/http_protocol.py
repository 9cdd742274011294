"""uvicorn protocol with receive limits and disconnect notification."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

# Key of the connection's protocol in the ASGI scope of each request.
SCOPE_KEY = 'figlane.connection'

# Maximum size of a request's headers in bytes; larger ones get status 431.
MAX_HEAD_BYTES = 32_768
# Time-out for receiving a complete request, in seconds. It also limits the wait
# for the first request of a connection.
RECEIVE_TIMEOUT_SECONDS = 30.0

_HEAD_TOO_LARGE = (
    b'HTTP/1.1 431 Request Header Fields Too Large\r\n'
    b'figlane-outcome: not-run\r\n'
    b'content-length: 0\r\n'
    b'connection: close\r\n'
    b'\r\n'
)


def _do_nothing() -> None:
    """Default disconnect callback; does nothing."""


class CallerProtocol(HttpToolsProtocol):
    """Closes connections with slow requests or oversized headers.

    ``on_disconnect`` is called if the caller disconnects before its response
    is complete.
    """

    def __init__(self, *arguments: Any, **named: Any) -> None:
        """Create the protocol of one connection.

        :param arguments: positional arguments of uvicorn's protocol.
        :param named: keyword arguments of uvicorn's protocol.
        """
        super().__init__(*arguments, **named)
        self.on_disconnect: Callable[[], None] = _do_nothing
        self._head_bytes = 0
        self._is_in_head = False
        self._receive_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the receive time-out for the first request.

        :param transport: the connection's transport.
        """
        super().connection_made(transport)
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Call ``on_disconnect`` if a response is incomplete.

        :param exc: the error, or None after a regular close.
        """
        self._cancel_timer()
        cycle = self.cycle
        super().connection_lost(exc)
        if cycle is not None and not cycle.response_complete:
            self.on_disconnect()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and enforce the limit on header size.

        :param data: the bytes.
        """
        super().data_received(data)
        if not self._is_in_head:
            return
        self._head_bytes += len(data)
        if self._head_bytes > MAX_HEAD_BYTES:
            self.transport.write(_HEAD_TOO_LARGE)
            self.transport.close()

    def on_message_begin(self) -> None:
        """Start the receive time-out and the count of header bytes."""
        super().on_message_begin()
        self.scope[SCOPE_KEY] = self
        self._is_in_head = True
        self._head_bytes = 0
        self._start_timer()

    def on_headers_complete(self) -> None:
        """Stop counting header bytes."""
        self._is_in_head = False
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Stop the receive time-out after a complete request."""
        self._cancel_timer()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Remove the disconnect callback after a complete response."""
        self.on_disconnect = _do_nothing
        super().on_response_complete()

    def abort_response(self) -> None:
        """Abort the connection, which truncates an open response."""
        self.transport.abort()

    def _start_timer(self) -> None:
        if self._receive_timer is None:
            self._receive_timer = self.loop.call_later(
                RECEIVE_TIMEOUT_SECONDS,
                self.transport.abort,
            )

    def _cancel_timer(self) -> None:
        if self._receive_timer is not None:
            self._receive_timer.cancel()
            self._receive_timer = None

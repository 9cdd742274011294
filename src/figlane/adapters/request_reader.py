"""Incremental parser of HTTP/1.1 requests with size limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

import httptools

from figlane.entities.http import Headers
from figlane.entities.ingress import CallerLimits

# Bytes of chunk sizes for each byte of a body, above the limit of the head.
_FRAMING_FACTOR = 4
_BAD_REQUEST = 400
_CONTENT_TOO_LARGE = 413
_HEAD_TOO_LARGE = 431


@dataclass(slots=True)
class HttpRequest:
    """Complete request; header names are in lower case.

    ``closes`` is set if the connection closes after the response.
    ``received_at`` is the event loop's time at which its last byte was read.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    closes: bool = False
    received_at: float = 0


class RequestReaderCallbacks(Protocol):
    """Callbacks of a request reader."""

    def on_continue(self) -> None:
        """Handle headers with ``Expect: 100-continue``."""

    def on_complete_request(self, row: HttpRequest) -> None:
        """Handle a complete request.

        :param row: the request.
        """

    def on_reject(self, status: int) -> None:
        """Handle a malformed or oversized request; the connection ends.

        :param status: HTTP status code of the error.
        """


class RequestReader:
    """Request parser of one connection."""

    __slots__ = (
        '_body',
        '_body_bytes',
        '_expects_continue',
        '_framing_bytes',
        '_head_bytes',
        '_headers',
        '_is_rejected',
        '_last_feed_bytes',
        '_owner',
        '_parser',
        '_url',
        'is_in_body',
        'is_in_head',
        'limits',
    )

    def __init__(
        self, owner: RequestReaderCallbacks, limits: CallerLimits
    ) -> None:
        """Create a parser that expects its first request.

        :param owner: receives the callbacks.
        :param limits: size limits of headers and bodies.
        """
        self.limits = limits
        self.is_in_head = False
        self.is_in_body = False
        self._owner = owner
        self._parser = httptools.HttpRequestParser(self)
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._framing_bytes = 0
        self._last_feed_bytes = 0
        self._url = b''
        self._expects_continue = False
        self._is_rejected = False

    @property
    def is_receiving(self) -> bool:
        """Whether a request has been received in part.

        :return: True from its first byte to its last one, or its rejection.
        """
        is_partial = self.is_in_head or self.is_in_body
        return is_partial and not self._is_rejected

    @property
    def received_headers(self) -> Headers:
        """Headers of the latest request, as far as they have been received.

        :return: names in lower case, and values.
        """
        return tuple(self._headers)

    def feed(self, received: bytes) -> None:
        """Parse received bytes and enforce the limit on header size.

        :param received: the bytes.
        """
        if self._is_rejected:
            return
        if self.is_in_head:
            self._head_bytes += len(received)
        self._last_feed_bytes = len(received)
        headers = self._headers
        is_in_body = self.is_in_body
        body_bytes = self._body_bytes
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._reject(_BAD_REQUEST)
        if self.is_in_head and self._head_bytes > self.limits.head_bytes:
            self._reject(_HEAD_TOO_LARGE)
        # Each request has a list of its own: this is still the same one.
        if is_in_body and self.is_in_body and headers is self._headers:
            body_bytes = self._body_bytes - body_bytes
            self._framing_bytes += len(received) - body_bytes
            self._check_framing()

    def on_message_begin(self) -> None:
        """Reset the parser state for a new request."""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._framing_bytes = 0
        self._url = b''
        self._expects_continue = False
        self.is_in_head = True

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request target.

        :param url: the bytes.
        """
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a request header; trailers are dropped.

        :param name: header name.
        :param value: header value.
        """
        if self.is_in_body:
            return
        name = name.lower()
        self._headers.append((name, value))
        if name == b'expect' and value.lower() == b'100-continue':
            self._expects_continue = True

    def on_headers_complete(self) -> None:
        """Enforce the header size limit and report ``Expect: 100-continue``."""
        self.is_in_head = False
        if self._exceeds_head_limit(self._headers):
            self._reject(_HEAD_TOO_LARGE)
            return
        self.is_in_body = True
        if self._expects_continue:
            self._owner.on_continue()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body, up to the size limit.

        :param body: the bytes.
        """
        self._body_bytes += len(body)
        if self._body_bytes > self.limits.body_bytes:
            self._reject(_CONTENT_TOO_LARGE)
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Pass the complete request to the owner."""
        if self._is_rejected:
            return
        self.is_in_body = False
        body = b''.join(self._body)
        self._body = []
        headers = tuple(self._headers)
        self._headers = []
        self._owner.on_complete_request(
            HttpRequest(
                self._parser.get_method().decode('latin-1'),
                self._url.decode('latin-1'),
                headers,
                body,
                not self._parser.should_keep_alive(),
            ),
        )

    def _check_framing(self) -> None:
        # Chunk sizes with extensions, and trailers, without end.
        max_bytes = self.limits.head_bytes + _FRAMING_FACTOR * self._body_bytes
        if self._framing_bytes > max_bytes:
            self._reject(_BAD_REQUEST)

    def _exceeds_head_limit(self, headers: list[tuple[bytes, bytes]]) -> bool:
        # The bytes received since the request began are an upper bound of the
        # header size; the exact sum is computed only above the limit.
        max_bytes = self.limits.head_bytes
        if self._head_bytes + self._last_feed_bytes <= max_bytes:
            return False
        return sum(len(name) + len(text) for name, text in headers) > max_bytes

    def _reject(self, status: int) -> None:
        if not self._is_rejected:
            self._is_rejected = True
            self._owner.on_reject(status)

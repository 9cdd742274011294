"""Request/response exchange on an HTTP/1.1 client connection."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import httptools

from figlane.entities.http import Answer, Headers, Request

# Response bodies above this size, in bytes, are streamed and not buffered.
MAX_BUFFERED_BYTES = 262_144

_METHODS_WITHOUT_BODY = frozenset(('GET', 'DELETE'))
# Status codes below this are interim (1xx): a final response follows.
_MIN_FINAL_STATUS = 200
# Status codes from this on report no success.
_MIN_UNSUCCESSFUL_STATUS = 300
_CONTENT_LENGTH = b'content-length'
_TRANSFER_ENCODING = b'transfer-encoding'


@dataclass(slots=True, frozen=True)
class HttpFailure:
    """Outcome of a request that got no complete response.

    ``was_sent`` is False only if no byte of the request was sent, so that the
    server cannot have executed it.
    """

    reason: str
    was_sent: bool


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """Status and headers of a streamed response."""

    status: int
    headers: Headers


@dataclass(slots=True, frozen=True)
class HttpStreamEnd:
    """Outcome of a streamed response after its last chunk was delivered.

    ``checksum`` is the CRC-32 of the whole body.
    """

    length: int
    checksum: int


@dataclass(slots=True, frozen=True)
class AttemptKey:
    """Identifies the attempts of one request, which have the same id.

    ``response_id`` is the id that responses to any of them carry, empty if
    responses carry none. ``seconds`` is the time from now on within which
    another attempt may be sent.
    """

    response_id: bytes = b''
    seconds: float = 0


@dataclass(slots=True, frozen=True)
class ResponseLimits:
    """Bounds of what a server may send, all but ``headers`` in bytes.

    ``head_bytes`` bounds everything that is not a body: heads, interim
    responses, chunk sizes and trailers. Chunks add ``framing_factor`` for each
    byte of the body. ``headers`` bounds the number of headers of a response,
    ``discarded_bytes`` the bodies of responses to other requests, and
    ``body_bytes`` a body without a listener.
    """

    head_bytes: int = 65_536
    headers: int = 256
    framing_factor: int = 4
    discarded_bytes: int = 1_048_576
    body_bytes: int = 16_777_216


_DEFAULT_LIMITS = ResponseLimits()
_NO_KEY = AttemptKey()


HttpOutcome = Answer | HttpFailure | HttpStreamEnd
OutcomeCallback = Callable[[HttpOutcome], None]
# Predicate on the headers of a response. The second argument tells whether the
# connection has carried another request before.
ResponseMatcher = Callable[[Headers, bool], bool]


class StreamListener(Protocol):
    """Receives a response that is too large to buffer."""

    def on_head(self, head: ResponseHead) -> None:
        """Handle status and headers; called once, before any chunk.

        :param head: status and headers.
        """

    def on_chunk(self, chunk: bytes) -> None:
        """Handle the next chunk of the body.

        :param chunk: the bytes, never empty.
        """


class ReadableTransport(Protocol):
    """Transport operations that an exchange uses."""

    def abort(self) -> None:
        """Close the connection immediately, discarding buffered data."""

    def pause_reading(self) -> None:
        """Stop reading, which makes TCP flow control stop the sender."""

    def resume_reading(self) -> None:
        """Resume reading."""


class Exchange:
    """Buffers or streams one response and reports exactly one outcome.

    Without a listener, the whole response is buffered. A response that
    ``matches_request`` rejects belongs to an earlier request on the connection
    and is discarded; the connection is not reused then. A server that exceeds
    the limits fails the exchange, which closes its connection.
    """

    __slots__ = (
        '_buffer',
        '_checksum',
        '_discarded_bytes',
        '_exceeded_limit',
        '_finish',
        '_has_discarded',
        '_has_headers',
        '_headers',
        '_is_paused',
        '_is_reused',
        '_is_streaming',
        '_is_unmatched',
        '_length',
        '_limits',
        '_listener',
        '_matches_request',
        '_overhead_bytes',
        '_parser',
        '_transport',
        'is_reusable',
        'key',
        'request',
    )

    def __init__(
        self,
        request: Request,
        finish: OutcomeCallback,
        listener: StreamListener | None = None,
        matches_request: ResponseMatcher | None = None,
        limits: ResponseLimits = _DEFAULT_LIMITS,
        key: AttemptKey = _NO_KEY,
    ) -> None:
        """Create an exchange that is not bound to a connection yet.

        :param request: the request.
        :param finish: callback for the outcome; called once, unless the
            exchange is cancelled.
        :param listener: receives a response that is too large to buffer.
        :param matches_request: False if the response belongs to another
            request. By default, every response is accepted.
        :param limits: bounds of what the server may send.
        :param key: identifies the attempts of the same request.
        """
        self.request = request
        self.key = key
        self.is_reusable = False
        self._finish: OutcomeCallback | None = finish
        self._listener = listener
        self._headers: list[tuple[bytes, bytes]] = []
        self._buffer = bytearray()
        self._length = 0
        self._checksum = 0
        self._is_streaming = False
        self._is_paused = False
        self._is_reused = False
        self._is_unmatched = False
        self._has_discarded = False
        self._has_headers = False
        self._matches_request = matches_request
        self._limits = limits
        self._overhead_bytes = 0
        self._discarded_bytes = 0
        self._exceeded_limit = ''
        self._transport: ReadableTransport | None = None
        self._parser = httptools.HttpResponseParser(self)

    @property
    def is_done(self) -> bool:
        """Whether the exchange is complete, failed or cancelled.

        :return: True if no outcome will be reported any more.
        """
        return self._finish is None

    @property
    def may_be_repeated(self) -> bool:
        """Whether the request may be sent again after its response.

        :return: True unless the final response reports success.
        """
        return self._parser.get_status_code() >= _MIN_UNSUCCESSFUL_STATUS

    def bind(
        self, transport: ReadableTransport, *, is_reused: bool = False
    ) -> None:
        """Bind the exchange to the connection that carries the request.

        :param transport: the connection's transport.
        :param is_reused: whether the connection has carried another request.
        """
        self._transport = transport
        self._is_reused = is_reused

    def feed(self, received: bytes) -> None:
        """Parse received bytes of the response.

        :param received: the bytes.
        """
        body_bytes = self._length + self._discarded_bytes
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self.fail(f'malformed HTTP response: {error}')
            self._abort()
            return
        body_bytes = self._length + self._discarded_bytes - body_bytes
        self._overhead_bytes += len(received) - body_bytes
        self._check_limits()
        if self._exceeded_limit and not self.is_done:
            self.fail(
                f'HTTP response exceeds the limit: {self._exceeded_limit}'
            )
            self._abort()

    def handle_eof(self) -> None:
        """Handle a regular close of the connection by the server.

        It completes a response that has neither ``Content-Length`` nor
        ``Transfer-Encoding``.
        """
        if self._is_delimited_by_close() and not self.is_done:
            self._complete()
            self.is_reusable = False

    def fail(self, reason: str, *, was_sent: bool = True) -> None:
        """Report a failure as the outcome.

        :param reason: error text.
        :param was_sent: False only if no byte of the request was sent.
        """
        self._report_outcome(HttpFailure(reason, was_sent))

    def cancel(self) -> None:
        """Cancel the exchange and abort its connection."""
        if self._finish is None:
            return
        self._finish = None
        self._abort()

    def pause(self) -> None:
        """Pause reading, which makes TCP flow control stop the server."""
        if self._transport is not None and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading the response."""
        if self._transport is not None and self._is_paused:
            self._is_paused = False
            self._transport.resume_reading()

    def on_message_begin(self) -> None:
        """Mark a response that follows the final one as unsolicited.

        The connection is not reused then.
        """
        if self._finish is None:
            self.is_reusable = False
            self._is_unmatched = True

    def on_headers_complete(self) -> None:
        """Check whether the response belongs to this request."""
        if self._finish is None:
            return
        self._has_headers = True
        if self._matches_request is not None:
            headers = tuple(self._headers)
            matches = self._matches_request(headers, self._is_reused)
            self._is_unmatched = not matches

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a response header; trailers are dropped.

        :param name: header name.
        :param value: header value.
        """
        if self._has_headers:
            return
        if len(self._headers) >= self._limits.headers:
            self._exceeded_limit = f'{self._limits.headers} headers'
            return
        self._headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        """Buffer or stream a part of the body.

        :param body: the bytes.
        """
        if self._is_unmatched:
            self._discarded_bytes += len(body)
            return
        self._length += len(body)
        if self._is_streaming:
            self._deliver_chunk(body)
            return
        self._buffer += body
        if self._listener is not None and self._length > MAX_BUFFERED_BYTES:
            self._start_stream(self._listener)

    def on_message_complete(self) -> None:
        """Complete the exchange unless the response is interim or unmatched."""
        if self._finish is None:
            return
        is_interim = self._parser.get_status_code() < _MIN_FINAL_STATUS
        if self._is_unmatched or is_interim:
            self._has_discarded = self._has_discarded or not is_interim
            self._is_unmatched = False
            self._has_headers = False
            self._headers.clear()
            return
        is_kept_alive = self._parser.should_keep_alive()
        self.is_reusable = is_kept_alive and not self._has_discarded
        self._complete()

    def _check_limits(self) -> None:
        limits = self._limits
        max_overhead = limits.head_bytes + limits.framing_factor * self._length
        if self._overhead_bytes > max_overhead:
            self._exceeded_limit = f'{limits.head_bytes} bytes of head'
        if self._discarded_bytes > limits.discarded_bytes:
            self._exceeded_limit = (
                f'{limits.discarded_bytes} bytes for other requests'
            )
        if self._length > limits.body_bytes and not self._is_streaming:
            self._exceeded_limit = f'{limits.body_bytes} bytes of body'

    def _is_delimited_by_close(self) -> bool:
        names = {name for name, _ in self._headers}
        has_length = _CONTENT_LENGTH in names or _TRANSFER_ENCODING in names
        return self._has_headers and not has_length and not self._is_unmatched

    def _complete(self) -> None:
        if self._is_streaming:
            self._report_outcome(HttpStreamEnd(self._length, self._checksum))
            return
        self._report_outcome(
            Answer(
                self._parser.get_status_code(),
                tuple(self._headers),
                bytes(self._buffer),
            ),
        )

    def _start_stream(self, listener: StreamListener) -> None:
        self._is_streaming = True
        headers = tuple(self._headers)
        listener.on_head(ResponseHead(self._parser.get_status_code(), headers))
        buffered = bytes(self._buffer)
        self._buffer.clear()
        self._deliver_chunk(buffered)

    def _deliver_chunk(self, chunk: bytes) -> None:
        if self._listener is None or self._finish is None:
            return
        self._checksum = zlib.crc32(chunk, self._checksum)
        self._listener.on_chunk(chunk)

    def _report_outcome(self, outcome: HttpOutcome) -> None:
        finish = self._finish
        self._finish = None
        if finish is not None:
            finish(outcome)

    def _abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()


def encode_request(request: Request, host: str) -> bytes:
    """Serialise a request and set its ``Content-Length``.

    :param request: the request.
    :param host: value of the ``Host`` header if the request has none.
    :return: the encoded request.
    """
    lines = [f'{request.method} {request.target} HTTP/1.1'.encode('latin-1')]
    has_host = False
    for name, content in request.headers:
        if name == b'host':
            has_host = True
        lines.append(name + b': ' + content)
    if not has_host:
        lines.append(b'host: ' + host.encode())
    if request.body or request.method not in _METHODS_WITHOUT_BODY:
        lines.append(b'content-length: %d' % len(request.body))
    return b'\r\n'.join((*lines, b'', request.body))

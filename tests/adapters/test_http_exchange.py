"""Tests of HTTP client exchanges with unsolicited responses."""

from __future__ import annotations

import functools
import io
import itertools
import tracemalloc
import unittest
from collections.abc import Iterator
from types import MappingProxyType

from hypothesis import given
from hypothesis import strategies as st

from figlane.adapters.http_exchange import (
    Exchange,
    HttpFailure,
    HttpOutcome,
    ResponseHead,
)
from figlane.entities.http import Answer, Headers, Request

_OTHER_RESPONSE = b'HTTP/1.1 200 OK\r\nid: 1\r\n\r\nbytes of another request'
_OWN_RESPONSE = b'HTTP/1.1 200 OK\r\nid: 2\r\n\r\nbytes of this one'


_PIECE = 65_536
_HEAD = b'HTTP/1.1 200 OK\r\nid: 2\r\n'
_CHUNKED = _HEAD + b'transfer-encoding: chunked\r\n\r\n'
# Bytes without end of a server in trouble, by where they come in a response.
_ENDLESS = MappingProxyType(
    {
        'head': (_HEAD, b'a: b\r\n'),
        'header value': (_HEAD + b'a: ', b'x'),
        'header name': (_HEAD, b'x'),
        'status line': (b'HTTP/1.1 200 ', b'x'),
        'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        'other responses': (b'', b'HTTP/1.1 204 No\r\nid: 1\r\n\r\n'),
        'body of another response': (b'HTTP/1.1 200 OK\r\nid: 1\r\n\r\n', b'x'),
        'chunk size': (_CHUNKED + b'5;', b'x'),
        'trailers': (_CHUNKED + b'0\r\n', b'a: b\r\n'),
        'buffered body': (_HEAD + b'\r\n', b'x'),
        'chunks of one byte': (_CHUNKED, b'1\r\nx\r\n'),
    }
)
# Bytes that are taken before the connection is closed, and the memory that
# they use, both for one exchange.
_MAX_TAKEN_BYTES = 18_000_000
_MAX_MEMORY_BYTES = 36_000_000
_MAX_HEAD_BYTES = 1_500_000


class FakeTransport:
    """Transport of a client connection."""

    def __init__(self) -> None:
        """Create an open transport."""
        self.is_aborted = False

    def abort(self) -> None:
        """Close the connection."""
        self.is_aborted = True

    def pause_reading(self) -> None:
        """Stop reading."""

    def resume_reading(self) -> None:
        """Resume reading."""


def _pieces(prefix: bytes, endless: bytes) -> Iterator[bytes]:
    yield prefix
    yield from itertools.repeat(endless * (_PIECE // len(endless)))


def _is_own(headers: Headers, is_reused: bool) -> bool:
    return (b'id', b'2') in headers


class EndOfStreamTest(unittest.TestCase):
    """Responses without a length, which end when the connection closes."""

    def setUp(self) -> None:
        """Create an exchange that expects responses with its own id."""
        self.outcomes: list[HttpOutcome] = []
        self.exchange = Exchange(
            Request('GET', '/', ()),
            self.outcomes.append,
            matches_request=_is_own,
        )

    def test_close_completes_own_response(self) -> None:
        """Closing the connection completes the request's own response."""
        self.exchange.feed(_OWN_RESPONSE)
        self.exchange.handle_eof()
        self.assertIsInstance(self.outcomes[0], Answer)

    def test_close_ignores_other_response(self) -> None:
        """Closing the connection completes no response to another request."""
        self.exchange.feed(_OTHER_RESPONSE)
        self.exchange.handle_eof()
        self.assertEqual(self.outcomes, [])
        self.exchange.fail('connection closed')
        self.assertIsInstance(self.outcomes[0], HttpFailure)


class EndlessResponseTest(unittest.TestCase):
    """Servers that send bytes without end until the connection is closed."""

    def test_connection_is_closed(self) -> None:
        """The connection is closed within bounds; the outcome is unknown."""
        for name, (prefix, endless) in _ENDLESS.items():
            with self.subTest(name=name):
                self._require_bounds(name, _pieces(prefix, endless))

    def test_trailers_are_dropped(self) -> None:
        """Trailers do not become headers of the response."""
        outcomes: list[HttpOutcome] = []
        exchange = Exchange(Request('GET', '/', ()), outcomes.append)
        exchange.feed(_CHUNKED + b'1\r\nx\r\n0\r\nid: 3\r\n\r\n')
        self.assertIsInstance(outcomes[0], Answer)
        self.assertNotIn((b'id', b'3'), outcomes[0].headers)

    def test_streamed_body(self) -> None:
        """A streamed body of any length is passed on."""
        listener = CountingListener()
        exchange = Exchange(Request('GET', '/', ()), self.fail, listener)
        pieces = _pieces(_HEAD + b'\r\n', b'x')
        for piece in itertools.islice(pieces, 1000):
            exchange.feed(piece)
        self.assertGreater(listener.length, 990 * _PIECE)

    @given(st.integers(1, 60_000), st.integers(1, 200))
    def test_large_head_within_limits(self, value: int, headers: int) -> None:
        """A head within the limits is accepted in pieces of any size."""
        outcomes: list[HttpOutcome] = []
        exchange = Exchange(Request('GET', '/', ()), outcomes.append)
        lines = [b'h%d: v' % number for number in range(headers)]
        lines.append(b'large: ' + b'x' * value)
        head = b'\r\n'.join((b'HTTP/1.1 200 OK', *lines))
        response = head + b'\r\ncontent-length: 2\r\n\r\nok'
        stream = io.BytesIO(response)
        for piece in iter(functools.partial(stream.read, 4096), b''):
            exchange.feed(piece)
        self.assertIsInstance(outcomes[0], Answer)

    def _require_bounds(self, name: str, pieces: Iterator[bytes]) -> None:
        outcomes: list[HttpOutcome] = []
        exchange = Exchange(
            Request('POST', '/', ()), outcomes.append, matches_request=_is_own
        )
        transport = FakeTransport()
        exchange.bind(transport)
        taken = 0
        tracemalloc.start()
        for piece in pieces:
            exchange.feed(piece)
            taken += len(piece)
            if transport.is_aborted or taken > 2 * _MAX_TAKEN_BYTES:
                break
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        self.assertTrue(transport.is_aborted)
        self.assertLessEqual(taken, _MAX_TAKEN_BYTES)
        self.assertLessEqual(peak, _MAX_MEMORY_BYTES)
        if 'body' not in name and 'byte' not in name:
            self.assertLessEqual(max(taken, peak), _MAX_HEAD_BYTES)
        self.assertIsInstance(outcomes[0], HttpFailure)
        self.assertTrue(outcomes[0].was_sent)


class CountingListener:
    """Counts the bytes of a streamed response."""

    def __init__(self) -> None:
        """Create a listener that has received nothing."""
        self.length = 0

    def on_head(self, head: ResponseHead) -> None:
        """Ignore the head.

        :param head: status and headers.
        """

    def on_chunk(self, chunk: bytes) -> None:
        """Count a chunk.

        :param chunk: the bytes.
        """
        self.length += len(chunk)

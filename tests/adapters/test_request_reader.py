"""Tests of the incremental HTTP request parser and its limits."""

from __future__ import annotations

import itertools
import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from figlane.adapters.request_reader import HttpRequest, RequestReader
from figlane.entities.ingress import CallerLimits

_LIMITS = CallerLimits(head_bytes=300, body_bytes=50)
_REQUEST = (
    b'POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nX-Kept: Yes\r\n'
    b'Content-Length: 5\r\n\r\nhello'
)
_CHUNKED = (
    b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n'
)


class _RecordingCallbacks:
    """Records the callbacks of a request reader."""

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.rejected: list[int] = []
        self.begun = 0
        self.continued = 0

    def on_begin(self) -> None:
        self.begun += 1

    def on_head(self) -> None:
        """Ignore the end of the headers."""

    def on_continue(self) -> None:
        self.continued += 1

    def on_complete_request(self, row: HttpRequest) -> None:
        self.requests.append(row)

    def on_reject(self, status: int) -> None:
        self.rejected.append(status)


def _parse(*parts: bytes) -> _RecordingCallbacks:
    callbacks = _RecordingCallbacks()
    reader = RequestReader(callbacks, _LIMITS)
    for part in parts:
        if callbacks.rejected:
            break
        reader.feed(part)
    return callbacks


class ReaderTest(unittest.TestCase):
    """Request parser fed with the bytes of one connection."""

    @settings(
        derandomize=True,
        max_examples=100,
        deadline=None,
        # Data generation may be slow on a loaded machine.
        suppress_health_check=(HealthCheck.too_slow,),
    )
    @given(st.lists(st.integers(0, 2 * len(_REQUEST)), max_size=6))
    def test_any_split(self, cuts: list[int]) -> None:
        """The parsed requests do not depend on how the bytes are split."""
        stream = _REQUEST * 2
        edges = sorted({0, len(stream), *cuts})
        parts = [
            stream[begin:end]
            for begin, end in zip(edges, edges[1:], strict=False)
        ]
        callbacks = _parse(*parts)
        self.assertEqual(len(callbacks.requests), 2)
        for row in callbacks.requests:
            self.assertEqual((row.method, row.target), ('POST', '/a/b?c=d'))
            self.assertEqual(row.body, b'hello')
            self.assertIn((b'x-kept', b'Yes'), row.headers)

    def test_chunked_body(self) -> None:
        """A chunked body is decoded completely."""
        self.assertEqual(_parse(_CHUNKED).requests[0].body, b'abcde')

    def test_size_limits_and_malformed(self) -> None:
        """Oversized and malformed requests are rejected with their status."""
        long_header = b'X: ' + b'y' * 400 + b'\r\n\r\n'
        large_body = b'Content-Length: 60\r\n\r\n' + b'z' * 60
        cases = (
            ('head', (b'GET / HTTP/1.1\r\n', long_header), 431),
            (
                'head in several parts',
                (b'GET / HTTP/1.1\r\nX: ', b'y' * 200, b'y' * 200),
                431,
            ),
            ('body', (b'POST / HTTP/1.1\r\n', large_body), 413),
            ('malformed request', (b'\x00\x01\x02\r\n\r\n',), 400),
        )
        for name, parts, status in cases:
            with self.subTest(name=name):
                callbacks = _parse(*parts)
                self.assertEqual(callbacks.rejected[:1], [status])
                self.assertEqual(callbacks.requests, [])

    def test_trailers_are_dropped(self) -> None:
        """Trailers do not replace headers of the request."""
        head = b'POST / HTTP/1.1\r\nkey: a\r\nTransfer-Encoding: chunked\r\n'
        parsed = _parse(head, b'\r\n1\r\nx\r\n0\r\nkey: b\r\n\r\n')
        headers = parsed.requests[0].headers
        self.assertIn((b'key', b'a'), headers)
        self.assertNotIn((b'key', b'b'), headers)

    def test_pipelined_bodies(self) -> None:
        """Bodies that end and begin in one piece count as what they are."""
        head = b'POST / HTTP/1.1\r\nContent-Length: 40\r\n\r\n'
        begin, end = head + b'x' * 30, b'x' * 10
        parsed = _parse(begin, *itertools.repeat(end + begin, 30))
        self.assertFalse(parsed.rejected)
        self.assertEqual(len(parsed.requests), 30)

    def test_endless_framing(self) -> None:
        """Bytes of a body without end that are no body are refused."""
        chunked = b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n'
        cases = (
            ('extension', chunked + b'5;', b'x' * 100),
            ('trailers', chunked + b'0\r\n', b'a: b\r\n' * 20),
            ('trailer', chunked + b'0\r\na: ', b'x' * 100),
        )
        for name, prefix, endless in cases:
            with self.subTest(name=name):
                parsed = _parse(prefix, *itertools.repeat(endless, 20))
                self.assertTrue(parsed.rejected)
                self.assertFalse(parsed.requests)

    def test_expect_continue(self) -> None:
        """``Expect: 100-continue`` triggers one continue callback."""
        callbacks = _parse(
            b'POST / HTTP/1.1\r\nExpect: 100-continue\r\n'
            b'Content-Length: 1\r\n\r\n',
        )
        self.assertEqual(callbacks.continued, 1)

    def test_connection_close(self) -> None:
        """A request records whether its connection closes afterwards."""
        for header, closes in ((b'Connection: close\r\n', True), (b'', False)):
            with self.subTest(closes=closes):
                callbacks = _parse(b'GET / HTTP/1.1\r\n' + header + b'\r\n')
                self.assertEqual(callbacks.requests[0].closes, closes)

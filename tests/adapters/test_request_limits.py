"""Tests that send malformed HTTP requests to the entry and admin ports."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import unittest
from collections.abc import AsyncIterator
from typing import Any, TypeAlias
from unittest.mock import patch

from figlane.adapters.http_admin import HttpAdmin
from figlane.adapters.http_entry import HttpEntry
from figlane.adapters.http_server import HttpServer
from figlane.adapters.request_limits import remove_reserved_headers
from figlane.entities.http import Answer
from figlane.entities.inbox import CallArrived
from figlane.entities.outbox import AnswerCaller
from figlane.entities.world import Identity, World
from figlane.settings import split_address
from figlane.wire.documents import MAX_BODY_BYTES

_RunningServer: TypeAlias = tuple[str, list[Any]]

_TIMEOUT_SECONDS = 10
_NO_RESPONSE = b''
_BAD_REQUEST = b'HTTP/1.1 400'
_BODY_TOO_LARGE = b'HTTP/1.1 413'
_HEADERS_TOO_LARGE = b'HTTP/1.1 431'


def _post(*headers: str, body: bytes = b'') -> bytes:
    lines = ('POST /dues/x HTTP/1.1', 'Host: a', *headers, '', '')
    return '\r\n'.join(lines).encode('latin-1') + body


_KEY = 'Authorization: Bearer a'
_CONTEXT = 'Figlane-Context: a'
_CHUNKED = 'Transfer-Encoding: chunked'
_MALFORMED = (
    ('two keys', _post(_KEY, _KEY), _BAD_REQUEST),
    ('two keys in different case', _post(_KEY, _KEY.lower()), _BAD_REQUEST),
    ('two contexts', _post(_CONTEXT, _CONTEXT), _BAD_REQUEST),
    ('two hosts', _post('Host: b'), _BAD_REQUEST),
    (
        'two lengths',
        _post('Content-Length: 1', 'Content-Length: 2', body=b'ab'),
        _BAD_REQUEST,
    ),
    (
        'the same length twice',
        _post('Content-Length: 1', 'Content-Length: 1', body=b'a'),
        _BAD_REQUEST,
    ),
    (
        'length and chunked coding',
        _post('Content-Length: 4', _CHUNKED, body=b'0\r\n\r\n'),
        _BAD_REQUEST,
    ),
    (
        'chunked coding and length',
        _post(_CHUNKED, 'Content-Length: 4', body=b'0\r\n\r\n'),
        _BAD_REQUEST,
    ),
    (
        'unknown transfer coding',
        _post('Transfer-Encoding: xchunked'),
        _BAD_REQUEST,
    ),
    ('negative length', _post('Content-Length: -1'), _BAD_REQUEST),
    ('signed length', _post('Content-Length: +1', body=b'a'), _BAD_REQUEST),
    ('length overflow', _post(f'Content-Length: {"9" * 40}'), _BAD_REQUEST),
    (
        'declared body too large',
        _post(f'Content-Length: {MAX_BODY_BYTES + 1}'),
        _BODY_TOO_LARGE,
    ),
    ('invalid chunk size', _post(_CHUNKED, body=b'zz\r\n'), _BAD_REQUEST),
    (
        'chunk size overflow',
        _post(_CHUNKED, body=b'f' * 40 + b'\r\n'),
        _BAD_REQUEST,
    ),
    ('space before colon', _post('Authorization : Bearer a'), _BAD_REQUEST),
    ('zero byte', _post('X-A: a\0b'), _BAD_REQUEST),
    ('no host', _post().replace(b'Host: a\r\n', b''), _BAD_REQUEST),
    ('many headers', _post(*itertools.repeat('X-A: 1', 65)), _BAD_REQUEST),
    ('long header', _post(f'X-A: {"a" * 20_000}'), _BAD_REQUEST),
    (
        'oversized headers',
        _post(f'X-A: {"a" * 70_000}')[:-4],
        _HEADERS_TOO_LARGE,
    ),
    (
        'TLS handshake',
        b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03',
        _BAD_REQUEST,
    ),
    ('missing HTTP version', b'POST /dues/x\r\n\r\n', _BAD_REQUEST),
)
_INCOMPLETE = (
    ('incomplete request line', b'POST /dues/x HT'),
    ('incomplete headers', _post()[:-2]),
    ('incomplete body', _post('Content-Length: 10', body=b'abc')),
    ('incomplete chunk', _post(_CHUNKED, body=b'5\r\nab')),
)


class RawSocketTest(unittest.IsolatedAsyncioTestCase):
    """Malformed and slow requests produce no inbox row."""

    async def test_malformed_requests(self) -> None:
        """Each malformed request gets its status code on both ports."""
        for is_admin in (False, True):
            async with _running_server(is_admin=is_admin) as (address, rows):
                for title, raw, expected in _MALFORMED:
                    with self.subTest(title, is_admin=is_admin):
                        sent = _to_admin(raw) if is_admin else raw
                        response = await _exchange(address, sent)
                        self.assertEqual(response[: len(expected)], expected)
                self.assertEqual(rows, [])

    async def test_incomplete_requests(self) -> None:
        """A request incomplete at the time-out closes its connection."""
        with patch(
            'figlane.adapters.http_protocol.RECEIVE_TIMEOUT_SECONDS', 0.1
        ):
            async with _running_server(is_admin=False) as (address, rows):
                for title, raw in _INCOMPLETE:
                    with self.subTest(title):
                        response = await _exchange(address, raw)
                        self.assertNotIn(b'200', response[:12])
                self.assertEqual(rows, [])

    async def test_disconnect_in_body(self) -> None:
        """A disconnect in the middle of the body starts no call."""
        async with _running_server(is_admin=False) as (address, rows):
            raw = _post('Content-Length: 10', body=b'abc')
            response = await _exchange(address, raw, disconnects=True)
            self.assertNotIn(b'200', response[:12])
            self.assertEqual(rows, [])

    async def test_valid_request(self) -> None:
        """A well-formed request is accepted by the same server."""
        async with _running_server(is_admin=False) as (address, rows):
            raw = _post('Content-Length: 3', 'Connection: close', body=b'abc')
            response = await _exchange(address, raw)
            self.assertEqual(response[:12], b'HTTP/1.1 200')
            self.assertEqual(len(rows), 1)


class ReservedHeadersTest(unittest.TestCase):
    """Headers with the reserved prefix."""

    def test_removed_in_any_case(self) -> None:
        """Reserved headers are removed regardless of letter case."""
        headers = (
            (b'Figlane-Outcome', b'not-run'),
            (b'figlane-call', b'x'),
            (b'x-a', b'1'),
        )
        self.assertEqual(remove_reserved_headers(headers), ((b'x-a', b'1'),))


@contextlib.asynccontextmanager
async def _running_server(*, is_admin: bool) -> AsyncIterator[_RunningServer]:
    rows: list[Any] = []
    world = World(Identity('node-a', 'domain-a', 1), random.Random(1))
    entry = HttpEntry(lambda row: _record_and_answer(entry, rows, row))
    application = entry.application
    if is_admin:
        application = HttpAdmin(world, rows.append).application
    server = HttpServer(application, '127.0.0.1:0', 0)
    task = asyncio.create_task(server.run())
    try:
        yield server.address, rows
    finally:
        server.stop()
        await task


def _record_and_answer(entry: HttpEntry, rows: list[Any], row: Any) -> None:
    rows.append(row)
    if isinstance(row, CallArrived):
        outcome = AnswerCaller(row.call.id, Answer(200, (), b'whole'))
        asyncio.get_running_loop().call_soon(entry.answer, outcome)


def _to_admin(raw: bytes) -> bytes:
    return raw.replace(b'POST /dues/x', b'PUT /backend')


async def _exchange(
    address: str, raw: bytes, *, disconnects: bool = False
) -> bytes:
    host, port = split_address(address)
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(raw)
    if disconnects:
        writer.write_eof()
    response = _NO_RESPONSE
    with contextlib.suppress(ConnectionError):
        response = await asyncio.wait_for(reader.read(200), _TIMEOUT_SECONDS)
    writer.close()
    return response

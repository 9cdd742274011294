"""Client connections that record what became of each request."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import zlib
from time import monotonic
from typing import cast

import httptools

from figlane.platform.headers import (
    API_KEY,
    DEADLINE_MS,
    REQUEST_ID,
    RETRY_AFTER,
)
from figlane.settings import split_address
from standins.platform_site import HOST, SEAL, RequestClass
from tools.soaking.entities import Answer, RequestEnd, SentRequest

CONNECT_TIMEOUT_SECONDS = 1
_SLOW_RECEIVE_BUFFER_BYTES = 2048
_SLOW_READ_PAUSE_SECONDS = 0.2
_MS_PER_SECOND = 1000
_SEAL_PARTS = 4


class ClientConnection(asyncio.Protocol):
    """One connection to a node, with one request at a time."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, reads_slowly: bool
    ) -> None:
        """Create a connection that is not connected yet.

        :param loop: the event loop.
        :param reads_slowly: pause after each piece of a response.
        """
        self.is_open = False
        self._loop = loop
        self._reads_slowly = reads_slowly
        self._transport: asyncio.Transport | None = None
        self._request_count = 0
        self._row: SentRequest | None = None
        self._body = b''
        self._content_by_header: dict[bytes, bytes] = {}
        self._parser: httptools.HttpResponseParser | None = None
        self._waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to use the connection.

        :param transport: the connection's transport.
        """
        self._transport = cast(asyncio.Transport, transport)
        self.is_open = True

    def connection_lost(self, exc: Exception | None) -> None:
        """End the open request, if there is one.

        :param exc: the error, or None after a regular close.
        """
        self.is_open = False
        row = self._row
        if row is None or row.end is not RequestEnd.OPEN:
            return
        self._finish(RequestEnd.CLOSED)

    def data_received(self, data: bytes) -> None:
        """Parse a piece of a response.

        :param data: the bytes.
        """
        row = self._row
        if row is None or self._parser is None:
            self.close()
            return
        if row.end is not RequestEnd.OPEN:
            self._count_extra_bytes(row, len(data))
            return
        row.received_bytes += len(data)
        if self._reads_slowly:
            self._pause()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            if row.end is RequestEnd.OPEN:
                self._finish(RequestEnd.GARBLED)
            else:
                self._count_extra_bytes(row, 1)
            self.close()

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keep a header that is examined when the response is complete.

        :param name: the header's name.
        :param content: the header's value.
        """
        self._content_by_header[name.lower()] = content

    def on_body(self, body: bytes) -> None:
        """Collect a piece of the body.

        :param body: the bytes.
        """
        self._body += body

    def on_message_complete(self) -> None:
        """End the request with its answer."""
        row = self._row
        assert row is not None
        assert row.answer is not None
        assert self._parser is not None
        if row.end is not RequestEnd.OPEN:
            self._count_extra_bytes(row, 1)
            return
        row.answer.status = self._parser.get_status_code()
        read_headers(self._content_by_header, self._body, row.answer)
        self._finish(RequestEnd.ANSWERED)
        if row.answer.closes:
            self.close()

    async def request(self, row: SentRequest, deadline: float) -> None:
        """Send a request and wait until it has ended.

        :param row: the request, whose fields are set.
        :param deadline: the longest wait in seconds.
        """
        if self._transport is None or not self.is_open:
            row.end = RequestEnd.NOT_SENT
            return
        row.is_first_of_connection = not self._request_count
        row.answer = Answer()
        self._request_count += 1
        self._row = row
        self._body = b''
        self._content_by_header = {}
        self._parser = httptools.HttpResponseParser(self)
        self._waiter = self._loop.create_future()
        row.began_at = monotonic()
        self._transport.write(_encode(row, deadline))
        # The transport writes at the end of this pass of the event loop.
        self._loop.call_soon(self._note_sent, row)
        try:
            async with asyncio.timeout(deadline):
                await self._waiter
        except TimeoutError:
            self._give_up(row, RequestEnd.TIME_LIMIT)
        except asyncio.CancelledError:
            self._give_up(row, RequestEnd.ABANDONED)
            raise

    def close(self) -> None:
        """Close the connection."""
        self.is_open = False
        if self._transport is not None:
            self._transport.abort()

    def _give_up(self, row: SentRequest, end: RequestEnd) -> None:
        if row.end is RequestEnd.OPEN:
            row.end = end
            row.ended_at = monotonic()
        self.close()

    def _note_sent(self, row: SentRequest) -> None:
        row.sent_at = min(monotonic(), row.ended_at)

    def _finish(self, end: RequestEnd) -> None:
        assert self._row is not None
        self._row.end = end
        self._row.ended_at = monotonic()
        self._row.sent_at = min(self._row.sent_at, self._row.ended_at)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _count_extra_bytes(self, row: SentRequest, count: int) -> None:
        if row.answer is not None:
            row.answer.extra_bytes += count
        self.close()

    def _pause(self) -> None:
        assert self._transport is not None
        self._transport.pause_reading()
        self._loop.call_later(_SLOW_READ_PAUSE_SECONDS, self._resume)

    def _resume(self) -> None:
        if self.is_open and self._transport is not None:
            self._transport.resume_reading()


async def connect(
    address: str, reads_slowly: bool = False
) -> ClientConnection | None:
    """Open a connection.

    :param address: ``host:port`` of a node's entry.
    :param reads_slowly: read with a small buffer and pauses.
    :return: the connection, or None if the node does not accept it in time.
    """
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setblocking(False)  # noqa: FBT003
    if reads_slowly:
        client.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_RECEIVE_BUFFER_BYTES
        )
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            await loop.sock_connect(client, split_address(address))
    except (OSError, TimeoutError):
        client.close()
        return None
    _, connection = await loop.create_connection(
        lambda: ClientConnection(loop, reads_slowly), sock=client
    )
    return connection


def shortest_limit(entry: RequestClass, deadline: float) -> float:
    """Return after which time a request may be given up.

    :param entry: the request's class.
    :param deadline: the caller's deadline in seconds.
    :return: seconds, of the deadline as it is sent and the route's timeout.
    """
    sent = int(deadline * _MS_PER_SECOND) / _MS_PER_SECOND
    return min(sent, entry.timeout)


def format_seal(request_id: str, status: int, body: bytes) -> bytes:
    """Build the seal of a backend server's answer.

    :param request_id: the request's id.
    :param status: the answer's status.
    :param body: the answer's body.
    :return: the header value.
    """
    seal = f'{request_id}.{status}.{len(body)}.{zlib.crc32(body)}'
    return seal.encode()


def read_headers(
    content_by_header: dict[bytes, bytes], body: bytes, answer: Answer
) -> None:
    """Set the fields of an answer that come from its headers.

    :param content_by_header: the headers, with names in lower case.
    :param body: the received body, which is compared with the seal.
    :param answer: the answer.
    """
    request_id = content_by_header.get(REQUEST_ID, b'')
    answer.request_id = request_id.decode('latin-1')
    answer.closes = content_by_header.get(b'connection', b'') == b'close'
    with contextlib.suppress(ValueError):
        answer.retry_after = float(content_by_header.get(RETRY_AFTER, b'0'))
    seal = content_by_header.get(SEAL, b'')
    parts = seal.decode('latin-1').split('.')
    if len(parts) != _SEAL_PARTS:
        return
    answer.sealed_id = parts[0]
    answer.sealed_status = int(parts[1])
    expected = format_seal(answer.sealed_id, answer.sealed_status, body)
    answer.is_body_sealed = seal == expected


def _encode(row: SentRequest, deadline: float) -> bytes:
    content = row.content
    lines = [
        f'{content.method} {content.path} HTTP/1.1',
        f'Host: {HOST}',
        f'{REQUEST_ID.decode()}: {row.id}',
        f'{DEADLINE_MS.decode()}: {int(deadline * _MS_PER_SECOND)}',
    ]
    if row.key:
        lines.append(f'{API_KEY.decode()}: {row.key}')
    if content.body or content.method != 'GET':
        lines.append(f'Content-Length: {len(content.body)}')
    return '\r\n'.join((*lines, '', '')).encode() + content.body

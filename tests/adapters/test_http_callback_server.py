"""Tests of HTTP server connections: order, time-outs, disconnects."""

from __future__ import annotations

import asyncio
import socket
from unittest import IsolatedAsyncioTestCase

from figlane.adapters.http_callback_server import (
    CallbackHttpServer,
    ServerConnection,
)
from figlane.adapters.request_reader import HttpRequest
from figlane.entities.ingress import CallerLimits
from standins.addresses import reserve_addresses

_LIMITS = CallerLimits(head_seconds=0.2, idle_seconds=0.6)
_GET = b'GET /%(number)d HTTP/1.1\r\nHost: x\r\n\r\n'
_FIRST = _GET % {b'number': 1}
_POST = b'POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n'


class HttpServerTest(IsolatedAsyncioTestCase):
    """One server that echoes the target and body of each request."""

    async def asyncSetUp(self) -> None:
        """Start the server and open a connection."""
        self.disconnects = 0
        self.delay: float = 0
        loop = asyncio.get_running_loop()
        self.server = CallbackHttpServer(loop, self)
        self.server.state.limits = _LIMITS
        self.address = reserve_addresses(1)[0].split(':')
        await self.server.start(self.address[0], int(self.address[1]))
        self.addCleanup(self.server.close)
        streams = await asyncio.open_connection(*self.address)
        self.reader = streams[0]
        self.writer = streams[1]
        self.addCleanup(self.writer.close)

    def on_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        """Respond after the configured delay.

        :param connection: the connection.
        :param request: the request.
        """
        body = request.target.encode() + request.body
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay, connection.respond, 200, (), body)

    def on_disconnect(self, connection: ServerConnection) -> None:
        """Count a caller that disconnects.

        :param connection: the connection.
        """
        self.disconnects += 1

    async def test_pipelined_requests_in_order(self) -> None:
        """Pipelined requests are answered in order."""
        self.delay = 0.02
        self.writer.write(
            b''.join(_GET % {b'number': number} for number in range(5))
        )
        for number in range(5):
            self.assertTrue(
                (await self._read_response()).endswith(b'/%d' % number)
            )

    async def test_idle_timeout(self) -> None:
        """An idle connection is closed after the idle time-out."""
        self.writer.write(_FIRST)
        await self._read_response()
        loop = asyncio.get_running_loop()
        begun = loop.time()
        self.assertEqual(await self.reader.read(), b'')
        self.assertGreater(loop.time() - begun, 0.5)

    async def test_header_timeout(self) -> None:
        """Incomplete headers are answered with 408 after the time-out."""
        self.writer.write(b'GET / HTTP/1.1\r\nX: ')
        self.assertIn(b' 408 ', await self.reader.read())

    async def test_body_timeout(self) -> None:
        """A body may exceed the header time-out but not the idle time-out."""
        self.writer.write(_POST)
        await asyncio.sleep(0.4)
        self.writer.write(b'ab')
        self.assertTrue((await self._read_response()).endswith(b'/ab'))
        self.writer.write(_POST)
        self.assertIn(b' 408 ', await self.reader.read())

    async def test_disconnect_reported(self) -> None:
        """A disconnect before the response is reported within a second."""
        self.delay = 5
        self.writer.write(_FIRST)
        await self.writer.drain()
        await asyncio.sleep(0.05)
        self.writer.close()
        async with asyncio.timeout(1):
            while not self.disconnects:
                await asyncio.sleep(0.01)

    async def test_connection_close_while_closing(self) -> None:
        """A closing server sends ``connection: close`` in the next response."""
        self.server.start_closing()
        self.writer.write(_FIRST)
        self.assertIn(b'connection: close', await self.reader.read())

    async def test_stop_answers_half_received_request(self) -> None:
        """A request whose last bytes come during the stop is answered."""
        self.writer.write(_POST)
        await asyncio.sleep(0.05)
        stopping = self._stop()
        await asyncio.sleep(0.05)
        self.writer.write(b'ab')
        self.assertIn(b' 200 ', await self._read_response())
        self.writer.close()
        await stopping

    async def test_stop_answers_open_request(self) -> None:
        """A stop waits for the answer of an open request."""
        self.delay = 0.1
        self.writer.write(_FIRST)
        await asyncio.sleep(0.05)
        stopping = self._stop()
        self.assertIn(b' 200 ', await self._read_response())
        self.writer.close()
        await stopping

    async def test_stop_answers_pipelined_request(self) -> None:
        """Guards against a pipelined request that a stop leaves unanswered."""
        self.delay = 0.1
        self.writer.write(_FIRST + _GET % {b'number': 2})
        await asyncio.sleep(0.05)
        self.server.start_closing()
        stopping = self._stop()
        self.assertTrue((await self._read_response()).endswith(b'/1'))
        self.assertTrue((await self._read_response()).endswith(b'/2'))
        self.assertEqual(await self.reader.read(), b'')
        await stopping

    async def test_stop_awaits_pipelined_body(self) -> None:
        """Guards against closing behind an answer while a request comes in."""
        self.delay = 0.1
        self.writer.write(_FIRST + _POST)
        await asyncio.sleep(0.05)
        self.server.start_closing()
        stopping = self._stop()
        self.assertTrue((await self._read_response()).endswith(b'/1'))
        self.writer.write(b'ab')
        self.assertTrue((await self._read_response()).endswith(b'/ab'))
        await stopping

    async def test_stop_answers_waiting_connection(self) -> None:
        """A connection in the listen queue is accepted and answered.

        A server that closes at once resets it.
        """
        waiting = socket.create_connection(tuple(self.address))
        self.addCleanup(waiting.close)
        waiting.sendall(_FIRST)
        stopping = self._stop()
        answer = await asyncio.to_thread(waiting.recv, 1000)
        self.assertIn(b' 200 ', answer)
        waiting.close()
        await stopping

    def _stop(self) -> asyncio.Task[None]:
        stop = self.server.stop(1)
        return asyncio.get_running_loop().create_task(stop)

    async def _read_response(self) -> bytes:
        head = await self.reader.readuntil(b'\r\n\r\n')
        length = int(head.split(b'content-length: ')[1].split(b'\r')[0])
        return head + await self.reader.readexactly(length)

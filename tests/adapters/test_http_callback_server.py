"""Tests of HTTP server connections: order, time-outs, disconnects."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from unittest import IsolatedAsyncioTestCase

from figlane.adapters.http_callback_server import CallbackHttpServer
from figlane.adapters.http_connection import CutOffRequest, ServerConnection
from figlane.adapters.request_reader import HttpRequest
from figlane.entities.cut_off import CutOffReason
from figlane.entities.ingress import CallerLimits
from standins.addresses import reserve_addresses

_LIMITS = CallerLimits(head_seconds=0.2, idle_seconds=0.6)
_GET = b'GET /%(number)d HTTP/1.1\r\nHost: x\r\n\r\n'
_FIRST = _GET % {b'number': 1}
_NAMED = b'GET / HTTP/1.1\r\nHost: x\r\nX-Id: %(name)b\r\n\r\n'
_NAMED_A = _NAMED % {b'name': b'a'}
_NAMED_B = _NAMED % {b'name': b'b'}
# A request without the end of its headers. A header is known once the next one
# begins.
_HALF = b'GET / HTTP/1.1\r\nHost: x\r\nX-Id: c\r\nY: '
_POST = b'POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n'


class ClosingAnswers:
    """Handler whose answers end with the connection."""

    def on_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        """Answer a request at once.

        :param connection: the connection.
        :param request: the request.
        """
        connection.write_raw(b'HTTP/1.1 200 OK\r\n\r\n')
        connection.finish_and_close()

    def on_disconnect(self, connection: ServerConnection) -> None:
        """Ignore a caller that disconnects.

        :param connection: the connection.
        """


class HttpServerTest(IsolatedAsyncioTestCase):
    """One server that echoes the target and body of each request."""

    async def asyncSetUp(self) -> None:
        """Start the server and open a connection."""
        self.disconnects = 0
        self.delay: float | None = 0
        self.body = b''
        loop = asyncio.get_running_loop()
        self.cut_offs: list[CutOffRequest] = []
        self.server = CallbackHttpServer(loop, self, self.cut_offs.append)
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
        """Respond after the configured delay, or at once without one.

        :param connection: the connection.
        :param request: the request.
        """
        body = self.body or request.target.encode() + request.body
        if self.delay is None:
            connection.respond(200, (), body)
            return
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

    async def test_stop_answers_all_requests_of_one_read(self) -> None:
        """Guards against closing behind an answer before all is parsed.

        Only the last answer says ``connection: close``.
        """
        self.delay = None
        self.server.start_closing()
        self.writer.write(_FIRST + _GET % {b'number': 2})
        first = await self._read_response()
        self.assertTrue(first.endswith(b'/1'))
        self.assertNotIn(b'connection: close', first)
        last = await self.reader.read()
        self.assertTrue(last.endswith(b'/2'))
        self.assertIn(b'connection: close', last)
        self.assertEqual(self._reported(), [])

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

    async def test_answered_requests_are_not_cut_off(self) -> None:
        """Neither answers nor idle connections nor callers that leave count."""
        self.writer.write(_FIRST)
        await self._read_response()
        self.delay = 5
        leaving = await asyncio.open_connection(*self.address)
        leaving[1].write(_FIRST)
        await _wait()
        leaving[1].close()
        await _wait()
        await self._stop(0.05)
        self.assertEqual(self.cut_offs, [])

    async def test_cut_off_by_the_end(self) -> None:
        """The open, pipelined and half received requests are reported."""
        self.delay = 5
        self.writer.write(_NAMED_A + _NAMED_B + _HALF)
        await _wait()
        await self._stop(0.05)
        self.assertEqual(
            self._reported(),
            [
                (b'a', CutOffReason.PROCESS_ENDS, False),
                (b'b', CutOffReason.PROCESS_ENDS, False),
                (b'c', CutOffReason.PROCESS_ENDS, True),
            ],
        )
        for row in self.cut_offs:
            self.assertGreater(row.seconds, 0.09)
            self.assertLess(row.seconds, 1)

    async def test_shortened_stop(self) -> None:
        """A stop that waits for an open request can be shortened."""
        self.delay = 5
        self.writer.write(_NAMED_A)
        await _wait()
        stopping = self._stop(5)
        await _wait()
        self.server.shorten_stop(0.05)
        await asyncio.wait_for(stopping, 1)
        self.assertEqual(
            self._reported(), [(b'a', CutOffReason.PROCESS_ENDS, False)]
        )

    async def test_cut_off_before_the_body(self) -> None:
        """A request of which only the headers were read is reported."""
        head = _NAMED_A[:-2] + b'Content-Length: 2\r\n\r\n'
        self.writer.write(head)
        await _wait()
        await self._stop(0.05)
        self.assertEqual(
            self._reported(), [(b'a', CutOffReason.PROCESS_ENDS, True)]
        )

    async def test_cut_off_while_the_caller_reads(self) -> None:
        """An answer that the caller has not read is reported."""
        self.body = bytes(20_000_000)
        self.writer.write(_NAMED_A)
        await asyncio.sleep(0.1)
        await self._stop(0.05)
        self.assertEqual(
            self._reported(), [(b'a', CutOffReason.PROCESS_ENDS, False)]
        )

    async def test_cut_off_by_a_rejection(self) -> None:
        """A bad request behind an open one ends both."""
        self.delay = 5
        self.writer.write(_NAMED_A)
        await _wait()
        self.writer.write(b'GET / HTTP/1.1\r\nX-Id: b\r\nY: z\r\n\x00\r\n\r\n')
        self.assertEqual(await self.reader.read(), b'')
        self.assertEqual(
            self._reported(),
            [
                (b'a', CutOffReason.REJECTED, False),
                (b'b', CutOffReason.REJECTED, True),
            ],
        )

    async def test_stop_answers_before_a_rejection(self) -> None:
        """Guards against whole requests dropped for bytes behind them."""
        self.delay = 0.02
        self.server.start_closing()
        self.writer.write(_NAMED_A + _NAMED_B + b'GET /c HTTP/1.1\r\n\x00\r\n')
        answers = await self.reader.read()
        self.assertEqual(answers.count(b'HTTP/1.1 200 '), 2)
        self.assertEqual(answers.count(b'connection: close'), 1)
        self.assertEqual(self._reported(), [(b'', CutOffReason.REJECTED, True)])

    async def test_stop_closes_behind_a_rejection(self) -> None:
        """Guards against a connection that stays open and reads no more."""
        self.delay = 5
        self.writer.write(_NAMED_A)
        await _wait()
        connection = next(iter(self.server.state.connections))
        connection.begin_chunks(200, ())
        self.server.start_closing()
        self.writer.write(b'\x00')
        await _wait()
        connection.end_chunks()
        async with asyncio.timeout(1):
            answer = await self.reader.read()
        self.assertTrue(answer.endswith(b'0\r\n\r\n'))

    async def test_cut_off_by_a_timeout(self) -> None:
        """A request that is not completed in time is reported."""
        self.writer.write(_HALF)
        self.assertIn(b' 408 ', await self.reader.read())
        self.assertEqual(
            self._reported(), [(b'c', CutOffReason.REJECTED, True)]
        )

    async def test_cut_off_behind_the_last_answer(self) -> None:
        """Requests that come after ``connection: close`` are reported."""
        self.delay = 5
        self.writer.write(_NAMED_A)
        await _wait()
        self.server.start_closing()
        connection = next(iter(self.server.state.connections))
        connection.begin_chunks(200, ())
        self.writer.write(_NAMED_B + _HALF)
        await _wait()
        connection.end_chunks()
        self.assertIn(b'connection: close', await self.reader.read())
        self.assertEqual(
            self._reported(),
            [
                (b'b', CutOffReason.CONNECTION_CLOSED, False),
                (b'c', CutOffReason.CONNECTION_CLOSED, True),
            ],
        )

    async def test_cut_off_behind_a_closed_connection(self) -> None:
        """A request that is read with one whose answer closes is reported."""
        self.server.state.handler = ClosingAnswers()
        self.writer.write(_NAMED_A + _NAMED_B)
        self.assertIn(b' 200 ', await self.reader.read())
        self.assertEqual(
            self._reported(), [(b'b', CutOffReason.CONNECTION_CLOSED, False)]
        )

    async def test_cut_off_by_an_aborted_answer(self) -> None:
        """A response that is aborted is reported."""
        self.delay = 5
        self.writer.write(_NAMED_A)
        await _wait()
        for connection in self.server.state.connections:
            connection.abort_response()
        self.assertEqual(
            self._reported(), [(b'a', CutOffReason.ANSWER_ABORTED, False)]
        )

    async def test_cut_off_by_too_many_requests(self) -> None:
        """All requests of a connection with too many are reported."""
        self.delay = 5
        self.writer.write(_NAMED_A * 18)
        with contextlib.suppress(ConnectionError):
            self.assertEqual(await self.reader.read(), b'')
        self.assertEqual(len(self.cut_offs), 18)
        reasons = {row.reason for row in self.cut_offs}
        self.assertEqual(reasons, {CutOffReason.TOO_MANY_PIPELINED})

    def _reported(self) -> list[tuple[bytes, CutOffReason, bool]]:
        return [
            (dict(row.headers).get(b'x-id', b''), row.reason, row.is_partial)
            for row in self.cut_offs
        ]

    def _stop(self, seconds: float = 1) -> asyncio.Task[None]:
        stop = self.server.stop(seconds)
        return asyncio.get_running_loop().create_task(stop)

    async def _read_response(self) -> bytes:
        head = await self.reader.readuntil(b'\r\n\r\n')
        length = int(head.split(b'content-length: ')[1].split(b'\r')[0])
        return head + await self.reader.readexactly(length)


async def _wait() -> None:
    await asyncio.sleep(0.05)

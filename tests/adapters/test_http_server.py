"""Tests of the requests that the uvicorn server reports as cut off."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from blacksheep import Application
from blacksheep.server.routing import Router

from figlane.adapters.http_drain import HttpDrain
from figlane.adapters.http_entry import HttpEntry
from figlane.adapters.http_server import HttpServer
from figlane.entities.cut_off import CutOffReason, RequestCutOff
from figlane.entities.http import Answer
from figlane.entities.inbox import CallArrived
from figlane.entities.node_drain import NodeDraining
from figlane.entities.outbox import AnswerCaller, StartCallerStream
from figlane.errors import ErrorKind, Refusal
from figlane.settings import split_address

_GET = b'GET /shop/x HTTP/1.1\r\nHost: x\r\n\r\n'
_POST = b'POST /shop/x HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n'


class CutOffTest(IsolatedAsyncioTestCase):
    """A server whose calls are answered by the test."""

    async def asyncSetUp(self) -> None:
        """Start the server and open a connection."""
        self.cut_offs: list[RequestCutOff] = []
        self.call_ids: list[str] = []
        self.entry = HttpEntry(self._deliver)
        application = self.entry.application
        self.drain = HttpDrain(
            application, Application(router=Router()), 1, self._deliver
        )
        self.server = HttpServer(
            application,
            '127.0.0.1:0',
            grace_seconds=1,
            report_cut_off=self.cut_offs.append,
        )
        self.task = asyncio.create_task(self.server.run())
        self.addAsyncCleanup(self._stop)
        address = split_address(self.server.address)
        streams = await asyncio.open_connection(*address)
        self.reader = streams[0]
        self.writer = streams[1]
        self.addCleanup(self.writer.close)

    async def test_answered_request(self) -> None:
        """An answered request is not reported."""
        await self._send(_GET)
        answer = Answer(200, (), b'whole')
        self.entry.answer(AnswerCaller(self.call_ids[0], answer))
        self.assertIn(b' 200 ', await self.reader.read(100))
        await self._stop()
        self.assertEqual(self.cut_offs, [])

    async def test_drain_answers_pipelined_requests(self) -> None:
        """Guards against closing behind the first of several requests."""
        self.drain.start_closing(NodeDraining())
        await self._send(_GET * 3)
        answer = Answer(200, (), b'whole')
        for number in range(3):
            self.entry.answer(AnswerCaller(self.call_ids[number], answer))
            await asyncio.sleep(0.1)
        answers = await self.reader.read()
        self.assertEqual(answers.count(b'HTTP/1.1 200 '), 3)
        self.assertEqual(answers.count(b'connection: close'), 1)
        self.assertEqual(self.cut_offs, [])

    async def test_open_at_an_immediate_end(self) -> None:
        """A request that a server does not wait for is reported and closed."""
        await self._send(_GET)
        self.server.stop_now()
        await self.task
        self.assertEqual(await self.reader.read(), b'')
        self.assertEqual(
            self._reported(),
            [(self.call_ids[0], CutOffReason.PROCESS_ENDS, False)],
        )
        self.assertGreater(self.cut_offs[0].seconds, 0.09)

    async def test_half_received_headers(self) -> None:
        """A request of which a stop finds a part is reported."""
        await self._send(_GET[:-2])
        await self._stop()
        self.assertEqual(
            self._reported(), [('', CutOffReason.PROCESS_ENDS, True)]
        )

    async def test_stop_awaits_half_received_headers(self) -> None:
        """Guards against a stop that closes while a request arrives."""
        await self._send(_GET[:-2])
        self.server.stop()
        await asyncio.sleep(0.2)
        await self._send(_GET[-2:])
        answer = Answer(200, (), b'whole')
        self.entry.answer(AnswerCaller(self.call_ids[0], answer))
        self.assertIn(b'connection: close', await self.reader.read())
        await self.task
        self.assertEqual(self.cut_offs, [])

    async def test_slow_request(self) -> None:
        """A request that is not complete in time is reported."""
        with patch(
            'figlane.adapters.http_protocol.RECEIVE_TIMEOUT_SECONDS', 0.1
        ):
            streams = await asyncio.open_connection(
                *split_address(self.server.address)
            )
            self.addCleanup(streams[1].close)
            streams[1].write(_POST)
            self.assertNotIn(b' 200 ', await streams[0].read(100))
        self.assertEqual(self._reported(), [('', CutOffReason.REJECTED, True)])

    async def test_bad_request_behind_an_open_one(self) -> None:
        """A request that is closed with a malformed one is reported."""
        await self._send(_GET)
        await self._send(b'GET / HTTP/1.1\r\n\x00\r\n\r\n')
        self.assertEqual(
            self._reported(),
            [
                (self.call_ids[0], CutOffReason.REJECTED, False),
                ('', CutOffReason.REJECTED, True),
            ],
        )

    async def test_aborted_stream(self) -> None:
        """A streamed answer that fails is reported."""
        await self._send(_GET)
        self.entry.begin_stream(StartCallerStream(self.call_ids[0], 200, ()))
        refusal = Refusal(ErrorKind.OUTCOME_UNKNOWN)
        self.entry.answer(AnswerCaller(self.call_ids[0], refusal))
        self.assertEqual(
            self._reported(),
            [(self.call_ids[0], CutOffReason.ANSWER_ABORTED, False)],
        )

    def _deliver(self, row: object) -> None:
        if isinstance(row, CallArrived):
            self.call_ids.append(row.call.id)

    async def _send(self, raw: bytes) -> None:
        self.writer.write(raw)
        await asyncio.sleep(0.1)

    def _reported(self) -> list[tuple[str, CutOffReason, bool]]:
        return [
            (row.request_id, row.reason, row.is_partial)
            for row in self.cut_offs
        ]

    async def _stop(self) -> None:
        self.server.stop()
        await self.task

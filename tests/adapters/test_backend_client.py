"""Tests of requests to backend servers whose address changes."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest import IsolatedAsyncioTestCase

from figlane.adapters.backend_client import BackendClient
from figlane.adapters.http_callback_server import CallbackHttpServer
from figlane.adapters.http_connection import ServerConnection
from figlane.adapters.request_reader import HttpRequest
from figlane.entities.http import Answer, Request
from figlane.entities.inbox import BackendFinished
from figlane.entities.outbox import RunOnBackend
from figlane.settings import split_address
from standins.addresses import reserve_addresses

_OK = 200
_WORK_SECONDS = 0.2


class ReplacedServerTest(IsolatedAsyncioTestCase):
    """A backend server that drains while its successor takes new calls."""

    async def asyncSetUp(self) -> None:
        """Start both servers and a client."""
        loop = asyncio.get_running_loop()
        self.finished: list[BackendFinished] = []
        self.disconnects = 0
        self.addresses = reserve_addresses(2)
        for address in self.addresses:
            server = CallbackHttpServer(loop, self)
            await server.start(*split_address(address))
            self.addCleanup(server.close)
        self.client = BackendClient(loop, self._deliver)
        self.addCleanup(self.client.close)

    def on_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        """Respond after a while.

        :param connection: the connection.
        :param request: the request.
        """
        loop = asyncio.get_running_loop()
        loop.call_later(_WORK_SECONDS, connection.respond, _OK, ())

    def on_disconnect(self, connection: ServerConnection) -> None:
        """Count requests whose connection was closed.

        :param connection: the connection.
        """
        self.disconnects += 1

    async def test_running_call_is_answered(self) -> None:
        """Guards against calls cut off by the start of a server's successor."""
        self._run('old', self.addresses[0])
        await asyncio.sleep(_WORK_SECONDS / 2)
        self._run('new', self.addresses[1])
        async with asyncio.timeout(5):
            while len(self.finished) < 2:
                await asyncio.sleep(0.01)
        for row in self.finished:
            self.assertIsInstance(row.outcome, Answer)
        self.assertEqual(self.disconnects, 0)

    async def test_close_ends_all_requests(self) -> None:
        """A client that closes leaves no request open at either server."""
        self._run('old', self.addresses[0])
        self._run('new', self.addresses[1])
        await asyncio.sleep(_WORK_SECONDS / 2)
        self.client.close()
        async with asyncio.timeout(5):
            while self.disconnects < 2:
                await asyncio.sleep(0.01)

    def _run(self, execution_id: str, address: str) -> None:
        request = Request('GET', '/', ())
        row = RunOnBackend(
            execution_id, 'i', 1, address, 4, request, 1, '', '', ''
        )
        self.client.run(row)

    def _deliver(self, row: Any) -> None:
        self.finished.append(row)

"""Stop of an HTTP server on the event loop of the node processes."""

from __future__ import annotations

import asyncio
import socket
import time
from unittest import TestCase

import uvloop

from figlane.adapters.http_callback_server import CallbackHttpServer
from figlane.settings import split_address
from standins.addresses import reserve_addresses
from tests.adapters.empty_answers import EmptyAnswers

_CONNECTIONS = 20
# Time for which the event loop is blocked, in seconds.
_LATE_SECONDS = 0.1
# Time within which a connection is accepted and read, in seconds.
_READ_SECONDS = 0.05
_ANSWER_BYTES = 1000
_REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


class ServerStopTest(TestCase):
    """Callers that connect while the server stops."""

    def test_late_stop_answers_waiting_connections(self) -> None:
        """Guards against a reset of connections whose request has arrived.

        The loop is late, so that the end of the stop is due before they are
        accepted.
        """
        uvloop.run(self._stop_late(1))

    def test_overdue_stop_answers_waiting_connections(self) -> None:
        """Guards against a reset of what has arrived when the time is over."""
        uvloop.run(self._stop_late(_LATE_SECONDS / 2, _REQUEST[:1]))

    async def _stop_late(self, seconds: float, received: bytes = b'') -> None:
        loop = asyncio.get_running_loop()
        server = CallbackHttpServer(loop, EmptyAnswers())
        address = split_address(reserve_addresses(1)[0])
        await server.start(*address)
        earlier = self.enterContext(socket.create_connection(address))
        earlier.sendall(received)
        await asyncio.sleep(_READ_SECONDS)
        server.start_closing()
        stopping = asyncio.create_task(server.stop(seconds))
        await asyncio.sleep(0)
        connections = [
            self.enterContext(socket.create_connection(address))
            for _ in range(_CONNECTIONS)
        ]
        for connection in connections:
            connection.sendall(_REQUEST)
        time.sleep(_LATE_SECONDS)
        await stopping
        for answered in connections:
            self.assertIn(b' 200 ', answered.recv(_ANSWER_BYTES))

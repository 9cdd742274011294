"""Stop of an HTTP server on the event loop of the node processes."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import socket
import time
from unittest import TestCase

import uvloop

from figlane.adapters.http_callback_server import CallbackHttpServer
from figlane.adapters.http_connection import ServerConnection
from figlane.adapters.request_reader import HttpRequest
from figlane.settings import split_address
from standins.addresses import reserve_addresses
from tests.adapters.empty_answers import EmptyAnswers

_CONNECTIONS = 20
# Time for which the event loop is blocked, in seconds.
_LATE_SECONDS = 0.1
# Time within which a connection is accepted and read, in seconds.
_READ_SECONDS = 0.05
# Time between two attempts to connect, in seconds.
_POLL_SECONDS = 0.005
# Longest wait for an answer, in seconds.
_WAIT_SECONDS = 1
# Connections that wait at the end of a stop, the time that each one takes, and
# the part of a grace period that is left for the end of a process, in seconds.
_CROWD = 400
_HANDLING_SECONDS = 0.002
_END_SECONDS = 0.45
_ANSWER_BYTES = 1000
_REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


class SlowAnswers(EmptyAnswers):
    """Handler that takes time for each request."""

    def on_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        """Answer a request.

        :param connection: the connection.
        :param request: the request.
        """
        time.sleep(_HANDLING_SECONDS)
        super().on_request(connection, request)


async def wait_until_refused(address: tuple[str, int]) -> None:
    """Wait until nothing listens on an address.

    :param address: host and port.
    """
    with contextlib.suppress(ConnectionRefusedError):
        while True:
            socket.create_connection(address).close()
            await asyncio.sleep(_POLL_SECONDS)


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

    def test_connection_queued_at_close_is_answered(self) -> None:
        """Guards against a reset of what waits as the listening socket closes.

        A caller connects in each iteration of the event loop.
        """
        uvloop.run(self._connect_until_closed())

    def test_request_after_the_close_is_answered(self) -> None:
        """Guards against a reset of requests on connections that are open."""
        uvloop.run(self._send_after_close())

    def test_crowd_at_the_close_delays_no_end(self) -> None:
        """Guards against a process that is killed after its grace period."""
        uvloop.run(self._stop_in_a_crowd())

    def test_close_without_free_descriptors(self) -> None:
        """Guards against a stop that fails where no socket can be copied."""
        uvloop.run(self._stop_without_descriptors())

    async def _stop_in_a_crowd(self) -> None:
        loop = asyncio.get_running_loop()
        server = CallbackHttpServer(loop, SlowAnswers())
        address = split_address(reserve_addresses(1)[0])
        await server.start(*address)
        for _ in range(_CROWD):
            connection = socket.create_connection(address)
            self.enterContext(connection).sendall(_REQUEST)
        server.start_closing()
        began_at = loop.time()
        await server.stop(0)
        self.assertLess(loop.time() - began_at, _END_SECONDS)

    async def _stop_without_descriptors(self) -> None:
        server = CallbackHttpServer(asyncio.get_running_loop(), EmptyAnswers())
        address = split_address(reserve_addresses(1)[0])
        await server.start(*address)
        kept = self.enterContext(
            socket.create_connection(address, _WAIT_SECONDS)
        )
        await asyncio.sleep(_READ_SECONDS)
        kept.sendall(_REQUEST)
        server.start_closing()
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        first_free = os.dup(kept.fileno())
        os.close(first_free)
        resource.setrlimit(resource.RLIMIT_NOFILE, (first_free, limits[1]))
        try:
            await server.stop(0)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        self.assertIn(b' 200 ', kept.recv(_ANSWER_BYTES))

    async def _connect_until_closed(self) -> None:
        loop = asyncio.get_running_loop()
        server = CallbackHttpServer(loop, EmptyAnswers())
        address = split_address(reserve_addresses(1)[0])
        await server.start(*address)
        connections: list[socket.socket] = []

        def connect() -> None:
            with contextlib.suppress(ConnectionRefusedError):
                connection = socket.create_connection(address, _WAIT_SECONDS)
                connections.append(self.enterContext(connection))
                connection.sendall(_REQUEST)
                loop.call_soon(connect)

        connect()
        server.start_closing()
        await server.stop(0)
        self.assertTrue(connections)
        for answered in connections:
            self.assertIn(b' 200 ', answered.recv(_ANSWER_BYTES))

    async def _send_after_close(self) -> None:
        server = CallbackHttpServer(asyncio.get_running_loop(), EmptyAnswers())
        address = split_address(reserve_addresses(1)[0])
        await server.start(*address)
        kept = self.enterContext(
            socket.create_connection(address, _WAIT_SECONDS)
        )
        await asyncio.sleep(_READ_SECONDS)
        server.start_closing()
        stopping = asyncio.create_task(server.stop(1))
        await wait_until_refused(address)
        kept.sendall(_REQUEST)
        await stopping
        self.assertIn(b'connection: close', kept.recv(_ANSWER_BYTES))

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

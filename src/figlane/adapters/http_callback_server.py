"""HTTP/1.1 server on httptools that uses callbacks instead of tasks.

blacksheep and uvicorn allocate a task, an ASGI scope and two queues for each
request; a connection of this server only parses the request and invokes a
callback. docs/PLATFORM.md has the figures.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterable

from figlane.adapters.http_connection import (
    CutOffRequest,
    ReportCutOff,
    RequestHandler,
    ServerConnection,
    ServerState,
)
from figlane.entities.cut_off import CutOffReason

_BACKLOG = 2048
# Interval at which a server that stops looks for open requests, in seconds.
_STOP_CHECK_SECONDS = 0.02
# Iterations of an event loop within which a connection that waits is accepted
# and its first bytes are read.
_READ_ITERATIONS = 5
# Time for which a server that has closed its listening socket still answers, in
# seconds.
_LAST_READ_SECONDS = 0.1


def _ignore_cut_off(row: CutOffRequest) -> None:
    """Report nothing, for servers whose requests need no log line."""


def _refuse_nothing() -> None:
    """Change nothing, for servers that answer until they are closed."""


def _copies(listeners: Iterable[socket.socket]) -> list[socket.socket]:
    # Without a free descriptor, the connections that wait are reset.
    with contextlib.suppress(OSError):
        return [listener.dup() for listener in listeners]
    return []


def _accept_all(listener: socket.socket) -> list[socket.socket]:
    accepted = []
    with listener, contextlib.suppress(OSError):
        for connection, _ in iter(listener.accept, None):
            accepted.append(connection)
    return accepted


class CallbackHttpServer:
    """HTTP server: a listening socket and its connections."""

    __slots__ = ('_server', '_stops_by', 'state')

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handler: RequestHandler,
        report_cut_off: ReportCutOff = _ignore_cut_off,
    ) -> None:
        """Create a server that does not listen yet.

        :param loop: the event loop.
        :param handler: handles the requests.
        :param report_cut_off: receives each request that is cut off.
        """
        self.state = ServerState(loop, handler, report_cut_off)
        self._server: asyncio.Server | None = None
        self._stops_by: float = 0

    async def start(self, host: str, port: int) -> None:
        """Listen on an address.

        :param host: IP address.
        :param port: TCP port.
        """
        self._server = await self.state.loop.create_server(
            self._new_connection,
            host,
            port,
            backlog=_BACKLOG,
            reuse_address=True,
        )

    def start_closing(self) -> None:
        """Close each connection after the response to what it has received.

        Idle connections stay open until they are used or time out.
        """
        self.state.is_closing = True

    async def stop(
        self,
        seconds: float,
        start_refusing: Callable[[], None] = _refuse_nothing,
    ) -> None:
        """Answer the requests that have arrived, then close the server.

        Connections that wait to be accepted are accepted first. For a short
        time after that, requests on open connections are still answered.

        :param seconds: the longest wait for open requests, in seconds.
        :param start_refusing: called before the listening socket closes; the
            handler refuses requests from then on.
        """
        loop = self.state.loop
        self._stops_by = loop.time() + seconds
        await self._become_idle()
        start_refusing()
        ends_by = loop.time() + _LAST_READ_SECONDS
        await self._stop_listening(ends_by)
        await self._answer_last(ends_by)
        for connection in self.state.connections:
            connection.report_cut_off(CutOffReason.PROCESS_ENDS)
        self.close()

    def shorten_stop(self, seconds: float) -> None:
        """Shorten the wait of a stop that may already have begun.

        :param seconds: the longest wait for open requests from now on.
        """
        self._stops_by = min(self._stops_by, self.state.loop.time() + seconds)

    def close(self) -> None:
        """Stop listening and close all idle connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.state.connections):
            connection.close_if_idle()

    def _new_connection(self) -> ServerConnection:
        return ServerConnection(self.state)

    async def _become_idle(self) -> None:
        while self.state.loop.time() < self._stops_by:
            await asyncio.sleep(_STOP_CHECK_SECONDS)
            if not (await self._reads_more() or self._is_busy()):
                return

    async def _stop_listening(self, ends_by: float) -> None:
        if self._server is None:
            return
        # The kernel resets what waits when the last copy of a socket closes.
        listeners = _copies(self._server.sockets)
        self._server.close()
        accepted = [row for each in listeners for row in _accept_all(each)]
        for connection in accepted:
            if self.state.loop.time() >= ends_by:
                connection.close()
                continue
            await self.state.loop.connect_accepted_socket(
                self._new_connection, connection
            )

    async def _answer_last(self, ends_by: float) -> None:
        while await self._reads_more() or self.state.connections:
            if self.state.loop.time() >= ends_by:
                return
            await asyncio.sleep(_STOP_CHECK_SECONDS)

    async def _reads_more(self) -> bool:
        # A timer may run before the event loop reads what has arrived.
        reads = self.state.reads
        for _ in range(_READ_ITERATIONS):
            await asyncio.sleep(0)
        return self.state.reads != reads

    def _is_busy(self) -> bool:
        return any(connection.is_busy for connection in self.state.connections)

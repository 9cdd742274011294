"""Runs a blacksheep application under uvicorn in the running event loop."""

from __future__ import annotations

import contextlib
import functools
import socket
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import uvicorn
from blacksheep import Application

from figlane.adapters.http_protocol import CallerProtocol, ReportCutOff
from figlane.entities.cut_off import CutOffReason, RequestCutOff
from figlane.settings import split_address

_BACKLOG = 2048
_KEEP_ALIVE_SECONDS = 75


Handler = Callable[..., Awaitable[Any]]


def as_handler(method: Handler) -> Handler:
    """Wrap a bound method, on which blacksheep cannot set attributes.

    :param method: coroutine method that handles requests.
    :return: function with the method's signature.
    """

    @functools.wraps(method)
    async def handle(*arguments: Any, **named: Any) -> Any:
        return await method(*arguments, **named)

    return handle


def _ignore_cut_off(row: RequestCutOff) -> None:
    """Report nothing, for servers whose requests need no log line."""


class _Server(uvicorn.Server):
    """uvicorn server without signal handlers; the process installs its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signal handling unchanged.

        :return: empty context.
        """
        yield


class HttpServer:
    """Listening socket and the uvicorn server on it."""

    __slots__ = ('_server', '_socket', 'address')

    def __init__(
        self,
        application: Application,
        address: str,
        grace_seconds: int | None = None,
        report_cut_off: ReportCutOff = _ignore_cut_off,
    ) -> None:
        """Bind the socket.

        :param application: application that handles the requests.
        :param address: ``host:port`` to bind; port 0 selects a free port.
        :param grace_seconds: maximum wait for open requests on a stop; None
            waits without a limit.
        :param report_cut_off: receives each request that is cut off.
        """
        self._socket = socket.create_server(
            split_address(address),
            backlog=_BACKLOG,
        )
        host, port = self._socket.getsockname()
        self.address = f'{host}:{port}'
        config = uvicorn.Config(
            application,
            access_log=False,
            http=functools.partial(CallerProtocol, report_cut_off),
            lifespan='on',
            log_config=None,
            loop='none',
            timeout_keep_alive=_KEEP_ALIVE_SECONDS,
            server_header=False,
            proxy_headers=False,
            date_header=False,
            ws='none',
            timeout_graceful_shutdown=grace_seconds,
        )
        self._server = _Server(config)

    async def run(self) -> None:
        """Serve requests until ``stop`` or ``stop_now`` is called."""
        await self._server.serve(sockets=[self._socket])
        for connection in tuple(self._server.server_state.connections):
            connection.report_cut_off(CutOffReason.PROCESS_ENDS)
            connection.transport.abort()
        if self._server.force_exit:
            # uvicorn leaves this out.
            await self._server.lifespan.shutdown()

    def stop(self) -> None:
        """Stop accepting connections and shut down after the open requests."""
        self._server.should_exit = True

    def stop_now(self) -> None:
        """Shut down without waiting for the open requests."""
        self._server.should_exit = True
        self._server.force_exit = True

"""HTTP side of a graceful shutdown: drain request and connection closing."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from blacksheep import Application, Content, Request, Response

from figlane.adapters.http_protocol import SCOPE_KEY
from figlane.adapters.http_server import as_handler
from figlane.entities.node_drain import DrainRequested, NodeDraining

_OK = 200


class HttpDrain:
    """Drain endpoint, and ``connection: close`` on a draining node."""

    __slots__ = ('_deliver', '_is_draining', '_seconds')

    def __init__(
        self,
        entry: Application,
        admin: Application,
        seconds: float,
        deliver: Callable[[Any], None],
    ) -> None:
        """Add the drain route and the response middleware.

        :param entry: application that serves the callers.
        :param admin: application that serves the admin interface.
        :param seconds: maximum time to wait for work in progress.
        :param deliver: receives the inbox row of the drain request.
        """
        self._deliver = deliver
        self._seconds = seconds
        self._is_draining = False
        admin.router.add_put('/drain', as_handler(self.drain))
        entry.middlewares.append(as_handler(self.add_close_header))

    async def drain(self) -> Response:
        """Start draining the node without ending its process.

        :return: 200 immediately; the node's state shows the progress.
        """
        self.request_shutdown(0, stops_process=False)
        body = msgspec.json.encode({'drain_seconds': self._seconds})
        return Response(_OK, None, Content(b'application/json', body))

    def request_shutdown(
        self, late_seconds: float, *, stops_process: bool
    ) -> None:
        """Deliver a request for a graceful shutdown to the inbox.

        :param late_seconds: the part of the drain's time that may be over.
        :param stops_process: whether the process exits after the drain.
        """
        seconds = max(0, self._seconds - late_seconds)
        self._deliver(DrainRequested(seconds, stops_process))

    def start_closing(self, row: NodeDraining) -> None:
        """Close each connection after the response to what it has received.

        :param row: notice that the node is draining.
        """
        self._is_draining = True

    async def add_close_header(
        self,
        request: Request,
        handler: Callable[[Request], Awaitable[Response]],
    ) -> Response:
        """Add ``connection: close`` to the responses of a draining node.

        Requests that were received behind this one are answered first.

        :param request: the request.
        :param handler: next handler of the middleware chain.
        :return: the handler's response.
        """
        response = await handler(request)
        if self._is_draining and not request.scope[SCOPE_KEY].pipeline:
            response.headers.add(b'connection', b'close')
        return response

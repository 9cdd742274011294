"""HTTP side of a planned stop: its request and the end of connections."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from blacksheep import Application, Content, Request, Response

from figlane.adapters.http_server import as_handler
from figlane.entities.node_drain import DrainRequested, NodeDraining

_OK = 200


class HttpLeaving:
    """Asks callers of a leaving node to close their connections."""

    __slots__ = ('_deliver', '_is_leaving', '_seconds')

    def __init__(
        self,
        entry: Application,
        admin: Application,
        seconds: float,
        deliver: Callable[[Any], None],
    ) -> None:
        """Add the route and the header.

        :param entry: the callers' application.
        :param admin: the operators' application.
        :param seconds: bound of the wait for present work.
        :param deliver: takes the request.
        """
        self._deliver = deliver
        self._seconds = seconds
        self._is_leaving = False
        admin.router.add_put('/drain', as_handler(self.drain))
        entry.middlewares.append(as_handler(self.mark))

    async def drain(self) -> Response:
        """Begin to leave without ending the process.

        :return: 200 at once; the node's state shows the progress.
        """
        self.leave(exits=False)
        body = msgspec.json.encode({'drain_seconds': self._seconds})
        return Response(_OK, None, Content(b'application/json', body))

    def leave(self, *, exits: bool) -> None:
        """Ask the systems for a planned stop.

        :param exits: whether the process ends.
        """
        self._deliver(DrainRequested(self._seconds, exits))

    def begin(self, row: NodeDraining) -> None:
        """Close connections from the next answer on.

        :param row: the order.
        """
        self._is_leaving = True

    async def mark(
        self,
        request: Request,
        handler: Callable[[Request], Awaitable[Response]],
    ) -> Response:
        """Add ``connection: close`` to the answers of a leaving node.

        :param request: the request.
        :param handler: serves it.
        :return: the answer.
        """
        response = await handler(request)
        if self._is_leaving:
            response.headers.add(b'connection', b'close')
        return response

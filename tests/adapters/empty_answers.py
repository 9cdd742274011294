"""Handler for tests of HTTP servers whose answers do not matter."""

from __future__ import annotations

import asyncio

from figlane.adapters.http_connection import ServerConnection
from figlane.adapters.request_reader import HttpRequest

_OK = 200


class EmptyAnswers:
    """Handler that answers each request at once."""

    def on_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        """Answer a request.

        :param connection: the connection.
        :param request: the request.
        """
        loop = asyncio.get_running_loop()
        loop.call_soon(connection.respond, _OK, ())

    def on_disconnect(self, connection: ServerConnection) -> None:
        """Ignore a caller that disconnects.

        :param connection: the connection.
        """

"""Serves an application and prints its address to standard output."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import uvloop
from blacksheep import Application, Content, Response

from figlane.adapters.http_server import HttpServer

# Seconds that open requests may take to finish after a signal to stop.
_GRACE_SECONDS = 1

Background = Callable[[str], Coroutine[Any, Any, None]]


def json_response(status: int, content: Any) -> Response:
    """Build a JSON response.

    :param status: HTTP status code.
    :param content: a value that is serialisable as JSON.
    :return: the response.
    """
    body = json.dumps(content).encode()
    return Response(status, None, Content(b'application/json', body))


def serve(
    application: Application,
    address: str,
    background: Background | None = None,
) -> None:
    """Serve until SIGTERM or SIGINT.

    :param application: the application.
    :param address: ``host:port`` to bind; port 0 takes any free port.
    :param background: a coroutine function that runs while the server does;
        it gets the bound address and is cancelled at the end.
    """
    server = HttpServer(application, address, _GRACE_SECONDS)
    uvloop.run(_serve(server, background))


async def _serve(
    server: HttpServer,
    background: Background | None,
) -> None:
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, server.stop)
    sys.stdout.write(f'{json.dumps({"address": server.address})}\n')
    sys.stdout.flush()
    if background is None:
        await server.run()
        return
    task = loop.create_task(background(server.address))
    await server.run()
    task.cancel()

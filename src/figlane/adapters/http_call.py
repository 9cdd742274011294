"""Coroutine interface to the callback-based HTTP client."""

from __future__ import annotations

import asyncio

from figlane.adapters.http_client import HttpPool
from figlane.adapters.http_exchange import HttpFailure, HttpOutcome
from figlane.entities.http import Answer, Request


async def call(
    pool: HttpPool,
    request: Request,
    seconds: float,
) -> Answer | HttpFailure:
    """Send a request and await its response.

    :param pool: connection pool of the server.
    :param request: the request.
    :param seconds: time-out, after which the request is aborted.
    :return: the complete response, or the failure.
    """
    loop = asyncio.get_running_loop()
    waiter: asyncio.Future[HttpOutcome] = loop.create_future()

    def finish(outcome: HttpOutcome) -> None:
        if not waiter.done():
            waiter.set_result(outcome)

    exchange = pool.request(request, finish)
    try:
        outcome = await asyncio.wait_for(waiter, seconds)
    except TimeoutError:
        exchange.cancel()
        return HttpFailure('timeout', was_sent=True)
    except asyncio.CancelledError:
        exchange.cancel()
        raise
    if isinstance(outcome, Answer | HttpFailure):
        return outcome
    return HttpFailure('incomplete response', was_sent=True)

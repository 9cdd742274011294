"""HTTP client for the admin interface of nodes."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from figlane.adapters.http_client import HttpPool
from figlane.adapters.http_exchange import HttpFailure, HttpOutcome
from figlane.entities.http import Answer, Request

# Time-out of one admin request, in seconds.
REQUEST_TIMEOUT_SECONDS = 3.0


async def call_admin(
    address: str,
    method: str,
    target: str,
    body: bytes = b'',
) -> tuple[int, Any] | HttpFailure:
    """Send one request to a node's admin address and await the response.

    :param address: ``host:port``.
    :param method: HTTP method.
    :param target: path and query string.
    :param body: request body.
    :return: status and decoded JSON (None for an empty body), or the failure.
    """
    loop = asyncio.get_running_loop()
    waiter: asyncio.Future[HttpOutcome] = loop.create_future()
    pool = HttpPool(loop, address, 1)
    pool.request(
        Request(method, target, (), body),
        lambda outcome: waiter.done() or waiter.set_result(outcome),
    )
    try:
        outcome = await asyncio.wait_for(waiter, REQUEST_TIMEOUT_SECONDS)
    except TimeoutError:
        return HttpFailure('timeout', was_sent=True)
    finally:
        pool.close()
    if isinstance(outcome, Answer):
        return _decode(outcome)
    return outcome


def _decode(answer: Answer) -> tuple[int, Any] | HttpFailure:
    if not answer.body:
        return answer.status, None
    try:
        return answer.status, msgspec.json.decode(answer.body)
    except msgspec.DecodeError as error:
        return HttpFailure(f'response body is not JSON: {error}', was_sent=True)

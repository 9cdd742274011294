"""Sends generated requests over pooled HTTP connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from figlane.adapters.headers import AUTHORIZATION_HEADER, OUTCOME_HEADER
from figlane.adapters.http_client import HttpPool
from figlane.adapters.http_exchange import HttpOutcome
from figlane.clock import current_time
from figlane.entities.http import Answer, Request
from figlane.errors import ExecutionStatus
from figlane.load.source import (
    LoadRequest,
    RequestEnded,
    SendRequest,
    Verdict,
)
from figlane.load.world import LoadWorld

_MAX_CONNECTIONS_PER_TARGET = 2000
_US_PER_SECOND = 1_000_000
_MIN_ERROR_STATUS = 400
_BODY = b'{"by": "load"}'


class LoadSender:
    """Sends requests over one connection pool per target."""

    __slots__ = ('_deliver', '_loop', '_pool_by_target', '_world')

    def __init__(
        self,
        world: LoadWorld,
        loop: asyncio.AbstractEventLoop,
        deliver: Callable[[RequestEnded], None],
    ) -> None:
        """Create a sender without opening connections.

        :param world: records the lateness of each first attempt.
        :param loop: the event loop.
        :param deliver: callback for the outcome of each request.
        """
        self._world = world
        self._loop = loop
        self._deliver = deliver
        self._pool_by_target: dict[str, HttpPool] = {}

    def send(self, row: SendRequest) -> None:
        """Send a request; its outcome is delivered through the callback.

        :param row: outbox row with the request.
        """
        request = row.request
        if not request.retry_count:
            delay = current_time() - request.intended_at
            self._world.lateness.record_value(
                max(1, int(delay * _US_PER_SECOND)),
            )
        pool = self._pool_by_target.get(request.target)
        if pool is None:
            pool = HttpPool(
                self._loop, request.target, _MAX_CONNECTIONS_PER_TARGET
            )
            self._pool_by_target[request.target] = pool
        pool.request(
            _to_http(request),
            lambda outcome: self._deliver(_to_request_ended(request, outcome)),
        )

    def close(self) -> None:
        """Close the connections to all targets."""
        for pool in self._pool_by_target.values():
            pool.close()


def _to_http(request: LoadRequest) -> Request:
    source = request.source
    separator = '&' if '?' in source.path else '?'
    headers = ()
    if source.key:
        headers = ((AUTHORIZATION_HEADER, f'Bearer {source.key}'.encode()),)
    return Request(
        source.method,
        f'{source.path}{separator}token={request.token}',
        headers,
        b'' if source.method == 'GET' else _BODY,
    )


def _to_request_ended(
    request: LoadRequest, outcome: HttpOutcome
) -> RequestEnded:
    verdict = Verdict.FAILED
    kind = 'connection'
    if isinstance(outcome, Answer):
        verdict, kind = _classify(request, outcome)
    return RequestEnded(request.id, current_time(), verdict, kind)


def _classify(request: LoadRequest, answer: Answer) -> tuple[Verdict, str]:
    outcome = dict(answer.headers).get(OUTCOME_HEADER, b'').decode()
    if outcome:
        kind = str(msgspec.json.decode(answer.body).get('kind', ''))
        if outcome == ExecutionStatus.NOT_RUN.value:
            return Verdict.NOT_RUN, kind
        return Verdict.UNKNOWN, kind
    if answer.status >= _MIN_ERROR_STATUS:
        return Verdict.FAILED, f'status-{answer.status}'
    if f'"token": "{request.token}"'.encode() not in answer.body:
        return Verdict.FAILED, 'answer-of-another-request'
    return Verdict.SUCCESS, ''

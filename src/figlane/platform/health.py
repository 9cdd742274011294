"""Sends health checks to backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from figlane.adapters.http_call import call
from figlane.adapters.http_client import HttpPool
from figlane.adapters.http_exchange import HttpFailure
from figlane.entities.http import Answer, Request
from figlane.entities.inbox import BackendChecked
from figlane.entities.outbox import CheckBackend
from figlane.platform import headers as names
from figlane.platform.backend import read_server_notice
from figlane.platform.quantities import parse_milliseconds

_OK = 200
# Shorter than the usual 1.5 s between two announcements: an answer that
# arrives after the next announcement adds nothing to it.
_TIMEOUT_SECONDS = 1.0


class HealthChecker:
    """Executes the health checks that are requested in the outbox."""

    __slots__ = ('_deliver', '_loop', '_tasks')

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deliver: Callable[[Any], None],
    ) -> None:
        """Create a checker without pending checks.

        :param loop: the event loop.
        :param deliver: receives the result of each check.
        """
        self._loop = loop
        self._deliver = deliver
        self._tasks: set[asyncio.Task[None]] = set()

    def check(self, row: CheckBackend) -> None:
        """Start a health check.

        :param row: the backend server and the path of its check.
        """
        task = self._loop.create_task(self._check(row))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel all pending checks."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _check(self, row: CheckBackend) -> None:
        pool = HttpPool(self._loop, row.address, 1)
        try:
            outcome = await call(
                pool,
                Request('GET', row.path, ()),
                _TIMEOUT_SECONDS,
            )
        finally:
            pool.close()
        self._deliver(_interpret_answer(row, outcome))


def _interpret_answer(
    row: CheckBackend,
    outcome: Answer | HttpFailure,
) -> BackendChecked:
    checked = BackendChecked(row.instance_id, row.born, is_healthy=None)
    if not isinstance(outcome, Answer):
        return checked
    if names.find_value(outcome.headers, names.NOT_EXECUTED):
        return checked
    answered_id = names.find_value(outcome.headers, names.INSTANCE_ID)
    is_this_server = answered_id == row.instance_id.encode()
    checked.is_healthy = outcome.status == _OK and is_this_server
    if is_this_server:
        cold_ms = names.find_value(outcome.headers, names.COLD_MS)
        checked.cold_seconds = parse_milliseconds(cold_ms)
        checked.notice = read_server_notice(outcome.headers)
    return checked

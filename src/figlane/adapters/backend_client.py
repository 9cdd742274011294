"""HTTP client that runs executions on the local backend server."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from typing import Any

from figlane.adapters.backend_dialect import BackendDialect, NativeDialect
from figlane.adapters.hop_by_hop import end_to_end_headers
from figlane.adapters.http_client import HttpPool
from figlane.adapters.http_exchange import (
    AttemptKey,
    Exchange,
    HttpFailure,
    HttpOutcome,
    HttpStreamEnd,
    ResponseHead,
)
from figlane.entities.http import Answer, Headers
from figlane.entities.inbox import (
    BackendChunk,
    BackendFinished,
    BackendStreamEnded,
    BackendStreamStarted,
)
from figlane.entities.outbox import (
    CancelOnBackend,
    PauseBackend,
    ResumeBackend,
    RunOnBackend,
)
from figlane.entities.server_notice import BackendNoticed, ServerNotice
from figlane.errors import ErrorKind, Refusal

_NO_NOTICE = ServerNotice()

Deliver = Callable[[Any], None]


class _StreamRelay:
    """Delivers a streamed response as inbox rows."""

    __slots__ = ('_client', '_deliver', '_row')

    def __init__(
        self, row: RunOnBackend, client: BackendClient, deliver: Deliver
    ) -> None:
        self._row = row
        self._client = client
        self._deliver = deliver

    def on_head(self, head: ResponseHead) -> None:
        self._client.deliver_notice(self._row, head.status, head.headers)
        self._deliver(
            BackendStreamStarted(
                self._row.execution_id,
                self._row.attempt,
                head.status,
                end_to_end_headers(head.headers),
            ),
        )

    def on_chunk(self, chunk: bytes) -> None:
        self._deliver(
            BackendChunk(self._row.execution_id, self._row.attempt, chunk),
        )


class BackendClient:
    """Connection pool and in-flight requests of the backend server."""

    __slots__ = (
        '_deliver',
        '_dialect',
        '_exchange_by_id',
        '_loop',
        '_notice_by_server',
        '_pool_by_address',
        '_retired_pools',
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        deliver: Deliver,
        dialect: BackendDialect | None = None,
    ) -> None:
        """Create a client; connections are opened on demand.

        :param loop: the event loop.
        :param deliver: receives the inbox rows of responses and failures.
        :param dialect: header mapping for the backend server's protocol;
            defaults to figlane's own headers.
        """
        self._dialect = dialect or NativeDialect()
        self._loop = loop
        self._deliver = deliver
        self._pool_by_address: dict[str, HttpPool] = {}
        self._retired_pools: list[HttpPool] = []
        self._exchange_by_id: dict[str, Exchange] = {}
        self._notice_by_server: dict[str, ServerNotice] = {}

    def run(self, row: RunOnBackend) -> None:
        """Send an execution's request to its backend server.

        A new backend address replaces the pool of the previous one, on which
        the server at that address may finish what it runs.

        :param row: the request and the backend server's address.
        """
        pool = self._pool_by_address.get(row.address)
        if pool is None:
            self._retire_pools()
            self._notice_by_server.clear()
            pool = HttpPool(self._loop, row.address, row.connections)
            self._pool_by_address[row.address] = pool
        exchange = pool.request(
            self._dialect.encode(row),
            lambda outcome: self._deliver_outcome(row, outcome),
            _StreamRelay(row, self, self._deliver),
            functools.partial(self._dialect.is_response_to, row),
            AttemptKey(self._dialect.response_id(row), row.timeout),
        )
        if not exchange.is_done:
            self._exchange_by_id[row.execution_id] = exchange

    def cancel(self, row: CancelOnBackend) -> None:
        """Abort an in-flight request by closing its connection.

        :param row: identifies the execution.
        """
        exchange = self._exchange_by_id.pop(row.execution_id, None)
        if exchange is not None:
            exchange.cancel()

    def pause(self, row: PauseBackend) -> None:
        """Pause reading a response, so that TCP flow control applies.

        :param row: identifies the execution.
        """
        exchange = self._exchange_by_id.get(row.execution_id)
        if exchange is not None:
            exchange.pause()

    def resume(self, row: ResumeBackend) -> None:
        """Resume reading a paused response.

        :param row: identifies the execution.
        """
        exchange = self._exchange_by_id.get(row.execution_id)
        if exchange is not None:
            exchange.resume()

    def deliver_notice(
        self, row: RunOnBackend, status: int, headers: Headers
    ) -> None:
        """Deliver what a response says of its server.

        Servers that have never said anything need no inbox row.

        :param row: the execution.
        :param status: the response status.
        :param headers: the response headers.
        """
        notice = self._dialect.read_notice(status, headers)
        server_id = row.backend_server_id
        if notice is None:
            return
        if notice == _NO_NOTICE and server_id not in self._notice_by_server:
            return
        self._notice_by_server[server_id] = notice
        self._deliver(BackendNoticed(row.execution_id, notice))

    def close(self) -> None:
        """Close all connections."""
        self._retire_pools()
        for pool in self._retired_pools:
            pool.close()

    def _retire_pools(self) -> None:
        for pool in self._pool_by_address.values():
            pool.retire()
            self._retired_pools.append(pool)
        self._pool_by_address.clear()
        self._retired_pools = [
            retired for retired in self._retired_pools if not retired.is_empty
        ]

    def _deliver_outcome(self, row: RunOnBackend, outcome: HttpOutcome) -> None:
        self._exchange_by_id.pop(row.execution_id, None)
        if isinstance(outcome, HttpStreamEnd):
            self._deliver(
                BackendStreamEnded(
                    row.execution_id,
                    row.attempt,
                    outcome.length,
                    outcome.checksum,
                ),
            )
            return
        if isinstance(outcome, Answer):
            self.deliver_notice(row, outcome.status, outcome.headers)
        if isinstance(outcome, HttpFailure):
            translated = _to_refusal(outcome)
        else:
            translated = self._dialect.decode(row, outcome)
        self._deliver(
            BackendFinished(row.execution_id, row.attempt, translated)
        )


def _to_refusal(failure: HttpFailure) -> Refusal:
    if failure.was_sent:
        return Refusal(ErrorKind.OUTCOME_UNKNOWN, failure.reason)
    return Refusal(ErrorKind.NO_BACKEND_SERVER, failure.reason)

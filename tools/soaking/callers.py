"""Callers beside a node: kept and new connections, retries, slow reading."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from standins.platform_site import (
    CLASSES,
    KEY_BY_ORGANISATION,
    RequestClass,
    SiteVm,
)
from tools.soaking.connections import (
    ClientConnection,
    connect,
    shortest_limit,
)
from tools.soaking.entities import (
    Content,
    History,
    RequestEnd,
    SentRequest,
)
from tools.soaking.processes import NodeSupervisor

_ROOT_CLASSES = tuple(entry for entry in CLASSES if entry.share)
_PROMISES = frozenset((408, 421, 429, 503))
_FINAL_STATUSES = frozenset((200, 400, 401, 404, 413, 431))
_ATTEMPTS = 2
_RETRY_AFTER_SHARE = 3
_RECONNECT_SECONDS = 0.2
# How much more often clinging callers send while their node stops.
_STOP_PAUSE_DIVISOR = 5
_POLL_SECONDS = 0.1


@dataclass(slots=True, frozen=True)
class Manner:
    """How a caller uses connections.

    ``clings``: it goes on sending on an open connection to a node that is out,
    and sends more often while the node stops.
    """

    keeps_connections: bool = True
    clings: bool = False
    reads_slowly: bool = False


# Manners by the caller's position beside its node.
MANNERS = (
    Manner(clings=True),
    Manner(keeps_connections=False),
    Manner(),
    Manner(clings=True),
    Manner(keeps_connections=False),
    Manner(clings=True, reads_slowly=True),
)


class Caller:
    """Sends one request after the other to the node of its VM."""

    def __init__(
        self,
        history: History,
        node: NodeSupervisor,
        gets_work: Callable[[SiteVm], bool],
        manner: Manner,
        source: random.Random,
        name: str,
    ) -> None:
        """Create a caller without a connection.

        :param history: the tables of the run.
        :param node: the node of the caller's VM.
        :param gets_work: tells whether the callers of a VM get new work.
        :param manner: how it uses connections.
        :param source: the source of chance.
        :param name: prefix of its requests' ids.
        """
        self._history = history
        self._node = node
        self._gets_work = gets_work
        self._manner = manner
        self._source = source
        self._name = name
        self._numbers = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        self._connection: ClientConnection | None = None

    async def run(self, ends_at: float, mean_pause: float) -> None:
        """Send requests until a time.

        :param ends_at: when it stops, on the clock of the event loop.
        :param mean_pause: mean time between an answer and the next request.
        """
        while self._loop.time() < ends_at:
            await self._pause(self._source.expovariate(1 / mean_pause))
            while not self._may_send() and self._loop.time() < ends_at:
                await asyncio.sleep(_POLL_SECONDS)
            await self._request(self._draw_class())
        self._close()

    async def _pause(self, seconds: float) -> None:
        left = seconds
        while left > 0:
            step = min(left, _POLL_SECONDS)
            await asyncio.sleep(step)
            if self._manner.clings and self._node.state.is_stopping:
                step *= _STOP_PAUSE_DIVISOR
            left -= step

    def _may_send(self) -> bool:
        connection = self._connection
        if self._manner.clings and connection and connection.is_open:
            return True
        return self._gets_work(self._node.vm)

    def _draw_class(self) -> RequestClass:
        weights = [entry.share for entry in _ROOT_CLASSES]
        return self._source.choices(_ROOT_CLASSES, weights)[0]

    async def _request(self, entry: RequestClass) -> None:
        ends_at = self._loop.time() + entry.deadline
        for _ in range(_ATTEMPTS):
            row = await self._attempt(entry, ends_at - self._loop.time())
            if row is None or not _may_retry(row):
                return
            self._close()
            left = ends_at - self._loop.time()
            pause = row.answer.retry_after if row.answer else 0
            if pause > left / _RETRY_AFTER_SHARE:
                return
            await asyncio.sleep(pause)

    async def _attempt(
        self, entry: RequestClass, deadline: float
    ) -> SentRequest | None:
        if not self._manner.keeps_connections:
            self._close()
        connection = self._connection
        if connection is None or not connection.is_open:
            address = self._node.vm.address('outbound')
            connection = await connect(address, self._manner.reads_slowly)
            self._connection = connection
        process = self._node.state.row
        if connection is None or process is None:
            await asyncio.sleep(_RECONNECT_SECONDS)
            return None
        row = self._new_request(entry, deadline, process.id)
        self._history.requests_by_id[row.id] = row
        await connection.request(row, deadline)
        return row

    def _new_request(
        self, entry: RequestClass, deadline: float, process_id: int
    ) -> SentRequest:
        organisation = self._source.choice(list(KEY_BY_ORGANISATION))
        request_id = f'{self._name}-{next(self._numbers)}'
        content = Content(
            entry.method,
            f'/{entry.name}/{request_id}',
            request_id.encode().ljust(entry.request_bytes, b'x')
            if entry.request_bytes
            else b'',
            self._node.vm.service,
            organisation,
        )
        return SentRequest(
            request_id,
            entry.name,
            entry.is_safe,
            self._node.vm.name,
            process_id,
            content,
            shortest_limit(entry, deadline),
            key=KEY_BY_ORGANISATION[organisation],
        )

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
        self._connection = None


def _may_retry(row: SentRequest) -> bool:
    answer = row.answer
    if row.end is RequestEnd.ANSWERED and answer is not None:
        if answer.status in _FINAL_STATUSES:
            return False
        return row.is_safe or answer.status in _PROMISES
    return row.is_safe or row.end is RequestEnd.NOT_SENT

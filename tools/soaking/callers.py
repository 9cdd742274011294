"""Callers beside a node: kept and new connections, retries, slow reading."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from time import monotonic

from standins.platform_site import (
    CLASS_BY_NAME,
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
    PROMISES,
    Content,
    History,
    RequestEnd,
    SentRequest,
)
from tools.soaking.processes import NodeSupervisor

_ROOT_CLASSES = tuple(entry for entry in CLASSES if entry.share)
_FINAL_STATUSES = frozenset((200, 400, 401, 404, 413, 431))
_ATTEMPTS = 2
_RETRY_AFTER_SHARE = 3
_RECONNECT_SECONDS = 0.2
# How much more often clinging callers send while their node stops.
_STOP_PAUSE_DIVISOR = 5
_POLL_SECONDS = 0.1


@dataclass(slots=True, frozen=True)
class Manner:
    """What a caller asks for, and how it uses connections.

    ``clings``: it goes on sending on an open connection to a node that is out,
    and sends more often while the node stops.
    """

    keeps_connections: bool = True
    clings: bool = False
    reads_slowly: bool = False
    classes: tuple[RequestClass, ...] = _ROOT_CLASSES


# Callers of a burst beside each node.
BURST_CALLERS = 20
BURST = Manner(clings=True, classes=(CLASS_BY_NAME['visit-confirm'],))
# Manners by the caller's position beside its node.
MANNERS = (
    Manner(clings=True),
    Manner(keeps_connections=False),
    Manner(),
    Manner(clings=True),
    Manner(keeps_connections=False),
    Manner(clings=True, reads_slowly=True),
)


@dataclass(slots=True)
class Caller:
    """Sends one request after the other to the node of its VM.

    ``gets_work`` tells whether the callers of a VM get new work; ``name`` is
    the prefix of the requests' ids.
    """

    history: History
    node: NodeSupervisor
    gets_work: Callable[[SiteVm], bool]
    manner: Manner
    source: random.Random
    name: str
    numbers: Iterator[int] = field(default_factory=partial(itertools.count, 1))
    connection: ClientConnection | None = None

    async def run(self, ends_at: float, mean_pause: float) -> None:
        """Send requests until a time.

        :param ends_at: when it stops.
        :param mean_pause: mean time between an answer and the next request.
        """
        while monotonic() < ends_at:
            await self._pause(self.source.expovariate(1 / mean_pause))
            while not self._may_send() and monotonic() < ends_at:
                await asyncio.sleep(_POLL_SECONDS)
            await self._request(self._draw_class())
        self._close()

    async def _pause(self, seconds: float) -> None:
        left = seconds
        while left > 0:
            step = min(left, _POLL_SECONDS)
            await asyncio.sleep(step)
            if self.manner.clings and self.node.state.is_stopping:
                step *= _STOP_PAUSE_DIVISOR
            left -= step

    def _may_send(self) -> bool:
        connection = self.connection
        if self.manner.clings and connection and connection.is_open:
            return True
        return self.gets_work(self.node.vm)

    def _draw_class(self) -> RequestClass:
        classes = self.manner.classes
        weights = [entry.share for entry in classes]
        return self.source.choices(classes, weights)[0]

    async def _request(self, entry: RequestClass) -> None:
        ends_at = monotonic() + entry.deadline
        for _ in range(_ATTEMPTS):
            row = await self._attempt(entry, ends_at - monotonic())
            if row is None or not _may_retry(row):
                return
            self._close()
            left = ends_at - monotonic()
            pause = row.answer.retry_after if row.answer else 0
            if pause > left / _RETRY_AFTER_SHARE:
                return
            await asyncio.sleep(pause)

    async def _attempt(
        self, entry: RequestClass, deadline: float
    ) -> SentRequest | None:
        if not self.manner.keeps_connections:
            self._close()
        connection = self.connection
        if connection is None or not connection.is_open:
            address = self.node.vm.address('outbound')
            connection = await connect(address, self.manner.reads_slowly)
            self.connection = connection
        process = self.node.state.row
        if connection is None or process is None:
            await asyncio.sleep(_RECONNECT_SECONDS)
            return None
        row = self._new_request(entry, deadline, process.id)
        self.history.requests_by_id[row.id] = row
        await connection.request(row, deadline)
        return row

    def _new_request(
        self, entry: RequestClass, deadline: float, process_id: int
    ) -> SentRequest:
        organisation = self.source.choice(list(KEY_BY_ORGANISATION))
        request_id = f'{self.name}-{next(self.numbers)}'
        content = Content(
            entry.method,
            f'/{entry.name}/{request_id}',
            request_id.encode().ljust(entry.request_bytes, b'x')
            if entry.request_bytes
            else b'',
            self.node.vm.service,
            organisation,
        )
        return SentRequest(
            request_id,
            entry.name,
            entry.is_safe,
            self.node.vm.name,
            process_id,
            content,
            shortest_limit(entry, deadline),
            key=KEY_BY_ORGANISATION[organisation],
        )

    def _close(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None


def _may_retry(row: SentRequest) -> bool:
    answer = row.answer
    if row.end is RequestEnd.ANSWERED and answer is not None:
        if answer.status in _FINAL_STATUSES:
            return False
        return row.is_safe or answer.status in PROMISES
    return row.is_safe or row.end is RequestEnd.NOT_SENT

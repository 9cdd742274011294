"""Backend servers that record each run, with nested calls."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial
from time import monotonic
from typing import Any

from figlane.adapters.http_callback_server import CallbackHttpServer
from figlane.adapters.http_connection import ServerConnection
from figlane.adapters.request_reader import HttpRequest
from figlane.entities.table import NEVER
from figlane.platform import headers as names
from figlane.settings import split_address
from standins.platform_backend import PlatformBackend
from standins.platform_site import (
    CLASS_BY_NAME,
    COLD_SECONDS,
    HEALTH_PATH,
    SEAL,
    RequestClass,
    draw_size,
)
from tools.soaking.connections import (
    ClientConnection,
    connect,
    format_seal,
    shortest_limit,
)
from tools.soaking.entities import (
    Content,
    History,
    RequestEnd,
    Run,
    RunEnd,
    SentRequest,
)
from tools.soaking.processes import NodeSupervisor

_OK = 200
_FAILED = 500
_TIMED_OUT = 504
_MISDIRECTED = 421
_UNAVAILABLE = 503
_MS_PER_SECOND = 1000
_ANNOUNCE_SECONDS = 1.5
_BODY_SPREAD = 0.6
_MAX_BODY_FACTOR = 6
# Factor of the time of work while a server is cold.
_COLD_FACTOR = 2
# Seconds for which a leaving server waits for its runs.
_LAST_RUNS_SECONDS = 6
_POLL_SECONDS = 0.05


class NestedCallFailed(Exception):
    """A nested call has no successful answer."""


@dataclass(slots=True)
class _OpenRun:
    run: Run
    task: asyncio.Task[None]


@dataclass(slots=True)
class NestedCaller:
    """Sends nested calls to the node of a VM, on connections that it keeps."""

    history: History
    node: NodeSupervisor
    idle: list[ClientConnection] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=partial(itertools.count, 1))

    async def call(self, entry: RequestClass, seconds_left: float) -> bool:
        """Send one nested call.

        :param entry: the class of the call.
        :param seconds_left: what is left to the run that makes it.
        :return: whether it was answered with success.
        """
        deadline = min(entry.deadline, seconds_left)
        request_id = f'n-{self.node.vm.name}-{next(self.numbers)}'
        content = Content(
            entry.method,
            f'/{entry.name}/{request_id}',
            b'',
            self.node.vm.service,
            '',
        )
        connection = self._take() or await connect(
            self.node.vm.address('outbound')
        )
        process = self.node.state.row
        if connection is None or process is None:
            return False
        row = SentRequest(
            request_id,
            entry.name,
            entry.is_safe,
            self.node.vm.name,
            process.id,
            content,
            shortest_limit(entry, deadline),
            is_nested=True,
        )
        self.history.requests_by_id[row.id] = row
        await connection.request(row, deadline)
        if connection.is_open:
            self.idle.append(connection)
        return (
            row.end is RequestEnd.ANSWERED
            and row.answer is not None
            and row.answer.status == _OK
        )

    def _take(self) -> ClientConnection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.is_open:
                return connection
        return None


class BackendServer:
    """Backend server of a VM: runs requests and announces itself."""

    def __init__(
        self,
        history: History,
        node: NodeSupervisor,
        source: random.Random,
        slowdowns: dict[str, float],
    ) -> None:
        """Create a server that does not listen yet.

        :param history: the tables of the run.
        :param node: the node of the server's VM.
        :param source: the source of chance.
        :param slowdowns: present factors of the time of work, by service.
        """
        self._loop = asyncio.get_running_loop()
        self._history = history
        vm = node.vm
        self._vm = vm
        self._source = source
        self._slowdowns = slowdowns
        self._open_by_connection: dict[ServerConnection, _OpenRun] = {}
        self._announcing: asyncio.Task[None] | None = None
        self._cold_until: float = 0
        self._announcer = PlatformBackend(
            self._loop, f'i-{vm.name}', vm.service, vm.address('app')
        )
        self._announcer.slots = vm.slots
        self.nested = NestedCaller(history, node)
        self.server = CallbackHttpServer(self._loop, self)

    async def start(self, *, is_cold: bool) -> None:
        """Start to listen and to announce.

        :param is_cold: it is cold until some seconds after the first
            announcement that is acknowledged.
        """
        self._cold_until = NEVER if is_cold else 0
        await self.server.start(*split_address(self._vm.address('app')))
        self._announcing = self._loop.create_task(self._announce())

    async def leave(self, drain_seconds: float, *, is_abrupt: bool) -> None:
        """Announce that the server leaves, finish the runs and end.

        :param drain_seconds: how long it serves after the acknowledgement.
        :param is_abrupt: withdraw the announcement without a drain before it.
        """
        self._announcer.state = 'draining'
        announce = self._announcer.announce
        if is_abrupt:
            announce = self._announcer.withdraw_announcement
        control = self._vm.address('control')
        for _ in range(_LAST_RUNS_SECONDS):
            if await announce(control) == _OK:
                instance = self._announcer.instance_id
                self._history.left_at_by_instance[instance] = monotonic()
                break
            await asyncio.sleep(1)
        await asyncio.sleep(drain_seconds)
        ends_at = self._loop.time() + _LAST_RUNS_SECONDS
        while self._open_by_connection and self._loop.time() < ends_at:
            await asyncio.sleep(_POLL_SECONDS)
        if not is_abrupt:
            await self._announcer.withdraw_announcement(control)
        self.close()

    def close(self) -> None:
        """End the server and its runs."""
        if self._announcing is not None:
            self._announcing.cancel()
        for connection in list(self._open_by_connection):
            self._end_run(connection, RunEnd.BROKE_OFF)
        self.server.close()

    def on_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        """Answer a health check or a wrong target, or start a run.

        :param connection: the connection.
        :param request: the request.
        """
        instance = self._announcer.instance_id
        instance_header = (names.INSTANCE_ID, instance.encode())
        if request.target == HEALTH_PATH:
            is_ready = self._announcer.state == 'ready'
            left = f'{self._cold_seconds() * _MS_PER_SECOND:.0f}'.encode()
            connection.respond(
                _OK if is_ready else _UNAVAILABLE,
                (instance_header, (names.COLD_MS, left)),
            )
            return
        target = names.find_value(request.headers, names.TARGET_ID).decode()
        if target not in {'', instance}:
            connection.respond(_MISDIRECTED, (instance_header,))
            return
        run = self._new_run(request)
        self._history.add_run(run)
        limit = names.find_value(request.headers, names.DEADLINE_MS)
        seconds = float(limit or _MS_PER_SECOND) / _MS_PER_SECOND
        task = self._loop.create_task(self._run(connection, run, seconds))
        self._open_by_connection[connection] = _OpenRun(run, task)

    def on_disconnect(self, connection: ServerConnection) -> None:
        """End the run whose connection is closed.

        :param connection: the connection.
        """
        self._end_run(connection, RunEnd.CLOSED)

    def _end_run(self, connection: ServerConnection, end: RunEnd) -> None:
        row = self._open_by_connection.pop(connection, None)
        if row is None:
            return
        row.run.end = end
        row.run.ended_at = monotonic()
        row.task.cancel()

    def _new_run(self, request: HttpRequest) -> Run:
        received = request.headers
        return Run(
            len(self._history.runs_by_id) + 1,
            names.find_value(received, names.REQUEST_ID).decode(),
            self._announcer.instance_id,
            self._vm.name,
            self._vm.service,
            Content(
                request.method,
                request.target,
                request.body,
                names.find_value(received, names.CALLER_SERVICE).decode(),
                names.find_value(received, names.ORGANISATION).decode(),
            ),
            monotonic(),
            is_cold=self._cold_seconds() > 0,
        )

    def _slowdown(self) -> float:
        factor = self._vm.speed * self._slowdowns.get(self._vm.service, 1)
        return factor * _COLD_FACTOR if self._cold_seconds() else factor

    def _cold_seconds(self) -> float:
        left = max(0, self._cold_until - monotonic())
        return min(left, COLD_SECONDS)

    async def _run(
        self, connection: ServerConnection, run: Run, seconds: float
    ) -> None:
        body = b''
        try:
            async with asyncio.timeout(seconds):
                body = await self._work(run, self._loop.time() + seconds)
                run.status = _OK
        except TimeoutError:
            run.status = _TIMED_OUT
        except NestedCallFailed:
            run.status = _FAILED
        self._open_by_connection.pop(connection, None)
        run.end = RunEnd.ANSWERED
        run.ended_at = monotonic()
        seal = format_seal(run.request_id, run.status, body)
        headers = ((names.REQUEST_ID, run.request_id.encode()), (SEAL, seal))
        connection.respond(run.status, headers, body)

    async def _work(self, run: Run, ends_at: float) -> bytes:
        route = run.content.path.split('/')[1]
        entry = CLASS_BY_NAME[route]
        source = self._source
        await asyncio.sleep(entry.work.draw(source) * self._slowdown())
        if source.random() < entry.error_share:
            raise NestedCallFailed
        await self._call_nested(entry, ends_at)
        size = draw_size(source, entry.body_bytes, _BODY_SPREAD)
        length = int(min(size, _MAX_BODY_FACTOR * entry.body_bytes))
        return run.request_id.encode().ljust(length, b'.')

    async def _call_nested(self, entry: RequestClass, ends_at: float) -> None:
        calls = entry.calls
        if calls is None:
            return
        nested = CLASS_BY_NAME[calls.class_name]
        width = calls.times if calls.together else 1
        for _ in range(0, calls.times, width):
            seconds_left = max(0, ends_at - self._loop.time())
            outcomes = await asyncio.gather(
                *(self.nested.call(nested, seconds_left) for _ in range(width))
            )
            if not all(outcomes):
                raise NestedCallFailed

    async def _announce(self) -> Any:
        control = self._vm.address('control')
        announcer = self._announcer
        while True:
            if announcer.state == 'ready':
                announcer.set_cold(self._cold_seconds())
                cold_until = monotonic() + COLD_SECONDS
                status = await announcer.announce(control)
                if status == _OK and self._cold_until == NEVER:
                    self._cold_until = cold_until
            await asyncio.sleep(_ANNOUNCE_SECONDS)

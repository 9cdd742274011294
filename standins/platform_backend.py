"""Simulated backend server for ``figlane.platform``, with fault injection."""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from figlane.adapters.http_call import call
from figlane.adapters.http_callback_server import CallbackHttpServer
from figlane.adapters.http_client import HttpPool
from figlane.adapters.http_connection import ServerConnection
from figlane.adapters.request_reader import HttpRequest
from figlane.entities.http import Headers, Request
from figlane.settings import split_address

_OK = 200
_MISDIRECTED = 421
_UNAVAILABLE = 503
_TIME_LIMIT_REACHED = 504
_MS_PER_SECOND = 1000
_DEADLINE_HEADER = b'figlane-deadline-ms'
_REQUEST_ID_HEADER = b'figlane-request-id'
_SEAL_HEADER = b'figlane-response-seal'
HEALTH_PATH = '/health'


@dataclass(slots=True)
class BackendFaults:
    """Faults that the server currently injects.

    ``refuses`` answers 503 with the header that marks a request as not
    executed, ``hangs`` never answers, ``resets`` closes the connection instead
    of answering, ``cuts`` aborts responses in the body,
    ``sends_foreign_answer_first`` sends the response of another request first,
    ``unframed`` sends responses without a length, which end with the
    connection, and ``rejects_first_with_copy`` rejects the first arrival of
    each request and sends a copy of the rejection while it runs the next
    request on the same connection.
    """

    refuses: bool = False
    hangs: bool = False
    resets: bool = False
    cuts: bool = False
    sends_foreign_answer_first: bool = False
    unframed: bool = False
    rejects_first_with_copy: bool = False


@dataclass(slots=True)
class RequestLog:
    """Requests that a backend server has received, and their counts.

    ``disconnect_count`` is the number of connections closed by their caller.
    """

    run_count_by_id: Counter[str] = field(default_factory=Counter)
    requests: list[HttpRequest] = field(default_factory=list)
    running: int = 0
    peak_running: int = 0
    disconnect_count: int = 0


class PlatformBackend:
    """Backend server that answers each request after a fixed delay."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        instance_id: str,
        service: str,
        address: str,
    ) -> None:
        """Create a server that does not listen yet.

        :param loop: the event loop.
        :param instance_id: the server's instance id.
        :param service: the server's service.
        :param address: ``host:port`` to listen at.
        """
        self.instance_id = instance_id
        self.service = service
        self.address = address
        self.slots = 20
        self.processing_seconds = 0.005
        # Draws the time of processing of each request, if it is set.
        self.draw_seconds: Callable[[], float] | None = None
        # Whether a request ends with 504 at the time limit that it carries.
        self.keeps_time_limit = False
        self.body_bytes = 400
        self.state = 'ready'
        self.cold_remaining = '0ms'
        self.cold_ms = b''
        self.notice_headers: tuple[tuple[bytes, bytes], ...] = ()
        self.sequence = 0
        self.born = time.time_ns() // 1_000_000
        self.faults = BackendFaults()
        self.request_log = RequestLog()
        self._loop = loop
        self.server = CallbackHttpServer(loop, self)
        self._rejected_ids: set[str] = set()
        self._copy_by_connection: dict[ServerConnection, bytes] = {}
        self._task_by_connection: dict[
            ServerConnection, asyncio.Task[None]
        ] = {}

    async def start(self) -> None:
        """Start to listen."""
        await self.server.start(*split_address(self.address))

    def on_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        """Answer a health check or refusal at once, or start to execute.

        :param connection: the connection.
        :param request: the request.
        """
        if request.target == HEALTH_PATH:
            is_healthy = self.state == 'ready'
            id_header = (b'figlane-instance-id', self.instance_id.encode())
            headers = [id_header, *self.notice_headers]
            if self.cold_ms:
                headers.append((b'figlane-cold-ms', self.cold_ms))
            status = _OK if is_healthy else _UNAVAILABLE
            connection.respond(status, tuple(headers))
            return
        received = dict(request.headers)
        target = received.get(b'figlane-target-instance', b'').decode()
        if target and target != self.instance_id:
            connection.respond(_MISDIRECTED, ())
            return
        if self.faults.refuses:
            refusal = ((b'figlane-not-executed', b'1'),)
            connection.respond(_UNAVAILABLE, refusal)
            return
        request_id = received.get(_REQUEST_ID_HEADER, b'').decode()
        if self.faults.rejects_first_with_copy:
            connection.write_raw(self._copy_by_connection.pop(connection, b''))
            if request_id not in self._rejected_ids:
                self._reject_with_copy(connection, request_id)
                return
        self.request_log.requests.append(request)
        self.request_log.run_count_by_id[request_id] += 1
        run = self._run(connection, request_id, self._time_limit(received))
        self._task_by_connection[connection] = self._loop.create_task(run)

    def on_disconnect(self, connection: ServerConnection) -> None:
        """Cancel a request whose caller has closed the connection.

        :param connection: the connection.
        """
        self.request_log.disconnect_count += 1
        task = self._task_by_connection.pop(connection, None)
        if task is not None:
            task.cancel()

    def set_cold(self, seconds: float) -> None:
        """Announce that the server is cold for some more seconds.

        :param seconds: the rest of the cold start, 0 for a warm server.
        """
        self.cold_remaining = f'{int(seconds * _MS_PER_SECOND)}ms'

    async def announce(self, control: str) -> int:
        """Send one announcement to the node.

        :param control: ``host:port`` of the node's control interface.
        :return: the response status, 0 if there is no response.
        """
        self.sequence += 1
        body = json.dumps(
            {
                'address': self.address,
                'born': self.born,
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': 'z',
                    'slots': self.slots,
                },
                'status': {
                    'state': self.state,
                    'sequence': self.sequence,
                    'cold_remaining': self.cold_remaining,
                },
            },
        ).encode()
        path = f'/instances/{self.instance_id}'
        request = Request('PUT', path, (), body)
        return await send(self._loop, control, request)

    async def withdraw_announcement(self, control: str) -> int:
        """Withdraw this server's announcement from the node.

        :param control: ``host:port`` of the node's control interface.
        :return: the response status, 0 if there is no response.
        """
        path = f'/instances/{self.instance_id}'
        return await send(self._loop, control, Request('DELETE', path, ()))

    def _reject_with_copy(
        self, connection: ServerConnection, request_id: str
    ) -> None:
        self._rejected_ids.add(request_id)
        headers = (
            (_REQUEST_ID_HEADER, request_id.encode()),
            (b'figlane-not-executed', b'1'),
        )
        lines = [name + b': ' + content for name, content in headers]
        self._copy_by_connection[connection] = b'\r\n'.join(
            (
                b'HTTP/1.1 503 Service Unavailable',
                *lines,
                b'content-length: 0',
                b'',
                b'',
            )
        )
        connection.respond(_UNAVAILABLE, headers)

    def _time_limit(self, received: dict[bytes, bytes]) -> float | None:
        if not self.keeps_time_limit:
            return None
        return int(received[_DEADLINE_HEADER]) / _MS_PER_SECOND

    async def _run(
        self,
        connection: ServerConnection,
        request_id: str,
        time_limit: float | None,
    ) -> None:
        log = self.request_log
        log.running += 1
        log.peak_running = max(log.peak_running, log.running)
        respond = self._respond
        try:
            async with asyncio.timeout(time_limit):
                await self._process()
        except TimeoutError:
            respond = self._respond_time_limit
        finally:
            log.running -= 1
        self._task_by_connection.pop(connection, None)
        respond(connection, request_id)

    async def _process(self) -> None:
        if self.draw_seconds is None:
            await asyncio.sleep(self.processing_seconds)
        else:
            await asyncio.sleep(self.draw_seconds())
        if self.faults.hangs:
            await asyncio.Event().wait()

    def _respond_time_limit(
        self, connection: ServerConnection, request_id: str
    ) -> None:
        connection.respond(_TIME_LIMIT_REACHED, self._headers(request_id))

    def _headers(self, request_id: str) -> Headers:
        return (
            (_REQUEST_ID_HEADER, request_id.encode()),
            (_SEAL_HEADER, f'seal-{request_id}'.encode()),
            *self.notice_headers,
        )

    def _respond(self, connection: ServerConnection, request_id: str) -> None:
        body = request_id.encode().ljust(self.body_bytes, b'.')
        headers = self._headers(request_id)
        if self.faults.resets:
            connection.abort_response()
        elif self.faults.cuts:
            connection.begin_chunks(_OK, headers)
            connection.send_chunk(body[:10])
            self._loop.call_later(0.01, connection.abort_response)
        elif self.faults.unframed:
            lines = [name + b': ' + content for name, content in headers]
            head = b'\r\n'.join((b'HTTP/1.1 200 OK', *lines, b'', b''))
            connection.write_raw(head + body)
            connection.finish_and_close()
        else:
            connection.write_raw(
                _FOREIGN_RESPONSE
                if self.faults.sends_foreign_answer_first
                else b''
            )
            connection.respond(_OK, headers, body)


_FOREIGN_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nfiglane-request-id: other\r\n'
    b'figlane-response-seal: seal-other\r\ncontent-length: 5\r\n\r\nother'
)


async def send(
    loop: asyncio.AbstractEventLoop,
    address: str,
    request: Request,
) -> int:
    """Send one request on a connection of its own.

    :param loop: the event loop.
    :param address: ``host:port``.
    :param request: the request.
    :return: the response status, 0 if there is no response.
    """
    pool = HttpPool(loop, address, 1)
    outcome = await call(pool, request, 2)
    pool.close()
    return getattr(outcome, 'status', 0)

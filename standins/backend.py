"""Simulated backend server with slots, cold start, drain and child calls."""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import time
import uuid
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

from blacksheep import Application, Request, Response
from blacksheep.contents import StreamedContent
from blacksheep.server.routing import Router

from figlane.adapters.http_client import HttpPool
from figlane.adapters.http_exchange import HttpOutcome
from figlane.adapters.http_protocol import SCOPE_KEY
from figlane.adapters.http_server import as_handler
from figlane.entities.http import Answer
from figlane.entities.http import Request as PlainRequest
from standins.serving import json_response, serve

_SUFFIX_LENGTH = 12
_BULK_CHUNK_BYTES = 65_536
_OK = 200
_OVERLOADED = 503
_BAD_GATEWAY = 502

_ANNOUNCE_INTERVAL_SECONDS = 0.5
# Fraction of the slots that is usable during a cold start.
_COLD_CAPACITY_FRACTION = 0.1


class Backend:
    """Backend server whose responses describe the request they answer.

    Query parameters control how a request is processed: ``ms`` is the
    processing time in milliseconds, ``size`` the number of padding bytes in
    the response, and ``call`` a path to call through the node first, which
    may be given more than once. ``bulk`` requests a chunked response of that
    many bytes, which is aborted at byte ``cut`` unless ``cut`` is 0.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        """Create a server whose cold start begins now.

        :param options: the parsed command line.
        """
        self.options = options
        suffix = uuid.uuid4().hex[:_SUFFIX_LENGTH]
        self.instance_id = f'{options.service}-{suffix}'
        self.cold_until = time.monotonic() + options.cold_seconds
        self.draining = False
        self.running = 0
        self.overload_count = 0
        self.run_count_by_token: Counter[str] = Counter()
        self.node_pool: HttpPool | None = None
        self.application = Application(router=Router())
        self.application.router.add_get(
            '/_control', as_handler(self.report_counts)
        )
        self.application.router.add_put(
            '/_control', as_handler(self.apply_control)
        )
        self.application.router.fallback = as_handler(self.handle)

    async def handle(self, request: Request) -> Response:
        """Process one request, or answer 503 if no slot is free.

        :param request: the request.
        :return: a JSON description of the request, or a bulk response.
        """
        if self.running >= self._capacity():
            self.overload_count += 1
            return json_response(_OVERLOADED, {'error': 'no slot'})
        self.running += 1
        # Frees the slot when the caller closes its connection.
        request.scope[SCOPE_KEY].on_disconnect = asyncio.current_task().cancel
        try:
            return await self._serve(request)
        finally:
            self.running -= 1

    async def report_counts(self) -> Response:
        """Report the executions and 503 responses since the start.

        :return: executions by token, overload count and running requests.
        """
        return json_response(
            _OK,
            {
                'instance': self.instance_id,
                'runs': dict(self.run_count_by_token),
                'running': self.running,
                'overloads': self.overload_count,
            },
        )

    async def apply_control(self, request: Request) -> Response:
        """Begin or end a cold start and a drain under the same instance id.

        :param request: JSON with ``cold_seconds``, ``draining`` or both; a
            field that is missing ends the cold start or the drain.
        :return: 200.
        """
        content = json.loads(await request.read())
        cold_seconds = content.get('cold_seconds', 0)
        self.cold_until = time.monotonic() + cold_seconds
        self.draining = content.get('draining', False)
        return json_response(_OK, {})

    async def announce_periodically(self, address: str) -> None:
        """Announce this server to its node periodically.

        :param address: ``host:port`` at which this server listens.
        """
        loop = asyncio.get_running_loop()
        admin = HttpPool(loop, self.options.admin, 2)
        while True:
            body = json.dumps(self._announcement(address)).encode()
            await _send(admin, PlainRequest('PUT', '/backend', (), body))
            await asyncio.sleep(_ANNOUNCE_INTERVAL_SECONDS)

    def _announcement(self, address: str) -> Any:
        return {
            'instance_id': self.instance_id,
            'service': self.options.service,
            'address': address,
            'slots': self.options.slots,
            'connections': self.options.connections,
            'draining': self.draining,
        }

    def _capacity(self) -> int:
        slots = self.options.slots
        if time.monotonic() < self.cold_until:
            return max(1, int(slots * _COLD_CAPACITY_FRACTION))
        return slots

    async def _serve(self, request: Request) -> Response:
        query = request.query
        body = await request.read() or b''
        token = query.get('token', [''])[0]
        if token:
            self.run_count_by_token[token] += 1
        await asyncio.sleep(float(query.get('ms', ['1'])[0]) / 1000)
        bulk_size = int(query.get('bulk', ['0'])[0])
        if bulk_size:
            return _bulk_response(bulk_size, int(query.get('cut', ['0'])[0]))
        children = []
        for target in query.get('call', []):
            children.append(await self._call_child(request, target))
        return json_response(
            _OK,
            {
                'service': self.options.service,
                'instance': self.instance_id,
                'method': request.method,
                'path': request.url.path.decode(),
                'token': token,
                'digest': hashlib.sha256(body).hexdigest(),
                'key_seen': request.headers.contains(b'authorization'),
                'children': children,
                'padding': 'x' * int(query.get('size', ['0'])[0]),
            },
        )

    async def _call_child(self, request: Request, target: str) -> Any:
        if self.node_pool is None:
            loop = asyncio.get_running_loop()
            self.node_pool = HttpPool(loop, self.options.entry, 256)
        header_names = (b'figlane-context', b'traceparent')
        headers = tuple(
            (name, request.headers.get_first(name))
            for name in header_names
            if request.headers.contains(name)
        )
        outcome = await _send(
            self.node_pool,
            PlainRequest('GET', target, headers),
        )
        if isinstance(outcome, Answer):
            return {'status': outcome.status, 'body': json.loads(outcome.body)}
        return {'status': _BAD_GATEWAY, 'body': outcome.reason}


def _bulk_response(size: int, abort_offset: int) -> Response:
    async def chunks() -> AsyncIterator[bytes]:
        for offset in range(0, size, _BULK_CHUNK_BYTES):
            if abort_offset and offset >= abort_offset:
                raise ConnectionError('response aborted as requested')
            yield offset.to_bytes(_BULK_CHUNK_BYTES, 'big')

    content = StreamedContent(b'application/octet-stream', chunks)
    return Response(_OK, None, content)


async def _send(pool: HttpPool, request: PlainRequest) -> HttpOutcome:
    waiter: asyncio.Future[HttpOutcome] = (
        asyncio.get_running_loop().create_future()
    )
    exchange = pool.request(
        request,
        lambda outcome: waiter.done() or waiter.set_result(outcome),
    )
    try:
        return await waiter
    except asyncio.CancelledError:
        exchange.cancel()
        raise


def main() -> None:
    """Run the simulated backend server until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--service', required=True)
    parser.add_argument('--admin', required=True, help="node's admin address")
    parser.add_argument('--entry', required=True, help="node's entry address")
    parser.add_argument('--address', default='127.0.0.1:0')
    parser.add_argument('--slots', type=int, default=20)
    parser.add_argument('--connections', type=int, default=200)
    parser.add_argument('--cold-seconds', type=float, default=0)
    backend = Backend(parser.parse_args())
    serve(
        backend.application,
        backend.options.address,
        backend.announce_periodically,
    )


if __name__ == '__main__':
    main()

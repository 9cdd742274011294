"""Simulated object store with the interface that ``figlane.platform`` uses.

It has revisions, conditional writes, watches and fault injection.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from figlane.adapters.http_callback_server import CallbackHttpServer
from figlane.adapters.http_connection import ServerConnection
from figlane.adapters.request_reader import HttpRequest

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_JSON = ((b'content-type', b'application/json'),)
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class StoreFaults:
    """Faults that the store currently injects.

    A ``status`` other than 0 is the answer to each request; ``silent`` leaves
    requests unanswered; ``slow_seconds`` delays responses; the next
    ``lost_writes`` writes are processed without a response.
    """

    status: int = 0
    silent: bool = False
    slow_seconds: float = 0
    lost_writes: int = 0


@dataclass(slots=True)
class _Change:
    revision: int
    kind: str
    event: dict[str, Any]


@dataclass(slots=True)
class ObjectTable:
    """Objects by kind and name, and the change history for watches.

    Watches from a revision below ``compacted_revision`` are answered with 410.
    """

    revision: int = 1
    compacted_revision: int = 0
    by_key: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    changes: list[_Change] = field(default_factory=list)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Create or replace an object unless its content is the same.

        :param kind: the object's kind.
        :param name: the object's name.
        :param spec: the object's content.
        :return: the stored object.
        """
        current = self.by_key.get((kind, name))
        if current is not None and current['spec'] == spec:
            return current
        self.revision += 1
        stored = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self.by_key[kind, name] = stored
        self._record_event(kind, {'deleted': False, 'object': stored})
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists.

        :param kind: the object's kind.
        :param name: the object's name.
        """
        stored = self.by_key.pop((kind, name), None)
        if stored is None:
            return
        self.revision += 1
        self._record_event(kind, {'deleted': True, 'object': stored})

    def compact_history(self) -> None:
        """Discard the history, so that older watches are answered with 410."""
        self.compacted_revision = self.revision
        self.changes.clear()
        self.revision += 1

    def events_after(self, kind: str, revision: int) -> list[dict[str, Any]]:
        """List the events of a kind after a revision.

        :param kind: the objects' kind.
        :param revision: the last revision that the watch has received.
        :return: the events in order of their revisions.
        """
        return [
            change.event
            for change in self.changes
            if change.kind == kind and change.revision > revision
        ]

    def _record_event(self, kind: str, event: dict[str, Any]) -> None:
        self.changes.append(_Change(self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()


class PlatformStore:
    """HTTP interface of the simulated store."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create an empty store.

        :param loop: the event loop.
        """
        self.table = ObjectTable()
        self.faults = StoreFaults()
        self.request_count = 0
        self._loop = loop
        self._tasks: set[asyncio.Task[None]] = set()
        self.server = CallbackHttpServer(loop, self)

    def on_request(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        """Start to process a request unless the store is silent.

        :param connection: the connection.
        :param request: the request.
        """
        self.request_count += 1
        if self.faults.silent:
            return
        task = self._loop.create_task(self._serve(connection, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def on_disconnect(self, connection: ServerConnection) -> None:
        """Do nothing: requests are processed even if their caller is gone.

        :param connection: the closed connection.
        """

    async def _serve(
        self, connection: ServerConnection, request: HttpRequest
    ) -> None:
        if self.faults.status:
            connection.respond(self.faults.status, ())
            return
        if self.faults.slow_seconds:
            await asyncio.sleep(self.faults.slow_seconds)
        url = urlsplit(request.target)
        parts = url.path.strip('/').split('/')
        query = {
            key: arguments[0] for key, arguments in parse_qs(url.query).items()
        }
        if request.method == 'GET':
            status, content = await self._get(parts[1:], query)
        else:
            status, content = self._write(request, parts[1:], query)
            if self.faults.lost_writes:
                self.faults.lost_writes -= 1
                return
        connection.respond(status, _JSON, json.dumps(content).encode())

    async def _get(
        self,
        key: list[str],
        query: dict[str, str],
    ) -> tuple[int, Any]:
        table = self.table
        if len(key) > 1:
            stored = table.by_key.get((key[0], key[1]))
            return (_OK, stored) if stored else (_NOT_FOUND, {})
        if 'watch' in query:
            return await self._watch(key[0], query)
        matching = [
            stored
            for (kind, _), stored in sorted(table.by_key.items())
            if kind == key[0]
        ]
        page = {'items': matching, 'has_more': False, 'at': table.revision}
        return _OK, page

    async def _watch(
        self,
        kind: str,
        query: dict[str, str],
    ) -> tuple[int, Any]:
        table = self.table
        revision = int(query['watch'])
        wait = int(query.get('wait_ms', '0')) / _MS_PER_SECOND
        deadline = self._loop.time() + wait
        while True:
            if revision < table.compacted_revision:
                return _GONE, {}
            events = table.events_after(kind, revision)
            remaining = deadline - self._loop.time()
            if events or remaining <= 0:
                return _OK, {'events': events, 'at': table.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(table.changed.wait(), remaining)

    def _write(
        self,
        request: HttpRequest,
        key: list[str],
        query: dict[str, str],
    ) -> tuple[int, Any]:
        table = self.table
        document = json.loads(request.body) if request.body else {}
        metadata = document.get('metadata', {})
        kind = key[0]
        name = key[1] if len(key) > 1 else metadata['name']
        current = table.by_key.get((kind, name))
        if request.method == 'POST' and current is not None:
            return _CONFLICT, current
        if request.method != 'POST' and current is None:
            return _NOT_FOUND, {}
        expected_revision = metadata.get('revision', query.get('revision'))
        if current is not None and expected_revision is not None:
            if int(expected_revision) != current['metadata']['revision']:
                return _CONFLICT, current
        if request.method == 'DELETE':
            table.delete(kind, name)
            return _OK, {}
        return _OK, table.write(kind, name, document.get('spec'))

"""Simulated object store with versions, conditional writes and watches.

It has the interface that ``figlane.adapters.platform_client`` uses.
"""

from __future__ import annotations

import argparse
import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from blacksheep import Application, Request, Response

from figlane.adapters.http_server import as_handler
from standins.serving import json_response, serve

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503


@dataclass(slots=True)
class InjectedFaults:
    """Faults that the store currently injects.

    ``down`` refuses all requests with 503. ``slow_seconds`` delays each
    response. The next ``lose_answers`` writes are applied but answered with
    503; ``lose_kind`` restricts them to one kind of object unless it is empty.
    """

    down: bool = False
    slow_seconds: float = 0
    lose_answers: int = 0
    lose_kind: str = ''


@dataclass(slots=True)
class StoredObject:
    """An object; a deleted one keeps its version and has no value."""

    kind: str
    name: str
    version: int
    value: Any


@dataclass(slots=True)
class Store:
    """All objects; each change takes the next revision as its version."""

    revision: int = 0
    request_count: int = 0
    faults: InjectedFaults = field(default_factory=InjectedFaults)
    by_key: dict[tuple[str, str], StoredObject] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, kind: str, name: str, content: Any) -> StoredObject:
        """Write an object and notify the watches.

        :param kind: the object's kind.
        :param name: the object's name.
        :param content: the decoded value; None deletes the object.
        :return: the stored object.
        """
        self.revision += 1
        stored = StoredObject(kind, name, self.revision, content)
        self.by_key[kind, name] = stored
        self.changed.set()
        self.changed = asyncio.Event()
        return stored

    def version(self, kind: str, name: str) -> int:
        """Look up an object's version.

        :param kind: the object's kind.
        :param name: the object's name.
        :return: the version, 0 if there is no such object.
        """
        stored = self.by_key.get((kind, name))
        return stored.version if stored and stored.value is not None else 0

    def changed_after(self, revision: int) -> list[StoredObject]:
        """List the objects changed after a revision, deleted ones included.

        :param revision: the revision.
        :return: the objects, oldest change first.
        """
        changed = [
            stored
            for stored in self.by_key.values()
            if stored.version > revision
        ]
        return sorted(changed, key=lambda stored: stored.version)


class StoreServer:
    """HTTP interface of the store, and the control interface for tests."""

    def __init__(self) -> None:
        """Create an empty store and register the HTTP routes."""
        self.store = Store()
        self.application = Application()
        router = self.application.router
        router.add_get('/v1/objects', as_handler(self.list_objects))
        router.add_get('/v1/objects/{kind}/{name}', as_handler(self.read))
        router.add_put('/v1/objects/{kind}/{name}', as_handler(self.write))
        router.add_get('/v1/watch', as_handler(self.watch))
        router.add_put('/control', as_handler(self.set_faults))
        router.add_get('/control', as_handler(self.report_counts))

    async def list_objects(self) -> Response:
        """List all objects that are not deleted.

        :return: the revision and the objects.
        """
        fault_response = await self._inject_fault()
        if fault_response is not None:
            return fault_response
        existing = [
            stored
            for stored in self.store.changed_after(0)
            if stored.value is not None
        ]
        return self._listing(existing)

    async def read(self, kind: str, name: str) -> Response:
        """Read one object.

        :param kind: the object's kind.
        :param name: the object's name.
        :return: the object or 404.
        """
        fault_response = await self._inject_fault()
        if fault_response is not None:
            return fault_response
        stored = self.store.by_key.get((kind, name))
        if stored is None or stored.value is None:
            return json_response(_NOT_FOUND, {'version': 0})
        return json_response(_OK, _to_json_object(stored))

    async def write(self, request: Request, kind: str, name: str) -> Response:
        """Write one object; ``if_version``, if given, must be its version.

        :param request: JSON with ``value`` and ``if_version``.
        :param kind: the object's kind.
        :param name: the object's name.
        :return: the new version, or 409 with the current one.
        """
        fault_response = await self._inject_fault()
        if fault_response is not None:
            return fault_response
        content = json.loads(await request.read())
        current = self.store.version(kind, name)
        expected = content.get('if_version')
        if expected is not None and expected != current:
            return json_response(_CONFLICT, {'version': current})
        stored = self.store.put(kind, name, content['value'])
        if self._consume_lost_answer(kind):
            return json_response(_UNAVAILABLE, {'error': 'answer lost'})
        return json_response(_OK, {'version': stored.version})

    async def watch(self, request: Request) -> Response:
        """Answer a long poll for changes after a revision.

        :param request: query ``after`` (revision) and ``wait`` (seconds).
        :return: the revision and the changed objects, none on time-out.
        """
        fault_response = await self._inject_fault()
        if fault_response is not None:
            return fault_response
        after = int(request.query['after'][0])
        changed = self.store.changed
        if self.store.revision <= after:
            wait = float(request.query['wait'][0])
            try:
                await asyncio.wait_for(changed.wait(), wait)
            except TimeoutError:
                return self._listing([])
        fault_response = await self._inject_fault()
        if fault_response is not None:
            return fault_response
        return self._listing(self.store.changed_after(after))

    async def set_faults(self, request: Request) -> Response:
        """Replace the injected faults, and wake the watches to apply them.

        :param request: JSON with fields of ``InjectedFaults``.
        :return: 200.
        """
        self.store.faults = InjectedFaults(**json.loads(await request.read()))
        self.store.changed.set()
        self.store.changed = asyncio.Event()
        return json_response(_OK, {})

    async def report_counts(self) -> Response:
        """Report the number of requests and the revision.

        :return: ``calls`` and ``revision``.
        """
        return json_response(
            _OK,
            {
                'calls': self.store.request_count,
                'revision': self.store.revision,
            },
        )

    async def _inject_fault(self) -> Response | None:
        self.store.request_count += 1
        if self.store.faults.slow_seconds:
            await asyncio.sleep(self.store.faults.slow_seconds)
        if self.store.faults.down:
            return json_response(_UNAVAILABLE, {'error': 'down'})
        return None

    def _consume_lost_answer(self, kind: str) -> bool:
        faults = self.store.faults
        if faults.lose_answers < 1 or faults.lose_kind not in {'', kind}:
            return False
        faults.lose_answers -= 1
        return True

    def _listing(self, objects: list[StoredObject]) -> Response:
        return json_response(
            _OK,
            {
                'revision': self.store.revision,
                'objects': [_to_json_object(stored) for stored in objects],
            },
        )


def _to_json_object(stored: StoredObject) -> dict[str, Any]:
    return {
        'kind': stored.kind,
        'name': stored.name,
        'version': stored.version,
        'value': stored.value,
    }


def main() -> None:
    """Run the simulated platform until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--address', default='127.0.0.1:0')
    options = parser.parse_args()
    serve(StoreServer().application, options.address)


if __name__ == '__main__':
    main()

"""Client of the platform's object store: read, conditional write, watch."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import msgspec

from figlane.adapters.http_call import call
from figlane.adapters.http_client import HttpPool
from figlane.entities.http import Answer, Request

# Request time-out in seconds.
_REQUEST_TIMEOUT_SECONDS = 5.0
_MAX_CONNECTIONS = 4
_OK = 200
_NOT_FOUND = 404
_CONFLICT = 409


class StoredObject(msgspec.Struct, frozen=True):
    """Object stored by the platform; the value of a deleted one is None."""

    kind: str
    name: str
    version: int
    value: Any = None


class Listing(msgspec.Struct, frozen=True):
    """Objects, and the store revision up to which the list is complete."""

    revision: int
    objects: list[StoredObject]


@dataclass(slots=True, frozen=True)
class Written:
    """Outcome of a write that succeeded and produced this version."""

    version: int


@dataclass(slots=True, frozen=True)
class Conflict:
    """Outcome of a write whose version precondition failed."""

    version: int


@dataclass(slots=True, frozen=True)
class Unavailable:
    """Outcome of a request without a valid response.

    A write may have taken effect.
    """

    reason: str


WriteOutcome = Written | Conflict | Unavailable


class PlatformClient:
    """Client of the object store; a process needs one instance."""

    __slots__ = ('_pool',)

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str) -> None:
        """Create a client; connections are opened on demand.

        :param loop: the event loop.
        :param address: ``host:port`` of the object store.
        """
        self._pool = HttpPool(loop, address, _MAX_CONNECTIONS)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    async def list_objects(self) -> Listing | Unavailable:
        """Read all objects.

        :return: the objects and the revision at which to start the watch.
        """
        return await self._listing('/v1/objects', _REQUEST_TIMEOUT_SECONDS)

    async def watch(
        self,
        revision: int,
        seconds: float,
    ) -> Listing | Unavailable:
        """Long-poll for changes after a revision.

        :param revision: the latest known revision.
        :param seconds: maximum time for which the store delays its response.
        :return: the changed objects, possibly none.
        """
        target = f'/v1/watch?after={revision}&wait={seconds}'
        return await self._listing(target, seconds + _REQUEST_TIMEOUT_SECONDS)

    async def read(self, kind: str, name: str) -> StoredObject | Unavailable:
        """Read one object; a missing object has version 0.

        :param kind: the object's kind.
        :param name: the object's name.
        :return: the object.
        """
        outcome = await self._call('GET', f'/v1/objects/{kind}/{name}')
        if not isinstance(outcome, Answer):
            return outcome
        if outcome.status == _NOT_FOUND:
            return StoredObject(kind, name, 0)
        if outcome.status != _OK:
            return Unavailable(f'unexpected status {outcome.status}')
        return msgspec.json.decode(outcome.body, type=StoredObject)

    async def write(
        self,
        kind: str,
        name: str,
        content: Any,
        if_version: int | None = None,
    ) -> WriteOutcome:
        """Write one object.

        :param kind: the object's kind.
        :param name: the object's name.
        :param content: JSON-compatible value; None deletes the object.
        :param if_version: required current version: 0 if the object must not
            exist, None for an unconditional write.
        :return: success, version conflict or unknown outcome.
        """
        body = msgspec.json.encode(
            {
                'value': content,
                'if_version': if_version,
            }
        )
        target = f'/v1/objects/{kind}/{name}'
        outcome = await self._call('PUT', target, body)
        if not isinstance(outcome, Answer):
            return outcome
        if outcome.status not in {_OK, _CONFLICT}:
            return Unavailable(f'unexpected status {outcome.status}')
        version = msgspec.json.decode(outcome.body)['version']
        if outcome.status == _CONFLICT:
            return Conflict(version)
        return Written(version)

    async def _listing(
        self,
        target: str,
        seconds: float,
    ) -> Listing | Unavailable:
        outcome = await self._call('GET', target, seconds=seconds)
        if not isinstance(outcome, Answer):
            return outcome
        if outcome.status != _OK:
            return Unavailable(f'unexpected status {outcome.status}')
        try:
            return msgspec.json.decode(outcome.body, type=Listing)
        except msgspec.DecodeError as error:
            return Unavailable(str(error))

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes = b'',
        seconds: float = _REQUEST_TIMEOUT_SECONDS,
    ) -> Answer | Unavailable:
        request = Request(method, target, (), body)
        outcome = await call(self._pool, request, seconds)
        if isinstance(outcome, Answer):
            return outcome
        return Unavailable(outcome.reason)

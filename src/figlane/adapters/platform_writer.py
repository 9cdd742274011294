"""Background writes and reads of objects in the platform's object store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from figlane.adapters.platform_client import (
    Conflict,
    PlatformClient,
    StoredObject,
    Unavailable,
    WriteOutcome,
    Written,
)
from figlane.entities.inbox import ObjectRead, ObjectWritten, WriteStatus
from figlane.entities.outbox import ReadObject, WriteObject
from figlane.wire.checking import CheckError
from figlane.wire.documents import decode_entity, encode_entity


class PlatformWriter:
    """Writes and reads single objects and delivers the outcomes."""

    __slots__ = ('_client', '_deliver', '_loop', '_tasks')

    def __init__(
        self,
        client: PlatformClient,
        loop: asyncio.AbstractEventLoop,
        deliver: Callable[[ObjectWritten | ObjectRead], None],
    ) -> None:
        """Create a writer.

        :param client: client of the object store.
        :param loop: the event loop.
        :param deliver: receives the outcome of each write and read.
        """
        self._client = client
        self._loop = loop
        self._deliver = deliver
        self._tasks: set[asyncio.Task[None]] = set()

    def write(self, row: WriteObject) -> None:
        """Start a write in the background.

        :param row: the object and its version precondition.
        """
        self._spawn(self._write(row))

    def read(self, row: ReadObject) -> None:
        """Start a read in the background.

        :param row: kind and name of the object.
        """
        self._spawn(self._read(row))

    async def close(self) -> None:
        """Wait for requests in progress."""
        await asyncio.gather(*self._tasks)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read(self, row: ReadObject) -> None:
        outcome = await self._client.read(row.kind, row.name)
        self._deliver(_read_result(row, outcome))

    async def _write(self, row: WriteObject) -> None:
        content = None
        if row.entity is not None:
            content = encode_entity(row.kind, row.entity)
        outcome = await self._client.write(
            row.kind,
            row.name,
            content,
            row.if_version,
        )
        self._deliver(_write_result(row, outcome))


def _read_result(
    row: ReadObject,
    outcome: StoredObject | Unavailable,
) -> ObjectRead:
    unknown = ObjectRead(row.request_id, row.kind, row.name, is_known=False)
    if isinstance(outcome, Unavailable):
        return unknown
    entity = None
    if outcome.value is not None:
        try:
            entity = decode_entity(
                row.kind,
                row.name,
                outcome.version,
                outcome.value,
            )
        except CheckError:
            return unknown
    return ObjectRead(
        row.request_id,
        row.kind,
        row.name,
        is_known=True,
        version=outcome.version,
        entity=entity,
    )


def _write_result(row: WriteObject, outcome: WriteOutcome) -> ObjectWritten:
    status = WriteStatus.UNKNOWN
    version = 0
    if isinstance(outcome, Written):
        status = WriteStatus.WRITTEN
        version = outcome.version
    if isinstance(outcome, Conflict):
        status = WriteStatus.CONFLICT
        version = outcome.version
    return ObjectWritten(row.request_id, row.kind, row.name, status, version)

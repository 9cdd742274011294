"""Background reads and watches of the platform's object store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import structlog

from figlane.adapters.platform_client import (
    Listing,
    PlatformClient,
    StoredObject,
    Unavailable,
)
from figlane.entities.feed import (
    ObjectsListed,
    ObjectsWatched,
    PlatformFailed,
    ReadObjects,
    WatchObjects,
)
from figlane.entities.inbox import ObjectChanged
from figlane.wire.checking import CheckError
from figlane.wire.documents import CODEC_BY_KIND, decode_entity

_log = structlog.get_logger()


class PlatformFeed:
    """Delivers the store's objects and their changes as inbox rows."""

    __slots__ = ('_client', '_deliver', '_is_reachable', '_loop', '_tasks')

    def __init__(
        self,
        client: PlatformClient,
        loop: asyncio.AbstractEventLoop,
        deliver: Callable[[Any], None],
    ) -> None:
        """Create a feed.

        :param client: client of the object store.
        :param loop: the event loop.
        :param deliver: receives each object and the result of each request.
        """
        self._client = client
        self._deliver = deliver
        self._loop = loop
        self._is_reachable = True
        self._tasks: set[asyncio.Task[None]] = set()

    def read(self, row: ReadObjects) -> None:
        """Start reading all objects in the background.

        :param row: the read request.
        """
        self._spawn(self._read())

    def watch(self, row: WatchObjects) -> None:
        """Start a watch for changes in the background.

        :param row: start revision and duration.
        """
        self._spawn(self._watch(row))

    def close(self) -> None:
        """Cancel requests in progress."""
        for task in tuple(self._tasks):
            task.cancel()

    async def _read(self) -> None:
        listing = await self._client.list_objects()
        if isinstance(listing, Unavailable):
            self._report_failure(listing)
            return
        self._deliver_listing(listing, is_news=False)
        names = frozenset(
            (stored.kind, stored.name) for stored in listing.objects
        )
        self._deliver(ObjectsListed(listing.revision, names))

    async def _watch(self, row: WatchObjects) -> None:
        listing = await self._client.watch(row.revision, row.seconds)
        if isinstance(listing, Unavailable):
            self._report_failure(listing)
            return
        self._deliver_listing(listing, is_news=True)
        self._deliver(ObjectsWatched(listing.revision))

    def _deliver_listing(self, listing: Listing, *, is_news: bool) -> None:
        self._set_reachable(reachable=True)
        for stored in listing.objects:
            if stored.kind in CODEC_BY_KIND:
                self._deliver_object(stored, is_news=is_news)

    def _deliver_object(self, stored: StoredObject, *, is_news: bool) -> None:
        entity = None
        if stored.value is not None:
            try:
                entity = decode_entity(
                    stored.kind,
                    stored.name,
                    stored.version,
                    stored.value,
                )
            except CheckError as error:
                _log.warning(
                    'object_refused',
                    kind=stored.kind,
                    name=stored.name,
                    version=stored.version,
                    reason=str(error),
                )
                return
        self._deliver(
            ObjectChanged(
                stored.kind,
                stored.name,
                stored.version,
                entity,
                is_news,
            ),
        )

    def _report_failure(self, outcome: Unavailable) -> None:
        self._set_reachable(reachable=False)
        self._deliver(PlatformFailed(outcome.reason))

    def _set_reachable(self, *, reachable: bool) -> None:
        if reachable is self._is_reachable:
            return
        self._is_reachable = reachable
        _log.info('platform_reachable', reachable=reachable)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

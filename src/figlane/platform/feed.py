"""Executes reads, watches and writes of objects in the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from types import MappingProxyType
from typing import Any

import msgspec
import structlog

from figlane.entities.inbox import ObjectChanged, ObjectWritten, WriteStatus
from figlane.entities.ingress import ConfigurationReplaced
from figlane.entities.kind_feed import (
    CheckStore,
    KindFailed,
    KindListed,
    KindWatched,
    ReadKind,
    StoreChecked,
    WatchKind,
)
from figlane.entities.member import CONTACT_KIND
from figlane.entities.outbox import WriteObject
from figlane.entities.service import FailureDomain
from figlane.platform.configuration import (
    ConfigurationError,
    decode_configuration,
)
from figlane.platform.objects import (
    Listing,
    Metadata,
    ObjectStore,
    RevisionMismatch,
    StoredObject,
    Unavailable,
)
from figlane.registry import Registry
from figlane.wire.checking import CheckError
from figlane.wire.documents import decode_entity, encode_entity

_log = structlog.get_logger()

CONFIGURATION_KIND = 'configuration'
DOMAIN_KIND = 'domain'
# Kinds in the store by figlane's own kinds. While an object of ``evacuations``
# exists, the failure domain of the same name gets no new calls.
_STORE_KIND_BY_KIND = MappingProxyType(
    {
        CONFIGURATION_KIND: 'config',
        DOMAIN_KIND: 'evacuations',
        CONTACT_KIND: 'figlane-contacts',
    },
)
_CONFIGURATION_NAME = 'main'
_MEMBER_DOCUMENT = 'member'
# Types of the documents of the kinds that nodes write.
_DOCUMENT_BY_KIND = MappingProxyType({CONTACT_KIND: _MEMBER_DOCUMENT})

# Converts an object to an inbox row. The arguments are the object, its version
# and whether peers may not have this version yet.
_Decoder = Callable[[StoredObject, int, bool], Any]
_decoders: Registry[_Decoder] = Registry('decoder of stored objects')


class StoreFeed:
    """Delivers objects of the store, and results of writes, as inbox rows."""

    __slots__ = (
        '_deliver',
        '_is_reachable',
        '_loop',
        '_store',
        '_tasks',
        '_watch_by_kind',
    )

    def __init__(
        self,
        store: ObjectStore,
        loop: asyncio.AbstractEventLoop,
        deliver: Callable[[Any], None],
    ) -> None:
        """Create a feed.

        :param store: client of the store.
        :param loop: the event loop.
        :param deliver: receives a row for each object and for the result of
            each read, watch and write.
        """
        self._store = store
        self._loop = loop
        self._deliver = deliver
        self._is_reachable = True
        self._tasks: set[asyncio.Task[None]] = set()
        self._watch_by_kind: dict[str, asyncio.Task[None]] = {}

    def read(self, row: ReadKind) -> None:
        """Start reading all objects of a kind; an open watch of it ends.

        :param row: the kind.
        """
        self._end_watch(row.kind)
        self._spawn(self._read(row))

    def watch(self, row: WatchKind) -> None:
        """Start a watch for changes of a kind; an open one of it ends.

        :param row: the kind, the revision to start from and the timeout.
        """
        self._end_watch(row.kind)
        self._watch_by_kind[row.kind] = self._spawn(self._watch(row))

    def check(self, row: CheckStore) -> None:
        """Start a stale read of a kind of which there are few objects.

        :param row: identifies the check and gives its time-out.
        """
        self._spawn(self._check(row))

    def write(self, row: WriteObject) -> None:
        """Start writing or deleting an object.

        :param row: the object and, for a conditional write, the required
            version.
        """
        self._spawn(self._write(row))

    def close(self) -> None:
        """Cancel all pending reads, watches and writes."""
        for task in tuple(self._tasks):
            task.cancel()

    def _end_watch(self, kind: str) -> None:
        watch = self._watch_by_kind.pop(kind, None)
        if watch is not None:
            watch.cancel()

    async def _check(self, row: CheckStore) -> None:
        page = await self._store.list_page(
            _STORE_KIND_BY_KIND[DOMAIN_KIND],
            allow_stale=True,
            timeout_seconds=row.seconds,
        )
        is_answered = not isinstance(page, Unavailable)
        self._deliver(StoreChecked(row.asked_at, is_answered))

    async def _read(self, row: ReadKind) -> None:
        store_kind = _STORE_KIND_BY_KIND[row.kind]
        names: set[str] = set()
        last_name = ''
        while True:
            page = await self._store.list_page(
                store_kind, last_name, allow_stale=row.allow_stale
            )
            if isinstance(page, Unavailable):
                self._report_failure(row.kind, page)
                return
            page_names = self._deliver_page(row.kind, page)
            names.update(page_names)
            if not page.has_more or not page_names:
                break
            last_name = max(page_names)
        self._log_reachability(reachable=True, reason='')
        self._deliver(
            KindListed(
                row.kind,
                page.at,
                _deletion_version(page.at),
                frozenset(names),
            ),
        )

    def _deliver_page(self, kind: str, page: Listing) -> list[str]:
        names = []
        for raw in page.objects:
            stored = _parse_object(kind, raw)
            if stored is not None and not stored.metadata.deleting:
                names.append(stored.metadata.name)
                self._deliver_object(kind, stored, is_news=False)
        return names

    async def _watch(self, row: WatchKind) -> None:
        changes = await self._store.watch(
            _STORE_KIND_BY_KIND[row.kind],
            row.revision,
            row.seconds,
        )
        if isinstance(changes, Unavailable):
            self._report_failure(row.kind, changes)
            return
        self._log_reachability(reachable=True, reason='')
        for event in changes.events:
            stored = _parse_object(row.kind, event.object)
            if stored is None:
                continue
            if event.deleted or stored.metadata.deleting:
                self._deliver_deletion(row.kind, stored.metadata)
                continue
            self._deliver_object(row.kind, stored, is_news=True)
        self._deliver(KindWatched(row.kind, changes.at))

    def _deliver_object(
        self,
        kind: str,
        stored: StoredObject,
        *,
        is_news: bool,
    ) -> None:
        metadata = stored.metadata
        version = _write_version(metadata.revision)
        try:
            row = _decoders.find(kind)(stored, version, is_news)
        except (CheckError, ConfigurationError) as error:
            _log.warning(
                'object_refused',
                kind=kind,
                name=metadata.name,
                revision=metadata.revision,
                reason=str(error),
            )
            return
        if row is not None:
            self._deliver(row)

    def _deliver_deletion(self, kind: str, metadata: Metadata) -> None:
        # Operators only replace the configuration. If the object is deleted,
        # the last configuration stays in force.
        if kind == CONFIGURATION_KIND:
            return
        version = _deletion_version(metadata.revision)
        self._deliver(
            ObjectChanged(kind, metadata.name, version, None, is_news=True),
        )

    async def _write(self, row: WriteObject) -> None:
        kind = _STORE_KIND_BY_KIND[row.kind]
        revision = None
        if row.if_version is not None:
            revision = row.if_version // 2
        if row.entity is None:
            outcome = await self._store.delete(kind, row.name, revision)
        else:
            spec = encode_entity(_DOCUMENT_BY_KIND[row.kind], row.entity)
            outcome = await self._put(kind, row.name, spec, revision)
        if isinstance(outcome, RevisionMismatch) and outcome.current:
            self._deliver_object(row.kind, outcome.current, is_news=False)
        self._deliver(_write_result(row, outcome))

    async def _put(
        self, kind: str, name: str, spec: Any, revision: int | None
    ) -> StoredObject | RevisionMismatch | Unavailable:
        if revision == 0:
            return await self._store.create(kind, name, spec)
        outcome = await self._store.put(kind, name, spec, revision)
        if revision is None and isinstance(outcome, RevisionMismatch):
            return await self._store.create(kind, name, spec)
        return outcome

    def _report_failure(self, kind: str, outcome: Unavailable) -> None:
        self._log_reachability(reachable=False, reason=outcome.reason)
        self._deliver(
            KindFailed(kind, outcome.reason, outcome.is_history_lost),
        )

    def _log_reachability(self, *, reachable: bool, reason: str) -> None:
        if reachable is self._is_reachable:
            return
        self._is_reachable = reachable
        _log.info('store_reachable', reachable=reachable, reason=reason)

    def _spawn(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> asyncio.Task[None]:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _parse_object(kind: str, raw: msgspec.Raw) -> StoredObject | None:
    try:
        return msgspec.json.decode(raw, type=StoredObject)
    except (msgspec.DecodeError, UnicodeError) as error:
        _log.warning('object_refused', kind=kind, reason=str(error))
        return None


@_decoders.register(CONFIGURATION_KIND)
def _decode_configuration(
    stored: StoredObject,
    version: int,
    is_news: bool,
) -> ConfigurationReplaced | None:
    if stored.metadata.name != _CONFIGURATION_NAME:
        return None
    row = decode_configuration(version, stored.spec)
    row.is_news = is_news
    return row


@_decoders.register(DOMAIN_KIND)
def _decode_domain(
    stored: StoredObject,
    version: int,
    is_news: bool,
) -> ObjectChanged:
    name = stored.metadata.name
    domain = FailureDomain(name, version, taken_out=True)
    return ObjectChanged(DOMAIN_KIND, name, version, domain, is_news)


@_decoders.register(CONTACT_KIND)
def _decode_contact(
    stored: StoredObject,
    version: int,
    is_news: bool,
) -> ObjectChanged:
    name = stored.metadata.name
    record = decode_entity(_MEMBER_DOCUMENT, name, version, stored.spec)
    return ObjectChanged(CONTACT_KIND, name, version, record, is_news)


def _write_version(revision: int) -> int:
    # Versions of writes are even and those of deletions odd: the store reports
    # a deletion with the revision of the last write, and the deletion must
    # have the higher version.
    return 2 * revision


def _deletion_version(revision: int) -> int:
    return 2 * revision + 1


def _write_result(
    row: WriteObject,
    outcome: StoredObject | RevisionMismatch | Unavailable | None,
) -> ObjectWritten:
    status = WriteStatus.WRITTEN
    version = 0
    if isinstance(outcome, StoredObject):
        version = _write_version(outcome.metadata.revision)
    if isinstance(outcome, RevisionMismatch):
        status = WriteStatus.CONFLICT
        version = _write_version(outcome.revision)
    if isinstance(outcome, Unavailable):
        status = WriteStatus.UNKNOWN
    return ObjectWritten(row.request_id, row.kind, row.name, status, version)

"""Conditional updates of documents that tolerate lost answers.

A write whose answer was lost is confirmed by reading the object back and
looking for the id of the change in its change log.
"""

from __future__ import annotations

import asyncio
import datetime
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from figlane.adapters.platform_client import (
    PlatformClient,
    StoredObject,
    Unavailable,
    Written,
)
from figlane.commands.document import CHANGE_LOG, JsonObject, without_change_log

# Entries kept in the change log of a stored document.
HISTORY_LENGTH = 10
# Attempts of one write, and retries of an edit after version conflicts.
_MAX_ATTEMPTS = 6
# Seconds before the second attempt of a write; doubled after each attempt.
_INITIAL_BACKOFF_SECONDS = 0.1


@dataclass(slots=True, frozen=True)
class Edit:
    """A change to one document, with author and summary for the change log.

    ``make_document`` computes the new document from the stored one, or from
    None if there is none. With ``if_version``, the write succeeds only if that
    is the stored version. With ``retries_on_conflict``, the edit is applied
    again to the newer version after a version conflict.
    """

    kind: str
    name: str
    make_document: Callable[[JsonObject | None], JsonObject]
    operator: str
    summary: str
    if_version: int | None = None
    retries_on_conflict: bool = False


@dataclass(slots=True, frozen=True)
class Changed:
    """Outcome: the change was written as ``version``.

    ``confirmed_by_reading`` is set if the answer to the write was lost and
    reading the object back confirmed the write.
    """

    version: int
    before: JsonObject | None
    after: JsonObject
    confirmed_by_reading: bool = False


@dataclass(slots=True, frozen=True)
class Unchanged:
    """Outcome: the stored document already has the requested content."""

    version: int


@dataclass(slots=True, frozen=True)
class VersionConflict:
    """Outcome: nothing was written, since ``version`` is stored instead.

    ``conflicting_change`` is the newest change log entry of that version.
    """

    version: int
    conflicting_change: JsonObject


@dataclass(slots=True, frozen=True)
class Unconfirmed:
    """Outcome: the platform did not confirm the change.

    ``may_have_been_written`` is False if nothing can have been written, for
    example because the object could not even be read.
    """

    reason: str
    may_have_been_written: bool


ChangeOutcome = Changed | Unchanged | VersionConflict | Unconfirmed


async def change_object(
    platform: PlatformClient,
    edit: Edit,
) -> ChangeOutcome:
    """Write an edit by a conditional update.

    After a version conflict, an edit with ``retries_on_conflict`` is applied
    again to the newer version, up to a fixed number of times.

    :param platform: client of the object store.
    :param edit: the change.
    :return: the outcome.
    """
    outcome = await _try_edit(platform, edit)
    for _ in range(_MAX_ATTEMPTS):
        if not edit.retries_on_conflict or not isinstance(
            outcome, VersionConflict
        ):
            break
        outcome = await _try_edit(platform, edit)
    return outcome


async def _try_edit(platform: PlatformClient, edit: Edit) -> ChangeOutcome:
    stored = await platform.read(edit.kind, edit.name)
    if isinstance(stored, Unavailable):
        return Unconfirmed(stored.reason, may_have_been_written=False)
    if edit.if_version not in {None, stored.version}:
        return VersionConflict(stored.version, last_change(stored))
    after = edit.make_document(stored.value)
    if stored.value and without_change_log(stored.value) == after:
        return Unchanged(stored.version)
    return await _write(platform, _Write(edit, stored, after))


def last_change(stored: StoredObject) -> JsonObject:
    """Return the newest entry of an object's change log.

    :param stored: the object.
    :return: the entry; empty if the object was written by another client.
    """
    changes = (stored.value or {}).get(CHANGE_LOG) or [{}]
    newest: JsonObject = changes[0]
    return newest


class _Write:
    """One conditional write, which is resent until its outcome is known.

    Resending is safe: the write is conditional on the version that was read,
    and the id of the change identifies it in the change log.
    """

    __slots__ = ('after', 'change_id', 'content', 'edit', 'stored')

    def __init__(
        self, edit: Edit, stored: StoredObject, after: JsonObject
    ) -> None:
        change = _change_entry(edit, stored.version)
        earlier = (stored.value or {}).get(CHANGE_LOG, [])
        self.edit = edit
        self.stored = stored
        self.after = after
        self.change_id = change['id']
        self.content = {
            **after,
            CHANGE_LOG: [change, *earlier][:HISTORY_LENGTH],
        }

    def to_outcome(
        self, version: int, *, confirmed_by_reading: bool = False
    ) -> Changed:
        value = self.stored.value
        before = without_change_log(value) if value else None
        return Changed(version, before, self.after, confirmed_by_reading)

    def confirm(
        self,
        present: StoredObject | Unavailable,
    ) -> Changed | VersionConflict | None:
        if isinstance(present, Unavailable):
            return None
        version = _version_of_change(present, self.change_id)
        if version is not None:
            return self.to_outcome(version, confirmed_by_reading=True)
        if present.version != self.stored.version:
            return VersionConflict(present.version, last_change(present))
        return None


async def _write(platform: PlatformClient, write: _Write) -> ChangeOutcome:
    kind, name = write.edit.kind, write.edit.name
    reason = ''
    for attempt in range(_MAX_ATTEMPTS):
        outcome = await platform.write(
            kind,
            name,
            write.content,
            write.stored.version,
        )
        if isinstance(outcome, Written):
            return write.to_outcome(outcome.version)
        if isinstance(outcome, Unavailable):
            reason = outcome.reason
        confirmed = write.confirm(await platform.read(kind, name))
        if confirmed is not None:
            return confirmed
        await asyncio.sleep(_INITIAL_BACKOFF_SECONDS * 2**attempt)
    return Unconfirmed(reason, may_have_been_written=bool(reason))


def _version_of_change(present: StoredObject, change_id: str) -> int | None:
    version = present.version
    for change in (present.value or {}).get(CHANGE_LOG, ()):
        if change['id'] == change_id:
            return version
        version = change['replaces']
    return None


def _change_entry(edit: Edit, version: int) -> dict[str, Any]:
    now = datetime.datetime.now(datetime.UTC)
    return {
        'id': uuid.uuid4().hex,
        'by': edit.operator,
        'at': now.isoformat(timespec='seconds'),
        'replaces': version,
        'summary': edit.summary,
    }

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
from figlane.commands.document import CHANGES, Plain, without_changes

# Entries kept in the change log of a stored document.
HISTORY_LENGTH = 10
# Attempts of one write, and further attempts after lost races.
_TRIES = 6
# Seconds before the second attempt of a write; doubled after each attempt.
_FIRST_WAIT = 0.1


@dataclass(slots=True, frozen=True)
class Edit:
    """A change to one document, with author and summary for the change log.

    ``make`` computes the new document from the stored one, or from None if
    there is none. With ``if_version``, the write succeeds only if that is the
    stored version. If ``merges`` is set, the edit is applied again to the
    newer version after a version conflict.
    """

    kind: str
    name: str
    make: Callable[[Plain | None], Plain]
    operator: str
    summary: str
    if_version: int | None = None
    merges: bool = False


@dataclass(slots=True, frozen=True)
class Changed:
    """Outcome: the change was written as ``version``.

    ``was_settled`` is set if the answer to the write was lost and reading
    the object back confirmed the write.
    """

    version: int
    before: Plain | None
    after: Plain
    was_settled: bool = False


@dataclass(slots=True, frozen=True)
class Unchanged:
    """Outcome: the stored document already has the requested content."""

    version: int


@dataclass(slots=True, frozen=True)
class LostRace:
    """Outcome: version conflict, nothing was written.

    ``winner`` is the change log entry of the conflicting change.
    """

    version: int
    winner: Plain


@dataclass(slots=True, frozen=True)
class NotSettled:
    """Outcome: the platform did not confirm the change.

    ``may_be_written`` is False if nothing can have been written, for example
    because the object could not even be read.
    """

    reason: str
    may_be_written: bool


ChangeOutcome = Changed | Unchanged | LostRace | NotSettled


async def change_object(
    platform: PlatformClient,
    edit: Edit,
) -> ChangeOutcome:
    """Write an edit by a conditional update.

    After a version conflict, an edit with ``merges`` is applied again to the
    newer version, up to a fixed number of times.

    :param platform: client of the object API.
    :param edit: the change.
    :return: the outcome.
    """
    outcome = await _change_once(platform, edit)
    for _ in range(_TRIES):
        if not edit.merges or not isinstance(outcome, LostRace):
            break
        outcome = await _change_once(platform, edit)
    return outcome


async def _change_once(platform: PlatformClient, edit: Edit) -> ChangeOutcome:
    stored = await platform.read(edit.kind, edit.name)
    if isinstance(stored, Unavailable):
        return NotSettled(stored.reason, may_be_written=False)
    if edit.if_version not in {None, stored.version}:
        return LostRace(stored.version, last_change(stored))
    after = edit.make(stored.value)
    if stored.value and without_changes(stored.value) == after:
        return Unchanged(stored.version)
    return await _write(platform, _Write(edit, stored, after))


def last_change(stored: StoredObject) -> Plain:
    """Return the newest entry of an object's change log.

    :param stored: the object.
    :return: the entry; empty if the object was written by another client.
    """
    changes = (stored.value or {}).get(CHANGES) or [{}]
    newest: Plain = changes[0]
    return newest


class _Write:
    """One conditional write, which is resent until its outcome is known.

    Resending is safe: the write is conditional on the version that was read,
    and the id of the change identifies it in the change log.
    """

    __slots__ = ('after', 'change_id', 'content', 'edit', 'stored')

    def __init__(self, edit: Edit, stored: StoredObject, after: Plain) -> None:
        change = _change(edit, stored.version)
        earlier = (stored.value or {}).get(CHANGES, [])
        self.edit = edit
        self.stored = stored
        self.after = after
        self.change_id = change['id']
        self.content = {**after, CHANGES: [change, *earlier][:HISTORY_LENGTH]}

    def changed(self, version: int, *, was_settled: bool = False) -> Changed:
        value = self.stored.value
        before = without_changes(value) if value else None
        return Changed(version, before, self.after, was_settled)

    def settle(
        self,
        present: StoredObject | Unavailable,
    ) -> Changed | LostRace | None:
        if isinstance(present, Unavailable):
            return None
        version = _version_of(present, self.change_id)
        if version is not None:
            return self.changed(version, was_settled=True)
        if present.version != self.stored.version:
            return LostRace(present.version, last_change(present))
        return None


async def _write(platform: PlatformClient, write: _Write) -> ChangeOutcome:
    kind, name = write.edit.kind, write.edit.name
    reason = ''
    for attempt in range(_TRIES):
        outcome = await platform.write(
            kind,
            name,
            write.content,
            write.stored.version,
        )
        if isinstance(outcome, Written):
            return write.changed(outcome.version)
        if isinstance(outcome, Unavailable):
            reason = outcome.reason
        settled = write.settle(await platform.read(kind, name))
        if settled is not None:
            return settled
        await asyncio.sleep(_FIRST_WAIT * 2**attempt)
    return NotSettled(reason, may_be_written=bool(reason))


def _version_of(present: StoredObject, change_id: str) -> int | None:
    version = present.version
    for change in (present.value or {}).get(CHANGES, ()):
        if change['id'] == change_id:
            return version
        version = change['replaces']
    return None


def _change(edit: Edit, version: int) -> dict[str, Any]:
    now = datetime.datetime.now(datetime.UTC)
    return {
        'id': uuid.uuid4().hex,
        'by': edit.operator,
        'at': now.isoformat(timespec='seconds'),
        'replaces': version,
        'summary': edit.summary,
    }

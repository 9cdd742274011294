"""In-memory stand-in for the platform's object store."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from figlane.entities.inbox import ObjectRead, ObjectWritten, WriteStatus
from figlane.entities.outbox import ReadObject, WriteObject


@dataclass(slots=True)
class MemoryStore:
    """Versioned objects with conditional updates.

    ``lost_answers`` is the number of writes still to come that take effect but
    whose outcome is reported as unknown. ``by_name`` holds the version and the
    content of each object.
    """

    is_down: bool = False
    lost_answers: int = 0
    revision: int = 0
    call_count: int = 0
    by_name: dict[str, tuple[int, Any]] = field(default_factory=dict)

    def write(self, row: WriteObject) -> ObjectWritten:
        """Apply a conditional write.

        :param row: the write.
        :return: the outcome that the writer sees.
        """
        self.call_count += 1
        if self.is_down:
            return _written(row, WriteStatus.UNKNOWN, 0)
        present, _ = self.by_name.get(row.name, (0, None))
        if row.if_version is not None and row.if_version != present:
            return _written(row, WriteStatus.CONFLICT, present)
        self.revision += 1
        self.by_name[row.name] = (self.revision, row.entity)
        if self.lost_answers:
            self.lost_answers -= 1
            return _written(row, WriteStatus.UNKNOWN, 0)
        return _written(row, WriteStatus.WRITTEN, self.revision)

    def read(self, row: ReadObject) -> ObjectRead:
        """Read an object.

        :param row: the read.
        :return: the object; ``is_known`` is False if the store is down.
        """
        self.call_count += 1
        version, entity = self.by_name.get(row.name, (0, None))
        return ObjectRead(
            row.request_id,
            row.kind,
            row.name,
            is_known=not self.is_down,
            version=0 if self.is_down else version,
            entity=None if self.is_down else entity,
        )


def _written(
    row: WriteObject,
    status: WriteStatus,
    version: int,
) -> ObjectWritten:
    return ObjectWritten(row.request_id, row.kind, row.name, status, version)

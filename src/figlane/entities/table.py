"""In-memory table of entities, indexed by phase and by due time."""

from __future__ import annotations

import enum
import heapq
import math
from collections.abc import Callable, Iterator
from typing import Generic, Protocol, TypeVar

NEVER = math.inf


class IdentityHashMixin:
    """Mixin that hashes the members of an enumeration by identity.

    ``enum.Enum`` hashes the name of a member in Python code, which costs more
    than the dictionary look-up in the phase index that needs the hash.
    """

    __slots__ = ()
    __hash__ = object.__hash__


class Row(Protocol):
    """Attributes that a table requires of its rows."""

    id: str
    phase: enum.Enum
    due: float


RowT = TypeVar('RowT', bound=Row)


class Alarm:
    """Lower bound on the earliest due time of one or several tables.

    ``at`` is a time in seconds. No row is due before it, so that a tick can
    skip the search for due rows until then.
    """

    __slots__ = ('at',)

    def __init__(self) -> None:
        """Create an alarm for tables without due rows."""
        self.at = NEVER


class Table(Generic[RowT]):
    """Rows by id, with secondary indexes by phase and by due time.

    A system visits only the rows in the phase that it handles or the rows that
    are due, so that idle rows cost nothing. ``revision`` increases with every
    change of the rows or their phases, to invalidate data derived from them.
    ``due_heap`` must only be read: its first entry is due no later than any
    row, but entries may be stale. ``alarm`` may be shared by several tables.
    ``get`` returns the row with an id or None; it is the ``dict.get`` of
    ``by_id``, because a method written in Python would be slower.
    """

    __slots__ = (
        '_ids_by_phase',
        '_sequence',
        'alarm',
        'by_id',
        'due_heap',
        'get',
        'revision',
    )

    def __init__(self) -> None:
        """Create an empty table."""
        self.by_id: dict[str, RowT] = {}
        self.get: Callable[[str], RowT | None] = self.by_id.get
        self._ids_by_phase: dict[enum.Enum, dict[str, None]] = {}
        self.due_heap: list[tuple[float, int, RowT]] = []
        self._sequence = 0
        self.alarm = Alarm()
        self.revision = 0

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self.by_id)

    def __iter__(self) -> Iterator[RowT]:
        """Iterate over a snapshot of the rows."""
        return iter(tuple(self.by_id.values()))

    def __contains__(self, row_id: str) -> bool:
        """Return whether a row has this id."""
        return row_id in self.by_id

    def insert(self, row: RowT) -> None:
        """Add a row, replacing any row with the same id.

        :param row: the row; its phase and due time are indexed.
        """
        if row.id in self.by_id:
            self.remove(row.id)
        self.revision += 1
        self.by_id[row.id] = row
        self._ids_by_phase.setdefault(row.phase, {})[row.id] = None
        self._push_due(row)

    def remove(self, row_id: str) -> RowT | None:
        """Delete a row.

        :param row_id: id of the row.
        :return: the deleted row, or None if there was none.
        """
        row = self.by_id.pop(row_id, None)
        if row is None:
            return None
        self.revision += 1
        self._ids_by_phase[row.phase].pop(row_id, None)
        return row

    def move(self, row: RowT, phase: enum.Enum) -> None:
        """Change the phase of a row.

        :param row: a row of this table.
        :param phase: the new phase; the row becomes the last in its order.
        """
        self.revision += 1
        self._ids_by_phase[row.phase].pop(row.id, None)
        row.phase = phase
        self._ids_by_phase.setdefault(phase, {})[row.id] = None

    def ids_in_phase(self, phase: enum.Enum) -> dict[str, None]:
        """Return a live, read-only view of the ids of the rows in a phase.

        :param phase: the phase.
        :return: the index itself; the same object for the table's lifetime.
        """
        return self._ids_by_phase.setdefault(phase, {})

    def in_phase(self, phase: enum.Enum) -> tuple[RowT, ...]:
        """Take a snapshot of the rows in a phase.

        :param phase: the phase.
        :return: the rows, in the order in which they entered the phase.
        """
        ids = self._ids_by_phase.get(phase)
        if not ids:
            return ()
        return tuple(self.by_id[row_id] for row_id in ids)

    def iter_newest_first(self, phase: enum.Enum) -> Iterator[RowT]:
        """Iterate over the rows in a phase in reverse order of entry.

        :param phase: the phase; no row may enter or leave it during the
            iteration.
        :return: the rows.
        """
        for row_id in reversed(self._ids_by_phase.get(phase, {})):
            yield self.by_id[row_id]

    def count(self, phase: enum.Enum) -> int:
        """Count the rows in a phase.

        :param phase: the phase.
        :return: the number of rows.
        """
        return len(self._ids_by_phase.get(phase, ()))

    def schedule(self, row: RowT, due: float) -> None:
        """Set the due time of a row.

        :param row: a row of this table.
        :param due: the time in seconds; ``NEVER`` clears it.
        """
        row.due = due
        self._push_due(row)

    def pop_due(self, now: float) -> list[RowT]:
        """Return the rows that are due and clear their due times.

        :param now: the present time in seconds.
        :return: the rows, earliest due time first.
        """
        due_rows = []
        while self.due_heap and self.due_heap[0][0] <= now:
            due, _, row = heapq.heappop(self.due_heap)
            if self._is_current(row, due):
                row.due = NEVER
                due_rows.append(row)
        return due_rows

    def next_due(self) -> float:
        """Return the earliest due time and drop stale heap entries before it.

        :return: the time in seconds, or ``NEVER``.
        """
        while self.due_heap:
            due, _, row = self.due_heap[0]
            if self._is_current(row, due):
                return due
            heapq.heappop(self.due_heap)
        return NEVER

    def _is_current(self, row: RowT, due: float) -> bool:
        return row.due == due and self.by_id.get(row.id) is row

    def _push_due(self, row: RowT) -> None:
        if row.due == NEVER:
            return
        if row.due < self.alarm.at:
            self.alarm.at = row.due
        self._sequence += 1
        heapq.heappush(self.due_heap, (row.due, self._sequence, row))

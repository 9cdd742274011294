"""Property test of the due-time index and the shared alarm of tables."""

from __future__ import annotations

import enum
import unittest
from dataclasses import dataclass
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from figlane.entities.table import NEVER, Alarm, Table


@enum.unique
class _Phase(enum.Enum):
    """Phases of the test rows."""

    SET = 'set'


@dataclass(slots=True)
class _Row:
    """A minimal row with a due time."""

    id: str
    due: float = NEVER
    phase: _Phase = _Phase.SET


_TIMES = st.floats(0, 100)
_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just('insert'), st.sampled_from('abc'), _TIMES),
        st.tuples(st.just('schedule'), st.sampled_from('abc'), _TIMES),
        st.tuples(st.just('remove'), st.sampled_from('abc'), _TIMES),
    ),
)


class AlarmTest(unittest.TestCase):
    """An alarm shared by several tables."""

    @given(_STEPS)
    def test_alarm_is_never_after_a_due_time(
        self, steps: list[tuple[str, str, float]]
    ) -> None:
        """No sequence of table operations leaves a row due before the alarm.

        :param steps: operations, applied to the two tables in turn.
        """
        alarm = Alarm()
        tables: list[Table[Any]] = [Table(), Table()]
        for table in tables:
            table.alarm = alarm
        for number, (step, row_id, due) in enumerate(steps):
            _apply(tables[number % 2], step, row_id, due)
            earliest = min(rows.next_due() for rows in tables)
            self.assertLessEqual(alarm.at, earliest)


def _apply(table: Table[Any], step: str, row_id: str, due: float) -> None:
    if step == 'insert':
        table.insert(_Row(row_id, due))
        return
    row = table.get(row_id)
    if row is None:
        return
    if step == 'schedule':
        table.schedule(row, due)
        return
    table.remove(row_id)

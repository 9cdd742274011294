"""Tests of conditional updates with lost messages and concurrent writes."""

from __future__ import annotations

import asyncio
import enum
import itertools
import unittest
from typing import Any
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from figlane.adapters.platform_client import (
    Conflict,
    StoredObject,
    Unavailable,
    WriteOutcome,
    Written,
)
from figlane.commands.change import (
    Changed,
    ChangeOutcome,
    Edit,
    LostRace,
    NotSettled,
    Unchanged,
    change_object,
)


@enum.unique
class Fault(enum.Enum):
    """Fault injected into one call of the object API."""

    NONE = 'none'
    REQUEST_LOST = 'request lost'
    ANSWER_LOST = 'answer lost'
    RIVAL_BEFORE = 'rival before'
    RIVAL_AFTER = 'rival after, answer lost'


class FakePlatform:
    """Object store with one object; each call takes the next fault."""

    def __init__(self, faults: list[Fault]) -> None:
        """Create a store without the object.

        :param faults: the faults of the calls in order; later calls succeed.
        """
        self.faults = iter(faults)
        self.stored = StoredObject('service', 'dues', 0)
        self.log: list[tuple[int, str]] = []

    async def read(self, kind: str, name: str) -> StoredObject | Unavailable:
        """Read the object."""
        fault = next(self.faults, Fault.NONE)
        if fault in {Fault.REQUEST_LOST, Fault.ANSWER_LOST}:
            return Unavailable(fault.value)
        return self.stored

    async def write(
        self,
        kind: str,
        name: str,
        content: Any,
        if_version: int | None = None,
    ) -> WriteOutcome:
        """Write the object if ``if_version`` is the stored version."""
        fault = next(self.faults, Fault.NONE)
        if fault is Fault.REQUEST_LOST:
            return Unavailable(fault.value)
        if fault is Fault.RIVAL_BEFORE:
            self._rival()
        if if_version != self.stored.version:
            return Conflict(self.stored.version)
        version = self._put(content)
        if fault is Fault.RIVAL_AFTER:
            self._rival()
        if fault in {Fault.ANSWER_LOST, Fault.RIVAL_AFTER}:
            return Unavailable(fault.value)
        return Written(version)

    def versions_of(self, operator: str) -> list[int]:
        """List the versions that an operator has written."""
        return [version for version, by in self.log if by == operator]

    def _put(self, content: Any) -> int:
        version = self.stored.version + 1
        self.stored = StoredObject('service', 'dues', version, content)
        self.log.append((version, content['changes'][0]['by']))
        return version

    def _rival(self) -> None:
        entry = {
            'id': f'rival-{self.stored.version}',
            'by': 'rival',
            'at': '2026-01-01T00:00:00+00:00',
            'replaces': self.stored.version,
            'summary': 'apply dues.json',
        }
        earlier = (self.stored.value or {}).get('changes', [])
        self._put({'service': 'rival', 'changes': [entry, *earlier]})


class SettlingTest(unittest.TestCase):
    """The reported outcome matches the state of the store."""

    def test_table(self) -> None:
        """Each combination of faults gives the expected outcome."""
        none = Fault.NONE
        cases = (
            ('plain', [], Changed),
            ('request lost', [none, Fault.REQUEST_LOST], Changed),
            ('answer lost', [none, Fault.ANSWER_LOST], Changed),
            ('overtaken after', [none, Fault.RIVAL_AFTER], Changed),
            ('overtaken before', [none, Fault.RIVAL_BEFORE], LostRace),
            ('down at first', [Fault.REQUEST_LOST], NotSettled),
            (
                'down for long',
                [none, *itertools.repeat(Fault.ANSWER_LOST, 40)],
                NotSettled,
            ),
        )
        for title, faults, expected in cases:
            with self.subTest(title):
                platform, outcome = _run(faults)
                self.assertIs(type(outcome), expected)
                _assert_true(self, platform, outcome)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.sampled_from(Fault), max_size=20))
    def test_outcome_is_true(self, faults: list[Fault]) -> None:
        """For any faults, the reported version exists, a conflict wrote none.

        :param faults: the faults of the calls in order.
        """
        platform, outcome = _run(faults)
        _assert_true(self, platform, outcome)

    def test_same_content_is_unchanged(self) -> None:
        """A document whose content is already stored is not written again."""
        platform, _ = _run([])
        outcome = asyncio.run(change_object(platform, _edit()))
        self.assertEqual(outcome, Unchanged(1))
        self.assertEqual(len(platform.log), 1)

    def test_condition_of_operator(self) -> None:
        """With ``if_version``, another stored version is a conflict."""
        platform, _ = _run([])
        outcome = asyncio.run(change_object(platform, _edit(if_version=7)))
        self.assertIsInstance(outcome, LostRace)
        self.assertEqual(outcome.winner['by'], 'operator')


def _edit(if_version: int | None = None) -> Edit:
    return Edit(
        'service',
        'dues',
        lambda stored: {'service': 'dues'},
        'operator',
        'apply dues.json',
        if_version,
    )


def _run(faults: list[Fault]) -> tuple[FakePlatform, ChangeOutcome]:
    platform = FakePlatform(faults)
    with patch('figlane.commands.change._FIRST_WAIT', 0):
        return platform, asyncio.run(change_object(platform, _edit()))


def _assert_true(
    case: unittest.TestCase,
    platform: FakePlatform,
    outcome: ChangeOutcome,
) -> None:
    written = platform.versions_of('operator')
    case.assertLessEqual(len(written), 1)
    if isinstance(outcome, Changed):
        case.assertEqual(written, [outcome.version])
    if isinstance(outcome, LostRace):
        case.assertEqual(written, [])
        case.assertEqual(outcome.winner['by'], 'rival')
    if isinstance(outcome, NotSettled) and not outcome.may_be_written:
        case.assertEqual(written, [])

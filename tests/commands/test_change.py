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
    Unchanged,
    Unconfirmed,
    VersionConflict,
    change_object,
)


@enum.unique
class Fault(enum.Enum):
    """Fault injected into one call of the object store."""

    NONE = 'none'
    REQUEST_LOST = 'request lost'
    ANSWER_LOST = 'answer lost'
    CONCURRENT_WRITE_BEFORE = 'concurrent write before'
    CONCURRENT_WRITE_AFTER = 'concurrent write after, answer lost'


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
        if fault is Fault.CONCURRENT_WRITE_BEFORE:
            self._write_concurrently()
        if if_version != self.stored.version:
            return Conflict(self.stored.version)
        version = self._put(content)
        if fault is Fault.CONCURRENT_WRITE_AFTER:
            self._write_concurrently()
        if fault in {Fault.ANSWER_LOST, Fault.CONCURRENT_WRITE_AFTER}:
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

    def _write_concurrently(self) -> None:
        entry = {
            'id': f'other-{self.stored.version}',
            'by': 'other-operator',
            'at': '2026-01-01T00:00:00+00:00',
            'replaces': self.stored.version,
            'summary': 'apply dues.json',
        }
        earlier = (self.stored.value or {}).get('changes', [])
        self._put({'service': 'other', 'changes': [entry, *earlier]})


class ConditionalUpdateTest(unittest.TestCase):
    """The reported outcome matches the state of the store."""

    def test_outcome_by_fault(self) -> None:
        """Each combination of faults results in the expected outcome."""
        none = Fault.NONE
        cases = (
            ('plain', [], Changed),
            ('request lost', [none, Fault.REQUEST_LOST], Changed),
            ('answer lost', [none, Fault.ANSWER_LOST], Changed),
            (
                'concurrent write after',
                [none, Fault.CONCURRENT_WRITE_AFTER],
                Changed,
            ),
            (
                'concurrent write before',
                [none, Fault.CONCURRENT_WRITE_BEFORE],
                VersionConflict,
            ),
            ('no answer to first read', [Fault.REQUEST_LOST], Unconfirmed),
            (
                'no answer to any call after the first',
                [none, *itertools.repeat(Fault.ANSWER_LOST, 40)],
                Unconfirmed,
            ),
        )
        for title, faults, expected in cases:
            with self.subTest(title):
                platform, outcome = _run(faults)
                self.assertIs(type(outcome), expected)
                _assert_matches_store(self, platform, outcome)

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.sampled_from(Fault), max_size=20))
    def test_outcome_matches_store(self, faults: list[Fault]) -> None:
        """For any faults, the reported version exists, a conflict wrote none.

        :param faults: the faults of the calls in order.
        """
        platform, outcome = _run(faults)
        _assert_matches_store(self, platform, outcome)

    def test_same_content_is_unchanged(self) -> None:
        """A document whose content is already stored is not written again."""
        platform, _ = _run([])
        outcome = asyncio.run(change_object(platform, _edit()))
        self.assertEqual(outcome, Unchanged(1))
        self.assertEqual(len(platform.log), 1)

    def test_if_version_conflict(self) -> None:
        """With ``if_version``, another stored version is a conflict."""
        platform, _ = _run([])
        outcome = asyncio.run(change_object(platform, _edit(if_version=7)))
        self.assertIsInstance(outcome, VersionConflict)
        self.assertEqual(outcome.conflicting_change['by'], 'operator')


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
    with patch('figlane.commands.change._INITIAL_BACKOFF_SECONDS', 0):
        return platform, asyncio.run(change_object(platform, _edit()))


def _assert_matches_store(
    case: unittest.TestCase,
    platform: FakePlatform,
    outcome: ChangeOutcome,
) -> None:
    written = platform.versions_of('operator')
    case.assertLessEqual(len(written), 1)
    if isinstance(outcome, Changed):
        case.assertEqual(written, [outcome.version])
    if isinstance(outcome, VersionConflict):
        case.assertEqual(written, [])
        case.assertEqual(outcome.conflicting_change['by'], 'other-operator')
    if isinstance(outcome, Unconfirmed) and not outcome.may_have_been_written:
        case.assertEqual(written, [])

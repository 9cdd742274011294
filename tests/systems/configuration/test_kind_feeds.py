"""Tests of reads and watches for each kind of object."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from figlane.entities.inbox import ObjectChanged
from figlane.entities.kind_feed import (
    FollowKinds,
    KindFailed,
    KindListed,
    KindWatched,
    ReadKind,
    WatchKind,
)
from figlane.entities.service import FailureDomain
from figlane.entities.world import Identity, World
from figlane.systems.membership.domains import is_taken_out
from figlane.systems.tick import run_tick

_MAX_BACKOFF_SECONDS = 1.5


class KindFeedTest(unittest.TestCase):
    """A node that follows the kind ``domain``."""

    def setUp(self) -> None:
        """Start the feed, which reads all objects first."""
        self.world = World(Identity('node', 'a', 1), Random(1))
        self.now = 10.0
        self.assertEqual(self._tick(FollowKinds(('domain',))), ['read'])

    def test_read_then_watch(self) -> None:
        """A watch starts from the revision of the previous answer."""
        self.assertEqual(self._list(7), ['watch 7'])
        rows = self._tick(KindWatched('domain', 9))
        self.assertEqual(rows, ['watch 9'])

    def test_pause_between_watches(self) -> None:
        """The next watch starts only after the pause of the feed."""
        self._tick(FollowKinds(('member',), 1.0))
        self._tick(KindListed('member', 7, 15))
        self.now += 0.9
        self.assertEqual(self._tick(None), [])
        self.now += 0.2
        self.assertEqual(self._tick(None), ['watch 7'])

    def test_failed_watch(self) -> None:
        """A failed watch is retried; a lost history causes a new read."""
        cases = (
            ('failed watch', KindFailed('domain', 'timeout'), 'watch 7'),
            ('lost history', KindFailed('domain', '410', True), 'read'),
        )
        for name, row, expected in cases:
            with self.subTest(name=name):
                self._list(7)
                self.assertEqual(self._tick_after_backoff(row), [expected])
                self._list(7)

    def test_backoff_stays_short(self) -> None:
        """The backoff stays short, so reads resume soon after an outage."""
        for _ in range(20):
            rows = self._tick_after_backoff(KindFailed('domain', 'status 503'))
            self.assertEqual(rows, ['read'])

    def test_unlisted_objects(self) -> None:
        """An object that a listing lacks is deleted unless it is newer."""
        self._change('a', 4)
        self._change('b', 40)
        self._list(10)
        self.assertFalse(is_taken_out(self.world, 'a'))
        self.assertTrue(is_taken_out(self.world, 'b'))

    def test_deletion_and_return(self) -> None:
        """A deleted object can be created again."""
        self._change('a', 4)
        self._tick(ObjectChanged('domain', 'a', 5, None))
        self.assertFalse(is_taken_out(self.world, 'a'))
        self._change('a', 6)
        self.assertTrue(is_taken_out(self.world, 'a'))

    def _change(self, name: str, version: int) -> None:
        domain = FailureDomain(name, version, taken_out=True)
        self._tick(ObjectChanged('domain', name, version, domain))

    def _list(self, revision: int) -> list[str]:
        row = KindListed('domain', revision, 2 * revision + 1)
        return self._tick(row)

    def _tick_after_backoff(self, row: Any) -> list[str]:
        rows = self._tick(row)
        self.now += _MAX_BACKOFF_SECONDS
        return rows + self._tick(None)

    def _tick(self, row: Any) -> list[str]:
        if row is not None:
            self.world.inbox.append(row)
        run_tick(self.world, self.now)
        self.assertEqual(self.world.failures, [])
        rows = [_describe(found) for found in self.world.outbox]
        self.world.outbox.clear()
        return [text for text in rows if text]


def _describe(row: Any) -> str:
    if isinstance(row, ReadKind):
        return 'read'
    if isinstance(row, WatchKind):
        return f'watch {row.revision}'
    return ''

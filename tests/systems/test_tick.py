"""Tests of failure isolation in a tick."""

from __future__ import annotations

import unittest
from random import Random

from figlane.entities.inbox import BackendAnnounced
from figlane.entities.world import Identity, World
from figlane.systems.tick import run_tick


class _UnhandledRow:
    """An inbox row without a registered handler."""


class TickTest(unittest.TestCase):
    """A tick over inbox rows whose handling fails."""

    def test_failed_row_does_not_discard_later_rows(self) -> None:
        """An inbox row that fails does not discard the rows after it."""
        world = World(Identity('node-1', 'domain-a', 1), Random(1))
        announced = BackendAnnounced('a-1', 'a', '127.0.0.1:1', 1, 1)
        world.inbox = [_UnhandledRow(), announced]
        run_tick(world, 0)
        self.assertIn('a-1', world.backend_servers)
        self.assertEqual(world.counters['inbox.failed'], 1)
        self.assertEqual(len(world.failures), 1)

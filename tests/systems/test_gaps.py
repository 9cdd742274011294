"""Tests of the gaps between ticks."""

from __future__ import annotations

import unittest
from random import Random

from figlane.entities.world import Identity, World
from figlane.systems.gaps import earliest_arrival
from figlane.systems.tick import run_tick

_TICK_SECONDS = 0.01
_PAUSE_SECONDS = 2.5
_BEGIN = 100.0


class GapTest(unittest.TestCase):
    """A node that ticks often until its process is paused."""

    def setUp(self) -> None:
        """Run some ticks."""
        self.world = World(Identity('node-1', 'domain-a', 1), Random(1))
        self.now = _BEGIN
        for _ in range(50):
            self._tick()
        self.due_at = self.world.wake_time()
        self.now += _PAUSE_SECONDS

    def test_event_before_any_tick(self) -> None:
        """An event that comes before the first tick counts as punctual."""
        world = World(Identity('node-1', 'domain-a', 1), Random(1))
        self.assertEqual(earliest_arrival(world, _BEGIN), _BEGIN)

    def test_event_between_ticks(self) -> None:
        """An event counts as punctual while the node ticks often."""
        handled_at = self.world.ticked_at + _TICK_SECONDS
        self.assertEqual(earliest_arrival(self.world, handled_at), handled_at)

    def test_event_after_a_pause(self) -> None:
        """An event that is handled first after a pause may be as old."""
        self.assertEqual(self._earliest_arrival(), self.due_at)

    def test_event_after_due_timers(self) -> None:
        """Ticks between the end of a pause and the event change nothing."""
        for _ in range(3):
            run_tick(self.world, self.now)
            self.now += _TICK_SECONDS
        self.assertEqual(self._earliest_arrival(), self.due_at)

    def test_event_after_a_shorter_gap(self) -> None:
        """A pause counts although the first tick after it takes long."""
        run_tick(self.world, self.now)
        self.now += 0.2
        run_tick(self.world, self.now)
        self.assertEqual(self._earliest_arrival(), self.due_at)

    def test_event_long_after_a_pause(self) -> None:
        """A pause that is over does not count."""
        for _ in range(50):
            self._tick()
        self.assertEqual(self._earliest_arrival(), self.now)

    def test_event_on_a_quiet_node(self) -> None:
        """Guards against a quiet node that is taken for a paused one."""
        self._tick()
        self.world.alarm.at = self.now + 1
        self.now += 0.9
        self.assertEqual(self._earliest_arrival(), self.now)
        run_tick(self.world, self.now)
        self.assertEqual(self._earliest_arrival(), self.now)

    def _tick(self) -> None:
        run_tick(self.world, self.now)
        # The timer of the next tick.
        self.world.alarm.at = self.now + _TICK_SECONDS
        self.now += _TICK_SECONDS

    def _earliest_arrival(self) -> float:
        return earliest_arrival(self.world, self.now)

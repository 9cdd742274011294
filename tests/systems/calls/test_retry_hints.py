"""Tests of the retry-after times of refusals."""

from __future__ import annotations

import unittest
from collections import Counter
from random import Random

from figlane.entities.call import Call
from figlane.entities.http import Request
from figlane.entities.node_drain import NodeDrain
from figlane.entities.world import Identity, World
from figlane.errors import ErrorKind, Refusal
from figlane.systems.calls.retry_hints import with_retry_after


class RetryAfterTest(unittest.TestCase):
    """Bounds and spread of retry-after times."""

    def setUp(self) -> None:
        """Create a node with a seeded random generator."""
        self.world = World(Identity('node', 'a', 1), Random(1))

    def test_upper_bound(self) -> None:
        """The time is at most a third of the caller's remaining time."""
        for left in (0.03, 0.3, 1.5, 60):
            with self.subTest(left=left):
                for _ in range(200):
                    seconds = self._seconds(ErrorKind.OVERLOADED, left)
                    self.assertLessEqual(seconds, left / 3)
                    self.assertGreater(seconds, 0)

    def test_spread(self) -> None:
        """Callers refused at the same moment get different times."""
        times = [self._seconds(ErrorKind.OVERLOADED, 6) for _ in range(1000)]
        tenths = Counter(int(seconds * 10) for seconds in times)
        self.assertLess(max(tenths.values()), 180)

    def test_kinds(self) -> None:
        """Only refusals with a temporary cause and no run get a time."""
        cases = (
            (ErrorKind.DRAINING, True),
            (ErrorKind.DEADLINE_EXCEEDED, True),
            (ErrorKind.OUTCOME_UNKNOWN, False),
            (ErrorKind.UNAUTHENTICATED, False),
            (ErrorKind.UNKNOWN_ROUTE, False),
        )
        for kind, has_time in cases:
            with self.subTest(kind=kind):
                found = self._refusal(kind, 3)
                self.assertEqual(found.retry_after is not None, has_time)

    def test_return_after_the_stop(self) -> None:
        """Callers of a stopping node return once its next process can be up.

        Those that came back earlier would find the same process, or none.
        """
        self.world.node_drains.insert(NodeDrain(99, 103, stops_process=True))
        for _ in range(200):
            seconds = self._seconds(ErrorKind.DRAINING, 60)
            self.assertGreater(seconds, 3)
        self.assertLess(self._seconds(ErrorKind.OVERLOADED, 60), 1.1)
        self.assertLessEqual(self._seconds(ErrorKind.DRAINING, 3), 1)

    def _seconds(self, kind: ErrorKind, left: float) -> float:
        seconds = self._refusal(kind, left).retry_after
        return -1 if seconds is None else seconds

    def _refusal(self, kind: ErrorKind, left: float) -> Refusal:
        call = Call('c', 's', Request('GET', '/', ()), 100, caller_timeout=left)
        return with_retry_after(self.world, call, Refusal(kind), 100)

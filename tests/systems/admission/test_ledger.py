"""Bounds on the size of the ledger and on the lifetime of its entries."""

from __future__ import annotations

import unittest

from figlane.entities.http import Answer
from figlane.entities.inbox import BackendFinished
from figlane.errors import ErrorKind, Refusal
from figlane.systems.admission.ledger import MAX_KEPT_BYTES, RECORD_SECONDS
from tests.simulated_network import DEADLINE, Run, SimulatedNetwork

_ANSWER_BYTES = 1_048_576


class LedgerTest(unittest.TestCase):
    """Exit nodes with answers of 1 MiB."""

    def setUp(self) -> None:
        """Run calls whose answers exceed the ledger's bound on bytes."""
        self.network = SimulatedNetwork()
        count = 2 * MAX_KEPT_BYTES // _ANSWER_BYTES
        for _ in range(count):
            self.network.arrive('POST')
            self.network.deliver_all()
            self._answer(self.network.open_runs()[0])

    def test_bytes_are_bounded(self) -> None:
        """Old answers are evicted and replaced by an unknown outcome."""
        worlds = self.network.world_by_node.values()
        sizes = [world.ledger.kept_bytes for world in worlds]
        self.assertLessEqual(max(sizes), MAX_KEPT_BYTES)
        outcomes = [row.outcome for world in worlds for row in world.executions]
        answers = [row for row in outcomes if isinstance(row, Answer)]
        self.assertEqual(sum(len(row.body) for row in answers), sum(sizes))
        dropped = [row for row in outcomes if isinstance(row, Refusal)]
        self.assertEqual(
            {row.kind for row in dropped} - {ErrorKind.OUTCOME_UNKNOWN},
            set(),
        )

    def test_entries_expire(self) -> None:
        """Entries outlive the deadline and expire after ``RECORD_SECONDS``."""
        self.network.advance(DEADLINE)
        self.assertGreater(self._record_count(), 0)
        self.network.advance(RECORD_SECONDS + 1)
        self.assertEqual(self._record_count(), 0)

    def _record_count(self) -> int:
        worlds = self.network.world_by_node.values()
        return sum(len(world.executions) for world in worlds)

    def _answer(self, run: Run) -> None:
        run.is_open = False
        answer = Answer(200, (), bytes(_ANSWER_BYTES))
        row = run.row
        self.network.inject(
            run.node,
            BackendFinished(row.execution_id, row.attempt, answer),
        )
        self.network.deliver_all()

"""Tests of the end of a planned stop."""

from __future__ import annotations

import unittest
from random import Random

from figlane.entities.call import Call, CallPhase
from figlane.entities.http import Request
from figlane.entities.inbox import NodeStarted
from figlane.entities.node_drain import (
    DrainEndRequested,
    DrainRequested,
    NodeDrained,
)
from figlane.entities.outbox import AnswerCaller
from figlane.entities.world import Identity, World
from figlane.errors import ErrorKind, ExecutionStatus
from figlane.systems.tick import run_tick

_DRAIN_SECONDS = 5.0


class StopTest(unittest.TestCase):
    """A node whose callers keep their connections during a planned stop."""

    def setUp(self) -> None:
        """Start a node without work and drain it."""
        self.world = World(Identity('n', 'a', 1), Random(1))
        self.world.inbox.append(NodeStarted(frozenset()))
        self.world.inbox.append(
            DrainRequested(
                _DRAIN_SECONDS, stops_process=True, accepts_root_calls=True
            ),
        )
        self.now = 100.0
        run_tick(self.world, self.now)

    def test_call_after_the_drain(self) -> None:
        """A call that arrives after the drain is refused as not run.

        The process ends before an answer to it could come.
        """
        rows = self._run_until_drained()
        self.assertTrue(any(isinstance(row, NodeDrained) for row in rows))
        refusal = self._call().outcome
        self.assertIs(refusal.kind, ErrorKind.DRAINING)
        status = refusal.answer.execution_status
        self.assertIs(status, ExecutionStatus.NOT_RUN)

    def test_call_during_the_drain(self) -> None:
        """A call that arrives during the drain is routed."""
        self.assertIsNot(self._call().outcome.kind, ErrorKind.DRAINING)

    def test_stop_after_an_operators_drain(self) -> None:
        """A node that an operator has drained before ends on a stop.

        It is told once that its process may end.
        """
        self.world = World(Identity('n', 'a', 1), Random(1))
        self.world.inbox.append(NodeStarted(frozenset()))
        self._request_drain(stops_process=False)
        self.assertEqual(_count_ends(self._run_until_drained()), 0)
        self._request_drain(stops_process=True)
        self.assertEqual(_count_ends(self._run_until_drained()), 1)

    def test_end_of_the_drain_on_request(self) -> None:
        """A drain that is ended on request refuses the calls that wait."""
        call = Call('waiting', 's', Request('GET', '/', ()), self.now)
        call.phase = CallPhase.WAITING
        self.world.calls.insert(call)
        self.world.outbox.clear()
        self.world.inbox.append(DrainEndRequested())
        run_tick(self.world, self.now + 0.1)
        self.assertEqual(_count_ends(self.world.outbox), 1)
        answers = [
            row for row in self.world.outbox if isinstance(row, AnswerCaller)
        ]
        self.assertIs(answers[0].outcome.kind, ErrorKind.DRAINING)

    def _request_drain(self, *, stops_process: bool) -> None:
        self.world.inbox.append(
            DrainRequested(_DRAIN_SECONDS, stops_process=stops_process)
        )

    def _run_until_drained(self) -> list[object]:
        ends = self.now + 2 * _DRAIN_SECONDS
        while self.now < ends:
            self.now += 0.1
            run_tick(self.world, self.now)
        rows = self.world.outbox
        self.world.outbox = []
        return rows

    def _call(self) -> AnswerCaller:
        call = Call('call', 's', Request('GET', '/', ()), self.now)
        call.phase = CallPhase.ARRIVED
        self.world.calls.insert(call)
        run_tick(self.world, self.now)
        return next(
            row for row in self.world.outbox if isinstance(row, AnswerCaller)
        )


def _count_ends(rows: list[object]) -> int:
    return sum(isinstance(row, NodeDrained) for row in rows)

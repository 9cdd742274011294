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
from figlane.systems.calls.time_limits import ANSWER_SECONDS
from figlane.systems.tick import run_tick
from tests.systems.exit_node import ExitNode

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

    def test_late_end_of_the_drain(self) -> None:
        """Guards against final answers that come after the process has ended.

        The tick that ends the drain is late.
        """
        call = self._add_sent_call()
        drain_ends_at = self.now + _DRAIN_SECONDS
        run_tick(self.world, drain_ends_at + 0.1)
        self.assertLessEqual(call.due, drain_ends_at + ANSWER_SECONDS)

    def test_end_on_request_after_the_end(self) -> None:
        """Guards against open calls that are logged twice."""
        self._add_sent_call()
        drain_ends_at = self.now + _DRAIN_SECONDS
        run_tick(self.world, drain_ends_at)
        self.world.inbox.append(DrainEndRequested())
        run_tick(self.world, drain_ends_at + ANSWER_SECONDS / 2)
        self.assertEqual(self.world.counters['call.open-after-drain'], 1)

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

    def _add_sent_call(self) -> Call:
        call = Call('open', 's', Request('GET', '/', ()), self.now)
        call.phase = CallPhase.SENT
        call.node_id = 'other'
        call.deadline = self.now + 2 * _DRAIN_SECONDS
        self.world.calls.insert(call)
        self.world.calls.schedule(call, call.deadline)
        return call

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


class ExitStopTest(unittest.TestCase):
    """An exit node that runs one call of another node and has queued one."""

    def setUp(self) -> None:
        """Start the node and offer it both calls."""
        self.node = ExitNode(slots=1)
        self.now = 100.0
        # How often the node has said that its process may end.
        self.ends = 0
        self.node.world.inbox.append(NodeStarted(frozenset()))
        self.running_id = self.node.offer()
        self.queued_id = self.node.offer()
        self.node.tick(self.now)
        self.assertEqual(len(self.node.running), 1)
        self.assertEqual(len(self.node.queued), 1)

    def test_queued_execution_at_the_end(self) -> None:
        """Guards against queued calls whose outcome is unknown after a stop."""
        # Shorter than the wait after which a queued call is refused.
        self._drain(0.3, stops_process=True)
        self._advance(0.2)
        self.assertEqual(self.ends, 0)
        self.assertEqual(self.node.refusals, [])
        self._advance(0.2)
        self.assertEqual(self.ends, 1)
        kind = self._check_ends_of_calls()
        self.assertEqual(kind, ErrorKind.DRAINING.value)

    def test_stop_while_an_operators_drain_runs(self) -> None:
        """Guards against a stop without a grace period of its own."""
        self._drain(stops_process=False)
        self._advance(_DRAIN_SECONDS - 1)
        self._drain(stops_process=True)
        self._advance(_DRAIN_SECONDS - 0.1)
        self.assertEqual(self.ends, 0)
        self._advance(0.2)
        self.assertEqual(self.ends, 1)
        self._check_ends_of_calls()

    def test_end_on_request_reports_what_runs(self) -> None:
        """Guards against runs whose entry nodes are not told of the end."""
        self._drain(stops_process=True)
        self._advance(0.1)
        self.node.world.inbox.append(DrainEndRequested())
        self._advance(0.1)
        kind = self._check_ends_of_calls()
        self.assertEqual(kind, ErrorKind.DRAINING.value)

    def test_stop_after_the_end_of_an_operators_drain(self) -> None:
        """Guards against a stop that cuts off what a drain has left running."""
        self._drain(stops_process=False)
        self._advance(_DRAIN_SECONDS + 1)
        self._drain(stops_process=True)
        self._advance(1)
        self.assertEqual(self.ends, 0)
        for execution in self.node.running:
            self.node.finish(execution)
        self._advance(1)
        self.assertEqual(self.ends, 1)

    def test_repeated_requests_change_nothing(self) -> None:
        """Neither stops nor drains move the end of a stop."""
        self._drain(stops_process=True)
        self._advance(_DRAIN_SECONDS - 1)
        for stops_process in (True, False):
            self._drain(stops_process=stops_process)
        self._advance(0.9)
        self.assertEqual(self.ends, 0)
        self._advance(0.2)
        self.assertEqual(self.ends, 1)

    def _check_ends_of_calls(self) -> str:
        """Check that the outcome of what ran is unknown.

        :return: the kind of refusal of the queued call.
        """
        kind_by_id = {row.call_id: row.kind for row in self.node.refusals}
        self.assertEqual(
            kind_by_id.pop(self.running_id), ErrorKind.OUTCOME_UNKNOWN.value
        )
        self.assertEqual(list(kind_by_id), [self.queued_id])
        return kind_by_id[self.queued_id]

    def _drain(
        self, seconds: float = _DRAIN_SECONDS, *, stops_process: bool
    ) -> None:
        self.node.world.inbox.append(
            DrainRequested(seconds, stops_process=stops_process)
        )
        self._tick()

    def _advance(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now = min(self.now + 0.05, until)
            self._tick()

    def _tick(self) -> None:
        self.node.tick(self.now)
        self.ends += _count_ends(self.node.outbox)


def _count_ends(rows: list[object]) -> int:
    return sum(isinstance(row, NodeDrained) for row in rows)

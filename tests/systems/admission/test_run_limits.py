"""Tests of executions that are open while their exit node stops."""

from __future__ import annotations

from figlane.errors import ErrorKind
from figlane.systems.calls.time_limits import ANSWER_SECONDS
from tests.simulated_network import Run
from tests.systems.calls.stopping_case import (
    DRAIN_SECONDS,
    SHORT_SECONDS,
    StoppingCase,
)

_EXIT_NODES = ('a1', 'a2')
_QUEUE_SECONDS = 0.2


class ExitStopTest(StoppingCase):
    """An exit node that stops while its backend server works on."""

    def test_run_at_the_end_is_reported(self) -> None:
        """Guards against callers that wait for an exit node that is gone.

        The entry node learns before the process ends that the call may have
        run, and tells its caller at once.
        """
        call = self.network.arrive('POST')
        self.drain(node=self.run_of(call).node)
        self.advance_to(0, self.run_of(call).node)
        self.network.deliver_all()
        outcomes = self.network.outcomes_by_call.get(call, [])
        kinds = [outcome.kind for outcome in outcomes]
        self.assertEqual(kinds, [ErrorKind.OUTCOME_UNKNOWN])

    def test_idempotent_run_is_repeated(self) -> None:
        """An idempotent call that outlasts its exit node runs at another."""
        call = self.network.arrive('GET')
        first = self.run_of(call)
        self.drain(node=first.node)
        self.advance_to(0, first.node)
        self.network.deliver_all()
        nodes = [
            run.node
            for run in self.network.runs
            if run.row.execution_id == call
        ]
        self.assertEqual(len(set(nodes)), 2)

    def test_run_that_starts_in_the_drain(self) -> None:
        """A server that starts a queued call is told when its node stops."""
        first = self._drain_with_queue(DRAIN_SECONDS)
        self.advance_to(DRAIN_SECONDS - _QUEUE_SECONDS, first.node)
        started = self._runs_after(first)
        self.assertEqual(len(started), 1)
        seconds_left = DRAIN_SECONDS - _QUEUE_SECONDS
        self.assertAlmostEqual(
            started[0].row.timeout, seconds_left - ANSWER_SECONDS
        )

    def test_late_queued_call_runs_elsewhere(self) -> None:
        """Guards against runs that begin when their node is about to stop.

        Their outcome would be unknown, although they could run elsewhere.
        """
        first = self._drain_with_queue(_QUEUE_SECONDS)
        self.advance_to(ANSWER_SECONDS, first.node)
        self.assertEqual(self._runs_after(first), [])
        for node in _EXIT_NODES:
            self.server(node).slots = len(self.network.method_by_call)
        self.network.deliver_all()
        self.assertEqual(self.refusals(), [])
        nodes = [run.node for run in self.network.open_runs()]
        self.assertNotIn(first.node, nodes)
        self.answer_all()
        self.assertEqual(self.refusals(), [])

    def test_queued_call_that_takes_too_long(self) -> None:
        """Guards against runs that cannot end before their node stops.

        The call runs at another node, although some time is left here.
        """
        seconds_left = 3 * ANSWER_SECONDS
        started = self._start_after(2 * seconds_left, seconds_left)
        self.assertEqual(started, [])
        self.network.deliver_all()
        self.assertEqual(self.refusals(), [])

    def test_queued_call_that_takes_less(self) -> None:
        """A queued call with time left to run is started in the drain."""
        started = self._start_after(SHORT_SECONDS, 3 * ANSWER_SECONDS)
        self.assertEqual(len(started), 1)

    def test_operators_drain_ends_no_run(self) -> None:
        """A drain without a stop of the process lets all runs end."""
        call = self.network.arrive('POST')
        node = self.run_of(call).node
        self.drain(node=node, stops_process=False)
        self.advance_to(-1, node)
        self.answer_all()
        self.assertEqual(self.refusals(), [])

    def _start_after(self, seconds: float, seconds_left: float) -> list[Run]:
        # A call takes the given time, and the next one waits in the drain.
        self.measure('POST', seconds)
        first = self._drain_with_queue(seconds_left + SHORT_SECONDS)
        self.advance_to(seconds_left, first.node)
        return self._runs_after(first)

    def _drain_with_queue(self, seconds: float) -> Run:
        # Returns the run of the node that drains.
        for node in _EXIT_NODES:
            self.server(node).slots = 1
        for _ in range(4):
            self.network.arrive('POST')
        self.network.deliver_all()
        first, _ = self.network.open_runs()
        self.drain(seconds, node=first.node)
        return first

    def _runs_after(self, first: Run) -> list[Run]:
        self.network.finish(first, 'answer')
        return [
            run for run in self.network.open_runs() if run.node == first.node
        ]

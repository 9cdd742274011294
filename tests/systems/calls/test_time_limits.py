"""Tests of the time that calls get which are sent while their node stops."""

from __future__ import annotations

from figlane.entities.http import Answer
from figlane.entities.node_drain import DRAIN_ID, DrainRequested
from figlane.errors import ErrorKind
from tests.simulated_network import ENTRY
from tests.systems.calls.stopping_case import (
    DRAIN_SECONDS,
    LONG_SECONDS,
    SHORT_SECONDS,
    StoppingCase,
)

# Rounding of times.
_CLOSE = 1e-6
# Time of a message between two nodes on a busy machine, and the time after the
# drain for which the connections of callers stay open.
_TRANSIT_SECONDS = 0.1
_CLOSING_SECONDS = 0.2


class TimeLimitTest(StoppingCase):
    """Calls that are sent or open while their entry node stops."""

    def test_call_ends_with_the_drain(self) -> None:
        """Guards against calls that run past the end of their entry node.

        The server is told a time limit that ends with the drain, also in the
        entry grace, in which the duration of calls does not count.
        """
        for seconds_left in (DRAIN_SECONDS - 1, 1):
            with self.subTest(seconds_left=seconds_left):
                self.setUp()
                self.measure('POST', SHORT_SECONDS)
                self.drain()
                self.advance_to(seconds_left)
                run = self.run_of(self.network.arrive('POST'))
                self.assertLessEqual(run.row.timeout, seconds_left + _CLOSE)

    def test_retry_ends_with_the_drain(self) -> None:
        """A call that is sent again has no more time than the stop leaves."""
        self.measure('GET', SHORT_SECONDS)
        self.drain()
        self.advance_to(DRAIN_SECONDS / 2)
        call = self.network.arrive('GET')
        self.network.finish(self.run_of(call), 'unknown')
        self.network.deliver_all()
        self.assertEqual(self.network.run_count(call), 2)
        retry = self.run_of(call)
        self.assertLessEqual(retry.row.timeout, DRAIN_SECONDS / 2 + _CLOSE)

    def test_answer_at_the_time_limit_arrives(self) -> None:
        """Guards against a server's last answer that comes too late.

        A server that works until its time limit still has its answer delivered
        before the entry node closes the connection of the caller.
        """
        self.measure('POST', SHORT_SECONDS)
        self.drain()
        self.advance_to(1)
        call = self.network.arrive('POST')
        run = self.run_of(call)
        self.network.advance(run.row.timeout + _TRANSIT_SECONDS)
        self.network.finish(run, 'answer')
        self.network.deliver_all()
        self.assertIsInstance(self.network.outcomes_by_call[call][0], Answer)
        drain = self.network.world_by_node[ENTRY].node_drains.by_id[DRAIN_ID]
        self.assertLess(self.network.now, drain.ends_by + _CLOSING_SECONDS)

    def test_unanswered_call_gets_a_final_answer(self) -> None:
        """Guards against callers that are cut off without an answer.

        It is the same for a call that was sent before the stop.
        """
        self.measure('POST', SHORT_SECONDS)
        calls = [self.network.arrive('GET')]
        self.drain()
        self.advance_to(1)
        calls.append(self.network.arrive('POST'))
        self.network.deliver_all()
        self.advance_to(0)
        self.network.deliver_all()
        self.advance_to(-_CLOSING_SECONDS)
        self.network.deliver_all()
        for call in calls:
            outcomes = self.network.outcomes_by_call.get(call, [])
            kinds = [outcome.kind for outcome in outcomes]
            self.assertEqual(kinds, [ErrorKind.OUTCOME_UNKNOWN])

    def test_repeated_stop_delays_no_final_answer(self) -> None:
        """Guards against a stop request in the last moment before the end."""
        call = self.network.arrive('POST')
        self.drain()
        self.advance_to(0)
        self.advance_to(-_TRANSIT_SECONDS)
        request = DrainRequested(DRAIN_SECONDS, stops_process=True)
        self.network.inject(ENTRY, request)
        self.advance_to(-_CLOSING_SECONDS)
        self.assertIn(call, self.network.outcomes_by_call)

    def test_call_without_time_does_not_run(self) -> None:
        """An exit node refuses what its server cannot do before the stop.

        The caller is told to come back when the next process is up.
        """
        self.measure('POST', SHORT_SECONDS)
        self.drain()
        self.advance_to(2 * LONG_SECONDS)
        self.measure('POST', SHORT_SECONDS)
        self.measure('POST', LONG_SECONDS, node='b1')
        self.advance_to(2 * SHORT_SECONDS)
        call = self.network.arrive('POST')
        self.network.deliver_all()
        self.assertEqual(self.network.run_count(call), 0)
        refusal = self.network.outcomes_by_call[call][0]
        self.assertIs(refusal.kind, ErrorKind.DEADLINE_EXCEEDED)
        self.assertGreater(refusal.retry_after, 2 * SHORT_SECONDS)

    def test_retry_that_is_refused_is_in_doubt(self) -> None:
        """A call that may have run is never refused as not run."""
        self.measure('GET', SHORT_SECONDS)
        self.drain()
        self.advance_to(3 * SHORT_SECONDS)
        call = self.network.arrive('GET')
        run = self.run_of(call)
        self.advance_to(SHORT_SECONDS / 2)
        self.network.finish(run, 'unknown')
        self.network.deliver_all()
        outcomes = self.network.outcomes_by_call[call]
        kinds = [outcome.kind for outcome in outcomes]
        self.assertEqual(kinds, [ErrorKind.OUTCOME_UNKNOWN])
        self.assertEqual(self.network.run_count(call), 1)

    def test_open_call_keeps_its_time(self) -> None:
        """A call that was sent before the stop keeps its own time limit."""
        run = self.run_of(self.network.arrive('POST'))
        self.assertGreater(run.row.timeout, DRAIN_SECONDS)
        self.drain()
        self.advance_to(-_TRANSIT_SECONDS)
        self.network.deliver_all()
        self.assertTrue(run.is_open)
        self.answer_all()
        self.assertEqual(self.refusals(), [])

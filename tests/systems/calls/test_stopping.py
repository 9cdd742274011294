"""Tests of calls that arrive or are open while their entry node stops."""

from __future__ import annotations

from figlane.entities.node_drain import DRAIN_ID, DrainPhase
from figlane.errors import ErrorKind
from figlane.systems.calls.durations import MARGIN_CALLS, WINDOW_SECONDS
from tests.simulated_network import DEADLINE, ENTRY
from tests.systems.calls.stopping_case import (
    DRAIN_SECONDS,
    LONG_SECONDS,
    SHORT_SECONDS,
    StoppingCase,
)


class StoppingTest(StoppingCase):
    """An entry node that stops while its callers go on calling."""

    def test_call_without_time_left_is_refused(self) -> None:
        """Guards against calls that are sent and cut off by the stop.

        A node that takes each call until it stops cuts off those that need
        more time than is left.
        """
        self.measure('POST', LONG_SECONDS)
        self.drain()
        self.advance_to(LONG_SECONDS - 0.1)
        before = self.network.attempts_by_call.total()
        self.assertEqual(self.new_call('POST'), ErrorKind.DRAINING)
        self.assertEqual(self.network.attempts_by_call.total(), before)

    def test_call_with_time_left_is_sent(self) -> None:
        """A call is served as long as the longest recent one would end."""
        self.measure('POST', LONG_SECONDS)
        self.drain()
        self.advance_to(LONG_SECONDS * 1.2)
        self.assertIsNone(self.new_call('POST'))
        self.advance_to(0.1)
        self.answer_all()
        self.assertEqual(self.refusals(), [])

    def test_few_calls_leave_a_margin(self) -> None:
        """After few calls, one that takes twice as long still ends in time."""
        self.measure('POST', SHORT_SECONDS, MARGIN_CALLS)
        self.drain()
        self.advance_to(SHORT_SECONDS * 2.1)
        self.assertIsNone(self.new_call('POST'))
        self.advance_to(SHORT_SECONDS * 1.9)
        self.assertEqual(self.new_call('POST'), ErrorKind.DRAINING)

    def test_each_route_has_its_own_bound(self) -> None:
        """Calls of a fast route are sent when those of a slow one are not."""
        self.measure('POST', LONG_SECONDS)
        self.measure('GET', SHORT_SECONDS)
        self.drain()
        self.advance_to(2 * SHORT_SECONDS)
        self.assertEqual(self.new_call('POST'), ErrorKind.DRAINING)
        self.assertIsNone(self.new_call('GET'))

    def test_open_calls_count(self) -> None:
        """A route whose open calls already take longer takes as long."""
        self.measure('POST', SHORT_SECONDS)
        self.drain()
        self.advance_to(3)
        self.new_call('POST')
        self.network.deliver_all()
        self.advance_to(1)
        self.assertEqual(self.new_call('POST'), ErrorKind.DRAINING)

    def test_unknown_duration_is_the_time_limit(self) -> None:
        """Without recent calls, a call may take all of its time."""
        self.drain()
        self.advance_to(DRAIN_SECONDS / 2)
        self.assertEqual(self.new_call('POST'), ErrorKind.DRAINING)

    def test_call_that_expires_in_time_is_sent(self) -> None:
        """A call whose time limit comes first is answered in any case."""
        self.drain(DEADLINE * 2)
        self.advance_to(DEADLINE + 1)
        self.assertIsNone(self.new_call('POST'))

    def test_old_durations_do_not_count(self) -> None:
        """Durations of calls are forgotten after two windows."""
        self.measure('GET', LONG_SECONDS)
        for _ in range(2):
            self.network.advance(WINDOW_SECONDS)
            self.measure('GET', SHORT_SECONDS)
        self.drain()
        self.advance_to(2 * SHORT_SECONDS)
        self.assertIsNone(self.new_call('GET'))

    def test_idle_routes_are_forgotten(self) -> None:
        """No durations are kept of routes without calls."""
        self.measure('GET', SHORT_SECONDS)
        self.network.settle(3 * WINDOW_SECONDS)
        world = self.network.world_by_node[ENTRY]
        self.assertEqual(len(world.route_durations), 0)

    def test_child_call_without_time_left_is_refused(self) -> None:
        """Calls of the own backend server are refused by the same rule."""
        self.measure('POST', LONG_SECONDS)
        self.network.arrive('GET')
        self.network.deliver_all()
        run = self.network.open_runs()[0]
        self.drain(node=run.node)
        self.advance_to(1, run.node)
        child = self.network.arrive_child(run, 'POST')
        self.assertTrue(self.network.was_told_not_run(child))

    def test_call_that_waits_is_answered_at_the_end(self) -> None:
        """Guards against accepted calls that get no answer at all.

        A call that waits for the epoch of its exit node at the end of the
        drain is refused as not run.
        """
        self.measure('GET', SHORT_SECONDS)
        for node in ('a1', 'a2'):
            self.network.world_by_node[ENTRY].links.by_id[node].epoch = 0
        self.drain()
        self.advance_to(2 * SHORT_SECONDS)
        call = self.network.arrive('GET')
        self.assertEqual(self.network.outcomes_by_call.get(call), None)
        self.advance_to(0)
        self.assertTrue(self.network.was_told_not_run(call))

    def test_queued_attempt_is_withdrawn(self) -> None:
        """Guards against queued calls that run after their caller was cut off.

        At the end of the drain an attempt that does not run yet is refused by
        its exit node, and never runs.
        """
        self.measure('POST', SHORT_SECONDS)
        for node in ('a1', 'a2'):
            self.server(node).slots = 1
        while len(self.network.open_runs()) < 2:
            self.network.arrive('GET')
            self.network.deliver_all()
        self.drain()
        self.advance_to(2 * SHORT_SECONDS)
        call = self.network.arrive('POST')
        self.network.deliver_all()
        self.assertEqual(self.network.run_count(call), 0)
        self.assertNotIn(call, self.network.outcomes_by_call)
        self.advance_to(0)
        self.network.deliver_all()
        self.assertTrue(self.network.was_told_not_run(call))
        self.network.settle(DEADLINE)
        self.assertEqual(self.network.run_count(call), 0)

    def test_running_attempt_is_still_answered(self) -> None:
        """An attempt that runs is not withdrawn; its answer is delivered."""
        self.measure('POST', SHORT_SECONDS)
        self.drain()
        self.advance_to(2 * SHORT_SECONDS)
        call = self.network.arrive('POST')
        self.network.deliver_all()
        self.advance_to(0)
        self.network.deliver_all()
        self.assertNotIn(call, self.network.outcomes_by_call)
        self.answer_all()
        self.assertFalse(self.network.was_told_not_run(call))
        self.assertEqual(len(self.network.outcomes_by_call[call]), 1)

    def test_call_after_an_early_drain_is_sent(self) -> None:
        """A node that only waits for slow readers goes on taking calls."""
        self.measure('GET', SHORT_SECONDS)
        self.drain()
        self.answer_all()
        self.advance_to(2)
        drain = self.network.world_by_node[ENTRY].node_drains.by_id[DRAIN_ID]
        self.assertIs(drain.phase, DrainPhase.DRAINED)
        self.assertIsNone(self.new_call('GET'))
        self.advance_to(0)
        self.assertEqual(self.new_call('GET'), ErrorKind.DRAINING)

    def test_operators_drain_ends_no_call(self) -> None:
        """A drain without a stop of the process leaves open calls alone."""
        self.drain(stops_process=False)
        self.network.arrive('POST')
        self.network.deliver_all()
        self.advance_to(-1)
        self.answer_all()
        self.assertEqual(self.refusals(), [])

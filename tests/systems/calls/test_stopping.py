"""Tests of calls that arrive or are open while their entry node stops."""

from __future__ import annotations

import unittest

from figlane.entities.backend_server import BackendServer
from figlane.entities.node_drain import DRAIN_ID, DrainPhase, DrainRequested
from figlane.errors import ErrorKind, Refusal
from figlane.systems.calls.durations import MARGIN_CALLS, WINDOW_SECONDS
from tests.simulated_network import DEADLINE, ENTRY, SimulatedNetwork

_DRAIN_SECONDS = 6.0
_CALLS = 10 * MARGIN_CALLS
_LONG_SECONDS = 1.5
_SHORT_SECONDS = 0.1


class StoppingTest(unittest.TestCase):
    """An entry node that stops while its callers go on calling."""

    def setUp(self) -> None:
        """Start the network; calls by POST are not idempotent."""
        self.network = SimulatedNetwork()

    def test_call_without_time_left_is_refused(self) -> None:
        """Guards against calls that are sent and cut off by the stop.

        A node that takes each call until it stops cuts off those that need
        more time than is left.
        """
        self._measure('POST', _LONG_SECONDS)
        self._drain()
        self._advance_to(_LONG_SECONDS - 0.1)
        before = self.network.attempts_by_call.total()
        self.assertEqual(self._new_call('POST'), ErrorKind.DRAINING)
        self.assertEqual(self.network.attempts_by_call.total(), before)

    def test_call_with_time_left_is_sent(self) -> None:
        """A call is served as long as the longest recent one would end."""
        self._measure('POST', _LONG_SECONDS)
        self._drain()
        self._advance_to(_LONG_SECONDS * 1.2)
        self.assertIsNone(self._new_call('POST'))
        self._advance_to(0.1)
        self._answer_all()
        self.assertEqual(self._refusals(), [])

    def test_few_calls_leave_a_margin(self) -> None:
        """After few calls, one that takes twice as long still ends in time."""
        self._measure('POST', _SHORT_SECONDS, MARGIN_CALLS)
        self._drain()
        self._advance_to(_SHORT_SECONDS * 2.1)
        self.assertIsNone(self._new_call('POST'))
        self._advance_to(_SHORT_SECONDS * 1.9)
        self.assertEqual(self._new_call('POST'), ErrorKind.DRAINING)

    def test_each_route_has_its_own_bound(self) -> None:
        """Calls of a fast route are sent when those of a slow one are not."""
        self._measure('POST', _LONG_SECONDS)
        self._measure('GET', _SHORT_SECONDS)
        self._drain()
        self._advance_to(2 * _SHORT_SECONDS)
        self.assertEqual(self._new_call('POST'), ErrorKind.DRAINING)
        self.assertIsNone(self._new_call('GET'))

    def test_open_calls_count(self) -> None:
        """A route whose open calls already take longer takes as long."""
        self._measure('POST', _SHORT_SECONDS)
        self._drain()
        self._advance_to(3)
        self._new_call('POST')
        self.network.deliver_all()
        self._advance_to(1)
        self.assertEqual(self._new_call('POST'), ErrorKind.DRAINING)

    def test_unknown_duration_is_the_time_limit(self) -> None:
        """Without recent calls, a call may take all of its time."""
        self._drain()
        self._advance_to(_DRAIN_SECONDS / 2)
        self.assertEqual(self._new_call('POST'), ErrorKind.DRAINING)

    def test_call_that_expires_in_time_is_sent(self) -> None:
        """A call whose time limit comes first is answered in any case."""
        self._drain(DEADLINE * 2)
        self._advance_to(DEADLINE + 1)
        self.assertIsNone(self._new_call('POST'))

    def test_old_durations_do_not_count(self) -> None:
        """Durations of calls are forgotten after two windows."""
        self._measure('GET', _LONG_SECONDS)
        for _ in range(2):
            self.network.advance(WINDOW_SECONDS)
            self._measure('GET', _SHORT_SECONDS)
        self._drain()
        self._advance_to(2 * _SHORT_SECONDS)
        self.assertIsNone(self._new_call('GET'))

    def test_idle_routes_are_forgotten(self) -> None:
        """No durations are kept of routes without calls."""
        self._measure('GET', _SHORT_SECONDS)
        self.network.settle(3 * WINDOW_SECONDS)
        world = self.network.world_by_node[ENTRY]
        self.assertEqual(len(world.route_durations), 0)

    def test_child_call_without_time_left_is_refused(self) -> None:
        """Calls of the own backend server are refused by the same rule."""
        self._measure('POST', _LONG_SECONDS)
        self.network.arrive('GET')
        self.network.deliver_all()
        run = self.network.open_runs()[0]
        self._drain(node=run.node)
        self._advance_to(1, run.node)
        child = self.network.arrive_child(run, 'POST')
        self.assertTrue(self.network.was_told_not_run(child))

    def test_call_that_waits_is_answered_at_the_end(self) -> None:
        """Guards against accepted calls that get no answer at all.

        A call that waits for the epoch of its exit node at the end of the
        drain is refused as not run.
        """
        self._measure('GET', _SHORT_SECONDS)
        for node in ('a1', 'a2'):
            self.network.world_by_node[ENTRY].links.by_id[node].epoch = 0
        self._drain()
        self._advance_to(2 * _SHORT_SECONDS)
        call = self.network.arrive('GET')
        self.assertEqual(self.network.outcomes_by_call.get(call), None)
        self._advance_to(0)
        self.assertTrue(self.network.was_told_not_run(call))

    def test_queued_attempt_is_withdrawn(self) -> None:
        """Guards against queued calls that run after their caller was cut off.

        At the end of the drain an attempt that does not run yet is refused by
        its exit node, and never runs.
        """
        self._measure('POST', _SHORT_SECONDS)
        for node in ('a1', 'a2'):
            self._server(node).slots = 1
        while len(self.network.open_runs()) < 2:
            self.network.arrive('GET')
            self.network.deliver_all()
        self._drain()
        self._advance_to(2 * _SHORT_SECONDS)
        call = self.network.arrive('POST')
        self.network.deliver_all()
        self.assertEqual(self.network.run_count(call), 0)
        self.assertNotIn(call, self.network.outcomes_by_call)
        self._advance_to(0)
        self.network.deliver_all()
        self.assertTrue(self.network.was_told_not_run(call))
        self.network.settle(DEADLINE)
        self.assertEqual(self.network.run_count(call), 0)

    def test_running_attempt_is_still_answered(self) -> None:
        """An attempt that runs is not withdrawn; its answer is delivered."""
        self._measure('POST', _SHORT_SECONDS)
        self._drain()
        self._advance_to(2 * _SHORT_SECONDS)
        call = self.network.arrive('POST')
        self.network.deliver_all()
        self._advance_to(0)
        self.network.deliver_all()
        self.assertNotIn(call, self.network.outcomes_by_call)
        self._answer_all()
        self.assertFalse(self.network.was_told_not_run(call))
        self.assertEqual(len(self.network.outcomes_by_call[call]), 1)

    def test_call_after_an_early_drain_is_sent(self) -> None:
        """A node that only waits for slow readers goes on taking calls."""
        self._measure('GET', _SHORT_SECONDS)
        self._drain()
        self._answer_all()
        self._advance_to(2)
        drain = self.network.world_by_node[ENTRY].node_drains.by_id[DRAIN_ID]
        self.assertIs(drain.phase, DrainPhase.DRAINED)
        self.assertIsNone(self._new_call('GET'))
        self._advance_to(0)
        self.assertEqual(self._new_call('GET'), ErrorKind.DRAINING)

    def test_operators_drain_ends_no_call(self) -> None:
        """A drain without a stop of the process leaves open calls alone."""
        self._drain(stops_process=False)
        self.network.arrive('POST')
        self.network.deliver_all()
        self._advance_to(-1)
        self._answer_all()
        self.assertEqual(self._refusals(), [])

    def _measure(
        self, method: str, seconds: float, count: int = _CALLS
    ) -> None:
        for _ in range(count):
            self.network.arrive(method)
        self.network.deliver_all()
        self.network.advance(seconds)
        self._answer_all()

    def _answer_all(self) -> None:
        for run in self.network.open_runs():
            self.network.finish(run, 'answer')
        self.network.deliver_all()

    def _drain(
        self,
        seconds: float = _DRAIN_SECONDS,
        node: str = ENTRY,
        *,
        stops_process: bool = True,
    ) -> None:
        # An open call of the other service keeps the drain from ending early.
        self.network.arrive('GET', service_id='b')
        self.network.deliver_all()
        request = DrainRequested(
            seconds, stops_process=stops_process, accepts_root_calls=True
        )
        self.network.inject(node, request)

    def _advance_to(self, seconds_left: float, node: str = ENTRY) -> None:
        drain = self.network.world_by_node[node].node_drains.by_id[DRAIN_ID]
        step = drain.ends_by - seconds_left - self.network.now
        self.network.advance(step)
        self.network.tick(node)

    def _new_call(self, method: str) -> ErrorKind | None:
        call = self.network.arrive(method)
        outcomes = self.network.outcomes_by_call.get(call, [])
        if not outcomes:
            return None
        self.assertIsInstance(outcomes[0], Refusal)
        return outcomes[0].kind

    def _refusals(self) -> list[Refusal]:
        return [
            outcome
            for outcomes in self.network.outcomes_by_call.values()
            for outcome in outcomes
            if isinstance(outcome, Refusal)
        ]

    def _server(self, node: str) -> BackendServer:
        return self.network.world_by_node[node].backend_servers.by_id['i']

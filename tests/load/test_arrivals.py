"""Tests of the load generator's arrivals and retries."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from figlane.load.arrivals import (
    RETRY_DELAY_SECONDS,
    run_load_tick,
    schedule_first_arrivals,
)
from figlane.load.plan import Plan, SourcePlan, StepPlan, make_world
from figlane.load.source import RequestEnded, SendRequest, Verdict
from figlane.load.world import LoadWorld

_TARGETS = ('127.0.0.1:1', '127.0.0.1:2')


def _world(retries: int = 0, seed: int = 1, method: str = 'GET') -> LoadWorld:
    source = SourcePlan(
        name='reads',
        path='/a/b',
        steps=[StepPlan(10), StepPlan(0, 4), StepPlan(20, 6)],
        method=method,
        retries=retries,
    )
    world = make_world(Plan(list(_TARGETS), 10, [source], seed), 100)
    schedule_first_arrivals(world, 100)
    return world


def _run_until(world: LoadWorld, end: float) -> list[SendRequest]:
    rows = []
    while world.next_due() <= end:
        run_load_tick(world, world.next_due())
        rows += world.outbox
        world.outbox = []
    return rows


class ArrivalsTest(unittest.TestCase):
    """Arrivals of one source whose rate changes over time."""

    @settings(derandomize=True, deadline=None, max_examples=20)
    @given(st.integers(0, 1000))
    def test_arrivals_follow_rate_steps(self, seed: int) -> None:
        """No request is due while the rate is 0 or after the end."""
        world = _world(seed=seed)
        rows = _run_until(world, 1000)
        times = [row.request.intended_at - 100 for row in rows]
        self.assertEqual(times, sorted(times))
        self.assertFalse([time for time in times if not 0 <= time < 10])
        # The gap drawn before the rate drops to 0 may end in the pause, so
        # one arrival there is allowed.
        paused = [time for time in times if 4 <= time < 6]
        self.assertLessEqual(len(paused), 1)
        self.assertFalse(world.sources.by_id)

    def test_late_tick_sends_all_due_requests(self) -> None:
        """A late tick sends all due requests with their intended times."""
        on_time = [row.request.intended_at for row in _run_until(_world(), 103)]
        late = _world()
        run_load_tick(late, 103)
        intended = [row.request.intended_at for row in late.outbox]
        self.assertEqual(intended, on_time)

    def test_same_seed_gives_same_arrivals(self) -> None:
        """Two runs with the same seed have the same arrival times."""
        first = [row.request.intended_at for row in _run_until(_world(), 110)]
        again = [row.request.intended_at for row in _run_until(_world(), 110)]
        self.assertEqual(first, again)


class RetriesTest(unittest.TestCase):
    """Callers that retry failed requests."""

    def test_retries_are_bounded(self) -> None:
        """A failing request is retried as often as the plan allows."""
        sent = self._fail_always(retries=2, verdict=Verdict.NOT_RUN)
        self.assertEqual(sent, 3)

    def test_post_with_unknown_outcome_is_not_retried(self) -> None:
        """A POST that may have been executed is not retried."""
        sent = self._fail_always(2, Verdict.UNKNOWN, 'POST')
        self.assertEqual(sent, 1)

    def _fail_always(
        self,
        retries: int,
        verdict: Verdict,
        method: str = 'GET',
    ) -> int:
        world = _world(retries, method=method)
        now = world.next_due()
        run_load_tick(world, now)
        request = world.outbox[0].request
        sent = 0
        while request.id in world.requests:
            rows = [row for row in world.outbox if row.request is request]
            sent += len(rows)
            world.outbox = []
            if rows:
                row = RequestEnded(request.id, now, verdict, 'overloaded')
                world.inbox.append(row)
            run_load_tick(world, now)
            now += RETRY_DELAY_SECONDS
        return sent

"""Overload, recovery and concurrency limit, tested on a seeded model."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from figlane.entities.execution import Execution
from figlane.entities.world import Policies
from figlane.systems.admission.concurrency_limit import (
    aimd_limit,
    concurrency_limit,
    gradient_limit,
)
from tests.systems.exit_node import BACKEND, ExitNode
from tests.systems.simulation import Simulation

_BASELINE = Policies(shedding='none', deadline='none', limit='none')
_SLOTS = 25
# Concurrency that the modelled server sustains, below its announced slots.
_SUSTAINED_CONCURRENCY = 10
_SERVICE_SECONDS = 0.05
_CAPACITY = _SUSTAINED_CONCURRENCY / _SERVICE_SECONDS
_RATE = 0.75 * _CAPACITY
_SURGE_BEGIN = 5
_SURGE_END = 25
_RECOVERED = _SURGE_END + 5
# Seconds from tick to tick: latency rises from 0.1 s to 1 s.
_STEPS = tuple(10 ** (number // 100 - 1) for number in range(200))
_MODEL_END = _RECOVERED + 5


class SurgeTest(unittest.TestCase):
    """Five times the rate for 20 s, with up to three retries per call."""

    def test_recovery(self) -> None:
        """Goodput recovers within 5 s after the surge."""
        model = _surge(Policies())
        before = model.goodput(1, _SURGE_BEGIN)
        during = model.goodput(_SURGE_BEGIN + 1, _SURGE_END)
        after = model.goodput(_RECOVERED, _RECOVERED + 5)
        self.assertGreater(during, before)
        self.assertGreater(after, 0.95 * before)

    def test_baseline_collapses(self) -> None:
        """Without the policies the goodput stays collapsed after the surge."""
        model = _surge(_BASELINE)
        before = model.goodput(1, _SURGE_BEGIN)
        after = model.goodput(_RECOVERED, _RECOVERED + 5)
        self.assertLess(after, before / 2)

    def test_important_served(self) -> None:
        """During the surge, calls of high importance are served first."""
        model = _surge(Policies(), until=15)
        good = model.good_by_importance
        self.assertGreater(good[90], 2 * good[50])
        baseline = _surge(_BASELINE, until=15).good_by_importance
        self.assertLess(baseline[90], 2 * baseline[50])

    def test_no_needless_limit(self) -> None:
        """The limit costs no goodput if the server sustains its slots."""
        limited = _saturated_goodput(Policies(limit='aimd'))
        unlimited = _saturated_goodput(Policies(limit='none'))
        self.assertGreater(limited, 0.95 * unlimited)


class PolicyTest(unittest.TestCase):
    """Decisions of the limit policies for single windows."""

    def test_high_latency_lowers(self) -> None:
        """A latency of four times the baseline lowers the limit."""
        for policy in (aimd_limit, gradient_limit):
            with self.subTest(policy=policy.__name__):
                self.assertLess(policy(100, 100, 4), 90)

    def test_unused_limit_stays(self) -> None:
        """The limit is not raised if the peak concurrency was well below it."""
        for policy in (aimd_limit, gradient_limit):
            with self.subTest(policy=policy.__name__):
                self.assertEqual(policy(50, 10, 1), 50)

    def test_slow_child_calls(self) -> None:
        """A slow downstream service does not lower the limit."""
        self.assertLess(_limit_after(_slow_own), 20)
        self.assertEqual(_limit_after(_slow_child), 20)


def _saturated_goodput(policies: Policies) -> float:
    model = Simulation(
        ExitNode(policies=policies, slots=_SUSTAINED_CONCURRENCY),
        rate=lambda now: 2 * _CAPACITY,
        max_concurrency=lambda now: _SUSTAINED_CONCURRENCY,
    )
    model.run(8)
    return model.goodput(2, 8)


def _surge(policies: Policies, until: float = _MODEL_END) -> Simulation:
    model = Simulation(
        ExitNode(policies=policies, slots=_SLOTS),
        rate=_surge_rate,
        max_concurrency=lambda now: _SUSTAINED_CONCURRENCY,
        retries=3,
    )
    model.run(until)
    return model


def _surge_rate(now: float) -> float:
    is_surge = _SURGE_BEGIN <= now < _SURGE_END
    return 5 * _RATE if is_surge else _RATE


def _slow_own(execution: Execution, now: float) -> None:
    """Attribute the whole latency to the backend server."""


def _slow_child(execution: Execution, now: float) -> None:
    execution.child_intervals.append((execution.started_at, now - 0.1))


def _limit_after(record_children: Callable[[Execution, float], None]) -> float:
    node = ExitNode(slots=20)
    now: float = 0
    for step in _STEPS:
        for _ in range(10):
            node.offer()
        node.tick(now)
        now += step
        for execution in node.running[:10]:
            if step == 1:
                record_children(execution, now)
            node.finish(execution)
        node.tick(now)
    backend = node.world.backend_servers.by_id[BACKEND]
    return concurrency_limit(backend)

"""Cold-start ramp, tested against a seeded model of a backend server."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from figlane.entities.http import Answer
from figlane.entities.ramp import Ramp
from figlane.entities.world import Policies
from figlane.errors import ErrorKind, Refusal
from figlane.systems.admission.concurrency_limit import concurrency_limit
from tests.systems.exit_node import BACKEND, ExitNode
from tests.systems.simulation import Simulation

_SLOTS = 40
_COLD_SLOTS = 4
_COLD_BEGIN = 5
_COLD_END = 10
_MODEL_END = 15
_RATE = 600
# Limit on overload refusals during a cold start of five seconds.
_MAX_OVERLOADS = 12


class ColdStartTest(unittest.TestCase):
    """A backend server of 40 slots that can use 4 of them for five seconds."""

    def test_new_instance(self) -> None:
        """A new instance is hardly overloaded and soon reaches full load."""
        model = _cold_model(Policies(), begin=0)
        model.run(_MODEL_END)
        self.assertLessEqual(len(model.overloads), _MAX_OVERLOADS)
        self.assertGreater(model.goodput(_COLD_END + 3, _MODEL_END), 550)

    def test_unannounced_cold_start(self) -> None:
        """A cold start without an announcement is detected by its refusals."""
        model = _cold_model(Policies(), begin=_COLD_BEGIN)
        model.run(_MODEL_END)
        self.assertLessEqual(len(model.overloads), _MAX_OVERLOADS)
        self.assertGreater(model.goodput(_COLD_END + 3, _MODEL_END), 550)
        self.assertGreater(model.goodput(_COLD_BEGIN + 1, _COLD_END), 40)

    def test_baseline_overloads(self) -> None:
        """Without the ramp a cold backend server is overloaded throughout."""
        model = _cold_model(Policies(cold_start='none'), begin=_COLD_BEGIN)
        model.run(_MODEL_END)
        self.assertGreater(len(model.overloads), 20 * _MAX_OVERLOADS)

    def test_single_start_after_refusal(self) -> None:
        """After a decrease, slots freed together get a single start at first.

        Otherwise the overload would refuse all of the new executions.
        """
        node = ExitNode(slots=20)
        for _ in range(60):
            node.offer()
        node.tick(0)
        for execution in node.running[:4]:
            node.finish(execution, Answer(503, ()))
        node.tick(0.01)
        for execution in node.running[:14]:
            node.finish(execution)
        self.assertEqual(len(node.tick(0.02)), 1)
        node.finish(node.started[-1])
        self.assertEqual(len(node.tick(0.03)), 2)

    def test_refusals_unrelated_to_load(self) -> None:
        """Rare refusals that are not due to load do not lower the limit."""
        node = ExitNode(slots=10)
        now: float = 0
        for number in range(1000):
            node.offer()
            node.tick(now)
            now += 0.01
            if len(node.running) < 5:
                continue
            is_refused = number % 40 == 0
            outcome = Answer(503, ()) if is_refused else None
            node.finish(node.running[0], outcome)
        backend = node.world.backend_servers.by_id[BACKEND]
        self.assertEqual(concurrency_limit(backend), 10)


class RampMachine(RuleBasedStateMachine):
    """Random outcomes at random times, checked against the ramp's bounds."""

    def __init__(self) -> None:
        """Start with a backend server in cold start."""
        super().__init__()
        self.node = ExitNode(slots=8)
        self.now: float = 0
        self.backend = self.node.world.backend_servers.by_id[BACKEND]
        self.backend.ramp = Ramp(level=1)

    @rule(
        outcome=st.sampled_from(
            (
                None,
                Answer(503, ()),
                Refusal(ErrorKind.NO_BACKEND_SERVER),
                Refusal(ErrorKind.OUTCOME_UNKNOWN),
            ),
        ),
        step=st.floats(0, 1),
    )
    def end_one(self, outcome: Answer | Refusal | None, step: float) -> None:
        """Offer two calls and end the oldest running execution."""
        self.now += step
        self.node.offer()
        self.node.offer()
        for execution in self.node.running[:1]:
            self.node.finish(execution, outcome)
        before = len(self.node.running)
        self.node.tick(self.now)
        assert len(self.node.running) <= max(before, self.backend.limit)

    @rule(step=st.floats(0, 3))
    def wait(self, step: float) -> None:
        """Advance the time; without outcomes the level must not change."""
        self.now += step
        level = self.backend.ramp.level
        self.node.tick(self.now)
        assert self.backend.ramp.level == level

    @invariant()
    def bounds_hold(self) -> None:
        """The limit stays between 1 and the announced slots."""
        assert 1 <= concurrency_limit(self.backend) <= 8
        assert len(self.node.running) <= 8


RampMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=25,
    stateful_step_count=40,
)
RampTest = RampMachine.TestCase


def _cold_model(policies: Policies, begin: float) -> Simulation:
    node = ExitNode(policies=policies, slots=_SLOTS)
    if not begin:
        node.world.backend_servers.by_id[BACKEND].ramp = Ramp(level=1)

    def max_concurrency(now: float) -> int:
        return _COLD_SLOTS if begin <= now < _COLD_END else _SLOTS

    return Simulation(
        node, lambda now: _RATE, max_concurrency, rejects_excess=True
    )

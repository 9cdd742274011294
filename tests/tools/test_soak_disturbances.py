"""Disturbances of the soak: what is disturbed when follows from the seed."""

from __future__ import annotations

import random
import signal
import unittest
from collections import Counter

from standins.platform_site import site_vm
from tools.soaking.changes import changes
from tools.soaking.disturbances import (
    Draw,
    Step,
    disturbances,
    draw_steps,
)
from tools.soaking.fleet import actions

_SECONDS = 60
_SEEDS = range(20)


class DrawTest(unittest.TestCase):
    """Steps of runs of the whole deployment."""

    def test_seed_repeats(self) -> None:
        """The same seed draws the same steps, another seed others."""
        self.assertEqual(_steps(1), _steps(1))
        self.assertNotEqual(_steps(1), _steps(2))

    def test_all_disturbances_are_drawn(self) -> None:
        """Each action is drawn, and each drawn action is known."""
        drawn = {step.action for seed in _SEEDS for step in _steps(seed)}
        for seed in _SEEDS:
            chosen = list(changes.by_key.values())
            steps = draw_steps(_draw(seed), chosen, _SECONDS)
            drawn |= {step.action for step in steps}
        self.assertEqual(drawn, set(actions.by_key))

    def test_suspended_nodes_continue(self) -> None:
        """Each SIGSTOP is followed by SIGCONT within 2 s."""
        for seed in _SEEDS:
            steps = [step for step in _steps(seed) if step.action == 'signal']
            for stop in steps:
                if stop.number == signal.SIGSTOP:
                    self.assertTrue(_continues(steps, stop))

    def test_single_disturbance(self) -> None:
        """Other disturbances than the named ones are not drawn."""
        numbers = {step.number for step in _steps(1, ['stop'])}
        self.assertEqual(numbers, {signal.SIGTERM})

    def test_each_service_keeps_a_vm(self) -> None:
        """Removals leave two VMs of each service."""
        for seed in _SEEDS:
            draw = _draw(seed)
            draw_steps(draw, [disturbances.find('removal')], _SECONDS)
            counts = Counter(draw.service_by_vm.values())
            self.assertEqual(len(counts), 4)
            self.assertGreaterEqual(min(counts.values()), 2)


def _continues(steps: list[Step], stop: Step) -> bool:
    return any(
        step.number == signal.SIGCONT
        and step.target == stop.target
        and 0 < step.at - stop.at <= 2
        for step in steps
    )


def _draw(seed: int) -> Draw:
    vms = [site_vm('127.0.1', index) for index in range(23)]
    pairs = [(vm.name, vm.service) for vm in vms]
    return Draw(random.Random(seed), dict(pairs[:19]), pairs[19:])


def _steps(seed: int, names: list[str] | None = None) -> list[Step]:
    chosen = [
        disturbances.find(name) for name in names or sorted(disturbances.by_key)
    ]
    return draw_steps(_draw(seed), chosen, _SECONDS)

"""Tests that all nodes together keep to a quota, for each rate policy."""

from __future__ import annotations

import unittest
from random import Random

from figlane.entities.service import Allowance
from standins.quota_fleet import QuotaFleet, excess
from standins.quota_store import MemoryStore

_ALLOWANCE = Allowance(100, 100, 1)
_START_SECONDS = 5.0
_LOAD_SECONDS = 5.0


def _overload(policy: str) -> QuotaFleet:
    """Send one organisation at five times its rate through four nodes."""
    random = Random(1)
    fleet = QuotaFleet(MemoryStore(), Random(2), policy)
    for index in range(4):
        fleet.add_node(f'node-{index}', 'ab'[index % 2])
    allowances = {'waco': _ALLOWANCE, 'temple': _ALLOWANCE}
    fleet.put_service(1, allowances)
    at = _START_SECONDS
    while at < _START_SECONDS + _LOAD_SECONDS:
        at += random.expovariate(6 * _ALLOWANCE.rate)
        organisation = random.choices(('waco', 'temple'), (5, 0.8))[0]
        fleet.call(f'node-{random.randrange(4)}', organisation, at)
    fleet.run(_START_SECONDS + _LOAD_SECONDS + 1)
    return fleet


def _excess(fleet: QuotaFleet) -> float:
    times = [
        outcome.ended_at
        for outcome in fleet.outcomes
        if outcome.organisation == 'waco' and outcome.is_admitted
    ]
    return excess(times, _ALLOWANCE.rate, _ALLOWANCE.burst)


class BoundTest(unittest.TestCase):
    """The same overload under each rate policy."""

    def test_no_policy_exceeds(self) -> None:
        """Without a rate policy, the rate and burst are exceeded."""
        self.assertGreater(_excess(_overload('none')), _ALLOWANCE.burst)

    def test_bound(self) -> None:
        """All nodes together keep to the rate and burst."""
        for policy in ('static', 'single-holder', 'tokens'):
            with self.subTest(policy=policy):
                self.assertLessEqual(_excess(_overload(policy)), 0)

    def test_tokens_serve(self) -> None:
        """The rate is used, and an organisation within its rate is served."""
        fleet = _overload('tokens')
        served = [
            outcome
            for outcome in fleet.outcomes
            if outcome.organisation == 'waco' and outcome.is_admitted
        ]
        refused = [
            outcome
            for outcome in fleet.outcomes
            if outcome.organisation == 'temple' and not outcome.is_admitted
        ]
        self.assertGreater(len(served), 0.9 * _ALLOWANCE.rate * _LOAD_SECONDS)
        self.assertEqual(refused, [])

    def test_excess(self) -> None:
        """``excess`` finds the worst interval."""
        cases = (
            ([], 10, 5, -5),
            ([0, 0, 0], 10, 3, 0),
            ([0, 0, 0, 0], 10, 3, 1),
            ([0, 1, 1.05, 1.1], 10, 2, 0),
            ([0, 1, 1, 1, 1], 10, 2, 2),
        )
        for times, rate, burst, expected in cases:
            with self.subTest(times=times):
                found = excess(times, rate, burst)
                self.assertAlmostEqual(max(found, -burst), expected)

"""Tests of entry nodes whose holders answer late, or have just started."""

from __future__ import annotations

import unittest
from random import Random

from figlane.entities.member import MemberPhase
from figlane.entities.service import Allowance
from standins.quota_fleet import Outcome, QuotaFleet
from standins.quota_store import MemoryStore
from tests.systems.quota_harness import ORGANISATION, QuotaHarness

_ALLOWANCE = Allowance(100, 100, 1)
_HOLDER = 'node-0'
_ENTRY = 'node-1'
# Delay of the late answers, longer than a request's time-out, and for how long
# answers are late, both in seconds.
_LATENCY_SECONDS = 0.08
_SLOW_SECONDS = 0.05
# Time after which the late answers have arrived, in seconds.
_SETTLED_SECONDS = 0.5


class LateAnswerTest(unittest.TestCase):
    """An entry node without rights of its own, and the only holder."""

    def test_late_answers(self) -> None:
        """A holder that answered late gets the next requests at once.

        A process that was not scheduled for a tenth of a second answers late.
        While the entry node passed it over for a second, it refused all calls
        without tokens, in a fleet whose only other holder had just started.
        """
        harness = QuotaHarness(_ALLOWANCE, size=1)
        harness.start(_ENTRY, incarnation=2)
        # A leaving node is no candidate for rights.
        self._set_phase(harness, _ENTRY, MemberPhase.LEAVING)
        fleet = harness.fleet
        harness.offer(_ENTRY, 40, 1)
        latency = fleet.latency
        fleet.latency = _LATENCY_SECONDS
        harness.offer(_ENTRY, 2, _SLOW_SECONDS)
        fleet.latency = latency
        fleet.run(fleet.now + _SETTLED_SECONDS)
        settled_at = fleet.now
        harness.offer(_ENTRY, 20, 1)
        refused = [
            outcome
            for outcome in fleet.outcomes
            if outcome.arrived_at >= settled_at and not outcome.is_admitted
        ]
        self.assertEqual(refused, [])

    def _set_phase(
        self, harness: QuotaHarness, node_id: str, phase: MemberPhase
    ) -> None:
        for node in harness.fleet.node_by_id.values():
            member = node.world.members.by_id[node_id]
            node.world.members.move(member, phase)


class FirstStartTest(unittest.TestCase):
    """Two nodes that start for the first time, with an empty store."""

    def test_first_calls(self) -> None:
        """Calls within the rate are not refused soon after the start.

        Nobody has held the rights, so nobody's tokens have to expire first.
        While the nodes waited for that, some of them for longer than others,
        calls were refused that followed a first call that was not.
        """
        for seed in range(10):
            with self.subTest(seed=seed):
                refused = _refusals_after_start(seed)
                self.assertEqual(refused, [])


def _refusals_after_start(seed: int) -> list[Outcome]:
    random = Random(seed)
    fleet = QuotaFleet(MemoryStore(), random)
    allowances = {ORGANISATION: _ALLOWANCE}
    fleet.add_node(_HOLDER)
    fleet.put_service(1, allowances)
    fleet.run(random.uniform(0, 1))
    fleet.add_node(_ENTRY, incarnation=2)
    fleet.put_service(1, allowances, (_ENTRY,))
    fleet.run(fleet.now + _SETTLED_SECONDS)
    for index in range(60):
        node_id = random.choice((_HOLDER, _ENTRY))
        fleet.call(node_id, ORGANISATION, fleet.now + index / 30)
    fleet.run(fleet.now + 3)
    return [outcome for outcome in fleet.outcomes if not outcome.is_admitted]

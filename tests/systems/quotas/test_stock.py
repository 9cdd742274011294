"""Tests of entry nodes whose holders answer late."""

from __future__ import annotations

import unittest

from figlane.entities.member import MemberPhase
from figlane.entities.service import Allowance
from tests.systems.quota_harness import QuotaHarness

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

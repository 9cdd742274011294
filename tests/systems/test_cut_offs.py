"""Tests of the count and the log of requests that are cut off."""

from __future__ import annotations

import random
import unittest

from figlane.entities.call import Call, CallPhase
from figlane.entities.cut_off import CutOffReason, RequestCutOff
from figlane.entities.http import Request
from figlane.entities.outbox import LogDecision
from figlane.entities.world import Identity, World
from figlane.systems.cut_offs import count_cut_offs
from figlane.systems.tick import run_tick
from figlane.telemetry.names import COUNTERS


class CutOffTest(unittest.TestCase):
    """Requests that the node cuts off."""

    def setUp(self) -> None:
        """Create the tables."""
        self.world = World(Identity('node-a', 'domain-a', 1), random.Random(1))

    def test_each_reason_is_counted(self) -> None:
        """The counter of each reason is documented."""
        for reason in CutOffReason:
            self._cut_off(RequestCutOff('a', 1, reason))
            name = f'request.cut-off.{reason.value}'
            self.assertEqual(self.world.counters[name], 1)
            self.assertTrue(any(metric.covers(name) for metric in COUNTERS))
        self.assertEqual(count_cut_offs(self.world), len(CutOffReason))

    def test_unknown_request(self) -> None:
        """A request without a call is logged too."""
        line = self._cut_off(
            RequestCutOff('', 0.12345, CutOffReason.REJECTED, is_partial=True)
        )
        self.assertEqual(
            line,
            {
                'request': '',
                'reason': 'rejected',
                'is_partial': True,
                'seconds': 0.123,
                'call': '',
                'node': '',
            },
        )

    def test_open_call(self) -> None:
        """The line of an open call has its phase and its exit node."""
        self.world.calls.insert(
            Call(
                'a',
                'shop',
                Request('GET', '/', ()),
                1,
                node_id='node-b',
                phase=CallPhase.SENT,
            )
        )
        line = self._cut_off(RequestCutOff('a', 1, CutOffReason.PROCESS_ENDS))
        self.assertEqual(line['call'], 'sent')
        self.assertEqual(line['node'], 'node-b')

    def _cut_off(self, row: RequestCutOff) -> dict[str, object]:
        self.world.outbox.clear()
        self.world.inbox.append(row)
        run_tick(self.world, 1)
        lines = [
            logged.inputs
            for logged in self.world.outbox
            if isinstance(logged, LogDecision)
        ]
        self.assertEqual(len(lines), 1)
        return lines[0]

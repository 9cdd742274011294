"""Tests that members keep to the window while some messages are late."""

from __future__ import annotations

import unittest
from dataclasses import dataclass, field
from random import Random

from figlane.entities.outbox import SendToPeer
from tests.systems.quotas.owner_fleet import SURGE_RATE, WINDOW_LIMIT, Fleet

# Fraction of the messages that are late, and the largest delay.
_LATE_FRACTION = 0.05
_MAX_LATE_SECONDS = 0.3


@dataclass(slots=True)
class LateFleet(Fleet):
    """Nodes some of whose messages are late, on links that keep their order.

    ``free_at`` is when the latest message of a link arrives, by sender and
    target.
    """

    late: Random = field(default_factory=lambda: Random(8))
    free_at: dict[tuple[int, str], float] = field(default_factory=dict)

    def _transmit(self, number: int, row: SendToPeer) -> None:
        count = len(self.in_flight)
        Fleet._transmit(self, number, row)
        if len(self.in_flight) == count:
            return
        at, *message = self.in_flight.pop()
        if self.late.random() < _LATE_FRACTION:
            at += self.late.random() * _MAX_LATE_SECONDS
        link = (number, row.node_id)
        self.free_at[link] = max(at, self.free_at.get(link, 0))
        self.in_flight.append((self.free_at[link], *message))


class LateMessagesTest(unittest.TestCase):
    """Members that all run and know each other."""

    def test_late_answers_of_a_live_owner(self) -> None:
        """Successors of a live owner do not add their fallback to its rate."""
        fleet = LateFleet(8)
        fleet.run(2, 0)
        fleet.run(8, SURGE_RATE)
        self.assertLessEqual(fleet.max_in_window(), WINDOW_LIMIT)

"""Tests of the sample of refused calls."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from figlane.entities.call import Call
from figlane.entities.http import Request
from figlane.entities.world import Identity, World
from figlane.errors import ErrorKind, Refusal
from figlane.systems.calls.refused_calls import (
    MAX_ROWS_PER_KIND,
    RETENTION_SECONDS,
    evict_refused_calls,
    record_refused_call,
)


class SampleTest(unittest.TestCase):
    """Row limit and retention time of the table."""

    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.sampled_from(ErrorKind), max_size=9), st.integers(0, 9))
    def test_flood_hides_no_kind(self, kinds: list[ErrorKind], at: int) -> None:
        """During a flood of one error kind the other kinds are recorded too.

        :param kinds: error kinds of the refusals besides the flood.
        :param at: time of the flood in seconds.
        """
        world = World(Identity('node-a', 'domain-a', 1), random.Random(1))
        for number in range(3 * MAX_ROWS_PER_KIND):
            _refuse(world, f'flood-{number}', ErrorKind.OVERLOADED, at)
        for number, kind in enumerate(kinds):
            _refuse(world, f'call-{number}', kind, at)
        count = world.refused_calls.count(ErrorKind.OVERLOADED)
        self.assertEqual(count, MAX_ROWS_PER_KIND)
        for number, kind in enumerate(kinds):
            row = world.refused_calls.get(f'call-{number}')
            if kind is not ErrorKind.OVERLOADED:
                self.assertIs(row.phase, kind)
        self.assertEqual(world.next_due(), at + RETENTION_SECONDS)
        evict_refused_calls(world, at + RETENTION_SECONDS)
        self.assertEqual(len(world.refused_calls), 0)


def _refuse(world: World, call_id: str, kind: ErrorKind, now: float) -> None:
    call = Call(call_id, 'dues', Request('GET', '/', ()), now)
    call.outcome = Refusal(kind)
    record_refused_call(world, call, now)

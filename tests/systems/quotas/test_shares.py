"""Tests the assignment of minting rights to members."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from figlane.systems.quotas.shares import RIGHT_IDS, choose_preferred_holders

_MEMBERS = st.sets(st.sampled_from([f'node-{index}' for index in range(9)]))


class AssignmentTest(unittest.TestCase):
    """Assignment of rights, at once and in a sequence of membership changes."""

    @settings(derandomize=True, deadline=None)
    @given(st.lists(_MEMBERS, max_size=5))
    def test_incremental_assignment(self, steps: list[set[str]]) -> None:
        """The assignment does not depend on the order of membership changes."""
        known: dict[str, str] = {}
        previous: set[str] = set()
        for member_ids in steps:
            known = choose_preferred_holders(member_ids, previous, known)
            previous = member_ids
            self.assertEqual(
                known, choose_preferred_holders(member_ids, (), {})
            )

    def test_each_right_assigned(self) -> None:
        """Each right is assigned, and rights are spread over the members."""
        chosen = choose_preferred_holders(('node-1', 'node-2'), (), {})
        self.assertEqual(tuple(chosen), RIGHT_IDS)
        self.assertEqual(set(chosen.values()), {'node-1', 'node-2'})

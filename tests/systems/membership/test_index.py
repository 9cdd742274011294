"""Tests of the index of members by service."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from figlane.entities.member import Member, MemberPhase
from figlane.entities.service import FailureDomain
from figlane.entities.world import Identity, World
from figlane.systems.membership.domains import is_taken_out
from figlane.systems.membership.index import serving_members

_CHANGES = st.tuples(
    st.sampled_from(('insert', 'remove', 'move', 'take-out', 'take-back')),
    st.integers(0, 5),
    st.sampled_from(('dues', 'bookings')),
    st.sampled_from(tuple(MemberPhase)),
)


class ServingMembersTest(unittest.TestCase):
    """The index agrees with the tables of members and failure domains."""

    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(st.lists(_CHANGES, max_size=12))
    def test_index_agrees_with_scan(
        self,
        changes: list[tuple[str, int, str, MemberPhase]],
    ) -> None:
        """After each change the index agrees with a scan of the tables."""
        world = World(Identity('node-0', 'domain-a', 1), Random(1))
        for change in changes:
            _apply(world, *change)
            self._compare(world)

    def _compare(self, world: World) -> None:
        for service in ('dues', 'bookings'):
            scanned = {
                member.id
                for member in world.members
                if member.service == service
                and member.phase is MemberPhase.ALIVE
                and not is_taken_out(world, member.failure_domain)
            }
            listed = {member.id for member in serving_members(world, service)}
            self.assertEqual(listed, scanned)


def _apply(
    world: World,
    change: str,
    number: int,
    service: str,
    phase: MemberPhase,
) -> None:
    node_id = f'node-{number}'
    domain = f'domain-{number % 2}'
    member = world.members.get(node_id)
    if change == 'insert':
        row = Member(node_id, 1, domain, '', service=service)
        world.members.insert(row)
    elif change.startswith('take'):
        is_out = change == 'take-out'
        world.failure_domains.insert(FailureDomain(domain, 1, is_out))
    elif change == 'remove':
        world.members.remove(node_id)
    elif member is not None:
        world.members.move(member, phase)

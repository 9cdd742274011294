"""Tests of the comparison of member lists."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from figlane.entities.gossip import MembersRequest, MembersResponse
from figlane.entities.inbox import PeerMessage
from figlane.entities.member import Member, MemberPhase
from figlane.entities.outbox import SendToPeer
from figlane.entities.world import Identity, World
from figlane.systems.membership.lists import ask_for_members
from figlane.systems.membership.states import record_change
from figlane.systems.tick import run_tick
from figlane.wire.peer import encode

_COUNT = 300
# Bytes of a request apart from the summary, which has eight for each member.
_REQUEST_BYTES = 300


class DifferenceTest(unittest.TestCase):
    """Two nodes with long lists that have never exchanged them."""

    def setUp(self) -> None:
        """Create the nodes with equal lists."""
        self.asking = _world('n0')
        self.asked = _world('n1')
        self.asking.gossip.is_settled = False

    def test_only_differences_are_sent(self) -> None:
        """A peer sends the states that differ, and those that are missing."""
        self.asked.members.by_id['n7'].incarnation = 2
        self.asked.members.move(
            self.asked.members.by_id['n8'], MemberPhase.SUSPECT
        )
        self.asked.members.insert(Member('n999', 1, 'a', 'n999'))
        dead = Member('n998', 1, 'a', 'n998', phase=MemberPhase.DEAD)
        self.asked.members.insert(dead)
        request, states = self._exchange()
        self.assertEqual({'n7', 'n8', 'n999'}, states)
        size = len(encode('n0', request))
        self.assertLessEqual(size, 8 * (_COUNT + 2) + _REQUEST_BYTES)

    def test_joining_node_gets_the_whole_list(self) -> None:
        """A node that knows only one contact gets all members."""
        self.asking = World(Identity('n0', 'a', 1), Random(1))
        self.asking.members.insert(Member('n1', 1, 'a', 'n1'))
        _, states = self._exchange()
        self.assertGreaterEqual(len(states), _COUNT - 2)

    def test_settled_node_sends_no_summary(self) -> None:
        """At rest, only the checksums are compared."""
        self.asking.gossip.is_settled = True
        request, states = self._exchange()
        self.assertFalse(states)
        self.assertLessEqual(len(encode('n0', request)), _REQUEST_BYTES)

    def test_differences_after_a_comparison(self) -> None:
        """A comparison of checksums alone does not hide what differs.

        The next request to the same peer has a summary, also if the peer has
        been restarted since it was asked last.
        """
        self.asked.members.by_id['n7'].incarnation = 2
        record_change(self.asked, 'n7')
        for known in ({}, {'n1': (99, 5)}):
            with self.subTest(known=known):
                self.asking = _world('n0')
                self.asked.outbox.clear()
                self.asking.gossip.is_settled = not known
                self.asking.gossip.known_change_by_peer.update(known)
                _, states = self._exchange()
                self.assertFalse(states)
                self._answer()
                _, states = self._exchange()
                self.assertIn('n7', states)

    def _answer(self) -> None:
        self.asking.inbox += [
            PeerMessage('n1', response)
            for response in _sent(self.asked, MembersResponse)
        ]
        run_tick(self.asking, 100)
        self.asking.outbox.clear()
        self.asked.outbox.clear()

    def _exchange(self) -> tuple[MembersRequest, set[str]]:
        ask_for_members(self.asking, 'n1')
        request = _sent(self.asking, MembersRequest)[0]
        self.asked.inbox.append(PeerMessage('n0', request))
        run_tick(self.asked, 100)
        states = {
            state.record.id
            for response in _sent(self.asked, MembersResponse)
            for state in response.states
        }
        return request, states


def _world(node_id: str) -> World:
    world = World(Identity(node_id, 'a', 1, peer_address=node_id), Random(1))
    for number in range(_COUNT):
        member_id = f'n{number}'
        world.members.insert(Member(member_id, 1, 'a', member_id))
    return world


def _sent(world: World, message_type: type) -> list[Any]:
    return [
        row.message
        for row in world.outbox
        if isinstance(row, SendToPeer) and isinstance(row.message, message_type)
    ]

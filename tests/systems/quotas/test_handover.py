"""Tests that members hand an organisation's bucket over, never a new one."""

from __future__ import annotations

import unittest

from figlane.entities.member import MemberPhase
from figlane.entities.outbox import LogDecision
from figlane.entities.world import World
from figlane.systems.membership.states import own_member
from figlane.systems.quotas.ring import owner_of
from tests.systems.quotas.owner_fleet import (
    DELAY_SECONDS,
    SURGE_RATE,
    Fleet,
    rested_fleet,
)


class HandoverTest(unittest.TestCase):
    """Owners of a bucket that leave, come back or join."""

    def test_change_of_owner_is_logged(self) -> None:
        """The claim and the release name each other's node.

        A log line's own ``level`` stands for its severity.
        """
        fleet = rested_fleet()
        fleet.run(1, SURGE_RATE)
        fleet.run(0.1, 0)
        leaving = _owner(fleet)
        for world in fleet.worlds:
            _set_phase(world, leaving, MemberPhase.LEAVING)
        fleet.logged.clear()
        fleet.run(0.2, SURGE_RATE)
        successor = _owner(fleet)
        claimed = _logged(fleet, successor, 'bucket_claimed')
        released = _logged(fleet, leaving, 'bucket_released')
        self.assertEqual(released.inputs['claimant'], successor)
        self.assertTrue(released.inputs['was_owner'])
        self.assertNotIn('level', released.inputs | claimed.inputs)
        self.assertEqual(claimed.inputs['previous'], leaving)
        self.assertEqual(claimed.inputs['outcome'], 'released')

    def test_late_request_keeps_the_bucket(self) -> None:
        """Requests that a leaving owner sends on lose nothing of the level."""
        for requests in (1, 2, 3):
            with self.subTest(requests=requests):
                fleet = rested_fleet()
                fleet.run(1, SURGE_RATE)
                fleet.run(0.1, 0)
                leaving = _owner(fleet)
                _move_to_end(fleet, leaving)
                _set_phase(fleet.worlds[-1], leaving, MemberPhase.LEAVING)
                for world in fleet.worlds[:requests]:
                    fleet.call(world)
                fleet.run(DELAY_SECONDS, 0)
                for world in fleet.worlds:
                    _set_phase(world, leaving, MemberPhase.LEAVING)
                fleet.logged.clear()
                fleet.run(0.2, 0)
                successor = _owner(fleet)
                claimed = _logged(fleet, successor, 'bucket_claimed')
                self.assertEqual(claimed.inputs['outcome'], 'released')


def _owner(fleet: Fleet) -> str:
    return owner_of(fleet.worlds[0], 'acme')


def _move_to_end(fleet: Fleet, node_id: str) -> None:
    index = fleet.numbers.index(int(node_id[1:]))
    fleet.numbers.append(fleet.numbers.pop(index))
    fleet.worlds.append(fleet.worlds.pop(index))


def _set_phase(world: World, node_id: str, phase: MemberPhase) -> None:
    own = own_member(world)
    member = own if own.id == node_id else world.members.by_id[node_id]
    world.members.move(member, phase)


def _logged(fleet: Fleet, node_id: str, event: str) -> LogDecision:
    found = [
        row
        for number, row in fleet.logged
        if (f'n{number}', row.event) == (node_id, event)
    ]
    assert len(found) == 1, fleet.logged
    return found[0]

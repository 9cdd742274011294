"""Tests that members hand an organisation's bucket over, never a new one."""

from __future__ import annotations

import unittest

from figlane.entities.charge import OwnedBucketPhase
from figlane.entities.inbox import PeerMessage
from figlane.entities.member import MemberPhase
from figlane.entities.outbox import LogDecision
from figlane.entities.quota_messages import BucketRelease
from figlane.entities.world import World
from figlane.systems.membership.states import own_member
from figlane.systems.quotas.buckets import find_bucket
from figlane.systems.quotas.ring import owner_of, ring_members
from tests.systems.quotas.owner_fleet import (
    ALLOWANCE,
    DELAY_SECONDS,
    SURGE_RATE,
    WINDOW_LIMIT,
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
                *others, owner = fleet.worlds
                _set_phase(owner, leaving, MemberPhase.LEAVING)
                for world in others[:requests]:
                    fleet.call(world)
                fleet.run(DELAY_SECONDS, 0)
                for world in fleet.worlds:
                    _set_phase(world, leaving, MemberPhase.LEAVING)
                fleet.logged.clear()
                fleet.run(0.2, 0)
                successor = _owner(fleet)
                claimed = _logged(fleet, successor, 'bucket_claimed')
                self.assertEqual(claimed.inputs['outcome'], 'released')

    def test_owners_that_leave_in_turn(self) -> None:
        """The members keep to the window while one owner after another leaves.

        The leaving owner knows it first, and the others one after the other.
        """
        for seconds in (0, 0.01, 0.02, 0.05, 0.1):
            with self.subTest(seconds=seconds):
                fleet = rested_fleet()
                fleet.run(4, SURGE_RATE)
                for _ in range(6):
                    leaving = _owner(fleet)
                    _announce_leaving(fleet, leaving, seconds)
                    fleet.run(0.3, SURGE_RATE)
                self.assertLessEqual(fleet.max_in_window(), WINDOW_LIMIT)
                served = len(fleet.admitted_at)
                self.assertGreater(served, 5 * ALLOWANCE.rate)

    def test_owners_that_restart_in_turn(self) -> None:
        """The members keep to the window while owners leave and come back."""
        for gap in (0.05, 0.1, 0.2, 0.3):
            for away in (1, 2, 3, 4, 5):
                with self.subTest(gap=gap, away=away):
                    fleet = rested_fleet()
                    fleet.run(4, SURGE_RATE)
                    fleet.logged.clear()
                    _restart_in_turn(fleet, gap, away)
                    self.assertLessEqual(fleet.max_in_window(), WINDOW_LIMIT)
                    served = len(fleet.admitted_at)
                    self.assertGreater(served, 5 * ALLOWANCE.rate)
                    outcomes = {
                        row.inputs['outcome']
                        for _, row in fleet.logged
                        if row.event == 'bucket_claimed'
                    }
                    self.assertEqual(outcomes, {'released'})

    def test_claim_follows_the_bucket(self) -> None:
        """A member that released the bucket names the one that claimed it."""
        fleet = rested_fleet()
        ring = _ring(fleet)
        fleet.run(1, SURGE_RATE)
        _announce_leaving(fleet, ring[0], 0)
        fleet.run(0.2, SURGE_RATE)
        _announce_leaving(fleet, ring[1], 0)
        fleet.run(0.2, SURGE_RATE)
        _restart(fleet, ring[0], 0)
        fleet.logged.clear()
        _set_phase(fleet.worlds[-1], ring[1], MemberPhase.ALIVE)
        fleet.call(fleet.worlds[-1])
        fleet.run(0.2, 0)
        claimed = _logged(fleet, ring[0], 'bucket_claimed')
        self.assertEqual(claimed.inputs['previous'], ring[2])
        self.assertEqual(claimed.inputs['asked'], [ring[1], ring[2]])

    def test_returned_owner_asks_its_claimant(self) -> None:
        """A node asks the member that it released the bucket to."""
        fleet = rested_fleet()
        ring = _ring(fleet)
        fleet.run(1, SURGE_RATE)
        fleet.run(0.1, 0)
        _move_to_end(fleet, ring[3])
        claimant = fleet.worlds[-1]
        for member_id in ring[:3]:
            _set_phase(claimant, member_id, MemberPhase.LEAVING)
        fleet.call(claimant)
        fleet.run(0.2, 0)
        for member_id in ring[:3]:
            _set_phase(claimant, member_id, MemberPhase.ALIVE)
        _restart(fleet, ring[1], 0)
        fleet.run(6, 0)
        fleet.logged.clear()
        fleet.call(fleet.worlds[0])
        fleet.run(0.2, 0)
        claimed = _logged(fleet, ring[0], 'bucket_claimed')
        self.assertEqual(claimed.inputs['previous'], ring[3])

    def test_late_news_of_a_return(self) -> None:
        """A member that takes an owner for leaving claims nothing back."""
        for place in (1, 2, 3):
            with self.subTest(place=place):
                fleet = rested_fleet()
                owner_id, *others = _ring(fleet)
                fleet.run(1, SURGE_RATE)
                _announce_leaving(fleet, owner_id, 0)
                fleet.run(0.5, SURGE_RATE)
                fleet.run(0.1, 0)
                _move_to_end(fleet, others[place - 1])
                late = fleet.worlds[-1]
                _restart(fleet, owner_id, 0)
                late.members.by_id[owner_id].incarnation = 1
                for member_id in (owner_id, *others[: place - 1]):
                    _set_phase(late, member_id, MemberPhase.LEAVING)
                fleet.run(0.2, SURGE_RATE)
                late.members.by_id[owner_id].incarnation += 1
                for member_id in (owner_id, *others[: place - 1]):
                    _set_phase(late, member_id, MemberPhase.ALIVE)
                fleet.admitted_at.clear()
                fleet.run(3, SURGE_RATE)
                served = len(fleet.admitted_at)
                self.assertGreater(served, 2.9 * ALLOWANCE.rate)

    def test_claimant_that_leaves_for_good(self) -> None:
        """A claimant that is known to be gone is not named as the owner."""
        for phase in (
            MemberPhase.SUSPECT,
            MemberPhase.LEAVING,
            MemberPhase.DEAD,
        ):
            with self.subTest(phase=phase):
                fleet = rested_fleet()
                owner_id, claimant_id, *_ = _ring(fleet)
                fleet.run(1, SURGE_RATE)
                _move_to_end(fleet, claimant_id)
                _move_to_end(fleet, owner_id)
                claimant, owner = fleet.worlds[-2:]
                _set_phase(claimant, owner_id, MemberPhase.LEAVING)
                fleet.call(claimant)
                fleet.run(5 * DELAY_SECONDS, 0)
                _set_phase(owner, claimant_id, phase)
                fleet.run(0.1, 0)
                _set_phase(claimant, owner_id, MemberPhase.ALIVE)
                for world in fleet.worlds:
                    _set_phase(world, claimant_id, MemberPhase.LEAVING)
                fleet.admitted_at.clear()
                fleet.run(3, 0.9 * ALLOWANCE.rate)
                served = len(fleet.admitted_at)
                self.assertGreater(served, 0.8 * 3 * ALLOWANCE.rate)

    def test_leaving_claimant_claims_no_more(self) -> None:
        """A node that has begun to leave follows no bucket that moved on."""
        fleet = rested_fleet()
        owner_id = _owner(fleet)
        owner = fleet.worlds[int(owner_id[1:])]
        second, third, *_ = [
            member.id for member in owner.members if member.id != owner_id
        ]
        bucket = find_bucket(owner, 'acme', fleet.now)
        owner.quota.owned_buckets.move(bucket, OwnedBucketPhase.CLAIMING)
        owner.quota.owned_buckets.schedule(bucket, fleet.now + 0.1)
        bucket.awaited.add(second)
        _set_phase(owner, owner_id, MemberPhase.LEAVING)
        release = BucketRelease('acme', released_to=third)
        owner.inbox.append(PeerMessage(second, release))
        fleet.logged.clear()
        fleet.run(0.2, 0)
        self.assertEqual(len(fleet.logged), 1)
        claimed = _logged(fleet, owner_id, 'bucket_claimed')
        self.assertEqual(claimed.inputs['asked'], [])
        self.assertEqual(claimed.inputs['tokens'], 0)

    def test_fallback_of_members_that_disagree(self) -> None:
        """What members let through while none takes the bucket is charged."""
        fleet = rested_fleet()
        owner_id = _ring(fleet)[0]
        fleet.run(4, SURGE_RATE)
        fleet.admitted_at.clear()
        _move_to_end(fleet, owner_id)
        owner = fleet.worlds[-1]
        _set_phase(owner, owner_id, MemberPhase.LEAVING)
        fleet.run(0.3, SURGE_RATE)
        self.assertGreater(len(fleet.admitted_at), 0)
        for world in fleet.worlds:
            _set_phase(world, owner_id, MemberPhase.LEAVING)
        fleet.run(0.3, SURGE_RATE)
        self.assertLessEqual(len(fleet.admitted_at), 0.6 * 1.2 * ALLOWANCE.rate)

    def test_successor_of_a_killed_owner(self) -> None:
        """What successors let through is no debt of a bucket without level."""
        fleet = rested_fleet()
        owner_id = _owner(fleet)
        fleet.run(3, SURGE_RATE)
        fleet.paused = frozenset((int(owner_id[1:]),))
        fleet.run(1.5, SURGE_RATE)
        for world in fleet.worlds:
            _set_phase(world, owner_id, MemberPhase.DEAD)
        fleet.admitted_at.clear()
        fleet.run(2, SURGE_RATE)
        self.assertGreaterEqual(len(fleet.admitted_at), 2 * ALLOWANCE.rate)

    def test_claim_during_a_claim(self) -> None:
        """A member that is asked while it claims hands over what it gets."""
        fleet = rested_fleet()
        first, second, third = _ring(fleet)[:3]
        fleet.run(1, SURGE_RATE)
        fleet.run(0.1, 0)
        for world in fleet.worlds:
            _set_phase(world, first, MemberPhase.LEAVING)
        _move_to_end(fleet, second)
        _move_to_end(fleet, third)
        _set_phase(fleet.worlds[-1], second, MemberPhase.LEAVING)
        fleet.logged.clear()
        fleet.call(fleet.worlds[-1])
        fleet.call(fleet.worlds[-2])
        fleet.run(0.3, 0)
        claimed = _logged(fleet, third, 'bucket_claimed')
        self.assertEqual(claimed.inputs['previous'], second)


def _ring(fleet: Fleet) -> list[str]:
    return [member.id for member in ring_members(fleet.worlds[0], 'acme')]


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


def _announce_leaving(fleet: Fleet, node_id: str, seconds: float) -> None:
    _move_to_end(fleet, node_id)
    for world in reversed(fleet.worlds):
        _set_phase(world, node_id, MemberPhase.LEAVING)
        fleet.run(seconds, SURGE_RATE)


def _restart_in_turn(fleet: Fleet, gap: float, away: int) -> None:
    """Let all members restart, in the order in which they own the bucket."""
    ring = _ring(fleet)
    for number in range(len(ring) + away):
        if number < len(ring):
            _announce_leaving(fleet, ring[number], 0.01)
        if number >= away:
            _restart(fleet, ring[number - away], SURGE_RATE)
        fleet.run(gap, SURGE_RATE)


def _restart(fleet: Fleet, node_id: str, rate: float) -> None:
    _move_to_end(fleet, node_id)
    known = fleet.worlds.pop()
    started = fleet.start(fleet.numbers[-1])
    for member in known.members:
        if member.id != node_id:
            _set_phase(started, member.id, member.phase)
    fleet.worlds.append(started)
    for world in fleet.worlds[:-1]:
        world.members.by_id[node_id].incarnation += 1
        _set_phase(world, node_id, MemberPhase.ALIVE)
        fleet.run(0.01, rate)

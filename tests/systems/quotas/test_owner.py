"""Tests that the owner policy keeps an organisation to its window."""

from __future__ import annotations

import unittest

from figlane.entities.member import MemberPhase
from figlane.systems.membership.states import own_member
from figlane.systems.quotas.ring import owner_of, ring_members
from tests.systems.quotas.owner_fleet import (
    ALLOWANCE,
    SURGE_RATE,
    WINDOW_LIMIT,
    Fleet,
    rested_fleet,
)


class OwnerTest(unittest.TestCase):
    """Fleets of eight nodes under the owner policy."""

    def test_within_rate(self) -> None:
        """Few calls within the rate are refused, also with few entry nodes."""
        for load, max_refused in ((0.6, 0.005), (0.9, 0.03)):
            for node_fraction in (1, 0.5, 0.1):
                with self.subTest(load=load, node_fraction=node_fraction):
                    fleet = rested_fleet()
                    # A new bucket starts empty.
                    fleet.run(1.5, load * ALLOWANCE.rate, node_fraction)
                    fleet.refused = 0
                    fleet.run(10, load * ALLOWANCE.rate, node_fraction)
                    served = len(fleet.admitted_at)
                    self.assertLessEqual(fleet.refused, max_refused * served)

    def test_surge(self) -> None:
        """Each window of a surge keeps to the limit, and the rate is used."""
        for node_fraction in (1, 0.1):
            with self.subTest(node_fraction=node_fraction):
                fleet = rested_fleet()
                fleet.run(4, 0.6 * ALLOWANCE.rate)
                fleet.run(15, SURGE_RATE, node_fraction)
                self.assertLessEqual(fleet.max_in_window(), WINDOW_LIMIT)
                self.assertGreater(len(fleet.admitted_at), 17 * 60)

    def test_partition(self) -> None:
        """Both sides of a partition together keep to the window."""
        fleet = rested_fleet()
        fleet.run(4, 0.6 * ALLOWANCE.rate)
        fleet.cut = frozenset((0, 1))
        self._declare_dead(fleet)
        fleet.run(15, SURGE_RATE)
        self.assertLessEqual(fleet.max_in_window(), WINDOW_LIMIT)

    def test_restarted_node(self) -> None:
        """Nodes that restart during a surge do not admit another burst."""
        fleet = rested_fleet()
        for number in range(8):
            fleet.run(1, SURGE_RATE)
            fleet.worlds[number] = fleet.start(number)
        fleet.run(2, SURGE_RATE)
        self.assertLessEqual(fleet.max_in_window(), WINDOW_LIMIT)

    def test_partitioned_node_causes_no_refusals(self) -> None:
        """One partitioned node does not cause refusals at the other nodes."""
        fleet = rested_fleet()
        fleet.run(2, 0.6 * ALLOWANCE.rate)
        fleet.cut = frozenset((7,))
        fleet.refused = 0
        fleet.run(6, 0.6 * ALLOWANCE.rate, 0.875)
        self.assertLessEqual(fleet.refused, 0.005 * len(fleet.admitted_at))

    def test_undetected_partition(self) -> None:
        """All nodes keep to the window before a partition is detected."""
        for cut in ((0,), (0, 1), (0, 1, 2)):
            with self.subTest(cut=cut):
                fleet = rested_fleet()
                fleet.run(4, 0.6 * ALLOWANCE.rate)
                fleet.cut = frozenset(cut)
                fleet.run(10, SURGE_RATE)
                self.assertLessEqual(fleet.max_in_window(), WINDOW_LIMIT)

    def test_whole_fleet_restart(self) -> None:
        """All nodes keep to the window when they restart at the same time.

        When the first calls arrive, the nodes have no member list yet; they
        must not each admit the whole allowance.
        """
        for delay in (0, 0.05, 0.5):
            with self.subTest(delay=delay):
                fleet = rested_fleet()
                fleet.run(5, SURGE_RATE)
                fleet.worlds = [
                    fleet.start(number, knows_others=False)
                    for number in range(8)
                ]
                fleet.run(delay, SURGE_RATE)
                for number, world in enumerate(fleet.worlds):
                    fleet.add_members(number, world)
                    world.join.has_joined = True
                fleet.run(4, SURGE_RATE)
                self.assertLessEqual(fleet.max_in_window(), WINDOW_LIMIT)

    def test_many_nodes(self) -> None:
        """A fleet of 200 nodes refuses none of few calls within the rate.

        Each node sees one call in several seconds, so that no part of the rate
        that is reserved for a node would be of use.
        """
        fleet = Fleet(200)
        fleet.run(0.5, 0)
        fleet.run(4, 0.9 * ALLOWANCE.rate)
        self.assertLessEqual(fleet.refused, 0.01 * len(fleet.admitted_at))

    def test_moving_callers(self) -> None:
        """A surge that moves between nodes keeps to the limit."""
        fleet = rested_fleet()
        for _ in range(6):
            fleet.worlds.reverse()
            fleet.numbers.reverse()
            fleet.run(1.5, SURGE_RATE, 0.4)
        self.assertLessEqual(fleet.max_in_window(), WINDOW_LIMIT)
        self.assertGreater(len(fleet.admitted_at), 9 * ALLOWANCE.rate)

    def test_paused_nodes(self) -> None:
        """Each window holds when a node wakes with old sums and old answers."""
        for number in range(8):
            with self.subTest(paused=number):
                fleet = rested_fleet()
                fleet.run(2, SURGE_RATE)
                fleet.paused = frozenset((number,))
                fleet.run(3, SURGE_RATE)
                fleet.paused = frozenset()
                fleet.run(4, SURGE_RATE)
                self.assertLessEqual(fleet.max_in_window(), WINDOW_LIMIT)

    def test_late_answer_grants_nothing(self) -> None:
        """Calls are not charged by an answer that arrived during a pause."""
        fleet = Fleet(2)
        fleet.run(2, 0)
        entry = next(
            number
            for number, world in enumerate(fleet.worlds)
            if owner_of(world, 'acme') != f'n{number}'
        )
        fleet.call(fleet.worlds[entry])
        fleet.run(0.01, 0)
        fleet.paused = frozenset((entry,))
        fleet.run(2, 0)
        fleet.paused = frozenset()
        fleet.run(0.01, 0)
        self.assertEqual(fleet.admitted_at, [])
        self.assertEqual(fleet.worlds[entry].counters['quota.reply.late'], 1)

    def test_joining_nodes(self) -> None:
        """Nodes that join during a surge, known late to some, add nothing.

        Until all nodes know of a new owner, two nodes take themselves for it.
        """
        fleet = rested_fleet()
        fleet.run(2, SURGE_RATE)
        for joined in range(8, 14):
            fleet.join(joined)
            for number in range(joined):
                fleet.run(0.1, SURGE_RATE)
                fleet.introduce(joined, number)
        self.assertLessEqual(fleet.max_in_window(), WINDOW_LIMIT)
        self.assertGreater(len(fleet.admitted_at), 8 * ALLOWANCE.rate)

    def test_leaving_owner(self) -> None:
        """A leaving owner hands the bucket over, whoever knows of it."""
        fleet = rested_fleet()
        fleet.run(4, SURGE_RATE)
        leaving = owner_of(fleet.worlds[0], 'acme')
        for world in fleet.worlds:
            fleet.run(0.1, SURGE_RATE)
            member = own_member(world)
            if member.id != leaving:
                member = world.members.by_id[leaving]
            world.members.move(member, MemberPhase.LEAVING)
        fleet.run(4, SURGE_RATE)
        self.assertLessEqual(fleet.max_in_window(), WINDOW_LIMIT)
        self.assertGreater(len(fleet.admitted_at), 8 * ALLOWANCE.rate)

    def test_silent_owner(self) -> None:
        """Calls go on, at a part of the rate, while the owner is silent."""
        fleet = rested_fleet()
        fleet.run(4, 0.2 * ALLOWANCE.rate)
        owner = int(owner_of(fleet.worlds[0], 'acme')[1:])
        fleet.paused = frozenset((owner,))
        fleet.offered = 0
        fleet.run(5, 0.2 * ALLOWANCE.rate)
        self.assertLessEqual(fleet.refused, 0.1 * fleet.offered)
        waiting = sum(
            len(world.calls)
            for number, world in zip(fleet.numbers, fleet.worlds, strict=True)
            if number != owner
        )
        self.assertLessEqual(waiting, 3)

    def test_cost_of_a_node(self) -> None:
        """The messages for a call do not depend on the size of the fleet."""
        counts = set()
        for count in (10, 100, 1000):
            world = Fleet(count, active=(0,)).worlds[0]
            own_member(world)
            # The owner, its predecessor, which is asked once to release the
            # bucket, and an entry node.
            ring = [
                int(member.id[1:]) for member in ring_members(world, 'acme')
            ]
            fleet = Fleet(count, active=tuple(ring[:3]))
            fleet.run(1, 0)
            fleet.call(fleet.worlds[2])
            fleet.run(1, 0)
            fleet.sent = 0
            for _ in range(20):
                fleet.call(fleet.worlds[2])
                fleet.run(0.05, 0)
            counts.add(fleet.sent)
        self.assertEqual(counts, {40})

    def _declare_dead(self, fleet: Fleet) -> None:
        for number, world in enumerate(fleet.worlds):
            for member in world.members:
                other = int(member.id[1:])
                if (number in fleet.cut) != (other in fleet.cut):
                    world.members.move(member, MemberPhase.DEAD)

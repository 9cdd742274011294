"""Tests that the owner policy keeps an organisation to its window."""

from __future__ import annotations

import unittest
from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from figlane.entities.call import Call, CallPhase
from figlane.entities.http import Request
from figlane.entities.inbox import NodeStarted, PeerMessage
from figlane.entities.ingress import CallerLimits, ConfigurationReplaced
from figlane.entities.member import Member, MemberPhase
from figlane.entities.outbox import AnswerCaller, LogDecision, SendToPeer
from figlane.entities.quota_messages import (
    BucketClaim,
    BucketRelease,
    ChargeReply,
    ChargeRequest,
)
from figlane.entities.service import Allowance, Organisation
from figlane.entities.world import Identity, Policies, QuotaBounds, World
from figlane.errors import ErrorKind
from figlane.systems.membership.states import own_member
from figlane.systems.quotas.ring import owner_of, ring_members
from figlane.systems.tick import run_tick

_ALLOWANCE = Allowance(60, 60, 1)
_BOUNDS = QuotaBounds(5, 0.1, 20)
_WINDOW_LIMIT = (60 * 5 + 60) * 1.1 + 20
# Offered load of a surge in calls per second.
_SURGE_RATE = 8 * _ALLOWANCE.rate
_STEP_SECONDS = 0.01
_DELAY_SECONDS = 0.003
_QUOTA_MESSAGES = (BucketClaim, BucketRelease, ChargeReply, ChargeRequest)


@dataclass(slots=True)
class Fleet:
    """Simulated nodes whose messages about quotas take ``_DELAY_SECONDS``.

    ``cut`` holds the numbers of the nodes that are partitioned from the rest,
    ``paused`` those of the nodes that do not run, and ``active`` those of the
    nodes that are simulated, by default all. ``numbers`` are those of
    ``worlds``. ``logged`` holds the decisions about buckets with the numbers of
    their nodes.
    """

    count: int
    active: tuple[int, ...] | None = None
    random: Random = field(default_factory=lambda: Random(3))
    now: float = 100.0
    worlds: list[World] = field(default_factory=list)
    numbers: list[int] = field(default_factory=list)
    in_flight: list[tuple[float, int, str, Any]] = field(
        default_factory=list,
    )
    admitted_at: list[float] = field(default_factory=list)
    refused: int = 0
    offered: int = 0
    refusals: Counter[ErrorKind] = field(default_factory=Counter)
    cut: frozenset[int] = frozenset()
    paused: frozenset[int] = frozenset()
    sent: int = 0
    logged: list[tuple[int, LogDecision]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start the nodes."""
        is_active = range(self.count) if self.active is None else self.active
        self.numbers = list(is_active)
        self.worlds = [self.start(number) for number in self.numbers]

    def start(self, number: int, *, knows_others: bool = True) -> World:
        """Start a node.

        :param number: the node's number.
        :param knows_others: False if it has not joined the fleet yet.
        :return: the node's world.
        """
        world = World(
            Identity(f'n{number}', 'a', 1, peer_address=f'127.0.0.1:{number}'),
            Random(number),
            Policies(rate='owner'),
            quota_bounds=_BOUNDS,
        )
        if knows_others:
            self.add_members(number, world)
        else:
            world.join.is_enabled = True
        world.inbox.append(NodeStarted(frozenset(('probe-members',))))
        world.inbox.append(
            ConfigurationReplaced(
                1,
                (),
                (Organisation('acme', 1, allowance=_ALLOWANCE),),
                (),
                CallerLimits(),
            ),
        )
        return world

    def add_members(self, number: int, world: World) -> None:
        """Insert all other nodes into a node's membership.

        :param number: the node's number.
        :param world: the node's world.
        """
        for other in range(self.count):
            if other != number:
                address = f'127.0.0.1:{other}'
                world.members.insert(Member(f'n{other}', 1, 'a', address))

    def join(self, number: int) -> None:
        """Start a node that knows all others and that only its successors know.

        :param number: the node's number.
        """
        self.count = number + 1
        self.numbers.append(number)
        self.worlds.append(self.start(number))

    def introduce(self, joined: int, number: int) -> None:
        """Insert a node that has joined into another node's membership.

        :param joined: number of the node that has joined.
        :param number: number of the other node.
        """
        world = self.worlds[self.numbers.index(number)]
        address = f'127.0.0.1:{joined}'
        world.members.insert(Member(f'n{joined}', 1, 'a', address))

    def run(
        self, seconds: float, rate: float, node_fraction: float = 1
    ) -> None:
        """Offer calls for some time.

        :param seconds: the duration in seconds.
        :param rate: the offered load in calls per second.
        :param node_fraction: the fraction of the nodes that receive calls.
        """
        ends = self.now + seconds
        reached = max(1, int(len(self.worlds) * node_fraction))
        while self.now < ends:
            self.now += _STEP_SECONDS
            self._tick()
            expected = rate * _STEP_SECONDS
            calls = int(expected)
            calls += self.random.random() < expected - calls
            for _ in range(calls):
                self.call(self.worlds[self.random.randrange(reached)])

    def max_in_window(self, since: float = 0) -> int:
        """Count the admitted calls in the fullest window.

        :param since: the earliest start of a window, in seconds.
        :return: the number of calls.
        """
        times = self.admitted_at
        return max(
            (
                bisect_left(times, at + _BOUNDS.window_seconds) - index
                for index, at in enumerate(times)
                if at >= since
            ),
            default=0,
        )

    def call(self, world: World) -> None:
        """Let a call arrive at a node.

        :param world: the node's world.
        """
        self.offered += 1
        request = Request('GET', '/', ())
        call = Call(
            f'c{self.offered}', 's', request, self.now, organisation_id='acme'
        )
        call.phase = CallPhase.IDENTIFIED
        world.calls.insert(call)

    def _tick(self) -> None:
        arrived = [
            entry
            for entry in self.in_flight
            if entry[0] <= self.now and entry[1] not in self.paused
        ]
        self.in_flight = [
            entry for entry in self.in_flight if entry not in arrived
        ]
        for _, target, sender, message in arrived:
            row = PeerMessage(sender, message)
            if target in self.numbers:
                world = self.worlds[self.numbers.index(target)]
                world.inbox.append(row)
        for number, world in zip(self.numbers, self.worlds, strict=True):
            if number not in self.paused:
                run_tick(world, self.now)
                self._collect(number, world)

    def _collect(self, number: int, world: World) -> None:
        assert not world.failures, world.failures
        for row in world.outbox:
            if isinstance(row, SendToPeer):
                self._transmit(number, row)
            if isinstance(row, AnswerCaller):
                self._count(row)
            if isinstance(row, LogDecision) and 'bucket' in row.event:
                self.logged.append((number, row))
        world.outbox.clear()

    def _transmit(self, number: int, row: SendToPeer) -> None:
        target = int(row.node_id[1:])
        is_cut = (number in self.cut) != (target in self.cut)
        if not isinstance(row.message, _QUOTA_MESSAGES):
            return
        self.sent += 1
        if not is_cut:
            at = self.now + _DELAY_SECONDS
            self.in_flight.append((at, target, f'n{number}', row.message))

    def _count(self, row: AnswerCaller) -> None:
        # A charged call is routed in the same tick, to a service without
        # servers.
        if row.outcome.kind is ErrorKind.NO_BACKEND_SERVER:
            self.admitted_at.append(self.now)
        else:
            self.refused += 1
            self.refusals[row.outcome.kind] += 1


class OwnerTest(unittest.TestCase):
    """Fleets of eight nodes under the owner policy."""

    def test_within_rate(self) -> None:
        """Few calls within the rate are refused, also with few entry nodes."""
        for load, max_refused in ((0.6, 0.005), (0.9, 0.03)):
            for node_fraction in (1, 0.5, 0.1):
                with self.subTest(load=load, node_fraction=node_fraction):
                    fleet = _rested_fleet()
                    # A new bucket starts empty.
                    fleet.run(1.5, load * _ALLOWANCE.rate, node_fraction)
                    fleet.refused = 0
                    fleet.run(10, load * _ALLOWANCE.rate, node_fraction)
                    served = len(fleet.admitted_at)
                    self.assertLessEqual(fleet.refused, max_refused * served)

    def test_surge(self) -> None:
        """Each window of a surge keeps to the limit, and the rate is used."""
        for node_fraction in (1, 0.1):
            with self.subTest(node_fraction=node_fraction):
                fleet = _rested_fleet()
                fleet.run(4, 0.6 * _ALLOWANCE.rate)
                fleet.run(15, _SURGE_RATE, node_fraction)
                self.assertLessEqual(fleet.max_in_window(), _WINDOW_LIMIT)
                self.assertGreater(len(fleet.admitted_at), 17 * 60)

    def test_partition(self) -> None:
        """Both sides of a partition together keep to the window."""
        fleet = _rested_fleet()
        fleet.run(4, 0.6 * _ALLOWANCE.rate)
        fleet.cut = frozenset((0, 1))
        self._declare_dead(fleet)
        fleet.run(15, _SURGE_RATE)
        self.assertLessEqual(fleet.max_in_window(), _WINDOW_LIMIT)

    def test_restarted_node(self) -> None:
        """Nodes that restart during a surge do not admit another burst."""
        fleet = _rested_fleet()
        for number in range(8):
            fleet.run(1, _SURGE_RATE)
            fleet.worlds[number] = fleet.start(number)
        fleet.run(2, _SURGE_RATE)
        self.assertLessEqual(fleet.max_in_window(), _WINDOW_LIMIT)

    def test_partitioned_node_causes_no_refusals(self) -> None:
        """One partitioned node does not cause refusals at the other nodes."""
        fleet = _rested_fleet()
        fleet.run(2, 0.6 * _ALLOWANCE.rate)
        fleet.cut = frozenset((7,))
        fleet.refused = 0
        fleet.run(6, 0.6 * _ALLOWANCE.rate, 0.875)
        self.assertLessEqual(fleet.refused, 0.005 * len(fleet.admitted_at))

    def test_undetected_partition(self) -> None:
        """All nodes keep to the window before a partition is detected."""
        for cut in ((0,), (0, 1), (0, 1, 2)):
            with self.subTest(cut=cut):
                fleet = _rested_fleet()
                fleet.run(4, 0.6 * _ALLOWANCE.rate)
                fleet.cut = frozenset(cut)
                fleet.run(10, _SURGE_RATE)
                self.assertLessEqual(fleet.max_in_window(), _WINDOW_LIMIT)

    def test_whole_fleet_restart(self) -> None:
        """All nodes keep to the window when they restart at the same time.

        When the first calls arrive, the nodes have no member list yet; they
        must not each admit the whole allowance.
        """
        for delay in (0, 0.05, 0.5):
            with self.subTest(delay=delay):
                fleet = _rested_fleet()
                fleet.run(5, _SURGE_RATE)
                fleet.worlds = [
                    fleet.start(number, knows_others=False)
                    for number in range(8)
                ]
                fleet.run(delay, _SURGE_RATE)
                for number, world in enumerate(fleet.worlds):
                    fleet.add_members(number, world)
                    world.join.has_joined = True
                fleet.run(4, _SURGE_RATE)
                self.assertLessEqual(fleet.max_in_window(), _WINDOW_LIMIT)

    def test_many_nodes(self) -> None:
        """A fleet of 200 nodes refuses none of few calls within the rate.

        Each node sees one call in several seconds, so that no part of the rate
        that is reserved for a node would be of use.
        """
        fleet = Fleet(200)
        fleet.run(0.5, 0)
        fleet.run(4, 0.9 * _ALLOWANCE.rate)
        self.assertLessEqual(fleet.refused, 0.01 * len(fleet.admitted_at))

    def test_moving_callers(self) -> None:
        """A surge that moves between nodes keeps to the limit."""
        fleet = _rested_fleet()
        for _ in range(6):
            fleet.worlds.reverse()
            fleet.numbers.reverse()
            fleet.run(1.5, _SURGE_RATE, 0.4)
        self.assertLessEqual(fleet.max_in_window(), _WINDOW_LIMIT)
        self.assertGreater(len(fleet.admitted_at), 9 * _ALLOWANCE.rate)

    def test_paused_nodes(self) -> None:
        """Each window holds when a node wakes with old sums and old answers."""
        for number in range(8):
            with self.subTest(paused=number):
                fleet = _rested_fleet()
                fleet.run(2, _SURGE_RATE)
                fleet.paused = frozenset((number,))
                fleet.run(3, _SURGE_RATE)
                fleet.paused = frozenset()
                fleet.run(4, _SURGE_RATE)
                self.assertLessEqual(fleet.max_in_window(), _WINDOW_LIMIT)

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
        fleet = _rested_fleet()
        fleet.run(2, _SURGE_RATE)
        for joined in range(8, 14):
            fleet.join(joined)
            for number in range(joined):
                fleet.run(0.1, _SURGE_RATE)
                fleet.introduce(joined, number)
        self.assertLessEqual(fleet.max_in_window(), _WINDOW_LIMIT)
        self.assertGreater(len(fleet.admitted_at), 8 * _ALLOWANCE.rate)

    def test_leaving_owner(self) -> None:
        """A leaving owner hands the bucket over, whoever knows of it."""
        fleet = _rested_fleet()
        fleet.run(4, _SURGE_RATE)
        leaving = owner_of(fleet.worlds[0], 'acme')
        for world in fleet.worlds:
            fleet.run(0.1, _SURGE_RATE)
            member = own_member(world)
            if member.id != leaving:
                member = world.members.by_id[leaving]
            world.members.move(member, MemberPhase.LEAVING)
        fleet.run(4, _SURGE_RATE)
        self.assertLessEqual(fleet.max_in_window(), _WINDOW_LIMIT)
        self.assertGreater(len(fleet.admitted_at), 8 * _ALLOWANCE.rate)

    def test_change_of_owner_is_logged(self) -> None:
        """The claim and the release name each other's node.

        A log line's own ``level`` stands for its severity.
        """
        fleet = _rested_fleet()
        fleet.run(1, _SURGE_RATE)
        fleet.run(0.1, 0)
        leaving = owner_of(fleet.worlds[0], 'acme')
        for world in fleet.worlds:
            member = own_member(world)
            if member.id != leaving:
                member = world.members.by_id[leaving]
            world.members.move(member, MemberPhase.LEAVING)
        fleet.logged.clear()
        fleet.run(0.2, _SURGE_RATE)
        successor = owner_of(fleet.worlds[0], 'acme')
        (_, released), (claimant, claimed) = fleet.logged
        self.assertEqual(released.event, 'bucket_released')
        self.assertEqual(released.inputs['claimant'], successor)
        self.assertTrue(released.inputs['was_owner'])
        self.assertNotIn('level', released.inputs | claimed.inputs)
        self.assertEqual(claimed.event, 'bucket_claimed')
        self.assertEqual(f'n{claimant}', successor)
        self.assertEqual(claimed.inputs['previous'], leaving)
        self.assertEqual(claimed.inputs['outcome'], 'released')

    def test_late_request_keeps_the_bucket(self) -> None:
        """Requests that a leaving owner sends on lose nothing of the level."""
        for requests in (1, 2, 3):
            with self.subTest(requests=requests):
                fleet = _rested_fleet()
                fleet.run(1, _SURGE_RATE)
                fleet.run(0.1, 0)
                leaving = owner_of(fleet.worlds[0], 'acme')
                _move_to_end(fleet, leaving)
                _set_phase(fleet.worlds[-1], leaving, MemberPhase.LEAVING)
                for world in fleet.worlds[:requests]:
                    fleet.call(world)
                fleet.run(_DELAY_SECONDS, 0)
                for world in fleet.worlds:
                    _set_phase(world, leaving, MemberPhase.LEAVING)
                fleet.logged.clear()
                fleet.run(0.2, 0)
                _, (_, claimed) = fleet.logged
                self.assertEqual(claimed.inputs['outcome'], 'released')

    def test_silent_owner(self) -> None:
        """Calls go on, at a part of the rate, while the owner is silent."""
        fleet = _rested_fleet()
        fleet.run(4, 0.2 * _ALLOWANCE.rate)
        owner = int(owner_of(fleet.worlds[0], 'acme')[1:])
        fleet.paused = frozenset((owner,))
        fleet.offered = 0
        fleet.run(5, 0.2 * _ALLOWANCE.rate)
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


def _rested_fleet() -> Fleet:
    fleet = Fleet(8)
    fleet.run(2, 0)
    return fleet


def _move_to_end(fleet: Fleet, node_id: str) -> None:
    index = fleet.numbers.index(int(node_id[1:]))
    fleet.numbers.append(fleet.numbers.pop(index))
    fleet.worlds.append(fleet.worlds.pop(index))


def _set_phase(world: World, node_id: str, phase: MemberPhase) -> None:
    own = own_member(world)
    member = own if own.id == node_id else world.members.by_id[node_id]
    world.members.move(member, phase)

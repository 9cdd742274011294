"""Simulates nodes under the owner policy and counts their admissions."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from figlane.entities.call import Call, CallPhase
from figlane.entities.http import Request
from figlane.entities.inbox import NodeStarted, PeerMessage
from figlane.entities.ingress import CallerLimits, ConfigurationReplaced
from figlane.entities.member import Member
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
from figlane.systems.tick import run_tick

ALLOWANCE = Allowance(60, 60, 1)
_BOUNDS = QuotaBounds(5, 0.1, 20)
WINDOW_LIMIT = (60 * 5 + 60) * 1.1 + 20
# Offered load of a surge in calls per second.
SURGE_RATE = 8 * ALLOWANCE.rate
_STEP_SECONDS = 0.01
DELAY_SECONDS = 0.003
_QUOTA_MESSAGES = (BucketClaim, BucketRelease, ChargeReply, ChargeRequest)


@dataclass(slots=True)
class Fleet:
    """Simulated nodes whose messages about quotas take ``DELAY_SECONDS``.

    ``cut`` holds the numbers of the nodes that are partitioned from the rest,
    ``paused`` those of the nodes that do not run, and ``active`` those of the
    nodes that are simulated, by default all. ``numbers`` are those of
    ``worlds``. ``logged`` holds the decisions about buckets with the numbers of
    their nodes, and ``starts`` the number of starts of each node.
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
    starts: Counter[int] = field(default_factory=Counter)

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
        # Nodes add one to it as they publish their own row at their start.
        incarnation = self.starts[number]
        self.starts[number] += 1
        address = f'127.0.0.1:{number}'
        world = World(
            Identity(f'n{number}', 'a', incarnation, peer_address=address),
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
                (Organisation('acme', 1, allowance=ALLOWANCE),),
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
            at = self.now + DELAY_SECONDS
            self.in_flight.append((at, target, f'n{number}', row.message))

    def _count(self, row: AnswerCaller) -> None:
        # A charged call is routed in the same tick, to a service without
        # servers.
        if row.outcome.kind is ErrorKind.NO_BACKEND_SERVER:
            self.admitted_at.append(self.now)
        else:
            self.refused += 1
            self.refusals[row.outcome.kind] += 1


def rested_fleet() -> Fleet:
    fleet = Fleet(8)
    fleet.run(2, 0)
    return fleet

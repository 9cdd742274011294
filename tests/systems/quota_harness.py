"""Runs a simulated fleet under faults and checks its total admissions."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from random import Random

from figlane.entities.member import MemberPhase
from figlane.entities.right import ReleaseRights
from figlane.entities.service import Allowance
from figlane.systems.quotas.minting import MAX_CLOCK_RATE_ERROR
from standins.quota_fleet import QuotaFleet, SimulatedNode, excess
from standins.quota_store import MemoryStore

ORGANISATION = 'waco'
# Time within which a change of an allowance takes effect at all nodes.
PROPAGATION_SECONDS = 2.0
# Time in which the nodes take rights and fill their buckets.
_START_SECONDS = 6
# Offered load as a multiple of the rate.
_OVERLOAD_FACTOR = 3


@dataclass(slots=True, frozen=True)
class Change:
    """An allowance and the time from which it is in force."""

    at: float
    allowance: Allowance


@dataclass(slots=True)
class QuotaHarness:
    """A simulated fleet and the allowances that were in force over time."""

    allowance: Allowance = Allowance(20, 40, 1)
    seed: int = 1
    size: int = 4
    fleet: QuotaFleet = field(init=False)
    random: Random = field(init=False)
    changes: list[Change] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Start the nodes and run until they have taken their rights."""
        self.random = Random(self.seed)
        self.fleet = QuotaFleet(MemoryStore(), Random(self.seed))
        for index in range(self.size):
            self.start(f'node-{index}', incarnation=1)
        self.change(self.allowance)
        self.fleet.run(_START_SECONDS)

    def start(self, node_id: str, incarnation: int) -> None:
        """Start a node with a random clock offset and drift.

        :param node_id: the node's id.
        :param incarnation: a number that increases with each start.
        """
        node = self.fleet.add_node(node_id, incarnation=incarnation)
        node.clock_offset = self.random.uniform(1, 1e6)
        node.clock_rate = 1 + self.random.choice(
            (-MAX_CLOCK_RATE_ERROR, 0, MAX_CLOCK_RATE_ERROR),
        )
        if self.changes:
            self._put_service((node_id,))

    def node(self, node_id: str) -> SimulatedNode:
        """Look up a node.

        :param node_id: the node's id.
        :return: the node.
        """
        return self.fleet.node_by_id[node_id]

    def change(self, allowance: Allowance) -> None:
        """Change the allowance at all nodes.

        :param allowance: the new allowance.
        """
        self.changes.append(Change(self.fleet.now, allowance))
        self._put_service(tuple(self.fleet.node_by_id))

    def overload(self, seconds: float) -> None:
        """Offer more calls than the rate allows, each at a random node.

        :param seconds: the duration in seconds.
        """
        end = self.fleet.now + seconds
        pause = 1 / (_OVERLOAD_FACTOR * self.changes[-1].allowance.rate)
        at = self.fleet.now
        while at < end:
            node_id = self.random.choice(tuple(self.fleet.node_by_id))
            self.fleet.call(node_id, ORGANISATION, at)
            at += pause
        self.fleet.run(end)

    def offer(self, node_id: str, count: int, seconds: float) -> None:
        """Offer evenly spaced calls at one node.

        :param node_id: the node's id.
        :param count: the number of calls.
        :param seconds: the time over which they are spread, in seconds.
        """
        begin = self.fleet.now
        for index in range(count):
            at = begin + index * seconds / count
            self.fleet.call(node_id, ORGANISATION, at)
        self.fleet.run(begin + seconds)

    def skip_time(self, seconds: float, steps: int) -> None:
        """Skip time in steps, and offer load for a short time after each.

        :param seconds: the time that each step skips, without any tick.
        :param steps: the number of steps.
        """
        for _ in range(steps):
            self.fleet.now += seconds
            self.overload(0.5)

    def set_phase_at_peers(self, node_id: str, phase: MemberPhase) -> None:
        """Set the phase of a member at all other nodes.

        :param node_id: the member's id.
        :param phase: the phase.
        """
        for other_id, other in self.fleet.node_by_id.items():
            member = other.world.members.get(node_id)
            if other_id != node_id and member is not None:
                other.world.members.move(member, phase)

    def release(self, node_id: str) -> None:
        """Make a node release its rights before a planned stop.

        :param node_id: the node's id.
        """
        self.set_phase_at_peers(node_id, MemberPhase.LEAVING)
        self.node(node_id).world.inbox.append(ReleaseRights())

    def excess(self) -> float:
        """Compute by how much the worst interval exceeds the allowance.

        While a change propagates, the bound is the sum of the old and the new
        allowance.

        :return: the calls over the bound; zero or less if it holds.
        """
        times = [
            outcome.ended_at
            for outcome in self.fleet.outcomes
            if outcome.is_admitted
        ]
        ends = [change.at for change in self.changes[1:]]
        worst = float('-inf')
        previous = Allowance(0, 0, 0)
        for change, end in zip(
            self.changes, [*ends, float('inf')], strict=True
        ):
            settled = min(change.at + PROPAGATION_SECONDS, end)
            both = Allowance(
                previous.rate + change.allowance.rate,
                previous.burst + change.allowance.burst,
                1,
            )
            parts = (
                (change.at, settled, both),
                (settled, end, change.allowance),
            )
            for begin, finish, bound in parts:
                inside = [time for time in times if begin <= time < finish]
                found = excess(inside, bound.rate, bound.burst)
                worst = max(worst, found)
            previous = change.allowance
        return worst

    def admitted_count(self, since: float) -> int:
        """Count the admitted calls.

        :param since: the start of the count, in seconds.
        :return: the number of calls.
        """
        return sum(
            outcome.is_admitted and outcome.ended_at >= since
            for outcome in self.fleet.outcomes
        )

    def partition(self, *node_ids: str) -> None:
        """Partition some nodes from all others.

        :param node_ids: the ids of the nodes on one side.
        """
        others = set(self.fleet.node_by_id) - set(node_ids)
        self.fleet.faults.cut_pairs = {
            frozenset(pair) for pair in itertools.product(node_ids, others)
        }

    def _put_service(self, node_ids: tuple[str, ...]) -> None:
        allowance = self.changes[-1].allowance
        version = len(self.changes)
        allowances = {ORGANISATION: allowance}
        self.fleet.put_service(version, allowances, node_ids)

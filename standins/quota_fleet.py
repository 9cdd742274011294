"""Simulation of a fleet of nodes in one process, with injected faults.

Clocks, links and the object store are simulated; the systems are those of the
product.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from random import Random
from typing import Any

from figlane.entities.call import Call
from figlane.entities.http import Request
from figlane.entities.inbox import CallArrived, ObjectChanged, PeerMessage
from figlane.entities.member import Member, MemberPhase
from figlane.entities.outbox import (
    AnswerCaller,
    ReadObject,
    SendToPeer,
    WriteObject,
)
from figlane.entities.service import Allowance, Organisation, Route, Service
from figlane.entities.world import Identity, Policies, World
from figlane.errors import ErrorKind, Refusal
from figlane.systems.tick import run_tick
from standins.quota_store import MemoryStore

SERVICE = 'rotations'
_ROUTE = Route('all', ('GET',), ('**',), 50, True, False, 10, 0, 1)
_REQUEST = Request('GET', '/', ())
# The fleet has no backend server, so a call that passes the quota is refused
# with this kind of error.
_ADMITTED_KIND = ErrorKind.NO_BACKEND_SERVER
# Latency of the object store, each way.
_STORE_SECONDS = 0.004
# Compensates for rounding when times are converted between clocks.
_ROUNDING_SECONDS = 1e-6
# Time after which a node is notified that the outcome of a write is unknown.
_UNKNOWN_OUTCOME_SECONDS = 5.0
_NO_STORE = MemoryStore(is_down=True)


@dataclass(slots=True)
class SimulatedNode:
    """A simulated node: its world, its clock and its faults.

    ``backlog`` holds the inbox rows that arrive while the node is paused.
    """

    world: World
    clock_offset: float = 0
    clock_rate: float = 1
    is_paused: bool = False
    is_cut_from_store: bool = False
    backlog: list[Any] = field(default_factory=list)

    def local_time(self, now: float) -> float:
        """Convert a time to that of the node's clock.

        :param now: the true time in seconds.
        :return: the time in seconds by the node's clock.
        """
        return self.clock_offset + now * self.clock_rate

    def next_due(self) -> float:
        """Compute when the node needs its next tick.

        :return: the true time in seconds.
        """
        due = (self.world.next_due() - self.clock_offset) / self.clock_rate
        return due + _ROUNDING_SECONDS


@dataclass(slots=True)
class Outcome:
    """Result of one call, with times by the true clock.

    ``is_admitted`` is True if the call passed the quota.
    """

    organisation: str
    arrived_at: float
    ended_at: float
    is_admitted: bool
    kind: ErrorKind


@dataclass(slots=True)
class Faults:
    """Faults of the links.

    ``lost``, ``duplicated`` and ``slow`` are the probabilities that a message
    is lost, duplicated or delayed by up to a second. ``cut_pairs`` holds the
    pairs of nodes that are partitioned from each other.
    """

    lost: float = 0
    duplicated: float = 0
    slow: float = 0
    cut_pairs: set[frozenset[str]] = field(default_factory=set)


@dataclass(slots=True)
class QuotaFleet:
    """Discrete-event simulation of nodes that exchange messages.

    ``now`` is the true time and ``latency`` the mean delay of a message, both
    in seconds.
    """

    store: MemoryStore
    random: Random
    policy: str = 'tokens'
    now: float = 0
    latency: float = 0.0015
    faults: Faults = field(default_factory=Faults)
    node_by_id: dict[str, SimulatedNode] = field(default_factory=dict)
    outcomes: list[Outcome] = field(default_factory=list)
    _queue: list[tuple[float, int, Any, Any]] = field(default_factory=list)
    _sequence: int = 0
    _call_by_id: dict[str, tuple[str, float]] = field(default_factory=dict)

    def add_node(
        self,
        node_id: str,
        domain: str = 'a',
        incarnation: int = 1,
    ) -> SimulatedNode:
        """Start a node, replacing an earlier node with the same id.

        :param node_id: the node's id.
        :param domain: the node's failure domain.
        :param incarnation: a number that increases with each start.
        :return: the node.
        """
        identity = Identity(node_id, domain, incarnation, peer_address=node_id)
        world = World(
            identity,
            Random(self.random.random()),
            Policies(rate=self.policy),
        )
        node = SimulatedNode(world)
        for other in self.node_by_id.values():
            if other.world.identity.node_id != node_id:
                world.members.insert(_member(other.world.identity))
            other.world.members.insert(_member(identity))
        world.members.insert(_member(identity))
        self.node_by_id[node_id] = node
        return node

    def remove_node(self, node_id: str) -> None:
        """Remove a node; the others mark it as dead.

        :param node_id: the node's id.
        """
        self.node_by_id.pop(node_id)
        for other in self.node_by_id.values():
            member = other.world.members.get(node_id)
            other.world.members.move(member, MemberPhase.DEAD)

    def put_service(
        self,
        version: int,
        allowances: dict[str, Allowance],
        node_ids: tuple[str, ...] = (),
    ) -> None:
        """Distribute a service document with allowances.

        :param version: the document's version.
        :param allowances: allowance by organisation.
        :param node_ids: the nodes that receive it, all if empty.
        """
        service = Service(SERVICE, version, (_ROUTE,), dict(allowances))
        for node_id in node_ids or tuple(self.node_by_id):
            node = self.node_by_id[node_id]
            self._deliver(
                node, ObjectChanged('service', SERVICE, version, service)
            )
            for name in allowances:
                organisation = Organisation(name, version, frozenset((name,)))
                row = ObjectChanged('organisation', name, version, organisation)
                self._deliver(node, row)

    def call(self, node_id: str, organisation: str, at: float) -> None:
        """Schedule a call at a node.

        :param node_id: the id of the call's entry node.
        :param organisation: the organisation of the caller.
        :param at: the true time of its arrival.
        """
        self._schedule(at, node_id, organisation)

    def run(self, until: float) -> None:
        """Process all events up to a time.

        :param until: the true time in seconds.
        """
        while True:
            due, node = self._next_node()
            queued = self._queue[0][0] if self._queue else until + 1
            if min(due, queued) > until:
                self.now = until
                return
            self.now = max(self.now, min(due, queued))
            if queued <= due:
                self._handle(*heapq.heappop(self._queue)[2:])
            else:
                self._tick(node)

    def resume(self, node_id: str) -> None:
        """Resume a paused node with the inbox rows that arrived meanwhile.

        :param node_id: the node's id.
        """
        node = self.node_by_id[node_id]
        node.is_paused = False
        node.world.inbox.extend(node.backlog)
        node.backlog.clear()
        self._tick(node)

    def _next_node(self) -> tuple[float, SimulatedNode | None]:
        running = [
            node for node in self.node_by_id.values() if not node.is_paused
        ]
        if not running:
            return float('inf'), None
        node = min(running, key=SimulatedNode.next_due)
        return node.next_due(), node

    def _schedule(self, at: float, target: Any, payload: Any) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (at, self._sequence, target, payload))

    def _handle(self, target: Any, payload: Any) -> None:
        if isinstance(target, SimulatedNode):
            self._handle_store_row(target, payload)
            return
        node = self.node_by_id.get(target)
        if node is None:
            return
        if isinstance(payload, str):
            call = Call(
                str(self._sequence),
                SERVICE,
                _REQUEST,
                node.local_time(self.now),
                payload,
            )
            self._sequence += 1
            self._call_by_id[call.id] = (payload, self.now)
            payload = CallArrived(call)
        self._deliver(node, payload)

    def _handle_store_row(self, node: SimulatedNode, row: Any) -> None:
        if isinstance(row, (WriteObject, ReadObject)):
            store = _NO_STORE if node.is_cut_from_store else self.store
            operate = store.write
            if isinstance(row, ReadObject):
                operate = store.read
            answer = operate(row)
            seconds = _STORE_SECONDS
            if getattr(answer, 'status', None) and not answer.version:
                seconds = _UNKNOWN_OUTCOME_SECONDS
            self._schedule(self.now + seconds, node, answer)
            return
        self._deliver(node, row)

    def _deliver(self, node: SimulatedNode, row: Any) -> None:
        if node.is_paused:
            node.backlog.append(row)
            return
        node.world.inbox.append(row)
        self._tick(node)

    def _tick(self, node: SimulatedNode) -> None:
        run_tick(node.world, node.local_time(self.now))
        rows = node.world.outbox
        node.world.outbox = []
        for row in rows:
            self._execute(node, row)

    def _execute(self, node: SimulatedNode, row: Any) -> None:
        if isinstance(row, SendToPeer):
            self._send(node.world.identity.node_id, row)
        if isinstance(row, (WriteObject, ReadObject)):
            if row.kind == 'right':
                self._schedule(self.now + _STORE_SECONDS, node, row)
        if isinstance(row, AnswerCaller):
            self._record(row)

    def _send(self, sender: str, row: SendToPeer) -> None:
        chance = self.random.random
        pair = frozenset((sender, row.node_id))
        if pair in self.faults.cut_pairs or chance() < self.faults.lost:
            return
        copies = 2 if chance() < self.faults.duplicated else 1
        for _ in range(copies):
            delay = self.latency * (0.5 + chance())
            if chance() < self.faults.slow:
                delay += chance()
            message = PeerMessage(sender, row.message, row.body)
            self._schedule(self.now + delay, row.node_id, message)

    def _record(self, row: AnswerCaller) -> None:
        organisation, arrived_at = self._call_by_id.pop(row.call_id)
        assert isinstance(row.outcome, Refusal)
        self.outcomes.append(
            Outcome(
                organisation,
                arrived_at,
                self.now,
                row.outcome.kind is _ADMITTED_KIND,
                row.outcome.kind,
            ),
        )


def excess(times: list[float], rate: float, burst: float) -> float:
    """Compute by how many calls the worst interval exceeds a rate and burst.

    :param times: times of the admitted calls, sorted.
    :param rate: the allowed calls per second.
    :param burst: the allowed burst in calls.
    :return: the excess over ``burst + rate * T`` for the worst interval of
        ``T`` seconds; negative if there is none.
    """
    lowest = float('inf')
    worst = -burst
    for index, time in enumerate(times):
        earned = index - rate * time
        lowest = min(lowest, earned)
        worst = max(worst, earned + 1 - lowest - burst)
    return worst


def _member(identity: Identity) -> Member:
    return Member(
        identity.node_id,
        identity.incarnation,
        identity.failure_domain,
        identity.peer_address,
    )

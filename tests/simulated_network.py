"""Simulated network of nodes: a test decides what happens to each message.

Messages in transit are kept in a bag (a multiset), from which a test delivers,
duplicates, reorders or drops them.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

from figlane.entities.backend_server import BackendServer
from figlane.entities.call import Call
from figlane.entities.http import Answer, Request
from figlane.entities.inbox import BackendFinished, CallArrived, PeerMessage
from figlane.entities.link import PeerSendFailed
from figlane.entities.link_messages import Ping, Pong
from figlane.entities.member import Member
from figlane.entities.messages import CallRequest
from figlane.entities.outbox import AnswerCaller, RunOnBackend, SendToPeer
from figlane.entities.service import Route, Service
from figlane.entities.world import Identity, Policies, World
from figlane.errors import ErrorKind, ExecutionStatus, Refusal
from figlane.systems.tick import run_tick

ATTEMPTS = 4
DEADLINE = 20.0
ENTRY = 'entry'
SERVICE_BY_NODE = MappingProxyType(
    {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', ENTRY: ''},
)
_LIMIT = 1000
_KEY_HASH = 'hash'


@dataclass(slots=True)
class Run:
    """One run of a request on a backend server.

    ``was_sent`` is False if the request never reached the server.
    """

    node: str
    row: RunOnBackend
    is_open: bool = True
    was_sent: bool = True


@dataclass(slots=True)
class MessageInTransit:
    """A message that was sent and not yet delivered or dropped."""

    sender: str
    row: SendToPeer


@dataclass(slots=True)
class SimulatedNetwork:
    """Nodes, messages in transit, and a record of what the test observed.

    ``arrived`` holds the delivered messages, of which duplicates can be made;
    ``root_by_call`` maps each call to its root call.
    """

    policies: Policies = field(default_factory=Policies)
    now: float = 100.0
    world_by_node: dict[str, World] = field(default_factory=dict)
    messages: list[MessageInTransit] = field(default_factory=list)
    arrived: list[MessageInTransit] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    outcomes_by_call: dict[str, list[Any]] = field(default_factory=dict)
    method_by_call: dict[str, str] = field(default_factory=dict)
    root_by_call: dict[str, str] = field(default_factory=dict)
    attempts_by_call: Counter[str] = field(default_factory=Counter)
    repeats_by_root: Counter[str] = field(default_factory=Counter)
    restarts: int = 0

    def __post_init__(self) -> None:
        """Start every node."""
        for node in SERVICE_BY_NODE:
            self.start(node)

    def start(self, node: str) -> None:
        """Start or restart a node with empty tables; its open runs are lost.

        :param node: the node.
        """
        self.restarts += 1
        world = World(
            Identity(node, 'domain', self.restarts, peer_address=node),
            random.Random(self.restarts),
            self.policies,
        )
        for service_id in ('a', 'b'):
            world.services.insert(Service(service_id, 1, _routes()))
        for name, service_id in SERVICE_BY_NODE.items():
            world.members.insert(
                Member(name, 1, 'domain', name, service=service_id),
            )
        world.organisation_by_key_hash[_KEY_HASH] = 'waco'
        served = SERVICE_BY_NODE[node]
        if served:
            world.backend_servers.insert(
                BackendServer('i', served, 'x', _LIMIT, _LIMIT, self.now),
            )
        self.world_by_node[node] = world
        for run in self.runs:
            run.is_open = run.is_open and run.node != node

    def arrive(
        self,
        method: str,
        node: str = ENTRY,
        service_id: str = 'a',
        key: str = '',
    ) -> str:
        """Submit a root call at an entry node.

        :param method: HTTP method; ``GET`` is idempotent and ``POST`` is not.
        :param node: the entry node.
        :param service_id: the service.
        :param key: idempotency key.
        :return: the call's id.
        """
        call = self._create_call(method, service_id)
        call.idempotency_key = key
        call.key_hash = _KEY_HASH if key else ''
        self.root_by_call[call.id] = call.id
        self.inject(node, CallArrived(call))
        return call.id

    def arrive_child(self, run: Run, method: str, name: str = '') -> str:
        """Submit a child call from a backend server that runs its parent.

        :param run: the open run of the parent.
        :param method: the HTTP method.
        :param name: path of the request; the same path again is a repeat.
        :return: the call's id.
        """
        call = self._create_call(method, 'b')
        if name:
            call.request = Request(method, f'/{name}', ())
        call.context_token = run.row.context_token
        root = self.root_by_call[run.row.execution_id]
        self.root_by_call[call.id] = root
        world = self.world_by_node[run.node]
        before = world.counters['call.repeated']
        self.inject(run.node, CallArrived(call))
        if world.counters['call.repeated'] > before:
            self.repeats_by_root[root] += 1
        return call.id

    def inject(self, node: str, row: Any) -> None:
        """Append a row to a node's inbox and run a tick of the node.

        :param node: the node.
        :param row: the inbox row.
        """
        self.world_by_node[node].inbox.append(row)
        self.tick(node)

    def tick(self, node: str) -> None:
        """Run one tick of a node and process its outbox.

        :param node: the node.
        """
        world = self.world_by_node[node]
        run_tick(world, self.now)
        assert not world.failures, world.failures
        rows = world.outbox
        world.outbox = []
        for row in rows:
            self._process_output(node, row)

    def deliver(self, index: int) -> None:
        """Deliver a message in transit.

        :param index: index of the message, modulo their number.
        """
        in_transit = self.messages.pop(index % len(self.messages))
        if not isinstance(in_transit.row.message, (Ping, Pong)):
            self.arrived.append(in_transit)
        self._deliver(in_transit)

    def repeat(self, index: int) -> None:
        """Deliver a duplicate of a message that was delivered before.

        :param index: index counted from the latest, modulo their number.
        """
        self._deliver(self.arrived[-1 - index % len(self.arrived)])

    def fail_to_send(self, index: int) -> None:
        """Report to the sender that a message in transit was never sent.

        :param index: index of the message, modulo their number.
        """
        in_transit = self.messages.pop(index % len(self.messages))
        row = in_transit.row
        failed = PeerSendFailed(row.node_id, row.message)
        self.inject(in_transit.sender, failed)

    def finish(self, run: Run, ending: str) -> None:
        """End a run with the given outcome.

        :param run: an open run.
        :param ending: ``answer``, ``not-sent`` or ``unknown``.
        """
        run.is_open = False
        run.was_sent = ending != 'not-sent'
        outcome_by_ending = {
            'answer': Answer(200, (), run.row.execution_id.encode()),
            'not-sent': Refusal(ErrorKind.NO_BACKEND_SERVER),
            'unknown': Refusal(ErrorKind.OUTCOME_UNKNOWN),
        }
        outcome = outcome_by_ending[ending]
        row = BackendFinished(run.row.execution_id, run.row.attempt, outcome)
        self.inject(run.node, row)

    def advance(self, seconds: float) -> None:
        """Advance the clock and run one tick of every node.

        :param seconds: seconds to advance by.
        """
        self.now += seconds
        for node in self.world_by_node:
            self.tick(node)

    def settle(self, seconds: float, step: float = 0.25) -> None:
        """Deliver all messages and answer all runs while time passes.

        :param seconds: simulated seconds to run for.
        :param step: seconds between two rounds of deliveries.
        """
        end = self.now + seconds
        while self.now < end:
            self.deliver_all()
            for run in self.open_runs():
                self.finish(run, 'answer')
            self.deliver_all()
            self.advance(step)

    def deliver_all(self) -> None:
        """Deliver messages until none is in transit."""
        while self.messages:
            self.deliver(0)

    def open_runs(self) -> list[Run]:
        """List the runs that have not ended.

        :return: the runs.
        """
        return [run for run in self.runs if run.is_open]

    def run_count(self, call_id: str) -> int:
        """Count the runs of a call that may have reached a backend server.

        :param call_id: the call.
        :return: the number.
        """
        return sum(
            run.was_sent for run in self.runs if run.row.execution_id == call_id
        )

    def retries_of(self, root: str) -> int:
        """Count the retries made below and for a root call.

        :param root: id of the root call.
        :return: attempts beyond the first of each call, plus repeats.
        """
        retries = sum(
            max(0, count - 1)
            for call_id, count in self.attempts_by_call.items()
            if self.root_by_call[call_id] == root
        )
        return retries + self.repeats_by_root[root]

    def retries_held(self, root: str) -> int:
        """Sum the unused retries of the calls and executions of a root call.

        :param root: id of the root call.
        :return: the sum over all nodes.
        """
        held = 0
        for world in self.world_by_node.values():
            rows = (*world.calls, *world.executions)
            held += sum(
                row.retries_left
                for row in rows
                if self.root_by_call.get(row.id) == root
            )
        return held

    def was_told_not_run(self, call_id: str) -> bool:
        """Tell whether a caller was told that its call did not run.

        :param call_id: the call.
        :return: whether an outcome promises that.
        """
        return any(
            isinstance(outcome, Refusal)
            and outcome.answer.execution_status is ExecutionStatus.NOT_RUN
            for outcome in self.outcomes_by_call.get(call_id, ())
        )

    def _deliver(self, in_transit: MessageInTransit) -> None:
        row = in_transit.row
        message = PeerMessage(in_transit.sender, row.message, row.body)
        self.inject(row.node_id, message)

    def _create_call(self, method: str, service_id: str) -> Call:
        call_id = f'call-{len(self.method_by_call)}'
        self.method_by_call[call_id] = method
        request = Request(method, f'/{call_id}', ())
        return Call(call_id, service_id, request, arrived_at=self.now)

    def _process_output(self, node: str, row: Any) -> None:
        if isinstance(row, SendToPeer):
            self.messages.append(MessageInTransit(node, row))
            if isinstance(row.message, CallRequest):
                self.attempts_by_call[row.message.call_id] += 1
        if isinstance(row, RunOnBackend):
            self.runs.append(Run(node, row))
        if isinstance(row, AnswerCaller):
            self.outcomes_by_call.setdefault(row.call_id, []).append(
                row.outcome,
            )


def _routes() -> tuple[Route, ...]:
    return tuple(
        Route(
            name=method,
            methods=(method,),
            segments=('**',),
            importance=50,
            idempotent=method == 'GET',
            is_open=True,
            deadline=DEADLINE,
            body_limit=_LIMIT,
            attempts=ATTEMPTS,
        )
        for method in ('GET', 'POST')
    )

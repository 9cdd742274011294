"""Test harness of one exit node, driven by inbox rows and ticks."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import Any

from figlane.entities.backend_server import BackendServer
from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.http import Answer
from figlane.entities.inbox import BackendFinished, PeerMessage
from figlane.entities.member import Member
from figlane.entities.messages import CallRefusal, CallRequest
from figlane.entities.outbox import RunOnBackend, SendToPeer
from figlane.entities.service import Allowance, Service
from figlane.entities.world import Identity, Policies, World
from figlane.errors import Refusal
from figlane.systems.admission.ledger import ledger_epoch
from figlane.systems.tick import run_tick

SERVICE = 'rotations'
BACKEND = 'rotations-instance-1'


@dataclass(slots=True)
class ExitNode:
    """An exit node whose backend server is simulated by the test.

    ``started`` and ``refusals`` collect the executions started and the
    refusals sent since the start of the test.
    """

    policies: Policies = field(default_factory=Policies)
    weight_by_organisation: dict[str, float] = field(default_factory=dict)
    slots: int = 4
    started: list[Execution] = field(default_factory=list)
    refusals: list[CallRefusal] = field(default_factory=list)
    outbox: list[Any] = field(default_factory=list)
    world: World = field(init=False)
    _offered: int = 0

    def __post_init__(self) -> None:
        """Fill the tables with one service and one backend server."""
        self.world = World(
            Identity('exit', 'domain-a', 1),
            Random(1),
            self.policies,
        )
        self.world.members.insert(
            Member('entry', 1, 'domain-a', '127.0.0.1:1'),
        )
        self.world.services.insert(
            Service(
                SERVICE,
                1,
                allowance_by_organisation={
                    organisation: Allowance(100, 100, weight)
                    for organisation, weight in (
                        self.weight_by_organisation.items()
                    )
                },
            ),
        )
        self.world.backend_servers.insert(
            BackendServer(
                BACKEND,
                SERVICE,
                '127.0.0.1:2',
                self.slots,
                10 * self.slots,
                0,
            ),
        )

    def offer(
        self,
        organisation: str = '',
        importance: int = 50,
        budget: float = 10,
    ) -> str:
        """Put a call request into the inbox.

        :param organisation: the organisation of the call.
        :param importance: the importance of the call.
        :param budget: seconds until its deadline.
        :return: the call's id.
        """
        self._offered += 1
        call_id = f'call-{self._offered}'
        request = CallRequest(
            call_id=call_id,
            attempt=1,
            service_id=SERVICE,
            organisation_id=organisation,
            importance=importance,
            idempotent=True,
            depth=0,
            budget_ms=budget * 1000,
            retries_left=1,
            method='GET',
            target='/',
            headers=(),
            epoch=ledger_epoch(self.world),
            # A new sender epoch for each request makes it the first message
            # of its sender, so that the estimated transit delay is 0.
            sender_epoch=self._offered,
        )
        self.world.inbox.append(PeerMessage('entry', request))
        return call_id

    def finish(
        self,
        execution: Execution,
        outcome: Answer | Refusal | None = None,
    ) -> None:
        """Put the outcome of the backend server into the inbox.

        :param execution: a running execution.
        :param outcome: the outcome, by default an empty answer.
        """
        self.world.inbox.append(
            BackendFinished(
                execution.id,
                execution.attempt,
                outcome or Answer(200, ()),
            ),
        )

    def tick(self, now: float) -> list[Execution]:
        """Run one tick and collect the started executions and the refusals.

        :param now: the present time in seconds.
        :return: the executions started in this tick.
        """
        for received in self.world.inbox:
            message = getattr(received, 'message', None)
            if isinstance(message, CallRequest):
                message.sent_at = now
        run_tick(self.world, now)
        if self.world.failures:
            raise self.world.failures[0]
        rows = self.world.outbox
        self.world.outbox = []
        self.outbox = rows
        started = [
            self.world.executions.by_id[row.execution_id]
            for row in rows
            if isinstance(row, RunOnBackend)
        ]
        self.refusals.extend(
            row.message
            for row in rows
            if isinstance(row, SendToPeer)
            and isinstance(row.message, CallRefusal)
        )
        self.started.extend(started)
        return started

    @property
    def running(self) -> tuple[Execution, ...]:
        """List the running executions.

        :return: the executions, the first started first.
        """
        return self.world.executions.in_phase(ExecutionPhase.RUNNING)

    @property
    def queued(self) -> tuple[Execution, ...]:
        """List the queued executions.

        :return: the executions, the first offered first.
        """
        return self.world.executions.in_phase(ExecutionPhase.QUEUED)

"""Tests of failure domains that are taken out of service and returned."""

from __future__ import annotations

import random
import unittest

from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.http import Request
from figlane.entities.inbox import ObjectChanged
from figlane.entities.member import Member
from figlane.entities.routine import Routine
from figlane.entities.service import FailureDomain
from figlane.entities.table import NEVER
from figlane.entities.world import Identity, World
from figlane.errors import ErrorKind
from figlane.systems.membership.domains import (
    INITIAL_WEIGHT,
    RAMP_ROUTINE,
    RAMP_SECONDS,
)
from figlane.systems.tick import run_tick


class DomainTest(unittest.TestCase):
    """A node that knows one member in each of two failure domains."""

    def setUp(self) -> None:
        """Insert the members and the ramp routine."""
        identity = Identity('node-a', 'temple', 1)
        self.world = World(identity, random.Random(1))
        for name in ('temple', 'waco'):
            self.world.members.insert(Member(f'{name}-1', 1, name, name))
        self.world.routines.insert(Routine(RAMP_ROUTINE))

    def test_queued_executions_are_refused(self) -> None:
        """A domain out of service refuses queued calls, not running ones."""
        queued = self._execution('queued', ExecutionPhase.QUEUED)
        running = self._execution('running', ExecutionPhase.RUNNING)
        self._set_taken_out('temple', 2, taken_out=True)
        self.assertIs(queued.outcome.kind, ErrorKind.DRAINING)
        self.assertIs(running.phase, ExecutionPhase.RUNNING)

    def test_other_domain_out_of_service(self) -> None:
        """Queued calls stay if only another failure domain is out of service.

        The node's own domain has no object and counts as in service.
        """
        self._set_taken_out('waco', 2, taken_out=True)
        queued = self._execution('queued', ExecutionPhase.QUEUED)
        run_tick(self.world, 0)
        self.assertIsNot(queued.outcome.kind, ErrorKind.DRAINING)

    def test_weights_rise_after_return(self) -> None:
        """Weights in a returned domain rise from a small value to 1."""
        self._set_taken_out('waco', 2, taken_out=True)
        self._set_taken_out('waco', 3, taken_out=False)
        returned = self.world.members.by_id['waco-1']
        other = self.world.members.by_id['temple-1']
        self.assertLess(returned.weight, 2 * INITIAL_WEIGHT)
        self.assertEqual(other.weight, 1)
        weights = []
        for second in range(1, int(RAMP_SECONDS) + 2):
            run_tick(self.world, second)
            weights.append(returned.weight)
        self.assertEqual(weights, sorted(weights))
        for second in range(10):
            run_tick(self.world, 20 + second)
        self.assertEqual(returned.weight, 1)
        self.assertEqual(self.world.routines.by_id[RAMP_ROUTINE].due, NEVER)

    def _set_taken_out(
        self, name: str, version: int, *, taken_out: bool
    ) -> None:
        row = FailureDomain(name, version, taken_out)
        self.world.inbox.append(ObjectChanged('domain', name, version, row))
        run_tick(self.world, 0)

    def _execution(self, row_id: str, phase: ExecutionPhase) -> Execution:
        execution = Execution(
            id=row_id,
            attempt=1,
            entry_node_id='node-b',
            service_id='rotations',
            organisation_id='',
            importance=50,
            idempotent=True,
            depth=0,
            deadline=1000,
            retries_left=1,
            request=Request('GET', '/', ()),
            queued_at=0,
            phase=phase,
        )
        self.world.executions.insert(execution)
        return execution

"""Tests that calls avoid a backend server that refuses part of them."""

from __future__ import annotations

import unittest
from random import Random

from figlane.entities.backend_server import BackendServer
from figlane.entities.call import Call
from figlane.entities.execution import Execution, ExecutionPhase
from figlane.entities.http import Answer, Request
from figlane.entities.member import Member
from figlane.entities.world import Identity, World
from figlane.errors import ErrorKind, Refusal
from figlane.systems.admission.refusals import observe_refusals
from figlane.systems.calls.routing import choose_of_two

_REQUEST = Request('GET', '/', ())
_CALLS_PER_SECOND = 100
_SECONDS = 10


class GreyFailureTest(unittest.TestCase):
    """Grey failure: one of four servers refuses despite spare capacity.

    All calls come from the failure domain of the refusing server, so that
    without the refusal hint all of them would be routed to it.
    """

    def setUp(self) -> None:
        """Create the entry node and four exit nodes."""
        self.random = Random(4)
        self.entry = World(Identity('entry', 'a', 1), Random(1))
        self.now = 100.0
        self.exits = {}
        for number, domain in enumerate('abcd'):
            name = f'n{number}'
            member = Member(name, 1, domain, f'127.0.0.1:{number}')
            member.service = 'shop'
            member.limit = 20
            self.entry.members.insert(member)
            world = World(Identity(name, domain, 1), Random(number))
            world.backend_servers.insert(
                BackendServer('i', 'shop', '127.0.0.1:9', 20, 20, 0),
            )
            self.exits[name] = world

    def test_avoided_until_recovery(self) -> None:
        """Few calls are refused; the server is used again once it recovers."""
        refused, _ = self._simulate(0.45)
        self.assertLess(refused, 0.1)
        _, local_calls = self._simulate(0)
        self.assertGreater(local_calls, 0.5)

    def test_without_hints(self) -> None:
        """Without refusal hints a large part of the calls is refused."""
        refused, _ = self._simulate(0.45, hints=False)
        self.assertGreater(refused, 0.3)

    def _simulate(
        self, chance: float, *, hints: bool = True
    ) -> tuple[float, float]:
        refused = 0
        local_calls = 0
        for _ in range(_CALLS_PER_SECOND * _SECONDS):
            self.now += 1 / _CALLS_PER_SECOND
            call = Call('c', 'shop', _REQUEST, self.now)
            member = choose_of_two(self.entry, call, self.now)
            is_refused = member.id == 'n0' and self.random.random() < chance
            refused += is_refused
            local_calls += member.id == 'n0'
            self._run(member, refuses=is_refused, hints=hints)
        total = _CALLS_PER_SECOND * _SECONDS
        return refused / total, local_calls / total

    def _run(self, member: Member, *, refuses: bool, hints: bool) -> None:
        world = self.exits[member.id]
        execution = Execution(
            'e',
            1,
            'entry',
            'shop',
            '',
            0,
            idempotent=True,
            depth=0,
            deadline=self.now + 1,
            retries_left=0,
            request=_REQUEST,
            queued_at=self.now,
            backend_server_id='i',
            phase=ExecutionPhase.RUNNING,
        )
        outcome: Answer | Refusal = Answer(200, ())
        if refuses:
            outcome = Refusal(ErrorKind.OVERLOADED, has_reached=True)
        observe_refusals(world, execution, outcome, self.now)
        if hints:
            backend = world.backend_servers.by_id['i']
            member.refused_part = backend.refused_part
            member.load_reported_at = self.now

"""Tests of idempotency keys over several entry nodes."""

from __future__ import annotations

import unittest

from figlane.entities.http import Answer
from figlane.errors import ErrorKind
from figlane.systems.calls.keys import ranked_nodes
from tests.simulated_network import DEADLINE, SimulatedNetwork

_KEY = 'charge-1'


class KeyTest(unittest.TestCase):
    """Repeated calls with the same idempotency key."""

    def setUp(self) -> None:
        """Start every node; one organisation has an API key."""
        self.network = SimulatedNetwork()

    def test_repeat_elsewhere(self) -> None:
        """A repeat through another entry node gets the recorded answer."""
        first = self._call('entry')
        second = self._call('b1')
        self.assertEqual(self._kind(first), 'answer')
        outcome = self.network.outcomes_by_call[second][0]
        self.assertEqual(outcome.body, first.encode())
        self.assertEqual(len(self.network.runs), 1)

    def test_different_keys_run(self) -> None:
        """Calls with different keys all run, spread over the nodes."""
        for number in range(8):
            self._call('entry', f'key-{number}')
        self.assertEqual(len(self.network.runs), 8)
        self.assertEqual(len({run.node for run in self.network.runs}), 2)

    def test_repeat_while_running(self) -> None:
        """A repeat while the first call runs is refused as still running."""
        self.network.arrive('POST', 'entry', key=_KEY)
        self.network.deliver_all()
        second = self.network.arrive('POST', 'b1', key=_KEY)
        self.network.deliver_all()
        self.assertEqual(self._kind(second), ErrorKind.STILL_RUNNING)
        self.assertEqual(len(self.network.runs), 1)

    def test_home_node_lost(self) -> None:
        """A key does not run again after its home node is lost or replaced.

        The home node is removed everywhere, restarted with an empty ledger, or
        unknown to the entry node only; its witness still knows the key.
        """
        for change in (
            self._remove_home,
            self._restart_home,
            self._remove_home_at_entry,
        ):
            with self.subTest(change=change.__name__):
                self.setUp()
                self._call('entry')
                change(self.network.runs[0].node)
                second = self._call('entry')
                kind = self._kind(second)
                self.assertEqual(kind, ErrorKind.OUTCOME_UNKNOWN)
                self.assertEqual(len(self.network.runs), 1)

    def test_silent_witness(self) -> None:
        """If the witness does not reply, the call is refused as not run."""
        home, witness = self._ranked()
        self.network.arrive('GET', 'entry')
        self.network.settle(1)
        call_id = self.network.arrive('POST', 'entry', key=_KEY)
        while call_id not in self.network.outcomes_by_call:
            for in_transit in tuple(self.network.messages):
                if in_transit.row.node_id == witness:
                    self.network.messages.remove(in_transit)
            if self.network.messages:
                self.network.deliver(0)
                continue
            self.network.advance(0.25)
        self.assertEqual(self._kind(call_id), ErrorKind.UNREACHABLE)
        self.assertEqual(self.network.run_count(call_id), 0)
        self.assertNotEqual(home, witness)

    def _call(self, node: str, key: str = _KEY) -> str:
        call_id = self.network.arrive('POST', node, key=key)
        self.network.settle(DEADLINE / 4)
        return call_id

    def _ranked(self) -> list[str]:
        call_id = self._call('entry')
        key = next(
            execution.ledger_key
            for world in self.network.world_by_node.values()
            for execution in world.executions
            if execution.id == call_id
        )
        ranked = ranked_nodes(self.network.world_by_node['entry'], 'a', key)
        self.setUp()
        return [member.id for member in ranked]

    def _kind(self, call_id: str) -> ErrorKind | str:
        outcome = self.network.outcomes_by_call[call_id][0]
        return 'answer' if isinstance(outcome, Answer) else outcome.kind

    def _remove_home(self, home: str) -> None:
        for world in self.network.world_by_node.values():
            world.members.remove(home)

    def _restart_home(self, home: str) -> None:
        self.network.start(home)

    def _remove_home_at_entry(self, home: str) -> None:
        self.network.world_by_node['entry'].members.remove(home)

"""Tests of failure detection over a simulated network that loses datagrams."""

from __future__ import annotations

import random
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from figlane.entities.gossip import OpenProbe, ProbeAck, SendDatagram
from figlane.entities.inbox import NodeStarted, PeerMessage
from figlane.entities.member import MemberPhase
from figlane.entities.outbox import SendToPeer
from figlane.entities.world import Identity, World
from figlane.systems.tick import run_tick

_NODE_COUNT = 5
_STEP_SECONDS = 0.1
_PERIOD_STEPS = 10
# Bound on detection: a round of probes, an indirect probe, the suspicion
# timeout and the gossip that spreads the result.
_DETECTION_STEPS = (2 * _NODE_COUNT + 6) * _PERIOD_STEPS
_RECOVERY_STEPS = 4 * _DETECTION_STEPS


class FakeNetwork:
    """Nodes' worlds and a network between them that may lose datagrams."""

    def __init__(self, count: int, seed: int) -> None:
        """Start the nodes; the first one is the seed of all."""
        self.seed = seed
        self.random = random.Random(seed)
        self.loss: float = 0
        self.now: float = 0
        self.paused: set[str] = set()
        self.dead: set[str] = set()
        self.world_by_id: dict[str, World] = {}
        self.world_by_address: dict[str, World] = {}
        for index in range(count):
            self.start(f'node-{index}', f'node-{index}', 1)

    def start(self, node_id: str, address: str, incarnation: int) -> None:
        """Start a node at an address."""
        domain = f'domain-{len(self.world_by_id) % 2}'
        identity = Identity(node_id, domain, incarnation, address)
        world = World(identity, random.Random(f'{self.seed} {node_id}'))
        world.gossip.seeds = ('node-0',)
        world.inbox.append(NodeStarted())
        self.world_by_id[node_id] = world
        self.world_by_address[address] = world

    def replace(self, node_id: str, successor_id: str) -> None:
        """Remove a node and start another one at its address."""
        self.world_by_id.pop(node_id)
        self.start(successor_id, node_id, 2)

    def run(self, steps: int) -> None:
        """Advance time, with one tick of each running node per step."""
        for _ in range(steps):
            self.now += _STEP_SECONDS
            for node_id, world in self.world_by_id.items():
                if node_id not in self.paused | self.dead:
                    run_tick(world, self.now)
            self._exchange_messages()

    def run_until_converged(self, steps: int) -> bool:
        """Advance time until all member lists are correct, or give up."""
        for _ in range(steps):
            self.run(1)
            if self.is_converged():
                return True
        return False

    def is_converged(self) -> bool:
        """Check that each running node lists exactly those nodes as alive."""
        running = set(self.world_by_id) - self.dead - self.paused
        return all(self.alive(node_id) == running for node_id in running)

    def alive(self, node_id: str) -> set[str]:
        """Return the ids of the members that are alive in a node's list."""
        members = self.world_by_id[node_id].members
        return {member.id for member in members.in_phase(MemberPhase.ALIVE)}

    def _exchange_messages(self) -> None:
        for node_id, world in self.world_by_id.items():
            rows = world.outbox
            world.outbox = []
            for row in rows:
                self._deliver(node_id, row)

    def _deliver(self, sender: str, row: object) -> None:
        if not isinstance(row, SendDatagram | SendToPeer):
            return
        is_lost = isinstance(row, SendDatagram) and (
            self.random.random() < self.loss
        )
        receiver = self.world_by_address.get(row.address)
        if receiver is None or is_lost or row.address in self.dead:
            return
        receiver.inbox.append(PeerMessage(sender, row.message))


class ProbingMachine(RuleBasedStateMachine):
    """Losses, pauses and crashes in any order, then recovery."""

    def __init__(self) -> None:
        """Start a fleet with complete member lists."""
        super().__init__()
        self.network = FakeNetwork(_NODE_COUNT, 1)
        assert self.network.run_until_converged(_DETECTION_STEPS)

    @rule(loss=st.sampled_from((0, 0.2, 0.5)))
    def lose(self, loss: float) -> None:
        """Set the probability that a datagram is lost."""
        self.network.loss = loss

    @rule(number=st.integers(0, _NODE_COUNT - 1))
    def pause(self, number: int) -> None:
        """Pause a node; messages to it are kept until it resumes."""
        self.network.paused.add(f'node-{number}')

    @rule()
    def wake(self) -> None:
        """Resume all paused nodes."""
        self.network.paused.clear()

    @rule(number=st.integers(1, _NODE_COUNT - 1))
    def crash(self, number: int) -> None:
        """Crash a node as long as at least three are left running."""
        if len(self.network.dead) < _NODE_COUNT - 3:
            self.network.dead.add(f'node-{number}')

    @rule(steps=st.integers(1, 100))
    def run_on(self, steps: int) -> None:
        """Advance time."""
        self.network.run(steps)

    def teardown(self) -> None:
        """Without losses and pauses, member lists converge within a bound."""
        self.network.loss = 0
        self.network.paused.clear()
        assert self.network.run_until_converged(_RECOVERY_STEPS), [
            (node_id, self.network.alive(node_id))
            for node_id in self.network.world_by_id
        ]


ProbingMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=12,
    stateful_step_count=12,
)
ProbingMachineTest = ProbingMachine.TestCase


class DetectionTest(unittest.TestCase):
    """Single cases, with bounds in protocol periods."""

    def setUp(self) -> None:
        """Start a fleet with complete member lists."""
        self.network = FakeNetwork(_NODE_COUNT, 7)
        self.assertTrue(self.network.run_until_converged(_DETECTION_STEPS))

    def test_crashed_node_is_detected(self) -> None:
        """All nodes detect a crashed node within the bound."""
        self.network.dead.add('node-3')
        self.assertTrue(self.network.run_until_converged(_DETECTION_STEPS))

    def test_successor_at_address_of_dead_node(self) -> None:
        """A node is detected as dead although its address answers probes.

        Another node listens at that address now, and its answers must not
        count as answers of the dead node.
        """
        self.network.replace('node-3', 'node-9')
        self.assertTrue(self.network.run_until_converged(_DETECTION_STEPS))

    def test_direct_probe_accepts_only_target(self) -> None:
        """A direct probe accepts an answer from its target only."""
        world = self.network.world_by_id['node-1']
        world.probes.insert(OpenProbe('99', 'node-3', due=self.network.now + 1))
        answer = ProbeAck(99, [])
        world.inbox.append(PeerMessage('node-2', answer))
        run_tick(world, self.network.now)
        self.assertIn('99', world.probes)
        world.inbox.append(PeerMessage('node-3', answer))
        run_tick(world, self.network.now)
        self.assertNotIn('99', world.probes)

    def test_losses_cause_no_false_positive(self) -> None:
        """With 10 % datagram loss no live node is declared dead."""
        self.network.loss = 0.1
        for _ in range(10):
            self.network.run(30)
            for world in self.network.world_by_id.values():
                dead = world.members.in_phase(MemberPhase.DEAD)
                self.assertEqual(dead, ())

    def test_resumed_node_refutes(self) -> None:
        """A node that was declared dead while paused refutes this."""
        self.network.paused.add('node-2')
        self.assertTrue(self.network.run_until_converged(_DETECTION_STEPS))
        self.network.paused.clear()
        self.assertTrue(self.network.run_until_converged(_RECOVERY_STEPS))
        resumed = self.network.world_by_id['node-2']
        self.assertEqual(resumed.members.in_phase(MemberPhase.DEAD), ())

    def test_probe_rate_is_independent_of_fleet_size(self) -> None:
        """The probe rate of an idle node does not depend on fleet size."""
        for count in (5, 20):
            with self.subTest(count=count):
                network = FakeNetwork(count, 3)
                network.run_until_converged(_RECOVERY_STEPS)
                before = network.world_by_id['node-1'].gossip.sequence
                network.run(10 * _PERIOD_STEPS)
                after = network.world_by_id['node-1'].gossip.sequence
                self.assertLessEqual(after - before, 11)

"""Stateful property test of minted quotas under random faults."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from figlane.entities.member import MemberPhase
from figlane.entities.service import Allowance
from standins.quota_fleet import Faults
from tests.systems.quota_harness import QuotaHarness

_NODES = st.sampled_from([f'node-{index}' for index in range(4)])
_ALLOWANCES = st.sampled_from(
    [Allowance(20, 40, 1), Allowance(40, 40, 1), Allowance(10, 16, 1)],
)
_CHANCES = st.sampled_from([0, 0.05, 0.3])


class QuotaMachine(RuleBasedStateMachine):
    """Four nodes under overload and faults."""

    def __init__(self) -> None:
        """Start the simulated fleet."""
        super().__init__()
        self.harness = QuotaHarness()
        self.fleet = self.harness.fleet
        self.incarnation = 1

    @rule(seconds=st.sampled_from([0.3, 1, 3]))
    def generate_load(self, seconds: float) -> None:
        """Offer more calls than the rate allows."""
        self.harness.overload(seconds)

    @rule(node_id=_NODES)
    def pause(self, node_id: str) -> None:
        """Pause a node's process."""
        node = self.fleet.node_by_id.get(node_id)
        if node is not None:
            node.is_paused = True
            self.harness.overload(0.2)

    @rule(node_id=_NODES)
    def resume(self, node_id: str) -> None:
        """Resume a paused process."""
        node = self.fleet.node_by_id.get(node_id)
        if node is not None and node.is_paused:
            self.fleet.resume(node_id)
            self.harness.overload(0.2)

    @rule(node_id=_NODES)
    def lose_node(self, node_id: str) -> None:
        """Remove a crashed node."""
        if node_id in self.fleet.node_by_id and len(self.fleet.node_by_id) > 1:
            self.fleet.remove_node(node_id)
            self.harness.overload(0.2)

    @rule(node_id=_NODES)
    def restart(self, node_id: str) -> None:
        """Start or restart a node without its former state."""
        self.incarnation += 1
        self.harness.start(node_id, self.incarnation)
        self.harness.overload(0.2)

    @rule(node_id=_NODES, is_cut=st.booleans())
    def cut_from_store(self, node_id: str, *, is_cut: bool) -> None:
        """Cut a node off from the object store; its peers mark it as dead."""
        node = self.fleet.node_by_id.get(node_id)
        if node is not None:
            node.is_cut_from_store = is_cut
            phase = MemberPhase.DEAD if is_cut else MemberPhase.ALIVE
            self.harness.set_phase_at_peers(node_id, phase)

    @rule(is_down=st.booleans(), lost_answers=st.integers(0, 60))
    def disturb_store(self, lost_answers: int, *, is_down: bool) -> None:
        """Stop the object store, or lose the answers to writes."""
        self.fleet.store.is_down = is_down
        self.fleet.store.lost_answers = lost_answers

    @rule(lost=_CHANCES, duplicated=_CHANCES, slow=_CHANCES)
    def disturb_links(
        self,
        lost: float,
        duplicated: float,
        slow: float,
    ) -> None:
        """Lose, duplicate and reorder messages."""
        self.fleet.faults = Faults(lost, duplicated, slow)

    @rule(node_id=_NODES)
    def cut_links(self, node_id: str) -> None:
        """Partition a node from all others."""
        if node_id in self.fleet.node_by_id:
            self.harness.partition(node_id)

    @rule(node_id=_NODES)
    def release(self, node_id: str) -> None:
        """Release a node's rights before a planned stop."""
        if node_id in self.fleet.node_by_id:
            self.harness.release(node_id)
            self.harness.overload(0.2)

    @rule(allowance=_ALLOWANCES)
    def change(self, allowance: Allowance) -> None:
        """Change the allowance under load."""
        self.harness.change(allowance)
        self.harness.overload(0.2)

    @rule(steps=st.integers(1, 4))
    def skip_leases(self, steps: int) -> None:
        """Skip time so that leases that are not renewed expire."""
        self.harness.skip_time(25, steps)

    @rule()
    def skip_all_minting(self) -> None:
        """Skip the whole time for which holders mint without a renewal."""
        self.harness.skip_time(22_000, 1)

    @invariant()
    def bound_holds(self) -> None:
        """No interval admits more calls than burst and rate allow."""
        assert self.harness.excess() <= 0, self.harness.excess()


QuotaMachineTest = QuotaMachine.TestCase
QuotaMachineTest.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=40,
    stateful_step_count=25,
)

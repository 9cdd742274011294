"""Order, shedding and cost of the fair queue."""

from __future__ import annotations

import sys
import unittest
from collections import Counter
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from figlane.entities.inbox import PeerMessage
from figlane.entities.messages import CallCancel
from figlane.entities.world import Policies
from figlane.errors import ErrorKind
from tests.systems.exit_node import ExitNode

_ORGANISATIONS = ('waco', 'temple', 'killeen')
_CHECKED = settings(derandomize=True, deadline=None, max_examples=30)


class FairnessTest(unittest.TestCase):
    """Weighted shares of backlogged organisations of equal importance."""

    @_CHECKED
    @given(
        st.lists(st.integers(1, 5), min_size=3, max_size=3),
        st.lists(st.integers(1, 6), min_size=3, max_size=3),
    )
    def test_share_by_weight(
        self,
        weights: list[int],
        bursts: list[int],
    ) -> None:
        """The starts of each organisation match its weight to within 1."""
        weight_by_organisation = dict(zip(_ORGANISATIONS, weights, strict=True))
        node = ExitNode(
            weight_by_organisation=weight_by_organisation,
            slots=30,
        )
        for organisation, burst in zip(_ORGANISATIONS, bursts, strict=True):
            for _ in range(30 * burst):
                node.offer(organisation)
        counts = Counter(row.organisation_id for row in node.tick(0))
        total = sum(weights)
        for organisation, weight in weight_by_organisation.items():
            fair = 30 * weight / total
            self.assertAlmostEqual(counts[organisation], fair, delta=1)

    def test_heavy_sender(self) -> None:
        """An organisation that offers ten times its share harms no other.

        With 10 slots freed per tick the fair share is 5 calls per tick. The
        organisation waco offers 50 calls, temple 5, which are all served.
        """
        shares = {
            policy: self._served_share(policy)
            for policy in ('none', 'importance', 'weighted-fair')
        }
        self.assertLess(shares['none'], 0.5)
        self.assertLess(shares['importance'], 0.5)
        self.assertEqual(shares['weighted-fair'], 1)

    def test_no_credit_for_idling(self) -> None:
        """An organisation that was idle gets its share and no more.

        Its virtual start time must not lag behind the virtual time.
        """
        node = ExitNode(slots=10)
        for number in range(20):
            for _ in range(10):
                node.offer('waco')
            _finish_running(node, number)
        node.started.clear()
        for _ in range(20):
            node.offer('waco')
            node.offer('temple')
        _finish_running(node, 20)
        counts = Counter(row.organisation_id for row in node.started)
        self.assertAlmostEqual(counts['temple'], 5, delta=1)

    def test_intermittent_sender(self) -> None:
        """A flow that goes idle between calls gets no more than its share."""
        node = ExitNode(slots=1)
        node.offer('waco')
        node.offer('waco')
        node.offer('temple')
        for number in range(100):
            _finish_running(node, number)
            for organisation in _ORGANISATIONS[:2]:
                if not _has_queued(node, organisation):
                    node.offer(organisation)
        counts = Counter(row.organisation_id for row in node.started)
        self.assertAlmostEqual(counts['temple'], counts['waco'], delta=2)

    def _served_share(self, policy: str) -> float:
        node = ExitNode(policies=Policies(shedding=policy), slots=10)
        for number in range(40):
            for _ in range(50):
                node.offer('waco')
            for _ in range(5):
                node.offer('temple')
            _finish_running(node, number)
        counts = Counter(row.organisation_id for row in node.started)
        return counts['temple'] / 200


class OrderTest(unittest.TestCase):
    """Order of starts and choice of the executions to shed."""

    def test_deadline_within_organisation(self) -> None:
        """Within an organisation the earliest deadline starts first."""
        node = ExitNode(slots=1)
        last = node.offer('waco', budget=9)
        second = node.offer('waco', budget=8)
        first = node.offer('waco', budget=5)
        for number in range(3):
            _finish_running(node, number / 10)
        started = [row.id for row in node.started]
        self.assertEqual(started, [first, second, last])

    def test_most_over_share_is_shed(self) -> None:
        """The flow with the most queued executions per weight is shed."""
        node = ExitNode(
            weight_by_organisation={'waco': 4, 'temple': 1},
            slots=4,
        )
        for _ in range(14):
            node.offer('waco')
        for _ in range(14):
            node.offer('temple')
        node.tick(0)
        left = Counter(row.organisation_id for row in node.queued)
        self.assertEqual(sum(left.values()), 8)
        self.assertAlmostEqual(left['waco'] / 4, left['temple'], delta=1)
        kinds = {refusal.kind for refusal in node.refusals}
        self.assertEqual(kinds, {ErrorKind.OVERLOADED.value})

    @_CHECKED
    @given(st.lists(st.integers(0, 4), max_size=40), st.integers(1, 6))
    def test_importance_not_inverted(
        self,
        importances: list[int],
        slots: int,
    ) -> None:
        """No execution is refused while a less important one is kept."""
        self.assertFalse(_inversions('weighted-fair', importances, slots))

    def test_baseline_inverts(self) -> None:
        """Arrival order (FIFO) sheds executions regardless of importance."""
        self.assertTrue(_inversions('none', list(range(13)), 2))


class CostTest(unittest.TestCase):
    """The cost of a tick does not grow with the length of the queue."""

    def test_steady_state(self) -> None:
        """A queue 50 times as long costs less than 1.2 times as much per tick.

        The cost is the number of function calls.
        """
        short = _calls_per_tick(20)
        long = _calls_per_tick(1000)
        self.assertLess(long, short * 1.2)


def _runs_any(machine: QueueMachine) -> bool:
    return bool(machine.node.running)


def _queues_any(machine: QueueMachine) -> bool:
    return bool(machine.node.queued)


class QueueMachine(RuleBasedStateMachine):
    """Random offers, ends, cancellations and ticks."""

    def __init__(self) -> None:
        """Start with an idle exit node of three slots."""
        super().__init__()
        self.node = ExitNode(slots=3)
        self.now: float = 0

    @rule(
        organisation=st.sampled_from(_ORGANISATIONS),
        importance=st.integers(0, 2),
        budget=st.floats(0.01, 5),
        count=st.integers(1, 5),
    )
    def offer(
        self,
        organisation: str,
        importance: int,
        budget: float,
        count: int,
    ) -> None:
        """Offer calls of one organisation at one importance."""
        for _ in range(count):
            self.node.offer(organisation, importance, budget)

    @precondition(_runs_any)
    @rule(which=st.integers(0, 2))
    def finish(self, which: int) -> None:
        """End one of the running executions."""
        running = self.node.running
        self.node.finish(running[which % len(running)])

    @precondition(_queues_any)
    @rule(which=st.integers(0, 5))
    def cancel(self, which: int) -> None:
        """Cancel one of the queued executions."""
        queued = self.node.queued
        call_id = queued[which % len(queued)].id
        self.node.world.inbox.append(
            PeerMessage('entry', CallCancel(call_id, 1)),
        )

    @rule(step=st.floats(0, 3))
    def tick(self, step: float) -> None:
        """Advance the time, run a tick and check what it started."""
        self.now += step
        started = self.node.tick(self.now)
        for execution in started:
            assert execution.deadline > self.now
        if started and self.node.queued:
            left = max(row.importance for row in self.node.queued)
            assert min(row.importance for row in started) >= left

    @invariant()
    def bounds_hold(self) -> None:
        """Slots and queue stay within bounds and match the flow counts."""
        node = self.node
        assert len(node.running) <= 3
        placed = [row for row in node.queued if row.flow_id]
        assert len(placed) <= 6
        counted = sum(flow.count for flow in node.world.flows)
        assert counted == len(placed)


QueueMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=25,
    stateful_step_count=40,
)
QueueTest = QueueMachine.TestCase


def _finish_running(node: ExitNode, now: float) -> None:
    for execution in node.running:
        node.finish(execution)
    node.tick(now)


def _has_queued(node: ExitNode, organisation: str) -> bool:
    return any(row.organisation_id == organisation for row in node.queued)


def _inversions(policy: str, importances: list[int], slots: int) -> int:
    node = ExitNode(policies=Policies(shedding=policy), slots=slots)
    importance_by_id = {
        node.offer(importance=importance): importance
        for importance in importances
    }
    node.tick(0)
    kept = [row.importance for row in node.queued + node.running]
    refused = [importance_by_id[row.call_id] for row in node.refusals]
    return sum(importance > min(kept) for importance in refused)


def _calls_per_tick(slots: int) -> float:
    node = ExitNode(slots=slots)
    for number in range(3 * slots):
        node.offer(_ORGANISATIONS[number % 3])
    node.tick(0)
    ticks = 30
    return _count_calls(lambda: _steady_ticks(node, ticks)) / ticks


def _steady_ticks(node: ExitNode, ticks: int) -> None:
    for number in range(ticks):
        node.finish(node.started[number])
        node.offer(_ORGANISATIONS[number % 3])
        node.tick(number / 1000)


def _count_calls(run: Callable[[], None]) -> int:
    events: list[str] = []
    sys.setprofile(lambda frame, event, argument: events.append(event))
    try:
        run()
    finally:
        sys.setprofile(None)
    return sum(event in {'call', 'c_call'} for event in events)

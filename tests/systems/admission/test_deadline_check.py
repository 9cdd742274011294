"""Early refusal of executions that cannot meet their deadline."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from figlane.entities.call import Call, CallPhase
from figlane.entities.http import Request
from figlane.entities.world import Policies
from figlane.errors import ErrorKind
from figlane.systems.admission.latency import own_latency
from tests.systems.exit_node import SERVICE, ExitNode

_LATENCY = 0.1
_CHECKED = settings(derandomize=True, deadline=None, max_examples=40)


class DeadlineTest(unittest.TestCase):
    """Deadline policies, with a backend server that answers in 0.1 s."""

    def test_time_left_too_short(self) -> None:
        """An execution with less time left than the latency is not started."""
        for policy, started in (('none', 1), ('predicted', 0)):
            node = _warm_node(policy)
            node.offer(budget=_LATENCY / 2)
            with self.subTest(policy=policy):
                self.assertEqual(len(node.tick(2)), started)
        self.assertEqual(
            node.refusals[-1].kind,
            ErrorKind.DEADLINE_EXCEEDED.value,
        )

    def test_queue_too_long(self) -> None:
        """An execution late only due to the queue is refused as overload."""
        node = _warm_node('predicted')
        for _ in range(8):
            node.offer()
        late = node.offer(budget=1.5 * _LATENCY)
        node.tick(2)
        kind_by_id = {row.call_id: row.kind for row in node.refusals}
        self.assertEqual(kind_by_id[late], ErrorKind.OVERLOADED.value)

    def test_expired_estimates(self) -> None:
        """No execution is refused because of an expired estimate.

        Refusals prevent new samples and would never end without the expiry.
        """
        node = _warm_node('predicted')
        node.offer(budget=_LATENCY / 2)
        self.assertEqual(len(node.tick(5)), 1)

    def test_refusal_after_max_queue_wait(self) -> None:
        """An execution that gets no slot is refused before its deadline."""
        node = ExitNode(slots=1)
        node.offer(importance=90)
        low = node.offer(importance=10)
        node.tick(0)
        due = node.world.next_due()
        self.assertLess(due, 1)
        node.tick(due)
        self.assertEqual(
            [(row.call_id, row.kind) for row in node.refusals],
            [(low, ErrorKind.OVERLOADED.value)],
        )

    @_CHECKED
    @given(
        st.lists(
            st.tuples(st.floats(0, 0.3), st.floats(0.001, 0.5)),
            max_size=30,
        ),
        st.sampled_from(['none', 'predicted']),
    )
    def test_no_start_after_deadline(
        self,
        steps: list[tuple[float, float]],
        policy: str,
    ) -> None:
        """No execution starts at or after its deadline."""
        node = ExitNode(policies=Policies(deadline=policy), slots=1)
        now: float = 0
        for step, budget in steps:
            node.offer(budget=budget)
            now += step
            for execution in node.running[:1]:
                node.finish(execution)
            for execution in node.tick(now):
                self.assertGreater(execution.deadline, now)

    def test_child_calls_excluded(self) -> None:
        """The own latency excludes child calls, also overlapping ones."""
        node = ExitNode(slots=1)
        node.offer()
        parent = node.tick(0)[0]
        for name, begin, end in (('a', 1, 3), ('b', 2, 5), ('c', 7, 8)):
            call = Call(
                name,
                SERVICE,
                Request('GET', '/', ()),
                begin,
                parent_id=parent.id,
                phase=CallPhase.FINISHED,
            )
            node.world.calls.insert(call)
            node.tick(end)
        self.assertEqual(own_latency(parent, 9), 4)


def _warm_node(policy: str) -> ExitNode:
    node = ExitNode(policies=Policies(deadline=policy), slots=4)
    for number in range(20):
        node.offer()
        node.tick(number * _LATENCY)
        node.finish(node.started[-1])
    node.tick(20 * _LATENCY)
    return node

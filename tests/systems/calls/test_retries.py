"""Tests of retries, at-most-once execution and refusals under faults."""

from __future__ import annotations

import math
import unittest
from collections.abc import Callable
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from figlane.entities.call import Call
from figlane.entities.http import Answer, Request
from figlane.entities.inbox import CallerDisconnected
from figlane.entities.member import Member
from figlane.entities.messages import CallRequest
from figlane.entities.world import Identity, Policies, RetryBounds, World
from figlane.errors import ErrorKind
from figlane.systems.calls.identification import MAX_CALL_DEPTH
from figlane.systems.calls.retries import allow_by_ratio, credit_retry_budget
from figlane.systems.links.liveness import PING_INTERVAL_SECONDS
from tests.simulated_network import (
    ATTEMPTS,
    DEADLINE,
    SERVICE_BY_NODE,
    MessageInTransit,
    SimulatedNetwork,
)

_INDEXES = st.integers(0, 9)
_MAX_OPEN_CALLS = 2
_MAX_KEYED_CALLS = 3
# Ping intervals without messages after which a link is silent and attempts of
# idempotent calls are given up.
_SILENT_STEPS = 9
_MAX_STEPS = 60
# Calls of a node in one window, the ratio and the fixed part of the budget.
_CALLS_PER_NODE = 6
_RATIO = 0.16
_FLEET_BALANCE = 100
_METHODS = st.sampled_from(('GET', 'POST'))
_EXIT_NODES = tuple(node for node, name in SERVICE_BY_NODE.items() if name)


class CallMachine(RuleBasedStateMachine):
    """Calls over five nodes with messages lost, duplicated and reordered."""

    def __init__(self) -> None:
        """Start with no calls and no messages."""
        super().__init__()
        self.network = SimulatedNetwork(Policies(retry='none'))
        self.keyed: set[str] = set()
        self.restarts_of_a = 0

    @initialize(method=_METHODS)
    def arrive_first(self, method: str) -> None:
        """Submit the first call."""
        self.network.arrive(method)

    @rule(method=_METHODS)
    def arrive(self, method: str) -> None:
        """Submit a root call, unless the limit of open calls is reached."""
        if len(self.network.world_by_node['entry'].calls) < _MAX_OPEN_CALLS:
            self.network.arrive(method)

    @rule(node=st.sampled_from(('entry', 'b1')))
    def arrive_keyed(self, node: str) -> None:
        """Submit a call, or a repeat, with one idempotency key."""
        if len(self.keyed) < _MAX_KEYED_CALLS:
            self.keyed.add(self.network.arrive('POST', node, key='charge'))

    @precondition(lambda machine: machine.network.open_runs())
    @rule(index=_INDEXES, method=_METHODS, is_repeat=st.booleans())
    def arrive_child(self, index: int, method: str, is_repeat: bool) -> None:
        """Submit a child call, or a repeat of one, from a backend server."""
        runs = self.network.open_runs()
        name = 'same' if is_repeat else ''
        self.network.arrive_child(runs[index % len(runs)], method, name)

    @precondition(lambda machine: machine.network.messages)
    @rule(index=_INDEXES)
    def deliver(self, index: int) -> None:
        """Deliver any message in transit."""
        self.network.deliver(index)

    @precondition(lambda machine: machine.network.messages)
    @rule()
    def deliver_all(self) -> None:
        """Deliver all messages in order."""
        self.network.deliver_all()

    @precondition(lambda machine: machine.network.arrived)
    @rule(index=_INDEXES)
    def repeat(self, index: int) -> None:
        """Deliver a duplicate of a message."""
        self.network.repeat(index)

    @precondition(lambda machine: machine.network.messages)
    @rule(index=_INDEXES)
    def lose(self, index: int) -> None:
        """Drop a message."""
        self.network.messages.pop(index % len(self.network.messages))

    @precondition(lambda machine: machine.network.messages)
    @rule(index=_INDEXES)
    def fail_to_send(self, index: int) -> None:
        """Report a message as not sent to its sender."""
        self.network.fail_to_send(index)

    @precondition(lambda machine: machine.network.open_runs())
    @rule(
        index=_INDEXES,
        ending=st.sampled_from(('answer', 'not-sent', 'not-sent', 'unknown')),
    )
    def finish(self, index: int, ending: str) -> None:
        """End a run on a backend server."""
        runs = self.network.open_runs()
        self.network.finish(runs[index % len(runs)], ending)

    @rule(seconds=st.sampled_from((0.05, 0.1, 0.3, 1, 3, 12)))
    def advance(self, seconds: float) -> None:
        """Advance the clock."""
        self.network.advance(seconds)

    @rule()
    def interrupt_links(self) -> None:
        """Drop all messages until the links are detected as silent."""
        for _ in range(_SILENT_STEPS):
            self.network.messages.clear()
            self.network.advance(PING_INTERVAL_SECONDS)

    @rule(node=st.sampled_from(_EXIT_NODES))
    def restart(self, node: str) -> None:
        """Restart a node with an empty ledger."""
        self.network.start(node)
        self.restarts_of_a += node.startswith('a')

    @rule(index=_INDEXES)
    def leave(self, index: int) -> None:
        """Disconnect a caller."""
        call_ids = [
            call.id for call in self.network.world_by_node['entry'].calls
        ]
        if call_ids:
            left = CallerDisconnected(call_ids[index % len(call_ids)])
            self.network.inject('entry', left)

    @invariant()
    def bounds_retries(self) -> None:
        """No call tree uses and holds more retries than its root call had."""
        for root in set(self.network.root_by_call.values()):
            used = self.network.retries_of(root)
            held = self.network.retries_held(root)
            assert used + held < ATTEMPTS, (root, used, held)

    @invariant()
    def runs_at_most_once(self) -> None:
        """A call that is not idempotent never runs twice."""
        for call_id, method in self.network.method_by_call.items():
            if method == 'POST':
                assert self.network.run_count(call_id) <= 1, call_id

    @invariant()
    def runs_key_once(self) -> None:
        """A key runs at most once while its home node or witness survives."""
        runs = sum(self.network.run_count(call_id) for call_id in self.keyed)
        assert runs <= 1 or self.restarts_of_a > 1

    @invariant()
    def refused_calls_never_run(self) -> None:
        """A call that was refused as not run has not run, then or later."""
        for call_id in self.network.outcomes_by_call:
            if self.network.was_told_not_run(call_id):
                assert self.network.run_count(call_id) == 0, call_id

    @invariant()
    def answers_own_call(self) -> None:
        """Each caller gets one outcome; an answer belongs to its own call."""
        for call_id, outcomes in self.network.outcomes_by_call.items():
            assert len(outcomes) == 1, call_id
            if isinstance(outcomes[0], Answer):
                own = self.keyed if call_id in self.keyed else {call_id}
                assert outcomes[0].body.decode() in own

    def teardown(self) -> None:
        """Check that every call has ended after all deadlines."""
        self.network.settle(DEADLINE + 1, step=1)
        self.bounds_retries()
        self.runs_at_most_once()
        self.runs_key_once()
        self.refused_calls_never_run()
        self.answers_own_call()
        for world in self.network.world_by_node.values():
            assert not len(world.calls)


class CaseTest(unittest.TestCase):
    """Minimal sequence of events for each of several faults."""

    def setUp(self) -> None:
        """Start every node."""
        self.network = SimulatedNetwork(Policies(retry='none'))

    def test_duplicate_of_refused(self) -> None:
        """A duplicate of a refused attempt does not run after the retry."""
        call_id = self._submit()
        self.network.deliver_all()
        self.network.finish(self.network.open_runs()[0], 'not-sent')
        self.network.deliver_all()
        self.assertEqual(self.network.attempts_by_call[call_id], 2)
        for index, _ in enumerate(tuple(self.network.arrived)):
            self.network.repeat(index)
        self.assertEqual(len(self.network.runs), 2)
        self.assertEqual(self.network.run_count(call_id), 1)

    def test_late_request_is_barred(self) -> None:
        """A request delivered after a query about it does not run."""
        call_id, request = self._request_in_transit()
        self.network.messages.clear()
        self._advance_until(lambda: self._is_retried(call_id))
        self.network.messages.append(request)
        self.network.deliver_all()
        self.assertEqual(self.network.run_count(call_id), 1)

    def test_request_after_deadline(self) -> None:
        """A request delivered after its deadline does not run."""
        call_id, request = self._request_in_transit()
        self.network.messages.clear()
        self.network.advance(DEADLINE + 1)
        self.network.messages.clear()
        self.network.messages.append(request)
        self.network.deliver_all()
        self.assertEqual(self.network.run_count(call_id), 0)

    def test_damaged_answer(self) -> None:
        """An answer with a truncated or altered body becomes a refusal."""
        for body in (b'call', b'call-9', b''):
            with self.subTest(body=body):
                self.setUp()
                call_id = self._submit()
                self.network.deliver_all()
                self.network.finish(self.network.open_runs()[0], 'answer')
                self.network.messages[-1].row.body = body
                self.network.deliver_all()
                refusal = self.network.outcomes_by_call[call_id][0]
                self.assertEqual(refusal.kind, ErrorKind.OUTCOME_UNKNOWN)

    def test_late_answer(self) -> None:
        """An answer to an attempt that was given up is ignored."""
        for _ in SERVICE_BY_NODE:
            self._submit()
        self.network.settle(1)
        call_id = self.network.arrive('GET')
        self.network.deliver_all()
        first = self.network.open_runs()[0]
        self.network.finish(first, 'answer')
        late = self.network.messages.pop()
        self._advance_until(lambda: self._is_retried(call_id), lose=True)
        self.network.messages.append(late)
        self.network.deliver_all()
        self.assertNotIn(call_id, self.network.outcomes_by_call)
        self.assertEqual(self.network.open_runs()[0].row.attempt, 2)

    def test_repeats_of_backend_server(self) -> None:
        """Repeats of a failed child call consume the root call's retries."""
        root = self._submit()
        self.network.deliver_all()
        run = self.network.open_runs()[0]
        tries = 10
        for _ in range(tries):
            self.network.arrive_child(run, 'POST', 'same')
            self.network.deliver_all()
            for child in self.network.open_runs()[1:]:
                self.network.finish(child, 'unknown')
            self.network.deliver_all()
        child_runs = len(self.network.runs) - 1
        self.assertLessEqual(child_runs, ATTEMPTS)
        self.assertLess(self.network.retries_of(root), ATTEMPTS)

    def test_fan_out(self) -> None:
        """All of 30 parallel child calls are answered."""
        self._submit()
        self.network.deliver_all()
        run = self.network.open_runs()[0]
        children = [self.network.arrive_child(run, 'GET') for _ in range(30)]
        self.network.settle(1)
        for call_id in children:
            outcome = self.network.outcomes_by_call[call_id][0]
            self.assertIsInstance(outcome, Answer)

    def test_depth(self) -> None:
        """A chain of 14 child calls is served, and the last can be retried."""
        self._submit()
        self.network.deliver_all()
        for _ in range(MAX_CALL_DEPTH):
            run = self.network.open_runs()[-1]
            self.network.arrive_child(run, 'POST')
            self.network.deliver_all()
        deepest = self.network.open_runs()[-1]
        self.assertEqual(len(self.network.open_runs()), MAX_CALL_DEPTH + 1)
        self.network.finish(deepest, 'not-sent')
        self.network.deliver_all()
        self.assertEqual(self.network.runs[-1].row.attempt, 2)

    def test_all_candidates_refuse(self) -> None:
        """If every candidate refuses, the caller gets their error kind."""
        call_id = self._submit()
        while call_id not in self.network.outcomes_by_call:
            self.network.deliver_all()
            for run in self.network.open_runs():
                self.network.finish(run, 'not-sent')
            self.network.deliver_all()
            self.network.advance(0.1)
        refusal = self.network.outcomes_by_call[call_id][0]
        self.assertEqual(refusal.kind, ErrorKind.NO_BACKEND_SERVER)
        self.assertEqual(self.network.attempts_by_call[call_id], ATTEMPTS)

    def _submit(self) -> str:
        return self.network.arrive('POST')

    def _request_in_transit(self) -> tuple[str, MessageInTransit]:
        self._submit()
        self._submit()
        self.network.deliver_all()
        for run in self.network.open_runs():
            self.network.finish(run, 'answer')
        self.network.deliver_all()
        call_id = self._submit()
        if not self.network.attempts_by_call[call_id]:
            self.network.deliver(0)
            self.network.deliver(0)
        requests = [
            in_transit
            for in_transit in self.network.messages
            if isinstance(in_transit.row.message, CallRequest)
        ]
        return call_id, requests[0]

    def _advance_until(
        self,
        condition: Callable[[], bool],
        *,
        lose: bool = False,
    ) -> None:
        for _ in range(_MAX_STEPS):
            if condition():
                return
            if lose:
                self.network.messages.clear()
            self.network.advance(PING_INTERVAL_SECONDS)
            if not lose:
                self.network.deliver_all()
        self.fail('the condition was not met in time')

    def _is_retried(self, call_id: str) -> bool:
        return self.network.attempts_by_call[call_id] > 1


class RatioTest(unittest.TestCase):
    """Retry budget while every attempt fails."""

    def test_total_failure(self) -> None:
        """The budget keeps the attempts per call close to one."""
        with_budget = _attempts_per_call('ratio')
        baseline = _attempts_per_call('none')
        self.assertEqual(baseline, ATTEMPTS)
        # 1 + the ratio of 0.1 + the initial budget of 10 retries per 200 calls.
        self.assertLessEqual(with_budget, 1.15)

    def test_budget_by_importance(self) -> None:
        """Calls of low importance do not use the budget of important ones."""
        world = World(Identity('node-1', 'domain-a', 1), Random(1))
        request = Request('GET', '/', ())
        less_important = Call('call-1', 'dues', request, 0, importance=10)
        more_important = Call('call-2', 'dues', request, 0, importance=90)
        allowed = [allow_by_ratio(world, less_important, 0) for _ in range(20)]
        self.assertEqual(allowed.count(True), RetryBounds().max_balance)
        self.assertTrue(allow_by_ratio(world, more_important, 0))

    def test_fleet_budget(self) -> None:
        """The fixed part of the budget holds for fleets of any size.

        All attempts of all nodes fail in one window, after a time in which
        the balances could fill.
        """
        for count in (4, 18, 195, 980):
            with self.subTest(count=count):
                members = [
                    Member(f'n{number}', 1, 'a', '') for number in range(count)
                ]
                retries = sum(
                    _retries_of_node(members, number) for number in range(count)
                )
                calls = _CALLS_PER_NODE * count
                limit = _FLEET_BALANCE + _RATIO * calls
                # Small fleets use up the fixed part, large ones by chance.
                deviation = 3 * math.sqrt(_FLEET_BALANCE)
                self.assertLessEqual(retries, limit + deviation)
                self.assertGreater(retries, min(_FLEET_BALANCE, calls) / 2)


def _retries_of_node(members: list[Member], number: int) -> int:
    world = World(
        Identity(f'n{number}', 'a', 1),
        Random(number),
        retry_bounds=RetryBounds(_RATIO, fleet_balance=_FLEET_BALANCE),
    )
    for member in members:
        world.members.insert(member)
    request = Request('GET', '/', ())
    call = Call('call', 'dues', request, 0)
    for _ in range(10 * _CALLS_PER_NODE):
        credit_retry_budget(world, call)
    retries = 0
    for _ in range(_CALLS_PER_NODE):
        credit_retry_budget(world, call)
        retries += allow_by_ratio(world, call, 0)
    return retries


def _attempts_per_call(policy: str) -> float:
    network = SimulatedNetwork(Policies(retry=policy))
    count = 200
    for _ in range(count):
        call_id = network.arrive('GET')
        while call_id not in network.outcomes_by_call:
            network.deliver_all()
            for run in network.open_runs():
                network.finish(run, 'not-sent')
            network.deliver_all()
            network.advance(0.1)
    return network.attempts_by_call.total() / count


CallMachineTest = CallMachine.TestCase
CallMachineTest.settings = settings(
    max_examples=300,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
)

"""Calls that arrive or are open while their entry node stops."""

from __future__ import annotations

import unittest

from figlane.entities.backend_server import BackendServer
from figlane.entities.node_drain import DRAIN_ID, DrainRequested
from figlane.errors import ErrorKind, Refusal
from figlane.systems.calls.durations import MARGIN_CALLS
from tests.simulated_network import ENTRY, Run, SimulatedNetwork

DRAIN_SECONDS = 6.0
LONG_SECONDS = 1.5
SHORT_SECONDS = 0.1
_CALLS = 10 * MARGIN_CALLS


class StoppingCase(unittest.TestCase):
    """An entry node that stops while its callers go on calling."""

    def setUp(self) -> None:
        """Start the network; calls by POST are not idempotent."""
        self.network = SimulatedNetwork()

    def measure(
        self,
        method: str,
        seconds: float,
        count: int = _CALLS,
        node: str = ENTRY,
    ) -> None:
        """Let calls of a route take the same time each.

        :param method: the HTTP method, which selects the route.
        :param seconds: how long each call takes.
        :param count: the number of calls.
        :param node: their entry node.
        """
        for _ in range(count):
            self.network.arrive(method, node)
        self.network.deliver_all()
        self.network.advance(seconds)
        self.answer_all()

    def answer_all(self) -> None:
        """Answer all open runs."""
        for run in self.network.open_runs():
            self.network.finish(run, 'answer')
        self.network.deliver_all()

    def drain(
        self,
        seconds: float = DRAIN_SECONDS,
        node: str = ENTRY,
        *,
        stops_process: bool = True,
    ) -> None:
        """Start to drain a node that has an open call of another service.

        :param seconds: the time until the drain ends.
        :param node: the node.
        :param stops_process: whether the process exits after the drain.
        """
        # An open call of the other service keeps the drain from ending early.
        self.network.arrive('GET', service_id='b')
        self.network.deliver_all()
        request = DrainRequested(
            seconds, stops_process=stops_process, accepts_root_calls=True
        )
        self.network.inject(node, request)

    def advance_to(self, seconds_left: float, node: str = ENTRY) -> None:
        """Advance the clock to a time before the end of the drain.

        :param seconds_left: the time left; negative after the drain.
        :param node: the node that drains.
        """
        drain = self.network.world_by_node[node].node_drains.by_id[DRAIN_ID]
        step = drain.ends_by - seconds_left - self.network.now
        self.network.advance(step)
        self.network.tick(node)

    def new_call(self, method: str) -> ErrorKind | None:
        """Submit a call without waiting for an answer.

        :param method: the HTTP method.
        :return: the kind of its refusal, or None if it has been sent.
        """
        call = self.network.arrive(method)
        outcomes = self.network.outcomes_by_call.get(call, [])
        if not outcomes:
            return None
        self.assertIsInstance(outcomes[0], Refusal)
        return outcomes[0].kind

    def run_of(self, call: str) -> Run:
        """Deliver all messages and find the open run of a call.

        :param call: the id of the call.
        :return: the run.
        """
        self.network.deliver_all()
        return [
            run
            for run in self.network.open_runs()
            if run.row.execution_id == call
        ][0]

    def refusals(self) -> list[Refusal]:
        """List the refusals of all calls.

        :return: the refusals.
        """
        return [
            outcome
            for outcomes in self.network.outcomes_by_call.values()
            for outcome in outcomes
            if isinstance(outcome, Refusal)
        ]

    def server(self, node: str) -> BackendServer:
        """Find the backend server beside a node.

        :param node: the node.
        :return: the backend server.
        """
        return self.network.world_by_node[node].backend_servers.by_id['i']

"""Seeded simulation of a backend server that collapses under overload."""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from figlane.entities.execution import Execution
from figlane.entities.http import Answer
from figlane.entities.outbox import CancelOnBackend
from tests.systems.exit_node import ExitNode

_TICK_SECONDS = 0.005


@dataclass(slots=True)
class Simulation:
    """Open-loop arrivals at one node and its simulated backend server.

    ``max_concurrency`` maps a time in seconds to the capacity of the backend
    server in concurrent requests. Above it the backend server answers 503 if
    ``rejects_excess`` is set. Otherwise its service time grows with the square
    of the overload, so that its throughput falls as its concurrency grows.
    Answers within ``budget`` seconds of the first offer count as goodput. A
    refused call is offered again up to ``retries`` times.
    """

    node: ExitNode
    rate: Callable[[float], float]
    max_concurrency: Callable[[float], int]
    service_seconds: float = 0.05
    budget: float = 0.5
    retries: int = 0
    rejects_excess: bool = False
    random: Random = field(default_factory=lambda: Random(7))
    good_at: list[float] = field(default_factory=list)
    good_by_importance: Counter[int] = field(default_factory=Counter)
    overloads: list[float] = field(default_factory=list)
    running_at: list[tuple[float, int]] = field(default_factory=list)
    now: float = 0
    _running: list[tuple[float, int, Execution]] = field(default_factory=list)
    _sequence: int = 0
    _offers: dict[str, tuple[float, int, int]] = field(default_factory=dict)

    def run(self, until: float) -> None:
        """Advance the simulation.

        :param until: end time in seconds.
        """
        while self.now < until:
            self.now += _TICK_SECONDS
            self._generate_arrivals()
            self._finish_due()
            self._tick()

    def goodput(self, begin: float, end: float) -> float:
        """Compute the goodput of an interval.

        :param begin: start of the interval in seconds.
        :param end: end of the interval in seconds, not included.
        :return: answers per second within the budget.
        """
        good = sum(begin <= moment < end for moment in self.good_at)
        return good / (end - begin)

    def _generate_arrivals(self) -> None:
        expected = self.rate(self.now) * _TICK_SECONDS
        count = math.floor(expected + self.random.random())
        for _ in range(count):
            self._offer(self.now, self.random.choice((20, 50, 90)), 0)

    def _offer(self, first: float, importance: int, retries_used: int) -> None:
        remaining = first + self.budget - self.now
        if remaining <= 0:
            return
        call_id = self.node.offer('', importance, remaining)
        self._offers[call_id] = (first, importance, retries_used)

    def _retry(self, first: float, importance: int, retries_used: int) -> None:
        if retries_used < self.retries:
            self._offer(first, importance, retries_used + 1)

    def _finish_due(self) -> None:
        while self._running and self._running[0][0] <= self.now:
            moment, _, execution = heapq.heappop(self._running)
            offer = self._offers.pop(execution.id, None)
            self.node.finish(execution)
            if offer is not None and moment <= offer[0] + self.budget:
                self.good_at.append(moment)
                self.good_by_importance[offer[1]] += 1

    def _tick(self) -> None:
        started = self.node.tick(self.now)
        for row in self.node.outbox:
            if isinstance(row, CancelOnBackend):
                self._cancel(row.execution_id)
        for execution in started:
            self._start(execution)
        for refusal in self.node.refusals:
            offer = self._offers.pop(refusal.call_id, None)
            if offer is not None:
                self._retry(*offer)
        self.node.refusals.clear()
        self.running_at.append((self.now, len(self._running)))

    def _start(self, execution: Execution) -> None:
        excess = (len(self._running) + 1) / self.max_concurrency(self.now)
        if self.rejects_excess and excess > 1:
            self.overloads.append(self.now)
            self._offers.pop(execution.id)
            self.node.finish(execution, Answer(503, ()))
            return
        duration = self.service_seconds * max(1, excess) ** 2
        duration *= self.random.uniform(0.5, 1.5)
        self._sequence += 1
        entry = (self.now + duration, self._sequence, execution)
        heapq.heappush(self._running, entry)

    def _cancel(self, execution_id: str) -> None:
        self._running = [
            entry for entry in self._running if entry[2].id != execution_id
        ]
        heapq.heapify(self._running)

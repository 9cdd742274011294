"""Removal and return of a failure domain under load."""

from __future__ import annotations

import math
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from types import MappingProxyType

from figlane.systems.domains import FIRST_PART, RAMP_SECONDS
from standins.fleet import BackendShape, Fleet, Reply, call, wait_until

_SECONDS_TO_LEAVE = 5
_CALLERS = 8
_ROUTE = MappingProxyType(
    {
        'name': 'read',
        'path': '/**',
        'methods': ['GET'],
        'open': True,
        'deadline_ms': 10000,
    }
)


class FailureDomainTest(unittest.TestCase):
    """An entry node and two backend servers in two failure domains."""

    def setUp(self) -> None:
        """Start the fleet and wait until the entry node serves."""
        self.fleet = Fleet()
        self.enterContext(self.fleet)
        document = {'service': 'rotations', 'routes': [dict(_ROUTE)]}
        self.fleet.put_object('service', 'rotations', document)
        for name in ('a', 'b'):
            self._set(f'domain-{name}', taken_out=False)
            self.fleet.start_node(f'exit-{name}', f'domain-{name}')
            self.fleet.start_backend(f'exit-{name}', 'rotations')
        self.fleet.start_node('entry', 'domain-a')
        wait_until(lambda: len(self.fleet.state('entry')['members']) == 3)
        wait_until(lambda: self._call(0).status == 200)

    def test_out_and_back(self) -> None:
        """A domain that is taken out gets no new calls, and none fails.

        After its return its part of the calls grows no faster than the ramp
        allows.
        """
        ended = threading.Event()
        pool = self.enterContext(ThreadPoolExecutor(_CALLERS))
        loads = [pool.submit(self._load, ended) for _ in range(_CALLERS)]
        self.addCleanup(ended.set)
        wait_until(lambda: self._offered('exit-a') > 50)
        self._set('domain-a', taken_out=True)
        wait_until(lambda: not self._is_used('exit-a'), _SECONDS_TO_LEAVE)
        self.assertFalse(self._is_used('exit-a'))
        self._set('domain-a', taken_out=False)
        returned_at = time.monotonic()
        percent = self._percent_of_a()
        elapsed = time.monotonic() - returned_at
        self.assertLess(percent, _ramped_percent(elapsed) + 10)
        wait_until(lambda: self._percent_of_a() > 60)
        ended.set()
        for load in loads:
            self.assertEqual(load.result(), {200})

    def _percent_of_a(self) -> float:
        """Measure which percentage of the next 100 calls domain-a gets."""
        first = [self._offered(node) for node in ('exit-a', 'exit-b')]
        wait_until(lambda: self._total() >= sum(first) + 100)
        last = [self._offered(node) for node in ('exit-a', 'exit-b')]
        return 100 * (last[0] - first[0]) / (sum(last) - sum(first))

    def _total(self) -> int:
        return self._offered('exit-a') + self._offered('exit-b')

    def _is_used(self, node_id: str) -> bool:
        before = self._offered(node_id)
        total = self._total()
        wait_until(lambda: self._total() >= total + 50)
        return self._offered(node_id) > before

    def _load(self, ended: threading.Event) -> set[int]:
        statuses = set()
        while not ended.is_set():
            statuses.add(self._call(20).status)
        return statuses

    def _call(self, milliseconds: int) -> Reply:
        address = self.fleet.process_by_name['entry'].told['entry']
        url = f'http://{address}/rotations/x?ms={milliseconds}'
        return call('GET', url)

    def _offered(self, node_id: str) -> int:
        counters = self.fleet.state(node_id)['counters']
        return counters.get('execution.offered', 0)

    def _set(self, name: str, *, taken_out: bool) -> None:
        document = {'domain': name, 'taken_out': taken_out}
        self.fleet.put_object('domain', name, document)


def _ramped_percent(elapsed: float) -> float:
    """Compute the largest percentage that the ramp allows a returned domain.

    The entry node prefers its own domain up to the fraction of the slots
    that the ramp allows.
    """
    weight = FIRST_PART + (1 - FIRST_PART) * elapsed / RAMP_SECONDS
    return 100 * math.ceil(BackendShape().slots * weight) / _CALLERS

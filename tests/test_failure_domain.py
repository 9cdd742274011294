"""Removal and return of a failure domain under load."""

from __future__ import annotations

import math
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from types import MappingProxyType

from figlane.systems.membership.domains import INITIAL_WEIGHT, RAMP_SECONDS
from standins.fleet import BackendOptions, Fleet, Reply, call, wait_until

_LEAVE_TIMEOUT_SECONDS = 5
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
            self._put_domain(f'domain-{name}', taken_out=False)
            self.fleet.start_node(f'exit-{name}', f'domain-{name}')
            self.fleet.start_backend(f'exit-{name}', 'rotations')
        self.fleet.start_node('entry', 'domain-a')
        wait_until(lambda: len(self.fleet.state('entry')['members']) == 3)
        wait_until(lambda: self._call(0).status == 200)

    def test_domain_is_taken_out_and_returned(self) -> None:
        """A domain that is taken out gets no new calls, and no call fails.

        After its return its share of the calls grows no faster than the ramp
        allows.
        """
        stop_load = threading.Event()
        pool = self.enterContext(ThreadPoolExecutor(_CALLERS))
        loads = [pool.submit(self._load, stop_load) for _ in range(_CALLERS)]
        self.addCleanup(stop_load.set)
        wait_until(lambda: self._offered('exit-a') > 50)
        self._put_domain('domain-a', taken_out=True)
        wait_until(
            lambda: not self._gets_calls('exit-a'), _LEAVE_TIMEOUT_SECONDS
        )
        self.assertFalse(self._gets_calls('exit-a'))
        self._put_domain('domain-a', taken_out=False)
        returned_at = time.monotonic()
        percent = self._percent_in_domain_a()
        elapsed = time.monotonic() - returned_at
        self.assertLess(percent, _ramped_percent(elapsed) + 10)
        wait_until(lambda: self._percent_in_domain_a() > 60)
        stop_load.set()
        for load in loads:
            self.assertEqual(load.result(), {200})

    def _percent_in_domain_a(self) -> float:
        """Measure which percentage of the next 100 calls domain-a gets."""
        before = [self._offered(node) for node in ('exit-a', 'exit-b')]
        wait_until(lambda: self._total_offered() >= sum(before) + 100)
        after = [self._offered(node) for node in ('exit-a', 'exit-b')]
        return 100 * (after[0] - before[0]) / (sum(after) - sum(before))

    def _total_offered(self) -> int:
        return self._offered('exit-a') + self._offered('exit-b')

    def _gets_calls(self, node_id: str) -> bool:
        before = self._offered(node_id)
        total = self._total_offered()
        wait_until(lambda: self._total_offered() >= total + 50)
        return self._offered(node_id) > before

    def _load(self, stop_load: threading.Event) -> set[int]:
        statuses = set()
        while not stop_load.is_set():
            statuses.add(self._call(20).status)
        return statuses

    def _call(self, milliseconds: int) -> Reply:
        address = self.fleet.process_by_name['entry'].printed_addresses['entry']
        url = f'http://{address}/rotations/x?ms={milliseconds}'
        return call('GET', url)

    def _offered(self, node_id: str) -> int:
        counters = self.fleet.state(node_id)['counters']
        return counters.get('execution.offered', 0)

    def _put_domain(self, name: str, *, taken_out: bool) -> None:
        document = {'domain': name, 'taken_out': taken_out}
        self.fleet.put_object('domain', name, document)


def _ramped_percent(elapsed: float) -> float:
    """Compute the largest percentage that the ramp allows a returned domain.

    The entry node prefers its own domain up to the fraction of the slots
    that the ramp allows.
    """
    weight = INITIAL_WEIGHT + (1 - INITIAL_WEIGHT) * elapsed / RAMP_SECONDS
    return 100 * math.ceil(BackendOptions().slots * weight) / _CALLERS

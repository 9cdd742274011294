"""Planned stop of a node with open calls as entry node and exit node."""

from __future__ import annotations

import signal
import threading
import unittest
from concurrent.futures import Future, ThreadPoolExecutor

from standins.fleet import BackendOptions, Fleet, Reply, call, wait_until

_ROUTES = (
    {
        'name': 'read',
        'path': '/**',
        'methods': ['GET'],
        'open': True,
        'deadline_ms': 10000,
    },
)
_LONG_CALL_MS = 3000
_SHORT_CALL_MS = 10
# Concurrency is the product of rate and duration: with long calls, the callers
# fill the slots of both nodes with few calls a second.
_WARM_UP_CALL_MS = 200
_CALLERS = 4
_WARM_UP_CALLERS = 32


class PlannedStopTest(unittest.TestCase):
    """Three nodes of one service whose calls are not idempotent."""

    def setUp(self) -> None:
        """Start the fleet and raise both concurrency limits to the slots."""
        self.fleet = Fleet()
        self.enterContext(self.fleet)
        document = {'service': 'rotations', 'routes': list(_ROUTES)}
        self.fleet.put_object('service', 'rotations', document)
        self.fleet.start_node('entry', 'domain-a')
        for node_id in ('exit-a', 'exit-b'):
            self.fleet.start_node(node_id, 'domain-b')
            self.fleet.start_backend(node_id, 'rotations')
        wait_until(self._is_ready)
        self._warm_up()

    def test_no_call_is_cut(self) -> None:
        """All open and new calls succeed while a node drains and exits."""
        pool = self.enterContext(ThreadPoolExecutor(64))
        long_calls = [
            pool.submit(self._call, node_id, _LONG_CALL_MS)
            for node_id in ('entry', 'exit-a') * 6
        ]
        wait_until(lambda: self._running('exit-a') > 1)
        stop_load = threading.Event()
        loads = [pool.submit(self._load, stop_load) for _ in range(_CALLERS)]
        process = self.fleet.process_by_name['exit-a']
        process.popen.terminate()
        wait_until(lambda: process.popen.poll() is not None)
        stop_load.set()
        self.assertEqual(process.popen.returncode, 0)
        self.assertEqual(_statuses(long_calls), {200})
        for load in loads:
            self.assertEqual(load.result(), {200})

    def test_reload_cuts_no_call(self) -> None:
        """Guards against a reload that ends a node with calls open."""
        pool = self.enterContext(ThreadPoolExecutor(64))
        calls = [
            pool.submit(self._call, node_id, _LONG_CALL_MS)
            for node_id in ('entry', 'exit-a') * 2
        ]
        wait_until(lambda: self._running('exit-a') > 0)
        for node_id in ('entry', 'exit-a'):
            process = self.fleet.process_by_name[node_id]
            process.popen.send_signal(signal.SIGHUP)
        self.assertEqual(_statuses(calls), {200})

    def test_no_new_work(self) -> None:
        """A node drained by an operator gets no new calls and keeps running."""
        admin = self.fleet.process_by_name['exit-a'].printed_addresses['admin']
        self.assertEqual(call('PUT', f'http://{admin}/drain').status, 200)
        wait_until(lambda: self._phase('exit-a') == 'leaving', 5)
        before = self._offered('exit-a')
        for _ in range(20):
            self.assertEqual(self._call('entry', 0).status, 200)
        self.assertEqual(self._offered('exit-a'), before)

    def _is_ready(self) -> bool:
        nodes = ('entry', 'exit-a', 'exit-b')
        members = [len(self.fleet.state(node)['members']) for node in nodes]
        offered = [self._offered(node) for node in nodes[1:]]
        reply = self._call('entry', 0)
        return reply.status == 200 and min(members) == 3 and min(offered) > 0

    def _warm_up(self) -> None:
        """Send load until both concurrency limits reach the slots."""
        stop_load = threading.Event()
        with ThreadPoolExecutor(_WARM_UP_CALLERS) as pool:
            for _ in range(_WARM_UP_CALLERS):
                pool.submit(self._load, stop_load, _WARM_UP_CALL_MS)
            try:
                wait_until(self._is_warm)
            finally:
                stop_load.set()

    def _is_warm(self) -> bool:
        slots = BackendOptions().slots
        loads = [
            self.fleet.state(node)['load'] for node in ('exit-a', 'exit-b')
        ]
        return all(load['limit'] >= slots for load in loads)

    def _load(
        self, stop_load: threading.Event, milliseconds: int = _SHORT_CALL_MS
    ) -> set[int]:
        statuses = set()
        while not stop_load.is_set():
            statuses.add(self._call('entry', milliseconds).status)
        return statuses

    def _call(self, node_id: str, milliseconds: int) -> Reply:
        address = self.fleet.process_by_name[node_id].printed_addresses['entry']
        url = f'http://{address}/rotations/x?ms={milliseconds}'
        return call('GET', url)

    def _running(self, node_id: str) -> int:
        return self.fleet.state(node_id)['executions']

    def _phase(self, node_id: str) -> str:
        return self.fleet.state('entry')['members'][node_id]

    def _offered(self, node_id: str) -> int:
        counters = self.fleet.state(node_id)['counters']
        return counters.get('execution.offered', 0)


def _statuses(futures: list[Future[Reply]]) -> set[int]:
    return {future.result().status for future in futures}

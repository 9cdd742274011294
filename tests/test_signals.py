"""Signals to processes of ``figlane-node``."""

from __future__ import annotations

import signal
import time
import unittest
from concurrent.futures import Future, ThreadPoolExecutor

from standins.fleet import Fleet, Reply, call, wait_until

_ROUTES = (
    {
        'name': 'read',
        'path': '/**',
        'methods': ['GET'],
        'open': True,
        'deadline_ms': 10000,
    },
)
_CALL_MS = 1500
_TIMEOUT_SECONDS = 10


class SignalTest(unittest.TestCase):
    """An entry node, and an exit node that gets the signals."""

    def setUp(self) -> None:
        """Start the fleet."""
        self.fleet = Fleet()
        self.enterContext(self.fleet)
        document = {'service': 'rotations', 'routes': list(_ROUTES)}
        self.fleet.put_object('service', 'rotations', document)
        self.fleet.start_node('entry', 'domain-a')
        self.exit = self.fleet.start_node('exit', 'domain-b')
        self.fleet.start_backend('exit', 'rotations')
        wait_until(lambda: self._call('entry', 0).status == 200)
        wait_until(lambda: self._call('exit', 0).status == 200)

    def test_repeated_signals_cut_off_no_execution(self) -> None:
        """Guards against a second SIGTERM that ends executions.

        The exit node has no callers of its own to wait for.
        """
        running = self._open_call('entry')
        for _ in range(3):
            self.exit.popen.send_signal(signal.SIGTERM)
            time.sleep(0.1)
        self.assertEqual(running.result().status, 200)
        self.assertEqual(self.exit.popen.wait(_TIMEOUT_SECONDS), 0)

    def test_repeated_signals_cut_off_no_request(self) -> None:
        """A second SIGTERM does not end the requests of callers."""
        running = self._open_call('exit')
        for _ in range(3):
            self.exit.popen.send_signal(signal.SIGTERM)
            time.sleep(0.1)
        self.assertEqual(running.result().status, 200)
        self.assertEqual(self.exit.popen.wait(_TIMEOUT_SECONDS), 0)

    def _open_call(self, node_id: str) -> Future[Reply]:
        pool = self.enterContext(ThreadPoolExecutor(1))
        running = pool.submit(self._call, node_id, _CALL_MS)
        wait_until(lambda: self.fleet.state('exit')['load']['running'] > 0)
        return running

    def _call(self, node_id: str, milliseconds: int) -> Reply:
        address = self.fleet.process_by_name[node_id].printed_addresses['entry']
        url = f'http://{address}/rotations/x?ms={milliseconds}'
        return call('GET', url)

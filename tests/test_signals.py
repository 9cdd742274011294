"""Tests of signals, and of signals to processes of ``figlane-node``."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
import unittest
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from figlane.signals import handle_signals
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
# Runs a node that gets SIGTERM as soon as it handles signals.
_STOPPED_AT_START = """
import os, signal, sys
from figlane import node

handle_signals = node.handle_signals

def handle_and_send(*arguments):
    handle_signals(*arguments)
    os.kill(os.getpid(), signal.SIGTERM)

node.handle_signals = handle_and_send
sys.exit(node.main(('--settings', sys.argv[1])))
"""
_TIMEOUT_SECONDS = 10


class HandlerTest(unittest.IsolatedAsyncioTestCase):
    """Signals to a process that records what they request."""

    async def asyncSetUp(self) -> None:
        """Handle the signals."""
        self.requests: list[tuple[str, str]] = []
        loop = asyncio.get_running_loop()
        handle_signals(loop, self)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.addCleanup(loop.remove_signal_handler, number)

    def stop(self, signal_name: str) -> None:
        """Record a request for a graceful shutdown.

        :param signal_name: name of the signal.
        """
        self.requests.append(('stop', signal_name))

    def stop_now(self, signal_name: str) -> None:
        """Record a request to end at once.

        :param signal_name: name of the signal.
        """
        self.requests.append(('stop_now', signal_name))

    async def test_only_a_second_interrupt_is_immediate(self) -> None:
        """Neither SIGTERM nor SIGHUP make an interrupt the second one."""
        for number in (
            signal.SIGTERM,
            signal.SIGTERM,
            signal.SIGINT,
            signal.SIGHUP,
            signal.SIGTERM,
            signal.SIGINT,
        ):
            os.kill(os.getpid(), number)
            await asyncio.sleep(0.02)
        self.assertEqual(
            self.requests,
            [
                ('stop', 'SIGTERM'),
                ('stop', 'SIGTERM'),
                ('stop', 'SIGINT'),
                ('stop', 'SIGTERM'),
                ('stop_now', 'SIGINT'),
            ],
        )


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

    def test_drain_then_repeated_signals(self) -> None:
        """A stop after an operator's drain waits for what runs."""
        running = self._open_call('entry')
        admin = self.exit.printed_addresses['admin']
        for _ in range(2):
            self.assertEqual(call('PUT', f'http://{admin}/drain').status, 200)
            self.exit.popen.send_signal(signal.SIGTERM)
            time.sleep(0.1)
        self.assertEqual(running.result().status, 200)
        self.assertEqual(self.exit.popen.wait(_TIMEOUT_SECONDS), 0)

    def test_stop_while_starting(self) -> None:
        """SIGTERM before the sockets are open ends the process."""
        settings = json.loads((self.fleet.folder / 'exit.json').read_text())
        path = self.fleet.folder / 'late.json'
        path.write_text(json.dumps({**settings, 'node_id': 'late'}))
        process = subprocess.run(
            (sys.executable, '-c', _STOPPED_AT_START, str(path)),
            check=False,
            capture_output=True,
            timeout=_TIMEOUT_SECONDS,
        )
        self.assertEqual(process.returncode, 0, process.stderr)
        self.assertIn(b'node_stopped', process.stderr)

    def test_second_interrupt(self) -> None:
        """A second SIGINT ends the process, and what runs ends as unknown."""
        running = self._open_call('exit')
        for _ in range(2):
            self.exit.popen.send_signal(signal.SIGINT)
            time.sleep(0.1)
        self.assertEqual(self.exit.popen.wait(_TIMEOUT_SECONDS), 0)
        self.assertEqual(running.result().status, 504)
        line_by_event = self._logged_lines()
        self.assertNotIn('request_cut_off', line_by_event)
        stopped = line_by_event['node_stopped']
        self.assertEqual(stopped['requests_cut_off'], 0)
        self.assertLess(stopped['seconds'], _CALL_MS / 1000)

    def _logged_lines(self) -> dict[str, dict[str, Any]]:
        """Read the log of the exit node.

        :return: the last line of each event.
        """
        text = (self.fleet.folder / 'exit.log').read_text(encoding='utf-8')
        lines = map(json.loads, text.splitlines())
        return {line['event']: line for line in lines}

    def _open_call(self, node_id: str) -> Future[Reply]:
        pool = self.enterContext(ThreadPoolExecutor(1))
        running = pool.submit(self._call, node_id, _CALL_MS)
        wait_until(lambda: self.fleet.state('exit')['load']['running'] > 0)
        return running

    def _call(self, node_id: str, milliseconds: int) -> Reply:
        address = self.fleet.process_by_name[node_id].printed_addresses['entry']
        url = f'http://{address}/rotations/x?ms={milliseconds}'
        return call('GET', url)

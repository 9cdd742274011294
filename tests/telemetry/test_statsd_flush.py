"""Tests of metric declarations and of the increments sent to statsd."""

from __future__ import annotations

import contextlib
import random
import re
import socket
import unittest
from collections.abc import Iterator
from pathlib import Path

import figlane
from figlane.entities.world import Identity, World
from figlane.telemetry.names import COUNTERS, GAUGES, METRICS
from figlane.telemetry.statsd_flush import StatsdReporter, read_gauges

_PACKAGE = Path(figlane.__file__).parent
_COUNTER = re.compile(r"counters\[\s*f?'([^'{]+)")


class NamesTest(unittest.TestCase):
    """The declarations match the metrics in the code."""

    def test_every_counter_is_declared(self) -> None:
        """Every counter that the source code increments is declared."""
        used = set(_incremented_counters())
        self.assertGreater(len(used), 10)
        for name in used:
            with self.subTest(name):
                self.assertTrue(any(row.covers(name) for row in COUNTERS))

    def test_every_gauge_is_declared(self) -> None:
        """The gauges sent equal the declared ones; metric names are unique."""
        self.assertEqual(
            set(read_gauges(_world())), {row.name for row in GAUGES}
        )
        names = [row.name for row in METRICS]
        self.assertEqual(len(names), len(set(names)))


class FlushTest(unittest.TestCase):
    """Datagrams that statsd receives."""

    def test_only_increments_are_sent(self) -> None:
        """Increments are aggregated; unchanged counters are not sent again."""
        world = _world()
        receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(receiver.close)
        receiver.bind(('127.0.0.1', 0))
        host, port = receiver.getsockname()
        reporter = StatsdReporter(world, f'{host}:{port}', 1)
        world.counters['call.arrived'] += 10_000
        reporter.flush()
        first = receiver.recv(65_536).decode().splitlines()
        self.assertIn('figlane.node-a.call.arrived:10000|c', first)
        self.assertIn('figlane.node-a.calls.open:0|g', first)
        world.counters['call.arrived'] += 2
        reporter.flush()
        second = receiver.recv(65_536).decode().splitlines()
        self.assertIn('figlane.node-a.call.arrived:2|c', second)
        reporter.flush()
        third = receiver.recv(65_536).decode()
        self.assertNotIn('call.arrived', third)
        receiver.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            self.fail(f'unexpected datagram: {receiver.recv(65_536)!r}')


def _world() -> World:
    return World(Identity('node-a', 'domain-a', 1), random.Random(1))


def _incremented_counters() -> Iterator[str]:
    for path in _PACKAGE.glob('**/*.py'):
        yield from _COUNTER.findall(path.read_text(encoding='utf-8'))

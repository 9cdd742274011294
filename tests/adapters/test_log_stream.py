"""Tests of the log stream: it never blocks and limits its output."""

from __future__ import annotations

import json
import os
import threading
import time
import unittest

from figlane.adapters.log_stream import LogStream

_LINE = 'x' * 99 + '\n'


class LogStreamTest(unittest.TestCase):
    """Log stream that writes to a pipe."""

    def setUp(self) -> None:
        """Open the pipe and the stream."""
        reader, writer = os.pipe()
        self.addCleanup(os.close, writer)
        self.addCleanup(os.close, reader)
        self.reader = reader
        self.stream = LogStream(writer)

    def test_stalled_reader_drops_lines(self) -> None:
        """Lines that a stalled reader does not read are dropped and counted."""
        for _ in range(10_000):
            self.stream.write(_LINE)
        received = self._read_all()
        lines = received.decode().splitlines()
        summaries = [json.loads(line) for line in lines if line[0] == '{']
        dropped = sum(row['count']['reader is slow'] for row in summaries)
        self.assertGreater(dropped, 0)
        self.assertEqual(len(lines) - len(summaries) + dropped, 10_000)

    def test_last_lines_wait_for_the_reader(self) -> None:
        """Lines are written to a reader that is slower than the process."""
        self.stream.write('y' * 100_000 + '\n')
        received: list[bytes] = []
        reader = threading.Timer(0.1, self._read_until_newline, [received])
        reader.start()
        self.stream.flush_now(5)
        reader.join()
        self.assertEqual(len(b''.join(received)), 100_001)

    def test_last_lines_do_not_wait_for_ever(self) -> None:
        """The wait for a reader that does not read is bounded."""
        self.stream.write('y' * 100_000 + '\n')
        begun = time.monotonic()
        self.stream.flush_now(0.1)
        self.assertGreater(time.monotonic() - begun, 0.09)
        self.assertLess(time.monotonic() - begun, 2)

    def test_long_line(self) -> None:
        """A line longer than one write is written completely."""
        line = 'y' * 20_000 + '\n'
        self.stream.write(line)
        self.assertEqual(self._read_all().decode(), line)

    def test_rate_limit_per_event(self) -> None:
        """The rate limit of one event does not affect other events."""
        now = 100.0
        allowed = 0
        for _ in range(10):
            allowed += sum(self.stream.allow('a', now) for _ in range(1000))
            now += 1
        self.assertLess(allowed, 900)
        self.assertGreater(allowed, 700)
        self.assertTrue(self.stream.allow('b', now))

    def _read_until_newline(self, received: list[bytes]) -> None:
        while not received or not received[-1].endswith(b'\n'):
            received.append(os.read(self.reader, 65_536))

    def _read_all(self) -> bytes:
        os.set_blocking(self.reader, False)
        received = b''
        while True:
            self.stream.flush_now()
            try:
                received += os.read(self.reader, 65_536)
            except BlockingIOError:
                return received

"""Non-blocking, rate-limited output of log lines to a file descriptor."""

from __future__ import annotations

import asyncio
import json
import os
import select
from collections import Counter, deque

from figlane.clock import current_time

# Buffer size, in bytes, above which further lines are dropped.
_MAX_BUFFERED_BYTES = 262_144
# A writable pipe accepts this many bytes without blocking (POSIX: PIPE_BUF).
_MAX_WRITE_BYTES = 4096
# Flush interval in seconds; batching saves a system call per line.
_FLUSH_SECONDS = 0.1
# Token bucket of each event: refill rate and burst size. Lines above it are
# dropped, and a summary line reports their number. A line takes some tens of
# microseconds, so that a flood of one event uses a few thousandths of a core.
_LINES_PER_SECOND = 50.0
_BURST_LINES = 300.0
_MS_PER_SECOND = 1000


class LogStream:
    """File-like object that buffers lines and writes them without blocking."""

    # structlog holds a weak reference to each stream for its lock.
    __slots__ = (
        '__weakref__',
        '_buffer',
        '_buffered_bytes',
        '_descriptor',
        '_dropped',
        '_is_scheduled',
        '_loop',
        '_poll',
        '_refilled_at',
        '_tokens_by_event',
    )

    def __init__(self, descriptor: int) -> None:
        """Create a stream; until ``attach_loop`` it writes synchronously.

        :param descriptor: open file descriptor, such as standard output.
        """
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._loop: asyncio.AbstractEventLoop | None = None
        self._is_scheduled = False
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped: Counter[str] = Counter()
        self._tokens_by_event: dict[str, float] = {}
        self._refilled_at: float = 0

    def attach_loop(self, loop: asyncio.AbstractEventLoop) -> None:
        """Flush lines periodically from an event loop from now on.

        :param loop: the event loop.
        """
        self._loop = loop

    def allow(self, event: str, now: float) -> bool:
        """Take a token from the event's token bucket.

        :param event: the event name.
        :param now: the present time in seconds.
        :return: False if the event exceeds its rate limit; the line is then
            counted as dropped.
        """
        elapsed = now - self._refilled_at
        if elapsed >= 1:
            self._refilled_at = now
            refilled = elapsed * _LINES_PER_SECOND
            self._tokens_by_event = {
                known: min(_BURST_LINES, remaining + refilled)
                for known, remaining in self._tokens_by_event.items()
            }
        tokens = self._tokens_by_event.get(event, _BURST_LINES)
        if tokens < 1:
            self._dropped[event] += 1
            return False
        self._tokens_by_event[event] = tokens - 1
        return True

    def write(self, text: str) -> None:
        """Buffer a line, or drop and count it if the buffer is full.

        :param text: the line, including its newline.
        """
        line = text.encode()
        if self._buffered_bytes + len(line) > _MAX_BUFFERED_BYTES:
            self._dropped['reader is slow'] += 1
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        if self._loop is None:
            self.flush_now()
        elif not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_later(_FLUSH_SECONDS, self._flush_scheduled)

    def flush(self) -> None:
        """Do nothing, since ``write`` flushes the line or schedules a flush."""

    def flush_now(self, seconds: float = 0) -> None:
        """Write buffered lines until the descriptor would block.

        :param seconds: how long to wait in all for a reader that is slow.
        """
        self._append_drop_summary()
        ends_at = current_time() + seconds
        while self._buffer and self._is_writable(ends_at):
            if not self._write_some():
                return

    def _is_writable(self, ends_at: float) -> bool:
        seconds_left = max(0, ends_at - current_time())
        return bool(self._poll.poll(seconds_left * _MS_PER_SECOND))

    def _write_some(self) -> bool:
        chunk = bytearray()
        while self._buffer and len(chunk) + len(self._buffer[0]) <= (
            _MAX_WRITE_BYTES
        ):
            chunk += self._buffer.popleft()
        if not chunk:
            first = self._buffer.popleft()
            chunk += first[:_MAX_WRITE_BYTES]
            self._buffer.appendleft(first[_MAX_WRITE_BYTES:])
        try:
            written = os.write(self._descriptor, chunk)
        except OSError:
            # The reader has closed its end, so the error cannot be logged.
            self._buffer.clear()
            self._buffered_bytes = 0
            return False
        self._buffered_bytes -= written
        if written < len(chunk):
            self._buffer.appendleft(bytes(chunk[written:]))
        return True

    def _append_drop_summary(self) -> None:
        if not self._dropped:
            return
        line = {'event': 'lines_left_out', 'count': dict(self._dropped)}
        self._dropped.clear()
        encoded = f'{json.dumps(line)}\n'.encode()
        self._buffer.append(encoded)
        self._buffered_bytes += len(encoded)

    def _flush_scheduled(self) -> None:
        self._is_scheduled = False
        self.flush_now()
        if self._buffer and self._loop is not None:
            self._is_scheduled = True
            self._loop.call_later(_FLUSH_SECONDS, self._flush_scheduled)

"""Streaming of a large response body to one caller."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable

from figlane.entities.http import Headers

# Bytes that the caller consumes between two flow control reports to the exit
# node.
_REPORT_INTERVAL_BYTES = 131_072


class CallerStream:
    """Buffer of response chunks that the caller has not consumed yet."""

    __slots__ = (
        '_changed',
        '_chunks',
        '_consumed',
        '_is_ended',
        '_report',
        '_reported',
        'headers',
        'status',
    )

    def __init__(
        self,
        status: int,
        headers: Headers,
        report: Callable[[int], None],
    ) -> None:
        """Create an empty stream.

        :param status: HTTP status code.
        :param headers: the response headers.
        :param report: receives the total number of bytes the caller consumed.
        """
        self.status = status
        self.headers = headers
        self._report = report
        self._chunks: deque[bytes] = deque()
        self._changed = asyncio.Event()
        self._is_ended = False
        self._consumed = 0
        self._reported = 0

    def put(self, chunk: bytes) -> None:
        """Append a chunk of the response body.

        :param chunk: the bytes.
        """
        self._chunks.append(chunk)
        self._changed.set()

    def end(self) -> None:
        """Mark the end of the body; buffered chunks are still delivered."""
        self._is_ended = True
        self._changed.set()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Iterate over the chunks at the pace at which the caller reads.

        :return: the chunks in order.
        """
        while True:
            while self._chunks:
                chunk = self._chunks.popleft()
                yield chunk
                self._report_consumed(len(chunk))
            if self._is_ended:
                return
            self._changed.clear()
            await self._changed.wait()

    def _report_consumed(self, size: int) -> None:
        self._consumed += size
        if self._consumed - self._reported >= _REPORT_INTERVAL_BYTES:
            self._reported = self._consumed
            self._report(self._consumed)

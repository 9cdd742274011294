"""Streaming of a large response body to one caller."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable

from figlane.entities.http import Headers

# Bytes that the caller consumes between two flow control reports to the exit
# node.
_REPORT_BYTES = 131_072


class CallerStream:
    """Buffer of response chunks that the caller has not consumed yet."""

    __slots__ = (
        '_changed',
        '_chunks',
        '_is_ended',
        '_reported',
        '_taken',
        '_tell',
        'headers',
        'status',
    )

    def __init__(
        self,
        status: int,
        headers: Headers,
        tell: Callable[[int], None],
    ) -> None:
        """Create an empty stream.

        :param status: HTTP status code.
        :param headers: the response headers.
        :param tell: receives the total number of bytes the caller consumed.
        """
        self.status = status
        self.headers = headers
        self._tell = tell
        self._chunks: deque[bytes] = deque()
        self._changed = asyncio.Event()
        self._is_ended = False
        self._taken = 0
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
                self._note_taken(len(chunk))
            if self._is_ended:
                return
            self._changed.clear()
            await self._changed.wait()

    def _note_taken(self, size: int) -> None:
        self._taken += size
        if self._taken - self._reported >= _REPORT_BYTES:
            self._reported = self._taken
            self._tell(self._taken)

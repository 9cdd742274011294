"""Messages between exit node and entry node for streamed answers."""

from __future__ import annotations

from dataclasses import dataclass

from figlane.entities.http import Headers


@dataclass(slots=True)
class StreamHead:
    """Starts a streamed answer with its status and headers."""

    call_id: str
    attempt: int
    status: int
    headers: Headers


@dataclass(slots=True)
class StreamChunk:
    """Precedes a chunk, sent as the message body, that starts at ``offset``."""

    call_id: str
    attempt: int
    offset: int


@dataclass(slots=True)
class StreamEnd:
    """Completes an answer; ``checksum`` is the CRC-32 of all its bytes.

    ``retries_left`` is the number of unused retries.
    """

    call_id: str
    attempt: int
    length: int
    checksum: int
    retries_left: int


@dataclass(slots=True)
class StreamCut:
    """Aborts an answer before its end."""

    call_id: str
    attempt: int
    reason: str


@dataclass(slots=True)
class StreamCredit:
    """Reports to the exit node the total of bytes that the caller consumed."""

    call_id: str
    attempt: int
    consumed: int

"""HTTP requests and answers as plain data."""

from __future__ import annotations

from dataclasses import dataclass

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(slots=True)
class Request:
    """A request as it is passed to a backend server.

    ``target`` is the path and query after the service name. ``headers`` include
    neither the caller's API key nor headers that figlane itself defines.
    """

    method: str
    target: str
    headers: Headers
    body: bytes = b''


@dataclass(slots=True)
class Answer:
    """A complete, buffered answer of a backend server."""

    status: int
    headers: Headers
    body: bytes = b''


@dataclass(slots=True)
class StreamedAnswer:
    """Outcome of a call whose complete answer was streamed in chunks."""

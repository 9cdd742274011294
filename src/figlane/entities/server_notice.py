"""What a backend server says of itself in its answers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ServerNotice:
    """What one answer says of the backend server that gave it.

    ``calls_per_second`` is the rate of calls that the server takes from all
    nodes together, None if the answer names none. ``is_leaving`` is set if the
    server is about to stop.
    """

    calls_per_second: float | None = None
    is_leaving: bool = False


@dataclass(slots=True)
class BackendNoticed:
    """Inbox row: an answer to an execution says something of its server."""

    execution_id: str
    notice: ServerNotice


@dataclass(slots=True)
class NamedLimit:
    """Token bucket for the calls to a server that names a limit.

    ``rate`` is in calls per second and ``named_at`` the time of the latest
    answer that named it. The bucket held ``tokens`` at ``refilled_at``.
    """

    rate: float
    named_at: float
    refilled_at: float
    tokens: float = 0

"""Entities of the load generator: sources and their requests."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from figlane.entities.table import NEVER, IdentityHashMixin


@enum.unique
class SourcePhase(IdentityHashMixin, enum.Enum):
    """Whether a source still generates requests."""

    ACTIVE = 'active'
    ENDED = 'over'


@dataclass(slots=True, frozen=True)
class Step:
    """Rate in requests per second, from ``start`` seconds into the load."""

    start: float
    rate: float


@dataclass(slots=True)
class Source:
    """Requests to one path that arrive as a Poisson process.

    ``targets`` are addresses as ``host:port``, one of which is chosen at
    random for each attempt. ``retries`` bounds how often a failed request is
    retried. ``made`` counts the requests so far. ``due`` is the time of the
    next arrival.
    """

    id: str
    targets: tuple[str, ...]
    method: str
    path: str
    steps: tuple[Step, ...]
    key: str = ''
    organisation: str = ''
    importance: int = 0
    within_rate: bool = True
    retries: int = 0
    made: int = 0
    phase: SourcePhase = SourcePhase.ACTIVE
    due: float = NEVER

    def rate_at(self, elapsed: float) -> float:
        """Return the arrival rate at a given time.

        :param elapsed: seconds since the start of the load.
        :return: rate in requests per second.
        """
        rate: float = 0
        for step in self.steps:
            if step.start <= elapsed:
                rate = step.rate
        return rate


@enum.unique
class RequestPhase(IdentityHashMixin, enum.Enum):
    """Whether a request is yet to be sent or is waiting for its answer."""

    DUE = 'due'
    SENT = 'sent'


@enum.unique
class Verdict(enum.Enum):
    """Outcome of a request as the caller sees it.

    ``SUCCESS`` is a complete, successful answer. ``NOT_RUN`` and ``UNKNOWN``
    are refusals by figlane: the call was certainly not executed, or may have
    been. ``FAILED`` covers connection errors, error statuses of the backend
    server, and answers that belong to another request.
    """

    SUCCESS = 'whole'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


@dataclass(slots=True)
class LoadRequest:
    """One request, whose latency is measured from ``intended_at``.

    ``token`` identifies the request at the backend server; retries keep it,
    so that duplicate executions can be counted. ``retry_count`` counts retries.
    """

    id: str
    source: Source
    token: str
    target: str
    intended_at: float
    retry_count: int = 0
    phase: RequestPhase = RequestPhase.DUE
    due: float = NEVER


@dataclass(slots=True)
class RequestEnded:
    """Inbox row: a request has ended.

    ``kind`` is the error kind of a refusal, or else the reason of a failure.
    """

    request_id: str
    ended_at: float
    verdict: Verdict
    kind: str = ''


@dataclass(slots=True)
class SendRequest:
    """Outbox row: a request is to be sent."""

    request: LoadRequest


@dataclass(slots=True)
class SourceCounts:
    """Outcome counts of the requests of one source.

    The counts by second use the second of the intended send time, relative
    to the start of the load.
    """

    made: int = 0
    count_by_verdict: dict[str, int] = field(default_factory=dict)
    count_by_kind: dict[str, int] = field(default_factory=dict)
    made_by_second: dict[int, int] = field(default_factory=dict)
    whole_by_second: dict[int, int] = field(default_factory=dict)
    not_run_tokens: list[str] = field(default_factory=list)

"""Entities of the load generator: sources and their requests."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from figlane.entities.table import NEVER, IdentityHashMixin


@enum.unique
class SourcePhase(IdentityHashMixin, enum.Enum):
    """Whether a source still makes requests."""

    ACTIVE = 'active'
    OVER = 'over'


@dataclass(slots=True, frozen=True)
class Step:
    """From ``start`` seconds after the begin, ``rate`` requests a second."""

    start: float
    rate: float


@dataclass(slots=True)
class Source:
    """Requests of one kind that arrive as a Poisson process.

    ``targets`` are ``host:port`` and are used in turn at random. ``retries``
    is how often a caller repeats a request that failed. ``due`` is the time
    of the next arrival.
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
        """Look up the rate.

        :param elapsed: seconds since the begin.
        :return: requests a second.
        """
        rate: float = 0
        for step in self.steps:
            if step.start <= elapsed:
                rate = step.rate
        return rate


@enum.unique
class RequestPhase(IdentityHashMixin, enum.Enum):
    """Steps of a generated request."""

    DUE = 'due'
    SENT = 'sent'


@enum.unique
class Verdict(enum.Enum):
    """How a request ended for its caller."""

    WHOLE = 'whole'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    FAILED = 'failed'


@dataclass(slots=True)
class LoadRequest:
    """One request; its latency counts from ``intended_at``.

    ``token`` names the work that is asked for; repeats keep it.
    """

    id: str
    source: Source
    token: str
    target: str
    intended_at: float
    repeats: int = 0
    phase: RequestPhase = RequestPhase.DUE
    due: float = NEVER


@dataclass(slots=True)
class RequestEnded:
    """Inbox row: a request has an outcome; ``kind`` is figlane's refusal."""

    request_id: str
    ended_at: float
    verdict: Verdict
    kind: str = ''


@dataclass(slots=True)
class SendRequest:
    """Outbox row: sends a request."""

    request: LoadRequest


@dataclass(slots=True)
class Tally:
    """What became of the requests of one source.

    The lists count whole seconds from the begin, by intended time.
    """

    made: int = 0
    count_by_verdict: dict[str, int] = field(default_factory=dict)
    count_by_kind: dict[str, int] = field(default_factory=dict)
    made_by_second: dict[int, int] = field(default_factory=dict)
    whole_by_second: dict[int, int] = field(default_factory=dict)
    not_run_tokens: list[str] = field(default_factory=list)

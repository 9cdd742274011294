"""Quota state: token buckets of holders and token stocks of entry nodes."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from figlane.entities.charge import ChargeQueue, OwnedBucket, OwnerRing
from figlane.entities.right import KnownHolder, Right
from figlane.entities.table import NEVER, IdentityHashMixin, Table


@dataclass(slots=True)
class OutstandingGrant:
    """Tokens of a grant, which may be unspent until ``until``."""

    count: int
    until: float


@dataclass(slots=True)
class Bucket:
    """A holder's token bucket for one quota.

    ``outstanding_tokens`` counts the granted tokens that have not expired.
    ``level`` plus ``outstanding_tokens`` never exceeds ``capacity``, the
    holder's share of the burst. ``rate`` is in tokens per second.
    """

    id: str
    refilled_at: float
    capacity: float = 0
    rate: float = 0
    level: float = 0
    outstanding_tokens: int = 0
    outstanding_grants: deque[OutstandingGrant] = field(default_factory=deque)


@dataclass(slots=True)
class Batch:
    """Unspent tokens of one grant at an entry node."""

    count: int
    expires_at: float


@dataclass(slots=True, frozen=True)
class WaitingCall:
    """A call that waits for a token, at most until ``until``."""

    call_id: str
    until: float


@dataclass(slots=True, frozen=True)
class PendingRequest:
    """A pending request for ``count`` tokens that was sent to a holder."""

    holder: str
    count: int
    sent_at: float
    expires_at: float


@dataclass(slots=True)
class ReportedBucket:
    """State of one holder's bucket as last reported to an entry node.

    ``level`` and ``capacity`` are in tokens and ``rate`` in tokens per second,
    as reported at ``reported_at``. A holder that did not answer or has no
    rights of the quota gets no request before ``backoff_until``.
    """

    level: float
    capacity: float
    rate: float
    reported_at: float
    backoff_until: float = -NEVER

    def estimated_level(self, now: float) -> float:
        """Estimate the current level of the holder's bucket.

        :param now: the present time in seconds.
        :return: the number of tokens.
        """
        grown = self.level + self.rate * (now - self.reported_at)
        return min(self.capacity, grown)


@enum.unique
class StockPhase(IdentityHashMixin, enum.Enum):
    """Phase of a stock; there is only one."""

    OPEN = 'open'


@dataclass(slots=True)
class Stock:
    """An entry node's cache of tokens for one quota.

    ``batches`` holds the tokens and ``waiting`` the calls that wait for one.
    ``demand`` is the moving average of calls per second, updated at
    ``demand_at``. ``is_exhausted`` means that the holders are estimated to have
    fewer tokens than the waiting calls need. ``last_answer_at`` is when a
    holder last answered.
    """

    id: str
    service_id: str
    organisation_id: str
    batches: deque[Batch] = field(default_factory=deque)
    waiting: deque[WaitingCall] = field(default_factory=deque)
    pending_by_id: dict[str, PendingRequest] = field(default_factory=dict)
    bucket_by_holder: dict[str, ReportedBucket] = field(default_factory=dict)
    last_answer_at: float = -NEVER
    demand: float = 0
    demand_at: float = -NEVER
    is_exhausted: bool = False
    phase: StockPhase = StockPhase.OPEN
    due: float = NEVER


@enum.unique
class TimerPhase(IdentityHashMixin, enum.Enum):
    """Phase of a timer; there is only one."""

    SET = 'set'


@dataclass(slots=True)
class Timer:
    """A periodic job, next run at ``due``."""

    id: str
    phase: TimerPhase = TimerPhase.SET
    due: float = NEVER


@dataclass(slots=True)
class QuotaState:
    """All state of a node that concerns quotas.

    ``bucket_by_id`` holds the token buckets by quota. Under the ``owner``
    policy, ``charge_queues`` holds the calls that wait for a charge,
    ``owned_buckets`` the buckets that this node is in charge of,
    ``owner_ring`` the members that may own one, and ``silent_until_by_node``
    the members that did not answer, with the time until which they are passed
    over. ``last_charge_id`` numbers the requests.
    ``preferred_holder_by_right`` holds the member that should hold each right,
    ``holder_by_right`` the last known holder, and ``candidate_ids`` the members
    among which the preferred holders were chosen.
    ``is_leaving`` means that this node releases its rights and takes no more.
    """

    rights: Table[Right] = field(default_factory=Table)
    stocks: Table[Stock] = field(default_factory=Table)
    timers: Table[Timer] = field(default_factory=Table)
    bucket_by_id: dict[str, Bucket] = field(default_factory=dict)
    charge_queues: Table[ChargeQueue] = field(default_factory=Table)
    owned_buckets: Table[OwnedBucket] = field(default_factory=Table)
    owner_ring: OwnerRing = field(default_factory=OwnerRing)
    silent_until_by_node: dict[str, float] = field(default_factory=dict)
    last_charge_id: int = 0
    preferred_holder_by_right: dict[str, str] = field(default_factory=dict)
    holder_by_right: dict[str, KnownHolder] = field(default_factory=dict)
    candidate_ids: tuple[str, ...] = ()
    is_leaving: bool = False

    @property
    def tables(self) -> tuple[Table[Any], ...]:
        """List the tables that the world schedules.

        :return: the tables, each of which may have rows with a due time.
        """
        return (
            self.rights,
            self.stocks,
            self.timers,
            self.charge_queues,
            self.owned_buckets,
        )

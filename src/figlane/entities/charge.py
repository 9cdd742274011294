"""State of quotas that one member, the owner, keeps for the whole fleet."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field

from figlane.entities.quota_messages import ChargeRequest
from figlane.entities.table import NEVER, IdentityHashMixin


@enum.unique
class ChargeQueuePhase(IdentityHashMixin, enum.Enum):
    """Phase of a charge queue; there is only one."""

    OPEN = 'open'


@dataclass(slots=True)
class OpenCharge:
    """A request to an owner without an answer so far.

    ``call_ids`` are the calls that it is for, in the order of their arrival.
    """

    request_id: int
    node_id: str
    sent_at: float
    call_ids: list[str]


@dataclass(slots=True)
class ChargeQueue:
    """Calls of one organisation that wait for a charge at an entry node.

    ``id`` is the organisation's id. ``waiting`` holds ids of calls that no
    request covers yet. ``redirected_to`` is the owner that the last answer
    named, and ``redirects`` counts such answers since the last decision.
    """

    id: str
    waiting: deque[str] = field(default_factory=deque)
    request: OpenCharge | None = None
    redirected_to: str = ''
    redirects: int = 0
    phase: ChargeQueuePhase = ChargeQueuePhase.OPEN
    due: float = NEVER


@enum.unique
class OwnedBucketPhase(IdentityHashMixin, enum.Enum):
    """How far a node is in charge of an organisation's bucket.

    ``UNCLAIMED``: it is not. ``CLAIMING``: it has asked the members that may
    hold the bucket to release it. ``OWNED``: it charges calls.
    """

    UNCLAIMED = 'unclaimed'
    CLAIMING = 'claiming'
    OWNED = 'owned'


@dataclass(slots=True)
class Requester:
    """An entry node that asks for charges.

    ``asked_at`` is the time of its latest request, and ``mean_gap`` the moving
    average of the seconds between its requests, 0 after only one.
    """

    asked_at: float
    mean_gap: float = 0


@dataclass(slots=True)
class OwnedBucket:
    """The token bucket of one organisation; ``id`` is the organisation's id.

    ``created_at`` is when this node began to fill it without knowing its level,
    ``-NEVER`` if that was received from the member that held it.
    ``waiting_requests`` holds the requests, by requester, that arrived during a
    claim. ``is_held`` means that no other member has claimed the bucket since
    this node charged calls to it; the node may no longer be the owner.
    ``claimed_from`` holds the members that were asked to release it, and
    ``awaited`` those of them that have not answered. ``claimant`` is the member
    that claimed it during this node's claim, ``claimant_incarnation`` its
    incarnation by that claim.
    ``released_to`` is the member that claimed it from this one last, at
    ``released_at``; ``outdated_incarnation`` is its incarnation in the member
    table if it did not count as alive then and claimed with a later one, and
    else 0.

    While the owner is silent, its successor charges calls to a second, smaller
    bucket with ``fallback_level``. ``fallback_charged`` counts the calls that
    were let through so, here or at members that were asked for the bucket, and
    that are still to be charged to it. ``requester_by_node`` holds the entry
    nodes that asked lately, and ``has_silent_requester`` tells whether one of
    them had stopped to ask at ``checked_at``.
    """

    id: str
    refilled_at: float
    created_at: float = -NEVER
    level: float = 0
    waiting_requests: list[tuple[str, ChargeRequest]] = field(
        default_factory=list
    )
    is_held: bool = False
    claimed_from: list[str] = field(default_factory=list)
    awaited: set[str] = field(default_factory=set)
    claimant: str = ''
    claimant_incarnation: int = 0
    released_to: str = ''
    released_at: float = -NEVER
    outdated_incarnation: int = 0
    fallback_level: float = 0
    fallback_charged: int = 0
    fallback_refilled_at: float = -NEVER
    requester_by_node: dict[str, Requester] = field(default_factory=dict)
    checked_at: float = -NEVER
    has_silent_requester: bool = False
    phase: OwnedBucketPhase = OwnedBucketPhase.UNCLAIMED
    due: float = NEVER


@dataclass(slots=True)
class OwnerRing:
    """Members on a ring of hash values, for consistent hashing.

    ``points`` holds pairs of hash value and member id, sorted, as of the
    member table's ``revision``.
    """

    revision: int = -1
    points: list[tuple[int, str]] = field(default_factory=list)

"""One feed of all objects from the platform's object store.

Nodes that follow each kind of object separately use ``kind_feed`` instead.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field

from figlane.entities.table import NEVER, IdentityHashMixin

FEED_ID = 'platform'


@enum.unique
class FeedPhase(IdentityHashMixin, enum.Enum):
    """Kind of the open request to the object store, ``IDLE`` without one."""

    IDLE = 'idle'
    READING = 'reading'
    WATCHING = 'watching'


@dataclass(slots=True)
class Feed:
    """State of the feed; the table has this one row.

    ``revision`` is the revision from which the next watch continues and
    ``listed_revision`` that of the newest complete listing. ``current_at`` is
    the latest time up to which all accepted changes are known to be in this
    node's tables, by an answer of the object store or of a peer.
    ``requested_at`` is the start of the latest request and ``next_read_at`` the
    time of the next complete read. ``failures`` counts the requests that
    failed since the last answer.
    """

    id: str = FEED_ID
    revision: int = 0
    listed_revision: int = 0
    current_at: float = -math.inf
    requested_at: float = 0
    next_read_at: float = 0
    failures: int = 0
    phase: FeedPhase = FeedPhase.IDLE
    due: float = NEVER


@dataclass(slots=True)
class ConfigurationExchange:
    """State of the comparisons of the configuration with peers.

    ``asked_at`` is the time of the latest question, ``answered_at`` that of the
    latest question that was answered, and ``next_at`` that of the next one.
    ``misses`` counts the rounds of questions without an answer since then.
    ``requested_version`` is the version of the whole configuration that was
    requested from a peer at ``requested_at``. ``asked_id`` is the peer of the
    latest question that went to only one, and ``silent_id`` the last such peer
    that left one unanswered, or that does not reach the store. The process was
    last resumed from a pause at ``resumed_at``; until ``confirm_by``, calls
    wait for the confirmation that ``version_at_pause`` is still in force.
    """

    asked_at: float = -NEVER
    answered_at: float = -NEVER
    next_at: float = -NEVER
    misses: int = 0
    requested_version: int = 0
    requested_at: float = -NEVER
    asked_id: str = ''
    silent_id: str = ''
    resumed_at: float = -NEVER
    confirm_by: float = -NEVER
    version_at_pause: int = 0


@dataclass(slots=True)
class ObjectsListed:
    """Inbox row: all objects were read; an unlisted one does not exist.

    The listing is complete up to ``revision``; ``names`` holds the kind and
    the name of each object.
    """

    revision: int
    names: frozenset[tuple[str, str]] = field(default_factory=frozenset)


@dataclass(slots=True)
class ObjectsWatched:
    """Inbox row: a watch ended; all changes up to ``revision`` precede it."""

    revision: int


@dataclass(slots=True)
class PlatformFailed:
    """Inbox row: a read or a watch failed."""

    reason: str


@dataclass(slots=True)
class ReadObjects:
    """Outbox row: reads all objects from the platform's object store."""


@dataclass(slots=True)
class WatchObjects:
    """Outbox row: watches the platform's object store for later changes.

    The watch ends with the first changes after ``revision``, at the latest
    after ``seconds``.
    """

    revision: int
    seconds: float

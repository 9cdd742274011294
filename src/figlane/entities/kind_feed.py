"""Feeds from the platform's object store, one for each kind of object."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from figlane.entities.table import NEVER, IdentityHashMixin


@enum.unique
class KindFeedPhase(IdentityHashMixin, enum.Enum):
    """State of a feed.

    ``UNREAD``: a complete read is needed. ``READING``: the read is open.
    ``READ``: the next watch is scheduled. ``WATCHING``: the watch is open.
    """

    UNREAD = 'unread'
    READING = 'reading'
    READ = 'read'
    WATCHING = 'watching'


@dataclass(slots=True)
class KindFeed:
    """Feed of one kind of object; ``id`` is the kind.

    ``pause`` is the time in seconds between an answer and the next watch.
    ``revision`` is the revision from which the next watch continues.
    ``failures`` counts the requests that failed since the last answer.
    ``answered_at`` is the time of the store's last answer for this kind, and
    ``asked_at`` that of the last request.
    Nothing is requested before ``first_at``. Until ``alone_at``, a node that is
    not a watcher waits for a peer to send the objects. ``is_followed`` is set
    while this node follows the kind in the store by itself.
    """

    id: str
    pause: float = 0
    first_at: float = -NEVER
    alone_at: float = -NEVER
    is_followed: bool = False
    revision: int = 0
    failures: int = 0
    answered_at: float = -NEVER
    asked_at: float = -NEVER
    phase: KindFeedPhase = KindFeedPhase.UNREAD
    due: float = NEVER


@dataclass(slots=True)
class StoreCheck:
    """State of this node's checks whether the store answers it.

    ``asked_at`` is the time of the latest check and ``answered_at`` that of
    the latest one that was answered. ``is_silent`` is set from the first check
    without an answer until the next answer. Until ``deputy_until``, this node
    follows the store in place of a watcher that gets no answers.
    """

    asked_at: float = -NEVER
    answered_at: float = -NEVER
    is_silent: bool = False
    deputy_until: float = -NEVER


@dataclass(slots=True)
class CheckStore:
    """Outbox row: makes the cheapest request that the store answers at once.

    ``asked_at`` identifies the check, and ``seconds`` is its time-out.
    """

    asked_at: float
    seconds: float


@dataclass(slots=True)
class StoreChecked:
    """Inbox row: the store has answered a check, or not in time."""

    asked_at: float
    is_answered: bool


@dataclass(slots=True)
class FollowKinds:
    """Inbox row: starts the feeds of these kinds.

    ``pause`` is the time in seconds between an answer of the store and the
    next watch. Changes made during the pause are fetched by one request.
    ``delay`` is the time in seconds before the first request, and ``patience``
    that for which a node that is not a watcher waits for its peers after it.
    """

    kinds: tuple[str, ...]
    pause: float = 0
    delay: float = 0
    patience: float = 0


@dataclass(slots=True)
class ReadKind:
    """Outbox row: reads all objects of a kind from the store.

    With ``allow_stale`` the store may answer with a state that is some seconds
    old.
    """

    kind: str
    allow_stale: bool = False


@dataclass(slots=True)
class WatchKind:
    """Outbox row: watches the store for later changes of a kind.

    The watch starts after ``revision`` and lasts at most ``seconds``.
    """

    kind: str
    revision: int
    seconds: float


@dataclass(slots=True)
class KindListed:
    """Inbox row: all objects of a kind were read; an unlisted one is deleted.

    ``version`` is higher than the version of each listed object.
    """

    kind: str
    revision: int
    version: int
    names: frozenset[str] = field(default_factory=frozenset)


@dataclass(slots=True)
class KindWatched:
    """Inbox row: a watch ended; all changes up to ``revision`` precede it."""

    kind: str
    revision: int


@dataclass(slots=True)
class KindFailed:
    """Inbox row: a read or a watch failed.

    ``is_history_lost`` is True if the store no longer keeps the changes after
    the requested revision, so that a complete read is needed.
    """

    kind: str
    reason: str
    is_history_lost: bool = False

"""Minting rights: leases that one node at a time holds.

A right covers a part of the rate and burst of every quota that is mapped to
it. Its holder mints the tokens of that part.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from figlane.entities.table import NEVER, IdentityHashMixin


@dataclass(slots=True, frozen=True)
class FormerHolder:
    """A former holder that may still mint ``share`` of a right.

    It lost the right without releasing it, for example in a network partition.
    """

    holder: str
    incarnation: int
    share: float


@dataclass(slots=True, frozen=True)
class KnownHolder:
    """The holder of a right at ``version`` of the right's object."""

    holder: str
    version: int


@dataclass(slots=True, frozen=True)
class RightRecord:
    """The content of a right's object in the platform's object store.

    ``holder`` is empty if the right was released. ``incarnation`` is the
    holder's, and ``sequence`` numbers the writes of one holder. ``orphans`` are
    former holders that may still mint; the holder's share is what they leave.
    """

    holder: str
    incarnation: int
    sequence: int
    orphans: tuple[FormerHolder, ...] = ()

    @property
    def share(self) -> float:
        """Compute the holder's share of the right.

        :return: the share, from 0 to 1.
        """
        return 1 - sum(former.share for former in self.orphans)


@enum.unique
class RightPhase(IdentityHashMixin, enum.Enum):
    """State of a right at this node.

    ``RELEASED`` means that this node has stopped minting but the object store
    has not yet confirmed the release.
    """

    OBSERVED = 'observed'
    HELD = 'held'
    RELEASED = 'released'


@dataclass(slots=True)
class Right:
    """One right as this node knows it; ``id`` is the object's name.

    ``record`` is the object at ``version`` (-1 if unknown), first seen at
    ``observed_at`` (negative until that version has been applied) and last read
    at ``read_at``. ``renewed_at`` is when this holder sent its last confirmed
    write, and ``minting_starts_at`` when it may begin to mint. ``last_written``
    is the record sent last, at ``last_write_at``; ``is_creating`` is set if it
    creates the object, so that nobody has held the right before. ``request_id``
    is the pending
    read or write, sent at ``request_sent_at``. ``is_stale`` means that the
    object has to be read before it can be written.
    ``release_to`` is the member to notify of the release of the right.
    ``former_holder_seen_at`` is when each former holder was first seen, by
    holder and incarnation. Times are in seconds.
    """

    id: str
    version: int = -1
    record: RightRecord | None = None
    observed_at: float = NEVER
    read_at: float = -NEVER
    renewed_at: float = -NEVER
    minting_starts_at: float = NEVER
    sequence: int = 0
    last_written: RightRecord | None = None
    last_write_at: float = -NEVER
    is_creating: bool = False
    request_id: str = ''
    request_sent_at: float = -NEVER
    is_stale: bool = True
    release_to: str = ''
    former_holder_seen_at: dict[tuple[str, int], float] = field(
        default_factory=dict
    )
    phase: RightPhase = RightPhase.OBSERVED
    due: float = NEVER


@dataclass(slots=True)
class ReleaseRights:
    """Inbox row: release all rights before a planned stop of this node."""

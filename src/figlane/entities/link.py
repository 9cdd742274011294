"""Links to other nodes, and inbox and outbox rows about their connections."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any

from figlane.entities.table import NEVER, IdentityHashMixin


@enum.unique
class LinkPhase(IdentityHashMixin, enum.Enum):
    """State of the connection to a node.

    ``SILENT``: no pong arrived within the timeout; the connection was replaced.
    """

    CLOSED = 'closed'
    OPENING = 'opening'
    OPEN = 'open'
    SILENT = 'silent'


@dataclass(slots=True)
class Link:
    """The connection to one node; ``id`` is the node's id.

    ``address`` is the reply address that the node sent. ``epoch`` is the epoch
    of the node's ledger, 0 if unknown; the calls of ``handshake_call_ids`` wait
    for it. ``incarnation`` is the member's at the time when the epoch was last
    requested. ``open_call_ids`` are the calls sent to the node that have not
    ended. ``is_used`` is True if a message was sent since the last idle check.

    ``unanswered_since`` is the time of the oldest ping without a pong since the
    connection was replaced at ``replaced_at``, ``silent_since`` that of the
    oldest one over all connections; both are 0 if each ping has had its pong.
    ``pinged_at`` is the time of the latest ping and ``checked_at`` that of the
    latest check. ``replacements`` counts consecutive replacements.

    ``clock_offset`` is the smallest difference seen between this node's clock
    and the send time of the node's messages, updated at ``offset_at``. It
    holds for the node's ledger epoch ``clock_epoch``.
    """

    id: str
    address: str = ''
    epoch: int = 0
    incarnation: int = 0
    open_call_ids: set[str] = field(default_factory=set)
    handshake_call_ids: set[str] = field(default_factory=set)
    is_used: bool = False
    unanswered_since: float = 0
    pinged_at: float = 0
    checked_at: float = 0
    silent_since: float = 0
    replaced_at: float = 0
    replacements: int = 0
    clock_offset: float | None = None
    offset_at: float = 0
    clock_epoch: int = 0
    phase: LinkPhase = LinkPhase.CLOSED
    due: float = NEVER


@dataclass(slots=True)
class ReplaceConnection:
    """Outbox row: drops the connection to a node.

    The next message to the node opens another one.
    """

    node_id: str


@dataclass(slots=True)
class CloseConnection:
    """Outbox row: closes the connection to a node."""

    node_id: str


@dataclass(slots=True)
class PeerSendFailed:
    """Inbox row: a message could not be written to a node's connection."""

    node_id: str
    message: Any

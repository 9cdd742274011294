"""Graceful shutdown of a node, and the messages between core and adapters."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from figlane.entities.table import NEVER, IdentityHashMixin

DRAIN_ID = 'departure'


@enum.unique
class DrainPhase(IdentityHashMixin, enum.Enum):
    """Phases of a graceful shutdown."""

    DRAINING = 'draining'
    DRAINED = 'drained'


@dataclass(slots=True)
class NodeDrain:
    """State of a draining node; the table is empty unless the node drains.

    ``ends_by`` is the time at which the drain ends even if work is left.
    ``idle_since`` is the time at which the last work ended. ``stops_process``
    tells whether the process exits after the drain, and ``accepts_root_calls``
    whether root calls are accepted until then. ``is_reported`` is set once the
    adapters have been notified that the process exits.
    """

    began_at: float
    ends_by: float
    stops_process: bool
    accepts_root_calls: bool = False
    idle_since: float = NEVER
    is_reported: bool = False
    id: str = DRAIN_ID
    phase: DrainPhase = DrainPhase.DRAINING
    due: float = NEVER


@dataclass(slots=True)
class DrainRequested:
    """Request to drain the node for at most ``seconds``.

    With ``accepts_root_calls`` the node accepts root calls until the drain
    ends, since callers that hold a connection cannot switch to another node.
    """

    seconds: float
    stops_process: bool
    accepts_root_calls: bool = False


@dataclass(slots=True)
class DrainEndRequested:
    """Request to end the drain of a node that stops without further wait."""


@dataclass(slots=True)
class NodeDraining:
    """Notifies the adapters that callers should open no new connections."""


@dataclass(slots=True)
class NodeDrained:
    """Notifies the adapters that the drain has ended and the process exits."""

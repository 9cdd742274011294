"""Graceful shutdown of a node, and the messages between core and adapters."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from figlane.entities.table import NEVER, PhaseHash

DEPARTURE_ID = 'departure'


@enum.unique
class DeparturePhase(PhaseHash, enum.Enum):
    """Phases of a graceful shutdown."""

    DRAINING = 'draining'
    DRAINED = 'drained'


@dataclass(slots=True)
class Departure:
    """State of a draining node; the table is empty unless the node drains.

    ``ends_by`` is the time at which the drain ends even if work is left.
    ``idle_since`` is the time at which the last work ended. ``exits`` tells
    whether the process exits after the drain, and ``keeps_callers`` whether
    root calls are accepted until then.
    """

    began_at: float
    ends_by: float
    exits: bool
    keeps_callers: bool = False
    idle_since: float = NEVER
    id: str = DEPARTURE_ID
    phase: DeparturePhase = DeparturePhase.DRAINING
    due: float = NEVER


@dataclass(slots=True)
class LeaveRequested:
    """Request to drain the node for at most ``seconds``.

    With ``keeps_callers`` the node accepts root calls until the drain ends,
    since callers that hold a connection cannot switch to another node.
    """

    seconds: float
    exits: bool
    keeps_callers: bool = False


@dataclass(slots=True)
class NodeDraining:
    """Notifies the adapters that callers should open no new connections."""


@dataclass(slots=True)
class NodeDrained:
    """Notifies the adapters that the drain of a node that exits has ended."""

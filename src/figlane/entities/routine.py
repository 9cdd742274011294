"""Routines: periodic background work of a node."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from figlane.entities.table import NEVER, IdentityHashMixin


@enum.unique
class RoutinePhase(IdentityHashMixin, enum.Enum):
    """The only phase of a routine; rows of a table must have a phase."""

    WAITING = 'waiting'


@dataclass(slots=True)
class Routine:
    """A scheduled routine; ``id`` is its key in the registry of routines."""

    id: str
    phase: RoutinePhase = RoutinePhase.WAITING
    due: float = NEVER

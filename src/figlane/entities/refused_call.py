"""Refused calls that a node retains for diagnosis."""

from __future__ import annotations

from dataclasses import dataclass

from figlane.entities.table import NEVER
from figlane.errors import ErrorKind


@dataclass(slots=True)
class RefusedCall:
    """A refused call; its phase is the error kind of the refusal."""

    id: str
    phase: ErrorKind
    detail: str
    service_id: str
    organisation_id: str
    due: float = NEVER

"""Flows of the fair queue, one per organisation and importance."""

from __future__ import annotations

import enum
from collections import deque
from dataclasses import dataclass, field

from figlane.entities.execution import Execution
from figlane.entities.table import NEVER, IdentityHashMixin


@enum.unique
class FlowPhase(IdentityHashMixin, enum.Enum):
    """Whether a flow has queued executions."""

    IDLE = 'idle'
    BACKLOGGED = 'backlogged'


@dataclass(slots=True)
class Flow:
    """One flow of WF2Q+ (Bennett and Zhang, 1997), with calls of length 1.

    ``virtual_start`` is the virtual start time of its next execution; each
    start adds the inverse of ``weight``. ``count`` is the number of queued
    executions. ``by_sort_key`` is a heap of (sort key, sequence, execution),
    and ``arrivals`` holds the same executions in the order of arrival. Both
    are cleaned lazily and may hold executions that are no longer queued.
    """

    id: str
    importance: int
    weight: float
    virtual_start: float = 0
    count: int = 0
    sequence: int = 0
    by_sort_key: list[tuple[float, int, Execution]] = field(
        default_factory=list,
    )
    arrivals: deque[Execution] = field(default_factory=deque)
    phase: FlowPhase = FlowPhase.IDLE
    due: float = NEVER


@dataclass(slots=True, frozen=True)
class Placement:
    """Place of an execution: its flow, and its order within the flow.

    Higher ``importance`` is started first and shed last. Within a flow, lower
    ``sort_key`` is started first.
    """

    importance: int
    organisation_id: str
    weight: float
    sort_key: float

"""Retry budget of one service and importance at one node."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from figlane.entities.table import NEVER, IdentityHashMixin


@enum.unique
class RetryBudgetPhase(IdentityHashMixin, enum.Enum):
    """The only phase of a retry budget."""

    OPEN = 'open'


@dataclass(slots=True)
class RetryBudget:
    """Retries that this node may make for one service and importance.

    ``id`` consists of both. The budget is created full at their first call.
    Each first attempt adds a fraction to ``balance`` and each retry takes one
    from it.
    """

    id: str
    balance: float
    phase: RetryBudgetPhase = RetryBudgetPhase.OPEN
    due: float = NEVER

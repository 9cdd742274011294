"""State of a node's ledger apart from the executions themselves."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field


@dataclass(slots=True)
class WitnessedKey:
    """A claimed idempotency key; ``claimant`` is a node id and ledger epoch."""

    claimant: tuple[str, int]
    claimed_at: float


@dataclass(slots=True)
class Ledger:
    """Epoch, size and key indexes of the ledger.

    ``epoch`` is drawn at random after each process start and is 0 before; a
    ledger of another epoch has no entries of this one. ``kept_answers`` holds
    the ids of recorded executions with the sizes of their answers, the oldest
    first, and ``kept_bytes`` is the sum of the sizes. ``execution_by_key`` maps
    ledger keys (digests of idempotency keys) to execution ids.
    ``witnessed_by_key`` holds the ledger keys claimed by other nodes, the
    oldest first.
    """

    epoch: int = 0
    kept_answers: deque[tuple[str, int]] = field(default_factory=deque)
    kept_bytes: int = 0
    execution_by_key: dict[str, str] = field(default_factory=dict)
    witnessed_by_key: dict[str, WitnessedKey] = field(default_factory=dict)

"""Messages between nodes on calls with an idempotency key."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class KeyClaim:
    """Asks the witness to record that the sender is about to run a key.

    ``key`` is the digest of service, organisation and idempotency key;
    ``epoch`` is the ledger epoch of the sender.
    """

    key: str
    call_id: str
    attempt: int
    epoch: int


@dataclass(slots=True)
class KeyClaimed:
    """Reply to a claim; ``is_known`` if another claimant has used the key."""

    key: str
    call_id: str
    attempt: int
    is_known: bool

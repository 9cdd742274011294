"""Messages between nodes on calls with an idempotency key."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class KeyClaim:
    """Request to the witness to record a key whose call is about to run.

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

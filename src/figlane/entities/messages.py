"""Call messages between nodes; their codec is in ``figlane.wire``."""

from __future__ import annotations

from dataclasses import dataclass, field

from figlane.entities.http import Headers


@dataclass(slots=True)
class CallRequest:
    """Request that offers one attempt of a call to an exit node.

    ``budget_ms`` is the time from ``sent_at`` until the deadline in
    milliseconds; ``sent_at`` is in seconds of the sender's clock. ``answer_ms``
    is how long after the deadline the sender still waits for an answer that the
    backend server gives at the deadline.
    ``retries_left`` is the share of the root call's retries that child calls
    of this attempt may use. ``epoch`` is the receiver's ledger epoch as known
    to the sender, 0 if unknown; ``sender_epoch`` is the sender's own.
    ``reply_address`` is the ``host:port`` of the sender.
    """

    call_id: str
    attempt: int
    service_id: str
    organisation_id: str
    importance: int
    idempotent: bool
    depth: int
    budget_ms: float
    retries_left: int
    method: str
    target: str
    headers: Headers
    trace_parent: str = ''
    idempotency_key: str = ''
    sent_at: float = 0
    epoch: int = 0
    sender_epoch: int = 0
    reply_address: str = ''
    answer_ms: float = 0


@dataclass(slots=True)
class Load:
    """Load report of an exit node, piggybacked on its replies.

    ``outstanding`` counts its running and queued calls, ``limit`` is its
    concurrency limit and ``refused_part`` the fraction of recent calls that
    its backend server itself refused.
    """

    outstanding: int = 0
    limit: int = 0
    refused_part: float = 0


@dataclass(slots=True)
class CallAnswer:
    """Answer to an attempt, sent back to the entry node.

    ``length`` and ``checksum`` (CRC-32) are those of the body.
    ``queue_seconds`` and ``backend_seconds`` are the times that the call spent
    in the exit node's queue and at the backend server.
    """

    call_id: str
    attempt: int
    status: int
    headers: Headers
    length: int
    checksum: int
    retries_left: int
    load: Load = field(default_factory=Load)
    queue_seconds: float = 0
    backend_seconds: float = 0


@dataclass(slots=True)
class CallRefusal:
    """Refusal of an attempt, sent back to the entry node.

    ``has_reached`` is set if the backend server itself refused it.
    """

    call_id: str
    attempt: int
    kind: str
    detail: str
    retries_left: int
    load: Load = field(default_factory=Load)
    has_reached: bool = False


@dataclass(slots=True)
class CallCancel:
    """Cancellation of an attempt whose result is no longer needed."""

    call_id: str
    attempt: int

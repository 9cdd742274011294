"""Calls as entities of their entry node."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from figlane.entities.http import Answer, Request, StreamedAnswer
from figlane.entities.service import Route
from figlane.entities.span import Span
from figlane.entities.table import NEVER, IdentityHashMixin
from figlane.errors import Refusal


@enum.unique
class CallPhase(IdentityHashMixin, enum.Enum):
    """Phases of a call at its entry node."""

    ARRIVED = 'arrived'
    IDENTIFIED = 'identified'
    AWAITING_QUOTA = 'awaiting-quota'
    ROUTABLE = 'routable'
    WAITING = 'waiting'
    SENT = 'sent'
    FINISHED = 'finished'


@dataclass(slots=True)
class Call:
    """One call, from its arrival at the entry node to the reply.

    A call with a ``host`` is routed by host and path, which set its
    ``service_id``; one without names its service. ``caller_timeout`` is how
    many seconds its caller waits, and ``deadline`` a time in seconds.
    ``retries_left`` is the number of retries left to a root call; a child call
    uses those of its parent's execution. ``parent_id`` is the execution on this
    node whose backend server made this call, and ``child_key`` identifies
    repeats of the call by that server. ``node_id`` is the exit node of the
    current attempt, ``node_epoch`` the ledger epoch that the attempt is for,
    and ``last_sent_at`` the time of the last request or query sent for it.
    ``is_in_handshake`` is set while the call waits for the ledger epoch of
    ``node_id``. ``ledger_key`` is the digest of service, organisation and
    idempotency key. ``may_have_run`` is set once an attempt has ended without a
    promise that it did not run.
    """

    id: str
    service_id: str
    request: Request
    arrived_at: float
    key_hash: str = ''
    context_token: str = ''
    idempotency_key: str = ''
    ledger_key: str = ''
    trace_parent: str = ''
    route: Route | None = None
    organisation_id: str = ''
    importance: int = 0
    depth: int = 0
    deadline: float = NEVER
    retries_left: int = 0
    parent_id: str = ''
    child_key: str = ''
    attempt: int = 0
    node_id: str = ''
    node_epoch: int = 0
    last_sent_at: float = 0
    tried_node_ids: set[str] = field(default_factory=set)
    backoffs: int = 0
    is_in_handshake: bool = False
    may_have_run: bool = False
    last_refusal: Refusal | None = None
    span: Span | None = None
    outcome: Answer | Refusal | StreamedAnswer | None = None
    host: str = ''
    caller_timeout: float = NEVER
    phase: CallPhase = CallPhase.ARRIVED
    due: float = NEVER

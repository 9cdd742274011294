"""Executions of calls at the exit node, which are also its ledger entries."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from figlane.entities.http import Answer, Request, StreamedAnswer
from figlane.entities.span import Span
from figlane.entities.table import NEVER, IdentityHashMixin
from figlane.errors import Refusal


@enum.unique
class ExecutionPhase(IdentityHashMixin, enum.Enum):
    """Phases of an execution; a call has at most one execution at a node."""

    KEYED = 'keyed'
    CLAIMING = 'claiming'
    QUEUED = 'queued'
    RUNNING = 'running'
    ANSWERED = 'answered'
    REFUSED = 'refused'
    RECORDED = 'recorded'


@dataclass(slots=True)
class Execution:
    """One call at the exit node, kept after its end as a ledger entry.

    ``id`` is the call's id and ``entry_node_id`` its entry node. The backend
    server sends ``context_token`` with its child calls while the execution
    runs. An execution that runs at its ``deadline`` may be answered for
    ``answer_seconds`` more. ``retries_left`` is the number of retries that the
    child calls share. ``ledger_key`` is the digest of service, organisation and
    idempotency key, empty for a call that is not deduplicated by key.
    ``open_child_keys`` holds the child calls without a successful answer yet.
    ``flow_id`` is the flow in which the execution is queued, empty if it is in
    none. ``child_intervals`` holds the times of arrival and end of the finished
    child calls.
    """

    id: str
    attempt: int
    entry_node_id: str
    service_id: str
    organisation_id: str
    importance: int
    idempotent: bool
    depth: int
    deadline: float
    retries_left: int
    request: Request
    queued_at: float
    context_token: str = ''
    trace_parent: str = ''
    backend_server_id: str = ''
    ledger_key: str = ''
    open_child_keys: set[str] = field(default_factory=set)
    child_call_ids: set[str] = field(default_factory=set)
    started_at: float = 0
    ended_at: float = 0
    flow_id: str = ''
    child_intervals: list[tuple[float, float]] = field(default_factory=list)
    answer_seconds: float = 0
    outcome: Answer | Refusal | StreamedAnswer | None = None
    span: Span | None = None
    phase: ExecutionPhase = ExecutionPhase.QUEUED
    due: float = NEVER

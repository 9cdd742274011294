"""Outbox rows: commands from the systems that adapters execute."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from figlane.entities.http import Answer, Headers, Request, StreamedAnswer
from figlane.entities.span import Span
from figlane.errors import Refusal


@dataclass(slots=True)
class AnswerCaller:
    """Sends the final response to a caller.

    If a streamed answer has been started, ``StreamedAnswer`` completes it,
    and a refusal closes the caller's connection, because the status line has
    already been sent.
    """

    call_id: str
    outcome: Answer | Refusal | StreamedAnswer


@dataclass(slots=True)
class SendToPeer:
    """Sends a message, with an optional body, to another node."""

    node_id: str
    address: str
    message: Any
    body: bytes = b''


@dataclass(slots=True)
class RunOnBackend:
    """Sends a request to the backend server; ``timeout`` is in seconds.

    ``connections`` is the server's limit on open connections.
    ``context_token`` identifies this execution: the backend server sends it
    with the calls that it makes itself, which become child calls.
    """

    execution_id: str
    backend_server_id: str
    attempt: int
    address: str
    connections: int
    request: Request
    timeout: float
    organisation_id: str
    context_token: str
    trace_parent: str


@dataclass(slots=True)
class CancelOnBackend:
    """Cancels a running request by closing its connection."""

    execution_id: str


@dataclass(slots=True)
class CheckBackend:
    """Runs a health check on a backend server.

    The result is delivered to the inbox as ``BackendChecked``.
    """

    instance_id: str
    born: int
    address: str
    path: str


@dataclass(slots=True)
class WriteObject:
    """Writes an object to the platform's object store, or deletes it.

    ``entity`` is the new content; None deletes the object. ``if_version`` is
    the version that the object must have for the write to apply; 0 means that
    it must not exist, None that any version is accepted. The result is
    delivered to the inbox as ``ObjectWritten`` with the same ``request_id``.
    """

    request_id: str
    kind: str
    name: str
    entity: Any | None
    if_version: int | None = None


@dataclass(slots=True)
class PauseBackend:
    """Stops reading a streamed answer, to apply back-pressure."""

    execution_id: str


@dataclass(slots=True)
class ResumeBackend:
    """Resumes reading a streamed answer from the backend server."""

    execution_id: str


@dataclass(slots=True)
class StartCallerStream:
    """Sends the head of a streamed answer to a caller."""

    call_id: str
    status: int
    headers: Headers


@dataclass(slots=True)
class SendCallerChunk:
    """Sends the next chunk of a streamed answer to a caller."""

    call_id: str
    chunk: bytes


@dataclass(slots=True)
class ReadObject:
    """Reads an object from the platform's object store.

    The result is delivered to the inbox as ``ObjectRead`` with the same
    ``request_id``.
    """

    request_id: str
    kind: str
    name: str


@dataclass(slots=True)
class RecordSpan:
    """Passes a finished trace span to the exporter."""

    span: Span


@dataclass(slots=True)
class LogDecision:
    """Logs a decision: the event, and the values that led to it."""

    event: str
    inputs: dict[str, Any]

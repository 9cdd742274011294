"""Requests that a node closes the connection of before they are answered."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@enum.unique
class CutOffReason(enum.Enum):
    """Why a node closes a connection that has an open request.

    ``CONNECTION_CLOSED``: the answer to an earlier request on the connection
    said that it closes. ``REJECTED``: the request, or one behind it, is
    malformed, too large or too slow.
    """

    ANSWER_ABORTED = 'answer-aborted'
    CONNECTION_CLOSED = 'connection-closed'
    PROCESS_ENDS = 'process-ends'
    REJECTED = 'rejected'
    TOO_MANY_PIPELINED = 'too-many-pipelined'


@dataclass(slots=True)
class RequestCutOff:
    """A caller's request that this node has cut off.

    ``request_id`` is empty if the id is not known. ``seconds`` is the time
    since the request was read, or, with ``is_partial``, since its first bytes
    were.
    """

    request_id: str
    seconds: float
    reason: CutOffReason
    is_partial: bool = False

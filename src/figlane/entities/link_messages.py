"""Messages for liveness checks of links and status queries of calls."""

from __future__ import annotations

import enum
from dataclasses import dataclass


@dataclass(slots=True)
class Ping:
    """Asks for a pong; ``sent_at`` is in seconds by the sender's clock.

    ``epoch`` is that of the sender's ledger. ``hears_nothing`` is True if the
    sender got no pong and replaced its connection. ``reply_address`` is the
    address at which the sender accepts connections.
    """

    sent_at: float
    epoch: int
    hears_nothing: bool = False
    reply_address: str = ''


@dataclass(slots=True)
class Pong:
    """Answers a ping, whose ``sent_at`` is echoed as ``ping_sent_at``."""

    ping_sent_at: float
    sent_at: float
    epoch: int


@dataclass(slots=True)
class CallQuery:
    """Queries the status of an attempt that was sent to a ledger's epoch.

    If the ledger has no record of the attempt, the query prevents it from
    running should it arrive later. ``budget_ms`` is the time left until the
    call's deadline. With ``withdraws``, an attempt that does not run yet is
    refused.
    """

    call_id: str
    attempt: int
    epoch: int
    budget_ms: float
    withdraws: bool = False


@enum.unique
class CallState(enum.Enum):
    """State of a call without a recorded outcome at the exit node.

    ``LOST``: the ledger with the call's record is gone after a restart.
    """

    RUNNING = 'running'
    LOST = 'lost'


@dataclass(slots=True)
class CallStatus:
    """Answers a query if the attempt has neither an answer nor a refusal."""

    call_id: str
    attempt: int
    state: CallState
    epoch: int

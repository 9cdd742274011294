"""Streams of answers that are too large for a single message."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from figlane.entities.table import NEVER, IdentityHashMixin

# Flow-control window: bytes sent but not yet consumed by the caller, at which
# the backend server is paused.
WINDOW_BYTES = 1_048_576


@enum.unique
class StreamPhase(IdentityHashMixin, enum.Enum):
    """Whether the backend server may send more of a stream."""

    FLOWING = 'flowing'
    PAUSED = 'paused'


@dataclass(slots=True)
class OutgoingStream:
    """A streamed answer at its exit node; ``id`` is the call's id.

    ``sent`` counts the bytes sent to the entry node, and ``consumed`` those
    that the entry node has reported as consumed by the caller.
    """

    id: str
    attempt: int
    entry_node_id: str
    sent: int = 0
    consumed: int = 0
    phase: StreamPhase = StreamPhase.FLOWING
    due: float = NEVER

    @property
    def is_full(self) -> bool:
        """Tell whether the flow-control window is full.

        :return: True if the backend server must be paused.
        """
        return self.sent - self.consumed >= WINDOW_BYTES


@dataclass(slots=True)
class IncomingStream:
    """A streamed answer at its entry node; ``id`` is the call's id.

    ``received`` is the number of bytes so far and ``checksum`` their CRC-32.
    """

    id: str
    attempt: int
    node_id: str
    received: int = 0
    checksum: int = 0
    phase: StreamPhase = StreamPhase.FLOWING
    due: float = NEVER

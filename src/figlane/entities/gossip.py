"""Failure detection by SWIM: messages, open probes and gossip state."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any

from figlane.entities.inbox import MemberRecord
from figlane.entities.table import NEVER, IdentityHashMixin


@dataclass(slots=True)
class MemberState:
    """State of a member in gossip; ``phase`` is a ``MemberPhase`` value."""

    record: MemberRecord
    phase: str


@dataclass(slots=True)
class Probe:
    """Datagram: asks a node for a ``ProbeAck`` with the same sequence.

    ``states`` are the member states piggybacked on the datagram.
    """

    sequence: int
    states: list[MemberState] = field(default_factory=list)


@dataclass(slots=True)
class ProbeAck:
    """Datagram: acknowledges the probe with the same ``sequence``."""

    sequence: int
    states: list[MemberState] = field(default_factory=list)


@dataclass(slots=True)
class ProbeRequest:
    """Datagram: asks a node to probe ``target_id`` for the sender."""

    sequence: int
    target_id: str
    states: list[MemberState] = field(default_factory=list)


@dataclass(slots=True)
class MembersRequest:
    """Requests a peer's member list, sent only if its checksum differs.

    It is sent over the link, not as a datagram. ``sender`` is the state of the
    requesting node, which the peer may not know. Only changes after ``since``
    are needed, a change number of the peer's ``epoch``. If ``since`` is 0, what
    differs from ``summary`` is needed: four bytes each of the hashes of a
    member's id, and of its incarnation and phase. Without either, the request
    only compares the checksums.
    """

    checksum: int
    sender: MemberState | None = None
    since: int = 0
    epoch: int = 0
    summary: bytes = b''


@dataclass(slots=True)
class MembersResponse:
    """Carries a batch of a peer's member list.

    ``is_news`` is set if other members may not know the states yet. The batch
    with ``is_last`` completes the changes up to ``change``, a change number of
    the peer's ``epoch``; both are 0 if the request only compared the checksums
    and they differ. ``is_same`` is set if the checksums were equal.
    """

    states: list[MemberState]
    is_news: bool = False
    is_last: bool = False
    is_same: bool = False
    change: int = 0
    epoch: int = 0


@dataclass(slots=True)
class SendDatagram:
    """Outbox row: sends a message in one datagram, which may be lost."""

    address: str
    message: Any


@enum.unique
class ProbePhase(IdentityHashMixin, enum.Enum):
    """Kind of an open probe.

    ``DIRECT``: sent to the target. ``INDIRECT``: other nodes were asked to
    probe the target. ``FOR_PEER``: sent to the target on behalf of a peer.
    """

    DIRECT = 'direct'
    INDIRECT = 'indirect'
    FOR_PEER = 'for-peer'


@dataclass(slots=True)
class OpenProbe:
    """A probe without an answer so far; ``id`` is its sequence number.

    For a probe on behalf of a peer, ``peer_sequence`` is the sequence number
    that the answer to ``peer_id`` carries.
    """

    id: str
    target_id: str
    phase: ProbePhase = ProbePhase.DIRECT
    peer_id: str = ''
    peer_sequence: int = 0
    due: float = NEVER


@dataclass(slots=True)
class Gossip:
    """State of this node's failure detector.

    ``sequence`` numbers the probes. ``probe_order`` holds the ids of the
    members that are still to be probed in this round, the next one last.
    ``transmissions_by_id`` counts the remaining transmissions of a member's
    state. ``seeds`` are peer addresses from the settings.
    ``is_write_in_flight`` is True during a write of this node's member object,
    and ``is_write_needed`` if the member has changed since the last write
    started or that write failed.

    ``last_change`` numbers the changes of members in this node's table and
    ``change_by_id`` holds that of each member's latest change.
    ``known_change_by_peer`` holds epoch and change number of a peer up to which
    this node has its changes. ``is_settled`` is set if the peer that was asked
    last had the same member list. ``id_by_address`` holds the member that was
    last seen at each peer address.
    """

    sequence: int = 0
    probe_order: list[str] = field(default_factory=list)
    transmissions_by_id: dict[str, int] = field(default_factory=dict)
    seeds: tuple[str, ...] = ()
    is_write_in_flight: bool = False
    is_write_needed: bool = False
    last_change: int = 0
    change_by_id: dict[str, int] = field(default_factory=dict)
    known_change_by_peer: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )
    is_settled: bool = False
    id_by_address: dict[str, str] = field(default_factory=dict)

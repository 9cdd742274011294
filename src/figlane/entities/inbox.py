"""Inbox rows: events that adapters deliver to the systems."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any

from figlane.entities.call import Call
from figlane.entities.http import Answer, Headers
from figlane.entities.right import RightRecord
from figlane.entities.server_notice import ServerNotice
from figlane.entities.service import FailureDomain, Organisation, Service
from figlane.errors import Refusal


@dataclass(slots=True)
class NodeStarted:
    """The node has bound its sockets and accepts traffic.

    ``disabled_routines`` holds the keys of the routines that must not be
    started.
    """

    disabled_routines: frozenset[str] = frozenset()


@dataclass(slots=True)
class PeerMessage:
    """A decoded message from another node, or from this node to itself."""

    sender: str
    message: Any
    body: bytes = b''


@dataclass(slots=True)
class CallArrived:
    """A caller's request has been read completely."""

    call: Call


@dataclass(slots=True)
class CallerDisconnected:
    """A caller closed its connection before it received the response."""

    call_id: str


@dataclass(slots=True)
class BackendFinished:
    """The backend server's answer, or a refusal if there is none."""

    execution_id: str
    attempt: int
    outcome: Answer | Refusal


@dataclass(slots=True)
class BackendAnnounced:
    """A backend server has registered with this node or sent a heartbeat.

    A server with ``draining`` set finishes its running requests and accepts no
    new ones; with ``is_leaving`` set, this is its last announcement. ``born``
    identifies the start of the server process and ``sequence`` increases with
    each announcement; both are 0 if the server does not report them.
    ``slots`` and ``connections`` are its limits on concurrent requests and on
    open connections. ``cold_seconds`` is the remaining length of its cold
    start, and ``period`` the interval between announcements in seconds, 0 if
    unknown.
    """

    instance_id: str
    service_id: str
    address: str
    slots: int
    connections: int
    draining: bool = False
    is_leaving: bool = False
    born: int = 0
    sequence: int = 0
    cold_seconds: float = 0
    period: float = 0


@dataclass(slots=True)
class BackendChecked:
    """Result of a health check of a backend server.

    ``is_healthy`` is False if the response has a status other than 200 or does
    not carry the id of this server, and None if the server did not respond or
    was too busy to run the check. ``cold_seconds`` is the remaining length of
    its cold start, None if this server did not run the check, and ``notice``
    what its answer says otherwise.
    """

    instance_id: str
    born: int
    is_healthy: bool | None
    cold_seconds: float | None = None
    notice: ServerNotice | None = None


@dataclass(slots=True)
class MemberRecord:
    """The record of a node in the platform's object store.

    Addresses are ``host:port``, where the host is an IP address.
    """

    id: str
    incarnation: int
    failure_domain: str
    peer_address: str
    entry_address: str
    admin_address: str
    service: str
    leaving: bool = False
    gossip_address: str = ''


@dataclass(slots=True)
class ObjectChanged:
    """An object in the platform's object store has a new version.

    ``entity`` is None if the object was deleted. ``is_news`` is set if peers
    may not have received this version yet, so that it is worth forwarding.
    """

    kind: str
    name: str
    version: int
    entity: (
        Service
        | Organisation
        | FailureDomain
        | MemberRecord
        | RightRecord
        | None
    )
    is_news: bool = False


@enum.unique
class WriteStatus(enum.Enum):
    """Outcome of a conditional write to the platform's object store."""

    WRITTEN = 'written'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class ObjectWritten:
    """Outcome of a ``WriteObject``.

    ``version`` is the new version, or the stored version after a conflict.
    With status ``UNKNOWN`` the write may or may not have been applied.
    """

    request_id: str
    kind: str
    name: str
    status: WriteStatus
    version: int = 0


@dataclass(slots=True)
class BackendStreamStarted:
    """The head of a streamed answer from the backend server."""

    execution_id: str
    attempt: int
    status: int
    headers: Headers


@dataclass(slots=True)
class BackendChunk:
    """The next chunk of a streamed answer."""

    execution_id: str
    attempt: int
    chunk: bytes


@dataclass(slots=True)
class BackendStreamEnded:
    """End of a streamed answer; ``checksum`` is the CRC-32 of its body."""

    execution_id: str
    attempt: int
    length: int
    checksum: int


@dataclass(slots=True)
class CallerConsumedBytes:
    """A caller has read a streamed answer up to byte ``total``."""

    call_id: str
    total: int


@dataclass(slots=True)
class ObjectRead:
    """Result of a ``ReadObject``.

    ``version`` is 0 if the object does not exist. ``is_known`` is False if
    the platform's object store did not respond.
    """

    request_id: str
    kind: str
    name: str
    is_known: bool
    version: int = 0
    entity: Any | None = None

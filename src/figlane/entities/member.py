"""Members of the fleet: one row for each node."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from figlane.entities.table import NEVER, IdentityHashMixin


@enum.unique
class MemberPhase(IdentityHashMixin, enum.Enum):
    """Health of a member in the failure detector (SWIM).

    ``LEAVING`` is a planned stop announced by the member itself.
    """

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@dataclass(slots=True)
class Member:
    """A node and its local backend server.

    ``incarnation`` grows with each start of the node and each refutation.
    ``peer_address`` accepts link connections and ``gossip_address`` datagrams;
    if the latter is empty, datagrams go to ``peer_address`` too. ``service``
    is empty while no backend server is serving. ``version`` is that of the
    member's object in the store, 0 if there is none.

    ``outstanding`` and ``limit`` are load hints: the calls known to be at the
    member and the concurrency limit that it last reported; 0 means unknown.
    ``refused_part`` is the fraction of recent calls that its backend server
    refused itself, as reported at ``load_reported_at``. ``weight`` is the
    fraction of its limit that it gets while it is ramped up.
    """

    id: str
    incarnation: int
    failure_domain: str
    peer_address: str
    entry_address: str = ''
    admin_address: str = ''
    gossip_address: str = ''
    service: str = ''
    version: int = 0
    phase: MemberPhase = MemberPhase.ALIVE
    due: float = NEVER
    outstanding: int = 0
    limit: int = 0
    refused_part: float = 0
    load_reported_at: float = 0
    weight: float = 1

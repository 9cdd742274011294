"""Members of the fleet, and the contacts by which nodes join it."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from figlane.entities.inbox import MemberRecord
from figlane.entities.table import NEVER, IdentityHashMixin

# Kind of the contacts' objects in the store.
CONTACT_KIND = 'contact'


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


@enum.unique
class ContactPhase(IdentityHashMixin, enum.Enum):
    """Whether a slot's object is known to exist in the store."""

    EMPTY = 'empty'
    TAKEN = 'taken'


@dataclass(slots=True)
class Contact:
    """A slot for a contact; ``id`` is the name of the slot's object.

    ``version`` is the object's version, 0 while ``record`` is None.
    """

    id: str
    failure_domain: str
    record: MemberRecord | None = None
    version: int = 0
    phase: ContactPhase = ContactPhase.EMPTY
    due: float = NEVER


@dataclass(slots=True)
class JoinState:
    """How far this node has joined the fleet by contacts.

    ``is_enabled`` is set if this node finds others by contacts. ``has_joined``
    is set once a peer has answered, or once no contact has answered for so long
    that there is none. ``joined_at`` is when a peer first answered,
    ``started_at`` when this node began to look, and ``listed_at`` when the
    store last listed the contacts. This node has been a contact since
    ``contact_since``. ``is_listing`` and ``is_claiming`` are set while a
    request to the store is open. ``failures`` counts the requests in a row that
    failed. ``asks`` counts the rounds of questions to contacts.
    ``claim_chance`` is the probability of taking a slot after no
    contact was found.
    """

    is_enabled: bool = False
    has_joined: bool = False
    joined_at: float = -NEVER
    started_at: float = NEVER
    listed_at: float = -NEVER
    contact_since: float = -NEVER
    is_listing: bool = False
    is_claiming: bool = False
    failures: int = 0
    asks: int = 0
    claim_chance: float = 1


@dataclass(slots=True)
class FindContacts:
    """Inbox row: starts to look for contacts, after a random delay.

    ``failure_domains`` are those of the fleet. ``spread_seconds`` is the
    longest delay; 0 unless the whole fleet starts for the first time.
    """

    failure_domains: tuple[str, ...] = field(default_factory=tuple)
    spread_seconds: float = 0

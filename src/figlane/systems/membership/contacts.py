"""Finds other members by a bounded number of contacts in the store.

Each failure domain has a fixed number of slots. A slot's object names one
member. A node that starts reads the slots, asks contacts for the
member list and from then on learns of members by gossip alone. Only if none of
them answers does it take a slot itself, by a conditional write; a write that
comes too late returns the contact that took the slot. So the calls to the store
and the objects in it do not grow with the square of the fleet.
"""

from __future__ import annotations

from figlane.entities.gossip import MemberState
from figlane.entities.inbox import (
    MemberRecord,
    ObjectChanged,
    ObjectWritten,
    WriteStatus,
)
from figlane.entities.kind_feed import ReadKind
from figlane.entities.member import (
    CONTACT_KIND,
    Contact,
    ContactPhase,
    FindContacts,
    MemberPhase,
)
from figlane.entities.outbox import LogDecision, WriteObject
from figlane.entities.table import NEVER
from figlane.entities.world import World
from figlane.systems.configuration.versions import object_appliers
from figlane.systems.membership.lists import ask_for_members
from figlane.systems.membership.rendezvous import choose_members
from figlane.systems.membership.states import merge_state, own_member, record_of
from figlane.systems.registry import (
    inbox_handlers,
    list_handlers,
    routines,
    write_handlers,
)
from figlane.systems.scheduling import bring_forward, jittered

ROUTINE = 'find-contacts'
# A contact and a spare one, for the time in which a lost contact is replaced.
SLOTS_PER_DOMAIN = 2
# Contacts that a joining node asks if the first one has not answered.
_ASKED_CONTACTS = 3
# Time within which a contact answers a joining node.
_ANSWER_SECONDS = 0.4
# Time without any answer after which a node takes itself for the only member.
ALONE_SECONDS = 3.0
# At the first start of a fleet there are no contacts, and a stale reading does
# not show those of the last seconds. The probability that a node takes a slot
# starts low and doubles with each reading without a contact, so that few of
# many nodes do.
_FIRST_CLAIM_CHANCE = 0.03
_FIRST_READ_SECONDS = 0.6
# Interval at which the nodes of a failure domain check its slots.
_CHECK_SECONDS = 5.0
# Interval at which contacts read the slots, so that parts of the fleet that
# joined by different contacts find each other: shortly after a node became a
# contact, and later.
_EARLY_REREAD_SECONDS = 1.0
_REREAD_SECONDS = 30.0
_EARLY_SECONDS = 8.0
# Initial and maximum delay of the backoff after a failed request. They are
# short, so that all nodes have joined within 2 s after the end of an outage.
_INITIAL_RETRY_SECONDS = 0.25
_MAX_RETRY_SECONDS = 1.0
_MAX_DOUBLINGS = 2


@inbox_handlers.register(FindContacts)
def handle_find_contacts(world: World, row: FindContacts, now: float) -> None:
    """Create the slots and schedule the first reading.

    :param world: the tables.
    :param row: the failure domains of the fleet.
    :param now: the present time in seconds.
    """
    for domain in row.failure_domains:
        for number in range(SLOTS_PER_DOMAIN):
            world.contacts.insert(Contact(f'{domain}.{number}', domain))
    delay = row.spread_seconds * world.random.random()
    world.join.is_enabled = True
    world.join.started_at = now + delay
    if row.spread_seconds:
        world.join.claim_chance = _FIRST_CLAIM_CHANCE
    bring_forward(world, ROUTINE, now + delay)


@routines.register(ROUTINE)
def find_contacts(world: World, now: float) -> float:
    """Read the slots, join by contacts, and keep the slots filled.

    :param world: the tables.
    :param now: the present time in seconds.
    :return: the time of the next step.
    """
    join = world.join
    if not join.is_enabled or join.is_listing or join.is_claiming:
        return NEVER
    if now < join.started_at:
        return join.started_at
    return _maintain(world, now) if join.has_joined else _join(world, now)


def _join(world: World, now: float) -> float:
    join = world.join
    if join.listed_at == -NEVER:
        return _list_contacts(world)
    has_asked = bool(world.contacts.count(ContactPhase.TAKEN))
    if has_asked and now < join.listed_at + _ANSWER_SECONDS:
        return join.listed_at + _ANSWER_SECONDS
    join.listed_at = -NEVER
    if _is_contact(world):
        join.has_joined = now >= join.started_at + ALONE_SECONDS
        if join.has_joined:
            inputs = {'asks': join.asks}
            world.outbox.append(LogDecision('fleet_not_found', inputs))
        return now + jittered(world, _ANSWER_SECONDS)
    slot = _own_slot(world)
    if slot is None or world.random.random() >= join.claim_chance:
        join.claim_chance = min(1, 2 * join.claim_chance)
        return now + jittered(world, _FIRST_READ_SECONDS)
    return _claim(world, slot)


def _maintain(world: World, now: float) -> float:
    join = world.join
    slot = _vacant_slot(world)
    if slot is not None:
        return _claim(world, slot)
    check_at = now + jittered(world, _CHECK_SECONDS)
    if not _is_contact(world):
        return check_at
    is_early = now - join.contact_since < _EARLY_SECONDS
    interval = _EARLY_REREAD_SECONDS if is_early else _REREAD_SECONDS
    if now >= join.listed_at + interval:
        return _list_contacts(world)
    return min(check_at, join.listed_at + interval)


def _own_slot(world: World) -> Contact | None:
    slots = [
        contact
        for contact in world.contacts
        if contact.failure_domain == world.identity.failure_domain
    ]
    return world.random.choice(slots) if slots else None


def _vacant_slot(world: World) -> Contact | None:
    # One live member of the failure domain replaces a contact that is gone.
    identity = world.identity
    vacant = [
        contact
        for contact in world.contacts
        if contact.failure_domain == identity.failure_domain
        and not _is_live(world, contact)
    ]
    if not vacant:
        return None
    ids = [
        member.id
        for member in world.members.in_phase(MemberPhase.ALIVE)
        if member.failure_domain == identity.failure_domain
    ]
    for contact in vacant:
        if choose_members(contact.id, ids, 1) == [identity.node_id]:
            return contact
    return None


def _is_live(world: World, contact: Contact) -> bool:
    if contact.record is None:
        return False
    member = world.members.get(contact.record.id)
    if member is None:
        return False
    return member.phase in {MemberPhase.ALIVE, MemberPhase.SUSPECT}


def _is_contact(world: World) -> bool:
    return any(
        contact.record is not None
        and contact.record.id == world.identity.node_id
        for contact in world.contacts
    )


def _list_contacts(world: World) -> float:
    world.join.is_listing = True
    world.outbox.append(ReadKind(CONTACT_KIND, allow_stale=True))
    return NEVER


def _claim(world: World, slot: Contact) -> float:
    world.join.is_claiming = True
    record = record_of(own_member(world))
    world.outbox.append(
        WriteObject(CONTACT_KIND, CONTACT_KIND, slot.id, record, slot.version)
    )
    return NEVER


@object_appliers.register(CONTACT_KIND)
def apply_contact(world: World, row: ObjectChanged, now: float) -> bool:
    """Record who holds a slot, and get to know that member.

    :param world: the tables.
    :param row: the slot's object.
    :param now: the present time in seconds.
    :return: False, since slots are not pushed to peers.
    """
    contact = world.contacts.get(row.name)
    if contact is None and row.entity is not None:
        contact = Contact(row.name, row.entity.failure_domain)
        world.contacts.insert(contact)
    if contact is None or row.version <= contact.version:
        return False
    contact.record = row.entity
    contact.version = row.version
    phase = ContactPhase.EMPTY if row.entity is None else ContactPhase.TAKEN
    world.contacts.move(contact, phase)
    return False


@list_handlers.register(CONTACT_KIND)
def handle_contacts_listed(world: World, *, answered: bool, now: float) -> None:
    """Ask some of the contacts for the member list, or retry later.

    :param world: the tables.
    :param answered: False if the store did not answer.
    :param now: the present time in seconds.
    """
    join = world.join
    join.is_listing = False
    if not answered:
        join.claim_chance = min(1, 2 * join.claim_chance)
        bring_forward(world, ROUTINE, now + _retry_delay(world))
        return
    join.failures = 0
    join.listed_at = now
    _ask_contacts(world, now)
    bring_forward(world, ROUTINE, now)


@write_handlers.register(CONTACT_KIND)
def handle_contact_written(
    world: World, row: ObjectWritten, now: float
) -> None:
    """Record that this node is a contact, or ask the one that came first.

    :param world: the tables.
    :param row: the outcome of the write.
    :param now: the present time in seconds.
    """
    join = world.join
    join.is_claiming = False
    if row.status is WriteStatus.UNKNOWN:
        # The write may have taken effect; the next reading tells.
        join.listed_at = -NEVER
        bring_forward(world, ROUTINE, now + _retry_delay(world))
        return
    join.failures = 0
    contact = world.contacts.get(row.name)
    if row.status is WriteStatus.WRITTEN and contact is not None:
        contact.record = record_of(own_member(world))
        contact.version = row.version
        world.contacts.move(contact, ContactPhase.TAKEN)
        join.contact_since = now
        inputs = {'slot': row.name, 'version': row.version}
        world.outbox.append(LogDecision('contact_claimed', inputs))
    join.listed_at = now
    _ask_contacts(world, now)
    bring_forward(world, ROUTINE, now + _ANSWER_SECONDS)


def _retry_delay(world: World) -> float:
    join = world.join
    delay = _INITIAL_RETRY_SECONDS * 2 ** min(join.failures, _MAX_DOUBLINGS)
    join.failures += 1
    return jittered(world, min(delay, _MAX_RETRY_SECONDS))


def _ask_contacts(world: World, now: float) -> None:
    own_id = world.identity.node_id
    records = [
        contact.record
        for contact in world.contacts.in_phase(ContactPhase.TAKEN)
        if contact.record is not None and contact.record.id != own_id
    ]
    # A contact asks all others once, since each may have been joined by nodes
    # that no other contact knows.
    if _is_contact(world):
        asked = world.gossip.known_change_by_peer
        records = [record for record in records if record.id not in asked]
    else:
        records = _chosen_contacts(world, records)
    for record in records:
        state = MemberState(record, MemberPhase.ALIVE.value)
        merge_state(world, state, now)
        ask_for_members(world, record.id)


def _chosen_contacts(
    world: World, records: list[MemberRecord]
) -> list[MemberRecord]:
    # The first one is in the own failure domain, where bytes cost less, and
    # one answer contains the whole member list.
    world.join.asks += 1
    domain = world.identity.failure_domain
    near = [record for record in records if record.failure_domain == domain]
    if world.join.asks == 1 and near:
        return [world.random.choice(near)]
    return world.random.sample(records, min(_ASKED_CONTACTS, len(records)))
